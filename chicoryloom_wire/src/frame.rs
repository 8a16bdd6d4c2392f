//! Frames between entry hosts: encoding, size and keyed MAC.

use std::fmt;

use chicoryloom_policy::id;

use crate::generated::frame as raw;

pub use raw::Body;

/// Version of the peer protocol.
pub const VERSION: u8 = 1;
/// Largest datagram, in bytes; fits an Ethernet frame.
pub const MAX_SIZE: usize = 1400;
/// Largest frame on a TCP stream, in bytes; fits a page with one object of the largest size.
pub const MAX_STREAM_SIZE: usize = 4 * 1024 * 1024;
/// Bytes of the MAC at the end of a frame.
const MAC_SIZE: usize = 16;
/// Context of the key derivation.
const KEY_CONTEXT: &str = "chicoryloom 2026-12-03 peer frame v1";

/// Key of the frames' MAC, derived from the fleet's secret.
#[derive(Clone)]
pub struct Secret([u8; 32]);

impl Secret {
    /// Derives the key from the fleet's secret.
    pub fn derive(secret: &str) -> Self {
        Self(blake3::derive_key(KEY_CONTEXT, secret.as_bytes()))
    }

    fn mac(&self, bytes: &[u8]) -> [u8; MAC_SIZE] {
        let mut mac = [0; MAC_SIZE];
        mac.copy_from_slice(&blake3::keyed_hash(&self.0, bytes).as_bytes()[..MAC_SIZE]);
        mac
    }
}

impl fmt::Debug for Secret {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Secret(..)")
    }
}

/// A message from one host to another.
#[derive(Clone, Debug, PartialEq)]
pub struct Frame {
    pub sender: id::Host,
    pub incarnation: id::Incarnation,
    /// Grows with each frame of an incarnation.
    pub sequence: u64,
    pub body: Body,
}

/// Why a datagram is no frame.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum Error {
    Size,
    Version,
    Mac,
    Body,
    Sender,
    /// The frame was seen before, or its incarnation has ended.
    Replay,
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Size => "size",
            Self::Version => "version",
            Self::Mac => "mac",
            Self::Body => "body",
            Self::Sender => "sender",
            Self::Replay => "replay",
        })
    }
}

impl std::error::Error for Error {}

impl TryFrom<raw::Frame> for Frame {
    type Error = Error;

    fn try_from(raw: raw::Frame) -> Result<Self, Self::Error> {
        Ok(Self {
            sender: raw.sender.parse().map_err(|_| Error::Sender)?,
            incarnation: id::Incarnation(raw.incarnation),
            sequence: raw.sequence,
            body: raw.body,
        })
    }
}

impl From<&Frame> for raw::Frame {
    fn from(frame: &Frame) -> Self {
        Self {
            sender: frame.sender.to_string(),
            incarnation: frame.incarnation.0,
            sequence: frame.sequence,
            body: frame.body.clone(),
        }
    }
}

/// Encodes a frame for a datagram: version, body, MAC.
pub fn encode(frame: &Frame, secret: &Secret) -> Result<Vec<u8>, Error> {
    encode_within(MAX_SIZE, frame, secret)
}

/// Encodes a frame for a TCP stream.
pub fn encode_stream(frame: &Frame, secret: &Secret) -> Result<Vec<u8>, Error> {
    encode_within(MAX_STREAM_SIZE, frame, secret)
}

fn encode_within(max: usize, frame: &Frame, secret: &Secret) -> Result<Vec<u8>, Error> {
    let mut bytes = vec![VERSION];
    bytes = postcard::to_extend(&raw::Frame::from(frame), bytes).map_err(|_| Error::Body)?;
    let mac = secret.mac(&bytes);
    bytes.extend_from_slice(&mac);
    if bytes.len() > max {
        return Err(Error::Size);
    }
    Ok(bytes)
}

/// Decodes a frame from a datagram and checks its size, version and MAC.
pub fn decode(bytes: &[u8], secret: &Secret) -> Result<Frame, Error> {
    decode_within(MAX_SIZE, bytes, secret)
}

/// Decodes a frame from a TCP stream.
pub fn decode_stream(bytes: &[u8], secret: &Secret) -> Result<Frame, Error> {
    decode_within(MAX_STREAM_SIZE, bytes, secret)
}

fn decode_within(max: usize, bytes: &[u8], secret: &Secret) -> Result<Frame, Error> {
    if bytes.len() > max || bytes.len() <= MAC_SIZE {
        return Err(Error::Size);
    }
    let (signed, mac) = bytes.split_at(bytes.len() - MAC_SIZE);
    let (version, body) = signed.split_first().ok_or(Error::Size)?;
    if *version != VERSION {
        return Err(Error::Version);
    }
    // Comparing hashes takes constant time; comparing slices would not.
    let expected = blake3::hash(&secret.mac(signed));
    if blake3::hash(mac) != expected {
        return Err(Error::Mac);
    }
    let (raw, rest) = postcard::take_from_bytes::<raw::Frame>(body).map_err(|_| Error::Body)?;
    if !rest.is_empty() {
        return Err(Error::Body);
    }
    raw.try_into()
}

#[cfg(test)]
mod tests {
    use super::*;

    fn heartbeat() -> Frame {
        let body = raw::Heartbeat {
            caller: String::new(),
            challenge: 7,
            confirmed: true,
            echo: 3,
            leaving: false,
            revision: 12,
            serving: true,
            status: 11,
            vouched: 0,
        };
        Frame {
            sender: "host-1".parse().unwrap(),
            incarnation: id::Incarnation(5),
            sequence: 1,
            body: Body::Heartbeat(body),
        }
    }

    #[test]
    fn frame_survives_the_wire() {
        let secret = Secret::derive("s");
        let bytes = encode(&heartbeat(), &secret).unwrap();
        assert_eq!(decode(&bytes, &secret), Ok(heartbeat()));
    }

    #[test]
    fn foreign_secret_is_refused() {
        let bytes = encode(&heartbeat(), &Secret::derive("s")).unwrap();
        assert_eq!(decode(&bytes, &Secret::derive("t")), Err(Error::Mac));
    }
}
