//! The journal: a record of each request that reached the target.

use std::sync::Mutex;
use std::sync::MutexGuard;

use serde::Deserialize;
use serde::Serialize;

/// How a request ended at the target.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// Waiting for a slot or being processed.
    Running,
    /// Processed to completion.
    Done,
    /// Shed before it was processed.
    Shed,
    /// Cancelled by its sender before processing ended.
    Cancelled,
    /// Failed by an injected fault after it was processed.
    Failed,
}

/// One request as the target saw it.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct Run {
    pub method: String,
    pub path: String,
    pub workspace: String,
    /// All headers as received.
    pub headers: Vec<(String, String)>,
    /// Arrival time since the start of the target, in milliseconds.
    pub at_ms: u64,
    pub outcome: Outcome,
}

/// Connections, health probes and simulated crashes of the target since its start.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Deserialize, Serialize)]
pub struct Counts {
    pub connections_open: u32,
    pub connections_peak: u32,
    pub connections_refused: u64,
    pub connections_made: u64,
    pub probes: u64,
    pub deaths: u64,
}

/// The target's journal.
#[derive(Debug, Default)]
pub(super) struct Journal {
    runs: Mutex<Vec<Run>>,
}

impl Journal {
    fn lock(&self) -> MutexGuard<'_, Vec<Run>> {
        self.runs.lock().expect("no holder of the lock panics")
    }

    /// Adds a run and returns its index.
    pub(super) fn start(&self, run: Run) -> usize {
        let mut runs = self.lock();
        runs.push(run);
        runs.len() - 1
    }

    pub(super) fn end(&self, index: usize, outcome: Outcome) {
        if let Some(run) = self.lock().get_mut(index) {
            run.outcome = outcome;
        }
    }

    /// Returns the runs from an index onwards.
    pub(super) fn runs_from(&self, index: usize) -> Vec<Run> {
        self.lock().get(index..).unwrap_or_default().to_vec()
    }
}
