//! Abstraction of the platform's object API.

mod http;

use std::fmt;
use std::time::Duration;

use async_trait::async_trait;
use chicoryloom_policy::id;
use chicoryloom_wire::platform::Changes;
use chicoryloom_wire::platform::Host;
use chicoryloom_wire::platform::Kind;
use chicoryloom_wire::platform::Object;

pub(crate) use http::HttpStore;

/// Step of a call at which an error arose.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Step {
    Get,
    Put,
    Watch,
    Hosts,
}

impl fmt::Display for Step {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Get => "get",
            Self::Put => "put",
            Self::Watch => "watch",
            Self::Hosts => "hosts",
        })
    }
}

/// Why a call to the platform failed.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) enum Error {
    /// The object has this version, not the expected one; nothing was written.
    Conflict(id::Revision),
    /// The platform refused the call with an HTTP status; nothing was written.
    Refused { step: Step, status: u16 },
    /// No complete answer arrived; a write may have taken effect.
    NoAnswer { step: Step, peer: String, reason: String },
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Conflict(version) => write!(f, "the object has version {version} by now"),
            Self::Refused { step, status } => write!(f, "platform: {step}: status {status}"),
            Self::NoAnswer { step, peer, reason } => write!(f, "platform {peer}: {step}: {reason}"),
        }
    }
}

impl std::error::Error for Error {}

/// A conditional update of one object.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) struct Update {
    pub(crate) kind: Kind,
    pub(crate) name: String,
    pub(crate) value: String,
    /// Version that the object must have; revision 0 if it must not exist.
    pub(crate) expected: id::Revision,
}

/// The platform's object API.
#[async_trait]
pub(crate) trait Store: fmt::Debug + Send + Sync {
    /// Reads one object; a deleted object is returned too, marked as deleted.
    async fn get(&self, kind: Kind, name: &str) -> Result<Option<Object>, Error>;

    /// Applies a conditional update and returns the new version.
    ///
    /// If the answer is lost, the outcome is determined by reading the object back, so `NoAnswer`
    /// means that the platform is unreachable.
    async fn put(&self, update: Update) -> Result<id::Revision, Error>;

    /// Deletes an object if it has the expected version, and returns the version of the deletion.
    ///
    /// A lost answer is handled as in [`Store::put`].
    async fn delete(
        &self,
        kind: Kind,
        name: &str,
        expected: id::Revision,
    ) -> Result<id::Revision, Error>;

    /// Returns the changes after a revision, waiting for a change for up to `wait`.
    async fn changes(&self, since: id::Revision, wait: Duration) -> Result<Changes, Error>;

    /// Returns the platform's list of entry hosts, which may lag behind.
    async fn hosts(&self) -> Result<Vec<Host>, Error>;
}
