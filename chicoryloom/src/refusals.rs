//! Records recent refusals, so that an operator can find out why a request was refused.

use std::collections::HashMap;
use std::sync::Mutex;

use chicoryloom_policy::Moment;
use chicoryloom_policy::id;
use chicoryloom_wire::caller::Code;
use chicoryloom_wire::caller::Refusal;

/// Most kinds of refusals that are kept; a new kind evicts the one that occurred least recently.
const CAPACITY: usize = 4096;

/// Service, workspace and code by which refusals are grouped.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub(crate) struct Kind {
    /// Service of the request, unless there is no such service.
    pub(crate) service: Option<id::Service>,
    /// Workspace of the key, unless the key is missing, unknown or withdrawn.
    pub(crate) workspace: Option<id::Workspace>,
    pub(crate) code: Code,
}

/// The refusals of one kind.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) struct Entry {
    pub(crate) count: u64,
    /// Detail of the latest refusal.
    pub(crate) detail: String,
    /// Time of the latest refusal.
    pub(crate) at: Moment,
}

/// The latest refusals by kind; at most [`CAPACITY`] kinds.
#[derive(Debug, Default)]
pub(crate) struct Refusals {
    entries: Mutex<HashMap<Kind, Entry>>,
}

impl Refusals {
    /// Counts a refusal under its kind and keeps its detail and time.
    pub(crate) fn record(&self, kind: Kind, refusal: &Refusal, now: Moment) {
        let mut entries = self.entries.lock().expect("no holder of the lock panics");
        if let Some(entry) = entries.get_mut(&kind) {
            entry.count += 1;
            entry.at = now;
            entry.detail.clone_from(&refusal.detail);
            return;
        }
        if entries.len() >= CAPACITY {
            let oldest = entries.iter().min_by_key(|(_, entry)| entry.at);
            if let Some(oldest) = oldest.map(|(kind, _)| kind.clone()) {
                entries.remove(&oldest);
            }
        }
        entries.insert(kind, Entry { count: 1, detail: refusal.detail.clone(), at: now });
    }

    /// Returns the kinds that match a predicate, latest first.
    pub(crate) fn latest<F: Fn(&Kind) -> bool>(&self, matches: F) -> Vec<(Kind, Entry)> {
        let entries = self.entries.lock().expect("no holder of the lock panics");
        let matching = entries.iter().filter(|(kind, _)| matches(kind));
        let mut matching: Vec<_> =
            matching.map(|(kind, entry)| (kind.clone(), entry.clone())).collect();
        matching.sort_by_key(|(_, entry)| std::cmp::Reverse(entry.at));
        matching
    }
}

#[cfg(test)]
mod tests {
    use std::time::Duration;

    use super::*;

    #[test]
    fn least_recent_kind_is_evicted() {
        let refusals = Refusals::default();
        let refusal = Refusal::not_run(Code::Rate, "past its rate");
        let kind = |index: usize| Kind {
            service: Some(format!("s{index}").parse().unwrap()),
            workspace: None,
            code: Code::Rate,
        };
        for index in 0..=CAPACITY {
            let now = Moment::from_start(Duration::from_secs(index as u64));
            refusals.record(kind(index), &refusal, now);
        }
        let latest = refusals.latest(|_| true);
        assert_eq!(latest.len(), CAPACITY);
        assert_eq!(latest[0].0, kind(CAPACITY));
        assert!(!latest.iter().any(|(found, _)| *found == kind(0)));
    }
}
