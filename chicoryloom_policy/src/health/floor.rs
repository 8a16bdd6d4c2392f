//! The floor: the share of a service's capacity that ejections must leave in use.

use super::entry::Entry;
use super::gate::Gate;
use super::gate::State;
use crate::Moment;

/// Tolerance for rounding errors, in slots.
const EPSILON: f64 = 1e-9;

/// The share of the targets' slots that ejections must leave in use.
#[derive(Clone, Copy, Debug)]
pub(super) struct Floor {
    /// Share of the declared slots of the targets that count ([`Entry::counts`]).
    pub(super) share: f64,
    pub(super) now: Moment,
}

impl Floor {
    /// Returns whether the floor still holds after ejecting a target, wholly or for one route.
    pub(super) fn allows(&self, entries: &[Entry], target: usize, route: Option<usize>) -> bool {
        let routes = route.map_or(0..entries[target].routes.len(), |route| route..route + 1);
        routes.into_iter().all(|route| {
            let lost = self.used(&entries[target], route);
            self.spare(entries, route) - lost >= -EPSILON
        })
    }

    /// Reinstates targets until the floor holds on each route, those with the least evidence
    /// first.
    ///
    /// Returns whether any target was reinstated.
    pub(super) fn restore(&self, entries: &mut [Entry]) -> bool {
        let routes = entries.first().map_or(0, |entry| entry.routes.len());
        let mut changed = false;
        for route in 0..routes {
            while self.spare(entries, route) < -EPSILON {
                let Some(entry) = self.least_bad(entries, route) else {
                    break;
                };
                entry.gate.reinstate(self.now);
                entry.routes[route].gate.reinstate(self.now);
                changed = true;
            }
        }
        changed
    }

    /// Returns the slots in use on a route beyond the floor.
    fn spare(&self, entries: &[Entry], route: usize) -> f64 {
        let counted = entries.iter().filter(|entry| entry.counts(self.now));
        counted.map(|entry| self.used(entry, route) - self.share * f64::from(entry.slots)).sum()
    }

    /// Returns the slots of a target that are in use on a route.
    fn used(&self, entry: &Entry, route: usize) -> f64 {
        let standing = entry.standing(route, self.now);
        f64::from(entry.slots) * standing.weight()
    }

    /// Returns the target not fully in use that is to be reinstated first.
    fn least_bad<'a>(&self, entries: &'a mut [Entry], route: usize) -> Option<&'a mut Entry> {
        let rank = |entry: &Entry| rank(&entry.gate).max(rank(&entry.routes[route].gate));
        let limited = entries
            .iter_mut()
            .filter(|entry| entry.counts(self.now))
            .filter(|entry| self.used(entry, route) + EPSILON < f64::from(entry.slots));
        limited.min_by(|one, two| rank(one).total_cmp(&rank(two)))
    }
}

/// Returns the order of reinstatement, lowest first: targets that are already returning come
/// before those still out, which follow by the score of their ejection.
fn rank(gate: &Gate) -> f64 {
    match gate.state {
        State::In | State::SlowStart { .. } => 0.0,
        State::Trial { .. } | State::Out { .. } => 1.0 + gate.ejection_score,
    }
}
