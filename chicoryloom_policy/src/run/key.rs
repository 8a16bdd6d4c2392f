//! Identifiers of series and of the requests in them.

use std::fmt;
use std::str::FromStr;

use crate::ledger::Holder;

/// First number of each series.
pub const FIRST_NUMBER: u64 = 1;

/// Identifies a series by its issuer and its number there.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct Series {
    pub issuer: Holder,
    pub number: u64,
}

/// Run key: identifies one request of a series.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct Key {
    pub series: Series,
    pub number: u64,
}

/// Error for a text that is neither a series nor a run key.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct InvalidKey;

impl fmt::Display for InvalidKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("not a run key of the form SERIES.NUMBER")
    }
}

impl std::error::Error for InvalidKey {}

impl fmt::Display for Series {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}.{:x}", self.issuer.host, self.issuer.incarnation, self.number)
    }
}

impl FromStr for Series {
    type Err = InvalidKey;

    fn from_str(text: &str) -> Result<Self, InvalidKey> {
        let mut parts = text.split('.');
        let mut next = || parts.next().ok_or(InvalidKey);
        let host = next()?.parse().map_err(|_| InvalidKey)?;
        let incarnation = next()?.parse().map_err(|_| InvalidKey)?;
        let number = u64::from_str_radix(next()?, 16).map_err(|_| InvalidKey)?;
        let issuer = Holder { host, incarnation };
        parts.next().is_none().then_some(Self { issuer, number }).ok_or(InvalidKey)
    }
}

impl fmt::Display for Key {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.series, self.number)
    }
}

impl FromStr for Key {
    type Err = InvalidKey;

    fn from_str(text: &str) -> Result<Self, InvalidKey> {
        let (series, number) = text.rsplit_once('.').ok_or(InvalidKey)?;
        let number = number.parse().ok().filter(|number| *number >= FIRST_NUMBER);
        Ok(Self { series: series.parse()?, number: number.ok_or(InvalidKey)? })
    }
}

/// Hash of a request's method, path and body.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Fingerprint([u8; 16]);

impl Fingerprint {
    /// Returns the fingerprint of a request.
    pub fn of(method: &str, path: &str, body: &[u8]) -> Self {
        let mut hasher = blake3::Hasher::new();
        for part in [method.as_bytes(), path.as_bytes(), body] {
            hasher.update(&(part.len() as u64).to_le_bytes());
            hasher.update(part);
        }
        let mut bytes = [0; 16];
        bytes.copy_from_slice(&hasher.finalize().as_bytes()[..16]);
        Self(bytes)
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::id;

    /// Key as the builds 8dcadc6 and 82b259a write it.
    #[test]
    fn keys_of_other_builds_are_read() {
        let text = "host-1.00000000000000ff.1a.42";
        let key: Key = text.parse().unwrap();
        assert_eq!((key.series.number, key.number), (26, 42));
        assert_eq!(key.series.issuer.incarnation, id::Incarnation(255));
        assert_eq!(key.to_string(), text);
    }

    #[test]
    fn keys_round_trip_through_text() {
        let incarnation = id::Incarnation(255);
        let issuer = Holder { host: "host-1".parse().unwrap(), incarnation };
        let key = Key { series: Series { issuer, number: 17 }, number: 42 };
        assert_eq!(key.to_string().parse(), Ok(key));
        for text in ["", "x", "host-1.ff.1", "host-1.ff.1.0", "host-1.ff.1.2.3", "H.ff.1.2"] {
            assert_eq!(text.parse::<Key>(), Err(InvalidKey), "{text}");
        }
    }
}
