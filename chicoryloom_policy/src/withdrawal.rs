//! Targets that ask for no more requests: for good, since they leave, or for a while, since they
//! have no room.
//!
//! Unlike an ejection, a withdrawal is the target's own wish, so that the floor does not limit it
//! and it is no evidence of bad health. Requests that wait for a service whose targets have all
//! withdrawn beyond the requests' deadlines can't be served, and are refused at once.

use std::collections::HashMap;
use std::fmt;
use std::str::FromStr;
use std::time::Duration;

use rand::Rng;

use crate::Moment;
use crate::id;

/// Longest pause that a target gets; a longer one is taken for a fault of the target.
pub const MAX_PAUSE: Duration = Duration::from_secs(600);
/// Time since its latest announcement for which a leaving target is remembered. It is far longer
/// than any target takes to stop.
const LEAVING_TTL: Duration = Duration::from_secs(3600);
/// Maximum number of remembered leaving targets; the oldest is forgotten first.
const MAX_LEAVING: usize = 4096;
/// Time after which callers may ask again for a service whose targets are all leaving. Others take
/// their place within seconds where a release is under way.
const REPLACEMENT_TIME: Duration = Duration::from_secs(1);
/// Part of the time until capacity returns over which the returns of callers are spread.
const SPREAD_SHARE: f64 = 0.5;
/// Bounds of the time over which the returns of callers are spread.
const SPREAD_RANGE: (Duration, Duration) = (Duration::from_millis(500), Duration::from_secs(2));

/// One process of a target; another one under the same name has another start time.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct Process {
    pub instance: id::Instance,
    /// Start time as the platform lists it.
    pub born: u64,
}

/// Time for which a target wants no requests; above zero and at most [`MAX_PAUSE`].
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct Pause(Duration);

impl Pause {
    /// Returns a pause, shortened to [`MAX_PAUSE`]; `None` for a time of zero.
    pub fn new(time: Duration) -> Option<Self> {
        (!time.is_zero()).then(|| Self(time.min(MAX_PAUSE)))
    }

    /// Returns the length of the pause.
    pub fn get(self) -> Duration {
        self.0
    }
}

impl fmt::Display for Pause {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} s", self.0.as_secs_f64())
    }
}

/// Why a text is no pause.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum InvalidPause {
    /// Not a number of seconds, such as a date.
    NotSeconds,
    /// Zero or less.
    NotPositive,
}

impl fmt::Display for InvalidPause {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::NotSeconds => "not a number of seconds",
            Self::NotPositive => "not above zero",
        })
    }
}

impl std::error::Error for InvalidPause {}

impl FromStr for Pause {
    type Err = InvalidPause;

    /// Parses seconds, which may have a fraction. A longer time than [`MAX_PAUSE`] is shortened.
    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let seconds: f64 = text.trim().parse().map_err(|_| InvalidPause::NotSeconds)?;
        if !seconds.is_finite() {
            return Err(InvalidPause::NotSeconds);
        }
        let time = Duration::try_from_secs_f64(seconds.min(MAX_PAUSE.as_secs_f64()));
        time.ok().and_then(Self::new).ok_or(InvalidPause::NotPositive)
    }
}

/// When a target takes requests.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Availability {
    Now,
    /// Not before this moment.
    From(Moment),
    Never,
}

/// Returns when the first of a service's targets takes requests; `Never` if there is no target.
pub fn earliest(targets: impl Iterator<Item = Availability>) -> Availability {
    targets.fold(Availability::Never, |first, one| match (first, one) {
        (Availability::Now, _) | (_, Availability::Now) => Availability::Now,
        (Availability::Never, other) | (other, Availability::Never) => other,
        (Availability::From(first), Availability::From(one)) => Availability::From(first.min(one)),
    })
}

impl Availability {
    /// Returns whether no target takes requests until `latest`.
    pub fn is_after(self, latest: Moment) -> bool {
        match self {
            Self::Now => false,
            Self::From(moment) => moment > latest,
            Self::Never => true,
        }
    }

    /// Returns the availability for a request that waits for others, which take `time`.
    #[must_use]
    pub fn after(self, time: Duration, now: Moment) -> Self {
        match self {
            Self::Now if time.is_zero() => Self::Now,
            Self::Now => Self::From(now.after(time)),
            Self::From(moment) => Self::From(moment.after(time)),
            Self::Never => Self::Never,
        }
    }

    /// Returns the time after which a refused caller may ask again.
    ///
    /// All callers of a service learn of the same moment. Their returns are spread over some time
    /// after it, so that the first targets that take requests again aren't overrun.
    pub fn retry_after<R: Rng + ?Sized>(self, now: Moment, rng: &mut R) -> Duration {
        let wait = match self {
            Self::Now => Duration::ZERO,
            Self::From(moment) => moment.since(now),
            Self::Never => REPLACEMENT_TIME,
        };
        let spread = wait.mul_f64(SPREAD_SHARE).clamp(SPREAD_RANGE.0, SPREAD_RANGE.1);
        wait + spread.mul_f64(rng.random())
    }
}

/// Withdrawals of targets that this host knows of.
#[derive(Clone, Debug, Default)]
pub struct Withdrawals {
    /// Leaving targets, with the latest announcement of each.
    leaving: HashMap<Process, Moment>,
    /// Pausing targets, with the end of each pause.
    pauses: HashMap<Process, Moment>,
}

impl Withdrawals {
    /// Records that a target is leaving; returns whether that was not known.
    pub fn leave(&mut self, process: Process, now: Moment) -> bool {
        if self.leaving.len() >= MAX_LEAVING
            && !self.leaving.contains_key(&process)
            && let Some(oldest) = self.leaving.iter().min_by_key(|(_, at)| **at)
        {
            let oldest = oldest.0.clone();
            self.leaving.remove(&oldest);
        }
        self.leaving.insert(process, now).is_none()
    }

    /// Records that a target wants no requests for a while; returns the end of its pause if that is
    /// later than known.
    pub fn pause(&mut self, process: Process, pause: Pause, now: Moment) -> Option<Moment> {
        let until = now.after(pause.get());
        let known = self.pauses.entry(process).or_insert(Moment::ZERO);
        if *known >= until {
            return None;
        }
        *known = until;
        Some(until)
    }

    /// Returns when a target takes requests.
    pub fn availability(&self, process: &Process, now: Moment) -> Availability {
        if self.leaving.contains_key(process) {
            return Availability::Never;
        }
        match self.pauses.get(process) {
            Some(until) if now < *until => Availability::From(*until),
            _ => Availability::Now,
        }
    }

    /// Returns how many targets are known to be leaving, and how many pause.
    pub fn counts(&self, now: Moment) -> (usize, usize) {
        (self.leaving.len(), self.pauses.values().filter(|until| now < **until).count())
    }

    /// Forgets pauses that are over, and targets that announced long ago that they leave.
    pub fn sweep(&mut self, now: Moment) {
        self.leaving.retain(|_, at| now.since(*at) < LEAVING_TTL);
        self.pauses.retain(|_, until| now < *until);
    }
}
