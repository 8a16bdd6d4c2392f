//! Callers' keys as kept by the platform.

use std::fmt;

use chicoryloom_policy::id;

use crate::generated::key as raw;

/// What the platform knows of one key.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Key {
    pub workspace: id::Workspace,
    /// Whether the key was withdrawn; a withdrawn key is never granted again.
    pub withdrawn: bool,
}

/// Why a stored key can't be used.
#[derive(Debug)]
pub enum Error {
    Json(serde_json::Error),
    Workspace(id::InvalidName),
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Json(error) => write!(f, "key object: {error}"),
            Self::Workspace(error) => write!(f, "key object: workspace: {error}"),
        }
    }
}

impl std::error::Error for Error {}

impl TryFrom<raw::Key> for Key {
    type Error = Error;

    fn try_from(raw: raw::Key) -> Result<Self, Self::Error> {
        let workspace = raw.workspace.parse().map_err(Error::Workspace)?;
        Ok(Self { workspace, withdrawn: raw.withdrawn })
    }
}

impl From<&Key> for raw::Key {
    fn from(key: &Key) -> Self {
        Self { workspace: key.workspace.to_string(), withdrawn: key.withdrawn }
    }
}

/// Reads the value of a key object.
pub fn parse(value: &str) -> Result<Key, Error> {
    serde_json::from_str::<raw::Key>(value).map_err(Error::Json)?.try_into()
}

/// Writes the value of a key object.
pub fn render(key: &Key) -> String {
    serde_json::to_string(&raw::Key::from(key)).expect("a key always serialises")
}
