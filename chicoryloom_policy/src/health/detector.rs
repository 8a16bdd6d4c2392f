//! Evidence, ejections and routes of one service's targets on one home host.

use std::collections::HashMap;
use std::time::Duration;

use super::MIN_REPORTED_SCORE;
use super::UNHEALTHY_SCORE;
use super::entry::Entry;
use super::entry::RouteState;
use super::entry::Tally;
use super::evidence::Detection;
use super::evidence::Evidence;
use super::evidence::Score;
use super::floor::Floor;
use super::gate::Gate;
use super::gate::Standing;
use super::gate::State;
use super::outcome::Outcome;
use super::peers;
use super::peers::Peers;
use super::peers::Report;
use super::peers::Reports;
use super::reference::Reference;
use crate::Moment;
use crate::document::Document;
use crate::id;

/// Score that a target keeps when it returns, so that a relapse is detected sooner.
const SCORE_AFTER_RETURN: f64 = UNHEALTHY_SCORE / 3.0;
/// Time for which a target counts as draining after it announced that.
const DRAINING_TTL: Duration = Duration::from_secs(600);
/// Time between two updates of the routes' references.
const REFRESH_INTERVAL: Duration = Duration::from_millis(250);

#[derive(Clone, Debug)]
pub(super) struct RouteInfo {
    pub(super) name: id::Route,
    pub(super) repeatable: bool,
    pub(super) reference: Reference,
}

/// Detects unhealthy targets of one service on one home host, and ejects them.
#[derive(Clone, Debug, Default)]
pub struct Detector {
    pub(super) detection: Detection,
    pub(super) floor: f64,
    pub(super) routes: Vec<RouteInfo>,
    pub(super) entries: Vec<Entry>,
    by_target: HashMap<id::Target, usize>,
    by_route: HashMap<id::Route, usize>,
    pub(super) peers: Peers,
    refreshed: Option<Moment>,
    pub(super) suspects_itself: bool,
}

impl Detector {
    /// Returns a detector without targets.
    pub fn new(detection: Detection) -> Self {
        Self { detection, ..Self::default() }
    }

    /// Applies a document; the state of targets that stay is kept.
    pub fn configure(&mut self, document: &Document, now: Moment) {
        let first = self.entries.is_empty();
        let old_routes = std::mem::take(&mut self.by_route);
        let mut old: HashMap<_, _> = self.entries.drain(..).map(|e| (e.id, e)).collect();
        self.floor = document.floor.get();
        self.routes = document
            .routes
            .iter()
            .map(|route| RouteInfo {
                name: route.name.clone(),
                repeatable: route.repeatable,
                reference: Reference::default(),
            })
            .collect();
        let names = self.routes.iter().enumerate();
        self.by_route = names.map(|(index, route)| (route.name.clone(), index)).collect();
        for target in &document.targets {
            let known = old.remove(&target.id);
            let start = match (&known, first) {
                (None, false) => State::SlowStart { since: now, cold: true },
                _ => State::In,
            };
            let mut entry = known.unwrap_or_else(|| Entry {
                id: target.id,
                slots: 0,
                leaving: false,
                draining_until: None,
                gate: Gate::new(start, now),
                overall: Evidence::default(),
                routes: Vec::new(),
                tally: Tally::default(),
            });
            // An operator who removes the `leaving` mark declares that the target is back, which
            // overrides its own announcement that it drains.
            if entry.leaving && !target.leaving {
                entry.draining_until = None;
            }
            entry.slots = target.slots.0;
            entry.leaving = target.leaving;
            let states = std::mem::take(&mut entry.routes);
            let state = |route: &RouteInfo| {
                let known = old_routes.get(&route.name).and_then(|index| states.get(*index));
                let new = || RouteState {
                    evidence: Evidence::default(),
                    gate: Gate::new(State::In, now),
                };
                known.cloned().unwrap_or_else(new)
            };
            entry.routes = self.routes.iter().map(state).collect();
            self.entries.push(entry);
        }
        let targets = self.entries.iter().enumerate();
        self.by_target = targets.map(|(index, entry)| (entry.id, index)).collect();
        self.refreshed = None;
        self.decide(now);
    }

    /// Returns the index of a route.
    pub fn route(&self, name: &id::Route) -> Option<usize> {
        self.by_route.get(name).copied()
    }

