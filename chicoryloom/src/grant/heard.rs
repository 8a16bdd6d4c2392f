//! When other hosts were last heard of.

use std::collections::HashMap;
use std::sync::RwLock;
use std::time::Duration;

use chicoryloom_policy::Moment;
use chicoryloom_policy::id;

/// Time for which a frame shows that its sender is alive.
const LATELY: Duration = Duration::from_secs(1);

/// The latest frame of each host.
#[derive(Debug, Default)]
pub(super) struct Heard(RwLock<HashMap<id::Host, Moment>>);

impl Heard {
    /// Notes a frame from a host.
    pub(super) fn note(&self, host: &id::Host, now: Moment) {
        let mut heard = self.0.write().expect("no holder of the lock panics");
        match heard.get_mut(host) {
            Some(at) => *at = now,
            None => {
                heard.insert(host.clone(), now);
            }
        }
    }

    /// Tells whether a host was heard of lately.
    pub(super) fn lately(&self, host: &id::Host, now: Moment) -> bool {
        let heard = self.0.read().expect("no holder of the lock panics");
        heard.get(host).is_some_and(|at| now.since(*at) < LATELY)
    }
}
