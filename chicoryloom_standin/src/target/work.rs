//! What a target does with one request.

use std::convert::Infallible;
use std::io;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use chicoryloom_wire::header;
use futures::stream;
use http::HeaderMap;
use http::Request;
use http::Response;
use http::StatusCode;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::StreamBody;
use http_body_util::combinators::BoxBody;
use hyper::body::Frame;
use hyper::body::Incoming;
use rand::Rng;
use serde_json::json;
use tokio::sync::SemaphorePermit;

use super::journal::Outcome;
use super::journal::Run;
use super::server::State;
use super::switches::Health;
use super::switches::Switches;
use crate::content::Content;

/// Body of an answer.
type Body = BoxBody<Bytes, io::Error>;

/// Time without an answer of a request that hangs.
const HANG: Duration = Duration::from_secs(3600);
/// Identifier echoed by a crossed answer.
const CROSSED_ID: &str = "another-request";

/// Marks a run as cancelled unless it ends otherwise.
struct Entry<'a> {
    state: &'a State,
    index: usize,
    outcome: Outcome,
}

impl Drop for Entry<'_> {
    fn drop(&mut self) {
        self.state.journal.end(self.index, self.outcome);
    }
}

/// Answers one request.
pub(super) async fn answer(
    request: Request<Incoming>,
    state: Arc<State>,
) -> Result<Response<Body>, Infallible> {
    let response = match request.uri().path() {
        "/health" => health(&state).await,
        "/load" => load(&state),
        _ => run(request, &state).await,
    };
    Ok(response)
}

async fn health(state: &State) -> Response<Body> {
    let switches = state.switches();
    state.lock_counts().probes += 1;
    let _slot = state.slots.acquire().await;
    tokio::time::sleep(Duration::from_millis(switches.probe_ms)).await;
    let well = match switches.health {
        Health::Well => true,
        Health::Sick => false,
        Health::True => !(switches.has_fault() && switches.fault_is_on("", state.at_ms())),
    };
    let status = if well { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE };
    plain(status, String::new())
}

fn load(state: &State) -> Response<Body> {
    let free = state.slots.available_permits();
    plain(StatusCode::OK, json!({ "slots": state.switches().slots, "free": free }).to_string())
}

async fn run(request: Request<Incoming>, state: &State) -> Response<Body> {
    let index = state.journal.start(record(&request, state));
    let mut entry = Entry { state, index, outcome: Outcome::Cancelled };
    let switches = state.switches();
    if !switches.die_on.is_empty() && request.uri().path().contains(&switches.die_on) {
        state.die();
        tokio::time::sleep(HANG).await;
    }
    let Some(slot) = slot(state, &switches).await else {
        entry.outcome = Outcome::Shed;
        return shed(&switches);
    };
    let faulty = switches.fault_is_on(request.uri().path(), state.at_ms());
    let (parts, body) = request.into_parts();
    let Ok(body) = body.collect().await else {
        return plain(StatusCode::BAD_REQUEST, String::new());
    };
    work(&switches, state, faulty).await;
    if faulty && draw(switches.fail_share) {
        entry.outcome = Outcome::Failed;
        return plain(StatusCode::INTERNAL_SERVER_ERROR, String::new());
    }
    entry.outcome = Outcome::Done;
    drop(slot);
    let mut response = match content(parts.uri.path()) {
        Some((content, length)) => {
            stream_content(content, length, faulty && draw(switches.cut_share))
        }
        None => echo(&parts, &body.to_bytes()),
    };
    mark(&mut response, &parts.headers, &switches, faulty);
    response
}

/// Waits for a slot, or returns `None` if the target sheds.
async fn slot<'a>(state: &'a State, switches: &Switches) -> Option<SemaphorePermit<'a>> {
    if switches.shed {
        return None;
    }
    if let Ok(slot) = state.slots.try_acquire() {
        return Some(slot);
    }
    if switches.queue == 0 {
        return None;
    }
    state.slots.acquire().await.ok()
}

async fn work(switches: &Switches, state: &State, faulty: bool) {
    if faulty && draw(switches.hang_share) {
        tokio::time::sleep(HANG).await;
    }
    let mut factor = if faulty { switches.slow_factor } else { 1.0 };
    if state.is_cold() {
        factor *= switches.cold_factor;
    }
    tokio::time::sleep(Duration::from_millis(switches.service_ms).mul_f64(factor)).await;
}

fn draw(share: f64) -> bool {
    share > 0.0 && rand::rng().random_bool(share.min(1.0))
}

fn record(request: &Request<Incoming>, state: &State) -> Run {
    let text = |value: &http::HeaderValue| String::from_utf8_lossy(value.as_bytes()).into_owned();
    let headers = request.headers();
    Run {
        method: request.method().to_string(),
        path: request.uri().to_string(),
        workspace: headers.get(header::WORKSPACE).map(text).unwrap_or_default(),
        headers: headers.iter().map(|(name, value)| (name.to_string(), text(value))).collect(),
        at_ms: state.at_ms(),
        outcome: Outcome::Running,
    }
}

/// Reads `/bytes/{seed}/{length}`.
fn content(path: &str) -> Option<(Content, u64)> {
    let (seed, length) = path.strip_prefix("/bytes/")?.split_once('/')?;
    let length = length.parse().ok()?;
    Some((Content::new(seed.parse().ok()?, length), length))
}

fn stream_content(content: Content, length: u64, cut: bool) -> Response<Body> {
    let keep = if cut { length / 2 } else { length };
    let mut sent = 0;
    let pieces = content.map(move |piece| {
        if sent >= keep && cut {
            return Err(io::Error::other("answer cut on purpose"));
        }
        sent += piece.len() as u64;
        Ok(Frame::data(Bytes::from(piece)))
    });
    let body = BodyExt::boxed(StreamBody::new(stream::iter(pieces)));
    Response::builder()
        .header(http::header::CONTENT_LENGTH, length)
        .body(body)
        .expect("a length is a valid header")
}

fn echo(parts: &http::request::Parts, body: &Bytes) -> Response<Body> {
    let value = json!({
        "method": parts.method.as_str(),
        "path": parts.uri.to_string(),
        "workspace": parts.headers.get(header::WORKSPACE).and_then(|value| value.to_str().ok()),
        "body": String::from_utf8_lossy(body),
    });
    plain(StatusCode::OK, value.to_string())
}

fn shed(switches: &Switches) -> Response<Body> {
    let mut response = plain(StatusCode::SERVICE_UNAVAILABLE, String::new());
    response.headers_mut().insert(header::NOT_RUN, http::HeaderValue::from_static("1"));
    if switches.draining {
        response.headers_mut().insert(header::DRAINING, http::HeaderValue::from_static("1"));
    }
    response
}

fn mark(response: &mut Response<Body>, request: &HeaderMap, switches: &Switches, faulty: bool) {
    let crossed = faulty && draw(switches.cross_share);
    let id = match request.get(header::REQUEST_ID) {
        Some(_) if crossed => Some(http::HeaderValue::from_static(CROSSED_ID)),
        id => id.cloned(),
    };
    if let Some(id) = id {
        response.headers_mut().insert(header::REQUEST_ID, id);
    }
    if switches.draining {
        response.headers_mut().insert(header::DRAINING, http::HeaderValue::from_static("1"));
    }
}

fn plain(status: StatusCode, text: String) -> Response<Body> {
    let body = Full::new(Bytes::from(text)).map_err(|never| match never {}).boxed();
    let mut response = Response::new(body);
    *response.status_mut() = status;
    response
}
