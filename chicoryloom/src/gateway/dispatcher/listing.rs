//! The targets that the platform lists, and the hosts that share them.

use std::collections::HashMap;
use std::collections::HashSet;
use std::sync::Arc;

use chicoryloom_policy::catalog::Catalog;
use chicoryloom_policy::catalog::Target;
use chicoryloom_policy::entry::Owners;
use chicoryloom_policy::id;
use serde_json::json;

use super::Dispatcher;
use super::Endpoint;
use super::State;

/// Least number of connections that a host may have to one target, however many hosts there are.
const MIN_CONNECTIONS: u32 = 4;

/// What the platform lists.
pub(super) struct Listing {
    targets: Vec<Arc<Target>>,
    catalog: Option<Arc<Catalog>>,
}

impl Dispatcher {
    /// Replaces the targets with those that the platform lists now.
    ///
    /// The listing is applied before the next choice of a target, or with the next [`Self::sweep`].
    /// So hosts without callers don't work through each change of a release.
    pub(in crate::gateway) fn set_targets(
        &self,
        targets: Vec<Arc<Target>>,
        catalog: Option<Arc<Catalog>>,
    ) {
        let mut state = self.lock();
        state.listing = Some(Listing { targets, catalog });
        if state.services.values().any(|service| !service.queue.is_empty()) {
            self.apply_listing(&mut state);
        }
    }

    /// Applies the latest listing if there is one.
    ///
    /// A target whose entry changed keeps its connections, unless it is another process.
    pub(super) fn apply_listing(&self, state: &mut State) {
        let Some(Listing { targets, catalog }) = state.listing.take() else { return };
        let now = self.clock.now();
        let mut old: HashMap<id::Instance, Arc<Endpoint>> = HashMap::new();
        for service in state.services.values_mut() {
            for endpoint in service.targets.drain(..) {
                old.insert(endpoint.target.instance.clone(), endpoint);
            }
        }
        for target in targets {
            let known =
                old.remove(&target.instance).filter(|endpoint| endpoint.is_process_of(&target));
            let endpoint = match known {
                Some(endpoint) if endpoint.target == target => endpoint,
                Some(endpoint) => Arc::new(endpoint.relisted(target, now)),
                None => Arc::new(Endpoint::new(target, self.source, now)),
            };
            let service = endpoint.target.service.clone();
            state.services.entry(service).or_default().targets.push(endpoint);
        }
        for service in state.services.values_mut() {
            service.targets.sort_by(|a, b| a.target.instance.cmp(&b.target.instance));
        }
        state.trial_targets = self.trial_targets(state);
        state.homes = self.homes(state);
        Self::drop_foreign_issuers(state);
        self.set_connection_caps(state, catalog.as_deref());
        state.catalog = catalog;
        self.list_warming(state, now);
        let names: Vec<_> = state.services.keys().cloned().collect();
        for name in names {
            self.dispatch_locked(state, &name);
        }
    }

    /// Sets this host's share of the connections to each target.
    fn set_connection_caps(&self, state: &State, catalog: Option<&Catalog>) {
        for (name, service) in &state.services {
            let limit = catalog.and_then(|catalog| catalog.services.get(name));
            let limit = limit.map_or(u32::MAX, |service| service.connections.0);
            let cap = (limit / state.host_count.max(1)).max(MIN_CONNECTIONS);
            for endpoint in &service.targets {
                endpoint.backend.set_cap(cap);
            }
        }
    }

    /// Sets the hosts that callers are sent to, how many of them this host has lost sight of, the number of
    /// live hosts, and that of all known ones that are not leaving.
    pub(in crate::gateway) fn set_fleet(
        &self,
        entry_hosts: Vec<(id::Host, id::DataCentre)>,
        lost_entry_hosts: usize,
        hosts: usize,
        known: usize,
    ) {
        let mut state = self.lock();
        if state.entry_hosts != entry_hosts {
            state.entry_hosts = entry_hosts;
            state.trial_targets = self.trial_targets(&state);
            state.homes = self.homes(&state);
            Self::drop_foreign_issuers(&mut state);
        }
        state.visible_part = (hosts as f64 / known.max(1) as f64).min(1.0);
        state.host_count = u32::try_from(hosts).unwrap_or(u32::MAX);
        state.lost_entry_hosts = lost_entry_hosts;
        let burst = self.retry_burst(&state);
        if burst != state.retry_burst {
            state.retry_burst = burst;
            let is_entry = state.entry_hosts.iter().any(|(host, _)| *host == self.me);
            let fields = json!({
                "burst": burst, "entry_hosts": state.entry_hosts.len(),
                "lost_entry_hosts": lost_entry_hosts, "is_entry": is_entry,
            });
            self.events.emit("retry_burst", fields);
        }
        for service in state.services.values_mut() {
            if let Some(budget) = &mut service.budget {
                budget.set_burst(burst);
            }
        }
    }

    /// Returns the targets whose trial requests this host is responsible for.
    ///
    /// Those of a data centre are divided among its entry hosts, or among all if it has none.
    fn trial_targets(&self, state: &State) -> HashSet<id::Instance> {
        let entry_hosts = &state.entry_hosts;
        if !entry_hosts.is_empty() && !entry_hosts.iter().any(|(host, _)| *host == self.me) {
            return HashSet::new();
        }
        let all = Owners::new(entry_hosts.iter().map(|(host, _)| host));
        let mut by_centre: HashMap<&id::DataCentre, Owners<'_>> = HashMap::new();
        let mut own = HashSet::new();
        for endpoint in state.services.values().flat_map(|service| &service.targets) {
            let centre = &endpoint.target.data_centre;
            let near = by_centre.entry(centre).or_insert_with(|| {
                let near = entry_hosts.iter().filter(|(_, of)| of == centre);
                Owners::new(near.map(|(host, _)| host))
            });
            let owners = if near.is_empty() { &all } else { near };
            if owners.owner(endpoint.trial_key).is_none_or(|host| *host == self.me) {
                own.insert(endpoint.target.instance.clone());
            }
        }
        own
    }
}
