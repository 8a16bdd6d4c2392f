//! HTTP routes of the platform's API and of its control API.

use std::sync::Arc;
use std::time::Duration;

use chicoryloom_wire::generated::platform::Hosts;
use chicoryloom_wire::generated::platform::Put;
use chicoryloom_wire::generated::platform::Version;
use http::StatusCode;
use serde::Deserialize;
use serde::Serialize;
use warp::Filter;
use warp::Reply;
use warp::filters::BoxedFilter;
use warp::reply::Response;

use super::state::Call;
use super::state::MAX_VALUE_BYTES;
use super::state::Refusal;
use super::state::State;
use super::state::Switches;

/// Limit on a request body: a value of the largest size, with room for the JSON around it.
const MAX_BODY_BYTES: u64 = 2 * MAX_VALUE_BYTES as u64 + 4096;
/// Longest time that a watch waits for a change.
const MAX_WATCH_WAIT: Duration = Duration::from_secs(60);
/// Time before a write whose response is to be lost ends with status 504.
const LOST_ANSWER_DELAY: Duration = Duration::from_secs(30);

#[derive(Debug, Deserialize)]
struct ChangesQuery {
    since: u64,
    #[serde(default)]
    wait_ms: u64,
}

/// Returns the routes of the platform and of its control API.
pub(super) fn routes(state: Arc<State>) -> BoxedFilter<(impl Reply,)> {
    let state = warp::any().map(move || state.clone()).boxed();
    objects(&state)
        .or(changes(&state))
        .unify()
        .or(hosts(&state))
        .unify()
        .or(standin(&state))
        .unify()
        .boxed()
}

type StateFilter = BoxedFilter<(Arc<State>,)>;

fn objects(state: &StateFilter) -> BoxedFilter<(Response,)> {
    let path = warp::path!("v1" / "objects" / String / String);
    let get = path.and(warp::get()).and(state.clone()).then(get_object);
    let body = warp::body::content_length_limit(MAX_BODY_BYTES).and(warp::body::json::<Put>());
    let put = path.and(warp::put()).and(body).and(state.clone()).then(
        |kind, name, put, state| async move { put_object(kind, name, put, false, state).await },
    );
    let body = warp::body::content_length_limit(MAX_BODY_BYTES).and(warp::body::json::<Put>());
    let delete = path.and(warp::delete()).and(body).and(state.clone()).then(
        |kind, name, put, state| async move { put_object(kind, name, put, true, state).await },
    );
    get.or(put).unify().or(delete).unify().boxed()
}

fn changes(state: &StateFilter) -> BoxedFilter<(Response,)> {
    warp::path!("v1" / "changes")
        .and(warp::get())
        .and(warp::query::<ChangesQuery>())
        .and(state.clone())
        .then(watch)
        .boxed()
}

fn hosts(state: &StateFilter) -> BoxedFilter<(Response,)> {
    warp::path!("v1" / "hosts").and(warp::get()).and(state.clone()).then(list_hosts).boxed()
}

/// Returns the control routes for tests, whose calls are neither counted nor limited.
fn standin(state: &StateFilter) -> BoxedFilter<(Response,)> {
    let hosts = warp::path!("standin" / "hosts")
        .and(warp::put())
        .and(warp::body::json::<Hosts>())
        .and(state.clone())
        .map(|hosts, state: Arc<State>| {
            state.set_hosts(hosts);
            StatusCode::OK.into_response()
        });
    let switches = warp::path!("standin" / "switches");
    let read = switches
        .and(warp::get())
        .and(state.clone())
        .map(|state: Arc<State>| json(&state.switches()));
    let write =
        switches.and(warp::put()).and(warp::body::json::<Switches>()).and(state.clone()).map(
            |switches, state: Arc<State>| {
                state.set_switches(switches);
                StatusCode::OK.into_response()
            },
        );
    let counts = warp::path!("standin" / "counts")
        .and(warp::get())
        .and(state.clone())
        .map(|state: Arc<State>| json(&state.counts()));
    let save = warp::path!("standin" / "save").and(warp::post()).and(state.clone()).map(
        |state: Arc<State>| {
            state.save();
            StatusCode::OK.into_response()
        },
    );
    let restore = warp::path!("standin" / "restore").and(warp::post()).and(state.clone()).map(
        |state: Arc<State>| {
            state.restore();
            StatusCode::OK.into_response()
        },
    );
    hosts
        .or(read)
        .unify()
        .or(write)
        .unify()
        .or(counts)
        .unify()
        .or(save)
        .unify()
        .or(restore)
        .unify()
        .boxed()
}

async fn get_object(kind: String, name: String, state: Arc<State>) -> Response {
    if let Err(refused) = state.admit(Call::Read) {
        return refusal_response(refused);
    }
    tokio::time::sleep(state.added_delay()).await;
    match state.get(&kind, &name) {
        Some(object) => json(&object),
        None => StatusCode::NOT_FOUND.into_response(),
    }
}

async fn put_object(
    kind: String,
    name: String,
    put: Put,
    deleted: bool,
    state: Arc<State>,
) -> Response {
    if let Err(refused) = state.admit(Call::Write) {
        return refusal_response(refused);
    }
    tokio::time::sleep(state.added_delay()).await;
    match state.put(&kind, &name, put, deleted) {
        Ok((version, false)) => json(&Version { version }),
        Ok((_, true)) => {
            tokio::time::sleep(LOST_ANSWER_DELAY).await;
            StatusCode::GATEWAY_TIMEOUT.into_response()
        }
        Err(refused) => refusal_response(refused),
    }
}

async fn watch(query: ChangesQuery, state: Arc<State>) -> Response {
    let wait = Duration::from_millis(query.wait_ms).min(MAX_WATCH_WAIT);
    let call = if wait.is_zero() { Call::Read } else { Call::Watch };
    if let Err(refused) = state.admit(call) {
        return refusal_response(refused);
    }
    tokio::time::sleep(state.added_delay()).await;
    let mut revision = state.subscribe();
    let newer = async {
        while state.changes_since(query.since).objects.is_empty() {
            if revision.changed().await.is_err() {
                break;
            }
        }
    };
    // A watch that times out returns an empty list.
    let _ = tokio::time::timeout(wait, newer).await;
    if state.switches().down {
        return refusal_response(Refusal::Down);
    }
    json(&state.changes_since(query.since))
}

async fn list_hosts(state: Arc<State>) -> Response {
    if let Err(refused) = state.admit(Call::Read) {
        return refusal_response(refused);
    }
    tokio::time::sleep(state.added_delay()).await;
    json(&state.hosts())
}

fn json<T: Serialize>(value: &T) -> Response {
    warp::reply::json(value).into_response()
}

fn refusal_response(refused: Refusal) -> Response {
    match refused {
        Refusal::Down => StatusCode::SERVICE_UNAVAILABLE.into_response(),
        Refusal::Limit => StatusCode::TOO_MANY_REQUESTS.into_response(),
        Refusal::TooLarge => StatusCode::PAYLOAD_TOO_LARGE.into_response(),
        Refusal::Conflict(version) => {
            warp::reply::with_status(json(&Version { version }), StatusCode::CONFLICT)
                .into_response()
        }
    }
}
