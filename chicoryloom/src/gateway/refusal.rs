//! Answers that a gateway host gives by itself.

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

/// Shortest time that a caller is asked to stay away; a shorter one only adds load.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(100);

/// Why a request got no answer of a target.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Reason {
    /// The request's form can't be served; it has not run.
    Malformed,
    /// Its head is too long; it has not run.
    HeadTooLong,
    /// Its body is too long; it has not run.
    BodyTooLong,
    /// Its body did not come in time; it has not run.
    SlowBody,
    /// The key is missing, unknown or withdrawn; it has not run.
    Key,
    /// No route takes it; it has not run.
    NoRoute,
    /// The host knows no configuration, or too old a one to tell; it has not run.
    NoConfiguration,
    /// The workspace is past its rate and burst; it has not run.
    Rate,
    /// No target could take it in its time; it has not run.
    NoTargetInTime,
    /// Requests like it took targets down; it has not run.
    HeldBack,
    /// A target may have run it and its answer was lost.
    AnswerLost,
    /// A target may have run it and did not answer in time.
    Timeout,
}

impl Reason {
    /// Returns the name for logs and metrics.
    pub(super) const fn as_str(self) -> &'static str {
        match self {
            Self::Malformed => "malformed",
            Self::HeadTooLong => "head-too-long",
            Self::BodyTooLong => "body-too-long",
            Self::SlowBody => "slow-body",
            Self::Key => "key",
            Self::NoRoute => "no-route",
            Self::NoConfiguration => "no-configuration",
            Self::Rate => "rate",
            Self::NoTargetInTime => "no-target-in-time",
            Self::HeldBack => "held-back",
            Self::AnswerLost => "answer-lost",
            Self::Timeout => "timeout",
        }
    }

    /// Returns the status; 408, 429 and 503 promise that the request has not run.
    const fn status(self) -> StatusCode {
        match self {
            Self::Malformed => StatusCode::BAD_REQUEST,
            Self::HeadTooLong => StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE,
            Self::BodyTooLong => StatusCode::PAYLOAD_TOO_LARGE,
            Self::SlowBody => StatusCode::REQUEST_TIMEOUT,
            Self::Key => StatusCode::UNAUTHORIZED,
            Self::NoRoute => StatusCode::NOT_FOUND,
            Self::NoConfiguration | Self::NoTargetInTime | Self::HeldBack => {
                StatusCode::SERVICE_UNAVAILABLE
            }
            Self::Rate => StatusCode::TOO_MANY_REQUESTS,
            Self::AnswerLost => StatusCode::BAD_GATEWAY,
            Self::Timeout => StatusCode::GATEWAY_TIMEOUT,
        }
    }
}

/// An answer of the host's own.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct Refusal {
    pub(super) reason: Reason,
    pub(super) detail: String,
    /// Time after which the caller may come back.
    pub(super) retry_after: Option<Duration>,
}

impl Refusal {
    pub(super) fn new(reason: Reason, detail: impl Into<String>) -> Self {
        Self { reason, detail: detail.into(), retry_after: None }
    }

    pub(super) fn retry_after(mut self, wait: Duration) -> Self {
        self.retry_after = Some(wait.max(MIN_RETRY_AFTER));
        self
    }

    /// Returns the answer to the caller.
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

/// Returns an answer that holds JSON.
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
