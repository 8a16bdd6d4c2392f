//! What a platform's adapter provides.
//!
//! An adapter translates: objects of the platform's store into checked types, and the platform's
//! headers and calls into those of the gateway. It decides nothing.

use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use chicoryloom_policy::catalog::Catalog;
use chicoryloom_policy::catalog::Target;
use chicoryloom_policy::id;
use chicoryloom_policy::replica::Kind;
use chicoryloom_policy::replica::Update;
use http::HeaderMap;
use http::HeaderName;
use http::Uri;

use crate::target::Protocol;

/// Operation of a call to the store at which an error arose.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Operation {
    List,
    Watch,
    Register,
    Hosts,
}

impl fmt::Display for Operation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::List => "list",
            Self::Watch => "watch",
            Self::Register => "register",
            Self::Hosts => "list hosts",
        })
    }
}

/// Why a call to the store failed.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Error {
    /// The history that a watch asks for is gone; a listing brings the present state.
    Compacted,
    /// The store refused the call with an HTTP status and did nothing.
    Refused { operation: Operation, status: u16 },
    /// No whole answer came; a write may have taken effect.
    NoAnswer { operation: Operation, peer: SocketAddr, reason: String },
    /// The answer can't be read.
    Malformed { operation: Operation, reason: String },
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Compacted => f.write_str("watch: the history is gone"),
            Self::Refused { operation, status } => write!(f, "{operation}: status {status}"),
            Self::NoAnswer { operation, peer, reason } => {
                write!(f, "{operation}: {peer}: {reason}")
            }
            Self::Malformed { operation, reason } => {
                write!(f, "{operation}: malformed answer: {reason}")
            }
        }
    }
}

impl std::error::Error for Error {}

/// A host as it registers itself, for hosts that know no other one.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Registration {
    pub host: id::Host,
    pub data_centre: id::DataCentre,
    /// Address for messages of other hosts.
    pub peer: SocketAddr,
}

/// The platform's object store.
#[async_trait]
pub trait Store: fmt::Debug + Send + Sync {
    /// Returns all objects of a kind.
    async fn list(&self, kind: Kind) -> Result<Update, Error>;

    /// Returns what has changed after a revision, waiting for a change up to `wait`.
    async fn watch(&self, kind: Kind, after: u64, wait: Duration) -> Result<Update, Error>;

    /// Writes the entry of a host, whatever an earlier life of the host left there.
    async fn register(&self, host: &Registration) -> Result<(), Error>;

    /// Returns the registered hosts, as of some seconds ago.
    async fn hosts(&self) -> Result<Vec<Registration>, Error>;
}

/// An object that is not what its kind asks for.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Invalid {
    pub field: &'static str,
    pub reason: String,
}

impl fmt::Display for Invalid {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.field, self.reason)
    }
}

impl std::error::Error for Invalid {}

/// A caller's question which hosts to use.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Lookup {
    /// Data centre that the caller is in or near to; unknown ones are no fault of the caller's.
    pub data_centre: Option<id::DataCentre>,
}

/// Headers between callers, the gateway and targets.
#[derive(Clone, Debug)]
pub struct Headers {
    /// Identifier of the caller's attempt.
    pub request_id: HeaderName,
    /// Time that is left for the request, in milliseconds.
    pub deadline_ms: HeaderName,
    /// Key of the caller; no target sees it.
    pub key: HeaderName,
    /// Workspace of the caller, to targets.
    pub workspace: HeaderName,
    /// Instance that a request is meant for, to targets.
    pub instance: HeaderName,
}

/// The platform's way of speaking.
pub trait Dialect: fmt::Debug + Send + Sync {
    /// Reads a configuration.
    fn catalog(&self, value: &[u8]) -> Result<Catalog, Invalid>;

    /// Reads a target's entry.
    fn target(&self, name: &str, value: &[u8]) -> Result<Target, Invalid>;

    /// Returns the headers between callers, the gateway and targets.
    fn headers(&self) -> &Headers;

    /// Returns how targets tell what became of a request.
    fn protocol(&self) -> &Protocol;

    /// Reads a caller's key.
    fn key<'a>(&self, headers: &'a HeaderMap) -> Option<&'a str>;

    /// Reads a caller's question which hosts to use; `None` if the call is another one.
    fn lookup(&self, uri: &Uri) -> Option<Lookup>;

    /// Writes the answer to a caller's question as JSON.
    fn lookup_response(&self, hosts: &[SocketAddr], max_age: Duration) -> Bytes;

    /// Tells whether a call asks if the host takes callers.
    fn is_readiness_check(&self, uri: &Uri) -> bool;
}
