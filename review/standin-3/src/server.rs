//! A stand-in for the users' servers.

use std::net::IpAddr;
use std::net::Shutdown;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::http::Connection;
use crate::http::Head;
use crate::record::Record;

/// A request that a server ran.
#[derive(Clone, Debug)]
pub struct Run {
    pub id: String,
    pub server: String,
    /// When the server had read the request, and from whom it came.
    pub at: Instant,
    pub from: Option<IpAddr>,
    /// Bytes of the body that came.
    pub body: Vec<u8>,
    /// For whom it was to be run.
    pub tenant: String,
    /// When the server had written its answer; `None` if it could not.
    pub answered: Option<Instant>,
}

/// How a server treats the requests with a body.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Manner {
    /// Reads the whole body, works and answers.
    Sound,
    /// Answers two in five long bodies once it has read this many bytes of them, and reads on.
    Early(usize),
    /// Answers with a body of this many bytes.
    Long(usize),
    /// Crashes when it begins to run a request with the path [`FATAL_PATH`], and is back after this time.
    Fragile(Duration),
}

/// Path of the requests that crash a fragile server.
pub const FATAL_PATH: &str = "/frames/torn";

/// A server; it serves until the process ends.
#[derive(Clone, Debug)]
pub struct Server {
    pub id: String,
    pub address: SocketAddr,
    work: Duration,
    manner: Manner,
    long_bodies: Arc<AtomicUsize>,
    runs: Arc<Mutex<Vec<Run>>>,
    record: Record,
    /// How often it has crashed, and how often it is back.
    crashes: Arc<AtomicUsize>,
    returns: Arc<AtomicUsize>,
    open: Arc<Mutex<Vec<TcpStream>>>,
}

impl Server {
    pub fn start(
        id: &str,
        address: SocketAddr,
        work: Duration,
        manner: Manner,
        runs: Arc<Mutex<Vec<Run>>>,
        record: Record,
    ) -> std::io::Result<Self> {
        let listener = TcpListener::bind(address)?;
        let address = listener.local_addr()?;
        let server = Self {
            id: id.to_owned(),
            address,
            work,
            manner,
            long_bodies: Arc::default(),
            runs,
            record,
            crashes: Arc::default(),
            returns: Arc::default(),
            open: Arc::default(),
        };
        let serving = server.clone();
        thread::spawn(move || serving.accept(listener));
        Ok(server)
    }

    fn accept(&self, mut listener: TcpListener) {
        loop {
            for stream in listener.incoming().flatten() {
                if self.is_down() {
                    break;
                }
                if let (Manner::Fragile(_), Ok(open)) = (self.manner, stream.try_clone()) {
                    self.open.lock().unwrap().push(open);
                }
                let server = self.clone();
                thread::spawn(move || server.serve(Connection::new(stream)));
            }
            drop(listener);
            if let Manner::Fragile(pause) = self.manner {
                thread::sleep(pause);
            }
            let Ok(next) = TcpListener::bind(self.address) else { return };
            listener = next;
            self.returns.fetch_add(1, Ordering::Relaxed);
            self.record.line(format!("server {} is back", self.id));
        }
    }

    /// Returns how often the server is back after a crash.
    pub fn returns(&self) -> usize {
        self.returns.load(Ordering::Relaxed)
    }

    fn is_down(&self) -> bool {
        self.crashes.load(Ordering::Relaxed) > self.returns()
    }

    /// Ends all connections and takes no more until the server is back.
    fn crash(&self, id: &str) {
        if self.is_down() {
            return;
        }
        self.record.line(format!("server {} crashes on {id}", self.id));
        self.crashes.fetch_add(1, Ordering::Relaxed);
        for stream in self.open.lock().unwrap().drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
        // Lets the listener notice.
        let _ = TcpStream::connect(self.address);
    }

    fn serve(&self, mut connection: Connection) {
        while let Ok(Some(head)) = connection.read_head() {
            if !self.handle(&mut connection, &head) {
                return;
            }
        }
    }

