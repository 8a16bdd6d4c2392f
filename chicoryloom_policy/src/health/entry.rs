//! State of one target.

use super::evidence::Evidence;
use super::gate::Gate;
use super::gate::Standing;
use super::outcome::Failed;
use super::outcome::Outcome;
use crate::Moment;
use crate::id;

/// State of one target on one route.
#[derive(Clone, Debug)]
pub(super) struct RouteState {
    pub(super) evidence: Evidence,
    pub(super) gate: Gate,
}

/// State of one target.
#[derive(Clone, Debug)]
pub(super) struct Entry {
    pub(super) id: id::Target,
    pub(super) slots: u32,
    pub(super) leaving: bool,
    pub(super) draining_until: Option<Moment>,
    pub(super) gate: Gate,
    /// Evidence over all routes, such as failures of the target's connections.
    pub(super) overall: Evidence,
    /// By route, in the order of the detector's routes.
    pub(super) routes: Vec<RouteState>,
    pub(super) tally: Tally,
}

/// Counts of a target's outcomes since the host started.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Tally {
    pub ok: u64,
    pub slow: u64,
    pub error: u64,
    pub refused: u64,
    pub reset: u64,
    pub timeout: u64,
}

impl Entry {
    pub(super) fn is_draining(&self, now: Moment) -> bool {
        self.draining_until.is_some_and(|until| now < until)
    }

    /// Returns whether the target may get new requests: it is neither leaving nor draining.
    pub(super) fn is_live(&self, now: Moment) -> bool {
        !self.leaving && !self.is_draining(now)
    }

    /// Returns whether the floor counts the target: it is live and past the slow start of a new
    /// target.
    pub(super) fn counts(&self, now: Moment) -> bool {
        self.is_live(now) && !self.gate.is_cold()
    }

    pub(super) fn standing(&self, route: usize, now: Moment) -> Standing {
        if !self.is_live(now) {
            return Standing::Out;
        }
        let overall = self.gate.standing(now);
        self.routes.get(route).map_or(overall, |state| overall.and(state.gate.standing(now)))
    }

    /// Returns the gate of a route, or that of the whole target.
    pub(super) fn gate(&self, route: Option<usize>) -> &Gate {
        route.map_or(&self.gate, |route| &self.routes[route].gate)
    }

    pub(super) fn gate_mut(&mut self, route: Option<usize>) -> &mut Gate {
        match route {
            Some(route) => &mut self.routes[route].gate,
            None => &mut self.gate,
        }
    }

    /// Resets the evidence over all routes, and that of each route down to `kept`.
    pub(super) fn reset_evidence(&mut self, kept: f64, now: Moment) {
        self.overall.reset(0.0, now);
        for route in &mut self.routes {
            route.evidence.reset(kept, now);
        }
    }
}

impl Tally {
    pub(super) fn add(&mut self, outcome: Outcome, slow: bool) {
        match outcome {
            Outcome::Ok { .. } if slow => self.slow += 1,
            Outcome::Ok { .. } => self.ok += 1,
            Outcome::Late => {}
            Outcome::Failed(Failed::Error) => self.error += 1,
            Outcome::Failed(Failed::Refused) => self.refused += 1,
            Outcome::Failed(Failed::Reset) => self.reset += 1,
            Outcome::Failed(Failed::Timeout) => self.timeout += 1,
        }
    }
}
