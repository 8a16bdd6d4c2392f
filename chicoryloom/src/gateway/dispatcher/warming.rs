//! Targets that warm up. What they take from all hosts together is kept like the limits that targets
//! name, and counted with them.

use std::time::Duration;

use chicoryloom_policy::Moment;
use chicoryloom_policy::catalog::Catalog;
use chicoryloom_policy::id;
use chicoryloom_policy::throttle::Limit;
use chicoryloom_policy::warming::Warmup;
use chicoryloom_policy::withdrawal::Process;

use super::Dispatcher;
use super::Endpoint;
use super::State;

impl Dispatcher {
    /// Returns how targets of a service warm up, with the rate at which permits are given out; `None`
    /// if they take any number of requests.
    pub(super) fn warmup(
        &self,
        catalog: Option<&Catalog>,
        service: &id::Service,
    ) -> Option<Warmup> {
        let tolerance = self.bounds.warmup?;
        let Warmup { time, rate } = catalog?.services.get(service)?.warmup?;
        Some(Warmup { time, rate: tolerance.issued(rate) })
    }

    /// Records which targets are listed as cold.
    pub(super) fn list_warming(&self, state: &mut State, now: Moment) {
        let State { services, throttle, catalog, .. } = state;
        for (name, service) in services {
            let Some(warmup) = self.warmup(catalog.as_deref(), name) else { continue };
            for endpoint in &service.targets {
                let remaining = endpoint.warmup_end.since(now);
                throttle.warming.list(&endpoint.process(), warmup.rate, remaining, now);
            }
        }
    }

    /// Records until when the listing of targets is confirmed to be the platform's state.
    pub(in crate::gateway) fn set_listed(&self, at: Option<Moment>) {
        if self.bounds.warmup.is_some() {
            self.lock().listed = at;
        }
    }

    /// Records that a target said that it remains cold for a time, or that another host takes it for
    /// cold.
    pub(super) fn assert_cold(
        state: &mut State,
        process: &Process,
        rate: Limit,
        remaining: Duration,
        now: Moment,
    ) {
        if !remaining.is_zero() {
            state.throttle.warming.assert(process, rate, remaining, now);
        }
    }

    /// Records what a target said in answer to a check of its health.
    pub(super) fn record_warmth(&self, endpoint: &Endpoint, remaining: Duration) {
        let now = self.clock.now();
        let mut state = self.lock();
        let warmup = self.warmup(state.catalog.as_deref(), &endpoint.target.service);
        if let Some(warmup) = warmup {
            let remaining = remaining.min(warmup.time);
            Self::assert_cold(&mut state, &endpoint.process(), warmup.rate, remaining, now);
        }
    }

    /// Returns the longest time that targets take to warm up; zero if they don't.
    pub(super) fn longest_warmup(&self, state: &State) -> Duration {
        let Some(catalog) = state.catalog.as_deref().filter(|_| self.bounds.warmup.is_some())
        else {
            return Duration::ZERO;
        };
        let times = catalog.services.values().filter_map(|service| service.warmup);
        times.map(|warmup| warmup.time).max().unwrap_or_default()
    }

    /// Returns how many targets are cold, and how many requests this host has sent to such ones.
    pub(in crate::gateway) fn warming_gauges(&self) -> (u64, u64) {
        let (state, now) = (self.lock(), self.clock.now());
        (state.throttle.warming.count(now) as u64, state.throttle.warming_sends)
    }

    /// Counts a request that is sent to a target which had named a limit or is cold.
    pub(in crate::gateway) fn count_send(&self, endpoint: &Endpoint) {
        let now = self.clock.now();
        let mut state = self.lock();
        let (throttle, process) = (&mut state.throttle, endpoint.process());
        throttle.sends += u64::from(throttle.limits.get(&process).is_some());
        throttle.warming_sends += u64::from(throttle.warming.limit(&process, now).is_some());
    }

    /// Returns how many targets have a limit.
    pub(in crate::gateway) fn limited_targets(&self) -> u64 {
        self.lock().throttle.limits.count() as u64
    }

    /// Returns how many requests were sent to targets that had named a limit.
    pub(in crate::gateway) fn limited_sends(&self) -> u64 {
        self.lock().throttle.sends
    }
}
