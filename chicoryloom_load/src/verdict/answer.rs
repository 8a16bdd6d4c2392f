//! A caller gets the whole answer to its own request.

use super::Evidence;
use super::Verdict;
use crate::caller::End;

/// Judges that every answer that was whole by its framing is whole and the request's own.
pub(super) fn whole(evidence: &Evidence) -> Verdict {
    let mut verdict = Verdict::new("answers are whole and the request's own");
    for record in &evidence.records {
        for attempt in &record.attempts {
            let End::Answered { genuine, status } = attempt.end else {
                continue;
            };
            verdict.judged += 1;
            if !genuine {
                let (id, host) = (record.id, attempt.host);
                verdict.violate(format!("request {id} by {host}: foreign or short, {status}"));
            }
        }
    }
    verdict
}
