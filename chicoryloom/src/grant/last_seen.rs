//! When other hosts were last heard of.

use std::collections::HashMap;
use std::sync::RwLock;
use std::time::Duration;

use chicoryloom_policy::Moment;
use chicoryloom_policy::id;

/// Time for which a frame shows that its sender is alive.
const RECENT: Duration = Duration::from_secs(1);

/// The latest frame of each host.
#[derive(Debug, Default)]
pub(super) struct LastSeen(RwLock<HashMap<id::Host, Moment>>);

impl LastSeen {
    /// Notes a frame from a host.
    pub(super) fn record(&self, host: &id::Host, now: Moment) {
        let mut last_seen = self.0.write().expect("no holder of the lock panics");
        match last_seen.get_mut(host) {
            Some(at) => *at = now,
            None => {
                last_seen.insert(host.clone(), now);
            }
        }
    }

    /// Tells whether a host was heard of lately.
    pub(super) fn is_recent(&self, host: &id::Host, now: Moment) -> bool {
        let last_seen = self.0.read().expect("no holder of the lock panics");
        last_seen.get(host).is_some_and(|at| now.since(*at) < RECENT)
    }
}
