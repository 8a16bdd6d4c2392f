//! Runs a scenario once for each choice of a decision.

use std::path::Path;

use chicoryloom_load::Error;
use chicoryloom_load::RunResult;
use chicoryloom_load::Scenario;

/// Ways to divide grants; the first is the one that ratios are taken of.
const DIVISIONS: [&str; 3] = ["demand", "equal", "single"];
/// Ways to find gray targets; the first is the one that ratios are taken of.
const DETECTIONS: [&str; 3] = ["sequential", "consecutive", "window"];

/// Runs all choices and prints their figures; tells whether every invariant held in each.
pub(crate) async fn compare(
    scenario: &Scenario,
    by_detection: bool,
    out: &Path,
) -> Result<bool, Error> {
    let mut results = Vec::new();
    for choice in if by_detection { DETECTIONS } else { DIVISIONS } {
        let mut scenario = scenario.clone();
        if by_detection {
            scenario.set_detection(choice);
        } else {
            scenario.set_division(choice);
        }
        let result = chicoryloom_load::run(&scenario).await?;
        chicoryloom_load::write(&result, out)?;
        results.push((choice, result));
    }
    let base = figures(&results[0].1);
    println!(
        "{:<12} {:<10} {:>24} {:>24} {:>24} {:>24}",
        "choice", "held", NAMES[0], NAMES[1], NAMES[2], NAMES[3]
    );
    for (choice, result) in &results {
        let figures = figures(result);
        let cells = figures.iter().zip(base).map(|(figure, base)| match base {
            0.0 => format!("{figure:.4} (-)"),
            base => format!("{figure:.4} (x{:.2})", figure / base),
        });
        let cells: Vec<_> = cells.map(|cell| format!("{cell:>24}")).collect();
        println!("{choice:<12} {:<10} {}", result.held(), cells.join(" "));
    }
    Ok(results.iter().all(|(_, result)| result.held()))
}

/// Names of the figures that are compared.
const NAMES: [&str; 4] = ["worst served share", "wrongful share", "detection mean ms", "p99 ms"];

fn figures(result: &RunResult) -> [f64; 4] {
    let measure = &result.measure;
    let found: Vec<_> = measure.detections.iter().filter_map(|found| found.after_ms).collect();
    let mean = found.iter().sum::<f64>() / found.len().max(1) as f64;
    [measure.worst_served_share, measure.wrongful_share, mean, measure.latency.p99_ms]
}
