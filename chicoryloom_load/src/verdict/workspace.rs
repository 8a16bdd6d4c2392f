//! Requests run for their own workspace, and targets see no key.

use super::Arrivals;
use super::Evidence;
use super::Verdict;

/// Judges that every run carried the workspace of the key that came with the request.
pub(super) fn own(evidence: &Evidence, arrivals: &Arrivals<'_>) -> Verdict {
    let mut verdict = Verdict::new("a request runs only for its key's workspace");
    for record in &evidence.records {
        let expected = &evidence.workspaces[record.workspace];
        for arrived in arrivals.get(&record.id).into_iter().flatten() {
            verdict.judged += 1;
            let seen = &arrived.run.workspace;
            if seen != expected {
                verdict.violate(format!("request {} of {expected} ran for {seen}", record.id));
            }
        }
    }
    verdict
}

/// Judges that no key is in what targets saw.
pub(super) fn keys_unseen(evidence: &Evidence) -> Verdict {
    let mut verdict = Verdict::new("no target sees a key");
    for (target, journal) in evidence.journals.iter().enumerate() {
        for run in journal {
            verdict.judged += 1;
            let shown = |text: &str| evidence.keys.iter().any(|key| text.contains(key.as_str()));
            if shown(&run.path) || run.headers.iter().any(|(_, value)| shown(value)) {
                verdict.violate(format!("target {target} saw a key at {} ms", run.at_ms));
            }
        }
    }
    verdict
}
