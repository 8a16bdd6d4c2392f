//! The rest of a response that is still being passed on when its request's deadline comes.
//!
//! The load is that of targets which hang in a response or send it without end, and of callers which
//! read slowly: what a target has sent in time is delivered, also late, and nothing else is awaited.

use std::time::Duration;

use crate::Moment;

/// Time for which the target may be awaited in total after the deadline: what it has sent is ready
/// nearly at once, also if a slow caller held it up.
const MAX_WAIT: Duration = Duration::from_millis(250);
/// Bytes of a response without a length that are passed on after the deadline; the buffers between a
/// target and its host hold no more of what was sent before.
const MAX_BYTES: u64 = 8 * 1024 * 1024;

/// Bounds on the rest of one response.
#[derive(Clone, Copy, Debug)]
pub struct Tail {
    deadline: Moment,
    /// Whether the response has a length, so that it has an end.
    has_length: bool,
    /// Time for which the target may still be awaited after the deadline.
    wait_left: Duration,
    /// Bytes that a response without a length may still have after the deadline.
    bytes_left: u64,
    /// Since when the target is awaited, if it is.
    waiting_since: Option<Moment>,
    /// Whether the target, and not the caller, was awaited at the deadline.
    was_awaited: bool,
}

impl Tail {
    /// Returns the bounds of a response to a request with the given deadline.
    pub const fn new(deadline: Moment, has_length: bool) -> Self {
        Self {
            deadline,
            has_length,
            wait_left: MAX_WAIT,
            bytes_left: MAX_BYTES,
            waiting_since: None,
            was_awaited: false,
        }
    }

    /// Records that the target is awaited; returns until when it may be.
    pub fn wait(&mut self, now: Moment) -> Moment {
        let since = *self.waiting_since.get_or_insert(now);
        since.max(self.deadline).after(self.wait_left)
    }

    /// Records that the wait for the target ended, by bytes or by its bound.
    pub fn end_wait(&mut self, now: Moment) {
        let Some(since) = self.waiting_since.take() else { return };
        self.was_awaited |= since < self.deadline && self.deadline <= now;
        let waited = now.since(since.max(self.deadline));
        self.wait_left = self.wait_left.saturating_sub(waited);
    }

    /// Records bytes of the response; returns whether they may be passed on.
    pub fn admit(&mut self, bytes: u64, now: Moment) -> bool {
        if self.has_length || now < self.deadline {
            return true;
        }
        let left = self.bytes_left.checked_sub(bytes);
        self.bytes_left = left.unwrap_or(0);
        left.is_some()
    }

    /// Returns whether an incomplete response is the target's fault: it was awaited at the deadline, or
    /// went on sending after it. Otherwise its caller may have held it up.
    pub const fn is_targets_fault(&self) -> bool {
        self.was_awaited || self.bytes_left == 0
    }
}
