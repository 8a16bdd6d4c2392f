//! Immutable snapshots of the control state.

use std::collections::HashMap;
use std::sync::Arc;

use chicoryloom_policy::document::Document;
use chicoryloom_policy::id;
use chicoryloom_policy::placement;
use chicoryloom_policy::placement::Candidate;
use chicoryloom_wire::key::Key;
use chicoryloom_wire::platform::Host;

use crate::grant::Stored;

/// A snapshot of the control state, shared by all requests that start under it.
#[derive(Clone, Debug, Default)]
pub(crate) struct View {
    /// Revision up to which every object is in the snapshot.
    pub(crate) revision: id::Revision,
    pub(crate) documents: HashMap<id::Service, Arc<Document>>,
    /// Division of the grants by service.
    pub(crate) ledgers: HashMap<id::Service, Arc<Stored>>,
    pub(crate) keys: Arc<HashMap<id::Digest, Key>>,
    /// Hosts of the roster, leaving ones included, by name.
    pub(crate) hosts: Arc<HashMap<id::Host, Host>>,
    /// Home hosts by service, best first.
    pub(crate) homes: HashMap<id::Service, Arc<[id::Host]>>,
}

impl View {
    /// Returns the workspace of a key, unless the key is unknown or withdrawn.
    pub(crate) fn workspace(&self, key: &id::Digest) -> Option<&id::Workspace> {
        let key = self.keys.get(key).filter(|key| !key.withdrawn);
        key.map(|key| &key.workspace)
    }

    /// Returns the home hosts of a service; none if the service is unknown.
    pub(crate) fn homes(&self, service: &id::Service) -> &[id::Host] {
        self.homes.get(service).map_or(&[], |homes| homes)
    }

    /// Works out the home hosts of all services anew.
    pub(crate) fn place(&mut self) {
        let live = self.hosts.values().filter(|host| !host.leaving);
        let candidates: Vec<_> = live
            .map(|host| Candidate {
                host: host.name.clone(),
                data_centre: host.data_centre.clone(),
            })
            .collect();
        let place = |service: &id::Service| {
            let homes = placement::homes(service, &candidates, placement::MIN_HOMES);
            (service.clone(), homes.into())
        };
        self.homes = self.documents.keys().map(place).collect();
    }
}
