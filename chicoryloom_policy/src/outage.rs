//! Outages of the platform, as one host sees them.
//!
//! Live targets may be missing after an outage until they have registered again, whereas a target
//! that is removed at any other time must get nothing more. The age of a copy doesn't tell these
//! apart: it grows as well when the host that was followed is lost, when this process is stopped,
//! and when only this host's link to the platform breaks. The decisions are taken for each removal
//! that reaches a host with an old copy.

use std::time::Duration;

use crate::Moment;

/// Longest time between two beats of a process that is not stopped.
const MAX_BEAT_GAP: Duration = Duration::from_millis(400);

/// Beats of a process, which show when it was stopped.
#[derive(Clone, Copy, Debug)]
pub struct Pulse {
    latest: Moment,
    /// End of the latest time in which the process was stopped.
    resumed: Option<Moment>,
}

impl Pulse {
    /// Returns the pulse of a process that starts at `now`.
    pub const fn new(now: Moment) -> Self {
        Self { latest: now, resumed: None }
    }

    /// Records that the process runs; returns for how long it was stopped, if it was until now.
    pub fn beat(&mut self, now: Moment) -> Option<Duration> {
        let gap = now.since(self.latest);
        self.latest = self.latest.max(now);
        if gap <= MAX_BEAT_GAP {
            return None;
        }
        self.resumed = Some(now);
        Some(gap)
    }

    /// Returns the end of the latest time in which the process was stopped, as of the latest beat.
    pub const fn resumed(&self) -> Option<Moment> {
        self.resumed
    }

    /// Returns whether the process was stopped at any time since `begun`.
    pub fn was_stopped(&self, begun: Moment, now: Moment) -> bool {
        self.resumed.is_some_and(|resumed| resumed >= begun)
            || now.since(self.latest) > MAX_BEAT_GAP
    }

    /// Returns how old an answer may be that is read at `now`, for a call that took `transit` beyond the
    /// time for which it was held. One that waited for a stopped process is as old as its call.
    pub fn answer_age(&self, begun: Moment, transit: Duration, now: Moment) -> Duration {
        if self.was_stopped(begun, now) { now.since(begun) } else { transit }
    }
}

/// Fewest targets that a service loses at once for that to be unusual.
const MIN_MASS_REMOVAL: usize = 3;

/// Returns whether a service that loses so many of its known targets at once would lose most of its
/// capacity by it, which a listing should confirm first.
pub const fn is_mass_removal(removed: usize, known: usize) -> bool {
    removed >= MIN_MASS_REMOVAL && removed * 2 > known
}

/// What is known of the other hosts when the platform answers again.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Others {
    /// Whether this host has heard of another one lately, or there is none.
    pub in_touch: bool,
    /// Whether another host's copy was fresh, so that it has been in touch with the platform.
    pub any_fresh: bool,
}

/// Calls to the platform that failed since it last answered this host.
#[derive(Clone, Copy, Debug, Default)]
pub struct Outage {
    failed: bool,
}

impl Outage {
    /// Records a failed call. If the process was stopped during the call, the call fails whatever the
    /// platform did.
    pub const fn record_failure(&mut self, was_stopped: bool) {
        self.failed |= !was_stopped;
    }

    /// Records an answer, or that the copy comes from another host from now on. Returns whether calls
    /// had failed before.
    pub const fn end(&mut self) -> bool {
        std::mem::replace(&mut self.failed, false)
    }

    /// Returns whether objects that are missing after failed calls may have lapsed in an outage.
    pub const fn may_have_lapsed(others: Others) -> bool {
        others.in_touch && !others.any_fresh
    }
}
