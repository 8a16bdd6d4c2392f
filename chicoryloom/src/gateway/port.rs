//! Interfaces that a platform's adapter implements.
//!
//! An adapter translates objects of the platform's store into checked types, and the platform's
//! headers and calls into those of the gateway. All decisions are made by the gateway.

use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use chicoryloom_policy::catalog::Catalog;
use chicoryloom_policy::catalog::Granted;
use chicoryloom_policy::catalog::Target;
use chicoryloom_policy::id;
use chicoryloom_policy::position::Position;
use chicoryloom_policy::replica::Kind;
use chicoryloom_policy::replica::Update;
use http::HeaderMap;
use http::HeaderName;
use http::Uri;
use smol_str::SmolStr;

use crate::target::Protocol;

/// Operation on the store that failed.
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
    /// The store no longer has the history that a watch asks for; the objects must be listed again.
    Compacted,
    /// The store refused the call with an HTTP status and changed nothing.
    Refused { operation: Operation, status: u16 },
    /// No complete answer was received; a write may have taken effect.
    NoAnswer { operation: Operation, peer: SocketAddr, reason: String },
    /// The answer can't be parsed.
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

/// Entry under which a host is found by hosts that know no other one.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Registration {
    pub host: id::Host,
    pub data_centre: id::DataCentre,
    /// Address for messages from other hosts.
    pub peer: SocketAddr,
}

/// The platform's object store.
#[async_trait]
pub trait Store: fmt::Debug + Send + Sync {
    /// Directs later calls to another address of the store. Calls under way go on.
    fn set_address(&self, address: SocketAddr);

    /// Returns all objects of a kind.
    async fn list(&self, kind: Kind) -> Result<Update, Error>;

    /// Returns what has changed after a position; waits for a change for `wait` at most.
    ///
    /// A store that was restored since answers with [`Error::Compacted`], or with changes of its new
    /// era, which are incomplete.
    async fn watch(&self, kind: Kind, after: Position, wait: Duration) -> Result<Update, Error>;

    /// Writes the entry of a host; replaces one that an earlier process of the host left.
    async fn register(&self, host: &Registration) -> Result<(), Error>;

    /// Returns the registered hosts; the list may be some seconds old.
    async fn hosts(&self) -> Result<Vec<Registration>, Error>;
}

/// Why an object of the store, or a part of it, is invalid for its kind.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Invalid {
    /// Path of the field, without places in lists.
    pub field: SmolStr,
    /// Has no value that may be a key.
    pub reason: String,
}

impl fmt::Display for Invalid {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.field, self.reason)
    }
}

impl std::error::Error for Invalid {}

/// A configuration as far as it can be taken.
#[derive(Clone, Debug)]
pub struct Reading {
    pub catalog: Catalog,
    /// What the catalog leaves out, or refuses requests for.
    pub rejected: Vec<Invalid>,
}

/// A configuration that can't be taken.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Unusable {
    pub error: Invalid,
    /// Keys that it grants; `None` if not even these can be read.
    pub granted: Option<Granted>,
}

/// A caller's lookup of the hosts to use.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Lookup {
    /// Data centre that the caller is in or near to. `None` or an unknown one is no error: the
    /// host's own data centre is used instead.
    pub data_centre: Option<id::DataCentre>,
}

/// Headers between callers, the gateway and targets.
#[derive(Clone, Debug)]
pub struct Headers {
    /// Identifier of the caller's attempt.
    pub request_id: HeaderName,
    /// Time left until the request's deadline, in milliseconds.
    pub deadline_ms: HeaderName,
    /// Key of the caller; it is not passed on to targets.
    pub key: HeaderName,
    /// Workspace of the caller, sent to targets.
    pub workspace: HeaderName,
    /// Instance that a request is meant for, sent to targets.
    pub instance: HeaderName,
}

/// Format of the platform's objects, headers and calls.
pub trait Dialect: fmt::Debug + Send + Sync {
    /// Parses a configuration.
    fn catalog(&self, value: &[u8]) -> Result<Reading, Unusable>;

    /// Parses a target's entry.
    fn target(&self, name: &str, value: &[u8]) -> Result<Target, Invalid>;

    /// Returns the headers between callers, the gateway and targets.
    fn headers(&self) -> &Headers;

    /// Returns how targets report the outcome of a request.
    fn protocol(&self) -> &Protocol;

    /// Extracts a caller's key.
    fn key<'a>(&self, headers: &'a HeaderMap) -> Option<&'a str>;

    /// Parses a caller's lookup of the hosts to use; `None` if the call is no lookup.
    fn lookup(&self, uri: &Uri) -> Option<Lookup>;

    /// Encodes the response to a lookup as JSON; the caller may use it for `max_age`.
    fn lookup_response(&self, hosts: &[SocketAddr], max_age: Duration) -> Bytes;

    /// Returns whether a call checks if the host is ready for callers.
    fn is_readiness_check(&self, uri: &Uri) -> bool;
}
