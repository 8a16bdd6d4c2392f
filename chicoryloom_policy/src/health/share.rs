//! Evidence from other home hosts.

use std::collections::HashMap;
use std::time::Duration;

use super::PEER_WEIGHT;
use super::SICK;
use super::cell::Score;
use super::cell::slow_step;
use super::reference::Reference;
use crate::Moment;
use crate::id;

/// Part of a span's evidence that all hosts together add at most in one span.
const PACE: f64 = 0.7;
/// Time for which a report counts.
pub(super) const LIFE: Duration = Duration::from_secs(3);

/// Evidence of one host about one target.
#[derive(Clone, Debug, PartialEq)]
pub struct Report {
    pub target: id::Target,
    /// Route that the evidence is about; `None` means the target's connections.
    pub route: Option<id::Route>,
    pub score: Score,
    /// Whether the target said that it drains.
    pub draining: bool,
}

/// What one host reports of a service.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Reports {
    /// Targets of which the host has recent outcomes.
    pub seen: u32,
    pub reports: Vec<Report>,
}

/// What another home host reported.
#[derive(Clone, Debug, Default)]
pub(super) struct Peer {
    sequence: (id::Incarnation, u64),
    heard: Moment,
    seen: u32,
    scores: HashMap<(id::Target, Option<id::Route>), (Score, Moment)>,
}

/// Reports of all other home hosts.
#[derive(Clone, Debug, Default)]
pub(super) struct Peers {
    by_host: HashMap<id::Host, Peer>,
}

impl Peers {
    /// Takes in reports unless later ones of the same incarnation are known.
    pub(super) fn hear(
        &mut self,
        host: id::Host,
        sequence: (id::Incarnation, u64),
        reports: &Reports,
        now: Moment,
    ) -> bool {
        let peer = self.by_host.entry(host).or_default();
        if peer.sequence.0 == sequence.0 && peer.sequence.1 >= sequence.1 {
            return false;
        }
        peer.sequence = sequence;
        peer.heard = now;
        peer.seen = reports.seen;
        peer.scores.retain(|_, (_, at)| now.since(*at) < LIFE);
        for report in &reports.reports {
            let name = (report.target, report.route.clone());
            peer.scores.insert(name, (report.score, now));
        }
        true
    }

    /// Returns this host's evidence about a target together with that of its peers.
    ///
    /// Each peer counts up to a bound. Slow answers add up to no more than one host could have
    /// gathered in the time for which the target has been slow, since all hosts see one queue.
    pub(super) fn join(
        &self,
        own: Score,
        name: (id::Target, Option<&id::Route>),
        reference: &Reference,
        now: Moment,
    ) -> Score {
        if self.by_host.values().all(|peer| peer.scores.is_empty()) {
            return own;
        }
        let name = (name.0, name.1.cloned());
        let scores = self.by_host.values().filter_map(|peer| peer.scores.get(&name));
        let mut joined = own;
        for (score, at) in scores.filter(|(_, at)| now.since(*at) < LIFE) {
            let failed = score.failed.clamp(0.0, PEER_WEIGHT);
            joined.failed += failed;
            joined.slow += score.slow.clamp(0.0, PEER_WEIGHT - failed);
            let slow_for = score.slow_for + now.since(*at);
            joined.slow_for = joined.slow_for.max(slow_for);
        }
        let spans = joined.slow_for.as_secs_f64() / reference.span().as_secs_f64();
        joined.slow = joined.slow.min(spans * PACE * slow_step(reference)).max(own.slow);
        joined
    }

    /// Tells whether a peer that sees targets finds most of them well.
    pub(super) fn find_most_well(&self, now: Moment) -> bool {
        self.by_host.values().any(|peer| {
            let mut sick: Vec<_> = peer
                .scores
                .iter()
                .filter(|(_, (score, at))| score.total() >= SICK / 2.0 && now.since(*at) < LIFE)
                .map(|((target, _), _)| *target)
                .collect();
            sick.sort_unstable();
            sick.dedup();
            now.since(peer.heard) < LIFE && peer.seen as usize > 2 * sick.len()
        })
    }

    /// Forgets hosts that have said nothing for long.
    pub(super) fn expire(&mut self, now: Moment) {
        self.by_host.retain(|_, peer| now.since(peer.heard) < LIFE * 4);
    }
}
