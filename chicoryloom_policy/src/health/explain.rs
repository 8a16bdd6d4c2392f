//! Explains to operators why a target is in or out of use.

use std::time::Duration;

use super::Detector;
use super::entry::Entry;
use super::entry::Tally;
use super::gate::Gate;
use super::gate::Standing;
use super::gate::State;
use crate::Moment;
use crate::id;

/// Why a target is in or out of use.
#[derive(Clone, Debug, PartialEq)]
pub struct Explanation {
    pub target: id::Target,
    /// Route that the explanation is about; `None` means the whole target.
    pub route: Option<id::Route>,
    pub standing: Standing,
    /// Time since the current state was entered.
    pub since: Duration,
    /// Time until the ejection ends at the earliest.
    pub hold_left: Duration,
    /// Score from this host's evidence; 14 ([`super::UNHEALTHY_SCORE`]) or more means unhealthy.
    pub score: f64,
    /// Score that the reports of other home hosts add.
    pub peers: f64,
    /// Recent ejections, which make the next one longer.
    pub ejections: u32,
    pub leaving: bool,
    pub draining: bool,
    pub tally: Tally,
}

impl Detector {
    /// Explains the state of each target, and of each of its routes that is not fully in use.
    pub fn explain(&self, now: Moment) -> Vec<Explanation> {
        let mut explanations = Vec::new();
        for entry in &self.entries {
            let overall = (None, entry.gate);
            let routes = entry.routes.iter().enumerate();
            let routes = routes.filter(|(_, state)| state.gate.state != State::In);
            for (route, gate) in
                std::iter::once(overall).chain(routes.map(|(i, r)| (Some(i), r.gate)))
            {
                explanations.push(self.explanation(entry, route, &gate, now));
            }
        }
        explanations
    }

    fn explanation(
        &self,
        entry: &Entry,
        route: Option<usize>,
        gate: &Gate,
        now: Moment,
    ) -> Explanation {
        let evidence = route.map_or(&entry.overall, |route| &entry.routes[route].evidence);
        let worst = entry.routes.iter().map(|r| r.evidence.score(self.detection, now).total());
        let name = route.map(|route| self.routes[route].name.clone());
        let own = evidence.score(self.detection, now);
        let combined = self.combine(entry.id, route, own, now);
        let score = if route.is_none() { worst.fold(own.total(), f64::max) } else { own.total() };
        let hold_left = match gate.state {
            State::Out { until } => until.since(now),
            State::In | State::Trial { .. } | State::SlowStart { .. } => Duration::ZERO,
        };
        Explanation {
            target: entry.id,
            standing: if entry.is_live(now) { gate.standing(now) } else { Standing::Out },
            since: now.since(gate.since),
            hold_left,
            score,
            peers: combined.total() - own.total(),
            route: name,
            ejections: gate.recent_ejections,
            leaving: entry.leaving,
            draining: entry.is_draining(now),
            tally: entry.tally,
        }
    }
}
