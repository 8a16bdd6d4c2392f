//! Token buckets.

use std::time::Duration;

use crate::Moment;
use crate::unit::Rate;

/// A token bucket that admits at most `burst + rate × w` requests over any span `w`.
#[derive(Clone, Debug)]
pub struct Bucket {
    rate: Rate,
    burst: f64,
    /// Tokens at `refilled`; between 0 and `burst`.
    tokens: f64,
    refilled: Moment,
}

impl Bucket {
    /// Returns an empty bucket.
    pub fn empty(rate: Rate, burst: f64, now: Moment) -> Self {
        Self { rate, burst, tokens: 0.0, refilled: now }
    }

    /// Returns a full bucket.
    pub fn full(rate: Rate, burst: f64, now: Moment) -> Self {
        Self { rate, burst, tokens: burst, refilled: now }
    }

    /// Takes one token; on failure returns the time until one will be there.
    pub fn take(&mut self, now: Moment) -> Result<(), Duration> {
        self.refill(now);
        if self.tokens >= 1.0 {
            self.tokens -= 1.0;
            return Ok(());
        }
        let missing = 1.0 - self.tokens;
        let seconds = missing / self.rate.per_second();
        Err(Duration::try_from_secs_f64(seconds).unwrap_or(Duration::MAX))
    }

    fn refill(&mut self, now: Moment) {
        let grown = now.since(self.refilled).as_secs_f64() * self.rate.per_second();
        self.tokens = (self.tokens + grown).min(self.burst);
        self.refilled = self.refilled.max(now);
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn bucket_admits_burst_then_rate() {
        let rate = Rate::new(10.0).unwrap();
        let mut bucket = Bucket::full(rate, 2.0, Moment::ZERO);
        assert!(bucket.take(Moment::ZERO).is_ok());
        assert!(bucket.take(Moment::ZERO).is_ok());
        assert_eq!(bucket.take(Moment::ZERO), Err(Duration::from_millis(100)));
        assert!(bucket.take(Moment::from_millis(100)).is_ok());
    }
}
