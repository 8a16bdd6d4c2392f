//! State machine of the ejection and return of a target, wholly or for one route.

use std::time::Duration;

use crate::Moment;

/// Time of a first ejection; each further recent one doubles it.
const BASE_EJECTION_TIME: Duration = Duration::from_secs(3);
/// Longest time of an ejection.
const MAX_EJECTION_TIME: Duration = Duration::from_secs(60);
/// Longest time from a failed trial to the next one; a target that was unhealthy for minutes is
/// as likely to recover soon as one that was unhealthy for seconds.
const MAX_TRIAL_BACKOFF: Duration = Duration::from_secs(12);
/// Successful trial requests in a row that end a trial.
const TRIAL_SUCCESSES: u32 = 5;
/// Time between two trial requests of one host.
const TRIAL_INTERVAL: Duration = Duration::from_millis(100);
/// Length of the slow start.
const SLOW_START_TIME: Duration = Duration::from_secs(5);
/// Share of its full weight that a target has at the beginning of the slow start.
const SLOW_START_WEIGHT: f64 = 0.1;
/// Time without an ejection after which the count of recent ejections drops by one.
const EJECTION_MEMORY: Duration = Duration::from_secs(60);

/// How far a target may be used on a route.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Standing {
    /// In use, with this share of its full weight.
    In(f64),
    /// Out of use, except for single repeatable requests.
    Trial,
    /// Out of use.
    Out,
}

/// States between ejection and full use.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum State {
    /// In use with full weight.
    In,
    /// Ejected.
    Out { until: Moment },
    /// Open to single repeatable requests; the next one may be sent at `next`.
    Trial { successes: u32, next: Moment },
    /// In use with a weight that grows; `cold` marks a newly added target.
    SlowStart { since: Moment, cold: bool },
}

/// Ejection state of a target, or of one of its routes.
#[derive(Clone, Copy, Debug)]
pub(super) struct Gate {
    pub(super) state: State,
    /// When the state was entered.
    pub(super) since: Moment,
    /// Score at the latest ejection.
    pub(super) ejection_score: f64,
    /// Recent ejections, which make the next one longer.
    pub(super) recent_ejections: u32,
}

impl Gate {
    pub(super) fn new(state: State, now: Moment) -> Self {
        Self { state, since: now, ejection_score: 0.0, recent_ejections: 0 }
    }

    fn enter(&mut self, state: State, now: Moment) {
        self.state = state;
        self.since = now;
    }

    pub(super) fn eject(&mut self, ejection_score: f64, now: Moment) {
        self.ejection_score = ejection_score;
        self.back_off(MAX_EJECTION_TIME, now);
    }

    /// Takes the target out of use for twice as long as the last time, at most for `max`.
    fn back_off(&mut self, max: Duration, now: Moment) {
        let duration = BASE_EJECTION_TIME.saturating_mul(1 << self.recent_ejections.min(8));
        if duration <= max {
            self.recent_ejections += 1;
        }
        self.enter(State::Out { until: now.after(duration.min(max)) }, now);
    }

    /// Puts the target back in use at once, for instance because the floor requires it.
    pub(super) fn reinstate(&mut self, now: Moment) {
        self.enter(State::In, now);
    }

    /// Drops an ejection that was not the target's fault from the count, and starts a trial at
    /// once if the target is out.
    pub(super) fn undo_ejection(&mut self, now: Moment) {
        self.recent_ejections = self.recent_ejections.saturating_sub(1);
        if matches!(self.state, State::Out { .. }) {
            self.enter(State::Trial { successes: 0, next: now }, now);
        }
    }

    /// Makes the transition that is due; `trials` says whether repeatable requests, which can try
    /// the target, exist.
    ///
    /// Returns whether the state changed.
    pub(super) fn advance(&mut self, trials: bool, now: Moment) -> bool {
        match self.state {
            State::Out { until } if now >= until && trials => {
                self.enter(State::Trial { successes: 0, next: now }, now);
            }
            State::Out { until } if now >= until => {
                self.enter(State::SlowStart { since: now, cold: false }, now);
            }
            State::SlowStart { since, .. } if now.since(since) >= SLOW_START_TIME => {
                self.enter(State::In, now);
            }
            State::In if self.recent_ejections > 0 && now.since(self.since) >= EJECTION_MEMORY => {
                self.recent_ejections -= 1;
                self.since = now;
                return false;
            }
            State::In | State::Out { .. } | State::Trial { .. } | State::SlowStart { .. } => {
                return false;
            }
        }
        true
    }

    /// Records the outcome of a trial request; returns whether the trial ended.
    pub(super) fn record_trial(&mut self, good: bool, now: Moment) -> bool {
        let State::Trial { successes, next } = self.state else {
            return false;
        };
        if !good {
            self.back_off(MAX_TRIAL_BACKOFF, now);
            return true;
        }
        if successes + 1 >= TRIAL_SUCCESSES {
            self.enter(State::SlowStart { since: now, cold: false }, now);
            return true;
        }
        self.state = State::Trial { successes: successes + 1, next };
        false
    }

    /// Claims the next trial request; returns whether one may be sent now.
    pub(super) fn take_trial(&mut self, now: Moment) -> bool {
        match &mut self.state {
            State::Trial { next, .. } if now >= *next => {
                *next = now.after(TRIAL_INTERVAL);
                true
            }
            _ => false,
        }
    }

    pub(super) fn is_out(&self) -> bool {
        matches!(self.state, State::Out { .. } | State::Trial { .. })
    }

    pub(super) fn is_cold(&self) -> bool {
        matches!(self.state, State::SlowStart { cold: true, .. })
    }

    pub(super) fn standing(&self, now: Moment) -> Standing {
        match self.state {
            State::In => Standing::In(1.0),
            State::Out { .. } => Standing::Out,
            State::Trial { .. } => Standing::Trial,
            State::SlowStart { since, .. } => {
                let passed = now.since(since).as_secs_f64() / SLOW_START_TIME.as_secs_f64();
                Standing::In((SLOW_START_WEIGHT + (1.0 - SLOW_START_WEIGHT) * passed).min(1.0))
            }
        }
    }
}

impl Standing {
    /// Returns the worse of two standings.
    pub(super) fn and(self, other: Self) -> Self {
        match (self, other) {
            (Self::Out, _) | (_, Self::Out) => Self::Out,
            (Self::Trial, _) | (_, Self::Trial) => Self::Trial,
            (Self::In(one), Self::In(two)) => Self::In(one.min(two)),
        }
    }

    /// Returns the share of the target's slots that is in use.
    pub(super) fn weight(self) -> f64 {
        match self {
            Self::In(weight) => weight,
            Self::Trial | Self::Out => 0.0,
        }
    }
}
