//! The configuration of a gateway: routes by host name over several services, and workspaces
//! whose grant spans them all.

use std::collections::HashMap;
use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use smol_str::SmolStr;

use crate::id;
use crate::unit::Burst;
use crate::unit::Connections;
use crate::unit::Rate;
use crate::unit::Slots;
use crate::unit::Weight;

/// Version that the operator gave a configuration; a later one has a higher number.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Version(pub u64);

impl fmt::Display for Version {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// Bounds on what a caller may send, and on how long it may take.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Limits {
    /// Longest head of a request, in bytes.
    pub header_bytes: usize,
    /// Longest body of a request, in bytes.
    pub body_bytes: u64,
    /// Longest time from the first byte of a head to its end.
    pub header_timeout: Duration,
    /// Longest time without a request on an open connection, or without a byte of a body.
    pub idle_timeout: Duration,
}

/// Whether a request may run more than once.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Repeat {
    /// Any number of times.
    Safe,
    /// Once at most.
    Once,
}

/// One service that a route sends requests to.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Destination {
    pub service: id::Service,
    /// Share of the route's requests, relative to the other parts; 1 or more.
    pub weight: Weight,
}

/// Requests of one host name below one path prefix.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Route {
    pub name: id::Route,
    /// Begins and ends with a slash.
    pub prefix: SmolStr,
    pub repeat: Repeat,
    /// Whether the route needs no key.
    pub public: bool,
    /// At least one part.
    pub destinations: Vec<Destination>,
    /// Longest time that a caller is kept waiting; above zero.
    pub timeout: Duration,
    /// Time within which an answer is worth most to the caller.
    pub target_latency: Duration,
    /// Rank among the routes; 0 is the most urgent.
    pub priority: u8,
    /// Most targets that may run one request; 1 or more.
    pub max_attempts: u32,
}

/// A customer and its grant over all services together.
#[derive(Clone, Debug, PartialEq)]
pub struct Workspace {
    pub name: id::Workspace,
    /// Rank among the workspaces, which goes before that of the routes; 0 is the most urgent.
    pub priority: Option<u8>,
    /// Requests a second over all hosts together; `None` means no limit.
    pub rate: Option<Rate>,
    /// Requests beyond the rate that may arrive at once.
    pub burst: Burst,
}

/// What all targets of a service have in common.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Service {
    /// Connections that each target takes from all hosts together.
    pub connections: Connections,
}

/// A checked configuration.
#[derive(Clone, Debug)]
pub struct Catalog {
    pub version: Version,
    pub limits: Limits,
    /// Routes by host name in lower case, longest prefix first.
    pub virtual_hosts: HashMap<SmolStr, Vec<Arc<Route>>>,
    pub services: HashMap<id::Service, Service>,
    pub workspaces: Vec<Arc<Workspace>>,
    /// Workspaces by the digest of each of their keys.
    pub keys: HashMap<id::Digest, Arc<Workspace>>,
}

impl Catalog {
    /// Returns the route with the longest prefix of a path, among those of a host name.
    pub fn route(&self, host_name: &str, path: &str) -> Option<&Arc<Route>> {
        let name = host_name.rsplit_once(':').map_or(host_name, |(name, _)| name);
        let routes = match self.virtual_hosts.get(name) {
            Some(routes) => routes,
            None => self.virtual_hosts.get(name.to_ascii_lowercase().as_str())?,
        };
        routes.iter().find(|route| path.starts_with(route.prefix.as_str()))
    }

    /// Returns the rate that all workspaces may ask for together, unless one has no limit.
    pub fn total_rate(&self) -> Option<f64> {
        let rates = self.workspaces.iter().map(|one| one.rate.map(Rate::per_second));
        rates.sum()
    }
}

/// A target that the platform lists.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Target {
    pub instance: id::Instance,
    pub service: id::Service,
    pub address: SocketAddr,
    pub data_centre: id::DataCentre,
    /// Requests that the target works on at once; 1 or more.
    pub slots: Slots,
    /// Whether the target drains and gets no new work.
    pub leaving: bool,
    /// Time for which the target is still slow after its start, as of its last report.
    pub warmup: Duration,
    /// Tells two lives under one instance name apart.
    pub born: u64,
}
