//! Checks on a request's size and form.
//!
//! Before these checks, the HTTP library refuses conflicting content lengths and drops a content
//! length that comes with a transfer encoding.

use chicoryloom_wire::caller::Code;
use chicoryloom_wire::caller::Refusal;
use http::Method;
use http::Request;
use http::header::UPGRADE;
use hyper::body::Body;

use crate::config;

/// Bytes of a header line other than its name and value.
const HEADER_LINE_OVERHEAD: usize = 4;

/// Refuses a request that is too large, malformed, or asks for another protocol.
pub(super) fn check<B: Body>(
    request: &Request<B>,
    settings: &config::proxy::Proxy,
) -> Result<(), Refusal> {
    let headers = request.headers();
    if head_size(request) > settings.header_bytes {
        let detail = format!("the head is longer than {} bytes", settings.header_bytes);
        return Err(Refusal::not_run(Code::Header, detail));
    }
    if request.method() == Method::CONNECT {
        return Err(malformed("CONNECT is not served"));
    }
    if headers.contains_key(UPGRADE) {
        return Err(malformed("a change of protocol is not served"));
    }
    // For a body of announced length, the lower bound is that length.
    if request.body().size_hint().lower() > settings.body_bytes {
        return Err(too_long(settings.body_bytes));
    }
    Ok(())
}

/// Returns the refusal of a request whose announced body is too long.
fn too_long(bound: u64) -> Refusal {
    Refusal::not_run(Code::Bound, format!("the body is longer than {bound} bytes"))
}

fn malformed(detail: &str) -> Refusal {
    Refusal::not_run(Code::Malformed, detail)
}

fn head_size<B>(request: &Request<B>) -> usize {
    let uri = request.uri();
    let target = uri.path_and_query().map_or(0, |path| path.as_str().len());
    let authority = uri.authority().map_or(0, |authority| authority.as_str().len());
    let lines = request.headers().iter();
    let lines = lines.map(|(name, value)| name.as_str().len() + value.len() + HEADER_LINE_OVERHEAD);
    target + authority + lines.sum::<usize>()
}
