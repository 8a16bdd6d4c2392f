//! How fast targets change between episodes of failures and health.
//!
//! Answers the load of targets whose episodes last seconds on one deployment and a minute on another.
//! Evidence about a target decays at this pace: too fast, and callers' requests find out again and again
//! that a target has not recovered; too slow, and targets that did stay idle. So the pace is estimated
//! from how well each of a few candidates predicts the outcomes of requests.

use std::time::Duration;

/// Mean times between two changes of a target's state that are considered, in seconds. Their range
/// bounds the estimate.
const CANDIDATES: [f64; 5] = [2.5, 5.0, 10.0, 20.0, 40.0];
/// Part of the evidence for the candidates that is kept at each outcome, as deployments change.
const MEMORY: f64 = 0.998;
/// Evidence, as a logarithm, by which the candidates differ at most, so that a change is noticed soon.
const MAX_LEAD: f64 = 5.0;

/// Estimate of the mean time between two changes of a target's state.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Pace {
    /// Logarithm of the likelihood of the outcomes so far, by candidate; the greatest is 0.
    evidence: [f64; CANDIDATES.len()],
    /// Estimated time in seconds.
    seconds: f64,
}

impl Default for Pace {
    fn default() -> Self {
        Self::of([0.0; CANDIDATES.len()])
    }
}

impl Pace {
    fn of(evidence: [f64; CANDIDATES.len()]) -> Self {
        let weights = evidence.map(f64::exp);
        let sum: f64 = weights.iter().sum();
        // The mean of rates, so that a slow candidate without evidence against it doesn't prevail.
        let rate = CANDIDATES.iter().zip(weights).map(|(time, weight)| weight / time).sum::<f64>();
        Self { evidence, seconds: sum / rate }
    }

    /// Returns the part of what was known of a target that still holds after a time.
    pub(crate) fn kept(&self, age: Duration) -> f64 {
        (-age.as_secs_f64() / self.seconds).exp()
    }

    /// Updates the estimate by an outcome, given the time since the evidence before and the likelihood
    /// of the outcome if a part of that evidence still holds.
    pub(crate) fn learn(&mut self, age: Duration, likelihood: impl Fn(f64) -> f64) {
        let age = age.as_secs_f64();
        let mut evidence = self.evidence;
        for (one, time) in evidence.iter_mut().zip(CANDIDATES) {
            *one = *one * MEMORY + likelihood((-age / time).exp()).max(f64::MIN_POSITIVE).ln();
        }
        let best = evidence.iter().copied().fold(f64::NEG_INFINITY, f64::max);
        *self = Self::of(evidence.map(|one| (one - best).max(-MAX_LEAD)));
    }

    /// Returns the estimated mean time between two changes of a target's state.
    #[cfg(test)]
    fn time(&self) -> Duration {
        Duration::from_secs_f64(self.seconds)
    }
}

#[cfg(test)]
mod tests {
    use rand::Rng;
    use rand::SeedableRng;
    use rand_pcg::Pcg64;
    use rstest::rstest;

    use super::*;

    /// Targets are drawn anew to be in an episode, three in ten, after a random time of a given mean.
    /// Each is asked at intervals of 1 to 8 s; the estimate is within a factor of two.
    #[rstest]
    fn pace_follows_the_targets(#[values(4.0, 12.0, 40.0)] mean: f64) {
        let mut rng = Pcg64::seed_from_u64(7);
        let mut pace = Pace::default();
        for _ in 0..60 {
            let mut in_episode = rng.random_bool(0.3);
            for _ in 0..20 {
                let gap = rng.random_range(1.0..8.0);
                let start = if in_episode { 1.0 } else { 0.0 };
                if rng.random_bool(1.0 - f64::exp(-gap / mean)) {
                    in_episode = rng.random_bool(0.3);
                }
                let failed = in_episode;
                pace.learn(Duration::from_secs_f64(gap), |kept| {
                    let risk = 0.3 + (start - 0.3) * kept;
                    if failed { risk } else { 1.0 - risk }
                });
            }
        }
        let time = pace.time().as_secs_f64();
        assert!((mean / 2.0..mean * 2.0).contains(&time), "{time}");
    }
}
