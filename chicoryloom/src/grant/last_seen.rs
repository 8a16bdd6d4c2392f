//! When this host last received a frame from each other host.

use std::collections::HashMap;
use std::sync::RwLock;
use std::time::Duration;

use chicoryloom_policy::Moment;
use chicoryloom_policy::id;

/// Time for which a frame shows that its sender is alive.
const ALIVE_WINDOW: Duration = Duration::from_secs(1);

/// The time of the latest frame from each host.
#[derive(Debug, Default)]
pub(super) struct LastSeen(RwLock<HashMap<id::Host, Moment>>);

impl LastSeen {
    /// Records a frame from a host.
    pub(super) fn record(&self, host: &id::Host, now: Moment) {
        let mut last_seen = self.0.write().expect("no holder of the lock panics");
        match last_seen.get_mut(host) {
            Some(at) => *at = now,
            None => {
                last_seen.insert(host.clone(), now);
            }
        }
    }

    /// Returns whether a frame from a host arrived recently.
    pub(super) fn is_recent(&self, host: &id::Host, now: Moment) -> bool {
        let last_seen = self.0.read().expect("no holder of the lock panics");
        last_seen.get(host).is_some_and(|at| now.since(*at) < ALIVE_WINDOW)
    }
}
