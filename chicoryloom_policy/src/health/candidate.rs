//! Selection of the targets to eject.

use std::time::Duration;

use super::Detector;
use super::UNHEALTHY_SCORE;
use super::entry::Entry;
use super::floor::Floor;
use crate::Moment;

/// Time without outcomes after which a route of a target counts as unused.
const UNUSED_AFTER: Duration = Duration::from_secs(60);
/// Score at which a route counts towards the ejection of the whole target.
const SUSPICIOUS_SCORE: f64 = UNHEALTHY_SCORE / 2.0;
/// Factor by which a target's score must exceed that of an ejected target to replace it.
const SWAP_FACTOR: f64 = 1.5;

/// A target, or one route of it, that is to be ejected if the floor allows.
#[derive(Clone, Copy, Debug)]
pub(super) struct Candidate {
    pub(super) target: usize,
    pub(super) route: Option<usize>,
    pub(super) score: f64,
}

impl Detector {
    /// Returns the unhealthy targets and routes that are in use.
    pub(super) fn candidates(&self, now: Moment) -> Vec<Candidate> {
        let mut found = Vec::new();
        for (target, entry) in self.entries.iter().enumerate() {
            if entry.counts(now) && !entry.gate.is_out() {
                self.examine(target, entry, now, &mut found);
            }
        }
        found
    }

    /// Adds a target to `found` if it is unhealthy as a whole, or else its unhealthy routes.
    fn examine(&self, target: usize, entry: &Entry, now: Moment, found: &mut Vec<Candidate>) {
        let first = found.len();
        let mut active = 0;
        let mut remaining = 0;
        let mut suspicious = 0;
        let mut unhealthy_or_out = 0;
        let mut worst = self.score(entry, None, now);
        let overall_unhealthy = worst >= UNHEALTHY_SCORE;
        for (route, state) in entry.routes.iter().enumerate() {
            let score = self.score(entry, Some(route), now);
            let unhealthy = score >= UNHEALTHY_SCORE;
            let out = state.gate.is_out();
            let used = state.evidence.is_used() && now.since(state.evidence.last) < UNUSED_AFTER;
            active += usize::from(used || unhealthy || out);
            unhealthy_or_out += usize::from(unhealthy || out);
            let other = used && !unhealthy && !out;
            remaining += usize::from(other);
            suspicious += usize::from(other && score >= SUSPICIOUS_SCORE);
            if unhealthy && !out {
                worst = worst.max(score);
                found.push(Candidate { target, route: Some(route), score });
            }
        }
        let most_unhealthy = found.len() > first && unhealthy_or_out * 2 > active;
        // Unhealthy routes raise the score over all routes too, so that score ejects the whole
        // target only if most of the remaining routes are suspicious themselves.
        if most_unhealthy || (overall_unhealthy && suspicious * 2 > remaining) {
            found.truncate(first);
            found.push(Candidate { target, route: None, score: worst });
        }
    }

    /// Returns the score of a target on a route, or over all routes, from this host's evidence
    /// and the reports of its peers.
    pub(super) fn score(&self, entry: &Entry, route: Option<usize>, now: Moment) -> f64 {
        let evidence = route.map_or(&entry.overall, |route| &entry.routes[route].evidence);
        let own = evidence.score(self.detection, now);
        self.combine(entry.id, route, own, now).total()
    }

    /// Ejects a candidate if the floor allows it, or in exchange for a much better target.
    pub(super) fn eject(&mut self, floor: &Floor, candidate: Candidate) -> bool {
        let Candidate { target, route, score } = candidate;
        if !floor.allows(&self.entries, target, route) && !self.swap(floor, candidate) {
            return false;
        }
        let entry = &mut self.entries[target];
        entry.gate_mut(route).eject(score, floor.now);
        if route.is_some() {
            entry.overall.reset(0.0, floor.now);
        }
        true
    }

    /// Reinstates a much better target if the floor then allows a candidate's ejection.
    fn swap(&mut self, floor: &Floor, candidate: Candidate) -> bool {
        let gates = self.entries.iter().enumerate();
        let better = gates
            .filter(|(_, entry)| entry.counts(floor.now))
            .map(|(index, entry)| (index, *entry.gate(candidate.route)))
            .filter(|(_, gate)| gate.is_out())
            .filter(|(_, gate)| gate.ejection_score * SWAP_FACTOR < candidate.score)
            .min_by(|one, two| one.1.ejection_score.total_cmp(&two.1.ejection_score));
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

    /// Updates whether this host suspects itself: it finds most targets suspicious or ejected,
    /// while a peer finds most of its targets healthy.
    pub(super) fn update_suspicion(&mut self, now: Moment) {
        let live = self.entries.iter().filter(|entry| entry.is_live(now));
        let mut total = 0;
        let mut unhealthy = 0;
        for entry in live {
            let all_evidence =
                entry.routes.iter().map(|route| &route.evidence).chain([&entry.overall]);
            let worst = all_evidence
                .map(|evidence| evidence.score(self.detection, now).total())
                .fold(0.0, f64::max);
            total += 1;
            unhealthy += usize::from(worst >= UNHEALTHY_SCORE / 2.0 || entry.gate.is_out());
        }
        let most = total > 1 && unhealthy * 2 > total;
        self.suspects_itself = most && self.peers.any_finds_most_healthy(now);
    }
}
