//! Targets that broke a connection on a request, before it is known why.
//!
//! Answers the load of many hosts that send to one target: until the host that lost a request has
//! shown that its link works, the others would lose theirs to the same target. So it tells them at
//! once, and they hold the target back for the time that a proof takes. A host whose own link fails
//! loses requests to many targets, and its word stops counting as soon as it names more than a few.

use std::collections::HashMap;
use std::time::Duration;

use crate::Moment;
use crate::id;

/// Time for which a target is held back on another host's word. Most losses are proved in it.
pub const HOLD: Duration = Duration::from_millis(500);
/// Targets that a host may name within [`HOLD`] before its word stops counting.
const MAX_NAMED: usize = 2;

/// Targets that each host suspects.
#[derive(Clone, Debug, Default)]
pub struct Suspicions {
    /// Targets that a host named within [`HOLD`], at most one more than [`MAX_NAMED`], each with the
    /// latest time.
    by_host: HashMap<id::Host, Vec<(id::Instance, Moment)>>,
}

impl Suspicions {
    /// Records that a host lost a request at a target; returns whether its word counts.
    pub fn record(&mut self, host: &id::Host, target: &id::Instance, now: Moment) -> bool {
        self.by_host.retain(|_, named| {
            named.retain(|(_, at)| now.since(*at) < HOLD);
            !named.is_empty()
        });
        let named = self.by_host.entry(host.clone()).or_default();
        if let Some((_, at)) = named.iter_mut().find(|(known, _)| known == target) {
            *at = now;
        } else if named.len() <= MAX_NAMED {
            named.push((target.clone(), now));
        }
        named.len() <= MAX_NAMED
    }
}
