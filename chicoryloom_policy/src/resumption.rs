//! Whether a host whose process was stopped may decide by its copy of the platform's objects.
//!
//! A process that goes on after a stop finds requests that arrived meanwhile, and may read them before it
//! learns what changed. So the copy counts once it is known to be the platform's state as of a moment
//! after the stop, or as of one that is recent enough for a host that was never stopped. Where the
//! platform is out of reach, a host decides by its old copy if it was never stopped. One that was stopped
//! does so as well once it knows as much as such a host.

use crate::Moment;
use crate::takeover::MAX_FRESH_AGE;

/// Failed calls in a row after which the platform counts as out of reach; a single answer may be lost.
const MIN_FAILURES: u32 = 3;

/// What speaks for a host's copy of the objects of one kind.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Evidence {
    /// Latest moment as of which the copy is known to be the platform's state.
    pub confirmed: Option<Moment>,
    /// Begin of the latest call that showed that this host knows as much as one that was never stopped: it
    /// was answered by another host, or the platform is out of reach.
    pub vouched: Option<Moment>,
}

impl Evidence {
    /// Records that the copy is the platform's state as of a moment.
    pub fn confirm(&mut self, at: Moment) {
        self.confirmed = self.confirmed.max(Some(at));
    }

    /// Records a call that showed that this host knows as much as one that was never stopped.
    pub fn vouch(&mut self, begun: Moment) {
        self.vouched = self.vouched.max(Some(begun));
    }

    /// Returns whether the copy was not checked since the process went on at `resumed`.
    pub fn is_unchecked(&self, resumed: Option<Moment>) -> bool {
        resumed.is_some_and(|resumed| self.confirmed.max(self.vouched) < Some(resumed))
    }

    /// Returns whether a host whose process last went on at `resumed` may decide by the copy.
    pub fn suffices(&self, resumed: Option<Moment>, now: Moment) -> bool {
        let is_recent = |at: Moment| now.since(at) < MAX_FRESH_AGE;
        !self.is_unchecked(resumed) || self.confirmed.is_some_and(is_recent)
    }
}

/// Calls to the platform that failed in a row since the process last went on.
#[derive(Clone, Copy, Debug, Default)]
pub struct Failures {
    resumed: Option<Moment>,
    count: u32,
}

impl Failures {
    /// Records a failed call that began at `begun`; returns whether the platform counts as out of reach. A
    /// call that began before the process went on at `resumed` shows nothing.
    pub fn record(&mut self, begun: Moment, resumed: Option<Moment>) -> bool {
        if self.resumed != resumed {
            *self = Self { resumed, count: 0 };
        }
        if resumed.is_some_and(|resumed| begun < resumed) {
            return false;
        }
        self.count = self.count.saturating_add(1);
        self.count >= MIN_FAILURES
    }

    /// Records an answer.
    pub const fn reset(&mut self) {
        self.count = 0;
    }
}
