//! Bookings run at most once, and "not run" is true.

use super::Arrivals;
use super::Evidence;
use super::Verdict;
use crate::arrival::Kind;
use crate::caller::End;

/// Judges that no booking ran twice, over all targets together.
pub(super) fn at_most_once(evidence: &Evidence, arrivals: &Arrivals<'_>) -> Verdict {
    let mut verdict = Verdict::new("a booking runs at most once");
    for record in evidence.records.iter().filter(|record| record.kind == Kind::Book) {
        verdict.judged += 1;
        let runs = arrivals.get(&record.id).into_iter().flatten();
        let runs = runs.filter(|arrived| arrived.ran()).count();
        if runs > 1 {
            verdict.violate(format!("booking {} ran {runs} times", record.id));
        }
    }
    verdict
}

/// Judges that no attempt ran that was refused as not run.
pub(super) fn not_run_is_true(evidence: &Evidence, arrivals: &Arrivals<'_>) -> Verdict {
    let mut verdict = Verdict::new("\"not run\" is true");
    for record in &evidence.records {
        for (number, attempt) in record.attempts.iter().enumerate() {
            if !matches!(attempt.end, End::Refused { not_run: true, .. }) {
                continue;
            }
            verdict.judged += 1;
            let arrived = arrivals.get(&record.id).into_iter().flatten();
            let mut ran = arrived.filter(|arrived| arrived.attempt == number && arrived.ran());
            if let Some(arrived) = ran.next() {
                let target = arrived.target;
                let id = record.id;
                verdict.violate(format!(
                    "request {id}, attempt {number}: refused as not run, ran at target {target}"
                ));
            }
        }
    }
    verdict
}
