//! HTTP control API of a target: its switches, journal and counts.

use std::sync::Arc;

use http::StatusCode;
use serde::Deserialize;
use warp::Filter;
use warp::Reply;
use warp::filters::BoxedFilter;

use super::server::State;
use super::switches::Switches;

#[derive(Debug, Deserialize)]
struct JournalQuery {
    #[serde(default)]
    from: usize,
}

/// Returns the control routes of a target.
pub(super) fn routes(state: Arc<State>) -> BoxedFilter<(impl Reply,)> {
    let state = warp::any().map(move || state.clone()).boxed();
    let path = warp::path!("standin" / "switches");
    let read = path
        .and(warp::get())
        .and(state.clone())
        .map(|state: Arc<State>| warp::reply::json(&state.switches()).into_response());
    let write = path.and(warp::put()).and(warp::body::json::<Switches>()).and(state.clone()).map(
        |switches, state: Arc<State>| {
            state.set_switches(switches);
            StatusCode::OK.into_response()
        },
    );
    let journal = warp::path!("standin" / "journal")
        .and(warp::get())
        .and(warp::query::<JournalQuery>())
        .and(state.clone())
        .map(|query: JournalQuery, state: Arc<State>| {
            warp::reply::json(&state.journal.runs_from(query.from)).into_response()
        });
    let counts = warp::path!("standin" / "counts")
        .and(warp::get())
        .and(state)
        .map(|state: Arc<State>| warp::reply::json(&state.counts()).into_response());
    read.or(write).unify().or(journal).unify().or(counts).unify().boxed()
}
