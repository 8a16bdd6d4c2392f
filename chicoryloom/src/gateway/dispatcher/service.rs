//! What is kept for each service: its targets, waiting requests, retries and latencies.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use chicoryloom_policy::gray::Standing;
use chicoryloom_policy::gray::View;
use chicoryloom_policy::id;
use chicoryloom_policy::retry;
use chicoryloom_policy::retry::Budget;
use chicoryloom_policy::stop::Length;
use chicoryloom_policy::waiting::Queue;
use chicoryloom_policy::waiting::Ticket;
use chicoryloom_policy::withdrawal::Availability;

use super::Dispatcher;
use super::Endpoint;
use super::State;
use super::waiter::Waiter;

/// Weight of the newest sample in the smoothed times of a route.
const LATENCY_WEIGHT: f64 = 0.05;
/// Time without a request after which operators count a healthy target as idle.
const IDLE_SPAN: Duration = Duration::from_secs(2);

#[derive(Default)]
pub(super) struct Service {
    pub(super) targets: Vec<Arc<Endpoint>>,
    pub(super) queue: Queue,
    pub(super) waiters: BTreeMap<Ticket, Waiter>,
    pub(super) budget: Option<Budget>,
    /// Smoothed time from sending a request to the head of its response, in seconds, by route.
    pub(super) latencies: HashMap<id::Route, f64>,
    /// Smoothed time from sending a request to the last byte of its response as its caller took it, in
    /// seconds, by route.
    pub(super) durations: HashMap<id::Route, f64>,
    /// Length of whole responses, by route.
    pub(super) lengths: HashMap<id::Route, Length>,
}

impl Service {
    /// Ends the wait of all requests, which are woken as their senders are dropped.
    pub(super) fn refuse_waiters(&mut self) {
        for ticket in std::mem::take(&mut self.waiters).into_keys() {
            self.queue.remove(ticket);
        }
    }
}

impl Dispatcher {
    /// Returns this host's share of the burst of retries that all hosts may send together.
    pub(super) fn retry_burst(&self, state: &State) -> f64 {
        let fleet = retry::Fleet {
            entry_hosts: state.entry_hosts.len(),
            is_entry: state.entry_hosts.iter().any(|(host, _)| *host == self.me),
            lost_entry_hosts: state.lost_entry_hosts,
            uptime: self.clock.now().since(self.started),
        };
        fleet.part(self.bounds.retry_burst)
    }

    /// Adds the share of a first attempt to the retry budget of its service.
    pub(in crate::gateway) fn deposit_retry(&self, service: &id::Service) {
        let mut state = self.lock();
        let burst = self.retry_burst(&state);
        let share = self.bounds.retry_share;
        let service = state.services.entry(service.clone()).or_default();
        service.budget.get_or_insert_with(|| Budget::new(share, burst)).deposit();
    }

    /// Takes one retry from the budget of a service; returns whether there was one left.
    pub(in crate::gateway) fn take_retry(&self, service: &id::Service) -> bool {
        let mut state = self.lock();
        let budget = state.services.get_mut(service).and_then(|service| service.budget.as_mut());
        budget.is_some_and(Budget::take)
    }

    /// Returns, for each service, how many of its targets are held back, and how many take requests
    /// but had none of any host for [`IDLE_SPAN`], as far as known.
    pub(in crate::gateway) fn idle_targets(&self) -> Vec<(id::Service, usize, usize)> {
        let state = self.lock();
        let now = self.clock.now();
        let counts = |(name, service): (&id::Service, &Service)| {
            let taking = service
                .targets
                .iter()
                .filter(|endpoint| Self::availability(&state, endpoint, now) == Availability::Now);
            let slots: Vec<_> =
                taking.map(|one| (&one.target.instance, one.target.slots.0)).collect();
            let views = state.estimator.views(&slots, self.bounds.floor, now);
            let is_held = |view: &&View| view.standing == Standing::HeldBack;
            let is_idle = |view: &&View| view.evidence_age.is_none_or(|age| age >= IDLE_SPAN);
            let held = views.iter().filter(is_held).count();
            (name.clone(), held, views.iter().filter(is_idle).count())
        };
        state.services.iter().map(counts).collect()
    }

    /// Records the time to the head of a successful response.
    pub(in crate::gateway) fn record_latency(
        &self,
        service: &id::Service,
        route: &id::Route,
        took: Duration,
    ) {
        let mut state = self.lock();
        smooth(&mut state.services.entry(service.clone()).or_default().latencies, route, took);
    }

    /// Records the time to the last byte of a successful response, and its length in bytes.
    pub(in crate::gateway) fn record_end(
        &self,
        service: &id::Service,
        route: &id::Route,
        took: Duration,
        bytes: u64,
    ) {
        let mut state = self.lock();
        let service = state.services.entry(service.clone()).or_default();
        smooth(&mut service.durations, route, took);
        service.lengths.entry(route.clone()).or_default().record(bytes);
    }

    /// Returns whether a response may be longer than what connections buffer.
    pub(in crate::gateway) fn is_long(&self, service: &id::Service, route: &id::Route) -> bool {
        let state = self.lock();
        let length = state.services.get(service).and_then(|service| service.lengths.get(route));
        length.is_some_and(|length| length.is_long())
    }

    /// Returns the smoothed time to the last byte of a response, if any was recorded.
    pub(in crate::gateway) fn duration(
        &self,
        service: &id::Service,
        route: &id::Route,
    ) -> Option<Duration> {
        let state = self.lock();
        let duration = state.services.get(service)?.durations.get(route)?;
        Some(Duration::from_secs_f64(*duration))
    }

    /// Returns the smoothed time to the head of a response, if any was recorded.
    pub(in crate::gateway) fn latency(
        &self,
        service: &id::Service,
        route: &id::Route,
    ) -> Option<Duration> {
        let state = self.lock();
        let latency = state.services.get(service)?.latencies.get(route)?;
        Some(Duration::from_secs_f64(*latency))
    }
}

fn smooth(times: &mut HashMap<id::Route, f64>, route: &id::Route, took: Duration) {
    let took = took.as_secs_f64();
    let known = times.entry(route.clone()).or_insert(took);
    *known += LATENCY_WEIGHT * (took - *known);
}
