//! A host's copy of the platform's objects, fed by the platform itself or by other hosts.
//!
//! Within an era of the platform's store, the order of two contents of an object is that of their
//! revisions. A store that was restored from a copy lists contents that this host may know to be
//! outdated. The first listing of a new era is therefore merged into the copy:
//!
//! - Of two contents from different eras, the one with the higher [`Generation`] is kept: no
//!   configuration is replaced by an earlier version, and no target that leaves by one in use.
//! - An object that was deleted in an earlier era stays deleted, even if the restored copy lists
//!   it. Only a higher generation, or a write after the listing, creates it again.
//! - Targets that the restored copy lacks are kept for a grace period, in which those that are alive
//!   are written again. A configuration is kept until a later version is written.
//! - An evacuation is in force if the restored copy lists it, also if it had ended. One that the copy
//!   lacks stays in force for a grace period, in which the operator can write it again: a data centre
//!   without requests is a load that the others are planned for.

use std::collections::HashMap;
use std::collections::HashSet;
use std::collections::VecDeque;
use std::time::Duration;

use bytes::Bytes;
use smol_str::SmolStr;

use crate::Moment;
use crate::position::Era;
use crate::position::Generation;
use crate::position::Position;

/// Time after an outage of the platform, or its restoration from a copy, for which entries that
/// lapsed in it are kept.
///
/// The platform guarantees that live targets are listed again about two seconds after its return.
pub const LAPSE_GRACE: Duration = Duration::from_millis(2200);
/// Time after the store was restored from a copy for which evacuations that the copy lacks stay in
/// force. Unlike live targets, nobody writes them again by himself.
pub const EVACUATION_GRACE: Duration = Duration::from_secs(60);
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
    /// The evacuation of the data centre that the object is named after.
    Evacuation,
}

impl Kind {
    /// All kinds.
    pub const ALL: [Self; 3] = [Self::Catalog, Self::Target, Self::Evacuation];
    /// The kinds that all deployments have and hosts of all builds replicate.
    pub const COMMON: [Self; 2] = [Self::Catalog, Self::Target];

    /// Returns how long objects that a restored store lacks are kept, unless for good.
    const fn restoration_grace(self) -> Option<Duration> {
        match self {
            Self::Catalog => None,
            Self::Target => Some(LAPSE_GRACE),
            Self::Evacuation => Some(EVACUATION_GRACE),
        }
    }
}

/// One object as the platform holds it, or its deletion.
#[derive(Clone, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct Record {
    pub kind: Kind,
    pub name: SmolStr,
    /// Position of the last change, the deletion included.
    pub position: Position,
    /// Orders this content among those of other eras; for a deleted object, that of its last one.
    pub generation: Generation,
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
    /// The platform's position as of this update.
    pub position: Position,
}

/// The platform's positions that a host's copies of the common kinds are at.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct Positions {
    pub catalog: Position,
    pub targets: Position,
}

/// What an update changed.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Changes {
    pub catalog: bool,
    pub targets: Vec<SmolStr>,
    pub evacuations: bool,
    /// Objects that the platform no longer lists and that are kept for a grace period from now on.
    pub lapsed: Vec<SmolStr>,
}

impl Changes {
    /// Returns the number of changed objects.
    pub fn len(&self) -> usize {
        usize::from(self.catalog) + self.targets.len() + usize::from(self.evacuations)
    }

    /// Returns whether no object changed.
    pub fn is_empty(&self) -> bool {
        !self.catalog && self.targets.is_empty() && !self.evacuations
    }
}

/// A deletion, which keeps an older content of the object from restoring it.
#[derive(Clone, Copy, Debug)]
struct Tombstone {
    position: Position,
    /// Generation of the deleted content.
    generation: Generation,
}

/// Objects of one kind.
#[derive(Clone, Debug, Default)]
struct Table {
    /// May include objects of earlier eras that the platform has not written again yet.
    records: HashMap<SmolStr, Record>,
    deleted: HashMap<SmolStr, Tombstone>,
    /// The platform's position that the table is at.
    position: Position,
    /// Objects that are no longer listed, as the platform was down or restored, and until when they
    /// are kept.
    lapsed: HashMap<SmolStr, Moment>,
    /// Until when objects that are no longer listed lapse instead of being deleted.
    grace_until: Option<Moment>,
}

