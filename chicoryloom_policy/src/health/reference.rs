//! Reference of a route: typical values of the service's targets, to compare each target with.

use std::time::Duration;

use super::evidence::Evidence;
use crate::Moment;

/// Answers that a target needs to count towards the reference.
const MIN_SAMPLES: u32 = 8;
/// Age past which a target's evidence no longer counts towards the reference.
const MAX_AGE: Duration = Duration::from_secs(60);
/// Rank, from 0 to 1, of the target whose value is the reference; below a half, so that half of
/// the targets may be unhealthy.
const REFERENCE_RANK: f64 = 0.35;
/// Same for the share of slow answers; above a half, since queues differ between targets.
const SLOW_SHARE_RANK: f64 = 0.65;
/// Multiple of the median time that an answer may take.
const MEDIAN_FACTOR: f64 = 4.0;
/// Multiple of the high quantile that an answer may take.
const HIGH_FACTOR: f64 = 2.0;
/// Time that an answer may always take beyond the median.
const MIN_SLACK: Duration = Duration::from_millis(5);
/// Length of a span of the slowness test, in latency limits.
const SPAN_PER_LIMIT: u32 = 2;
/// Shortest and longest span of the slowness test.
const SPAN_BOUNDS: (Duration, Duration) = (Duration::from_millis(80), Duration::from_secs(1));

/// Typical latency and failures of the service's targets on a route.
#[derive(Clone, Copy, Debug)]
pub(super) struct Reference {
    /// Time past which an answer is slow; [`Duration::MAX`] as long as no target has enough
    /// answers.
    pub(super) latency_limit: Duration,
    pub(super) failed_share: f64,
    pub(super) slow_share: f64,
}

impl Default for Reference {
    fn default() -> Self {
        Self { latency_limit: Duration::MAX, failed_share: 0.0, slow_share: 0.0 }
    }
}

impl Reference {
    /// Computes the reference of a route from the evidence about its targets.
    pub(super) fn of<'a>(all_evidence: impl Iterator<Item = &'a Evidence>, now: Moment) -> Self {
        let known: Vec<_> = all_evidence
            .filter(|evidence| {
                evidence.samples >= MIN_SAMPLES && now.since(evidence.last) < MAX_AGE
            })
            .collect();
        let median = value_at_rank(known.iter().map(|evidence| evidence.median), REFERENCE_RANK);
        let high = value_at_rank(known.iter().map(|evidence| evidence.high), REFERENCE_RANK);
        let (Some(median), Some(high)) = (median, high) else {
            return Self::default();
        };
        let typical = median.exp();
        let limit = (MEDIAN_FACTOR * typical)
            .max(HIGH_FACTOR * high.exp())
            .max(typical + MIN_SLACK.as_secs_f64());
        let failed_share =
            value_at_rank(known.iter().map(|evidence| evidence.failed_share), REFERENCE_RANK);
        let slow_share =
            value_at_rank(known.iter().map(|evidence| evidence.slow_share), SLOW_SHARE_RANK);
        let latency_limit = Duration::try_from_secs_f64(limit).unwrap_or(Duration::MAX);
        Self {
            latency_limit,
            failed_share: failed_share.unwrap_or_default(),
            slow_share: slow_share.unwrap_or_default(),
        }
    }

    /// Returns the time whose answers count as one sample of the slowness test.
    pub(super) fn span(&self) -> Duration {
        (self.latency_limit.min(SPAN_BOUNDS.1) * SPAN_PER_LIMIT).clamp(SPAN_BOUNDS.0, SPAN_BOUNDS.1)
    }

    pub(super) fn is_slow(&self, took: Duration) -> bool {
        took > self.latency_limit
    }
}

/// Returns the value at a rank from 0 to 1 in ascending order.
fn value_at_rank(values: impl Iterator<Item = f64>, rank: f64) -> Option<f64> {
    let mut values: Vec<_> = values.collect();
    values.sort_by(f64::total_cmp);
    let last = values.len().checked_sub(1)?;
    values.get((last as f64 * rank) as usize).copied()
}
