//! Outcomes of attempts.

use std::time::Duration;

/// How an attempt failed.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum Failed {
    /// The target answered with a server error.
    Error,
    /// No connection came about.
    Refused,
    /// The connection broke before the answer's end.
    Reset,
    /// No answer came before the deadline.
    Timeout,
}

/// One piece of evidence about a target.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Outcome {
    /// The target answered.
    Ok {
        /// Time to the head of the answer.
        took: Duration,
        /// Whether the attempt was counted as late while it was in flight.
        late: bool,
    },
    /// An attempt in flight is older than the other targets' answers get.
    Late,
    Failed(Failed),
}

impl Outcome {
    /// Tells whether the outcome is a failure.
    pub(super) fn is_failed(self) -> bool {
        matches!(self, Self::Failed(_))
    }
}