/// What happens to a listed or changed object.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Merge {
    /// The content is older than what is known, or known already.
    Outdated,
    /// The content is that of an earlier era; it only moves to the new position.
    Unchanged,
    /// The content is new.
    Changed,
}

/// Copies of all objects. The position of each copy never decreases, nor does that of an object
/// within an era, nor its generation from one era to the next.
#[derive(Clone, Debug, Default)]
pub struct Replica {
    catalog: Table,
    targets: Table,
    evacuations: Table,
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
            Kind::Evacuation => &self.evacuations,
        }
    }

    fn table_mut(&mut self, kind: Kind) -> &mut Table {
        match kind {
            Kind::Catalog => &mut self.catalog,
            Kind::Target => &mut self.targets,
            Kind::Evacuation => &mut self.evacuations,
        }
    }

    /// Returns the platform's position that the copy of a kind is at.
    pub fn position(&self, kind: Kind) -> Position {
        self.table(kind).position
    }

    /// Returns the platform's positions that the copies of the common kinds are at.
    pub fn positions(&self) -> Positions {
        Positions { catalog: self.catalog.position, targets: self.targets.position }
    }

    /// Returns the latest era of the platform's store that any copy has reached.
    pub fn era(&self) -> Era {
        let eras = Kind::ALL.map(|kind| self.position(kind).era);
        eras.into_iter().max().unwrap_or_default()
    }

    /// Returns how many objects of a kind are kept although the platform doesn't list them.
    pub fn lapsed_count(&self, kind: Kind) -> usize {
        self.table(kind).lapsed.len()
    }

    /// Returns the objects of a kind.
    pub fn records(&self, kind: Kind) -> impl Iterator<Item = &Record> {
        self.table(kind).records.values()
    }

    /// Returns one object.
    pub fn get(&self, kind: Kind, name: &str) -> Option<&Record> {
        self.table(kind).records.get(name)
    }

    /// Returns how many objects of an update this copy lacks although it has reached their positions.
    pub fn lacked_count(&self, update: &Update) -> usize {
        let table = self.table(update.kind);
        let is_missing =
            |record: &&Record| record.value.is_some() && table.is_deleted_since(record);
        update.records.iter().filter(is_missing).count()
    }

    /// Starts the grace period of missing targets, as the platform answers again after an outage.
    pub fn platform_returned(&mut self, now: Moment) {
        self.targets.grace_until = Some(now.after(LAPSE_GRACE));
    }

    /// Returns a full update for a receiver whose copy is at a position.
    pub fn snapshot(&self, kind: Kind, reached: Position) -> Update {
        let table = self.table(kind);
        // A receiver with a newer copy rejects the update, so what it holds is not sent. Objects of
        // earlier eras are missing in a copy that was listed from the restored store.
        let is_known = |record: &&Record| {
            record.position <= reached && record.position.era == table.position.era
        };
        let (kept, records): (Vec<_>, Vec<_>) = table.records.values().partition(is_known);
        let kept = kept.into_iter().map(|record| record.name.clone()).collect();
        let records = records.into_iter().cloned().collect();
        let lapsed = self.lapsed_names(kind);
        Update { kind, records, kept, lapsed, whole: true, position: table.position }
    }

    fn lapsed_names(&self, kind: Kind) -> Vec<SmolStr> {
        self.table(kind).lapsed.keys().cloned().collect()
    }

    /// Returns the number of the latest change of this copy.
    pub fn latest_change(&self) -> u64 {
        self.latest_change
    }

    /// Returns what changed of the common kinds after a numbered change of this copy, or whole copies
    /// if the log does not reach back that far. The receiver's copies are at `reached`.
    pub fn updates_after(&self, number: u64, reached: Positions) -> Vec<Update> {
        let first = self.log.front().map_or(self.latest_change + 1, |(first, ..)| *first);
        if number == 0 || number + 1 < first || number > self.latest_change {
            return vec![
                self.snapshot(Kind::Catalog, reached.catalog),
                self.snapshot(Kind::Target, reached.targets),
            ];
        }
        Kind::COMMON.into_iter().map(|kind| self.delta(kind, number)).collect()
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
                let Tombstone { position, generation } = table.deleted.get(name).copied()?;
                Some(Record { kind, name: name.clone(), position, generation, value: None })
            };
            table.records.get(name).cloned().or_else(deletion)
        };
        let records = names.into_iter().filter_map(record).collect();
        let (kept, lapsed) = (Vec::new(), self.lapsed_names(kind));
        Update { kind, records, kept, lapsed, whole: false, position: table.position }
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

    /// Returns whether an update of the platform is at least as new as this copy. After the store was
    /// restored, its changes are accepted once the objects have been listed.
    pub fn accepts(&self, update: &Update) -> bool {
        let known = self.table(update.kind).position;
        let follows = update.whole || known.is_start() || update.position.era == known.era;
        follows && self.accepts_relayed(update)
    }

    /// Returns whether an update of another host is at least as new as this copy. Only then do later
    /// changes of its sender add up to the sender's copy.
    pub fn accepts_relayed(&self, update: &Update) -> bool {
        let known = self.table(update.kind).position;
        if update.whole { update.position >= known } else { update.position.era >= known.era }
    }

    /// Applies an update from another host, whose copy includes the lapsed targets that it keeps.
    pub fn apply_relayed(&mut self, update: Update, now: Moment) -> Changes {
        if !self.accepts_relayed(&update) {
            return Changes::default();
        }
        let kind = update.kind;
        if kind == Kind::Target {
            self.targets.grace_until = None;
        }
        let lapsed = update.lapsed.clone();
        let mut changes = self.merge(update, now);
        // This host may follow another one by the time they expire, so it expires them itself.
        let grace = kind.restoration_grace().unwrap_or_default();
        let table = self.table_mut(kind);
        for name in lapsed {
            if table.records.contains_key(&name) && !table.lapsed.contains_key(&name) {
                changes.lapsed.push(name.clone());
                table.lapsed.insert(name, now.after(grace));
            }
        }
        changes
    }

    /// Applies an update of the platform; an update older than this copy changes nothing.
    pub fn apply(&mut self, update: Update, now: Moment) -> Changes {
        if !self.accepts(&update) {
            return Changes::default();
        }
        self.merge(update, now)
    }

    fn merge(&mut self, update: Update, now: Moment) -> Changes {
        let Update { kind, records, kept, lapsed: _, whole, position } = update;
        let records = latest_of_each(records);
        let known = self.table(kind).position;
        let is_restored = !known.is_start() && position.era > known.era;
        if is_restored && let Some(grace) = kind.restoration_grace() {
            self.table_mut(kind).grace_until = Some(now.after(grace));
        }
        let mut names: Vec<SmolStr> = Vec::new();
        let table = self.table(kind);
        // Changes may arrive after the copy has reached a later position by other means.
        let merge = |record: &Record| {
            let is_outdated = !whole && table.is_deleted_since(record);
            if is_outdated { Merge::Outdated } else { table.merge(record) }
        };
        let merges: Vec<_> = records.iter().map(merge).collect();
        let lapsed_before: HashSet<_> = self.table(kind).lapsed.keys().cloned().collect();
        if whole {
            let listed: HashSet<_> = records
                .iter()
                .zip(&merges)
                .filter(|(record, merge)| self.table(kind).lists(record, **merge))
                .map(|(record, _)| record.name.clone())
                .chain(kept)
                .collect();
            names = self.delete_unlisted(kind, &listed, position, now);
        }
        // Targets may be deleted as the platform heard nothing of them; other objects are deleted by
        // the operator.
        let grace = self.targets.grace_until;
        let grace = grace.filter(|until| kind == Kind::Target && now < *until);
        for (record, merge) in records.into_iter().zip(merges) {
            let table = self.table_mut(kind);
            match merge {
                Merge::Outdated => {
                    if let Some(tombstone) = table.deleted.get_mut(&record.name)
                        && record.position.era > tombstone.position.era
                    {
                        // Only a write after this update shows that the object exists again.
                        tombstone.position = position;
                    }
                }
                Merge::Unchanged => {
                    if lapsed_before.contains(&record.name) {
                        // Followers must learn that it no longer lapses.
                        names.push(record.name.clone());
                    }
                    table.records.insert(record.name.clone(), record);
                }
                Merge::Changed if record.value.is_some() => {
                    table.deleted.remove(&record.name);
                    names.push(record.name.clone());
                    table.records.insert(record.name.clone(), record);
                }
                Merge::Changed => match table.kept_until(&record.name, grace, now) {
                    Some(until) if table.records.contains_key(&record.name) => {
                        table.lapsed.insert(record.name, until);
                    }
                    _ => {
                        table.delete(&record.name, record.position, record.generation);
                        names.push(record.name);
                    }
                },
            }
        }
        let table = self.table_mut(kind);
        table.position = table.position.max(position);
        for name in &names {
            table.lapsed.remove(name);
        }
        let lapsed = table.lapsed.keys().filter(|name| !lapsed_before.contains(*name));
        let lapsed = lapsed.cloned().collect();
        self.log_changes(kind, &names);
        let changes = Changes { lapsed, ..Changes::default() };
        match kind {
            Kind::Catalog => Changes { catalog: !names.is_empty(), ..changes },
            Kind::Target => Changes { targets: names, ..changes },
            Kind::Evacuation => Changes { evacuations: !names.is_empty(), ..changes },
        }
    }

    /// Deletes the objects that a full listing lacks and returns their names; in the grace period,
    /// marks missing targets as lapsed instead.
    fn delete_unlisted(
        &mut self,
        kind: Kind,
        listed: &HashSet<SmolStr>,
        position: Position,
        now: Moment,
    ) -> Vec<SmolStr> {
        let table = self.table_mut(kind);
        table.lapsed.retain(|name, _| !listed.contains(name));
        let grace = table.grace_until.filter(|until| now < *until);
        // A configuration of an earlier era stays in force until it is written again.
        let is_kept = |record: &Record| kind == Kind::Catalog && record.position.era < position.era;
        let unlisted: Vec<_> = table
            .records
            .values()
            .filter(|record| !listed.contains(&record.name) && !is_kept(record))
            .map(|record| record.name.clone())
            .collect();
        if kind == Kind::Evacuation {
            return table.delete_ended(unlisted, position, now);
        }
        let mut deleted = Vec::new();
        for name in unlisted {
            if let Some(until) = table.kept_until(&name, grace, now) {
                table.lapsed.insert(name, until);
            } else {
                table.delete_known(&name, position);
                deleted.push(name);
            }
        }
        deleted
    }

    /// Deletes lapsed objects that were not listed again in time.
    pub fn expire(&mut self, now: Moment) -> Changes {
        let targets = self.expire_kind(Kind::Target, now);
        let evacuations = !self.expire_kind(Kind::Evacuation, now).is_empty();
        Changes { targets, evacuations, ..Changes::default() }
    }

    fn expire_kind(&mut self, kind: Kind, now: Moment) -> Vec<SmolStr> {
        let table = self.table_mut(kind);
        let lapsed = table.lapsed.iter();
        let due: Vec<_> =
            lapsed.filter(|(_, until)| now >= **until).map(|(name, _)| name.clone()).collect();
        let position = table.position;
        for name in &due {
            table.lapsed.remove(name);
            table.delete_known(name, position);
        }
        self.log_changes(kind, &due);
        due
    }
}

