//! Evidence that home hosts report to each other.

use std::collections::HashMap;
use std::time::Duration;

use super::MAX_PEER_SCORE;
use super::UNHEALTHY_SCORE;
use super::evidence::Score;
use super::evidence::slow_step;
use super::reference::Reference;
use crate::Moment;
use crate::id;

/// Largest part of a fully slow span's score that all hosts together add per span.
const MAX_SPAN_SHARE: f64 = 0.7;
/// Time for which a report is used.
pub(super) const REPORT_TTL: Duration = Duration::from_secs(3);
/// Time since the latest outcome for which evidence about an ejected target is reported. The target
/// may recover meanwhile, so that hosts which try it must not be told of old failures for long.
pub(super) const EJECTED_REPORT_TTL: Duration = Duration::from_secs(1);

/// Evidence of one host about one target.
#[derive(Clone, Debug, PartialEq)]
pub struct Report {
    pub target: id::Target,
    /// Route that the evidence is about; `None` means all routes, such as for failures of the
    /// target's connections.
    pub route: Option<id::Route>,
    pub score: Score,
    /// Whether the target announced that it drains.
    pub draining: bool,
}

/// What one host reports about the targets of a service.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Reports {
    /// Number of targets of which the host has recent outcomes.
    pub seen: u32,
    pub reports: Vec<Report>,
}

/// Reports of one other home host.
#[derive(Clone, Debug, Default)]
pub(super) struct Peer {
    sequence: (id::Incarnation, u64),
    received: Moment,
    seen: u32,
    scores: HashMap<(id::Target, Option<id::Route>), (Score, Moment)>,
}

/// Reports of all other home hosts.
#[derive(Clone, Debug, Default)]
pub(super) struct Peers {
    by_host: HashMap<id::Host, Peer>,
}

impl Peers {
    /// Records reports unless later ones of the same incarnation are known; returns whether it
    /// did.
    pub(super) fn receive(
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
        peer.received = now;
        peer.seen = reports.seen;
        peer.scores.retain(|_, (_, at)| now.since(*at) < REPORT_TTL);
        for report in &reports.reports {
            let key = (report.target, report.route.clone());
            peer.scores.insert(key, (report.score, now));
        }
        true
    }

    /// Returns this host's score of a target combined with those of its peers.
    ///
    /// Each peer adds at most [`MAX_PEER_SCORE`]. Peers raise the score for slowness to no more
    /// than one host could have gathered in the time for which the target has been slow, since
    /// all hosts observe the same queue.
    pub(super) fn combine(
        &self,
        own: Score,
        key: (id::Target, Option<&id::Route>),
        reference: &Reference,
        now: Moment,
    ) -> Score {
        if self.by_host.values().all(|peer| peer.scores.is_empty()) {
            return own;
        }
        let key = (key.0, key.1.cloned());
        let scores = self.by_host.values().filter_map(|peer| peer.scores.get(&key));
        let mut combined = own;
        for (score, at) in scores.filter(|(_, at)| now.since(*at) < REPORT_TTL) {
            let failed = score.failed.clamp(0.0, MAX_PEER_SCORE);
            combined.failed += failed;
            combined.slow += score.slow.clamp(0.0, MAX_PEER_SCORE - failed);
            let slow_for = score.slow_for + now.since(*at);
            combined.slow_for = combined.slow_for.max(slow_for);
        }
        let spans = combined.slow_for.as_secs_f64() / reference.span().as_secs_f64();
        combined.slow =
            combined.slow.min(spans * MAX_SPAN_SHARE * slow_step(reference)).max(own.slow);
        combined
    }

    /// Returns whether some peer with recent outcomes finds most of its targets healthy.
    pub(super) fn any_finds_most_healthy(&self, now: Moment) -> bool {
        self.by_host.values().any(|peer| {
            let mut unhealthy: Vec<_> = peer
                .scores
                .iter()
                .filter(|(_, (score, at))| {
                    score.total() >= UNHEALTHY_SCORE / 2.0 && now.since(*at) < REPORT_TTL
                })
                .map(|((target, _), _)| *target)
                .collect();
            unhealthy.sort_unstable();
            unhealthy.dedup();
            now.since(peer.received) < REPORT_TTL && peer.seen as usize > 2 * unhealthy.len()
        })
    }

    /// Removes hosts that have sent no report for long.
    pub(super) fn expire(&mut self, now: Moment) {
        self.by_host.retain(|_, peer| now.since(peer.received) < REPORT_TTL * 4);
    }
}
