//! A stand-in for the users' clients.

use std::io;
use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::time::Duration;
use std::time::Instant;

use crate::http::Head;
use crate::record::Record;

/// Time in which a connection must be established.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Bytes that a slow reader takes at a time.
const READ_PIECE: usize = 16 * 1024;
/// Host name of all routes.
pub const HOST: &str = "trial.example";

/// A request of a client.
#[derive(Clone, Debug)]
pub struct Request {
    pub id: String,
    pub method: &'static str,
    pub path: String,
    pub key: &'static str,
    pub deadline: Duration,
    pub body: usize,
}

/// How a request ended for its client.
#[derive(Clone, Debug)]
pub struct Outcome {
    pub id: String,
    /// When its last byte was sent; `None` if it could not be sent whole.
    pub sent: Option<Instant>,
    /// Status of a whole answer; `None` if the connection ended before.
    pub status: Option<u16>,
}

/// A connection to a machine, which is kept open between requests.
#[derive(Debug)]
pub struct Connection {
    stream: TcpStream,
    record: Record,
}

impl Connection {
    pub fn open(address: SocketAddr, record: &Record) -> io::Result<Self> {
        let stream = TcpStream::connect_timeout(&address, CONNECT_TIMEOUT)?;
        stream.set_nodelay(true)?;
        Ok(Self { stream, record: record.clone() })
    }

    fn write(&mut self, request: &Request) -> io::Result<()> {
        let Request { id, method, path, key, deadline, body } = request;
        self.record
            .add(format!("client: {id} is sent to {}, {method} {path}", self.stream.peer_addr()?));
        let length =
            if *method == "POST" { format!("Content-Length: {body}\r\n") } else { String::new() };
        let head = format!(
            "{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nX-Chicoryloom-Attempt-Id: {id}\r\n\
             X-Chicoryloom-Deadline-Remaining-Ms: {}\r\nApi-Key: {key}\r\n{length}\r\n",
            deadline.as_millis()
        );
        let mut bytes = head.into_bytes();
        bytes.resize(bytes.len() + body, b'x');
        self.stream.write_all(&bytes)
    }

    /// Sends a request and waits for its answer.
    pub fn call(&mut self, request: &Request) -> Outcome {
        let sent = self.write(request).is_ok().then(Instant::now);
        let _ = self.stream.set_read_timeout(Some(request.deadline + Duration::from_secs(2)));
        let status = self.read_answer().ok().flatten();
        let seen = status.map_or("no whole answer".to_owned(), |status| status.to_string());
        self.record.add(format!("client: {} ends with {seen}", request.id));
        Outcome { id: request.id.clone(), sent, status }
    }

    fn read_answer(&mut self) -> io::Result<Option<u16>> {
        let Some(head) = Head::read(&mut self.stream)? else { return Ok(None) };
        head.read_body(&mut self.stream)?;
        Ok(head.word(1).parse().ok())
    }

    /// Sends a request and reads its answer at a rate in bytes per second; returns how much of the body
    /// arrived beside the outcome.
    pub fn call_slowly(&mut self, request: &Request, rate: usize) -> (Outcome, usize) {
        let sent = self.write(request).is_ok().then(Instant::now);
        let _ = self.stream.set_read_timeout(Some(request.deadline + Duration::from_secs(2)));
        let mut arrived = 0;
        let status = self.read_slowly(rate, &mut arrived).ok().flatten();
        let seen = status.map_or("no whole answer".to_owned(), |status| status.to_string());
        self.record.add(format!("client: {} ends with {seen} after {arrived} bytes", request.id));
        (Outcome { id: request.id.clone(), sent, status }, arrived)
    }

    fn read_slowly(&mut self, rate: usize, arrived: &mut usize) -> io::Result<Option<u16>> {
        let Some(head) = Head::read(&mut self.stream)? else { return Ok(None) };
        let (begun, mut piece) = (Instant::now(), vec![0; READ_PIECE]);
        while *arrived < head.length() {
            let due = Duration::from_secs_f64(*arrived as f64 / rate as f64);
            std::thread::sleep(due.saturating_sub(begun.elapsed()));
            let most = piece.len().min(head.length() - *arrived);
            let count = self.stream.read(&mut piece[..most])?;
            if count == 0 {
                return Ok(None);
            }
            *arrived += count;
        }
        Ok(head.word(1).parse().ok())
    }

    /// Sends a request, and closes the connection after a time if it has no answer by then; returns when
    /// it was closed.
    pub fn call_until(mut self, request: &Request, patience: Duration) -> Option<Instant> {
        let end = Instant::now() + patience;
        if self.write(request).is_err() {
            return None;
        }
        let left = end.saturating_duration_since(Instant::now()).max(Duration::from_millis(1));
        let _ = self.stream.set_read_timeout(Some(left));
        if matches!(self.stream.read(&mut [0]), Ok(count) if count > 0) {
            self.record.add(format!("client: {} is answered in time", request.id));
            return None;
        }
        self.record.add(format!("client: {} is given up, its connection closed", request.id));
        Some(Instant::now())
    }
}
