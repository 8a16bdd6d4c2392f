//! Processes of the system with a stand-in store, on loopback addresses of their own.

use std::collections::HashMap;
use std::fs;
use std::fs::File;
use std::io;
use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::UdpSocket;
use std::path::Path;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::record::Record;
use crate::server::Plan;
use crate::server::Server;
use crate::store::Entrance;
use crate::store::Store;

/// Program of the role in `deploy/system.toml`.
const PROGRAM: &str = "target/release/chicoryloom-gateway";
const TEMPLATE: &str = "deploy/settings.yaml";
const SETTINGS_VARIABLE: &str = "CHICORYLOOM_SETTINGS";
/// Ports from the first one of a fleet on.
const PORTS: u16 = 32;
const CONTROL_PORT: u16 = 3;
const FIRST_INTERNAL_PORT: u16 = 8;
const LAST_INTERNAL_PORT: u16 = 23;
const SERVER_PORT: u16 = 24;
const STORE_PORTS: [u16; 2] = [25, 26];
/// Last part of the address of the first machine, the first server and the store.
const MACHINES: u8 = 10;
const SERVERS: u8 = 100;
const STORE: u8 = 250;
/// Longest time for a machine to become ready.
const READY_TIMEOUT: Duration = Duration::from_secs(15);

/// A process of the system; it is killed when dropped.
#[derive(Debug)]
pub struct Machine {
    pub name: String,
    pub caller: SocketAddr,
    readiness: SocketAddr,
    settings: PathBuf,
    child: Child,
    record: Record,
}

impl Drop for Machine {
    fn drop(&mut self) {
        self.kill();
    }
}

impl Machine {
    /// Sends a signal by its name, such as `TERM`.
    pub fn signal(&self, name: &str) -> io::Result<()> {
        self.record.add(format!("{}: SIG{name}", self.name));
        let id = self.child.id().to_string();
        let sent =
            Command::new("bash").args(["-c", "kill -s \"$0\" \"$1\"", name, &id]).status()?;
        if sent.success() { Ok(()) } else { Err(io::Error::other("the signal was not sent")) }
    }

    pub fn kill(&mut self) {
        // It may have ended already.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Kills the process and starts it again with the settings that are in effect.
    pub fn restart(&mut self) -> io::Result<()> {
        self.kill();
        self.record.add(format!("{}: SIGKILL, then a start", self.name));
        self.child = spawn(&self.settings)?;
        Ok(())
    }

    /// Returns whether the process has ended by itself.
    pub fn has_ended(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(Some(_)))
    }

    pub fn is_ready(&self) -> bool {
        let asked = || -> io::Result<bool> {
            let mut stream =
                std::net::TcpStream::connect_timeout(&self.readiness, Duration::from_secs(1))?;
            stream.set_read_timeout(Some(Duration::from_secs(1)))?;
            io::Write::write_all(&mut stream, b"GET /readiness HTTP/1.1\r\nHost: ready\r\n\r\n")?;
            let head = crate::http::Head::read(&mut stream)?;
            Ok(head.is_some_and(|head| head.word(1) == "200"))
        };
        asked().unwrap_or(false)
    }
}

/// What differs between the settings of two deployments.
#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    pub grace_s: u64,
}

#[derive(Debug)]
pub struct Fleet {
    pub store: Store,
    pub entrances: Vec<Entrance>,
    pub machines: Vec<Machine>,
    pub servers: Vec<Server>,
    pub record: Record,
    folder: PathBuf,
    subnet: (u8, u8),
    port: u16,
}

impl Drop for Fleet {
    fn drop(&mut self) {
        self.machines.clear();
        let _ = fs::remove_dir_all(&self.folder);
    }
}

impl Fleet {
    pub fn start(count: u8, bounds: Bounds, record: &Record) -> io::Result<Self> {
        let id = std::process::id();
        let subnet = (64 + (id % 128) as u8, 1 + (id / 128 % 200) as u8);
        let folder = std::env::temp_dir().join(format!("review-case-{id}"));
        fs::create_dir_all(&folder)?;
        let port = free_ports(subnet)?;
        let mut fleet = Self {
            store: Store::new(),
            entrances: Vec::new(),
            machines: Vec::new(),
            servers: Vec::new(),
            record: record.clone(),
            folder,
            subnet,
            port,
        };
        for index in 0..STORE_PORTS.len() {
            let entrance = fleet.store.serve(fleet.store_address(index))?;
            fleet.entrances.push(entrance);
        }
        for index in 0..count {
            fleet.start_machine(index, count, bounds)?;
        }
        Ok(fleet)
    }

    fn address(&self, host: u8, port: u16) -> SocketAddr {
        address(self.subnet, host, self.port + port)
    }

    fn store_address(&self, entrance: usize) -> SocketAddr {
        self.address(STORE, STORE_PORTS[entrance])
    }

    fn start_machine(&mut self, index: u8, count: u8, bounds: Bounds) -> io::Result<()> {
        let name = format!("frontend-north-{}", index + 1);
        let settings = self.folder.join(format!("{name}.conf"));
        self.write_settings(index, count, bounds, 0)?;
        let child = spawn(&settings)?;
        self.machines.push(Machine {
            name,
            caller: self.address(MACHINES + index, 0),
            readiness: self.address(MACHINES + index, 1),
            settings,
            child,
            record: self.record.clone(),
        });
        Ok(())
    }

