//! Report of the control state for operators.

use std::collections::HashMap;
use std::time::Duration;

use chicoryloom_policy::Moment;
use chicoryloom_policy::id;
use serde::Serialize;

use super::view::View;

/// Last known state of one host of the fleet.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct HostState {
    pub(crate) revision: id::Revision,
    /// Whether it answered a challenge within the freshness window.
    pub(crate) reachable: bool,
    /// Whether it reports that callers may be sent to it.
    pub(crate) serving: bool,
}

/// Last known state of the fleet's hosts and of the platform.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub(crate) struct FleetState {
    pub(crate) hosts: HashMap<id::Host, HostState>,
    /// Latest moment at which the platform held nothing that this host lacks.
    pub(crate) platform_confirmed: Option<Moment>,
    /// Revision of the platform while its state is older than the fleet's.
    pub(crate) reverted: Option<id::Revision>,
}

impl FleetState {
    /// Returns whether callers may be sent to a host.
    pub(crate) fn is_serving(&self, host: &id::Host) -> bool {
        self.hosts.get(host).is_some_and(|host| host.reachable && host.serving)
    }
}

/// State of a document across the fleet.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct Document {
    service: String,
    version: id::Revision,
    accepted: bool,
    /// Number of hosts that hold this version and answered within the freshness window.
    in_force: usize,
    /// Other hosts of the roster.
    behind: Vec<String>,
    /// Why a later version is not in force, if it is invalid.
    fault: Option<Fault>,
}

/// A version of an object that is invalid, and why.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct Fault {
    version: id::Revision,
    reason: String,
}

/// The control state as this host sees it.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct Report {
    accepted: id::Revision,
    roster: id::Revision,
    watchers: Vec<String>,
    watches: bool,
    /// Time since the platform last confirmed this host's state, in milliseconds.
    platform_age_ms: Option<u64>,
    /// Revision of the platform while its state is older than the fleet's.
    platform_reverted: Option<id::Revision>,
    documents: Vec<Document>,
    /// Documents without any valid version, by name.
    faults: HashMap<String, Fault>,
}

impl Report {
    /// Builds the report from a snapshot and the state of the fleet.
    pub(crate) fn new(view: &View, fleet: &FleetState, name: &id::Host, now: Moment) -> Self {
        let age = fleet.platform_confirmed.map(|confirmed| now.since(confirmed));
        let millis = |age: Duration| u64::try_from(age.as_millis()).unwrap_or(u64::MAX);
        let fault = |fault: &super::view::Fault| Fault {
            version: fault.version,
            reason: fault.reason.clone(),
        };
        let mut documents: Vec<_> = view
            .versions
            .iter()
            .map(|(service, version)| Document {
                fault: view.faults.get(service.as_str()).map(fault),
                ..document(view, fleet, service, *version)
            })
            .collect();
        documents.sort_by(|a, b| a.service.cmp(&b.service));
        let known = |name: &str| documents.iter().any(|document| document.service == name);
        let faults = view.faults.iter().filter(|(name, _)| !known(name));
        Self {
            accepted: view.accepted,
            roster: view.roster.version,
            watchers: view.roster.watchers.iter().map(id::Host::to_string).collect(),
            watches: view.roster.watchers.contains(name),
            platform_age_ms: age.map(millis),
            platform_reverted: fleet.reverted,
            faults: faults.map(|(name, found)| (name.to_string(), fault(found))).collect(),
            documents,
        }
    }
}

fn document(
    view: &View,
    fleet: &FleetState,
    service: &id::Service,
    version: id::Revision,
) -> Document {
    let holds = |name: &&id::Host| {
        fleet.hosts.get(*name).is_some_and(|host| host.reachable && host.revision >= version)
    };
    let (in_force, behind): (Vec<_>, Vec<_>) = view.roster.hosts.keys().partition(holds);
    let mut behind: Vec<_> = behind.into_iter().map(id::Host::to_string).collect();
    behind.sort();
    Document {
        service: service.to_string(),
        version,
        accepted: view.is_accepted(version),
        in_force: in_force.len(),
        behind,
        fault: None,
    }
}
