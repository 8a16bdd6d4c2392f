//! Choice of the targets to eject.

use std::time::Duration;

use super::Board;
use super::SICK;
use super::entry::Entry;
use super::floor::Floor;
use crate::Moment;

/// Age past which a route of a target counts as unused.
const ACTIVE: Duration = Duration::from_secs(60);
/// Evidence at which a route counts towards the ejection of the whole target.
const SUSPICIOUS: f64 = SICK / 2.0;
/// How much worse a target must be to take an ejected target's place.
const SWAP_FACTOR: f64 = 1.5;

/// A target that may have to go.
#[derive(Clone, Copy, Debug)]
pub(super) struct Candidate {
    pub(super) target: usize,
    pub(super) route: Option<usize>,
    pub(super) score: f64,
}

impl Board {
    pub(super) fn candidates(&self, now: Moment) -> Vec<Candidate> {
        let mut found = Vec::new();
        for (target, entry) in self.entries.iter().enumerate() {
            if entry.counts(now) && !entry.gate.is_out() {
                self.examine(target, entry, now, &mut found);
            }
        }
        found
    }

    /// Finds whether a target is sick as a whole, or on which routes.
    fn examine(&self, target: usize, entry: &Entry, now: Moment, found: &mut Vec<Candidate>) {
        let first = found.len();
        let mut active = 0;
        let mut rest = 0;
        let mut suspicious = 0;
        let mut bad = 0;
        let mut worst = self.score(entry, None, now);
        let whole = worst >= SICK;
        for (route, state) in entry.routes.iter().enumerate() {
            let score = self.score(entry, Some(route), now);
            let sick = score >= SICK;
            let out = state.gate.is_out();
            let used = state.cell.is_used() && now.since(state.cell.last) < ACTIVE;
            active += usize::from(used || sick || out);
            bad += usize::from(sick || out);
            let other = used && !sick && !out;
            rest += usize::from(other);
            suspicious += usize::from(other && score >= SUSPICIOUS);
            if sick && !out {
                worst = worst.max(score);
                found.push(Candidate { target, route: Some(route), score });
            }
        }
        let most_bad = found.len() > first && bad * 2 > active;
        // What sick routes add to the whole says nothing of the rest.
        if most_bad || (whole && suspicious * 2 > rest) {
            found.truncate(first);
            found.push(Candidate { target, route: None, score: worst });
        }
    }

    pub(super) fn score(&self, entry: &Entry, route: Option<usize>, now: Moment) -> f64 {
        let cell = route.map_or(&entry.whole, |route| &entry.routes[route].cell);
        let own = cell.score(self.detection, now);
        self.join(entry.id, route, own, now).total()
    }

    /// Ejects a candidate if the floor allows, or in place of a much better target.
    pub(super) fn eject(&mut self, floor: &Floor, candidate: Candidate) -> bool {
        let Candidate { target, route, score } = candidate;
        if !floor.allows(&self.entries, target, route) && !self.swap(floor, candidate) {
            return false;
        }
        let entry = &mut self.entries[target];
        entry.gate_mut(route).eject(score, floor.now);
        if route.is_some() {
            entry.whole.settle(0.0, floor.now);
        }
        true
    }

    /// Takes a much better target back so that the floor allows a candidate's ejection.
    fn swap(&mut self, floor: &Floor, candidate: Candidate) -> bool {
        let gates = self.entries.iter().enumerate();
        let better = gates
            .filter(|(_, entry)| entry.counts(floor.now))
            .map(|(index, entry)| (index, *entry.gate(candidate.route)))
            .filter(|(_, gate)| gate.is_out())
            .filter(|(_, gate)| gate.badness * SWAP_FACTOR < candidate.score)
            .min_by(|one, two| one.1.badness.total_cmp(&two.1.badness));
        let Some((index, saved)) = better else {
            return false;
        };
        self.entries[index].gate_mut(candidate.route).reinstate(floor.now);
        if floor.allows(&self.entries, candidate.target, candidate.route) {
            return true;
        }
        *self.entries[index].gate_mut(candidate.route) = saved;
        false
    }

    pub(super) fn suspect(&mut self, now: Moment) {
        let live = self.entries.iter().filter(|entry| entry.is_live(now));
        let mut total = 0;
        let mut sick = 0;
        for entry in live {
            let cells = entry.routes.iter().map(|route| &route.cell).chain([&entry.whole]);
            let worst =
                cells.map(|cell| cell.score(self.detection, now).total()).fold(0.0, f64::max);
            total += 1;
            sick += usize::from(worst >= SICK / 2.0 || entry.gate.is_out());
        }
        let most = total > 1 && sick * 2 > total;
        self.suspects_itself = most && self.peers.find_most_well(now);
    }
}