    /// Returns the index of a target.
    pub fn target(&self, target: id::Target) -> Option<usize> {
        self.by_target.get(&target).copied()
    }

    /// Returns the latency limit of a route; an attempt in flight that is older is late.
    pub fn latency_limit(&self, route: usize) -> Duration {
        self.routes.get(route).map_or(Duration::MAX, |route| route.reference.latency_limit)
    }

    /// Records an outcome; returns whether [`Detector::decide`] is due.
    pub fn observe(&mut self, target: usize, route: usize, outcome: Outcome, now: Moment) -> bool {
        let Some(info) = self.routes.get(route) else {
            return false;
        };
        let Some(entry) = self.entries.get_mut(target) else {
            return false;
        };
        let slow = match outcome {
            Outcome::Ok { took, late } => late || info.reference.is_slow(took),
            Outcome::Late => true,
            Outcome::Failed(_) => false,
        };
        entry.tally.add(outcome, slow);
        let good = !slow && !outcome.is_failed();
        let trial_ended = entry.gate.record_trial(good, now);
        let route_trial_ended = entry.routes[route].gate.record_trial(good, now);
        if trial_ended && good {
            entry.reset_evidence(SCORE_AFTER_RETURN, now);
        }
        if route_trial_ended && good {
            entry.routes[route].evidence.reset(SCORE_AFTER_RETURN, now);
        }
        let cold = entry.gate.is_cold();
        if !(cold && slow) {
            entry.overall.observe(outcome, slow, &info.reference, now);
            entry.routes[route].evidence.observe(outcome, slow, &info.reference, now);
        }
        let score = entry.routes[route].evidence.score(self.detection, now).total();
        let overall = entry.overall.score(self.detection, now).total();
        let reportable = !good && score.max(overall) >= MIN_REPORTED_SCORE;
        trial_ended || route_trial_ended || reportable
    }

    /// Records that a target announced that it drains; returns whether it did not drain before.
    pub fn mark_draining(&mut self, target: id::Target, now: Moment) -> bool {
        let Some(index) = self.target(target) else {
            return false;
        };
        let entry = &mut self.entries[index];
        let is_new = !entry.is_draining(now);
        entry.draining_until = Some(now.after(DRAINING_TTL));
        is_new
    }

    /// Discards the evidence about a target, drops its latest ejection from the count and starts
    /// a trial if it is out; for failures that a request caused rather than the target.
    pub fn discard_evidence(&mut self, target: id::Target, now: Moment) {
        let Some(index) = self.target(target) else {
            return;
        };
        let entry = &mut self.entries[index];
        entry.reset_evidence(0.0, now);
        entry.gate.undo_ejection(now);
        for route in &mut entry.routes {
            route.gate.undo_ejection(now);
        }
    }

    /// Records the reports of another home host.
    pub fn receive(
        &mut self,
        host: id::Host,
        sequence: (id::Incarnation, u64),
        reports: &Reports,
        now: Moment,
    ) {
        if !self.peers.receive(host, sequence, reports, now) {
            return;
        }
        for report in reports.reports.iter().filter(|report| report.draining) {
            self.mark_draining(report.target, now);
        }
    }

    /// Returns what this host reports to the other home hosts.
    ///
    /// Evidence that no longer holds is reported with a score of zero until the peers have dropped
    /// the earlier report by themselves.
    pub fn reports(&mut self, now: Moment) -> Reports {
        let mut reports = Reports::default();
        let detection = self.detection;
        for entry in &mut self.entries {
            let is_draining = entry.is_draining(now);
            let is_out = entry.gate.is_out();
            let all_evidence = std::iter::once((None, is_out, &mut entry.overall)).chain(
                entry.routes.iter_mut().enumerate().map(|(index, state)| {
                    (Some(index), is_out || state.gate.is_out(), &mut state.evidence)
                }),
            );
            let mut seen = false;
            for (route, is_out, evidence) in all_evidence {
                seen |= evidence.is_recent(peers::REPORT_TTL, now);
                let ttl = if is_out { peers::EJECTED_REPORT_TTL } else { peers::REPORT_TTL };
                let score = evidence.observed_score(detection, now);
                let draining = route.is_none() && is_draining;
                let holds = evidence.is_recent(ttl, now) && score.total() >= MIN_REPORTED_SCORE;
                if holds {
                    evidence.reported = Some(now);
                }
                let is_known =
                    evidence.reported.is_some_and(|at| now.since(at) < peers::REPORT_TTL);
                if is_known || draining {
                    reports.reports.push(Report {
                        target: entry.id,
                        route: route.map(|route| self.routes[route].name.clone()),
                        score: if holds { score } else { Score::default() },
                        draining,
                    });
                }
            }
            reports.seen += u32::from(seen);
        }
        reports
    }

