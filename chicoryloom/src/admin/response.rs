//! Responses of the administration API.

use chicoryloom_policy::id;
use chicoryloom_wire::document;
use http::HeaderValue;
use http::StatusCode;
use http::header::ETAG;
use http::header::WWW_AUTHENTICATE;
use serde::Serialize;
use serde_json::Value;
use serde_json::json;
use warp::Reply;
use warp::reply::Response;

use super::access::Unauthorized;
use super::change::Error;

/// Returns a value as a JSON response.
pub(super) fn json<T: Serialize>(value: &T) -> Response {
    warp::reply::json(value).into_response()
}

/// Sets the `ETag` of a response to the version of an object.
pub(super) fn with_etag(mut response: Response, version: id::Revision) -> Response {
    let tag = HeaderValue::from_str(&format!("\"{version}\""));
    response.headers_mut().insert(ETAG, tag.expect("a number is a valid header"));
    response
}

/// Returns the response of a call, or the error response if it failed.
pub(super) fn reply(result: Result<Response, Error>) -> Response {
    result.unwrap_or_else(|error| error_response(&error))
}

fn error_response(error: &Error) -> Response {
    match error {
        Error::Invalid(reason) => problem(StatusCode::UNPROCESSABLE_ENTITY, "invalid", reason),
        Error::InvalidDocument(faults) => {
            let mut body = body(StatusCode::UNPROCESSABLE_ENTITY, "invalid", &error.summary());
            body["faults"] = faults_json(faults);
            with_status(StatusCode::UNPROCESSABLE_ENTITY, &body)
        }
        Error::Unversioned => {
            problem(StatusCode::PRECONDITION_REQUIRED, "unversioned", &error.summary())
        }
        Error::Unknown => problem(StatusCode::NOT_FOUND, "unknown", &error.summary()),
        Error::Conflict { version, value } => {
            let mut body = body(StatusCode::CONFLICT, "conflict", &error.summary());
            body["version"] = json!(version);
            body["value"] = json!(value);
            with_etag(with_status(StatusCode::CONFLICT, &body), *version)
        }
        Error::Store(_) => problem(StatusCode::SERVICE_UNAVAILABLE, "platform", &error.summary()),
    }
}

/// Returns the faults of a document as JSON.
pub(super) fn faults_json(error: &document::Error) -> Value {
    match error {
        document::Error::Yaml(error) => json!([{ "line": error.line, "reason": error.reason }]),
        document::Error::Faults(faults) => faults
            .iter()
            .map(|fault| json!({ "field": fault.field, "reason": fault.reason }))
            .collect(),
    }
}

/// Returns the response to a request that no route accepted.
pub(super) fn rejection_response(rejection: &warp::Rejection) -> Response {
    if rejection.find::<Unauthorized>().is_some() {
        let detail = "show an operator token: authorization: Bearer TOKEN";
        let mut response = problem(StatusCode::UNAUTHORIZED, "token", detail);
        response.headers_mut().insert(WWW_AUTHENTICATE, HeaderValue::from_static("Bearer"));
        return response;
    }
    if rejection.is_not_found() {
        return problem(StatusCode::NOT_FOUND, "unknown", "no such resource");
    }
    if let Some(error) = rejection.find::<warp::filters::body::BodyDeserializeError>() {
        return problem(StatusCode::UNPROCESSABLE_ENTITY, "invalid", &error.to_string());
    }
    if rejection.find::<warp::reject::PayloadTooLarge>().is_some() {
        return problem(StatusCode::PAYLOAD_TOO_LARGE, "too-large", "the body is too long");
    }
    if rejection.find::<warp::reject::LengthRequired>().is_some() {
        return problem(StatusCode::LENGTH_REQUIRED, "length", "send a content-length");
    }
    if rejection.find::<warp::reject::MethodNotAllowed>().is_some() {
        let detail = "the resource does not take this method";
        return problem(StatusCode::METHOD_NOT_ALLOWED, "method", detail);
    }
    problem(StatusCode::BAD_REQUEST, "malformed", "the request can't be read")
}

fn problem(status: StatusCode, code: &str, detail: &str) -> Response {
    with_status(status, &body(status, code, detail))
}

fn body(status: StatusCode, code: &str, detail: &str) -> Value {
    json!({ "status": status.as_u16(), "code": code, "detail": detail })
}

fn with_status(status: StatusCode, body: &Value) -> Response {
    warp::reply::with_status(warp::reply::json(body), status).into_response()
}
