//! A graceful shutdown cuts no request.

use std::net::SocketAddr;

use super::Evidence;
use super::Verdict;
use crate::caller::End;
use crate::event::Change;
use crate::event::What;

/// Judges that no request broke at a host after it was told to end.
pub(super) fn uncut(evidence: &Evidence) -> Verdict {
    let mut verdict = Verdict::new("a graceful shutdown cuts no request");
    for event in &evidence.events {
        let What::Host { address, change: Change::Terminated } = event.what else {
            continue;
        };
        let until_ms = end(evidence, address, event.done_ms);
        for record in &evidence.records {
            for attempt in &record.attempts {
                let during = attempt.ended_ms >= event.asked_ms && attempt.sent_ms <= until_ms;
                if attempt.host != address || !during || attempt.end == End::Unsent {
                    continue;
                }
                verdict.judged += 1;
                if let End::Broken { reason } = &attempt.end {
                    verdict.violate(format!("request {} broke: {reason}", record.id));
                }
            }
        }
    }
    verdict
}

/// Returns the last time at which the host's process was known to run.
///
/// What is sent later finds no host, which the link between shows as a broken connection too.
fn end(evidence: &Evidence, host: SocketAddr, after_ms: f64) -> f64 {
    let ended = evidence.events.iter().find(|event| {
        let What::Host { address, change } = event.what else {
            return false;
        };
        let ends = matches!(change, Change::Killed | Change::Ended);
        address == host && ends && event.done_ms > after_ms
    });
    ended.map_or(f64::INFINITY, |event| event.asked_ms)
}
