//! The part of HTTP/1.1 that the stand-ins need, over blocking sockets.

use std::ffi::c_int;
use std::ffi::c_void;
use std::io;
use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::os::fd::AsRawFd;
use std::time::Duration;
use std::time::Instant;

const SOL_SOCKET: c_int = 1;
const SO_RCVBUF: c_int = 8;

unsafe extern "C" {
    fn setsockopt(
        socket: c_int,
        level: c_int,
        name: c_int,
        value: *const c_void,
        length: u32,
    ) -> c_int;
}

/// Head of a message: its first line and its headers, with names in lower case.
#[derive(Clone, Debug, Default)]
pub struct Head {
    pub line: String,
    pub headers: Vec<(String, String)>,
}

impl Head {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(known, _)| known == name).map(|(_, value)| value.as_str())
    }

    pub fn method(&self) -> &str {
        self.line.split(' ').next().unwrap_or_default()
    }

    pub fn target(&self) -> &str {
        self.line.split(' ').nth(1).unwrap_or_default()
    }

    pub fn status(&self) -> u16 {
        self.line.split(' ').nth(1).and_then(|text| text.parse().ok()).unwrap_or_default()
    }

    pub fn length(&self) -> Option<usize> {
        self.header("content-length")?.trim().parse().ok()
    }

    pub fn is_chunked(&self) -> bool {
        self.header("transfer-encoding").is_some_and(|value| value.contains("chunked"))
    }
}

/// A connection with what was read ahead.
#[derive(Debug)]
pub struct Connection {
    pub stream: TcpStream,
    ahead: Vec<u8>,
}

impl Connection {
    pub fn new(stream: TcpStream) -> Self {
        let _ = stream.set_nodelay(true);
        Self { stream, ahead: Vec::new() }
    }

    pub fn connect(address: SocketAddr) -> io::Result<Self> {
        let stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
        Ok(Self::new(stream))
    }

    /// Reads some bytes behind those read ahead; 0 at the end.
    fn fill(&mut self) -> io::Result<usize> {
        let mut bytes = [0; 16 * 1024];
        let count = self.stream.read(&mut bytes)?;
        self.ahead.extend_from_slice(&bytes[..count]);
        Ok(count)
    }

    /// Reads a head; `None` if the connection ends before its first byte.
    pub fn read_head(&mut self) -> io::Result<Option<Head>> {
        loop {
            if let Some(end) = self.ahead.windows(4).position(|window| window == b"\r\n\r\n") {
                let text = String::from_utf8_lossy(&self.ahead[..end]).into_owned();
                self.ahead.drain(..end + 4);
                let mut lines = text.split("\r\n");
                let line = lines.next().unwrap_or_default().to_owned();
                let parse = |line: &str| {
                    let (name, value) = line.split_once(':')?;
                    Some((name.trim().to_ascii_lowercase(), value.trim().to_owned()))
                };
                return Ok(Some(Head { line, headers: lines.filter_map(parse).collect() }));
            }
            if self.fill()? == 0 {
                if self.ahead.is_empty() {
                    return Ok(None);
                }
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
    }

    /// Reads up to `most` bytes of a body; empty at the end of the connection.
    pub fn read_some(&mut self, most: usize) -> io::Result<Vec<u8>> {
        if self.ahead.is_empty() {
            self.fill()?;
        }
        let count = most.min(self.ahead.len());
        Ok(self.ahead.drain(..count).collect())
    }

    pub fn read_exact(&mut self, length: usize) -> io::Result<Vec<u8>> {
        let mut body = Vec::with_capacity(length);
        while body.len() < length {
            let some = self.read_some(length - body.len())?;
            if some.is_empty() {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
            body.extend_from_slice(&some);
        }
        Ok(body)
    }

    fn read_line(&mut self) -> io::Result<String> {
        loop {
            if let Some(end) = self.ahead.windows(2).position(|window| window == b"\r\n") {
                let line = String::from_utf8_lossy(&self.ahead[..end]).into_owned();
                self.ahead.drain(..end + 2);
                return Ok(line);
            }
            if self.fill()? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
    }

    /// Reads the body that a head announces; one without a length or chunks is empty.
    pub fn read_body(&mut self, head: &Head) -> io::Result<Vec<u8>> {
        if !head.is_chunked() {
            return self.read_exact(head.length().unwrap_or_default());
        }
        let mut body = Vec::new();
        loop {
            let line = self.read_line()?;
            let digits = line.split(';').next().unwrap_or_default().trim();
            let size = usize::from_str_radix(digits, 16).map_err(|_| io::ErrorKind::InvalidData)?;
            if size == 0 {
                while !self.read_line()?.is_empty() {}
                return Ok(body);
            }
            body.extend(self.read_exact(size)?);
            self.read_line()?;
        }
    }

    pub fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes)
    }

    /// Bounds what the system buffers of what the peer sends, as links have small windows.
    pub fn set_receive_buffer(&self, bytes: i32) {
        let value = (&raw const bytes).cast();
        let length = size_of::<i32>() as u32;
        // SAFETY: the descriptor is open, and the value lives until the call has returned.
        unsafe { setsockopt(self.stream.as_raw_fd(), SOL_SOCKET, SO_RCVBUF, value, length) };
    }

    pub fn set_timeout(&self, timeout: Duration) {
        let _ = self.stream.set_read_timeout(Some(timeout));
    }
}

/// Returns a call's status and body, or `None` without a whole answer.
pub fn call(
    address: SocketAddr,
    method: &str,
    path: &str,
    body: &[u8],
    timeout: Duration,
) -> Option<(u16, Vec<u8>)> {
    let mut connection = Connection::connect(address).ok()?;
    connection.set_timeout(timeout);
    let head = format!(
        "{method} {path} HTTP/1.1\r\nHost: {address}\r\nContent-Length: {}\r\nConnection: close\r\n\r\n",
        body.len()
    );
    connection.write(head.as_bytes()).ok()?;
    connection.write(body).ok()?;
    let head = connection.read_head().ok()??;
    let body = connection.read_body(&head).ok()?;
    Some((head.status(), body))
}

/// A request of a client.
#[derive(Clone, Debug)]
pub struct Request<'a> {
    pub method: &'a str,
    pub path: &'a str,
    pub host: &'a str,
    pub id: &'a str,
    pub key: &'a str,
    pub deadline: Duration,
    pub body: &'a [u8],
}

impl Request<'_> {
    /// Sends the request over a new connection; returns the head of the answer if that came whole.
    pub fn send(&self, address: SocketAddr) -> Option<Head> {
        let mut connection = Connection::connect(address).ok()?;
        connection.set_timeout(self.deadline + Duration::from_secs(1));
        let head = format!(
            "{} {} HTTP/1.1\r\nHost: {}\r\nX-Chicoryloom-Attempt-Id: {}\r\n\
             X-Chicoryloom-Deadline-Remaining-Ms: {}\r\nApi-Key: {}\r\nContent-Length: {}\r\n\r\n",
            self.method,
            self.path,
            self.host,
            self.id,
            self.deadline.as_millis(),
            self.key,
            self.body.len()
        );
        connection.write(&[head.as_bytes(), self.body].concat()).ok()?;
        let head = connection.read_head().ok()??;
        connection.read_body(&head).ok()?;
        Some(head)
    }
}

/// Waits until a condition holds; returns whether it does in time.
pub fn wait_until(timeout: Duration, mut condition: impl FnMut() -> bool) -> bool {
    let end = Instant::now() + timeout;
    while Instant::now() < end {
        if condition() {
            return true;
        }
        std::thread::sleep(Duration::from_millis(20));
    }
    condition()
}
