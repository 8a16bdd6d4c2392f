//! The page of a run.

use std::fmt::Write;

use super::plot::escape;
use super::series;
use crate::RunResult;
use crate::measure::Workspace;

const HEAD: &str = "<!doctype html><meta charset=\"utf-8\"><style>\
    body{font:14px sans-serif;max-width:960px;margin:2em auto}\
    table{border-collapse:collapse}td,th{padding:2px 10px;border-bottom:1px solid #ddd;\
    text-align:left}figure{margin:1.5em 0}.bad{color:#b00;font-weight:bold}</style>";

/// Returns the whole page.
pub(super) fn render(result: &RunResult) -> String {
    let mut page = HEAD.to_owned();
    let _ = write!(
        page,
        "<title>{0}</title><h1>{0}</h1><p>{1}</p><p>{2} hosts, {3} s, seed {4}, division {5}, \
         detection {6}</p>",
        escape(&result.name),
        escape(&result.question),
        result.hosts,
        result.duration_s,
        result.seed,
        escape(&result.division),
        escape(&result.detection),
    );
    verdicts(&mut page, result);
    figures(&mut page, result);
    for plot in series::plots(result) {
        page.push_str(&plot.svg());
    }
    page
}

fn verdicts(page: &mut String, result: &RunResult) {
    page.push_str("<h2>Invariants</h2><table><tr><th>invariant<th>judged<th>violated</tr>");
    for verdict in &result.verdicts {
        let class = if verdict.held() { "" } else { " class=\"bad\"" };
        let _ = write!(
            page,
            "<tr{class}><td>{}<td>{}<td>{}</tr>",
            escape(&verdict.invariant),
            verdict.judged,
            verdict.violated,
        );
        for violation in &verdict.violations {
            let _ = write!(page, "<tr><td colspan=\"3\">{}</tr>", escape(violation));
        }
    }
    for error in &result.errors {
        let _ = write!(page, "<tr class=\"bad\"><td colspan=\"3\">{}</tr>", escape(error));
    }
    page.push_str("</table>");
}

fn figures(page: &mut String, result: &RunResult) {
    let measure = &result.measure;
    let _ = write!(
        page,
        "<h2>Figures</h2><p>{} of {} requests served, p50 {:.1} ms, p99 {:.1} ms. Worst served: \
         {} ({:.4}). Wrongful refusals: {} ({:.5} of attempts). Healthy targets starved: {} s.</p>",
        measure.served,
        measure.requests,
        measure.latency.p50_ms,
        measure.latency.p99_ms,
        escape(&measure.worst_served),
        measure.worst_served_share,
        measure.wrongful_refusals,
        measure.wrongful_share,
        measure.starved_healthy_target_s,
    );
    page.push_str(
        "<table><tr><th>workspace<th>requests<th>entitled<th>served<th>share<th>wrongful\
         <th>p50 ms<th>p99 ms<th>not served</tr>",
    );
    for workspace in &measure.workspaces {
        row(page, workspace);
    }
    page.push_str("</table><table><tr><th>faulty target<th>passed over after<th>exposed</tr>");
    for detection in &measure.detections {
        let after = match (detection.judged, detection.after_ms) {
            (false, _) => "too little traffic".to_owned(),
            (true, None) => "never".to_owned(),
            (true, Some(after_ms)) => format!("{after_ms:.0} ms"),
        };
        let (target, exposed) = (detection.target, detection.exposed);
        let _ = write!(page, "<tr><td>{target}<td>{after}<td>{exposed}</tr>");
    }
    page.push_str("</table>");
}

fn row(page: &mut String, workspace: &Workspace) {
    let _ = write!(
        page,
        "<tr><td>{}<td>{}<td>{}<td>{}<td>{:.4}<td>{}<td>{:.1}<td>{:.1}<td>{}</tr>",
        escape(&workspace.name),
        workspace.requests,
        workspace.entitled,
        workspace.served,
        workspace.served_share,
        workspace.wrongful_refusals,
        workspace.latency.p50_ms,
        workspace.latency.p99_ms,
        escape(&format!("{:?}", workspace.unserved)),
    );
}
