//! Messages between callers and the fleet.

use std::fmt;
use std::time::Duration;

use crate::generated::caller as raw;

/// Media type of a refusal.
pub const PROBLEM_TYPE: &str = "application/problem+json";

/// What a refusal says about the run of the request.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum Run {
    /// No target ran or will run the request.
    NotRun,
    /// A target may have run the request.
    Unknown,
}

impl Run {
    /// Returns the value of the `chicory-run` header.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::NotRun => "not-run",
            Self::Unknown => "unknown",
        }
    }
}

/// Machine-readable reason of a refusal.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum Code {
    /// The key is missing, unknown or withdrawn.
    Key,
    /// The key's workspace has no grant for the service.
    Grant,
    /// The workspace is past its rate and burst.
    Rate,
    /// No service or route takes the request.
    Route,
    /// The host may have missed a change and serves nothing.
    NotFresh,
    /// No healthy target can take the request now.
    NoCapacity,
    /// The deadline passed, or can't be met.
    Deadline,
    /// Requests like this one took targets down.
    HeldBack,
    /// The run key is malformed, used for another request, or past its expiry.
    RunKey,
    /// The host that issued the run key is gone.
    IssuerGone,
    /// The body of the request is longer than the bound, or pauses for too long.
    Bound,
    /// The target's answer was lost, cut or not its own.
    Answer,
    /// The host shuts down.
    Leaving,
    /// The request is ambiguous or not of a form that the fleet takes.
    Malformed,
    /// The head of the request is longer than the bound.
    Header,
    /// The host holds as many connections as it may.
    Busy,
}

impl Code {
    /// All codes, in the order of their documentation.
    pub const ALL: [Self; 16] = [
        Self::Key,
        Self::Grant,
        Self::Rate,
        Self::Route,
        Self::NotFresh,
        Self::NoCapacity,
        Self::Deadline,
        Self::HeldBack,
        Self::RunKey,
        Self::IssuerGone,
        Self::Bound,
        Self::Answer,
        Self::Leaving,
        Self::Malformed,
        Self::Header,
        Self::Busy,
    ];

    /// Returns the code as callers see it.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Key => "key",
            Self::Grant => "grant",
            Self::Rate => "rate",
            Self::Route => "route",
            Self::NotFresh => "not-fresh",
            Self::NoCapacity => "no-capacity",
            Self::Deadline => "deadline",
            Self::HeldBack => "held-back",
            Self::RunKey => "run-key",
            Self::IssuerGone => "issuer-gone",
            Self::Bound => "bound",
            Self::Answer => "answer",
            Self::Leaving => "leaving",
            Self::Malformed => "malformed",
            Self::Header => "header",
            Self::Busy => "busy",
        }
    }

    /// Returns the HTTP status that goes with the code.
    pub const fn status(self) -> u16 {
        match self {
            Self::Key => 401,
            Self::Grant => 403,
            Self::Rate => 429,
            Self::Route => 404,
            Self::NotFresh | Self::NoCapacity | Self::HeldBack | Self::Leaving | Self::Busy => 503,
            Self::Deadline => 504,
            Self::RunKey => 422,
            Self::IssuerGone => 409,
            Self::Bound => 413,
            Self::Answer => 502,
            Self::Malformed => 400,
            Self::Header => 431,
        }
    }
}

impl fmt::Display for Code {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

/// A refusal of one request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Refusal {
    pub code: Code,
    pub run: Run,
    /// One sentence for the caller's operator; holds no key.
    pub detail: String,
    /// When a new try can succeed, if that is known.
    pub retry_after: Option<Duration>,
}

impl Refusal {
    /// Returns a refusal of a request that did not run.
    pub fn not_run(code: Code, detail: impl Into<String>) -> Self {
        Self { code, run: Run::NotRun, detail: detail.into(), retry_after: None }
    }

    /// Returns a refusal of a request that may have run.
    pub fn unknown(code: Code, detail: impl Into<String>) -> Self {
        Self { code, run: Run::Unknown, detail: detail.into(), retry_after: None }
    }

    /// Adds the time after which a new try can succeed.
    #[must_use]
    pub fn retry_after(mut self, span: Duration) -> Self {
        self.retry_after = Some(span);
        self
    }
}

impl fmt::Display for Refusal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} ({}): {}", self.code, self.run.as_str(), self.detail)
    }
}

impl std::error::Error for Refusal {}

impl From<&Refusal> for raw::Problem {
    fn from(refusal: &Refusal) -> Self {
        Self {
            title: format!("request refused: {}", refusal.code),
            status: refusal.code.status(),
            code: refusal.code.as_str().to_owned(),
            run: refusal.run.as_str().to_owned(),
            detail: refusal.detail.clone(),
        }
    }
}
