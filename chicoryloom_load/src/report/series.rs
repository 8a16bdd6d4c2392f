//! Lines over time from a run's records and samples.

use std::collections::BTreeMap;

use super::plot::Line;
use super::plot::Plot;
use crate::RunResult;
use crate::caller::Record;
use crate::measure::Latency;
use crate::measure::PassedOver;

/// Width of one point of a line, in seconds.
const STEP_S: f64 = 1.0;

/// Returns all plots of a run.
pub(super) fn plots(result: &RunResult) -> Vec<Plot> {
    let mut plots = vec![latency(result), refusals(result), ejections(result)];
    let workspaces = 0..result.measure.workspaces.len();
    plots.extend(workspaces.map(|workspace| admission(result, workspace)));
    plots
}

fn plot(result: &RunResult, title: &str, unit: &'static str, lines: Vec<Line>) -> Plot {
    let marks = result.events.iter().map(|event| event.done_ms / 1000.0).collect();
    Plot { title: title.to_owned(), unit, end_s: result.duration_s, lines, marks }
}

/// Groups records by the step of their intended arrival.
fn steps<'a>(records: impl Iterator<Item = &'a Record>) -> BTreeMap<u64, Vec<&'a Record>> {
    let mut steps: BTreeMap<u64, Vec<&Record>> = BTreeMap::new();
    for record in records {
        let step = (record.intended_ms / 1000.0 / STEP_S) as u64;
        steps.entry(step).or_default().push(record);
    }
    steps
}

fn line<'a, F>(name: &str, records: impl Iterator<Item = &'a Record>, value: F) -> Line
where
    F: Fn(&[&Record]) -> f64,
{
    let steps = steps(records);
    let last = steps.keys().max().map_or(0, |last| last + 1);
    let points = (0..last).map(|step| {
        let records = steps.get(&step).map(Vec::as_slice).unwrap_or_default();
        (step as f64 * STEP_S, value(records))
    });
    Line { name: name.to_owned(), points: points.collect(), dashed: false }
}

fn latency(result: &RunResult) -> Plot {
    let p99 = |records: &[&Record]| {
        let served = records.iter().filter(|record| record.is_served());
        Latency::of(served.map(|record| record.latency_ms()).collect()).p99_ms
    };
    let workspaces = result.measure.workspaces.iter().enumerate();
    let lines = workspaces.map(|(index, workspace)| {
        let own = result.records.iter().filter(move |record| record.workspace == index);
        line(&workspace.name, own, p99)
    });
    plot(
        result,
        "Latency of served requests by workspace, p99 of each second",
        "ms",
        lines.collect(),
    )
}

fn refusals(result: &RunResult) -> Plot {
    let mut reasons: Vec<_> = result.records.iter().filter_map(Record::reason).collect();
    reasons.sort_unstable();
    reasons.dedup();
    let lines = reasons.into_iter().map(|reason| {
        let count = |records: &[&Record]| {
            records.iter().filter(|record| record.reason() == Some(reason)).count() as f64
        };
        line(reason, result.records.iter(), count)
    });
    plot(result, "Requests not served, by final reason", "requests/s", lines.collect())
}

fn ejections(result: &RunResult) -> Plot {
    let line = |name: &str, dashed: bool, count: fn(&PassedOver) -> usize| {
        let points = result.measure.passed_over.iter();
        let points = points.map(|now| (now.at_ms / 1000.0, count(now) as f64));
        Line { name: name.to_owned(), points: points.collect(), dashed }
    };
    let lines = vec![
        line("healthy", false, |now| now.healthy),
        line("faulty", false, |now| now.faulty),
        line("with a fault", true, |now| now.with_fault),
    ];
    let title = "Targets passed over: under a quarter of their healthy peers' requests for 2 s";
    plot(result, title, "targets", lines)
}

fn admission(result: &RunResult, workspace: usize) -> Plot {
    let own = || result.records.iter().filter(move |record| record.workspace == workspace);
    let served =
        |records: &[&Record]| records.iter().filter(|record| record.is_served()).count() as f64;
    let granted: f64 = result.grants[workspace];
    let mut lines =
        vec![line("arrived", own(), |records| records.len() as f64), line("served", own(), served)];
    let points = vec![(0.0, granted), (result.duration_s, granted)];
    lines.push(Line { name: "grant".to_owned(), points, dashed: true });
    let name = &result.measure.workspaces[workspace].name;
    plot(result, &format!("Admitted against grant: {name}"), "requests/s", lines)
}
