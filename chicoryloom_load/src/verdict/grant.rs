//! No workspace gets more than its rate and burst, over all hosts together.
//!
//! An attempt that reached a target was admitted at some time between its sending and its
//! answer. Of all attempts that lie wholly within a window, each was admitted within it, so that
//! their number must not pass `burst + rate × window`, without any allowance for clocks.

use super::Arrivals;
use super::Evidence;
use super::Grant;
use super::Verdict;
use crate::caller::End;

/// Rounding error of a sum over a run, in requests.
const ROUNDING: f64 = 1e-6;

/// The span in which one request was admitted, in milliseconds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct Span {
    pub(super) sent_ms: f64,
    pub(super) ended_ms: f64,
}

/// Judges every window of every workspace at every service.
pub(super) fn within(evidence: &Evidence, arrivals: &Arrivals<'_>) -> Verdict {
    let mut verdict = Verdict::new("admitted is at most burst + rate × window");
    for (workspace, grants) in evidence.grants.iter().enumerate() {
        for (service, grant) in grants.iter().enumerate() {
            let spans = spans(evidence, arrivals, workspace, service);
            verdict.judged += spans.len();
            let Some((excess, start_ms, end_ms)) = worst(spans, *grant) else {
                continue;
            };
            if excess > ROUNDING {
                let name = &evidence.workspaces[workspace];
                verdict.violate(format!(
                    "{name} at service {service}: {excess:.1} too many from {start_ms:.0} ms \
                     to {end_ms:.0} ms"
                ));
            }
        }
    }
    verdict
}

fn spans(
    evidence: &Evidence,
    arrivals: &Arrivals<'_>,
    workspace: usize,
    service: usize,
) -> Vec<Span> {
    let mut spans = Vec::new();
    let own = evidence.records.iter();
    for record in own.filter(|r| r.workspace == workspace && r.service == service) {
        let arrived = arrivals.get(&record.id);
        for (number, attempt) in record.attempts.iter().enumerate() {
            let answered = matches!(attempt.end, End::Answered { .. } | End::Refused { .. });
            let reached = arrived.is_some_and(|all| all.iter().any(|one| one.attempt == number));
            if answered && reached {
                spans.push(Span { sent_ms: attempt.sent_ms, ended_ms: attempt.ended_ms });
            }
        }
    }
    spans
}

/// Returns the window with the most requests past its bound: excess, start and end.
///
/// Windows start at a sending and end at an answer. Going through the starts backwards, a tree
/// over the ends holds `requests within − rate × end`, so that each start takes `log n` steps.
pub(super) fn worst(mut spans: Vec<Span>, grant: Grant) -> Option<(f64, f64, f64)> {
    let mut ends: Vec<f64> = spans.iter().map(|span| span.ended_ms).collect();
    ends.sort_by(f64::total_cmp);
    ends.dedup();
    spans.sort_by(|a, b| b.sent_ms.total_cmp(&a.sent_ms));
    let per_ms = grant.rate / 1000.0;
    let mut tree = Tree::new(ends.len());
    let mut worst: Option<(f64, f64, f64)> = None;
    for span in spans {
        let index = ends.partition_point(|end| *end < span.ended_ms);
        tree.reach(index, -per_ms * span.ended_ms);
        tree.add_from(index);
        let (most, end) = tree.most();
        let excess = most + per_ms * span.sent_ms - f64::from(grant.burst);
        if worst.is_none_or(|(other, _, _)| excess > other) {
            worst = Some((excess, span.sent_ms, ends[end]));
        }
    }
    worst
}

/// Maximum over a row of numbers, with additions to all numbers from an index on.
#[derive(Debug)]
struct Tree {
    leaves: usize,
    /// Maximum of each subtree without what its ancestors add.
    most: Vec<f64>,
    /// What is added to the whole subtree.
    added: Vec<f64>,
}

impl Tree {
    /// Returns a tree whose numbers are all out of reach.
    fn new(length: usize) -> Self {
        let leaves = length.next_power_of_two().max(1);
        Self { leaves, most: vec![f64::NEG_INFINITY; leaves * 2], added: vec![0.0; leaves * 2] }
    }

    /// Brings a number within reach, with a value of its own beside what was added.
    fn reach(&mut self, index: usize, own: f64) {
        let leaf = self.leaves + index;
        if self.most[leaf] == f64::NEG_INFINITY {
            self.most[leaf] = own + self.added[leaf];
            self.rise(leaf);
        }
    }

    /// Adds one to all numbers from an index on.
    fn add_from(&mut self, index: usize) {
        let mut left = self.leaves + index;
        let start = left;
        let mut right = self.leaves * 2;
        while left < right {
            if left % 2 == 1 {
                self.apply(left);
                left += 1;
            }
            left /= 2;
            right /= 2;
        }
        self.rise(start);
        self.rise(self.leaves * 2 - 1);
    }

    fn apply(&mut self, node: usize) {
        self.added[node] += 1.0;
        self.most[node] += 1.0;
    }

    fn rise(&mut self, leaf: usize) {
        let mut node = leaf / 2;
        while node > 0 {
            let below = self.most[node * 2].max(self.most[node * 2 + 1]);
            self.most[node] = below + self.added[node];
            node /= 2;
        }
    }

    /// Returns the largest number and its index.
    fn most(&self) -> (f64, usize) {
        let mut node = 1;
        while node < self.leaves {
            let left = node * 2;
            node = if self.most[left] >= self.most[left + 1] { left } else { left + 1 };
        }
        (self.most[1], node - self.leaves)
    }
}
