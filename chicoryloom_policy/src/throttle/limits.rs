//! What a host knows of the limits that targets name.

use std::collections::HashMap;
use std::time::Duration;

use super::Limit;
use crate::Moment;
use crate::withdrawal::Process;

/// Time for which a limit is remembered after the latest answer or report that named it. It is far
/// longer than a target that gets requests takes to name it again.
const LIMIT_TTL: Duration = Duration::from_secs(3600);
/// Time for which the end of a limit is remembered, so that a late report does not restore it.
const END_TTL: Duration = Duration::from_secs(60);
/// Maximum number of remembered processes; the one without news for longest is forgotten first.
const MAX_PROCESSES: usize = 4096;

/// A limit that began, changed or ended.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Change {
    /// `None` if the target takes any number of requests again.
    pub limit: Option<Limit>,
    /// When the answer arrived that named the limit, or when the request was sent whose answer named
    /// none.
    pub at: Moment,
}

/// Limits of targets, by process.
///
/// Answers overtake each other. So a lower limit applies at once, while a higher one, or none,
/// applies only if the request was sent after the latest answer that named the present limit.
#[derive(Clone, Debug, Default)]
pub struct Limits {
    latest: HashMap<Process, Change>,
}

impl Limits {
    /// Returns the limit of a target.
    pub fn get(&self, process: &Process) -> Option<Limit> {
        self.latest.get(process)?.limit
    }

    /// Returns whether any target has a limit.
    pub fn is_any(&self) -> bool {
        self.latest.values().any(|latest| latest.limit.is_some())
    }

    /// Returns the number of targets with a limit.
    pub fn count(&self) -> usize {
        self.latest.values().filter(|latest| latest.limit.is_some()).count()
    }

    /// Records what an answer to this host says, whose request was sent at `sent`; returns the change
    /// if the limit is another one.
    pub fn observe(
        &mut self,
        process: &Process,
        limit: Option<Limit>,
        sent: Moment,
        now: Moment,
    ) -> Option<Change> {
        let known = self.latest.get(process).copied();
        let present = known.and_then(|known| known.limit);
        let is_relaxed = match (present, limit) {
            (None, None) => return None,
            (Some(present), Some(limit)) => limit > present,
            (Some(_), None) => true,
            (None, Some(_)) => false,
        };
        if is_relaxed && known.is_some_and(|known| sent <= known.at) {
            return None;
        }
        let at = if limit.is_some() { now } else { sent };
        let change = Change { limit, at };
        self.insert(process, change);
        (present != limit).then_some(change)
    }

    /// Applies another host's report of a change; returns whether it is news.
    pub fn apply(&mut self, process: &Process, change: Change) -> bool {
        let known = self.latest.get(process).copied();
        if known.is_some_and(|known| change.at <= known.at) {
            return false;
        }
        let present = known.and_then(|known| known.limit);
        self.insert(process, change);
        present != change.limit
    }

    /// Returns the latest change of a target's limit.
    pub fn latest(&self, process: &Process) -> Option<Change> {
        self.latest.get(process).copied()
    }

    fn insert(&mut self, process: &Process, change: Change) {
        if self.latest.len() >= MAX_PROCESSES
            && !self.latest.contains_key(process)
            && let Some(oldest) = self.latest.iter().min_by_key(|(_, latest)| latest.at)
        {
            let oldest = oldest.0.clone();
            self.latest.remove(&oldest);
        }
        self.latest.insert(process.clone(), change);
    }

    /// Forgets limits without news for long, and those that ended a while ago.
    pub fn sweep(&mut self, now: Moment) {
        self.latest.retain(|_, latest| {
            let ttl = if latest.limit.is_some() { LIMIT_TTL } else { END_TTL };
            now.since(latest.at) < ttl
        });
    }
}
