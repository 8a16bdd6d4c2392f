//! Registry of the series that one incarnation of a host has issued, and of the outcomes of
//! their requests.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::collections::VecDeque;
use std::time::Duration;

use super::Completed;
use super::Fingerprint;
use super::Key;
use super::Series;
use crate::Moment;
use crate::id;
use crate::ledger::Holder;

/// Time without use after which a series ends.
pub const SERIES_IDLE_TIMEOUT: Duration = Duration::from_secs(600);
/// Most series of one workspace held at once.
pub const MAX_SERIES_PER_WORKSPACE: usize = 256;
/// Most requests of one series in flight at once.
pub const MAX_IN_FLIGHT_PER_SERIES: usize = 64;
/// Most bytes of outcomes held for one workspace.
pub const MAX_WORKSPACE_OUTCOME_BYTES: usize = 1024 * 1024;
/// Most bytes of outcomes held for all workspaces together.
pub const MAX_OUTCOME_BYTES: usize = 16 * 1024 * 1024;
/// Shortest time between two removals of idle series while series are issued.
const EXPIRY_INTERVAL: Duration = Duration::from_secs(60);
/// Bytes that an outcome takes in addition to its content.
const OUTCOME_OVERHEAD_BYTES: usize = 160;

/// What to do with a request that carries a run key.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Verdict<T> {
    /// It is the first one with its key: run it, and report its end.
    Run,
    /// The first one is still in flight: wait for its end.
    Wait,
    /// The first one has ended with this outcome.
    Repeat(T),
    /// The first one has ended or counts as ended, and no outcome is kept.
    Forgotten,
    /// The key was used for another request; this one never runs.
    Reused,
    /// The series has ended, belongs to another workspace or service, or was not issued by this
    /// incarnation.
    Unknown,
    /// Too many requests of the series are in flight; this one has not run.
    Busy,
}

/// State of one series.
#[derive(Clone, Debug)]
struct Record {
    owner: id::Digest,
    service: id::Service,
    used: Moment,
    completed: Completed,
    in_flight: BTreeMap<u64, Fingerprint>,
}

/// One kept outcome.
#[derive(Clone, Debug)]
struct Outcome<T> {
    fingerprint: Fingerprint,
    value: T,
    bytes: usize,
}

/// The series and outcomes of one workspace.
#[derive(Clone, Debug)]
struct WorkspaceRuns<T> {
    series: BTreeMap<u64, Record>,
    /// By series and number.
    outcomes: HashMap<(u64, u64), Outcome<T>>,
    /// Keys of `outcomes`, oldest first.
    by_age: VecDeque<(u64, u64)>,
    /// Bytes of `outcomes`; at most [`MAX_WORKSPACE_OUTCOME_BYTES`].
    bytes: usize,
}

/// All series that one incarnation of a host has issued.
#[derive(Clone, Debug)]
pub struct Registry<T> {
    issuer: Holder,
    issued: u64,
    workspaces: HashMap<id::Workspace, WorkspaceRuns<T>>,
    /// Bytes of all outcomes; at most [`MAX_OUTCOME_BYTES`].
    bytes: usize,
    last_expiry: Moment,
}

impl<T: Clone> Registry<T> {
    /// Returns the empty registry of a new incarnation.
    pub fn new(issuer: Holder) -> Self {
        Self { issuer, issued: 0, workspaces: HashMap::new(), bytes: 0, last_expiry: Moment::ZERO }
    }

    /// Issues a series to a caller of a workspace, who is known by the digest of its key.
    ///
    /// If the workspace has [`MAX_SERIES_PER_WORKSPACE`] already, it loses one of the caller with
    /// the most: the least recently used, idle ones first.
    pub fn issue(
        &mut self,
        workspace: &id::Workspace,
        owner: id::Digest,
        service: &id::Service,
        now: Moment,
    ) -> Series {
        self.issued += 1;
        if now.since(self.last_expiry) >= EXPIRY_INTERVAL {
            self.expire(now);
        }
        let runs = self.workspaces.entry(workspace.clone()).or_insert_with(WorkspaceRuns::new);
        if runs.series.len() >= MAX_SERIES_PER_WORKSPACE {
            self.bytes -= runs.evict_series();
        }
        let record = Record {
            owner,
            service: service.clone(),
            used: now,
            completed: Completed::new(),
            in_flight: BTreeMap::new(),
        };
        runs.series.insert(self.issued, record);
        Series { issuer: self.issuer.clone(), number: self.issued }
    }

