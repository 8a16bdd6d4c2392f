//! Evidence about one target, on one route or over all routes.

use std::time::Duration;

use super::MAX_SCORE;
use super::UNHEALTHY_SCORE;
use super::outcome::Outcome;
use super::reference::Reference;
use crate::Moment;

/// Smallest share of slow answers assumed of healthy targets.
const MIN_HEALTHY_SLOW_SHARE: f64 = 0.05;
/// Largest share of slow answers assumed of healthy targets.
const MAX_HEALTHY_SLOW_SHARE: f64 = 0.4;
/// Smallest share of slow answers assumed of unhealthy targets.
const MIN_UNHEALTHY_SLOW_SHARE: f64 = 0.5;
/// Weight of a new span in the smoothed share of slow answers.
const SLOW_SHARE_WEIGHT: f64 = 0.05;
/// Smallest failure share assumed of healthy targets.
const MIN_HEALTHY_FAILED_SHARE: f64 = 0.005;
/// Smallest failure share assumed of unhealthy targets.
const MIN_UNHEALTHY_FAILED_SHARE: f64 = 0.3;
/// Largest failure share assumed of unhealthy targets.
const MAX_UNHEALTHY_FAILED_SHARE: f64 = 0.9;
/// Largest score that one failure adds.
const MAX_FAILURE_STEP: f64 = 3.5;
/// Half-life of scores without new outcomes.
const HALF_LIFE: Duration = Duration::from_secs(20);
/// Weight of a new outcome in the smoothed share of failures.
const FAILED_SHARE_WEIGHT: f64 = 0.02;
/// Step of the streaming quantiles, in natural log units.
const QUANTILE_STEP: f64 = 0.1;
/// Quantile that [`Evidence::high`] tracks.
const HIGH_QUANTILE: f64 = 0.95;
/// Consecutive failures that eject under [`Detection::Consecutive`].
const CONSECUTIVE_FAILURES: u32 = 5;
/// Length of the window of [`Detection::Window`].
const WINDOW_LENGTH: Duration = Duration::from_secs(10);
/// Fewest outcomes in a window that can eject under [`Detection::Window`].
const MIN_WINDOW_OUTCOMES: u32 = 5;
/// Share of failures in a window that ejects under [`Detection::Window`].
const WINDOW_FAILED_SHARE: f64 = 0.5;

/// Method that detects unhealthy targets.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Detection {
    /// Sequential tests on log-likelihood ratios of failures and slowness.
    #[default]
    Sequential,
    /// A count of consecutive failures.
    Consecutive,
    /// An error rate over a fixed window.
    Window,
}

/// Evidence that a target is unhealthy, as log-likelihood ratios against a healthy one.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Score {
    /// From failures.
    pub failed: f64,
    /// From slow answers and late attempts.
    pub slow: f64,
    /// Time for which the target has been slow.
    pub slow_for: Duration,
}

impl Score {
    /// Returns the sum of both tests; 14 ([`super::UNHEALTHY_SCORE`]) or more means unhealthy.
    pub fn total(self) -> f64 {
        self.failed + self.slow
    }
}

/// Evidence about one target on one route, or over all routes.
#[derive(Clone, Debug, Default)]
pub(super) struct Evidence {
    /// Sequential test on failures; 0 to [`MAX_SCORE`].
    failed: f64,
    /// Part of `failed` that was kept at the latest reset rather than observed; 0 to `failed`.
    kept: f64,
    /// Sequential test on slow answers; 0 to [`MAX_SCORE`].
    slow: f64,
    /// Smoothed share of failures.
    pub(super) failed_share: f64,
    /// Smoothed share of slow answers.
    pub(super) slow_share: f64,
    span: Span,
    /// When the test on slowness last left zero.
    slow_since: Moment,
    /// Streaming median of the time to an answer, as the logarithm of seconds.
    pub(super) median: f64,
    /// Streaming high quantile of the time to an answer, as the logarithm of seconds.
    pub(super) high: f64,
    /// Number of answers in the quantiles.
    pub(super) samples: u32,
    /// When the latest outcome was observed.
    pub(super) last: Moment,
    /// When a score above zero was last reported to the other home hosts.
    pub(super) reported: Option<Moment>,
    consecutive: u32,
    window: Window,
}

