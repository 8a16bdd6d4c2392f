//! Just enough of HTTP/1.1 for the stand-ins: heads, bodies with a length or in chunks.

use std::io::ErrorKind;
use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::time::Duration;
use std::time::Instant;

/// Head of a request or an answer: its first line, and its headers with lower-case names.
#[derive(Clone, Debug, Default)]
pub struct Head {
    pub line: String,
    pub headers: Vec<(String, String)>,
}

impl Head {
    pub fn get(&self, name: &str) -> Option<&str> {
        let mut found = self.headers.iter().filter(|(known, _)| known == name);
        found.next().map(|(_, value)| value.as_str())
    }

    pub fn word(&self, index: usize) -> &str {
        self.line.split(' ').nth(index).unwrap_or("")
    }

    pub fn status(&self) -> u16 {
        self.word(1).parse().unwrap_or(0)
    }

    fn parse(text: &str) -> Self {
        let mut lines = text.split("\r\n");
        let line = lines.next().unwrap_or("").to_owned();
        let pair = |line: &str| {
            let (name, value) = line.split_once(':')?;
            Some((name.trim().to_ascii_lowercase(), value.trim().to_owned()))
        };
        Self { line, headers: lines.filter_map(pair).collect() }
    }
}

/// A connection with the bytes that were read from it and not used yet.
pub struct Connection {
    pub stream: TcpStream,
    pub rest: Vec<u8>,
}

/// How a read ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum End {
    /// Everything has arrived.
    Whole,
    /// The peer closed or reset the connection first.
    Closed,
    /// The time was over first.
    TimedOut,
}

impl Connection {
    pub fn new(stream: TcpStream) -> Self {
        let _ = stream.set_nodelay(true);
        Self { stream, rest: Vec::new() }
    }

    pub fn open(address: SocketAddr) -> Option<Self> {
        TcpStream::connect_timeout(&address, Duration::from_secs(1)).ok().map(Self::new)
    }

    /// Reads more bytes, at most `most`, until `end`.
    fn fill(&mut self, most: usize, end: Instant) -> Result<usize, End> {
        let mut buffer = vec![0; most];
        loop {
            let left = end.saturating_duration_since(Instant::now());
            if left.is_zero() {
                return Err(End::TimedOut);
            }
            let _ = self.stream.set_read_timeout(Some(left.max(Duration::from_millis(1))));
            match self.stream.read(&mut buffer) {
                Ok(0) => return Err(End::Closed),
                Ok(count) => {
                    self.rest.extend_from_slice(&buffer[..count]);
                    return Ok(count);
                }
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                Err(error)
                    if matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) =>
                {
                    return Err(End::TimedOut);
                }
                Err(_) => return Err(End::Closed),
            }
        }
    }

    /// Reads a head.
    pub fn head(&mut self, end: Instant) -> Result<Head, End> {
        loop {
            if let Some(at) = self.rest.windows(4).position(|bytes| bytes == b"\r\n\r\n") {
                let text = String::from_utf8_lossy(&self.rest[..at]).into_owned();
                self.rest.drain(..at + 4);
                return Ok(Head::parse(&text));
            }
            self.fill(16 * 1024, end)?;
        }
    }

    /// Reads a body as its head announces it; returns what has arrived, and how it ended. With
    /// `rate`, it reads that many bytes a second.
    pub fn body(&mut self, head: &Head, end: Instant, rate: Option<f64>) -> (Vec<u8>, End) {
        let is_chunked = head
            .get("transfer-encoding")
            .is_some_and(|value| value.eq_ignore_ascii_case("chunked"));
        let length: Option<usize> = head.get("content-length").and_then(|value| value.parse().ok());
        if is_chunked {
            return self.chunks(end, rate);
        }
        let is_request = !head.line.starts_with("HTTP/");
        let wanted = match length {
            Some(length) => length,
            None if is_request => 0,
            None => usize::MAX,
        };
        let begun = Instant::now();
        let mut taken = 0.0;
        while self.rest.len() < wanted {
            let most = match rate {
                Some(rate) => {
                    let due = taken / rate;
                    let due = begun + Duration::from_secs_f64(due);
                    std::thread::sleep(due.saturating_duration_since(Instant::now()));
                    ((rate / 100.0) as usize).max(512)
                }
                None => 256 * 1024,
            };
            match self.fill(most, end) {
                Ok(count) => taken += count as f64,
                Err(End::Closed) if wanted == usize::MAX => {
                    return (std::mem::take(&mut self.rest), End::Whole);
                }
                Err(ended) => return (std::mem::take(&mut self.rest), ended),
            }
        }
        let body = self.rest.drain(..wanted).collect();
        (body, End::Whole)
    }

    fn chunks(&mut self, end: Instant, rate: Option<f64>) -> (Vec<u8>, End) {
        let mut body = Vec::new();
        let begun = Instant::now();
        loop {
            let line = loop {
                if let Some(at) = self.rest.windows(2).position(|bytes| bytes == b"\r\n") {
                    let line: Vec<u8> = self.rest.drain(..at + 2).collect();
                    break String::from_utf8_lossy(&line[..at]).into_owned();
                }
                if let Err(ended) = self.fill(16 * 1024, end) {
                    return (body, ended);
                }
            };
            let size = line.split(';').next().unwrap_or("").trim();
            let Ok(size) = usize::from_str_radix(size, 16) else { return (body, End::Closed) };
            while self.rest.len() < size + 2 {
                if let Some(rate) = rate {
                    let due = begun + Duration::from_secs_f64(body.len() as f64 / rate);
                    std::thread::sleep(due.saturating_duration_since(Instant::now()));
                }
                if let Err(ended) = self.fill(64 * 1024, end) {
                    body.append(&mut self.rest);
                    return (body, ended);
                }
            }
            body.extend(self.rest.drain(..size));
            self.rest.drain(..2);
            if size == 0 {
                return (body, End::Whole);
            }
        }
    }

    /// Waits until the peer closes the connection, for `time` at most.
    pub fn wait_for_close(&mut self, time: Duration) {
        let end = Instant::now() + time;
        while self.fill(1024, end).is_ok() {}
    }

    pub fn send(&mut self, bytes: &[u8]) -> bool {
        self.stream.write_all(bytes).is_ok()
    }
}

/// Makes the receive buffer of a connection small, as behind a slow link.
pub fn connect_with_small_window(address: SocketAddr) -> Option<Connection> {
    use std::os::fd::FromRawFd;
    unsafe extern "C" {
        fn socket(domain: i32, kind: i32, protocol: i32) -> i32;
        fn setsockopt(fd: i32, level: i32, name: i32, value: *const i32, length: u32) -> i32;
        fn connect(fd: i32, address: *const u8, length: u32) -> i32;
    }
    let SocketAddr::V4(v4) = address else { return None };
    let mut raw = [0u8; 16];
    raw[..2].copy_from_slice(&2u16.to_ne_bytes());
    raw[2..4].copy_from_slice(&v4.port().to_be_bytes());
    raw[4..8].copy_from_slice(&v4.ip().octets());
    // SAFETY: plain calls of the C library with valid pointers; the descriptor is owned once.
    let stream = unsafe {
        let fd = socket(2, 1, 0);
        if fd < 0 {
            return None;
        }
        let stream = TcpStream::from_raw_fd(fd);
        let size: i32 = 64 * 1024;
        // SOL_SOCKET, SO_RCVBUF on Linux.
        setsockopt(fd, 1, 8, &size, 4);
        if connect(fd, raw.as_ptr(), 16) != 0 {
            return None;
        }
        stream
    };
    Some(Connection::new(stream))
}
