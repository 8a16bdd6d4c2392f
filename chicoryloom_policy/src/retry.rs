//! Budget of retries and hedged requests.

/// Retries that each first attempt allows by default.
const DEFAULT_SHARE: f64 = 0.1;
/// Unused retries that can accumulate by default.
const DEFAULT_BURST: f64 = 10.0;

/// The retry budget of one service on one host.
///
/// Over any time, retries and hedges are at most a fixed share of the first attempts, a tenth by
/// default, plus a fixed burst. So all hosts together add at most that share to the targets'
/// load beyond the bursts, however many requests fail.
#[derive(Clone, Debug)]
pub struct Budget {
    /// Retries that each first attempt allows.
    share: f64,
    /// Unused retries that can accumulate.
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
    /// Returns a full budget with a share of the first attempts and a burst.
    pub fn new(share: f64, burst: f64) -> Self {
        Self { share, burst, left: burst }
    }

    /// Changes the burst, for instance because the number of hosts that share it changed.
    pub fn set_burst(&mut self, burst: f64) {
        self.burst = burst;
        self.left = self.left.min(burst);
    }

    /// Adds the share of a retry that the first attempt of a request allows.
    pub fn deposit(&mut self) {
        self.left = (self.left + self.share).min(self.burst);
    }

    /// Spends one retry or hedge; returns whether one was left.
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

    /// Returns the most retries that `requests` first attempts allow under the default budget.
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
