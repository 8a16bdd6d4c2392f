//! Exchange of evidence between home hosts, and periodic updates of the targets' state.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use chicoryloom_policy::Moment;
use chicoryloom_policy::health::Report;
use chicoryloom_policy::health::Reports;
use chicoryloom_policy::health::Score;
use chicoryloom_policy::holdback::Fingerprint;
use chicoryloom_policy::id;
use chicoryloom_wire::frame::Body;
use chicoryloom_wire::frame::Frame;
use chicoryloom_wire::generated::frame as raw;
use tokio::time::MissedTickBehavior;

use super::Member;
use super::Service;
use super::Targets;
use super::service::Crash;
use crate::clock::Clock;
use crate::control::Published;
use crate::control::View;
use crate::peer;

/// Interval of the periodic decisions on the targets' health.
const DECISION_INTERVAL: Duration = Duration::from_millis(50);
/// Shortest time between two reports of a service with evidence against a target, or with evidence
/// that no longer holds.
const EVIDENCE_INTERVAL: Duration = Duration::from_millis(100);
/// Shortest time between two reports of a service without such evidence.
const IDLE_INTERVAL: Duration = Duration::from_secs(1);
/// Maximum number of entries in one frame, which must fit in a datagram.
const MAX_FRAME_ENTRIES: usize = 10;
/// Parts into which a target's connections are divided. The home hosts use one part; the other is
/// reserved for new home hosts that connect while their predecessors still hold connections.
const OVERLAPPING_GENERATIONS: u32 = 2;

/// Task that exchanges evidence with the other home hosts and keeps the targets' state up to date.
#[derive(Debug)]
pub(crate) struct Monitor {
    pub(crate) name: id::Host,
    pub(crate) clock: Arc<dyn Clock>,
    pub(crate) published: Arc<Published>,
    pub(crate) targets: Arc<Targets>,
    pub(crate) sender: peer::Sender,
}

impl Monitor {
    /// Runs until the task is aborted.
    pub(crate) async fn run(self) {
        let mut sent: HashMap<id::Service, Moment> = HashMap::new();
        let mut interval = tokio::time::interval(DECISION_INTERVAL);
        interval.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                _ = interval.tick() => {},
                () = self.targets.report_due.notified() => {},
            }
            let view = self.published.view();
            self.configure(&view);
            let mut suspects = false;
            for service in self.targets.services() {
                let now = self.clock.now();
                service.decide(now);
                suspects |= service.suspects_itself();
                self.send_reports(&view, &service, &mut sent, now).await;
            }
            self.published.set_suspect(suspects);
            self.targets.remove_unused(|name| view.documents.contains_key(name));
        }
    }

    /// Applies the current documents and places to the services that this host serves.
    fn configure(&self, view: &View) {
        for (name, document) in &view.documents {
            let place = Place::of(view, name, &self.name);
            if place.rank.is_none() && self.targets.find(name.as_str()).is_none() {
                continue;
            }
            self.targets.service(document, place);
        }
    }

    async fn send_reports(
        &self,
        view: &View,
        service: &Service,
        sent: &mut HashMap<id::Service, Moment>,
        now: Moment,
    ) {
        let homes = view.homes(service.name());
        let crashes = service.take_crashes();
        if !homes.contains(&self.name) {
            return;
        }
        let mut bodies: Vec<_> =
            crashes.iter().map(|crash| crash_body(service.name(), crash)).collect();
        let reports = service.reports(now);
        let has_evidence =
            reports.reports.iter().any(|report| report.score.total() > 0.0 || !report.draining);
        let interval = if has_evidence { EVIDENCE_INTERVAL } else { IDLE_INTERVAL };
        let due = sent.get(service.name()).is_none_or(|at| now.since(*at) >= interval);
        if due && reports.seen > 0 {
            sent.insert(service.name().clone(), now);
            bodies.extend(evidence_bodies(service.name(), &reports));
        }
        for home in homes.iter().filter(|home| **home != self.name) {
            let Some(host) = view.hosts.get(home) else {
                continue;
            };
            for body in &bodies {
                self.sender.send(host.peer, body.clone()).await;
            }
        }
    }
}

