//! What callers note about their requests.

use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;

use crate::arrival::Kind;

/// One request of a caller, with all its attempts.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
pub(crate) struct Record {
    /// Number of the request, which its path carries to the target.
    pub(crate) id: u64,
    pub(crate) workspace: usize,
    pub(crate) service: usize,
    pub(crate) caller: usize,
    pub(crate) kind: Kind,
    /// Time at which the request was to be sent, since the start, in milliseconds.
    pub(crate) intended_ms: f64,
    pub(crate) attempts: Vec<Attempt>,
}

/// One attempt of a request.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
pub(crate) struct Attempt {
    pub(crate) host: SocketAddr,
    /// Time before the first byte was sent, since the start, in milliseconds.
    pub(crate) sent_ms: f64,
    /// Time after the last byte of the answer, since the start, in milliseconds.
    pub(crate) ended_ms: f64,
    pub(crate) end: End,
}

/// How an attempt ended.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum End {
    /// A target's answer, whole by its framing.
    Answered { status: u16, genuine: bool },
    /// A refusal of the fleet.
    Refused { status: u16, code: String, not_run: bool, retry_after_s: Option<u64> },
    /// No connection was made.
    Unsent,
    /// The connection broke after the request was sent.
    Broken { reason: String },
    /// No whole answer came within the caller's patience.
    TimedOut,
}

impl Record {
    /// Returns the last attempt.
    pub(crate) fn last(&self) -> Option<&Attempt> {
        self.attempts.last()
    }

    /// Tells whether the caller got a good answer of its own.
    pub(crate) fn is_served(&self) -> bool {
        let end = self.last().map(|attempt| &attempt.end);
        matches!(end, Some(End::Answered { status, genuine: true }) if *status < 400)
    }

    /// Returns the time from the intended arrival to the end, in milliseconds.
    pub(crate) fn latency_ms(&self) -> f64 {
        self.last().map_or(0.0, |attempt| attempt.ended_ms - self.intended_ms)
    }

    /// Returns the reason that the request was not served, if any.
    pub(crate) fn reason(&self) -> Option<&str> {
        match &self.last()?.end {
            End::Answered { status, .. } if *status < 400 => None,
            End::Answered { .. } => Some("target-error"),
            End::Refused { code, .. } => Some(code),
            End::Unsent => Some("no-connection"),
            End::Broken { .. } => Some("broken"),
            End::TimedOut => Some("timeout"),
        }
    }
}
