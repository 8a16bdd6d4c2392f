//! The targets that a request may go to now, and the choice among them.

use std::sync::Arc;

use chicoryloom_policy::Moment;
use chicoryloom_policy::balance::Rule;
use chicoryloom_policy::dispatch;
use chicoryloom_policy::dispatch::Balance;
use chicoryloom_policy::dispatch::Candidate;
use chicoryloom_policy::gray::View;
use chicoryloom_policy::id;
use chicoryloom_policy::withdrawal::Availability;

use super::Dispatcher;
use super::Endpoint;
use super::State;

/// The targets of a service that take requests, and what to choose among them by.
///
/// One board serves all requests that are assigned at a moment, since building it takes time for
/// each target.
pub(super) struct Board {
    pub(super) endpoints: Vec<Arc<Endpoint>>,
    /// In the order of `endpoints`.
    pub(super) candidates: Vec<Candidate>,
    balance: Balance,
}

impl Board {
    /// Returns whether no target has a free slot.
    pub(super) fn is_full(&self) -> bool {
        !self.candidates.iter().any(Candidate::is_free)
    }

    /// Chooses a target for a request, other than those already tried.
    pub(super) fn choose(
        &self,
        request: dispatch::Request,
        tried: &[id::Instance],
    ) -> Option<usize> {
        let rng = &mut rand::rng();
        if tried.is_empty() {
            return dispatch::choose(&self.candidates, request, self.balance, rng);
        }
        let is_fresh = |at: &usize| !tried.contains(&self.endpoints[*at].target.instance);
        let fresh: Vec<_> = (0..self.endpoints.len()).filter(is_fresh).collect();
        let candidates: Vec<_> = fresh.iter().map(|at| self.candidates[*at]).collect();
        dispatch::choose(&candidates, request, self.balance, rng).map(|at| fresh[at])
    }
}

impl Dispatcher {
    /// Returns the targets of a service that take requests; `None` if none has a free slot.
    pub(super) fn board(&self, state: &State, service: &id::Service, now: Moment) -> Option<Board> {
        let service = state.services.get(service)?;
        let can_open = state.reach.can_open() && !state.reach.is_cut();
        let is_usable = |endpoint: &&Arc<Endpoint>| {
            Self::availability(state, endpoint, now) == Availability::Now
                && state.throttle.allows(&endpoint.process(), now)
                && (can_open || endpoint.backend.has_idle())
        };
        let endpoints: Vec<_> = service.targets.iter().filter(is_usable).cloned().collect();
        let counts: Vec<_> = endpoints
            .iter()
            .map(|endpoint| state.in_flight.total(&endpoint.target.instance))
            .collect();
        let is_free = |(endpoint, count): (&Arc<Endpoint>, &u32)| *count < endpoint.target.slots.0;
        if !endpoints.iter().zip(&counts).any(is_free) {
            return None;
        }
        let slots: Vec<_> = endpoints
            .iter()
            .map(|endpoint| (&endpoint.target.instance, endpoint.target.slots.0))
            .collect();
        let views = state.estimator.views(&slots, self.bounds.floor, now);
        let candidate = |((endpoint, in_flight), view): ((&Arc<Endpoint>, u32), View)| Candidate {
            in_flight,
            own: state.in_flight.own_at(&endpoint.target.instance),
            slots: endpoint.target.slots.0,
            home: state.homes.get(&endpoint.target.instance).copied().unwrap_or_default(),
            connected: self.rule == Rule::Even && endpoint.backend.has_idle(),
            near: endpoint.target.data_centre == self.data_centre,
            cold: now < endpoint.warmup_end
                || state.throttle.warming.limit(&endpoint.process(), now).is_some(),
            standing: view.standing,
            owned: state.trial_targets.contains(&endpoint.target.instance),
            due_for: None,
            doubt: view.doubt,
            risk: view.risk,
            evidence_age: view.evidence_age,
        };
        let mut candidates: Vec<_> =
            endpoints.iter().zip(counts).zip(views).map(candidate).collect();
        let healthy = candidates.iter().map(|one| 1.0 - one.doubt).sum();
        // Each data centre takes care of its own targets.
        let mut near: Vec<_> = candidates.iter_mut().filter(|one| one.near).collect();
        dispatch::mark_due(&mut near, healthy);
        let balance = self.balance(state, now);
        Some(Board { endpoints, candidates, balance })
    }
}
