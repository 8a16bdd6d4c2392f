//! One whole token bucket as the yardstick of fair admission.

use crate::caller::End;
use crate::caller::Record;
use crate::verdict::Grant;

/// A bucket that starts full.
#[derive(Debug)]
struct Bucket {
    grant: Grant,
    tokens: f64,
    at_ms: f64,
}

impl Bucket {
    fn new(grant: Grant) -> Self {
        Self { grant, tokens: f64::from(grant.burst), at_ms: 0.0 }
    }

    fn advance(&mut self, at_ms: f64) {
        let gained = self.grant.rate * (at_ms - self.at_ms).max(0.0) / 1000.0;
        self.tokens = (self.tokens + gained).min(f64::from(self.grant.burst));
        self.at_ms = self.at_ms.max(at_ms);
    }

    fn take(&mut self) -> bool {
        let has = self.tokens >= 1.0;
        if has {
            self.tokens -= 1.0;
        }
        has
    }
}

/// Returns how many of the requests a whole bucket lets in at their intended times.
pub(super) fn entitled(flow: &[&Record], grant: Grant) -> usize {
    let mut times: Vec<_> = flow.iter().map(|record| record.intended_ms).collect();
    times.sort_by(f64::total_cmp);
    let mut bucket = Bucket::new(grant);
    let mut entitled = 0;
    for at_ms in times {
        bucket.advance(at_ms);
        entitled += usize::from(bucket.take());
    }
    entitled
}

/// Returns how many attempts were refused for their rate while a whole bucket, from which all
/// other admitted attempts took their tokens, still held one.
pub(super) fn wrongful_refusals(flow: &[&Record], grant: Grant) -> usize {
    let mut attempts: Vec<_> = flow.iter().flat_map(|record| &record.attempts).collect();
    attempts.sort_by(|a, b| a.sent_ms.total_cmp(&b.sent_ms));
    let mut bucket = Bucket::new(grant);
    let mut wrongful = 0;
    for attempt in attempts {
        bucket.advance(attempt.sent_ms);
        match &attempt.end {
            End::Refused { code, .. } if code == "rate" => {
                wrongful += usize::from(bucket.tokens >= 1.0);
            }
            End::Refused { code, not_run: true, .. } if before_admission(code) => {}
            End::Unsent => {}
            _ => {
                bucket.take();
            }
        }
    }
    wrongful
}

fn before_admission(code: &str) -> bool {
    matches!(code, "key" | "grant" | "route" | "not-fresh" | "leaving" | "bound" | "run-key")
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::arrival::Kind;
    use crate::caller::Attempt;

    fn record(at_ms: f64, end: End) -> Record {
        let host = "127.3.0.1:80".parse().unwrap();
        let attempt = Attempt { host, sent_ms: at_ms, ended_ms: at_ms + 1.0, end };
        Record {
            id: 1,
            workspace: 0,
            service: 0,
            caller: 0,
            kind: Kind::Read,
            intended_ms: at_ms,
            attempts: vec![attempt],
        }
    }

    fn refused() -> End {
        let code = "rate".to_owned();
        End::Refused { status: 429, code, not_run: true, retry_after_s: Some(1) }
    }

    #[test]
    fn refusal_is_wrongful_only_while_a_token_is_left() {
        let served = || End::Answered { status: 200, genuine: true };
        let grant = Grant { rate: 1.0, burst: 1 };
        let flow = [record(0.0, served()), record(10.0, refused()), record(1500.0, refused())];
        let flow: Vec<_> = flow.iter().collect();
        assert_eq!(wrongful_refusals(&flow, grant), 1);
        assert_eq!(entitled(&flow, grant), 2);
    }
}
