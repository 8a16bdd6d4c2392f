//! Figures of a run: latency, service by workspace, refusals and detection.

mod bucket;
mod detection;
mod fleet;

use std::collections::BTreeMap;

use serde::Deserialize;
use serde::Serialize;

use crate::caller::Record;
use crate::event::Event;
use crate::event::What;
use crate::sample::Sample;
use crate::scenario::Scenario;
use crate::verdict::Evidence;

pub use detection::Detection;
pub use detection::PassedOver;
pub use fleet::Usage;
pub(crate) use fleet::usage;

/// Quantiles of a set of times, in milliseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Deserialize, Serialize)]
pub struct Latency {
    pub p50_ms: f64,
    pub p99_ms: f64,
    pub max_ms: f64,
}

impl Latency {
    /// Returns the quantiles of some times.
    pub(crate) fn of(mut times: Vec<f64>) -> Self {
        times.sort_by(f64::total_cmp);
        let at = |share: f64| {
            let index = (times.len() as f64 * share) as usize;
            times.get(index.min(times.len().saturating_sub(1))).copied().unwrap_or_default()
        };
        Self { p50_ms: at(0.5), p99_ms: at(0.99), max_ms: at(1.0) }
    }
}

/// How one workspace fared, without the requests that showed a withdrawn key.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
pub struct Workspace {
    pub name: String,
    pub requests: usize,
    pub served: usize,
    /// Requests that a whole bucket with the workspace's rate and burst lets in.
    pub entitled: usize,
    /// Served requests as a share of the entitled ones, at most 1.
    pub served_share: f64,
    /// Attempts refused for their rate although a whole bucket held a token.
    pub wrongful_refusals: usize,
    /// Final reasons of requests that were not served.
    pub unserved: BTreeMap<String, usize>,
    /// Time from the intended arrival of served requests.
    pub latency: Latency,
}

/// All figures of a run.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
pub struct Measure {
    pub requests: usize,
    pub served: usize,
    pub latency: Latency,
    /// The lowest share of entitled requests that was served to a workspace.
    pub worst_served_share: f64,
    pub worst_served: String,
    pub wrongful_refusals: usize,
    /// Wrongful refusals as a share of all attempts.
    pub wrongful_share: f64,
    pub workspaces: Vec<Workspace>,
    pub detections: Vec<Detection>,
    pub passed_over: Vec<PassedOver>,
    /// Seconds during which a healthy target got next to no requests while its peers did.
    pub starved_healthy_target_s: f64,
    pub usage: Usage,
}

/// Works out all figures.
pub(crate) fn measure(scenario: &Scenario, evidence: &Evidence, samples: &[Sample]) -> Measure {
    let workspaces: Vec<_> =
        (0..scenario.workspaces.len()).map(|index| workspace(scenario, evidence, index)).collect();
    let worst = workspaces.iter().min_by(|a, b| a.served_share.total_cmp(&b.served_share));
    let worst = worst.cloned();
    let served = evidence.records.iter().filter(|record| record.is_served());
    let wrongful: usize = workspaces.iter().map(|workspace| workspace.wrongful_refusals).sum();
    let attempts: usize = evidence.records.iter().map(|record| record.attempts.len()).sum();
    let flow = detection::Flow::new(scenario, evidence);
    Measure {
        requests: evidence.records.len(),
        served: served.clone().count(),
        latency: Latency::of(served.map(Record::latency_ms).collect()),
        worst_served_share: worst.as_ref().map_or(1.0, |worst| worst.served_share),
        worst_served: worst.map(|worst| worst.name).unwrap_or_default(),
        wrongful_refusals: wrongful,
        wrongful_share: wrongful as f64 / attempts.max(1) as f64,
        workspaces,
        detections: flow.detections(&evidence.events),
        passed_over: flow.passed_over(&evidence.events),
        starved_healthy_target_s: flow.starved_s(&evidence.events),
        usage: fleet::usage(samples),
    }
}

fn workspace(scenario: &Scenario, evidence: &Evidence, index: usize) -> Workspace {
    let own = evidence.records.iter().filter(|r| r.workspace == index);
    let own: Vec<_> = own.filter(|r| !shows_withdrawn_key(evidence, r)).collect();
    let served: Vec<_> = own.iter().filter(|record| record.is_served()).collect();
    let mut entitled = 0;
    let mut wrongful_refusals = 0;
    for (service, grant) in evidence.grants[index].iter().enumerate() {
        let flow: Vec<_> = own.iter().copied().filter(|r| r.service == service).collect();
        entitled += bucket::entitled(&flow, *grant);
        wrongful_refusals += bucket::wrongful_refusals(&flow, *grant);
    }
    let mut unserved = BTreeMap::new();
    for reason in own.iter().filter_map(|record| record.reason()) {
        *unserved.entry(reason.to_owned()).or_insert(0) += 1;
    }
    Workspace {
        name: scenario.workspaces[index].name.clone(),
        requests: own.len(),
        served: served.len(),
        entitled,
        served_share: (served.len() as f64 / entitled.max(1) as f64).min(1.0),
        wrongful_refusals,
        unserved,
        latency: Latency::of(served.iter().map(|record| record.latency_ms()).collect()),
    }
}

/// Tells whether a request was to be sent after its key was withdrawn.
fn shows_withdrawn_key(evidence: &Evidence, record: &Record) -> bool {
    let (workspace, caller) = (record.workspace, record.caller);
    evidence.events.iter().any(|event| {
        event.what == What::Withdrawn { workspace, caller } && record.intended_ms > event.asked_ms
    })
}

/// Tells which targets are faulty from the events up to a time.
pub(crate) fn faulty_at(events: &[Event], at_ms: f64) -> Vec<usize> {
    let mut faulty = Vec::new();
    for event in events.iter().filter(|event| event.asked_ms <= at_ms) {
        match &event.what {
            What::Targets { indices, faulty: true } => faulty.extend(indices),
            What::Targets { indices, faulty: false } => faulty.retain(|i| !indices.contains(i)),
            What::Leaving { target } => faulty.push(*target),
            _ => {}
        }
    }
    faulty
}
