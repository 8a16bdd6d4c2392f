//! The endpoints of a target that say how it fares, truly or not.

use std::time::Duration;

use http::Response;
use http::StatusCode;
use serde_json::json;

use super::server::State;
use super::switches::Health;
use super::switches::Load;
use super::work::Body;
use super::work::plain;

/// Answers a probe, which holds a slot for a while.
pub(super) async fn health(state: &State) -> Response<Body> {
    state.lock_counts().probes += 1;
    let _slot = state.slots.acquire_any().await;
    tokio::time::sleep(Duration::from_millis(state.switches().probe_ms)).await;
    let known = state.lagging_switches();
    let at_ms = state.at_ms().saturating_sub(known.lag_ms);
    let well = match known.health {
        Health::Well => true,
        Health::Sick => false,
        Health::True => !(known.has_fault() && known.fault_is_on(&known.fault_prefix, at_ms)),
    };
    let status = if well { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE };
    plain(status, String::new())
}

/// Tells how many slots are free.
pub(super) fn load(state: &State) -> Response<Body> {
    let switches = state.switches();
    let free = match switches.load {
        Load::True => state.slots.free(),
        Load::Idle => switches.slots as usize,
        Load::Busy => 0,
    };
    plain(StatusCode::OK, json!({ "slots": switches.slots, "free": free }).to_string())
}