    /// Writes the settings of a machine as the platform does, with the store at one of its entrances.
    pub fn write_settings(
        &self,
        index: u8,
        count: u8,
        bounds: Bounds,
        entrance: usize,
    ) -> io::Result<()> {
        let host = MACHINES + index;
        let at = |port| self.address(host, port).to_string();
        let name = format!("frontend-north-{}", index + 1);
        let values: HashMap<&str, String> = [
            ("nodeName", name.clone()),
            ("zone", "north".to_owned()),
            ("ipAddress", self.address(host, 0).ip().to_string()),
            ("limits.cpuShare", "0.5".to_owned()),
            ("limits.linkMbps", "1000.0".to_owned()),
            ("listen.frontend", at(0)),
            ("listen.ready", at(1)),
            ("listen.directory", at(2)),
            ("internalPortRange.0", (self.port + FIRST_INTERNAL_PORT).to_string()),
            ("internalPortRange.1", (self.port + LAST_INTERNAL_PORT).to_string()),
            ("platform.address", self.store_address(entrance).to_string()),
            ("bounds.gracePeriodS", bounds.grace_s.to_string()),
            ("bounds.retryBudgetRatio", "0.2".to_owned()),
            ("bounds.retryBudgetSlack", "60".to_owned()),
            ("bounds.quotaWindowS", "5".to_owned()),
            ("bounds.floorShare", "0.7".to_owned()),
        ]
        .into();
        let seeds =
            (0..count.min(3)).map(|seed| self.address(MACHINES + seed, CONTROL_PORT).to_string());
        let text = render(&fs::read_to_string(TEMPLATE)?, &values, &seeds.collect::<Vec<_>>());
        fs::write(self.folder.join(format!("{name}.conf")), text)
    }

    pub fn start_server(&mut self, plan: Plan) -> io::Result<()> {
        let host = SERVERS + u8::try_from(self.servers.len()).map_err(io::Error::other)?;
        let server = Server::start(plan, self.address(host, SERVER_PORT), &self.record)?;
        server.report(&self.store, "ready");
        self.servers.push(server);
        Ok(())
    }

    /// Writes a configuration; the return is its acknowledgement.
    pub fn configure(&self, text: &str) {
        self.store.put("config", "main", text);
        let version = text.split('"').nth(3).unwrap_or_default();
        self.record.add(format!("store: configuration {version} is acknowledged"));
    }

    /// Waits until all machines say that they are ready.
    pub fn wait_until_ready(&self) -> bool {
        let end = Instant::now() + READY_TIMEOUT;
        while Instant::now() < end {
            if self.machines.iter().all(Machine::is_ready) {
                self.record.add("all machines are ready");
                return true;
            }
            thread::sleep(Duration::from_millis(50));
        }
        self.record.add(format!("not all machines are ready after {READY_TIMEOUT:?}"));
        false
    }

    pub fn has_run(&self, id: &str) -> bool {
        let arrivals = self.servers.iter().flat_map(Server::arrivals);
        arrivals.into_iter().any(|arrival| arrival.id == id && arrival.has_run)
    }
}

/// Starts a process of the system with a settings file.
fn spawn(settings: &Path) -> io::Result<Child> {
    let log = File::options().create(true).append(true).open(settings.with_extension("log"))?;
    Command::new(PROGRAM)
        .env(SETTINGS_VARIABLE, settings)
        .stdin(Stdio::null())
        .stdout(log.try_clone()?)
        .stderr(log)
        .spawn()
}

fn address((second, third): (u8, u8), host: u8, port: u16) -> SocketAddr {
    SocketAddr::new(IpAddr::V4(Ipv4Addr::new(127, second, third, host)), port)
}

/// Returns the first of some ports that are free at all addresses; they lie below those that the system
/// gives to outgoing connections.
fn free_ports(subnet: (u8, u8)) -> io::Result<u16> {
    let id = std::process::id() as u16;
    for step in 0..100_u16 {
        let first = 12_000 + (id.wrapping_mul(37).wrapping_add(step * 97) % 500) * PORTS;
        let hosts = [MACHINES, MACHINES + 1, MACHINES + 2, SERVERS, SERVERS + 1, STORE];
        let is_free = |host: &u8| {
            (0..PORTS).all(|port| {
                let at = address(subnet, *host, first + port);
                TcpListener::bind(at).is_ok() && UdpSocket::bind(at).is_ok()
            })
        };
        if hosts.iter().all(is_free) {
            return Ok(first);
        }
    }
    Err(io::ErrorKind::AddrInUse.into())
}

/// Fills in the template of the settings as far as `deploy/settings.yaml` uses its language: values, the
/// list of seeds, and sections of values that these deployments don't have.
fn render(template: &str, values: &HashMap<&str, String>, seeds: &[String]) -> String {
    let mut text = String::new();
    let mut rest = template;
    while let Some(at) = rest.find("{{") {
        text.push_str(&rest[..at]);
        let end = at + rest[at..].find("}}").expect("a placeholder ends");
        let name = &rest[at + 2..end];
        rest = &rest[end + 2..];
        let Some(section) = name.strip_prefix('#') else {
            text.push_str(values.get(name).map_or("", String::as_str));
            continue;
        };
        let close = format!("{{{{/{section}}}}}");
        let length = rest.find(&close).expect("a section ends");
        if section == "seeds" {
            let filled: Vec<_> = seeds
                .iter()
                .enumerate()
                .map(|(index, seed)| {
                    let comma = if index + 1 < seeds.len() { "," } else { "" };
                    rest[..length].replace("{{.}}", seed).replace("{{,}}", comma)
                })
                .collect();
            text.push_str(&filled.concat());
        }
        rest = &rest[length + close.len()..];
    }
    text + rest
}
