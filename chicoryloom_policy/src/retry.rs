//! Budget of retries and hedges.

/// Retries that each first attempt allows.
const DEFAULT_SHARE: f64 = 0.1;
/// Retries that may be saved up.
const DEFAULT_BURST: f64 = 10.0;

/// The retry budget of one service on one host.
///
/// Over any span, retries and hedges are at most a fixed share of the first attempts, a tenth by
/// default, and a fixed burst. So the hosts together add at most that share to the load of
/// targets, however many fail.
#[derive(Clone, Debug)]
pub struct Budget {
    /// Retries that each first attempt allows.
    share: f64,
    /// Retries that may be saved up.
    burst: f64,
    /// Retries that are left; 0 to `burst`.
    left: f64,
}

impl Default for Budget {
    fn default() -> Self {
        Self::new(DEFAULT_SHARE, DEFAULT_BURST)
    }
}

impl Budget {
    /// Returns a budget with a share of the first attempts and a burst.
    pub fn new(share: f64, burst: f64) -> Self {
        Self { share, burst, left: burst }
    }

    /// Changes the burst, as when the number of hosts that share it changes.
    pub fn set_burst(&mut self, burst: f64) {
        self.burst = burst;
        self.left = self.left.min(burst);
    }

    /// Counts the first attempt of a request.
    pub fn deposit(&mut self) {
        self.left = (self.left + self.share).min(self.burst);
    }

    /// Takes one retry or hedge; returns whether there was one left.
    pub fn take(&mut self) -> bool {
        if self.left < 1.0 {
            return false;
        }
        self.left -= 1.0;
        true
    }

    /// Returns the retries that are left, as a whole number.
    pub fn left(&self) -> u32 {
        self.left as u32
    }

    /// Returns the most retries that `requests` first attempts allow.
    pub fn bound(requests: u64) -> f64 {
        DEFAULT_BURST + DEFAULT_SHARE * requests as f64
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn retries_stay_within_a_tenth_and_the_burst() {
        let mut budget = Budget::default();
        let mut retries = 0;
        for _ in 0..10_000 {
            budget.deposit();
            for _ in 0..3 {
                retries += u32::from(budget.take());
            }
        }
        assert!(f64::from(retries) <= Budget::bound(10_000));
        assert!(retries > 900);
    }
}
