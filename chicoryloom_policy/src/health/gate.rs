//! Ejection and return of a target, wholly or for one route.

use std::time::Duration;

use crate::Moment;

/// Shortest time that an ejected target stays out.
const HOLD: Duration = Duration::from_secs(3);
/// Longest time that an ejected target stays out.
const MAX_HOLD: Duration = Duration::from_secs(60);
/// Longest time from a failed trial to the next one; a target that was sick for minutes is as
/// likely to be well soon as one that was for seconds.
const MAX_TRIAL_HOLD: Duration = Duration::from_secs(12);
/// Good answers in a row that end a trial.
const TRIAL_OKS: u32 = 5;
/// Time between two trial requests of one host.
const TRIAL_GAP: Duration = Duration::from_millis(100);
/// Time of the slow start.
const RAMP: Duration = Duration::from_secs(5);
/// Share of traffic at the beginning of the slow start.
const RAMP_START: f64 = 0.1;
/// Time without an ejection after which one earlier ejection is forgotten.
const FORGET: Duration = Duration::from_secs(60);

/// How far a target may be used on a route.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Standing {
    /// In use, with this share of its full weight.
    In(f64),
    /// Out but for single repeatable requests.
    Trial,
    Out,
}

/// Where a target stands between ejection and full use.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum State {
    In,
    Out { until: Moment },
    Trial { oks: u32, next: Moment },
    Ramp { since: Moment, cold: bool },
}

/// The way of a target, or of one of its routes, out of use and back.
#[derive(Clone, Copy, Debug)]
pub(super) struct Gate {
    pub(super) state: State,
    /// When the state was entered.
    pub(super) since: Moment,
    /// Evidence at the latest ejection.
    pub(super) badness: f64,
    /// Recent ejections, which make the next one longer.
    pub(super) flaps: u32,
}

impl Gate {
    pub(super) fn new(state: State, now: Moment) -> Self {
        Self { state, since: now, badness: 0.0, flaps: 0 }
    }

    fn enter(&mut self, state: State, now: Moment) {
        self.state = state;
        self.since = now;
    }

    pub(super) fn eject(&mut self, badness: f64, now: Moment) {
        self.badness = badness;
        self.hold(MAX_HOLD, now);
    }

    /// Takes the target out for twice as long as the last time, up to a limit.
    fn hold(&mut self, most: Duration, now: Moment) {
        let hold = HOLD.saturating_mul(1 << self.flaps.min(8));
        if hold <= most {
            self.flaps += 1;
        }
        self.enter(State::Out { until: now.after(hold.min(most)) }, now);
    }

    /// Takes the target back at once, such as when the floor asks for it.
    pub(super) fn reinstate(&mut self, now: Moment) {
        self.enter(State::In, now);
    }

    /// Ends an ejection that was not the target's fault.
    pub(super) fn forgive(&mut self, now: Moment) {
        self.flaps = self.flaps.saturating_sub(1);
        if matches!(self.state, State::Out { .. }) {
            self.enter(State::Trial { oks: 0, next: now }, now);
        }
    }

    /// Lets time pass; `trials` tells whether repeatable requests can try the target.
    ///
    /// Returns whether the state changed.
    pub(super) fn advance(&mut self, trials: bool, now: Moment) -> bool {
        match self.state {
            State::Out { until } if now >= until && trials => {
                self.enter(State::Trial { oks: 0, next: now }, now);
            }
            State::Out { until } if now >= until => {
                self.enter(State::Ramp { since: now, cold: false }, now);
            }
            State::Ramp { since, .. } if now.since(since) >= RAMP => {
                self.enter(State::In, now);
            }
            State::In if self.flaps > 0 && now.since(self.since) >= FORGET => {
                self.flaps -= 1;
                self.since = now;
                return false;
            }
            State::In | State::Out { .. } | State::Trial { .. } | State::Ramp { .. } => {
                return false;
            }
        }
        true
    }

    /// Takes in an outcome of a trial; returns whether the trial ended.
    pub(super) fn tried(&mut self, good: bool, now: Moment) -> bool {
        let State::Trial { oks, next } = self.state else {
            return false;
        };
        if !good {
            self.hold(MAX_TRIAL_HOLD, now);
            return true;
        }
        if oks + 1 >= TRIAL_OKS {
            self.enter(State::Ramp { since: now, cold: false }, now);
            return true;
        }
        self.state = State::Trial { oks: oks + 1, next };
        false
    }

    /// Takes the right to send one trial request.
    pub(super) fn take_trial(&mut self, now: Moment) -> bool {
        match &mut self.state {
            State::Trial { next, .. } if now >= *next => {
                *next = now.after(TRIAL_GAP);
                true
            }
            _ => false,
        }
    }

    pub(super) fn is_out(&self) -> bool {
        matches!(self.state, State::Out { .. } | State::Trial { .. })
    }

    pub(super) fn is_cold(&self) -> bool {
        matches!(self.state, State::Ramp { cold: true, .. })
    }

    pub(super) fn standing(&self, now: Moment) -> Standing {
        match self.state {
            State::In => Standing::In(1.0),
            State::Out { .. } => Standing::Out,
            State::Trial { .. } => Standing::Trial,
            State::Ramp { since, .. } => {
                let passed = now.since(since).as_secs_f64() / RAMP.as_secs_f64();
                Standing::In((RAMP_START + (1.0 - RAMP_START) * passed).min(1.0))
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