impl Targets {
    /// Handles a frame of another home host; returns whether it concerned the targets.
    pub(crate) fn receive(&self, frame: &Frame) -> bool {
        match &frame.body {
            Body::Evidence(evidence) => {
                if let Some(service) = self.find(&evidence.service) {
                    let sequence = (frame.incarnation, frame.sequence);
                    let now = self.clock.now();
                    service.receive(frame.sender.clone(), sequence, &reports(evidence), now);
                }
            }
            Body::Crash(crash) => {
                if let Some(service) = self.find(&crash.service)
                    && let Ok(target) = crash.target.parse()
                {
                    let request = u128::from(crash.high) << 64 | u128::from(crash.low);
                    let request = Fingerprint(request);
                    let crash = Crash { request, target, answered: crash.answered };
                    service.record_crash(crash, self.clock.now());
                }
            }
            _ => return false,
        }
        true
    }
}

/// This host's place among the home hosts of a service.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct Place {
    /// Number of home hosts.
    pub(crate) homes: usize,
    /// Rank of this host among them; `None` if it is no home host.
    pub(crate) rank: Option<usize>,
}

impl Place {
    /// Returns the place of a host among the home hosts of a service.
    pub(crate) fn of(view: &View, service: &id::Service, host: &id::Host) -> Self {
        let homes = view.homes(service);
        Self { homes: homes.len(), rank: homes.iter().position(|home| home == host) }
    }

    /// Returns how many connections to a target this host may hold.
    pub(super) fn cap(self, connections: u32) -> u32 {
        let Some(rank) = self.rank else {
            return 0;
        };
        let homes = u32::try_from(self.homes.max(1)).unwrap_or(u32::MAX);
        let rank = u32::try_from(rank).unwrap_or(u32::MAX);
        let usable = (connections / OVERLAPPING_GENERATIONS).max(1);
        usable / homes + u32::from(rank < usable % homes)
    }

    /// Applies the place to the connection cap and the initial limit of one target.
    pub(super) fn apply(self, member: &Member) {
        member.backend.set_cap(self.cap(member.target.connections.0));
        let homes = u32::try_from(self.homes).unwrap_or(u32::MAX);
        member.backend.gauge().init_limit(member.target.slots.0, homes);
    }
}

fn crash_body(service: &id::Service, crash: &Crash) -> Body {
    Body::Crash(raw::Crash {
        service: service.to_string(),
        high: (crash.request.0 >> 64) as u64,
        low: crash.request.0 as u64,
        target: crash.target.to_string(),
        answered: crash.answered,
    })
}

fn evidence_bodies(service: &id::Service, reports: &Reports) -> Vec<Body> {
    let entries: Vec<_> = reports.reports.iter().map(entry).collect();
    let body = |entries: &[raw::EvidenceEntry]| {
        Body::Evidence(raw::Evidence {
            service: service.to_string(),
            seen: reports.seen,
            entries: entries.to_vec(),
        })
    };
    if entries.is_empty() {
        return vec![body(&[])];
    }
    entries.chunks(MAX_FRAME_ENTRIES).map(body).collect()
}

fn entry(report: &Report) -> raw::EvidenceEntry {
    let slow_for = report.score.slow_for.as_millis();
    raw::EvidenceEntry {
        target: report.target.to_string(),
        route: report.route.as_ref().map(id::Route::to_string).unwrap_or_default(),
        failed: (report.score.failed * 1000.0) as u32,
        slow: (report.score.slow * 1000.0) as u32,
        slow_for_ms: u32::try_from(slow_for).unwrap_or(u32::MAX),
        draining: report.draining,
    }
}

/// Decodes reports; entries with an invalid target or route are left out.
fn reports(evidence: &raw::Evidence) -> Reports {
    let report = |entry: &raw::EvidenceEntry| {
        let route = match entry.route.as_str() {
            "" => None,
            name => Some(name.parse().ok()?),
        };
        Some(Report {
            target: entry.target.parse().ok()?,
            route,
            score: Score {
                failed: f64::from(entry.failed) / 1000.0,
                slow: f64::from(entry.slow) / 1000.0,
                slow_for: Duration::from_millis(entry.slow_for_ms.into()),
            },
            draining: entry.draining,
        })
    };
    Reports { seen: evidence.seen, reports: evidence.entries.iter().filter_map(report).collect() }
}

#[cfg(test)]
mod tests {
    use rstest::rstest;

    use super::*;

    #[rstest]
    #[case(350, 4)]
    #[case(7, 4)]
    #[case(3, 4)]
    #[case(2, 1)]
    fn old_and_new_home_hosts_together_stay_within_the_connection_limit(
        #[case] connections: u32,
        #[case] homes: usize,
    ) {
        let cap = |rank| Place { homes, rank }.cap(connections);
        let generation: u32 = (0..homes).map(|rank| cap(Some(rank))).sum();
        assert!(generation >= 1 && 2 * generation <= connections);
        assert_eq!(cap(None), 0);
    }
}
