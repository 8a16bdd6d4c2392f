//! Immutable snapshots of the control state.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::sync::Arc;

use chicoryloom_policy::document::Document;
use chicoryloom_policy::id;
use chicoryloom_policy::placement;
use chicoryloom_wire::key::Key;
use chicoryloom_wire::platform::Host;
use smol_str::SmolStr;

use super::roster;
use super::roster::Roster;
use crate::grant::Stored;

/// Why the latest version of an object is not in force.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) struct Fault {
    pub(crate) version: id::Revision,
    pub(crate) reason: String,
}

/// A snapshot of the control state, shared by all requests that start while it is current.
#[derive(Clone, Debug, Default)]
pub(crate) struct View {
    /// Revision up to which every object is in the snapshot.
    pub(crate) revision: id::Revision,
    /// Revision up to which every change is accepted; only grows.
    ///
    /// A change that grants something, such as the takeover of a share, takes effect once its
    /// version is accepted.
    pub(crate) accepted: id::Revision,
    pub(crate) documents: HashMap<id::Service, Arc<Document>>,
    /// Ledgers with the division of the grants, by service.
    pub(crate) ledgers: HashMap<id::Service, Arc<Stored>>,
    /// Versions of the documents in force.
    pub(crate) versions: HashMap<id::Service, id::Revision>,
    /// Documents whose latest version is invalid; the last valid version, if any, is in force.
    pub(crate) faults: BTreeMap<SmolStr, Fault>,
    pub(crate) keys: Arc<HashMap<id::Digest, Key>>,
    pub(crate) roster: Arc<Roster>,
    /// Hosts of the roster updated from their heartbeats, including leaving ones, by name.
    pub(crate) hosts: Arc<HashMap<id::Host, Host>>,
    /// Home hosts by service, best-ranked first.
    pub(crate) homes: HashMap<id::Service, Arc<[id::Host]>>,
}

impl View {
    /// Returns the workspace of a key, unless the key is unknown or withdrawn.
    pub(crate) fn workspace(&self, key: &id::Digest) -> Option<&id::Workspace> {
        let key = self.keys.get(key).filter(|key| !key.withdrawn);
        key.map(|key| &key.workspace)
    }

    /// Returns whether a version of any object is accepted.
    pub(crate) fn is_accepted(&self, version: id::Revision) -> bool {
        version <= self.accepted
    }

    /// Returns the home hosts of a service; empty if the service is unknown.
    pub(crate) fn homes(&self, service: &id::Service) -> &[id::Host] {
        self.homes.get(service).map_or(&[], |homes| homes)
    }

    /// Recomputes the home hosts of all services.
    pub(crate) fn place(&mut self) {
        let live = self.hosts.values().filter(|host| !host.leaving);
        let candidates: Vec<_> = live.map(roster::candidate).collect();
        let place = |(service, document): (&id::Service, &Arc<Document>)| {
            let homes = placement::homes(service, &candidates, placement::home_count(document));
            (service.clone(), homes.into())
        };
        self.homes = self.documents.iter().map(place).collect();
    }
}
