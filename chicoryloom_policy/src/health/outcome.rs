//! Outcomes of attempts.

use std::time::Duration;

/// How an attempt failed.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum Failed {
    /// The target answered with a server error.
    Error,
    /// No connection was established.
    Refused,
    /// The connection broke before the end of the answer.
    Reset,
    /// No answer came before the deadline.
    Timeout,
}

/// What an attempt shows about its target: how it ended, or that it is late.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Outcome {
    /// The target answered.
    Ok {
        /// Time until the head of the answer arrived.
        took: Duration,
        /// Whether the attempt was counted as late while it was in flight.
        late: bool,
    },
    /// An attempt in flight is older than the latency limit of its route.
    Late,
    /// The attempt failed.
    Failed(Failed),
}

impl Outcome {
    /// Returns whether the outcome is a failure.
    pub(super) fn is_failed(self) -> bool {
        matches!(self, Self::Failed(_))
    }
}
