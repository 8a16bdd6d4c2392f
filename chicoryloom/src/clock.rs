//! The boot-time clock.

use std::fmt;
use std::time::Duration;

use chicoryloom_policy::Moment;
use rustix::time::ClockId;
use rustix::time::clock_gettime;

/// A source of the current time.
pub trait Clock: fmt::Debug + Send + Sync {
    /// Returns the current time.
    fn now(&self) -> Moment;
}

/// The system's boot-time clock; it keeps running while the process is stopped or the host is
/// suspended.
#[derive(Clone, Copy, Debug, Default)]
pub struct BootClock;

impl Clock for BootClock {
    fn now(&self) -> Moment {
        let time = clock_gettime(ClockId::Boottime);
        let seconds = u64::try_from(time.tv_sec).unwrap_or_default();
        let nanos = u32::try_from(time.tv_nsec).unwrap_or_default();
        Moment::from_start(Duration::new(seconds, nanos))
    }
}
