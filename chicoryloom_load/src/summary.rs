//! The lines that a run ends with.

use std::path::Path;

use chicoryloom_load::RunResult;

/// Prints verdicts and figures.
pub(crate) fn print(result: &RunResult, page: &Path) {
    for verdict in &result.verdicts {
        let word = match (verdict.held(), verdict.judged) {
            (false, _) => "VIOLATED",
            (true, 0) => "not exercised",
            (true, _) => "held",
        };
        let (judged, violated) = (verdict.judged, verdict.violated);
        println!("{word:<14} {} ({judged} judged, {violated} violated)", verdict.invariant);
        for violation in verdict.violations.iter().take(3) {
            println!("               {violation}");
        }
    }
    for error in &result.errors {
        println!("ERROR          {error}");
    }
    let measure = &result.measure;
    let usage = &measure.usage;
    println!(
        "served {} of {}; p50 {:.1} ms, p99 {:.1} ms; worst served {} {:.4}; wrongful {} ({:.5})",
        measure.served,
        measure.requests,
        measure.latency.p50_ms,
        measure.latency.p99_ms,
        measure.worst_served,
        measure.worst_served_share,
        measure.wrongful_refusals,
        measure.wrongful_share,
    );
    for found in &measure.detections {
        println!(
            "faulty target {}: passed over after {:?} ms, {} requests exposed, judged {}",
            found.target, found.after_ms, found.exposed, found.judged
        );
    }
    for workspace in measure.workspaces.iter().filter(|w| !w.unserved.is_empty()) {
        println!("not served, {}: {:?}", workspace.name, workspace.unserved);
    }
    println!(
        "healthy targets starved {} s; peers {:.0} B/s a host; core share {:.4}; resident max {:.1} \
         MB; platform {:.1} reads/s, {:.1} writes/s, {} limited; fresh {:.4}; reverts {}",
        measure.starved_healthy_target_s,
        usage.peer_bytes_per_s,
        usage.core_share,
        usage.resident_max as f64 / 1e6,
        usage.platform_reads_per_s,
        usage.platform_writes_per_s,
        usage.platform_limited,
        usage.fresh_share,
        usage.reverts,
    );
    println!("report: {}", page.display());
}
