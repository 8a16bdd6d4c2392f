//! Identifiers as newtypes.

use std::fmt;
use std::net::SocketAddr;
use std::str::FromStr;

use serde::Deserialize;
use serde::Serialize;
use smol_str::SmolStr;

/// Maximum length of the name of a service, workspace, host, data centre or route, in bytes.
pub const MAX_NAME_BYTES: usize = 63;

/// Separates what an alias keeps of a name from the digest behind it.
const ALIAS_SEPARATOR: &str = "--";
/// Length of the digest in an alias, in hexadecimal digits.
const ALIAS_DIGITS: usize = 32;
/// Most characters of a name that an alias keeps.
const ALIAS_KEPT_CHARS: usize = MAX_NAME_BYTES - ALIAS_DIGITS - ALIAS_SEPARATOR.len();

/// Error for a name that is empty, too long or has a character other than `a-z`, `0-9` and `-`.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct InvalidName(pub SmolStr);

impl fmt::Display for InvalidName {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "name {:?} is not 1 to {MAX_NAME_BYTES} characters of a-z, 0-9 and -", self.0)
    }
}

impl std::error::Error for InvalidName {}

fn check_name(text: &str) -> Result<SmolStr, InvalidName> {
    let allowed = |byte: u8| byte.is_ascii_lowercase() || byte.is_ascii_digit() || byte == b'-';
    let length_is_valid = !text.is_empty() && text.len() <= MAX_NAME_BYTES;
    if length_is_valid && text.bytes().all(allowed) {
        Ok(SmolStr::new(text))
    } else {
        Err(InvalidName(SmolStr::new(text)))
    }
}

/// Returns whether a valid name has the form of an alias.
fn is_alias(name: &str) -> bool {
    let is_digit = |byte: u8| byte.is_ascii_digit() || (b'a'..=b'f').contains(&byte);
    name.rsplit_once(ALIAS_SEPARATOR)
        .is_some_and(|(_, digest)| digest.len() == ALIAS_DIGITS && digest.bytes().all(is_digit))
}

/// Returns the valid name that stands for any text: the text itself, or else what can be kept of it and its
/// digest. A valid name in the form of an alias is replaced as well, so that no two texts share one.
fn alias(text: &str) -> SmolStr {
    if let Ok(name) = check_name(text)
        && !is_alias(&name)
    {
        return name;
    }
    let kept = text.chars().filter(|char| char.is_ascii_alphanumeric() || *char == '-');
    let kept: String = kept.take(ALIAS_KEPT_CHARS).collect();
    let digest = Digest::of(text).to_string();
    let (kept, digest) = (kept.to_ascii_lowercase(), &digest[..ALIAS_DIGITS]);
    SmolStr::from(format!("{kept}{ALIAS_SEPARATOR}{digest}"))
}

/// Defines a newtype around a validated name.
macro_rules! name {
    ($(#[$doc:meta])* $type:ident) => {
        $(#[$doc])*
        #[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
        #[derive(Deserialize, Serialize)]
        #[serde(try_from = "SmolStr", into = "SmolStr")]
        pub struct $type(SmolStr);

        impl $type {
            /// Returns the name that stands for one of another system, which may be any text. Different
            /// texts have different names, and a valid name stands for itself unless it has the form of
            /// an alias.
            pub fn alias(text: &str) -> Self {
                Self(alias(text))
            }

            /// Returns the name as text.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl fmt::Display for $type {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }

        impl FromStr for $type {
            type Err = InvalidName;

            fn from_str(text: &str) -> Result<Self, Self::Err> {
                check_name(text).map(Self)
            }
        }

        impl TryFrom<SmolStr> for $type {
            type Error = InvalidName;

            fn try_from(text: SmolStr) -> Result<Self, Self::Error> {
                text.parse()
            }
        }

        impl From<$type> for SmolStr {
            fn from(name: $type) -> Self {
                name.0
            }
        }
    };
}

name!(
    /// A service, owned by one team.
    Service
);
name!(
    /// A customer of the services; callers present a key that belongs to it.
    Workspace
);
name!(
    /// A machine that runs the system.
    Host
);
name!(
    /// A data centre.
    DataCentre
);
name!(
    /// A route within a service.
    Route
);
name!(
    /// A label that groups routes in histograms.
    Class
);

name!(
    /// One incarnation of a target's process, as named by the platform.
    Instance
);

/// A target, named by its IP address and port.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, Deserialize, Serialize)]
pub struct Target(pub SocketAddr);

impl fmt::Display for Target {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

impl FromStr for Target {
    type Err = std::net::AddrParseError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        text.parse().map(Self)
    }
}

/// One run of a host's process; each restart gives the host another incarnation.
#[derive(
    Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd, Deserialize, Serialize,
)]
pub struct Incarnation(pub u64);

impl fmt::Display for Incarnation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

impl FromStr for Incarnation {
    type Err = std::num::ParseIntError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        u64::from_str_radix(text, 16).map(Self)
    }
}

/// A revision of the platform's store; increases with each change of any object.
#[derive(
    Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd, Deserialize, Serialize,
)]
pub struct Revision(pub u64);

impl fmt::Display for Revision {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

impl FromStr for Revision {
    type Err = std::num::ParseIntError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        text.parse().map(Self)
    }
}

/// The digest under which a caller's key is stored; the key itself never is.
#[derive(Clone, Copy, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Digest([u8; Digest::SIZE]);

impl Digest {
    /// Size of a digest in bytes.
    pub const SIZE: usize = 32;

    /// Returns the digest of a caller's key.
    pub fn of(key: &str) -> Self {
        Self(*blake3::hash(key.as_bytes()).as_bytes())
    }
}

/// Hides the digest, so that it can't get into a log.
impl fmt::Debug for Digest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Digest(..)")
    }
}

/// Writes the digest in hexadecimal, which is the name of the key's object.
impl fmt::Display for Digest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(blake3::Hash::from_bytes(self.0).to_hex().as_str())
    }
}

impl FromStr for Digest {
    type Err = blake3::HexError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        Ok(Self(*blake3::Hash::from_hex(text)?.as_bytes()))
    }
}

#[cfg(test)]
mod tests {
    use rstest::rstest;

    use super::*;

    #[rstest]
    #[case("calendar", true)]
    #[case("north-2", true)]
    #[case("", false)]
    #[case("Calendar", false)]
    #[case("a/b", false)]
    fn names_are_checked(#[case] text: &str, #[case] valid: bool) {
        assert_eq!(text.parse::<Service>().is_ok(), valid);
    }

    #[test]
    fn digest_is_hidden_from_debug_output() {
        let digest = Digest::of("k");
        assert_eq!(format!("{digest:?}"), "Digest(..)");
        assert_eq!(digest.to_string().parse::<Digest>().unwrap(), digest);
    }
}