    /// Decides on a request; [`Verdict::Run`] must be followed by [`Registry::end`].
    pub fn begin(
        &mut self,
        workspace: &id::Workspace,
        service: &id::Service,
        key: &Key,
        fingerprint: Fingerprint,
        now: Moment,
    ) -> Verdict<T> {
        let runs = self.workspaces.get_mut(workspace).filter(|_| key.series.issuer == self.issuer);
        let Some(runs) = runs else {
            return Verdict::Unknown;
        };
        let Some(record) = runs.series.get_mut(&key.series.number) else {
            return Verdict::Unknown;
        };
        if record.service != *service {
            return Verdict::Unknown;
        }
        record.used = now;
        if let Some(first) = record.in_flight.get(&key.number) {
            return if *first == fingerprint { Verdict::Wait } else { Verdict::Reused };
        }
        match runs.outcomes.get(&(key.series.number, key.number)) {
            Some(outcome) if outcome.fingerprint == fingerprint => {
                return Verdict::Repeat(outcome.value.clone());
            }
            Some(_) => return Verdict::Reused,
            None if record.completed.contains(key.number) => return Verdict::Forgotten,
            None => {}
        }
        if record.in_flight.len() >= MAX_IN_FLIGHT_PER_SERIES {
            return Verdict::Busy;
        }
        record.in_flight.insert(key.number, fingerprint);
        Verdict::Run
    }

    /// Records the end of a run and its outcome, whose content takes `bytes`.
    pub fn end(&mut self, workspace: &id::Workspace, key: &Key, value: T, bytes: usize) {
        let Some(runs) = self.workspaces.get_mut(workspace) else {
            return;
        };
        // The series was removed while the run was in flight; none of its requests runs again.
        let Some(record) = runs.series.get_mut(&key.series.number) else {
            return;
        };
        let Some(fingerprint) = record.in_flight.remove(&key.number) else {
            return;
        };
        record.completed.insert(key.number);
        let bytes = bytes + OUTCOME_OVERHEAD_BYTES;
        let before = runs.bytes;
        runs.store((key.series.number, key.number), Outcome { fingerprint, value, bytes });
        self.bytes = self.bytes - before + runs.bytes;
        self.evict_outcomes();
    }

    /// Evicts outcomes of the workspace with the most bytes until [`MAX_OUTCOME_BYTES`] holds.
    fn evict_outcomes(&mut self) {
        while self.bytes > MAX_OUTCOME_BYTES {
            let largest = self.workspaces.values_mut().max_by_key(|runs| runs.bytes);
            let Some(freed) = largest.and_then(WorkspaceRuns::evict_oldest_outcome) else {
                return;
            };
            self.bytes -= freed;
        }
    }

    /// Removes series that have not been used for [`SERIES_IDLE_TIMEOUT`].
    pub fn expire(&mut self, now: Moment) {
        self.last_expiry = now;
        self.bytes -= self.workspaces.values_mut().map(|runs| runs.expire(now)).sum::<usize>();
        self.workspaces.retain(|_, runs| !runs.series.is_empty());
    }
}

impl<T> WorkspaceRuns<T> {
    fn new() -> Self {
        Self {
            series: BTreeMap::new(),
            outcomes: HashMap::new(),
            by_age: VecDeque::new(),
            bytes: 0,
        }
    }

    fn store(&mut self, key: (u64, u64), outcome: Outcome<T>) {
        if outcome.bytes > MAX_WORKSPACE_OUTCOME_BYTES {
            return;
        }
        self.bytes += outcome.bytes;
        self.outcomes.insert(key, outcome);
        self.by_age.push_back(key);
        while self.bytes > MAX_WORKSPACE_OUTCOME_BYTES && self.evict_oldest_outcome().is_some() {}
    }

    /// Evicts the oldest outcome and returns its bytes.
    fn evict_oldest_outcome(&mut self) -> Option<usize> {
        let oldest = self.by_age.pop_front()?;
        Some(self.remove_outcome(oldest))
    }

    fn remove_outcome(&mut self, key: (u64, u64)) -> usize {
        let freed = self.outcomes.remove(&key).map_or(0, |outcome| outcome.bytes);
        self.bytes -= freed;
        freed
    }

    /// Removes the series that have ended and returns the bytes of their outcomes.
    fn expire(&mut self, now: Moment) -> usize {
        let has_ended = |record: &Record| {
            now.since(record.used) >= SERIES_IDLE_TIMEOUT && record.in_flight.is_empty()
        };
        let ended: Vec<_> =
            self.series.iter().filter(|(_, record)| has_ended(record)).map(|(n, _)| *n).collect();
        ended.into_iter().map(|number| self.remove_series(number)).sum()
    }

    /// Removes the least recently used series of the caller with the most, idle ones first, and
    /// returns the bytes of its outcomes.
    fn evict_series(&mut self) -> usize {
        let mut counts = HashMap::<id::Digest, usize>::new();
        for record in self.series.values() {
            *counts.entry(record.owner).or_default() += 1;
        }
        let most = counts.into_iter().max_by_key(|(owner, count)| (*count, *owner));
        let is_of_that_caller =
            |record: &Record| most.is_some_and(|(owner, _)| owner == record.owner);
        let candidates = self.series.iter().filter(|(_, record)| is_of_that_caller(record));
        let oldest =
            candidates.min_by_key(|(_, record)| (!record.in_flight.is_empty(), record.used));
        let number = oldest.map(|(number, _)| *number);
        number.map_or(0, |number| self.remove_series(number))
    }

