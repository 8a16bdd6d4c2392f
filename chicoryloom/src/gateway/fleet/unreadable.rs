//! Messages of other hosts that this one can't read: they are counted, logged, and otherwise ignored.

use std::collections::BTreeMap;
use std::net::IpAddr;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use chicoryloom_policy::Moment;
use chicoryloom_policy::id;
use serde_json::json;

use crate::clock::Clock;
use crate::gateway::events::Events;
use crate::gateway::message::Fault;

/// Shortest time between two events about one sender.
const LOG_INTERVAL: Duration = Duration::from_secs(10);
/// Most senders that are told apart in that time; later ones only count.
const MAX_SENDERS: usize = 64;

/// Counts of unreadable messages.
#[derive(Debug)]
pub(in crate::gateway) struct Unreadable {
    events: Events,
    clock: Arc<dyn Clock>,
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    by_reason: BTreeMap<&'static str, u64>,
    /// When an event about each sender was last written; a sender is named by its address, as
    /// anything may stand in the datagram.
    logged: BTreeMap<IpAddr, Moment>,
    /// Messages without an event since the latest one.
    suppressed: u64,
}

impl Unreadable {
    pub(in crate::gateway) fn new(events: Events, clock: Arc<dyn Clock>) -> Self {
        Self { events, clock, state: Mutex::default() }
    }

    /// Records a message that came from an address, and names a host as its sender if that much could
    /// be read.
    pub(in crate::gateway) fn record(
        &self,
        source: SocketAddr,
        host: Option<&id::Host>,
        fault: Fault,
    ) {
        let now = self.clock.now();
        let suppressed = {
            let mut state = self.state.lock().expect("no holder of the lock panics");
            *state.by_reason.entry(fault.label()).or_default() += 1;
            if !state.is_due(source.ip(), now) {
                state.suppressed += 1;
                return;
            }
            std::mem::take(&mut state.suppressed)
        };
        let host = host.map(id::Host::as_str);
        let fields = json!({
            "source": source.to_string(), "peer": host, "reason": fault.to_string(),
            "suppressed_before": suppressed,
        });
        self.events.emit("message_unreadable", fields);
    }

    /// Returns the number of messages by reason.
    pub(in crate::gateway) fn counts(&self) -> Vec<(String, u64)> {
        let state = self.state.lock().expect("no holder of the lock panics");
        state.by_reason.iter().map(|(reason, count)| ((*reason).to_owned(), *count)).collect()
    }
}

impl State {
    fn is_due(&mut self, source: IpAddr, now: Moment) -> bool {
        self.logged.retain(|_, at| now.since(*at) < LOG_INTERVAL);
        if self.logged.contains_key(&source) || self.logged.len() >= MAX_SENDERS {
            return false;
        }
        self.logged.insert(source, now);
        true
    }
}
