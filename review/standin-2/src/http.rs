//! HTTP/1.1 as far as the stand-ins need it.

use std::io;
use std::io::Read;
use std::net::TcpStream;

/// Longest head that is read, in bytes.
const MAX_HEAD: usize = 64 * 1024;

/// First line and headers of a request or an answer.
#[derive(Clone, Debug, Default)]
pub struct Head {
    pub line: String,
    headers: Vec<(String, String)>,
}

impl Head {
    /// Reads a head; `None` if the connection ends before its first byte.
    pub fn read(stream: &mut TcpStream) -> io::Result<Option<Self>> {
        let mut bytes = Vec::new();
        let mut byte = [0];
        while !bytes.ends_with(b"\r\n\r\n") {
            if stream.read(&mut byte)? == 0 {
                if bytes.is_empty() {
                    return Ok(None);
                }
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
            bytes.push(byte[0]);
            if bytes.len() > MAX_HEAD {
                return Err(io::ErrorKind::InvalidData.into());
            }
        }
        let text = String::from_utf8_lossy(&bytes).into_owned();
        let mut lines = text.split("\r\n");
        let line = lines.next().unwrap_or_default().to_owned();
        let headers = lines.filter_map(|line| line.split_once(':'));
        let headers =
            headers.map(|(name, value)| (name.trim().to_lowercase(), value.trim().to_owned()));
        Ok(Some(Self { line, headers: headers.collect() }))
    }

    pub fn get(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(known, _)| known == name);
        found.map(|(_, value)| value.as_str())
    }

    /// Returns the word of the first line at `index`.
    pub fn word(&self, index: usize) -> &str {
        self.line.split(' ').nth(index).unwrap_or_default()
    }

    /// Returns the length that the head announces.
    pub fn length(&self) -> usize {
        self.get("content-length").and_then(|length| length.parse().ok()).unwrap_or_default()
    }

    pub fn is_chunked(&self) -> bool {
        self.get("transfer-encoding")
            .is_some_and(|coding| coding.to_lowercase().contains("chunked"))
    }

    /// Reads the body that follows the head.
    pub fn read_body(&self, stream: &mut TcpStream) -> io::Result<Vec<u8>> {
        if self.is_chunked() {
            return read_chunks(stream);
        }
        let mut body = vec![0; self.length()];
        stream.read_exact(&mut body)?;
        Ok(body)
    }
}

fn read_line(stream: &mut TcpStream) -> io::Result<String> {
    let mut bytes = Vec::new();
    let mut byte = [0];
    while !bytes.ends_with(b"\r\n") {
        stream.read_exact(&mut byte)?;
        bytes.push(byte[0]);
    }
    Ok(String::from_utf8_lossy(&bytes).trim().to_owned())
}

fn read_chunks(stream: &mut TcpStream) -> io::Result<Vec<u8>> {
    let mut body = Vec::new();
    loop {
        let line = read_line(stream)?;
        let size = line.split(';').next().unwrap_or_default();
        let size = usize::from_str_radix(size, 16).map_err(|_| io::ErrorKind::InvalidData)?;
        let mut chunk = vec![0; size];
        stream.read_exact(&mut chunk)?;
        body.extend_from_slice(&chunk);
        read_line(stream)?;
        if size == 0 {
            return Ok(body);
        }
    }
}
