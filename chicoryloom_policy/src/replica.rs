//! A host's copy of the platform's objects, fed by the platform itself or by other hosts.

use std::collections::HashMap;
use std::collections::HashSet;
use std::collections::VecDeque;
use std::time::Duration;

use bytes::Bytes;
use smol_str::SmolStr;

use crate::Moment;

/// Time after an outage of the platform for which entries that lapsed in it are kept.
///
/// The platform guarantees that live targets are listed again about two seconds after its return.
pub const LAPSE_GRACE: Duration = Duration::from_millis(2200);
/// Length of the log of changes; a host that lags further behind gets a whole copy.
const MAX_LOG_ENTRIES: usize = 8192;
/// Maximum number of remembered deletions, which keep an older copy from restoring an object.
const MAX_TOMBSTONES: usize = 4096;

/// Kind of a replicated object.
#[derive(
    Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, serde::Deserialize, serde::Serialize,
)]
pub enum Kind {
    /// The configuration; there is one object of this kind.
    Catalog,
    /// A target.
    Target,
}

impl Kind {
    /// All kinds.
    pub const ALL: [Self; 2] = [Self::Catalog, Self::Target];
}

/// One object as the platform holds it, or its deletion.
#[derive(Clone, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct Record {
    pub kind: Kind,
    pub name: SmolStr,
    /// Revision of the last change, the deletion included.
    pub revision: u64,
    /// Encoded object, which the platform's adapter decodes; `None` for a deleted object.
    pub value: Option<Bytes>,
}

/// Objects of one kind: all of them, or those that changed.
#[derive(Clone, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct Update {
    pub kind: Kind,
    pub records: Vec<Record>,
    /// Names of existing objects that the receiver has unchanged already.
    pub kept: Vec<SmolStr>,
    /// Names of objects that the platform no longer lists but may list again.
    pub lapsed: Vec<SmolStr>,
    /// Whether the update is a full listing: objects neither in `records` nor `kept` don't exist.
    pub whole: bool,
    /// The platform's revision as of this update.
    pub revision: u64,
}

/// The platform's revisions that a host's copies are at.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct Revisions {
    pub catalog: u64,
    pub targets: u64,
}

impl Revisions {
    fn get(self, kind: Kind) -> u64 {
        match kind {
            Kind::Catalog => self.catalog,
            Kind::Target => self.targets,
        }
    }
}

/// What an update changed.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Changes {
    pub catalog: bool,
    pub targets: Vec<SmolStr>,
}

impl Changes {
    /// Returns whether nothing changed.
    pub fn is_empty(&self) -> bool {
        !self.catalog && self.targets.is_empty()
    }
}

/// Objects of one kind.
#[derive(Clone, Debug, Default)]
struct Table {
    records: HashMap<SmolStr, Record>,
    /// Deleted objects, with the revision of each deletion.
    deleted: HashMap<SmolStr, u64>,
    /// The platform's revision that the table is at.
    revision: u64,
}

/// Copies of all objects. The revision of each object never decreases.
#[derive(Clone, Debug, Default)]
pub struct Replica {
    catalog: Table,
    targets: Table,
    /// Targets that are no longer listed after an outage of the platform, and until when they are
    /// kept.
    lapsed: HashMap<SmolStr, Moment>,
    /// Until when targets that are no longer listed lapse instead of being deleted.
    grace_until: Option<Moment>,
    /// Log of changes in order: number of the change, kind and name of the object.
    log: VecDeque<(u64, Kind, SmolStr)>,
    /// Number of the latest change.
    latest_change: u64,
}

impl Replica {
    fn table(&self, kind: Kind) -> &Table {
        match kind {
            Kind::Catalog => &self.catalog,
            Kind::Target => &self.targets,
        }
    }

    fn table_mut(&mut self, kind: Kind) -> &mut Table {
        match kind {
            Kind::Catalog => &mut self.catalog,
            Kind::Target => &mut self.targets,
        }
    }

    /// Returns the platform's revision that the copy of a kind is at.
    pub fn revision(&self, kind: Kind) -> u64 {
        self.table(kind).revision
    }

