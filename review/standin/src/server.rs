//! A stand-in for a server, as PROTOCOL.md describes it.
//!
//! The last segment of a request's path says what the work is: `w460-b5000-plain` takes 460 ms and
//! answers with 5000 bytes at its end. With `stream`, the head and the body are sent in pieces while
//! the work goes on; with `late`, the head is sent at the beginning and the body at the end.

use std::net::SocketAddr;
use std::net::TcpListener;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use crate::http::Connection;
use crate::http::End;
use crate::http::Head;
use crate::record::Record;

/// One run of a request.
#[derive(Clone, Debug)]
pub struct Run {
    pub id: String,
    pub server: String,
    /// When the request reached the server.
    pub reached: f64,
    /// Body of the request as the server got it.
    pub body: Vec<u8>,
    /// When the whole answer was handed to the connection; `None` if it broke before.
    pub sent: Option<f64>,
    /// When the work itself was done.
    pub worked: Option<f64>,
}

struct Inner {
    name: String,
    address: SocketAddr,
    slots: usize,
    /// Requests that are worked on or wait for a slot.
    held: AtomicUsize,
    /// Requests that are worked on.
    working: (Mutex<usize>, Condvar),
    /// Share of the requests that hang, in thousandths, and how many came since it was set.
    hanging: AtomicU64,
    count: AtomicU64,
    runs: Arc<Mutex<Vec<Run>>>,
    record: Record,
}

#[derive(Clone)]
pub struct Server(Arc<Inner>);

/// Work that a path asks for.
struct Work {
    time: Duration,
    bytes: usize,
    mode: String,
}

impl Work {
    fn parse(path: &str) -> Self {
        let last = path.rsplit('/').next().unwrap_or("");
        let mut work = Self { time: Duration::ZERO, bytes: 100, mode: "plain".into() };
        for part in last.split('-') {
            if let Some(millis) = part.strip_prefix('w').and_then(|text| text.parse().ok()) {
                work.time = Duration::from_millis(millis);
            } else if let Some(bytes) = part.strip_prefix('b').and_then(|text| text.parse().ok()) {
                work.bytes = bytes;
            } else if ["plain", "stream", "late"].contains(&part) {
                work.mode = part.into();
            }
        }
        work
    }
}

