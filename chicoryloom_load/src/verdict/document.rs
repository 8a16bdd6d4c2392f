//! Withdrawn keys and leaving targets take no more work once the change must be in force.

use super::Arrivals;
use super::Evidence;
use super::IN_FORCE_MS;
use super::Verdict;
use crate::caller::Record;
use crate::event::What;

/// Judges that nothing ran that was sent with a key long withdrawn.
pub(super) fn withdrawn(evidence: &Evidence, arrivals: &Arrivals<'_>) -> Verdict {
    let mut verdict = Verdict::new("a withdrawn key stops within 7 s");
    for event in &evidence.events {
        let What::Withdrawn { workspace, caller } = event.what else {
            continue;
        };
        let own = |r: &&Record| r.workspace == workspace && r.caller == caller;
        for record in evidence.records.iter().filter(own) {
            for number in late(record, event.done_ms + IN_FORCE_MS) {
                verdict.judged += 1;
                if ran(arrivals, record.id, number).is_some() {
                    verdict.violate(format!("request {} ran, sent with a dead key", record.id));
                }
            }
        }
    }
    verdict
}

/// Judges that nothing arrived at a leaving target that was sent long after the change.
pub(super) fn leaving(evidence: &Evidence, arrivals: &Arrivals<'_>) -> Verdict {
    let mut verdict = Verdict::new("a leaving target gets no new work after 7 s");
    for event in &evidence.events {
        let What::Leaving { target: leaving } = event.what else {
            continue;
        };
        for record in &evidence.records {
            for number in late(record, event.done_ms + IN_FORCE_MS) {
                let Some(target) = ran(arrivals, record.id, number) else {
                    continue;
                };
                verdict.judged += 1;
                if target == leaving {
                    verdict.violate(format!("request {} ran at target {target}", record.id));
                }
            }
        }
    }
    verdict
}

/// Returns the numbers of the attempts that were sent after a time.
fn late(record: &Record, after_ms: f64) -> impl Iterator<Item = usize> {
    let attempts = record.attempts.iter().enumerate();
    attempts.filter(move |(_, attempt)| attempt.sent_ms > after_ms).map(|(number, _)| number)
}

/// Returns the target that an attempt reached.
fn ran(arrivals: &Arrivals<'_>, id: u64, number: usize) -> Option<usize> {
    let mut arrived = arrivals.get(&id)?.iter();
    arrived.find(|arrived| arrived.attempt == number).map(|arrived| arrived.target)
}