    /// Returns the platform's revisions that all copies are at.
    pub fn revisions(&self) -> Revisions {
        Revisions { catalog: self.catalog.revision, targets: self.targets.revision }
    }

    /// Returns the objects of a kind.
    pub fn records(&self, kind: Kind) -> impl Iterator<Item = &Record> {
        self.table(kind).records.values()
    }

    /// Returns one object.
    pub fn get(&self, kind: Kind, name: &str) -> Option<&Record> {
        self.table(kind).records.get(name)
    }

    /// Starts the grace period of missing targets, as the platform answers again after an outage.
    pub fn platform_returned(&mut self, now: Moment) {
        self.grace_until = Some(now.after(LAPSE_GRACE));
    }

    /// Returns a full update for a receiver whose copy is at `revision`; that is 0 for an empty copy.
    pub fn snapshot(&self, kind: Kind, revision: u64) -> Update {
        let table = self.table(kind);
        // A receiver with a newer copy rejects the update, so what it holds is not sent.
        let (kept, records): (Vec<_>, Vec<_>) =
            table.records.values().partition(|record| record.revision <= revision);
        let kept = kept.into_iter().map(|record| record.name.clone()).collect();
        let records = records.into_iter().cloned().collect();
        let lapsed = self.lapsed_names(kind);
        Update { kind, records, kept, lapsed, whole: true, revision: table.revision }
    }

    fn lapsed_names(&self, kind: Kind) -> Vec<SmolStr> {
        let names = self.lapsed.keys().filter(|_| kind == Kind::Target);
        names.cloned().collect()
    }

    /// Returns the number of the latest change of this copy.
    pub fn latest_change(&self) -> u64 {
        self.latest_change
    }

    /// Returns what changed after a numbered change of this copy, or whole copies if the log does
    /// not reach back that far. The receiver's copies are at `revisions`.
    pub fn updates_after(&self, number: u64, revisions: Revisions) -> Vec<Update> {
        let first = self.log.front().map_or(self.latest_change + 1, |(first, ..)| *first);
        if number == 0 || number + 1 < first || number > self.latest_change {
            return Kind::ALL
                .into_iter()
                .map(|kind| self.snapshot(kind, revisions.get(kind)))
                .collect();
        }
        Kind::ALL.into_iter().map(|kind| self.delta(kind, number)).collect()
    }

    /// Returns the objects of a kind that changed after a numbered change.
    fn delta(&self, kind: Kind, number: u64) -> Update {
        let table = self.table(kind);
        let names: HashSet<_> = self
            .log
            .iter()
            .filter(|(at, of, _)| *at > number && *of == kind)
            .map(|(_, _, name)| name)
            .collect();
        let record = |name: &SmolStr| {
            let deletion = || {
                let revision = table.deleted.get(name).copied()?;
                Some(Record { kind, name: name.clone(), revision, value: None })
            };
            table.records.get(name).cloned().or_else(deletion)
        };
        let records = names.into_iter().filter_map(record).collect();
        let (kept, lapsed) = (Vec::new(), self.lapsed_names(kind));
        Update { kind, records, kept, lapsed, whole: false, revision: table.revision }
    }

    /// Appends changed objects to the log.
    fn log_changes(&mut self, kind: Kind, names: &[SmolStr]) {
        for name in names {
            self.latest_change += 1;
            self.log.push_back((self.latest_change, kind, name.clone()));
        }
        while self.log.len() > MAX_LOG_ENTRIES {
            self.log.pop_front();
        }
    }

    /// Returns whether an update is at least as new as this copy. Only then do later changes of its
    /// sender add up to the sender's copy.
    pub fn accepts(&self, update: &Update) -> bool {
        !update.whole || update.revision >= self.table(update.kind).revision
    }

    /// Applies an update from another host, whose copy includes the lapsed targets that it keeps.
    pub fn apply_relayed(&mut self, update: Update, now: Moment) -> Changes {
        if update.kind == Kind::Target {
            self.grace_until = None;
        }
        let lapsed = update.lapsed.clone();
        let accepted = self.accepts(&update);
        let changes = self.apply(update, now);
        // This host may follow another one by the time they expire, so it expires them itself.
        for name in lapsed.into_iter().filter(|_| accepted) {
            if self.targets.records.contains_key(&name) {
                self.lapsed.entry(name).or_insert(now.after(LAPSE_GRACE));
            }
        }
        changes
    }