impl Server {
    pub fn start(
        name: &str,
        address: SocketAddr,
        slots: usize,
        runs: Arc<Mutex<Vec<Run>>>,
        record: Record,
    ) -> std::io::Result<Self> {
        let listener = TcpListener::bind(address)?;
        let server = Self(Arc::new(Inner {
            name: name.to_owned(),
            address: listener.local_addr()?,
            slots,
            held: AtomicUsize::new(0),
            working: (Mutex::new(0), Condvar::new()),
            hanging: AtomicU64::new(0),
            count: AtomicU64::new(0),
            runs,
            record,
        }));
        let accepting = server.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let server = accepting.clone();
                std::thread::spawn(move || server.serve(Connection::new(stream)));
            }
        });
        Ok(server)
    }

    pub fn name(&self) -> String {
        self.0.name.clone()
    }

    pub fn address(&self) -> SocketAddr {
        self.0.address
    }

    /// Lets a share of the requests hang from now on, while the health path goes on to answer.
    pub fn set_hanging(&self, share: f64) {
        self.0.count.store(0, Ordering::Relaxed);
        self.0.hanging.store((share * 1000.0) as u64, Ordering::Relaxed);
    }

    /// Returns whether the next request hangs.
    fn hangs(&self) -> bool {
        let share = self.0.hanging.load(Ordering::Relaxed);
        let count = self.0.count.fetch_add(1, Ordering::Relaxed);
        (count + 1) * share / 1000 > count * share / 1000
    }

    fn serve(&self, mut connection: Connection) {
        loop {
            // An idle connection is closed after ten seconds.
            let Ok(head) = connection.head(Instant::now() + Duration::from_secs(10)) else {
                return;
            };
            let (body, ended) =
                connection.body(&head, Instant::now() + Duration::from_secs(20), None);
            if ended != End::Whole || !self.handle(&mut connection, &head, body) {
                return;
            }
        }
    }

    fn head(&self, status: &str, id: &str, length: Option<usize>, more: &str) -> String {
        let length = length.map_or(String::new(), |length| format!("Content-Length: {length}\r\n"));
        format!("HTTP/1.1 {status}\r\nX-Chicoryloom-Attempt-Id: {id}\r\n{more}{length}\r\n")
    }

    /// Handles a request; returns whether the connection can be used again.
    fn handle(&self, connection: &mut Connection, head: &Head, body: Vec<u8>) -> bool {
        let (name, reached) = (self.name(), self.0.record.now());
        if head.word(1) == "/health" {
            let text = format!(
                "HTTP/1.1 200 OK\r\nX-Chicoryloom-Instance-Id: {name}\r\nContent-Length: 0\r\n\r\n"
            );
            return connection.send(text.as_bytes());
        }
        let Some(id) = head.get("x-chicoryloom-attempt-id").map(str::to_owned) else {
            let text = "HTTP/1.1 400 Bad Request\r\nX-Chicoryloom-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n";
            return connection.send(text.as_bytes());
        };
        if head.get("x-chicoryloom-expected-instance").is_some_and(|wanted| wanted != name) {
            let more = format!("X-Chicoryloom-Instance-Id: {name}\r\n");
            let text = self.head("421 Misdirected Request", &id, Some(0), &more);
            return connection.send(text.as_bytes());
        }
        // As many as the slots are worked on, and four times as many wait.
        if self.0.held.fetch_add(1, Ordering::AcqRel) >= self.0.slots * 5 {
            self.0.held.fetch_sub(1, Ordering::AcqRel);
            let more = "X-Chicoryloom-Not-Executed: 1\r\n";
            let text = self.head("503 Service Unavailable", &id, Some(0), more);
            return connection.send(text.as_bytes());
        }
        let mut working = self.0.working.0.lock().unwrap();
        while *working >= self.0.slots {
            working = self.0.working.1.wait(working).unwrap();
        }
        *working += 1;
        drop(working);
        let index = {
            let mut runs = self.0.runs.lock().unwrap();
            runs.push(Run {
                id: id.clone(),
                server: name.clone(),
                reached,
                body,
                sent: None,
                worked: None,
            });
            runs.len() - 1
        };
        self.0.record.add(format!("server {name} runs {id}"));
        let is_sent = self.work(connection, head, &id, index);
        *self.0.working.0.lock().unwrap() -= 1;
        self.0.working.1.notify_one();
        self.0.held.fetch_sub(1, Ordering::AcqRel);
        if is_sent {
            self.0.runs.lock().unwrap()[index].sent = Some(self.0.record.now());
            self.0.record.add(format!("server {name} has sent the whole answer to {id}"));
        } else {
            self.0.record.add(format!("server {name} could not finish the answer to {id}"));
        }
        is_sent
    }

    fn work(&self, connection: &mut Connection, head: &Head, id: &str, index: usize) -> bool {
        let work = Work::parse(head.word(1));
        let left = head.get("x-chicoryloom-deadline-remaining-ms");
        let left = left.and_then(|text| text.parse().ok()).map_or(60_000, |left: u64| left);
        let deadline = Instant::now() + Duration::from_millis(left);
        let seal = format!("X-Chicoryloom-Response-Seal: {:x}.{id}\r\n", work.bytes);
        let answer = self.head("200 OK", id, Some(work.bytes), &seal);
        // Works until a moment; returns false if the deadline comes first.
        let work_until = |at: Instant| {
            std::thread::sleep(at.min(deadline).saturating_duration_since(Instant::now()));
            at < deadline
        };
        let begun = Instant::now();
        let done = || self.0.runs.lock().unwrap()[index].worked = Some(self.0.record.now());
        let body = vec![b'x'; work.bytes];
        match work.mode.as_str() {
            "stream" => {
                const PIECES: u32 = 50;
                let hangs = self.hangs();
                if !connection.send(answer.as_bytes()) {
                    return false;
                }
                for piece in 0..PIECES {
                    if hangs && piece == PIECES / 2 {
                        self.0
                            .record
                            .add(format!("server {} hangs in the answer to {id}", self.name()));
                        connection.wait_for_close(Duration::from_secs(60));
                        return false;
                    }
                    if !work_until(begun + work.time * (piece + 1) / PIECES) {
                        return false;
                    }
                    let at = |index: u32| work.bytes * index as usize / PIECES as usize;
                    if !connection.send(&body[at(piece)..at(piece + 1)]) {
                        return false;
                    }
                }
                done();
                true
            }
            "late" => {
                if !connection.send(answer.as_bytes()) || !work_until(begun + work.time) {
                    return false;
                }
                done();
                connection.send(&body)
            }
            _ => {
                if !work_until(begun + work.time) {
                    let text = self.head("504 Gateway Timeout", id, Some(0), &seal);
                    return connection.send(text.as_bytes());
                }
                done();
                connection.send(answer.as_bytes()) && connection.send(&body)
            }
        }
    }
}