/// Keeps the last record of each object.
///
/// The platform does not tell when an object was deleted, so that a deletion bears the position of its
/// update. It would take precedence over a later record of the object in the same update.
fn latest_of_each(records: Vec<Record>) -> Vec<Record> {
    let mut last = HashMap::new();
    for (index, record) in records.iter().enumerate() {
        last.insert(record.name.clone(), index);
    }
    let is_last = |(index, record): &(usize, Record)| last[&record.name] == *index;
    records.into_iter().enumerate().filter(is_last).map(|(_, record)| record).collect()
}

impl Table {
    /// Compares an object of an update with what is known of it.
    fn merge(&self, record: &Record) -> Merge {
        let known = self.records.get(&record.name);
        let deleted = self.deleted.get(&record.name);
        let earlier = known.filter(|known| known.position.era < record.position.era);
        if let Some(known) = earlier {
            return match &record.value {
                _ if record.generation < known.generation => Merge::Outdated,
                value if *value == known.value => Merge::Unchanged,
                _ => Merge::Changed,
            };
        }
        let is_newer = match (record.value.is_some(), known, deleted) {
            // The object was deleted in an earlier era. An evacuation that is listed is in force, also
            // for hosts that know nothing of its deletion.
            (true, None, Some(deleted)) if deleted.position.era < record.position.era => {
                record.kind == Kind::Evacuation || record.generation > deleted.generation
            }
            (true, ..) => {
                known.is_none_or(|known| record.position > known.position)
                    && deleted.is_none_or(|deleted| record.position > deleted.position)
            }
            // A deletion may carry the revision of the change before it, and takes precedence.
            (false, ..) => {
                known.is_none_or(|known| record.position >= known.position)
                    && deleted.is_none_or(|deleted| record.position > deleted.position)
            }
        };
        if is_newer { Merge::Changed } else { Merge::Outdated }
    }