    /// Returns this host's score of a target combined with the reports of its peers.
    pub(super) fn combine(
        &self,
        target: id::Target,
        route: Option<usize>,
        own: Score,
        now: Moment,
    ) -> Score {
        let info = route.map(|route| &self.routes[route]);
        let reference = match info {
            Some(info) => info.reference,
            None => self.fastest_reference(),
        };
        self.peers.combine(own, (target, info.map(|info| &info.name)), &reference, now)
    }

    /// Returns the reference with the shortest latency limit.
    fn fastest_reference(&self) -> Reference {
        let references = self.routes.iter().map(|info| info.reference);
        references.min_by_key(|reference| reference.latency_limit).unwrap_or_default()
    }

    /// Returns whether this host is likelier to be at fault than the targets that it finds
    /// unhealthy.
    pub fn suspects_itself(&self) -> bool {
        self.suspects_itself
    }

    /// Returns how far a target may be used on a route.
    pub fn standing(&self, target: usize, route: usize, now: Moment) -> Standing {
        self.entries.get(target).map_or(Standing::Out, |entry| entry.standing(route, now))
    }

    /// Claims the next trial request to a target; returns whether one may be sent now.
    pub fn take_trial(&mut self, target: usize, route: usize, now: Moment) -> bool {
        let Some(entry) = self.entries.get_mut(target) else {
            return false;
        };
        if entry.standing(route, now) != Standing::Trial {
            return false;
        }
        entry.gate.take_trial(now) || entry.routes[route].gate.take_trial(now)
    }

    /// Ejects unhealthy targets and lets others return; returns whether a standing changed.
    pub fn decide(&mut self, now: Moment) -> bool {
        self.peers.expire(now);
        self.refresh_references(now);
        self.close_spans(now);
        let mut changed = self.advance_gates(now);
        let floor = Floor { share: self.floor, now };
        changed |= floor.restore(&mut self.entries);
        let mut candidates = self.candidates(now);
        candidates.sort_by(|one, two| two.score.total_cmp(&one.score));
        for candidate in candidates {
            changed |= self.eject(&floor, candidate);
        }
        self.update_suspicion(now);
        changed
    }

    fn refresh_references(&mut self, now: Moment) {
        let recent = self.refreshed.is_some_and(|at| now.since(at) < REFRESH_INTERVAL);
        if recent {
            return;
        }
        self.refreshed = Some(now);
        for (index, route) in self.routes.iter_mut().enumerate() {
            let all_evidence = self.entries.iter().map(|entry| &entry.routes[index].evidence);
            route.reference = Reference::of(all_evidence, now);
        }
    }

    /// Closes the spans of the slowness test that are over.
    fn close_spans(&mut self, now: Moment) {
        let fastest_reference = self.fastest_reference();
        for entry in &mut self.entries {
            entry.overall.close_span(&fastest_reference, now);
            for (state, info) in entry.routes.iter_mut().zip(&self.routes) {
                state.evidence.close_span(&info.reference, now);
            }
        }
    }

    fn advance_gates(&mut self, now: Moment) -> bool {
        let any_repeatable = self.routes.iter().any(|route| route.repeatable);
        let mut changed = false;
        for entry in &mut self.entries {
            let was_out = entry.gate.is_out();
            if entry.gate.advance(any_repeatable, now) {
                changed = true;
                let kept = if entry.gate.is_out() { 0.0 } else { SCORE_AFTER_RETURN };
                if was_out {
                    entry.reset_evidence(kept, now);
                }
            }
            for (state, info) in entry.routes.iter_mut().zip(&self.routes) {
                let was_out = state.gate.is_out();
                if state.gate.advance(info.repeatable, now) {
                    changed = true;
                    let kept = if state.gate.is_out() { 0.0 } else { SCORE_AFTER_RETURN };
                    if was_out {
                        state.evidence.reset(kept, now);
                    }
                }
            }
        }
        changed
    }
}