/// Answers that count as one sample of the slowness test, since a queue makes slow answers come
/// in bursts.
#[derive(Clone, Copy, Debug, Default)]
struct Span {
    start: Moment,
    total: u32,
    slow: u32,
}

/// Counts of [`Detection::Window`].
#[derive(Clone, Copy, Debug, Default)]
struct Window {
    start: Moment,
    total: u32,
    failed: u32,
    /// Whether the latest complete window had enough outcomes and failures to eject.
    tripped: bool,
}

impl Evidence {
    /// Returns whether any outcome was observed.
    pub(super) fn is_used(&self) -> bool {
        self.last > Moment::ZERO
    }

    /// Returns whether the latest outcome was observed within `span`.
    pub(super) fn is_recent(&self, span: Duration, now: Moment) -> bool {
        self.is_used() && now.since(self.last) < span
    }

    /// Records one outcome; `slow` says whether it was slow by the reference of its route.
    pub(super) fn observe(
        &mut self,
        outcome: Outcome,
        slow: bool,
        reference: &Reference,
        now: Moment,
    ) {
        self.decay(now);
        self.update_baselines(outcome, now);
        match outcome {
            Outcome::Ok { took, late } => {
                self.add_failed(ok_step(reference));
                if !late {
                    self.add_slow(slow, reference, now);
                }
                self.update_quantiles(took);
            }
            Outcome::Late => self.add_slow(true, reference, now),
            Outcome::Failed(_) => self.add_failed(failed_step(reference)),
        }
        if outcome != Outcome::Late {
            let failed = f64::from(u8::from(outcome.is_failed()));
            self.failed_share += FAILED_SHARE_WEIGHT * (failed - self.failed_share);
        }
    }

    fn decay(&mut self, now: Moment) {
        let halvings = now.since(self.last).as_secs_f64() / HALF_LIFE.as_secs_f64();
        let share = (-halvings).exp2();
        self.failed *= share;
        self.kept *= share;
        self.slow *= share;
        self.last = self.last.max(now);
    }

    fn add_failed(&mut self, step: f64) {
        self.failed = (self.failed + step).clamp(0.0, MAX_SCORE);
        self.kept = self.kept.min(self.failed);
    }

    fn add_slow(&mut self, slow: bool, reference: &Reference, now: Moment) {
        self.close_span(reference, now);
        if self.span.total == 0 {
            self.span.start = now;
        }
        self.span.total += 1;
        self.span.slow += u32::from(slow);
    }

    /// Adds the current span to the slowness test if it is over.
    pub(super) fn close_span(&mut self, reference: &Reference, now: Moment) {
        let Span { start, total, slow } = self.span;
        let length = reference.span();
        if total == 0 || now.since(start) < length {
            return;
        }
        let share = f64::from(slow) / f64::from(total);
        let healthy = healthy_slow(reference);
        let unhealthy = unhealthy_slow(healthy);
        let up = slow_step(reference);
        let down = ((1.0 - unhealthy) / (1.0 - healthy)).ln();
        let step = share * up + (1.0 - share) * down;
        if self.slow <= 0.0 {
            self.slow_since = start;
        }
        self.slow = (self.slow + step).clamp(0.0, MAX_SCORE);
        self.slow_share += SLOW_SHARE_WEIGHT * (share - self.slow_share);
        self.span = Span::default();
    }

    fn update_quantiles(&mut self, took: Duration) {
        let value = took.as_secs_f64().max(1e-6).ln();
        if self.samples == 0 {
            self.median = value;
            self.high = value;
        }
        self.samples = self.samples.saturating_add(1);
        let signed_weight =
            |above: bool, quantile: f64| if above { quantile } else { quantile - 1.0 };
        self.median += QUANTILE_STEP * signed_weight(value > self.median, 0.5);
        self.high += QUANTILE_STEP * signed_weight(value > self.high, HIGH_QUANTILE);
    }

