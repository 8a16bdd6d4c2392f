//! A graceful shutdown cuts no request.

use std::net::SocketAddr;

use super::Evidence;
use super::Verdict;
use crate::caller::End;
use crate::driver::Change;
use crate::driver::What;

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

/// Returns when the host was next killed, or the end of time.
fn end(evidence: &Evidence, host: SocketAddr, after_ms: f64) -> f64 {
    let killed = evidence.events.iter().find(|event| {
        event.asked_ms > after_ms
            && event.what == What::Host { address: host, change: Change::Killed }
    });
    killed.map_or(f64::INFINITY, |event| event.asked_ms)
}
