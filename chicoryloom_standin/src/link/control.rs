//! HTTP control API of a link: opens ports, and reads and replaces the fault rules.

use std::sync::Arc;

use http::StatusCode;
use warp::Filter;
use warp::Reply;
use warp::filters::BoxedFilter;
use warp::reply::Response;

use super::rules::Port;
use super::rules::Protocol;
use super::rules::Rule;
use super::rules::State;
use super::tcp;
use super::udp;

/// Returns the control routes of a link.
pub(super) fn routes(state: Arc<State>) -> BoxedFilter<(impl Reply,)> {
    let state = warp::any().map(move || state.clone()).boxed();
    let ports = warp::path!("standin" / "ports")
        .and(warp::post())
        .and(warp::body::json::<Port>())
        .and(state.clone())
        .then(open);
    let path = warp::path!("standin" / "rules");
    let read = path
        .and(warp::get())
        .and(state.clone())
        .map(|state: Arc<State>| warp::reply::json(&state.rules()).into_response());
    let write = path.and(warp::put()).and(warp::body::json::<Vec<Rule>>()).and(state).map(
        |rules, state: Arc<State>| {
            state.set_rules(rules);
            StatusCode::OK.into_response()
        },
    );
    ports.or(read).unify().or(write).unify().boxed()
}

/// Opens a port and responds with the address it is bound to.
async fn open(port: Port, state: Arc<State>) -> Response {
    let opened = match port.protocol {
        Protocol::Tcp => tcp::open(port, state).await,
        Protocol::Udp => udp::open(port, state).await,
    };
    match opened {
        Ok(listen) => warp::reply::json(&Port { listen, ..port }).into_response(),
        Err(error) => {
            let status = StatusCode::CONFLICT;
            warp::reply::with_status(error.to_string(), status).into_response()
        }
    }
}