    fn update_baselines(&mut self, outcome: Outcome, now: Moment) {
        if outcome == Outcome::Late {
            return;
        }
        self.consecutive = if outcome.is_failed() { self.consecutive + 1 } else { 0 };
        let window = &mut self.window;
        if now.since(window.start) >= WINDOW_LENGTH {
            let share = f64::from(window.failed) / f64::from(window.total.max(1));
            window.tripped = window.total >= MIN_WINDOW_OUTCOMES && share >= WINDOW_FAILED_SHARE;
            *window = Window { start: now, tripped: window.tripped, ..Window::default() };
        }
        window.total += 1;
        window.failed += u32::from(outcome.is_failed());
    }

    /// Returns the evidence that the target is unhealthy.
    pub(super) fn score(&self, detection: Detection, now: Moment) -> Score {
        match detection {
            Detection::Sequential => {
                let halvings = now.since(self.last).as_secs_f64() / HALF_LIFE.as_secs_f64();
                let kept = (-halvings).exp2();
                Score {
                    failed: self.failed * kept,
                    slow: self.slow * kept,
                    slow_for: if self.slow > 0.0 {
                        now.since(self.slow_since)
                    } else {
                        Duration::ZERO
                    },
                }
            }
            Detection::Consecutive => fixed_score(self.consecutive >= CONSECUTIVE_FAILURES),
            Detection::Window => fixed_score(self.window.tripped),
        }
    }

    /// Returns the evidence without what was kept at the latest reset: if every host reported that,
    /// their sum would eject a target that has just returned.
    pub(super) fn observed_score(&self, detection: Detection, now: Moment) -> Score {
        let score = self.score(detection, now);
        if detection != Detection::Sequential {
            return score;
        }
        let halvings = now.since(self.last).as_secs_f64() / HALF_LIFE.as_secs_f64();
        Score { failed: (score.failed - self.kept * (-halvings).exp2()).max(0.0), ..score }
    }

    /// Resets the scores; `kept` remains as failure score, so that a relapse is detected sooner.
    pub(super) fn reset(&mut self, kept: f64, now: Moment) {
        *self = Self {
            failed: kept,
            kept,
            reported: self.reported,
            failed_share: self.failed_share,
            slow_share: self.slow_share,
            median: self.median,
            high: self.high,
            samples: self.samples,
            last: now,
            ..Self::default()
        };
    }
}

fn fixed_score(unhealthy: bool) -> Score {
    Score { failed: if unhealthy { UNHEALTHY_SCORE } else { 0.0 }, ..Score::default() }
}

fn healthy_slow(reference: &Reference) -> f64 {
    reference.slow_share.clamp(MIN_HEALTHY_SLOW_SHARE, MAX_HEALTHY_SLOW_SHARE)
}

fn unhealthy_slow(healthy: f64) -> f64 {
    (2.0 * healthy).max(MIN_UNHEALTHY_SLOW_SHARE)
}

/// Returns the score that a span adds if every answer in it was slow.
pub(super) fn slow_step(reference: &Reference) -> f64 {
    let healthy = healthy_slow(reference);
    (unhealthy_slow(healthy) / healthy).ln()
}

fn unhealthy_failed(healthy: f64) -> f64 {
    (3.0 * healthy).clamp(MIN_UNHEALTHY_FAILED_SHARE, MAX_UNHEALTHY_FAILED_SHARE)
}

fn failed_step(reference: &Reference) -> f64 {
    let healthy =
        reference.failed_share.clamp(MIN_HEALTHY_FAILED_SHARE, MIN_UNHEALTHY_FAILED_SHARE);
    (unhealthy_failed(healthy) / healthy).ln().min(MAX_FAILURE_STEP)
}

fn ok_step(reference: &Reference) -> f64 {
    let healthy =
        reference.failed_share.clamp(MIN_HEALTHY_FAILED_SHARE, MIN_UNHEALTHY_FAILED_SHARE);
    ((1.0 - unhealthy_failed(healthy)) / (1.0 - healthy)).ln()
}
