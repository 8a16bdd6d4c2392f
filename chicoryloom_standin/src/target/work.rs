//! Request processing of a target.

use std::convert::Infallible;
use std::io;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use chicoryloom_wire::header;
use futures::StreamExt;
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

use super::health;
use super::journal::Outcome;
use super::journal::Run;
use super::server::State;
use super::switches::Switches;
use crate::content::Content;

/// Body of a response.
pub(super) type Body = BoxBody<Bytes, io::Error>;

/// Time for which a hanging request gets no response.
const HANG_DURATION: Duration = Duration::from_secs(3600);
/// Pause before a truncated response ends, so that its first half is sent.
const PAUSE_BEFORE_CUT: Duration = Duration::from_millis(20);
/// Request identifier in a response that `cross_share` affects.
const CROSSED_ID: &str = "another-request";

/// Records the outcome of a run when dropped; cancelled unless another outcome was set.
struct JournalEntry<'a> {
    state: &'a State,
    index: usize,
    outcome: Outcome,
}

impl Drop for JournalEntry<'_> {
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
        "/health" => health::health(&state).await,
        "/load" => health::load(&state),
        _ => run(request, &state).await,
    };
    Ok(response)
}

async fn run(request: Request<Incoming>, state: &State) -> Response<Body> {
    let index = state.journal.start(journal_run(&request, state));
    let mut entry = JournalEntry { state, index, outcome: Outcome::Cancelled };
    let switches = state.switches();
    if !switches.die_on.is_empty() && request.uri().path().contains(&switches.die_on) {
        state.go_down();
        tokio::time::sleep(HANG_DURATION).await;
    }
    let deadline = switches.deadlines.then(|| deadline(request.headers())).flatten();
    let Some(slot) = acquire_slot(state, &switches, deadline).await else {
        entry.outcome = Outcome::Shed;
        return shed(&switches);
    };
    let faulty = switches.fault_is_active(request.uri().path(), state.elapsed_ms());
    let (parts, body) = request.into_parts();
    let Ok(body) = body.collect().await else {
        return plain_response(StatusCode::BAD_REQUEST, String::new());
    };
    execute(&switches, state, faulty).await;
    if faulty && occurs(switches.fail_share) {
        entry.outcome = Outcome::Failed;
        return plain_response(StatusCode::INTERNAL_SERVER_ERROR, String::new());
    }
    entry.outcome = Outcome::Done;
    drop(slot);
    let cut = faulty && occurs(switches.cut_share);
    let mut response = match requested_content(parts.uri.path()) {
        Some((content, length)) => stream_chunks(content, length, cut),
        None => {
            let text = echo(&parts, &body.to_bytes());
            let length = text.len() as u64;
            let chunks: Vec<_> = text.chunks(text.len().div_ceil(2)).map(<[u8]>::to_vec).collect();
            stream_chunks(chunks.into_iter(), length, cut)
        }
    };
    set_response_headers(&mut response, &parts.headers, &switches, faulty);
    response
}

/// Converts the time left in the deadline header to an instant.
fn deadline(headers: &HeaderMap) -> Option<Instant> {
    let left = headers.get(header::DEADLINE_MS)?.to_str().ok()?.parse().ok()?;
    Instant::now().checked_add(Duration::from_millis(left))
}

/// Waits for a slot, or returns `None` if the target sheds.
///
/// A request is shed on arrival if the target estimates that it can't end before its deadline,
/// and after the wait for a slot if its deadline has passed by then.
async fn acquire_slot<'a>(
    state: &'a State,
    switches: &Switches,
    deadline: Option<Instant>,
) -> Option<SemaphorePermit<'a>> {
    if switches.shed {
        return None;
    }
    let estimate = state.slots.estimate(Duration::from_millis(switches.service_ms));
    if deadline.is_some_and(|deadline| Instant::now() + estimate > deadline) {
        return None;
    }
    let slot = state.slots.acquire(switches.queue).await?;
    let late = deadline.is_some_and(|deadline| Instant::now() > deadline);
    (!late).then_some(slot)
}

