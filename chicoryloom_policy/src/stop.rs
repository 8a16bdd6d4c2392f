//! Stages of a graceful shutdown: which requests a stopping host still takes, and when each is due.
//!
//! The load is that of the callers which don't know yet that the host stops, or which know of no
//! other: at most what the host was serving before.

use std::time::Duration;

use crate::Moment;

/// Share of the grace period, as a divisor, that is left for the end of the process.
const MARGIN_DIVISOR: u32 = 24;
/// Longest time that is left for the end of the process.
const MAX_MARGIN: Duration = Duration::from_secs(1);
/// Multiple of the time in which callers learn of the stop after which an unused host may exit.
const MIN_SERVICE_FACTOR: f64 = 1.1;

/// What a request needs to be finished.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Demand {
    /// When its caller gets the head of a response at the latest.
    pub deadline: Moment,
    /// Time after which the last byte of a response is late at the usual speed of service and callers.
    pub usual: Duration,
    /// Whether it may run again elsewhere if its response is lost.
    pub is_repeatable: bool,
    /// Whether its response may be longer than what connections buffer, so that the last byte comes as its own
    /// caller reads, and not as others do.
    pub is_long: bool,
}

/// Other hosts that callers know of.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Others {
    /// Hosts that take requests and aren't stopping.
    pub taking: usize,
    /// Hosts that are stopping or were lost lately; callers may still try them.
    pub gone: usize,
}

impl Others {
    /// Returns whether a caller that turns to any of the hosts it knows, other than the one that is
    /// stopping, mostly finds one that takes its request.
    const fn are_found(self) -> bool {
        self.taking > self.gone
    }
}

/// Longest response in bytes that connections buffer for certain.
const MAX_BUFFERED: f64 = 128.0 * 1024.0;
/// Share of the longest response of a route that is forgotten with each shorter one.
const FORGOTTEN: f64 = 0.01;

/// Length of a route's longest responses; recent ones count most.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Length {
    bytes: f64,
}

impl Length {
    /// Records a whole response.
    pub fn record(&mut self, bytes: u64) {
        self.bytes = (self.bytes * (1.0 - FORGOTTEN)).max(bytes as f64);
    }

    /// Returns whether a response may be longer than what connections buffer.
    pub fn is_long(self) -> bool {
        self.bytes > MAX_BUFFERED
    }
}

/// Stages of one shutdown.
///
/// A request whose own deadline comes before answers are due is taken at any time. During the
/// handover, in which callers learn that the host stops, it also takes requests that usually end in
/// time, except for some that find another host: those that run once, as a target that hangs would make
/// their outcome unknown, and those with long responses, as a caller that reads slowly would lose the
/// end. Targets are told to answer when answers are due, and may do so until connections
/// close. The process exits once callers have read their answers, within its grace period.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Schedule {
    begun: Moment,
    /// No later than [`Self::answers_due`].
    handover_end: Moment,
    /// Before [`Self::close`].
    answers_due: Moment,
    /// Before [`Self::exit`].
    close: Moment,
    /// Before the end of the grace period.
    exit: Moment,
    earliest_exit: Moment,
}

impl Schedule {
    /// Returns the schedule of a shutdown that begins now.
    ///
    /// The process may run for `grace`; callers need `notice` to learn of the stop.
    pub fn new(now: Moment, grace: Duration, notice: Duration) -> Self {
        let margin = (grace / MARGIN_DIVISOR).min(MAX_MARGIN);
        let handover = notice.min(grace / 2);
        let exit = now.after(grace.saturating_sub(margin));
        let close = exit.before(margin / 2);
        Self {
            begun: now,
            handover_end: now.after(handover),
            answers_due: close.before(margin / 2),
            close,
            exit,
            earliest_exit: now.after(handover.mul_f64(MIN_SERVICE_FACTOR)).min(close),
        }
    }

    /// Returns the deadline that a target is told for a request.
    pub fn target_deadline(&self, deadline: Moment) -> Moment {
        deadline.min(self.answers_due)
    }

    /// Returns until when a target that was sent a request may answer it; then its caller gets an
    /// error instead.
    pub fn give_up(&self, deadline: Moment) -> Moment {
        deadline.min(self.close)
    }

    /// Returns when no further request is read and connections are closed.
    pub const fn close(&self) -> Moment {
        self.close
    }

    /// Returns when the process exits at the latest.
    pub const fn exit(&self) -> Moment {
        self.exit
    }

    /// Returns when the process may exit if no caller is connected.
    pub const fn earliest_exit(&self) -> Moment {
        self.earliest_exit
    }

    /// Returns when a request may last be passed on to a target; later it is refused.
    pub fn latest_start(&self, demand: Demand, others: Others) -> Moment {
        if demand.deadline <= self.answers_due {
            return demand.deadline;
        }
        if (demand.is_long || !demand.is_repeatable) && others.are_found() {
            return self.begun;
        }
        self.handover_end.min(self.answers_due.before(demand.usual))
    }

    /// Returns after which time the caller of a refused request may return.
    ///
    /// Other hosts, if there are any, take it at once; otherwise none does before this one has
    /// exited.
    pub fn retry_after(&self, now: Moment, others: Others) -> Duration {
        if others.taking > 0 { Duration::ZERO } else { self.exit.since(now) }
    }
}
