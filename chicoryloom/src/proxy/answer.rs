//! Responses that the proxy itself produces.

use bytes::Bytes;
use chicoryloom_wire::caller::Code;
use chicoryloom_wire::caller::PROBLEM_TYPE;
use chicoryloom_wire::caller::Refusal;
use chicoryloom_wire::generated::caller::Problem;
use chicoryloom_wire::header;
use http::HeaderValue;
use http::Response;
use http::StatusCode;
use http::header::CONNECTION;
use http::header::CONTENT_TYPE;
use http::header::RETRY_AFTER;
use http_body_util::BodyExt;
use http_body_util::Full;
use serde::Serialize;

use crate::target::Body;

/// Media type of responses that aren't refusals.
const JSON_TYPE: &str = "application/json";

/// Returns a JSON response.
pub(super) fn json<T: Serialize>(value: &T) -> Response<Body> {
    typed(value, JSON_TYPE)
}

/// Returns the response to a refused request.
pub(super) fn refuse(refusal: &Refusal) -> Response<Body> {
    let mut response = typed(&Problem::from(refusal), PROBLEM_TYPE);
    let status = StatusCode::from_u16(refusal.code.status());
    *response.status_mut() = status.unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    let headers = response.headers_mut();
    headers.insert(header::RUN, HeaderValue::from_static(refusal.run.as_str()));
    if let Some(wait) = refusal.retry_after {
        // The header holds whole seconds; rounding down would make callers retry too early.
        let seconds = wait.as_millis().div_ceil(1000);
        headers.insert(RETRY_AFTER, HeaderValue::from(u64::try_from(seconds).unwrap_or(u64::MAX)));
    }
    response
}

/// Returns the only response on a connection beyond the host's limit, which is then closed.
pub(super) fn refuse_connection() -> Response<Body> {
    let detail = "this host holds as many connections as it may; use another one";
    let refusal = Refusal::not_run(Code::Busy, detail).retry_after(super::SHORT_RETRY_AFTER);
    let mut response = refuse(&refusal);
    response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    response
}

fn typed<T: Serialize>(value: &T, media_type: &'static str) -> Response<Body> {
    let bytes = serde_json::to_vec(value).unwrap_or_default();
    let body = Full::new(Bytes::from(bytes)).map_err(|never| match never {}).boxed_unsync();
    let mut response = Response::new(body);
    response.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static(media_type));
    response
}
