//! When faulty targets stop getting requests, from the journals alone.

use serde::Deserialize;
use serde::Serialize;

use super::faulty_at;
use crate::caller::End;
use crate::event::Event;
use crate::event::What;
use crate::scenario::Scenario;
use crate::verdict::Evidence;

/// Window in which arrivals are counted, in milliseconds.
const WINDOW_MS: f64 = 2000.0;
/// Step between windows, in milliseconds.
const STEP_MS: f64 = 100.0;
/// Share of its healthy peers' arrivals below which a target counts as passed over.
const PASSED_OVER: f64 = 0.25;
/// Fewest arrivals of a healthy peer in a window for a judgement.
const MIN_ARRIVALS: f64 = 12.0;
/// Window in which a healthy target without arrivals counts as starved, in milliseconds.
const STARVED_WINDOW_MS: f64 = 2000.0;
/// Fewest mean arrivals of its peers in that window.
const STARVED_PEERS: f64 = 12.0;
/// Time after a fault for which a target may still recover, in milliseconds.
const RECOVERY_MS: f64 = 15_000.0;

/// How long one faulty target went on getting requests.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
pub struct Detection {
    pub target: usize,
    pub fault_ms: f64,
    /// Time until the target got under a quarter of its healthy peers' requests for two seconds;
    /// none if it never did while the fault was on.
    pub after_ms: Option<f64>,
    /// Requests that reached the target while the fault was on.
    pub exposed: usize,
    /// Whether the traffic was dense enough for a judgement.
    pub judged: bool,
}

/// Targets that got next to no requests at one time.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize, Serialize)]
pub struct PassedOver {
    pub at_ms: f64,
    pub faulty: usize,
    pub healthy: usize,
    /// Targets with a fault at that time, whether passed over or not.
    pub with_fault: usize,
}

/// Arrivals by target on the run's clock.
#[derive(Debug)]
pub(super) struct Flow {
    /// Times by target, in order.
    arrivals: Vec<Vec<f64>>,
    /// Service of each target.
    services: Vec<usize>,
    end_ms: f64,
}

impl Flow {
    pub(super) fn new(scenario: &Scenario, evidence: &Evidence) -> Self {
        let services = scenario.services.iter().enumerate();
        let services = services.flat_map(|(index, s)| vec![index; s.targets as usize]).collect();
        let offsets = offsets(evidence);
        let journals = evidence.journals.iter().zip(offsets);
        let arrivals = journals.map(|(journal, offset)| {
            let mut times: Vec<_> = journal.iter().map(|run| run.at_ms as f64 + offset).collect();
            times.sort_by(f64::total_cmp);
            times
        });
        let end_ms = scenario.duration_s * 1000.0;
        Self { arrivals: arrivals.collect(), services, end_ms }
    }

    fn count(&self, target: usize, from_ms: f64, to_ms: f64) -> usize {
        let times = &self.arrivals[target];
        let before = |bound: f64| times.partition_point(|at| *at < bound);
        before(to_ms) - before(from_ms)
    }

    /// Returns the mean arrivals of the healthy targets of a service in a window.
    fn peers(&self, target: usize, faulty: &[usize], from_ms: f64, to_ms: f64) -> f64 {
        let service = self.services[target];
        let peers: Vec<_> = (0..self.services.len())
            .filter(|peer| *peer != target && self.services[*peer] == service)
            .filter(|peer| !faulty.contains(peer))
            .collect();
        let sum: usize = peers.iter().map(|peer| self.count(*peer, from_ms, to_ms)).sum();
        sum as f64 / peers.len().max(1) as f64
    }

    /// Returns the detection of each target that a fault was switched on at.
    pub(super) fn detections(&self, events: &[Event]) -> Vec<Detection> {
        let mut detections = Vec::new();
        for (number, event) in events.iter().enumerate() {
            let What::Targets { indices, faulty: true } = &event.what else {
                continue;
            };
            for target in indices {
                let end_ms = undone(&events[number..], *target).unwrap_or(self.end_ms);
                detections.push(self.detection(*target, event.done_ms, end_ms, events));
            }
        }
        detections
    }

    fn detection(&self, target: usize, fault_ms: f64, end_ms: f64, events: &[Event]) -> Detection {
        let mut found = Detection { target, fault_ms, after_ms: None, exposed: 0, judged: false };
        let mut at_ms = fault_ms;
        while at_ms + WINDOW_MS <= end_ms {
            let faulty = faulty_at(events, at_ms);
            let peers = self.peers(target, &faulty, at_ms, at_ms + WINDOW_MS);
            let own = self.count(target, at_ms, at_ms + WINDOW_MS) as f64;
            found.judged |= peers >= MIN_ARRIVALS;
            if peers >= MIN_ARRIVALS && own <= peers * PASSED_OVER {
                found.after_ms = Some(at_ms - fault_ms);
                break;
            }
            at_ms += STEP_MS;
        }
        found.exposed = self.count(target, fault_ms, end_ms);
        found
    }