async fn execute(switches: &Switches, state: &State, faulty: bool) {
    if faulty && occurs(switches.hang_share) {
        tokio::time::sleep(HANG_DURATION).await;
    }
    let mut factor = if faulty { switches.slow_factor } else { 1.0 };
    if state.is_cold() {
        factor *= switches.cold_factor;
    }
    if switches.service_ms > 0 {
        // Even a sleep of zero length would wait for the next tick of the timer.
        tokio::time::sleep(Duration::from_millis(switches.service_ms).mul_f64(factor)).await;
    }
}

fn occurs(share: f64) -> bool {
    share > 0.0 && rand::rng().random_bool(share.min(1.0))
}

fn journal_run(request: &Request<Incoming>, state: &State) -> Run {
    let text = |value: &http::HeaderValue| String::from_utf8_lossy(value.as_bytes()).into_owned();
    let headers = request.headers();
    Run {
        method: request.method().to_string(),
        path: request.uri().to_string(),
        workspace: headers.get(header::WORKSPACE).map(text).unwrap_or_default(),
        headers: headers.iter().map(|(name, value)| (name.to_string(), text(value))).collect(),
        at_ms: state.elapsed_ms(),
        outcome: Outcome::Running,
    }
}

/// Parses the path `/bytes/{seed}/{length}`.
fn requested_content(path: &str) -> Option<(Content, u64)> {
    let (seed, length) = path.strip_prefix("/bytes/")?.split_once('/')?;
    let length = length.parse().ok()?;
    Some((Content::new(seed.parse().ok()?, length), length))
}

/// Responds with the chunks of a body; with `cut`, fails after about half of its bytes.
fn stream_chunks<I>(chunks: I, length: u64, cut: bool) -> Response<Body>
where
    I: Iterator<Item = Vec<u8>> + Send + Sync + 'static,
{
    let keep = if cut { length / 2 } else { length };
    let mut sent = 0;
    let chunks = chunks.map(move |chunk| {
        if sent >= keep && cut {
            return Err(io::Error::other("response truncated by an injected fault"));
        }
        sent += chunk.len() as u64;
        Ok(Frame::data(Bytes::from(chunk)))
    });
    let chunks = stream::iter(chunks).then(async |chunk| {
        if chunk.is_err() {
            // Without a pause, the first half would be dropped with the connection.
            tokio::time::sleep(PAUSE_BEFORE_CUT).await;
        }
        chunk
    });
    let body = BodyExt::boxed(StreamBody::new(chunks));
    Response::builder()
        .header(http::header::CONTENT_LENGTH, length)
        .body(body)
        .expect("a length is a valid header")
}

fn echo(parts: &http::request::Parts, body: &Bytes) -> Vec<u8> {
    let value = json!({
        "method": parts.method.as_str(),
        "path": parts.uri.to_string(),
        "workspace": parts.headers.get(header::WORKSPACE).and_then(|value| value.to_str().ok()),
        "body": String::from_utf8_lossy(body),
    });
    value.to_string().into_bytes()
}

fn shed(switches: &Switches) -> Response<Body> {
    let mut response = plain_response(StatusCode::SERVICE_UNAVAILABLE, String::new());
    response.headers_mut().insert(header::NOT_RUN, http::HeaderValue::from_static("1"));
    if switches.draining {
        response.headers_mut().insert(header::DRAINING, http::HeaderValue::from_static("1"));
    }
    response
}

fn set_response_headers(
    response: &mut Response<Body>,
    request: &HeaderMap,
    switches: &Switches,
    faulty: bool,
) {
    let crossed = faulty && occurs(switches.cross_share);
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

pub(super) fn plain_response(status: StatusCode, text: String) -> Response<Body> {
    let body = Full::new(Bytes::from(text)).map_err(|never| match never {}).boxed();
    let mut response = Response::new(body);
    *response.status_mut() = status;
    response
}
