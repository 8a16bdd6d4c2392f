//! Points in time on a host's boot-time clock.

use std::fmt;
use std::time::Duration;

/// A point in time, measured from an arbitrary start that stays fixed while a host is up.
///
/// The underlying clock keeps running while the process is stopped and while the host is suspended.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Moment(Duration);

impl Moment {
    /// The start of the clock.
    pub const ZERO: Self = Self(Duration::ZERO);

    /// Returns the moment that lies `since_start` after the start of the clock.
    pub const fn from_start(since_start: Duration) -> Self {
        Self(since_start)
    }

    /// Returns the moment that lies `millis` milliseconds after the start of the clock.
    pub const fn from_millis(millis: u64) -> Self {
        Self(Duration::from_millis(millis))
    }

    /// Returns the time since the start of the clock.
    pub const fn since_start(self) -> Duration {
        self.0
    }

    /// Returns the time from `earlier` to `self`, zero if `earlier` is later.
    pub const fn since(self, earlier: Self) -> Duration {
        self.0.saturating_sub(earlier.0)
    }

    /// Returns the moment `span` after `self`.
    #[must_use]
    pub const fn after(self, span: Duration) -> Self {
        Self(self.0.saturating_add(span))
    }

    /// Returns the moment `span` before `self`, the clock's start at the earliest.
    #[must_use]
    pub const fn before(self, span: Duration) -> Self {
        Self(self.0.saturating_sub(span))
    }
}

impl fmt::Display for Moment {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:.3}s", self.0.as_secs_f64())
    }
}
