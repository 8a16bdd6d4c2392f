//! One process of a fleet.

use std::collections::HashMap;
use std::env;
use std::fmt;
use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitStatus;
use std::process::Stdio;

use rustix::process::Pid;
use rustix::process::Signal;
use tokio::io::AsyncBufReadExt;
use tokio::io::BufReader;
use tokio::process::Child;
use tokio::process::Command;

use crate::usage::Usage;

/// Why a process or a call to it failed.
#[derive(Debug)]
pub enum Error {
    /// The program is not built; `cargo build --workspace` builds it.
    Missing(PathBuf),
    Start(String, io::Error),
    /// The process ended, or printed something else than its addresses.
    NotReady(String, String),
    Call(String, reqwest::Error),
    Refused(String, u16, String),
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Missing(path) => {
                write!(f, "{} is missing; run cargo build --workspace", path.display())
            }
            Self::Start(program, error) => write!(f, "{program}: start: {error}"),
            Self::NotReady(program, line) => write!(f, "{program}: not ready: {line:?}"),
            Self::Call(peer, error) => write!(f, "{peer}: call: {error}"),
            Self::Refused(peer, status, text) => write!(f, "{peer}: status {status}: {text}"),
        }
    }
}

impl std::error::Error for Error {}

/// A running program; it is killed when dropped.
#[derive(Debug)]
pub struct Process {
    child: Child,
    addresses: HashMap<String, SocketAddr>,
}

impl Process {
    /// Starts a program of this workspace and waits for its line of addresses.
    pub async fn start(program: &str, arguments: &[String]) -> Result<Self, Error> {
        let path = find(program)?;
        let mut child = Command::new(path)
            .args(arguments)
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .kill_on_drop(true)
            .spawn()
            .map_err(|error| Error::Start(program.to_owned(), error))?;
        let Some(stdout) = child.stdout.take() else {
            return Err(Error::NotReady(program.to_owned(), String::new()));
        };
        let mut line = String::new();
        let read = BufReader::new(stdout).read_line(&mut line).await;
        read.map_err(|error| Error::Start(program.to_owned(), error))?;
        let addresses = addresses(&line);
        if addresses.is_empty() {
            return Err(Error::NotReady(program.to_owned(), line));
        }
        Ok(Self { child, addresses })
    }

    /// Returns an address that the program printed under a name.
    ///
    /// # Panics
    ///
    /// Panics if the program printed no such address.
    pub fn address(&self, name: &str) -> SocketAddr {
        *self.addresses.get(name).unwrap_or_else(|| panic!("no address named {name}"))
    }

    /// Returns the process number, or `None` once the process has ended.
    pub fn pid(&self) -> Option<u32> {
        self.child.id()
    }

    /// Returns the processor time and memory that the process has used.
    pub fn usage(&self) -> Option<Usage> {
        Usage::of(self.pid()?)
    }

    /// Stops the process in its tracks.
    ///
    /// The signal takes effect on each thread a little later.
    pub fn pause(&self) {
        self.signal(Signal::STOP);
    }

    /// Returns whether all threads of the process are stopped.
    pub fn is_paused(&self) -> bool {
        let Some(pid) = self.pid() else { return false };
        let Ok(mut threads) = std::fs::read_dir(format!("/proc/{pid}/task")) else { return false };
        let is_stopped = |thread: io::Result<std::fs::DirEntry>| {
            let stat =
                thread.and_then(|thread| std::fs::read_to_string(thread.path().join("stat")));
            // The state follows the name, which stands in parentheses.
            stat.is_ok_and(|stat| {
                stat.rsplit_once(") ").is_some_and(|(_, rest)| rest.starts_with('T'))
            })
        };
        threads.all(is_stopped)
    }

    /// Lets a stopped process go on.
    pub fn resume(&self) {
        self.signal(Signal::CONT);
    }

    /// Asks the process to shut down.
    pub fn terminate(&self) {
        self.signal(Signal::TERM);
    }

    /// Kills the process and waits for its end.
    pub async fn kill(&mut self) {
        // A process that has ended needs no killing.
        let _ = self.child.kill().await;
    }

    /// Waits for the end of the process.
    pub async fn wait(&mut self) -> io::Result<ExitStatus> {
        self.child.wait().await
    }

    fn signal(&self, signal: Signal) {
        let pid = self.child.id().and_then(|pid| i32::try_from(pid).ok()).and_then(Pid::from_raw);
        if let Some(pid) = pid {
            // A process that has ended takes no signal.
            let _ = rustix::process::kill_process(pid, signal);
        }
    }
}

/// Finds a program beside the running one, which is in the target folder or its `deps`.
fn find(program: &str) -> Result<PathBuf, Error> {
    let own = env::current_exe().map_err(|error| Error::Start(program.to_owned(), error))?;
    let found = own.ancestors().skip(1).take(2).map(|folder| folder.join(program));
    let mut tried = PathBuf::from(program);
    for path in found {
        if path.is_file() {
            return Ok(path);
        }
        tried = path;
    }
    Err(Error::Missing(tried))
}

/// Reads `ready name=address …`.
fn addresses(line: &str) -> HashMap<String, SocketAddr> {
    let pairs = line.trim().strip_prefix("ready ").unwrap_or_default().split(' ');
    let pair = |pair: &str| {
        let (name, address) = pair.split_once('=')?;
        Some((name.to_owned(), address.parse().ok()?))
    };
    pairs.filter_map(pair).collect()
}