    /// Applies an update of the platform; an update older than this copy changes nothing.
    pub fn apply(&mut self, update: Update, now: Moment) -> Changes {
        let mut changes = Changes::default();
        if !self.accepts(&update) {
            return changes;
        }
        let Update { kind, records, kept, lapsed: _, whole, revision } = update;
        let mut names: Vec<SmolStr> = Vec::new();
        if whole {
            names = self.delete_unlisted(kind, &records, &kept, revision, now);
        }
        let grace = self.grace_until.filter(|until| kind == Kind::Target && now < *until);
        for record in records {
            let table = self.table_mut(kind);
            let known = table.records.get(&record.name).map_or(0, |known| known.revision);
            let deleted_at = table.deleted.get(&record.name).copied().unwrap_or_default();
            // A deletion may carry the revision of the change before it, and takes precedence.
            let is_newer = match record.value {
                Some(_) => record.revision > known.max(deleted_at),
                None => record.revision >= known.max(1) && record.revision > deleted_at,
            };
            if !is_newer {
                continue;
            }
            if record.value.is_some() {
                table.deleted.remove(&record.name);
                names.push(record.name.clone());
                table.records.insert(record.name.clone(), record);
            } else if let Some(until) = grace.filter(|_| known > 0) {
                self.lapsed.entry(record.name).or_insert(until);
            } else {
                table.delete(&record.name, record.revision);
                names.push(record.name);
            }
        }
        let table = self.table_mut(kind);
        table.revision = table.revision.max(revision);
        for name in &names {
            self.lapsed.remove(name);
        }
        self.log_changes(kind, &names);
        match kind {
            Kind::Catalog => changes.catalog = !names.is_empty(),
            Kind::Target => changes.targets = names,
        }
        changes
    }

    /// Deletes the objects that a full listing lacks and returns their names; in the grace period,
    /// marks missing targets as lapsed instead.
    fn delete_unlisted(
        &mut self,
        kind: Kind,
        records: &[Record],
        kept: &[SmolStr],
        revision: u64,
        now: Moment,
    ) -> Vec<SmolStr> {
        let listed: HashSet<_> = records.iter().map(|record| &record.name).chain(kept).collect();
        if kind == Kind::Target {
            self.lapsed.retain(|name, _| !listed.contains(name));
        }
        let grace = self.grace_until.filter(|until| kind == Kind::Target && now < *until);
        let table = self.table_mut(kind);
        let unlisted: Vec<_> =
            table.records.keys().filter(|name| !listed.contains(name)).cloned().collect();
        if let Some(until) = grace {
            for name in unlisted {
                self.lapsed.entry(name).or_insert(until);
            }
            return Vec::new();
        }
        for name in &unlisted {
            table.delete(name, revision);
        }
        unlisted
    }

    /// Deletes lapsed targets that were not listed again in time.
    pub fn expire(&mut self, now: Moment) -> Changes {
        let due: Vec<_> = self
            .lapsed
            .iter()
            .filter(|(_, until)| now >= **until)
            .map(|(n, _)| n.clone())
            .collect();
        let revision = self.targets.revision;
        for name in &due {
            self.lapsed.remove(name);
            self.targets.delete(name, revision);
        }
        self.log_changes(Kind::Target, &due);
        Changes { catalog: false, targets: due }
    }
}

impl Table {
    /// Deletes an object and remembers the deletion; forgets the oldest one if there are too many.
    fn delete(&mut self, name: &SmolStr, revision: u64) {
        self.records.remove(name);
        if self.deleted.len() >= MAX_TOMBSTONES
            && let Some(oldest) = self.deleted.iter().min_by_key(|(_, at)| **at)
        {
            let oldest = oldest.0.clone();
            self.deleted.remove(&oldest);
        }
        self.deleted.insert(name.clone(), revision);
    }
}
