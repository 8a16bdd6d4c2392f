//! Configuration of a gateway: routes by host name to several services, and workspaces whose
//! grants span all services.

use std::collections::HashMap;
use std::collections::HashSet;
use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use smol_str::SmolStr;

use crate::id;
use crate::unit::Burst;
use crate::unit::Connections;
use crate::unit::Priority;
use crate::unit::Rate;
use crate::unit::Slots;
use crate::unit::Weight;
use crate::warming::Warmup;

/// Version of a configuration, set by the operator; a later one has a higher number.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Version(pub u64);

impl fmt::Display for Version {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// Limits on the size of callers' requests and on the time that they take. The default holds for what a
/// configuration doesn't say.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Limits {
    /// Maximum size of a request's head, in bytes.
    pub header_bytes: usize,
    /// Maximum size of a request's body, in bytes.
    pub body_bytes: u64,
    /// Longest time between the first and the last byte of a head.
    pub header_timeout: Duration,
    /// Longest time without a request on a connection, or without progress of a body.
    pub idle_timeout: Duration,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            header_bytes: 16 * 1024,
            body_bytes: 64 * 1024 * 1024,
            header_timeout: Duration::from_secs(10),
            idle_timeout: Duration::from_secs(60),
        }
    }
}

/// Whether a request may run more than once.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Repeat {
    /// Any number of times.
    Safe,
    /// At most once.
    Once,
}

/// A weighted service that a route sends requests to.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Destination {
    pub service: id::Service,
    /// Share of the route's requests, relative to the other destinations; 1 or more.
    pub weight: Weight,
}

/// Rules for the requests of one host name below one path prefix.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Route {
    pub name: id::Route,
    /// Path prefix, which begins and ends with a slash.
    pub prefix: SmolStr,
    pub repeat: Repeat,
    /// Whether requests need no key.
    pub public: bool,
    /// Empty if the route can't be taken, so that its requests are refused.
    pub destinations: Vec<Destination>,
    /// Longest time until a caller gets an answer; above zero.
    pub timeout: Duration,
    /// Time within which an answer has its full value to the caller.
    pub target_latency: Duration,
    pub priority: Priority,
    /// Maximum number of targets that may run one request; 1 or more.
    pub max_attempts: u32,
}

/// A customer and its grant over all services together.
#[derive(Clone, Debug, PartialEq)]
pub struct Workspace {
    /// Identifies the workspace on hosts and between them.
    pub id: id::Workspace,
    /// Name at the platform, which may be any text that a header can carry unchanged. Targets get it.
    pub name: SmolStr,
    /// Takes precedence over the priority of the route.
    pub priority: Option<Priority>,
    /// Requests a second over all hosts together; `None` means no limit.
    pub rate: Option<Rate>,
    /// Maximum number of requests beyond the rate that may arrive at once.
    pub burst: Burst,
}

/// Settings shared by all targets of a service.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// Maximum number of connections of all hosts together to each target.
    pub connections: Connections,
    /// Path at which a target answers whether it is well.
    pub health_path: Option<SmolStr>,
    /// How targets warm up; `None` if they don't.
    pub warmup: Option<Warmup>,
}

/// A checked configuration.
#[derive(Clone, Debug)]
pub struct Catalog {
    pub version: Version,
    pub limits: Limits,
    /// Routes by host name in lower case, longest prefix first.
    pub virtual_hosts: HashMap<SmolStr, Vec<Arc<Route>>>,
    pub services: HashMap<id::Service, Service>,
    /// Whether requests need a key unless their route is public.
    pub needs_keys: bool,
    pub workspaces: Vec<Arc<Workspace>>,
    /// Workspaces by the digest of each of their keys.
    pub keys: HashMap<id::Digest, Arc<Workspace>>,
    /// Keys of workspaces that can't be taken, so that requests with these are refused.
    pub unusable_keys: HashSet<id::Digest>,
}

/// Keys that a configuration grants, each to its workspace, or to `None` if that can't be read.
pub type Granted = HashMap<id::Digest, Option<id::Workspace>>;

impl Catalog {
    /// Returns the configuration without the keys that a later one, which can't be taken, no longer grants to
    /// their workspaces; `None` if it grants them all.
    pub fn without_withdrawn(&self, granted: &Granted) -> Option<Self> {
        let is_kept = |key: &id::Digest, workspace: &Workspace| {
            let holder = granted.get(key);
            holder.is_some_and(|holder| holder.as_ref().is_none_or(|it| *it == workspace.id))
        };
        if self.keys.iter().all(|(key, workspace)| is_kept(key, workspace)) {
            return None;
        }
        let mut rest = self.clone();
        rest.keys.retain(|key, workspace| is_kept(key, workspace));
        Some(rest)
    }

    /// Returns the route of a host name, with or without a port, whose prefix is the longest that matches a
    /// path.
    pub fn route(&self, host_name: &str, path: &str) -> Option<&Arc<Route>> {
        let find = |name: &str| {
            let routes = self.virtual_hosts.get(name);
            routes.or_else(|| self.virtual_hosts.get(name.to_ascii_lowercase().as_str()))
        };
        let without_port = || find(host_name.rsplit_once(':')?.0);
        let routes = find(host_name).or_else(without_port)?;
        routes.iter().find(|route| path.starts_with(route.prefix.as_str()))
    }

    /// Returns the sum of all workspaces' rates, or `None` if a workspace has no limit.
    pub fn total_rate(&self) -> Option<f64> {
        let rates = self.workspaces.iter().map(|one| one.rate.map(Rate::per_second));
        rates.sum()
    }
}

/// A target that the platform lists.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Target {
    /// Identifies the target on hosts and between them.
    pub instance: id::Instance,
    /// Name at the platform, which may be any text that a header can carry unchanged. The target itself knows
    /// this one.
    pub name: SmolStr,
    pub service: id::Service,
    pub address: SocketAddr,
    pub data_centre: id::DataCentre,
    /// Requests that the target processes at once; 1 or more.
    pub slots: Slots,
    /// Whether the target drains, so that it gets no new requests.
    pub leaving: bool,
    /// Time until the target has warmed up after its start, as of its latest report.
    pub warmup: Duration,
    /// Distinguishes successive targets under one instance name.
    pub born: u64,
}