    fn remove_series(&mut self, number: u64) -> usize {
        self.series.remove(&number);
        let (removed, kept): (VecDeque<_>, VecDeque<_>) =
            self.by_age.drain(..).partition(|(series, _)| *series == number);
        self.by_age = kept;
        removed.into_iter().map(|key| self.remove_outcome(key)).sum()
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::run::FIRST_NUMBER;

    fn holder(incarnation: u64) -> Holder {
        Holder { host: "host-1".parse().unwrap(), incarnation: id::Incarnation(incarnation) }
    }

    fn registry() -> (Registry<u32>, id::Workspace, id::Service) {
        (Registry::new(holder(7)), "prairie".parse().unwrap(), "calendar".parse().unwrap())
    }

    fn fingerprint_of(body: &str) -> Fingerprint {
        Fingerprint::of("POST", "/seats", body.as_bytes())
    }

    #[test]
    fn number_runs_once_and_its_outcome_is_repeated_to_the_same_request_only() {
        let (mut registry, workspace, service) = registry();
        let now = Moment::ZERO;
        let series = registry.issue(&workspace, id::Digest::of("k"), &service, now);
        let key = Key { series, number: 1 };
        let begin = |registry: &mut Registry<u32>, body: &str| {
            registry.begin(&workspace, &service, &key, fingerprint_of(body), now)
        };
        assert_eq!(begin(&mut registry, "a"), Verdict::Run);
        assert_eq!(begin(&mut registry, "a"), Verdict::Wait);
        assert_eq!(begin(&mut registry, "b"), Verdict::Reused);
        registry.end(&workspace, &key, 200, 10);
        assert_eq!(begin(&mut registry, "a"), Verdict::Repeat(200));
        assert_eq!(begin(&mut registry, "b"), Verdict::Reused);
        let foreign = "other".parse().unwrap();
        let verdict = registry.begin(&foreign, &service, &key, fingerprint_of("a"), now);
        assert_eq!(verdict, Verdict::Unknown);
        let mut next_incarnation = Registry::<u32>::new(holder(8));
        assert_eq!(begin(&mut next_incarnation, "a"), Verdict::Unknown);
    }

    #[test]
    fn one_caller_cannot_exhaust_memory_or_evict_the_series_of_others() {
        let (mut registry, workspace, service) = registry();
        let other_series =
            registry.issue(&workspace, id::Digest::of("modest"), &service, Moment::ZERO);
        for n in 0..10_000 {
            let now = Moment::from_millis(n);
            let series = registry.issue(&workspace, id::Digest::of("greedy"), &service, now);
            let key = Key { series, number: 1 };
            registry.begin(&workspace, &service, &key, fingerprint_of("a"), now);
            registry.end(&workspace, &key, 0, 100_000);
        }
        let runs = &registry.workspaces[&workspace];
        assert!(
            runs.series.len() <= MAX_SERIES_PER_WORKSPACE
                && runs.bytes <= MAX_WORKSPACE_OUTCOME_BYTES
        );
        let key = Key { series: other_series, number: 1 };
        let verdict = registry.begin(&workspace, &service, &key, fingerprint_of("a"), Moment::ZERO);
        assert_eq!(verdict, Verdict::Run);
    }

    #[test]
    fn all_workspaces_together_stay_within_the_bound() {
        let (mut registry, _, service) = registry();
        for n in 0..100 {
            let workspace: id::Workspace = format!("workspace-{n}").parse().unwrap();
            let now = Moment::from_millis(n * 10_000);
            let series = registry.issue(&workspace, id::Digest::of("k"), &service, now);
            for number in FIRST_NUMBER..FIRST_NUMBER + 12 {
                let key = Key { series: series.clone(), number };
                registry.begin(&workspace, &service, &key, fingerprint_of("a"), now);
                registry.end(&workspace, &key, 0, 100_000);
            }
            let bytes: usize = registry.workspaces.values().map(|runs| runs.bytes).sum();
            assert_eq!(bytes, registry.bytes);
            assert!(bytes <= MAX_OUTCOME_BYTES);
        }
        // Series end after ten minutes, and a workspace without series is removed.
        assert!(registry.workspaces.len() <= 67, "{} workspaces", registry.workspaces.len());
    }

    #[test]
    fn numbers_without_a_kept_outcome_never_run_again() {
        let (mut registry, workspace, service) = registry();
        let series = registry.issue(&workspace, id::Digest::of("k"), &service, Moment::ZERO);
        for number in (FIRST_NUMBER..3000).step_by(2).chain((FIRST_NUMBER + 1..3000).step_by(2)) {
            let key = Key { series: series.clone(), number };
            let verdict =
                registry.begin(&workspace, &service, &key, fingerprint_of("a"), Moment::ZERO);
            if verdict == Verdict::Run {
                registry.end(&workspace, &key, 0, 4096);
            }
            let again =
                registry.begin(&workspace, &service, &key, fingerprint_of("a"), Moment::ZERO);
            assert!(matches!(again, Verdict::Repeat(_) | Verdict::Forgotten));
        }
        let late = SERIES_IDLE_TIMEOUT;
        registry.expire(Moment::ZERO.after(late));
        let key = Key { series, number: 5000 };
        let verdict = registry.begin(&workspace, &service, &key, fingerprint_of("a"), Moment::ZERO);
        assert_eq!(verdict, Verdict::Unknown);
    }
}