    /// Returns whether a changed object was deleted after the change: the copy holds all objects that
    /// existed at its position.
    fn is_deleted_since(&self, record: &Record) -> bool {
        record.position.era == self.position.era
            && record.position <= self.position
            && !self.records.contains_key(&record.name)
    }

    /// Returns whether a full listing with this record shows that the known object still exists.
    fn lists(&self, record: &Record, merge: Merge) -> bool {
        let known = self.records.get(&record.name);
        let is_of_earlier_era = known.is_some_and(|known| known.position.era < record.position.era);
        merge != Merge::Outdated || !is_of_earlier_era
    }

    /// Returns until when an object is kept that is no longer listed. One that has lapsed is kept as long
    /// as when that was found, also by a host that copied it.
    fn kept_until(&self, name: &SmolStr, grace: Option<Moment>, now: Moment) -> Option<Moment> {
        self.lapsed.get(name).copied().or(grace).filter(|until| now < *until)
    }

    /// Deletes the unlisted objects that were written in this era of the store, and returns their
    /// names. Those of an earlier era lapse, as the store may have lost them.
    fn delete_ended(
        &mut self,
        unlisted: Vec<SmolStr>,
        position: Position,
        now: Moment,
    ) -> Vec<SmolStr> {
        let mut ended = Vec::new();
        for name in unlisted {
            let known = self.records.get(&name);
            let is_lost = known.is_some_and(|record| record.position.era < position.era);
            let until = self.kept_until(&name, self.grace_until, now);
            match until.filter(|_| is_lost) {
                Some(until) => {
                    self.lapsed.insert(name, until);
                }
                None => {
                    self.delete_known(&name, position);
                    ended.push(name);
                }
            }
        }
        ended
    }

    /// Deletes an object and remembers its generation.
    fn delete_known(&mut self, name: &SmolStr, position: Position) {
        let generation = self.records.get(name).map(|record| record.generation);
        self.delete(name, position, generation.unwrap_or_default());
    }

    /// Deletes an object and remembers the deletion; forgets the oldest one if there are too many.
    fn delete(&mut self, name: &SmolStr, position: Position, generation: Generation) {
        let known = self.records.remove(name).map(|record| record.generation);
        if self.deleted.len() >= MAX_TOMBSTONES
            && let Some(oldest) = self.deleted.iter().min_by_key(|(_, one)| one.position)
        {
            let oldest = oldest.0.clone();
            self.deleted.remove(&oldest);
        }
        let generation = known.map_or(generation, |known| known.max(generation));
        self.deleted.insert(name.clone(), Tombstone { position, generation });
    }
}
