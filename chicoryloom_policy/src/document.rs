//! Checked service documents.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use smol_str::SmolStr;

use crate::id;
use crate::unit::Burst;
use crate::unit::Connections;
use crate::unit::Rate;
use crate::unit::Share;
use crate::unit::Slots;
use crate::unit::Weight;

/// A checked service document.
#[derive(Clone, Debug, PartialEq)]
pub struct Document {
    /// The service that the document is about.
    pub service: id::Service,
    /// Share of the declared slots that ejection always leaves in.
    pub floor: Share,
    /// Routes, longest path first; names are unique.
    pub routes: Vec<Arc<Route>>,
    /// Grants by workspace.
    pub grants: HashMap<id::Workspace, Grant>,
    /// Targets; addresses are unique.
    pub targets: Vec<Target>,
}

impl Document {
    /// Returns the route of a request, or `None` if no route takes it.
    pub fn route(&self, method: &str, path: &str) -> Option<&Arc<Route>> {
        self.routes.iter().find(|route| route.matches(method, path))
    }

    /// Returns the slots that all targets declare together.
    pub fn slots(&self) -> Slots {
        Slots(self.targets.iter().map(|target| target.slots.0).sum())
    }
}

/// A set of requests that share a policy.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Route {
    pub name: id::Route,
    /// Path prefix; starts with a slash.
    pub path: SmolStr,
    /// Methods in upper case; empty means all.
    pub methods: Vec<SmolStr>,
    /// Whether the proxy may send a request more than once.
    pub repeatable: bool,
    /// Whether the route needs no key.
    pub open: bool,
    /// Longest time to the head of an answer; above zero.
    pub deadline: Duration,
    pub class: id::Class,
}

impl Route {
    /// Tells whether the route takes a request.
    pub fn matches(&self, method: &str, path: &str) -> bool {
        let method_fits = self.methods.is_empty() || self.methods.iter().any(|m| m == method);
        method_fits && self.matches_path(path)
    }

    fn matches_path(&self, path: &str) -> bool {
        let Some(rest) = path.strip_prefix(self.path.as_str()) else {
            return false;
        };
        rest.is_empty() || rest.starts_with('/') || self.path.ends_with('/')
    }
}

/// What one workspace may use of a service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Grant {
    /// Requests a second over all hosts together; above zero.
    pub rate: Rate,
    /// Requests that may arrive at once; 1 or more.
    pub burst: Burst,
    /// Weight in the queue for slots; 1 or more.
    pub weight: Weight,
}

/// A back end of a service.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Target {
    pub id: id::Target,
    pub data_centre: id::DataCentre,
    /// Requests that the target works on at once; 1 or more.
    pub slots: Slots,
    /// Connections that the target takes from all hosts together; 1 or more.
    pub connections: Connections,
    /// Whether the target drains and gets no new work.
    pub leaving: bool,
}
