//! The times at which requests arrive, fixed by the seed before the run.

use std::time::Duration;

use chicoryloom_wire::generated::scenario as raw;
use rand::Rng;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use serde::Deserialize;
use serde::Serialize;

use crate::scenario::Scenario;

/// Sorts of requests.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq, Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum Kind {
    /// Repeatable, with a small answer.
    Read,
    /// Runs at most once.
    Book,
    /// Repeatable, with an answer checked by digest.
    Download,
    /// Takes down each target that runs it.
    Poison,
}

/// A request that arrives.
#[derive(Clone, Debug)]
pub(crate) struct Arrival {
    pub(crate) at: Duration,
    pub(crate) workspace: usize,
    pub(crate) service: usize,
    pub(crate) caller: usize,
    pub(crate) kind: Kind,
}

/// Returns all arrivals of a scenario in order of time.
pub(crate) fn schedule(scenario: &Scenario) -> Vec<Arrival> {
    let mut arrivals = Vec::new();
    for workspace in 0..scenario.workspaces.len() {
        for service in 0..scenario.services.len() {
            flow(scenario, workspace, service, &mut arrivals);
        }
    }
    poison(scenario, &mut arrivals);
    arrivals.sort_by_key(|arrival| arrival.at);
    arrivals
}

/// Draws a Poisson process whose rate follows the phases, by thinning one at the peak rate.
fn flow(scenario: &Scenario, workspace: usize, service: usize, arrivals: &mut Vec<Arrival>) {
    let spec = &scenario.workspaces[workspace];
    let rate = spec.load * scenario.services[service].share;
    let phases = phases(scenario, &spec.name);
    let peak = phases.iter().map(|phase| phase.factor.max(1.0)).product::<f64>() * rate;
    if peak <= 0.0 {
        return;
    }
    let stream = (workspace as u64) << 32 | service as u64;
    let mut rng = Pcg64Mcg::seed_from_u64(scenario.seed ^ stream.wrapping_mul(0x9e37_79b9));
    let mut at_s = 0.0;
    loop {
        at_s -= (1.0 - rng.random::<f64>()).ln() / peak;
        if at_s >= scenario.duration_s {
            return;
        }
        let keep = rng.random::<f64>() * peak < rate * factor(&phases, at_s);
        let kind = kind(&scenario.services[service], rng.random());
        let caller = rng.random_range(0..spec.callers as usize);
        if keep {
            let at = Duration::from_secs_f64(at_s);
            arrivals.push(Arrival { at, workspace, service, caller, kind });
        }
    }
}

fn phases<'a>(scenario: &'a Scenario, workspace: &str) -> Vec<&'a raw::Phase> {
    let concerned =
        |phase: &&raw::Phase| phase.workspace.is_empty() || phase.workspace == workspace;
    scenario.phases.iter().filter(concerned).collect()
}

fn factor(phases: &[&raw::Phase], at_s: f64) -> f64 {
    let on = phases.iter().filter(|p| at_s >= p.at_s && at_s < p.at_s + p.for_s);
    on.map(|phase| phase.factor).product()
}

fn kind(service: &raw::Service, draw: f64) -> Kind {
    let draw = draw * (service.read + service.book + service.download);
    if draw < service.read {
        Kind::Read
    } else if draw < service.read + service.book {
        Kind::Book
    } else {
        Kind::Download
    }
}

fn poison(scenario: &Scenario, arrivals: &mut Vec<Arrival>) {
    for fault in &scenario.faults {
        let raw::Action::Poison(poison) = &fault.action else {
            continue;
        };
        let end = if fault.for_s > 0.0 { fault.at_s + fault.for_s } else { scenario.duration_s };
        let mut at_s = fault.at_s;
        while at_s < end.min(scenario.duration_s) {
            arrivals.push(Arrival {
                at: Duration::from_secs_f64(at_s),
                workspace: scenario.workspace(&poison.workspace),
                service: scenario.service(&poison.service),
                caller: 0,
                kind: Kind::Poison,
            });
            at_s += poison.every_ms as f64 / 1000.0;
        }
    }
}

#[cfg(test)]
mod tests {
    use std::path::Path;

    use super::*;

    fn smoke() -> Scenario {
        let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("../scenarios/smoke.yaml");
        Scenario::read(&path).unwrap()
    }

    #[test]
    fn arrivals_depend_on_the_seed_alone() {
        let times = |scenario: &Scenario| -> Vec<_> {
            schedule(scenario).into_iter().map(|arrival| arrival.at).collect()
        };
        let mut other = smoke();
        other.set_seed(12);
        assert_eq!(times(&smoke()), times(&smoke()));
        assert_ne!(times(&smoke()), times(&other));
    }

    #[test]
    fn phase_changes_the_load_of_its_workspace_only() {
        let scenario = smoke();
        let wind = scenario.workspace("wind");
        let count = |workspace: usize, from: u64, to: u64| {
            let arrivals = schedule(&scenario).into_iter();
            let within = |a: &Arrival| a.at.as_secs() >= from && a.at.as_secs() < to;
            arrivals.filter(|a| a.workspace == workspace && within(a)).count()
        };
        assert!(count(wind, 6, 10) > 3 * count(wind, 2, 6));
        let other = scenario.workspace("prairie");
        assert!(count(other, 6, 10) < 2 * count(other, 2, 6));
    }
}
