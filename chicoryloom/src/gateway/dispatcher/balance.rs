//! This host's share of the targets' slots, and how evenly requests are spread.

use std::collections::HashMap;

use chicoryloom_policy::Moment;
use chicoryloom_policy::balance;
use chicoryloom_policy::balance::Rule;
use chicoryloom_policy::dispatch::Balance;
use chicoryloom_policy::dispatch::Candidate;
use chicoryloom_policy::entry;
use chicoryloom_policy::id;

use super::Dispatcher;
use super::State;

/// Requests sent by this host, by what it believed of the target.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Spread {
    /// To slots of its own.
    home: u64,
    /// To other slots.
    overflow: u64,
    /// To targets that then had no room.
    shed: u64,
}

impl Spread {
    pub(super) fn count(&mut self, chosen: &Candidate) {
        match chosen.has_home_room() {
            true => self.home += 1,
            false => self.overflow += 1,
        }
    }

    pub(super) fn count_shed(&mut self) {
        self.shed += 1;
    }
}

impl Dispatcher {
    pub(super) fn balance(&self, state: &State, now: Moment) -> Balance {
        let is_alone = state.entry_hosts.len() <= 1;
        let is_informed = is_alone || state.in_flight.is_informed(now);
        Balance { rule: self.rule, is_informed }
    }

    /// Records that a message of another host came in.
    pub(in crate::gateway) fn hear(&self) {
        let now = self.clock.now();
        self.lock().in_flight.hear(now);
    }

    /// Returns this host's share of the slots of its data centre's targets, which are divided among
    /// the entry hosts there.
    pub(super) fn homes(&self, state: &State) -> HashMap<id::Instance, f64> {
        let near = state.entry_hosts.iter().filter(|(_, of)| *of == self.data_centre);
        let mut hosts: Vec<_> = near.map(|(host, _)| (entry::rank(host), host)).collect();
        hosts.sort();
        let mut homes = HashMap::new();
        let index = hosts.iter().position(|(_, host)| **host == self.me);
        let Some(index) = index.filter(|_| self.rule == Rule::Even) else { return homes };
        for service in state.services.values() {
            let is_near = |target: &id::DataCentre| *target == self.data_centre;
            let targets = service.targets.iter();
            let mut row: Vec<_> =
                targets.filter(|endpoint| is_near(&endpoint.target.data_centre)).collect();
            row.sort_by_key(|endpoint| (endpoint.trial_key, &endpoint.target.instance));
            let slots: Vec<_> = row.iter().map(|endpoint| endpoint.target.slots.0).collect();
            let shares = balance::home_shares(index, hosts.len(), &slots);
            let own = row.into_iter().zip(shares).filter(|(_, share)| *share > 0.0);
            homes.extend(own.map(|(endpoint, share)| (endpoint.target.instance.clone(), share)));
        }
        homes
    }

    /// Returns how many requests this host sent to slots of its own, to other slots, and to targets
    /// that then had no room.
    pub(in crate::gateway) fn spread(&self) -> (u64, u64, u64) {
        let Spread { home, overflow, shed } = self.lock().spread;
        (home, overflow, shed)
    }

    /// Returns the load of the busiest target against the mean of its service, in percent, for the
    /// most uneven service with a request for each target; 0 without one.
    pub(in crate::gateway) fn unevenness(&self) -> u64 {
        let state = self.lock();
        let uneven = state.services.values().filter_map(|service| {
            let load = |instance| f64::from(state.in_flight.total(instance));
            let in_use = service.targets.iter().filter(|endpoint| !endpoint.target.leaving);
            let loads = in_use.map(|endpoint| {
                (load(&endpoint.target.instance), f64::from(endpoint.target.slots.0.max(1)))
            });
            let loads: Vec<_> = loads.collect();
            let (requests, slots) =
                loads.iter().fold((0.0, 0.0), |sum, one| (sum.0 + one.0, sum.1 + one.1));
            let busiest = loads.iter().map(|(load, slots)| load / slots).fold(0.0, f64::max);
            (!loads.is_empty() && requests >= loads.len() as f64)
                .then(|| busiest / (requests / slots) * 100.0)
        });
        uneven.fold(0.0, f64::max) as u64
    }
}