    /// Returns over time how many targets got under a quarter of their healthy peers' requests.
    pub(super) fn passed_over(&self, events: &[Event]) -> Vec<PassedOver> {
        let mut all = Vec::new();
        let mut at_ms = 0.0;
        while at_ms + WINDOW_MS <= self.end_ms {
            let sick = faulty_at(events, at_ms);
            let mut now = PassedOver { at_ms, faulty: 0, healthy: 0, with_fault: sick.len() };
            for target in 0..self.services.len() {
                let peers = self.peers(target, &sick, at_ms, at_ms + WINDOW_MS);
                let own = self.count(target, at_ms, at_ms + WINDOW_MS) as f64;
                if peers < MIN_ARRIVALS || own > peers * PASSED_OVER {
                    continue;
                }
                if sick.contains(&target) {
                    now.faulty += 1;
                } else {
                    now.healthy += 1;
                }
            }
            all.push(now);
            at_ms += WINDOW_MS / 2.0;
        }
        all
    }

    /// Returns for how long healthy targets got no request, summed over targets, in seconds.
    pub(super) fn starved_s(&self, events: &[Event]) -> f64 {
        let mut windows = 0;
        let mut at_ms = 0.0;
        while at_ms + STARVED_WINDOW_MS <= self.end_ms {
            let to_ms = at_ms + STARVED_WINDOW_MS;
            let mut excused = faulty_at(events, to_ms);
            excused.extend(recently_faulty(events, at_ms));
            for target in 0..self.services.len() {
                let healthy = !excused.contains(&target);
                let peers = self.peers(target, &excused, at_ms, to_ms);
                if healthy && peers >= STARVED_PEERS && self.count(target, at_ms, to_ms) == 0 {
                    windows += 1;
                }
            }
            at_ms = to_ms;
        }
        f64::from(windows) * STARVED_WINDOW_MS / 1000.0
    }
}

/// Returns the targets whose fault ended too recently to expect traffic.
fn recently_faulty(events: &[Event], at_ms: f64) -> Vec<usize> {
    let recent = events.iter().filter(|event| {
        event.done_ms + RECOVERY_MS >= at_ms && event.asked_ms <= at_ms + STARVED_WINDOW_MS
    });
    let mut targets = Vec::new();
    for event in recent {
        if let What::Targets { indices, .. } = &event.what {
            targets.extend(indices);
        }
    }
    targets
}

fn undone(events: &[Event], target: usize) -> Option<f64> {
    let undone = events.iter().find(|event| {
        matches!(&event.what, What::Targets { indices, faulty: false } if indices.contains(&target))
    });
    undone.map(|event| event.asked_ms)
}

/// Returns by target what to add to its journal's times to get the run's.
///
/// A request arrived between its sending and its answer, which bounds the offset from both sides.
fn offsets(evidence: &Evidence) -> Vec<f64> {
    let mut bounds = vec![(f64::NEG_INFINITY, f64::INFINITY); evidence.journals.len()];
    let arrivals = evidence.arrivals();
    for record in &evidence.records {
        for arrived in arrivals.get(&record.id).into_iter().flatten() {
            let Some(attempt) = record.attempts.get(arrived.attempt) else {
                continue;
            };
            if !matches!(attempt.end, End::Answered { .. }) {
                continue;
            }
            let at_ms = arrived.run.at_ms as f64;
            let (low, high) = &mut bounds[arrived.target];
            *low = low.max(attempt.sent_ms - at_ms - 1.0);
            *high = high.min(attempt.ended_ms - at_ms);
        }
    }
    let middle = |(low, high): (f64, f64)| {
        let bounded = low.is_finite() && high.is_finite();
        if bounded { f64::midpoint(low, high) } else { 0.0 }
    };
    bounds.into_iter().map(middle).collect()
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Returns a service of three targets with an arrival each every 100 ms, of which the first
    /// gets none in a span.
    fn flow(without_ms: std::ops::Range<u32>) -> Flow {
        let times = || (0..300).map(|number| number * 100);
        let rest = |times: Vec<u32>| times.into_iter().map(f64::from).collect();
        let first = times().filter(|at_ms| !without_ms.contains(at_ms)).collect();
        let arrivals = vec![rest(first), rest(times().collect()), rest(times().collect())];
        Flow { arrivals, services: vec![0; 3], end_ms: 30_000.0 }
    }

    fn fault(at_ms: f64, faulty: bool) -> Event {
        let what = What::Targets { indices: vec![0], faulty };
        Event { asked_ms: at_ms, done_ms: at_ms, what }
    }

    #[test]
    fn detection_is_the_time_from_the_fault_to_the_last_requests() {
        let events = [fault(5000.0, true), fault(20_000.0, false)];
        let found = flow(6000..20_000).detections(&events);
        // A quarter of a window's requests may still come when it counts as passed over.
        assert!(found[0].judged);
        assert!((500.0..=1000.0).contains(&found[0].after_ms.unwrap()), "{found:?}");
    }

    #[test]
    fn target_that_keeps_its_requests_is_never_passed_over() {
        let events = [fault(5000.0, true), fault(20_000.0, false)];
        assert_eq!(flow(0..0).detections(&events)[0].after_ms, None);
    }

    #[test]
    fn healthy_target_without_requests_is_starved() {
        assert!(flow(0..0).starved_s(&[]) == 0.0);
        assert!(flow(4000..8000).starved_s(&[]) == 4.0);
        assert_eq!(flow(4000..8000).passed_over(&[]).iter().map(|now| now.healthy).max(), Some(1));
    }
}