    /// Handles a request; returns whether the connection can be kept.
    fn handle(&self, connection: &mut Connection, head: &Head) -> bool {
        let own = format!("X-Chicoryloom-Instance-Id: {}\r\n", self.id);
        if head.target() == "/health" {
            let answer = format!("HTTP/1.1 200 OK\r\n{own}Content-Length: 0\r\n\r\n");
            return connection.write(answer.as_bytes()).is_ok();
        }
        let id = head.header("x-chicoryloom-attempt-id").unwrap_or_default().to_owned();
        let tenant = head.header("x-chicoryloom-tenant").unwrap_or_default().to_owned();
        let echo = format!("X-Chicoryloom-Attempt-Id: {id}\r\n{own}");
        if id.is_empty() {
            let _ = connection.read_body(head);
            let answer = "HTTP/1.1 400 Bad Request\r\nX-Chicoryloom-Not-Executed: 1\r\n\
                          Content-Length: 0\r\n\r\n";
            return connection.write(answer.as_bytes()).is_ok();
        }
        if head.header("x-chicoryloom-expected-instance").is_some_and(|known| known != self.id) {
            let _ = connection.read_body(head);
            let answer = format!("HTTP/1.1 421 X\r\n{echo}Content-Length: 0\r\n\r\n");
            return connection.write(answer.as_bytes()).is_ok();
        }
        let seal = format!("X-Chicoryloom-Response-Seal: {}.{id}\r\n", self.id);
        let text = match self.manner {
            Manner::Long(length) => "0123456789abcdef".repeat(length / 16),
            Manner::Sound | Manner::Early(_) | Manner::Fragile(_) => format!("{id} at {}", self.id),
        };
        let answer =
            format!("HTTP/1.1 200 OK\r\n{echo}{seal}Content-Length: {}\r\n\r\n{text}", text.len());
        let announced = head.length().unwrap_or_default();
        let mut body = Vec::new();
        let early = match self.manner {
            Manner::Early(most) if announced > most => {
                let count = self.long_bodies.fetch_add(1, Ordering::Relaxed);
                (count % 5 < 2).then_some(most)
            }
            _ => None,
        };
        let mut is_answered = false;
        let mut is_whole = true;
        if head.is_chunked() {
            match connection.read_body(head) {
                Ok(read) => body = read,
                Err(_) => is_whole = false,
            }
        }
        while is_whole && body.len() < announced {
            if early.is_some_and(|most| body.len() >= most) && !is_answered {
                is_answered = true;
                if connection.write(answer.as_bytes()).is_err() {
                    is_whole = false;
                }
                self.record.line(format!(
                    "server {} answers {id} 200 after {} of {announced} bytes, and reads on",
                    self.id,
                    body.len()
                ));
            }
            match connection.read_some(announced - body.len()) {
                Ok(some) if !some.is_empty() => body.extend_from_slice(&some),
                _ => is_whole = false,
            }
        }
        // A sound server runs nothing of a body that ends early, unless it has accepted it already.
        if is_whole || is_answered {
            if matches!(self.manner, Manner::Fragile(_)) && head.target() == FATAL_PATH {
                let from = connection.stream.peer_addr().ok().map(|address| address.ip());
                let (server, at) = (self.id.clone(), Instant::now());
                self.crash(&id);
                self.runs.lock().unwrap().push(Run {
                    id,
                    server,
                    at,
                    from,
                    body,
                    tenant,
                    answered: None,
                });
                return false;
            }
            thread::sleep(if is_answered { Duration::ZERO } else { self.work });
            let part = match announced {
                0 => String::new(),
                _ => format!(" with {} of {announced} bytes", body.len()),
            };
            self.record.line(format!(
                "server {} ran {id}{part}{}",
                self.id,
                if is_whole { "" } else { ": the connection ended before the rest" }
            ));
            let at = Instant::now();
            let from = connection.stream.peer_addr().ok().map(|address| address.ip());
            let is_written =
                is_whole && (is_answered || connection.write(answer.as_bytes()).is_ok());
            if matches!(self.manner, Manner::Long(_)) {
                self.record.line(format!("server {} has answered {id}: {is_written}", self.id));
            }
            let answered = is_written.then(Instant::now);
            self.runs.lock().unwrap().push(Run {
                id,
                server: self.id.clone(),
                at,
                from,
                body,
                tenant,
                answered,
            });
            is_written
        } else {
            self.record.line(format!("server {}: {id} ended early and isn't run", self.id));
            false
        }
    }
}
