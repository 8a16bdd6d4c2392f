//! Judges of a run, from the targets' journals and the callers' own records only.

mod answer;
mod document;
mod grant;
mod once;
mod shutdown;
mod workspace;

#[cfg(test)]
mod doctored;

use std::collections::HashMap;

use chicoryloom_standin::target::Outcome;
use chicoryloom_standin::target::Run;
use serde::Deserialize;
use serde::Serialize;

use crate::caller;
use crate::caller::Record;
use crate::event::Event;

/// Time within which an accepted change must be in force, in milliseconds.
pub(crate) const IN_FORCE_MS: f64 = 7000.0;
/// Most violations that a verdict spells out.
const MAX_SHOWN: usize = 20;

/// Whether one invariant held.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
pub struct Verdict {
    pub invariant: String,
    /// How many cases were judged; with none, the run says nothing about the invariant.
    pub judged: usize,
    pub violated: usize,
    /// The first violations.
    pub violations: Vec<String>,
}

impl Verdict {
    fn new(invariant: &str) -> Self {
        Self { invariant: invariant.to_owned(), judged: 0, violated: 0, violations: Vec::new() }
    }

    fn violate(&mut self, violation: String) {
        self.violated += 1;
        if self.violations.len() < MAX_SHOWN {
            self.violations.push(violation);
        }
    }

    /// Tells whether no case violated the invariant.
    pub fn held(&self) -> bool {
        self.violated == 0
    }
}

/// A grant of a workspace at a service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Grant {
    /// Requests a second.
    pub(crate) rate: f64,
    pub(crate) burst: u32,
}

/// All that the judges look at.
#[derive(Debug)]
pub(crate) struct Evidence {
    pub(crate) records: Vec<Record>,
    /// Journals by target.
    pub(crate) journals: Vec<Vec<Run>>,
    pub(crate) events: Vec<Event>,
    /// Names of workspaces, by index.
    pub(crate) workspaces: Vec<String>,
    /// Grants by workspace and service.
    pub(crate) grants: Vec<Vec<Grant>>,
    /// Every key that callers showed.
    pub(crate) keys: Vec<String>,
}

/// A journal entry that belongs to a caller's request.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Arrived<'a> {
    pub(crate) target: usize,
    pub(crate) attempt: usize,
    pub(crate) run: &'a Run,
}

impl Arrived<'_> {
    /// Tells whether the target may have worked on it.
    pub(crate) fn ran(&self) -> bool {
        self.run.outcome != Outcome::Shed
    }
}

/// Journal entries by number of the request.
pub(crate) type Arrivals<'a> = HashMap<u64, Vec<Arrived<'a>>>;

impl Evidence {
    /// Returns the journal entries of each request.
    pub(crate) fn arrivals(&self) -> Arrivals<'_> {
        let mut arrivals = Arrivals::new();
        for (target, journal) in self.journals.iter().enumerate() {
            for run in journal {
                if let Some(id) = caller::identity(&run.path) {
                    let attempt = attempt(run);
                    arrivals.entry(id).or_default().push(Arrived { target, attempt, run });
                }
            }
        }
        arrivals
    }
}

fn attempt(run: &Run) -> usize {
    let header = run.headers.iter().find(|(name, _)| name == caller::ATTEMPT);
    header.and_then(|(_, value)| value.parse().ok()).unwrap_or_default()
}

/// Judges all invariants.
pub(crate) fn judge(evidence: &Evidence) -> Vec<Verdict> {
    let arrivals = evidence.arrivals();
    vec![
        once::at_most_once(evidence, &arrivals),
        once::not_run_is_true(evidence, &arrivals),
        answer::whole(evidence),
        grant::within(evidence, &arrivals),
        workspace::own(evidence, &arrivals),
        workspace::keys_unseen(evidence),
        document::withdrawn(evidence, &arrivals),
        document::leaving(evidence, &arrivals),
        shutdown::uncut(evidence),
    ]
}
