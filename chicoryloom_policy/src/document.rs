//! Validated service documents.

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

/// A validated service document.
#[derive(Clone, Debug, PartialEq)]
pub struct Document {
    /// The service that the document describes.
    pub service: id::Service,
    /// Share of the declared slots that ejection must always leave in use.
    pub floor: Share,
    /// Routes, longest path first; names are unique.
    pub routes: Vec<Arc<Route>>,
    /// Grants by workspace.
    pub grants: HashMap<id::Workspace, Grant>,
    /// Targets; addresses are unique.
    pub targets: Vec<Target>,
}

impl Document {
    /// Returns the route of a request, or `None` if no route matches it.
    pub fn route(&self, method: &str, path: &str) -> Option<&Arc<Route>> {
        self.routes.iter().find(|route| route.matches(method, path))
    }

    /// Returns the sum of the slots of all targets.
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
    /// Maximum time until the head of the response arrives; above zero.
    pub deadline: Duration,
    pub class: id::Class,
}

impl Route {
    /// Returns whether the route matches a request.
    pub fn matches(&self, method: &str, path: &str) -> bool {
        let method_matches = self.methods.is_empty() || self.methods.iter().any(|m| m == method);
        method_matches && self.matches_path(path)
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
    /// Requests per second over all hosts together; above zero.
    pub rate: Rate,
    /// Requests that may arrive at once; at least 1.
    pub burst: Burst,
    /// Weight in the queue for slots; at least 1.
    pub weight: Weight,
}

/// A backend of a service.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Target {
    pub id: id::Target,
    pub data_centre: id::DataCentre,
    /// Requests that the target processes at once; at least 1.
    pub slots: Slots,
    /// Connections that the target accepts from all hosts together; at least 1.
    pub connections: Connections,
    /// Whether the target is draining and gets no new requests.
    pub leaving: bool,
}
