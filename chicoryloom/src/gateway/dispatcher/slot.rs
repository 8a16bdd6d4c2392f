//! Slots of requests at targets.

use std::fmt;
use std::sync::Arc;
use std::time::Duration;

use chicoryloom_policy::Moment;
use chicoryloom_policy::dispatch::Candidate;
use chicoryloom_policy::gray::Standing;
use chicoryloom_policy::id;
use serde_json::Value;
use serde_json::json;

use super::Dispatcher;
use super::Endpoint;

/// Reasons for the choice of a request's target.
#[derive(Clone, Debug)]
pub(in crate::gateway) struct Choice {
    pub(in crate::gateway) target: id::Instance,
    pub(super) candidate: Candidate,
    pub(super) waited: Duration,
}

impl Choice {
    /// Returns the choice for an event.
    pub(in crate::gateway) fn to_json(&self) -> Value {
        let Candidate { in_flight, near, standing, risk, evidence_age, due_for, .. } =
            self.candidate;
        let standing = match standing {
            Standing::InUse => "in use",
            Standing::Spare => "spare",
            Standing::Trial(_) => "trial",
            Standing::HeldBack => "held back",
        };
        json!({
            "target": self.target.as_str(), "standing": standing, "due": due_for.is_some(), "near": near,
            "risk": (risk * 1000.0).round() / 1000.0, "in_flight": in_flight,
            "evidence_age_ms": evidence_age.map(|age| age.as_millis() as u64),
            "waited_ms": self.waited.as_millis() as u64,
        })
    }
}

/// Slot of a request at a target; freed when dropped.
pub(in crate::gateway) struct Slot {
    pub(in crate::gateway) endpoint: Arc<Endpoint>,
    pub(in crate::gateway) choice: Box<Choice>,
    /// When the target was chosen.
    pub(in crate::gateway) assigned: Moment,
    pub(super) dispatcher: Arc<Dispatcher>,
    /// Whether the slot was freed already, by code that holds the lock.
    pub(super) is_released: bool,
}

impl fmt::Debug for Slot {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "Slot {{ {} }}", self.endpoint.target.instance)
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        if self.is_released {
            return;
        }
        self.dispatcher.lock().in_flight.end(&self.endpoint.target.instance);
        self.dispatcher.changed.notify_one();
        self.dispatcher.dispatch_waiting(&self.endpoint.target.service);
    }
}
