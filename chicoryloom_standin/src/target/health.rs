//! The health and load endpoints of a target, which can be switched to report falsely.

use std::time::Duration;

use http::Response;
use http::StatusCode;
use serde_json::json;

use super::server::State;
use super::switches::Health;
use super::switches::Load;
use super::work::Body;
use super::work::plain_response;

/// Responds to a health probe, which occupies a slot for `probe_ms`.
pub(super) async fn health(state: &State) -> Response<Body> {
    state.lock_counts().probes += 1;
    let _slot = state.slots.acquire_unbounded().await;
    tokio::time::sleep(Duration::from_millis(state.switches().probe_ms)).await;
    let reported = state.delayed_switches();
    let at_ms = state.elapsed_ms().saturating_sub(reported.lag_ms);
    let healthy = match reported.health {
        Health::Well => true,
        Health::Sick => false,
        Health::True => {
            !(reported.has_fault() && reported.fault_is_active(&reported.fault_prefix, at_ms))
        }
    };
    let status = if healthy { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE };
    plain_response(status, String::new())
}

/// Reports the number of slots and how many are free, as the `load` switch says.
pub(super) fn load(state: &State) -> Response<Body> {
    let switches = state.switches();
    let free = match switches.load {
        Load::True => state.slots.free(),
        Load::Idle => switches.slots as usize,
        Load::Busy => 0,
    };
    plain_response(StatusCode::OK, json!({ "slots": switches.slots, "free": free }).to_string())
}
