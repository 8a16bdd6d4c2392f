//! Error responses that a gateway host generates itself.

use std::time::Duration;

use bytes::Bytes;
use http::HeaderValue;
use http::Response;
use http::StatusCode;
use http::header::CONTENT_TYPE;
use http::header::RETRY_AFTER;
use http_body_util::BodyExt;
use http_body_util::Full;
use serde_json::json;

use crate::target::Body;

/// Shortest `Retry-After` of a response; a shorter one would only add load.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(100);

/// Why a request was refused or ended without a target's response.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Reason {
    /// The request is malformed or asks for an unsupported protocol; it has not run.
    Malformed,
    /// The request's head is longer than the limit; it has not run.
    HeadTooLong,
    /// The request's body is longer than the limit or could not be read; it has not run.
    BodyTooLong,
    /// The request's body did not arrive before the deadline; it has not run.
    SlowBody,
    /// The caller's key is missing, unknown or withdrawn; the request has not run.
    Key,
    /// No route matches the request, or its route has no service; it has not run.
    NoRoute,
    /// The host has no configuration, or one that may be too old to decide by; the request has
    /// not run.
    NoConfiguration,
    /// The request's route or workspace can't be taken from the configuration; it has not run.
    Misconfigured,
    /// The workspace exceeds its rate and burst; the request has not run.
    Rate,
    /// No target could run the request before its deadline; it has not run.
    NoTargetInTime,
    /// Targets broke the connection on equal requests; it has not run.
    HeldBack,
    /// The host shuts down and can't finish the request before its exit; it has not run.
    Leaving,
    /// A target may have run the request, and its response was lost.
    AnswerLost,
    /// A target may have run the request, and did not respond before the deadline.
    Timeout,
}

impl Reason {
    /// Returns the name in responses, events and metrics.
    pub(super) const fn as_str(self) -> &'static str {
        match self {
            Self::Malformed => "malformed",
            Self::HeadTooLong => "head-too-long",
            Self::BodyTooLong => "body-too-long",
            Self::SlowBody => "slow-body",
            Self::Key => "key",
            Self::NoRoute => "no-route",
            Self::NoConfiguration => "no-configuration",
            Self::Misconfigured => "misconfigured",
            Self::Rate => "rate",
            Self::NoTargetInTime => "no-target-in-time",
            Self::HeldBack => "held-back",
            Self::Leaving => "leaving",
            Self::AnswerLost => "answer-lost",
            Self::Timeout => "timeout",
        }
    }

    /// Returns the HTTP status; 408, 429 and 503 promise that the request has not run.
    const fn status(self) -> StatusCode {
        match self {
            Self::Malformed => StatusCode::BAD_REQUEST,
            Self::HeadTooLong => StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE,
            Self::BodyTooLong => StatusCode::PAYLOAD_TOO_LARGE,
            Self::SlowBody => StatusCode::REQUEST_TIMEOUT,
            Self::Key => StatusCode::UNAUTHORIZED,
            Self::NoRoute => StatusCode::NOT_FOUND,
            Self::NoConfiguration
            | Self::Misconfigured
            | Self::NoTargetInTime
            | Self::HeldBack
            | Self::Leaving => StatusCode::SERVICE_UNAVAILABLE,
            Self::Rate => StatusCode::TOO_MANY_REQUESTS,
            Self::AnswerLost => StatusCode::BAD_GATEWAY,
            Self::Timeout => StatusCode::GATEWAY_TIMEOUT,
        }
    }
}

/// An error response of the host itself.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct Refusal {
    pub(super) reason: Reason,
    pub(super) detail: String,
    /// Time after which the caller may retry.
    pub(super) retry_after: Option<Duration>,
}

impl Refusal {
    pub(super) fn new(reason: Reason, detail: impl Into<String>) -> Self {
        Self { reason, detail: detail.into(), retry_after: None }
    }

    /// Refuses a request that is held back for some time, as equal ones crashed targets.
    pub(super) fn held_back(wait: Duration) -> Self {
        Self::new(Reason::HeldBack, "requests like this one took targets down").retry_after(wait)
    }

    pub(super) fn retry_after(mut self, wait: Duration) -> Self {
        self.retry_after = Some(wait.max(MIN_RETRY_AFTER));
        self
    }

    /// Returns the response for the caller.
    pub(super) fn response(&self) -> Response<Body> {
        let problem = json!({ "reason": self.reason.as_str(), "detail": self.detail });
        let mut response = json_response(Bytes::from(problem.to_string()));
        *response.status_mut() = self.reason.status();
        if let Some(wait) = self.retry_after {
            let seconds = format!("{:.3}", wait.as_secs_f64());
            if let Ok(value) = HeaderValue::from_str(&seconds) {
                response.headers_mut().insert(RETRY_AFTER, value);
            }
        }
        response
    }
}

/// Returns a response with a JSON body.
pub(super) fn json_response(bytes: Bytes) -> Response<Body> {
    let mut response = Response::new(full(bytes));
    let json = HeaderValue::from_static("application/json");
    response.headers_mut().insert(CONTENT_TYPE, json);
    response
}

/// Returns a body of known length.
pub(super) fn full(bytes: Bytes) -> Body {
    Full::new(bytes).map_err(|never| match never {}).boxed_unsync()
}
