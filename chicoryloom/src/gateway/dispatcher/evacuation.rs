//! Targets of evacuated data centres, which get nothing.

use std::collections::BTreeSet;

use chicoryloom_policy::Moment;
use chicoryloom_policy::id;
use serde_json::json;

use super::Dispatcher;
use super::Endpoint;
use super::State;

impl Dispatcher {
    /// Replaces the evacuated data centres with those that are `listed` as of a revision of the
    /// platform's store.
    ///
    /// Requests that wait and can't be served by what remains are refused. Targets of a data centre
    /// whose evacuation ended may have become cold, which the platform lists some time later.
    pub(in crate::gateway) fn set_evacuated(
        &self,
        listed: &BTreeSet<id::DataCentre>,
        revision: u64,
        source: &str,
    ) {
        let now = self.clock.now();
        let mut state = self.lock();
        let state = &mut *state;
        let change = state.evacuations.set(listed, now);
        if change.is_empty() {
            return;
        }
        self.apply_listing(state);
        let mut in_doubt = 0;
        for centre in &change.ended {
            in_doubt += self.doubt_warmth(state, centre, now);
        }
        self.refuse_unservable(state, now);
        let names: Vec<_> = state.services.keys().cloned().collect();
        for name in names {
            self.dispatch_locked(state, &name);
        }
        let names = |centres: &[id::DataCentre]| -> Vec<String> {
            centres.iter().map(ToString::to_string).collect()
        };
        let fields = json!({
            "begun": names(&change.begun), "ended": names(&change.ended),
            "in_force": state.evacuations.in_force().map(|(one, _)| one.as_str()).collect::<Vec<_>>(),
            "targets_maybe_cold": in_doubt, "revision": revision, "from": source,
        });
        self.events.emit("evacuation", fields);
    }

    /// Takes the targets of a data centre for cold until their entries can say otherwise; returns how
    /// many.
    fn doubt_warmth(&self, state: &mut State, centre: &id::DataCentre, now: Moment) -> usize {
        let State { services, throttle, catalog, .. } = state;
        let mut count = 0;
        for (name, service) in services {
            let Some(warmup) = self.warmup(catalog.as_deref(), name) else { continue };
            for endpoint in &service.targets {
                if endpoint.target.data_centre == *centre {
                    throttle.warming.assert(&endpoint.process(), warmup.rate, warmup.time, now);
                    count += 1;
                }
            }
        }
        count
    }

    /// Returns whether the data centre of a target is evacuated.
    pub(super) fn is_evacuated(state: &State, endpoint: &Endpoint) -> bool {
        state.evacuations.is_in_force(&endpoint.target.data_centre)
    }

    /// Returns how many data centres are evacuated, and the time in milliseconds since the first of
    /// these evacuations began at this host.
    pub(in crate::gateway) fn evacuation_gauges(&self) -> (u64, u64) {
        let (state, now) = (self.lock(), self.clock.now());
        let since: Vec<_> = state.evacuations.in_force().map(|(_, since)| since).collect();
        let age = since.iter().min().map_or(0, |since| now.since(*since).as_millis());
        (since.len() as u64, age as u64)
    }
}
