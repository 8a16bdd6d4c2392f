//! Rewrites headers between callers and targets.

use std::time::Duration;

use chicoryloom_policy::id;
use chicoryloom_wire::header;
use http::HeaderMap;
use http::HeaderName;
use http::HeaderValue;
use http::header::AUTHORIZATION;
use http::header::CONNECTION;
use http::header::EXPECT;
use http::header::HOST;
use http::header::TE;
use http::header::TRAILER;
use http::header::TRANSFER_ENCODING;
use http::header::UPGRADE;

use super::key;
use super::key::Redactor;
use crate::control::View;

/// Headers that concern one connection only.
const HOP_BY_HOP: [HeaderName; 8] = [
    CONNECTION,
    HeaderName::from_static("keep-alive"),
    http::header::PROXY_AUTHENTICATE,
    http::header::PROXY_AUTHORIZATION,
    TE,
    TRAILER,
    TRANSFER_ENCODING,
    UPGRADE,
];

/// Removes the headers that concern one connection only, those named by `connection` included.
pub(crate) fn strip_hop_by_hop(headers: &mut HeaderMap) {
    let named: Vec<_> = headers
        .get_all(CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse::<HeaderName>().ok())
        .collect();
    for name in named.iter().chain(&HOP_BY_HOP) {
        headers.remove(name);
    }
}

/// Marks a body without a known length as chunked: for some methods, such as GET, the HTTP library
/// sends a body of unknown length only if the header is set.
pub(crate) fn mark_chunked(headers: &mut HeaderMap) {
    headers.insert(TRANSFER_ENCODING, HeaderValue::from_static("chunked"));
}

/// Headers that could make a target use another method or path than the one checked here.
const OVERRIDE_HEADERS: [HeaderName; 5] = [
    HeaderName::from_static("x-http-method"),
    HeaderName::from_static("x-http-method-override"),
    HeaderName::from_static("x-method-override"),
    HeaderName::from_static("x-original-url"),
    HeaderName::from_static("x-rewrite-url"),
];

/// Removes all headers that hold keys, except for the authorization header.
pub(super) fn strip_keys(headers: &mut HeaderMap, view: &View) {
    let key = key::from_headers(headers).ok().flatten().map(str::to_owned);
    Redactor::new(key.as_deref(), view).strip_headers(headers);
}

/// Turns a caller's headers into those for a target.
pub(super) fn to_target(
    headers: &mut HeaderMap,
    target: id::Target,
    workspace: Option<&id::Workspace>,
    request_id: &str,
    time_left: Duration,
) {
    strip_hop_by_hop(headers);
    strip_reserved(headers);
    headers.remove(AUTHORIZATION);
    headers.remove(EXPECT);
    for name in &OVERRIDE_HEADERS {
        headers.remove(name);
    }
    set(headers, HOST, &target.to_string());
    set(headers, HeaderName::from_static(header::REQUEST_ID), request_id);
    let time_left = time_left.as_millis().to_string();
    set(headers, HeaderName::from_static(header::DEADLINE_MS), &time_left);
    if let Some(workspace) = workspace {
        set(headers, HeaderName::from_static(header::WORKSPACE), workspace.as_str());
    }
}

/// Turns a target's headers into those for a caller.
pub(super) fn to_caller(headers: &mut HeaderMap) {
    strip_hop_by_hop(headers);
    strip_reserved(headers);
}

fn strip_reserved(headers: &mut HeaderMap) {
    let reserved: Vec<_> =
        headers.keys().filter(|name| name.as_str().starts_with(header::PREFIX)).cloned().collect();
    for name in reserved {
        headers.remove(name);
    }
}

fn set(headers: &mut HeaderMap, name: HeaderName, value: &str) {
    if let Ok(value) = HeaderValue::from_str(value) {
        headers.insert(name, value);
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn key_and_reserved_headers_are_removed() {
        let mut headers = HeaderMap::new();
        for (name, value) in [
            ("authorization", "Bearer k"),
            ("connection", "x-private"),
            ("x-private", "1"),
            ("x-http-method-override", "POST"),
            ("chicory-workspace", "forged"),
            ("accept", "text/html"),
        ] {
            headers.insert(HeaderName::from_static(name), HeaderValue::from_static(value));
        }
        let workspace = "prairie".parse().unwrap();
        let target = "127.0.0.1:9".parse().unwrap();
        to_target(&mut headers, target, Some(&workspace), "r1", Duration::from_secs(1));
        let mut names: Vec<_> = headers.keys().map(HeaderName::as_str).collect();
        names.sort_unstable();
        let expected =
            ["accept", "chicory-deadline-ms", "chicory-request-id", "chicory-workspace", "host"];
        assert_eq!(names, expected);
        assert_eq!(headers["chicory-workspace"], "prairie");
    }
}
