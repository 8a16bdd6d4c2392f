//! This host's copy of the platform's objects, and the configuration and targets read from it.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::HashMap;
use std::fmt;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use arc_swap::ArcSwapOption;
use bytes::Bytes;
use chicoryloom_policy::Moment;
use chicoryloom_policy::catalog::Catalog;
use chicoryloom_policy::catalog::Target;
use chicoryloom_policy::id;
use chicoryloom_policy::outage;
use chicoryloom_policy::position::Era;
use chicoryloom_policy::position::Position;
use chicoryloom_policy::replica::Changes;
use chicoryloom_policy::replica::Kind;
use chicoryloom_policy::replica::Positions;
use chicoryloom_policy::replica::Record;
use chicoryloom_policy::replica::Replica;
use chicoryloom_policy::replica::Update;
use chicoryloom_policy::resumption::Evidence;
use chicoryloom_policy::rollout::Origin;
use serde_json::json;
use smol_str::SmolStr;
use tokio::sync::watch;

use super::dispatcher::Dispatcher;
use super::events::Events;
use super::package::Archive;
use super::package::Digest;
use super::package::Package;
use super::port::Dialect;
use super::port::Invalid;
use super::port::Reading;
use super::port::Unusable;
use super::pulse::Monitor;
use super::versions::Versions;
use crate::clock::Clock;

/// Time for which a host that has just started waits for the evacuations before it uses its
/// configuration without them: no other host may know them, and the platform may be down.
const MAX_EVACUATIONS_WAIT: Duration = Duration::from_secs(3);

/// Longest pause between two checks whether the copy counts again after a stop.
const COMPLETION_POLL: Duration = Duration::from_millis(20);

/// Most parts of one configuration that get an event of their own.
const MAX_REJECTED_EVENTS: usize = 20;

/// Origin of an update.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Source {
    Platform,
    /// Another host; its updates name the lapsed entries that it still keeps.
    Host(SocketAddr),
}

impl fmt::Display for Source {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Platform => f.write_str("platform"),
            Self::Host(address) => write!(f, "host {address}"),
        }
    }
}

#[derive(Debug, Default)]
struct State {
    replica: Replica,
    targets: HashMap<SmolStr, Arc<Target>>,
    /// What speaks for the copy of each kind.
    evidence: [Evidence; Kind::ALL.len()],
    /// Origin of the latest update of the targets.
    source: Option<Source>,
    /// When this host got its first configuration.
    first_catalog: Option<Moment>,
    /// Parts of the newest configuration that can't be taken, by field.
    rejected: BTreeMap<SmolStr, u64>,
}

/// Holds the copy, and the configuration and targets read from it.
pub(super) struct Mirror {
    state: Mutex<State>,
    /// Whether evacuations are replicated, which a deployment without them is spared.
    has_evacuations: bool,
    /// Whether this host has learnt which data centres are evacuated.
    knows_evacuations: AtomicBool,
    catalog: ArcSwapOption<Catalog>,
    /// Number of configurations that have been in force.
    catalogs: watch::Sender<u64>,
    dispatcher: Arc<Dispatcher>,
    dialect: Arc<dyn Dialect>,
    clock: Arc<dyn Clock>,
    events: Events,
    /// Number of the copy's latest change, and how often the copy was confirmed.
    latest: watch::Sender<(u64, u64)>,
    /// Latest era of the platform's store that the copy has reached.
    era: watch::Sender<Era>,
    versions: Arc<Versions>,
    pulse: Arc<Monitor>,
    archive: Mutex<Archive>,
    /// Number of objects that the copy lacked although it had reached their positions.
    corrections: AtomicU64,
}

impl fmt::Debug for Mirror {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "Mirror {{ latest {} }}", self.latest.borrow().0)
    }
}

impl Mirror {
    pub(super) fn new(
        dispatcher: Arc<Dispatcher>,
        dialect: Arc<dyn Dialect>,
        clock: Arc<dyn Clock>,
        events: Events,
        versions: Arc<Versions>,
        pulse: Arc<Monitor>,
        has_evacuations: bool,
    ) -> Self {
        Self {
            state: Mutex::default(),
            has_evacuations,
            knows_evacuations: AtomicBool::new(false),
            catalog: ArcSwapOption::empty(),
            catalogs: watch::Sender::new(0),
            dispatcher,
            dialect,
            clock,
            events,
            latest: watch::Sender::new((0, 0)),
            era: watch::Sender::new(Era::default()),
            versions,
            pulse,
            archive: Mutex::default(),
            corrections: AtomicU64::new(0),
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no holder of the lock panics")
    }

    /// Returns the newest configuration that this host has. A host that has just started does not use
    /// it before it knows which data centres are evacuated, for some time.
    pub(super) fn catalog(&self) -> Option<Arc<Catalog>> {
        let catalog = self.catalog.load_full()?;
        if self.has_evacuations && !self.knows_evacuations.load(Ordering::Relaxed) {
            let known_for = self.lock().first_catalog.map(|at| self.clock.now().since(at));
            if known_for.is_none_or(|time| time < MAX_EVACUATIONS_WAIT) {
                return None;
            }
        }
        Some(catalog)
    }

    /// Returns how many configurations have been in force. One that is read after this is that of the
    /// number or a later one.
    pub(super) fn catalog_number(&self) -> u64 {
        *self.catalogs.borrow()
    }

    /// Returns a receiver that is notified when another configuration comes into force.
    pub(super) fn catalog_changes(&self) -> watch::Receiver<u64> {
        self.catalogs.subscribe()
    }

    /// Returns the kinds that this host replicates.
    pub(super) fn kinds(&self) -> &'static [Kind] {
        if self.has_evacuations { &Kind::ALL } else { &Kind::COMMON }
    }

    /// Returns the newest configuration as soon as there is one, or `None` after `wait`.
    pub(super) async fn first_catalog(&self, wait: Duration) -> Option<Arc<Catalog>> {
        let mut latest = self.latest.subscribe();
        let known = async {
            loop {
                if let Some(catalog) = self.catalog() {
                    return Some(catalog);
                }
                // The mirror owns the sender, so this never fails.
                latest.changed().await.ok()?;
            }
        };
        tokio::time::timeout(wait, known).await.ok().flatten()
    }

    /// Returns the time since the copies of all kinds were confirmed to be the platform's state.
    pub(super) fn age(&self) -> Duration {
        let oldest = self.oldest(&self.lock().evidence);
        oldest.map_or(Duration::MAX, |oldest| self.clock.now().since(oldest))
    }

    /// Returns when the kind that was confirmed least recently was.
    fn oldest(&self, evidence: &[Evidence]) -> Option<Moment> {
        self.kinds().iter().map(|kind| evidence[*kind as usize].confirmed).min().flatten()
    }

    /// Returns whether this host may decide by its copy; it may not after a stop of its process, until the
    /// copy is confirmed.
    pub(super) fn is_reliable(&self) -> bool {
        let resumed = self.pulse.resumed();
        if resumed.is_none() {
            return true;
        }
        let (evidence, now) = (self.lock().evidence, self.clock.now());
        self.kinds().iter().all(|kind| evidence[*kind as usize].suffices(resumed, now))
    }

    /// Returns whether the copy of a kind was not checked since the latest stop of this process.
    pub(super) fn is_unchecked(&self, kind: Kind) -> bool {
        let resumed = self.pulse.resumed();
        self.lock().evidence[kind as usize].is_unchecked(resumed)
    }

    /// Returns whether this process was stopped at any time since `begun`.
    pub(super) fn was_stopped(&self, begun: Moment) -> bool {
        self.pulse.was_stopped(begun)
    }

    /// Records a call, begun at `begun`, that showed that this host knows as much of a kind as one whose
    /// process was never stopped.
    pub(super) fn vouch(&self, kind: Kind, begun: Moment) {
        self.lock().evidence[kind as usize].vouch(begun);
        // Requests may wait for it.
        self.latest.send_modify(|_| {});
    }

    /// Returns whether this host may decide by its copy, and doesn't lack a version that others hold.
    pub(super) fn is_complete(&self) -> bool {
        self.is_reliable() && !self.versions.is_behind()
    }

    /// Waits until [`Self::is_complete`] holds, for `wait` at most; returns whether it does.
    pub(super) async fn wait_until_complete(&self, wait: Duration) -> bool {
        if self.is_complete() {
            return true;
        }
        let mut latest = self.latest.subscribe();
        let complete = async {
            while !self.is_complete() {
                // A timeout is no error here, and the mirror owns the sender.
                let _ = tokio::time::timeout(COMPLETION_POLL, latest.changed()).await;
            }
        };
        tokio::time::timeout(wait, complete).await.is_ok()
    }

    /// Returns whether the latest update came from `source`.
    pub(super) fn is_from(&self, source: Source) -> bool {
        self.lock().source == Some(source)
    }

    /// Returns the platform's position up to which the objects of a kind are known.
    pub(super) fn position(&self, kind: Kind) -> Position {
        self.lock().replica.position(kind)
    }

    /// Returns the number of the latest change, and the updates that bring a host up to it that has
    /// change `number` and the positions in `reached`.
    pub(super) fn after(&self, number: u64, reached: Positions) -> (u64, Vec<Update>) {
        let state = self.lock();
        (state.replica.latest_change(), state.replica.updates_after(number, reached))
    }

    /// Returns the versions of the configuration that this host and the others hold.
    pub(super) fn versions(&self) -> &Versions {
        &self.versions
    }

    /// Records that the newest version of the configuration was known `age` ago, whether this host
    /// holds it or not.
    pub(super) fn confirm_newest(&self, age: Duration) {
        let now = self.clock.now();
        self.lock().evidence[Kind::Catalog as usize].confirm(now.before(age));
    }

    /// Does the same as [`Self::after`] for a follower that fetches the configuration by itself: what is
    /// returned confirms the one that the follower has, or leaves it out.
    pub(super) fn after_apart(&self, number: u64, reached: Positions) -> (u64, Vec<Update>) {
        let state = self.lock();
        let mut updates = state.replica.updates_after(number, reached);
        updates.retain(|update| update.kind != Kind::Catalog);
        let mut catalog = state.replica.snapshot(Kind::Catalog, reached.catalog);
        // A version of an earlier era that the follower lacks is announced, like any other.
        let is_known = |record: &Record| record.position <= reached.catalog;
        if catalog.records.iter().all(is_known) && !catalog.position.is_start() {
            let known = catalog.records.drain(..).map(|record| record.name);
            catalog.kept.extend(known);
            updates.push(catalog);
        }
        (state.replica.latest_change(), updates)
    }

    fn archive(&self) -> MutexGuard<'_, Archive> {
        self.archive.lock().expect("no holder of the lock panics")
    }

    /// Returns the configuration that this host has.
    pub(super) fn contents(&self) -> Option<(Digest, Bytes)> {
        self.archive().latest()
    }

    /// Packs the configuration for a host that has `base`; `None` if this host has none.
    pub(super) fn package(&self, base: Option<Digest>) -> Option<io::Result<Package>> {
        let update = self.lock().replica.snapshot(Kind::Catalog, Position::default());
        let written = update.records.iter().map(|record| record.position).max()?;
        let written = written.max(Position::new(update.position.era, 0));
        let base = base.and_then(|base| self.archive().base(base));
        let known = self.archive().package(written, base.as_ref().map(|(digest, _)| *digest));
        if let Some(package) = known {
            return Some(Ok(package));
        }
        let dictionary = base.as_ref().map(|(digest, contents)| (*digest, &contents[..]));
        let package = Package::pack(&update, dictionary);
        if let Ok(package) = &package {
            self.archive().keep(written, package.clone());
        }
        Some(package)
    }

    /// Returns the platform's positions that the copies have reached.
    pub(super) fn reached(&self) -> Positions {
        self.lock().replica.positions()
    }

    /// Returns the update that brings a host up to this one's evacuations whose copy of them has
    /// reached a position; `None` if this host does not know them.
    pub(super) fn evacuations_after(&self, reached: Position) -> Option<Update> {
        let state = self.lock();
        let is_known = !state.replica.position(Kind::Evacuation).is_start();
        (self.has_evacuations && is_known)
            .then(|| state.replica.snapshot(Kind::Evacuation, reached))
    }

    /// Waits until the platform's store is known to be in a later era than `known`.
    pub(super) async fn later_era(&self, known: Era) {
        let mut era = self.era.subscribe();
        // The mirror owns the sender, so this never fails.
        let _ = era.wait_for(|era| *era > known).await;
    }

    /// Returns whether changes remove most targets of a service at once.
    pub(super) fn loses_service(&self, update: &Update) -> bool {
        if update.kind != Kind::Target {
            return false;
        }
        let state = self.lock();
        let mut removed: HashMap<&id::Service, usize> = HashMap::new();
        for record in &update.records {
            if record.value.is_none()
                && let Some(target) = state.targets.get(&record.name)
            {
                *removed.entry(&target.service).or_default() += 1;
            }
        }
        let mut is_lost = false;
        for (service, removed) in removed {
            let known = state.targets.values().filter(|target| target.service == *service).count();
            if outage::is_mass_removal(removed, known) {
                is_lost = true;
                let fields =
                    json!({ "service": service.as_str(), "removed": removed, "known": known });
                self.events.emit("targets_vanish", fields);
            }
        }
        is_lost
    }

    /// Returns how many missing objects listings of the platform have added to the copy.
    pub(super) fn corrections(&self) -> u64 {
        self.corrections.load(Ordering::Relaxed)
    }

    /// Returns how many parts of the newest configuration can't be taken, by field.
    pub(super) fn rejected(&self) -> BTreeMap<SmolStr, u64> {
        self.lock().rejected.clone()
    }

    /// Returns how many targets are known, and how many of them are kept although the platform no
    /// longer lists them.
    pub(super) fn target_counts(&self) -> (usize, usize) {
        let state = self.lock();
        (state.targets.len(), state.replica.lapsed_count(Kind::Target))
    }

    /// Returns the latest known era of the platform's store.
    pub(super) fn era(&self) -> Era {
        *self.era.borrow()
    }

    /// Waits until there is a change after `number` or the copy is confirmed again, for `wait` at
    /// most.
    pub(super) async fn wait_for_update(&self, number: u64, wait: Duration) {
        let mut latest = self.latest.subscribe();
        let (_, confirmed) = *latest.borrow();
        let has_news = |(change, now): &(u64, u64)| *change > number || *now > confirmed;
        // The mirror owns the sender, so it is never gone; a timeout is no error here.
        let _ = tokio::time::timeout(wait, latest.wait_for(has_news)).await;
    }

    /// Starts the grace period for lapsed entries, as the platform answers again after an outage.
    pub(super) fn platform_returned(&self) {
        let now = self.clock.now();
        self.lock().replica.platform_returned(now);
    }

    /// Applies an update that was confirmed to be the platform's state `age` ago; returns whether
    /// the copy accepted it. An update that lists all objects is rejected if it is older than the
    /// copy, and any update if it is from an earlier era of the platform's store.
    pub(super) fn apply(&self, update: Update, age: Duration, source: Source) -> bool {
        let now = self.clock.now();
        let mut state = self.lock();
        let accepted = match source {
            Source::Platform => state.replica.accepts(&update),
            Source::Host(_) => state.replica.accepts_relayed(&update),
        };
        let (kind, before) = (update.kind, state.replica.position(update.kind));
        if kind == Kind::Target {
            state.source = Some(source);
        }
        let (listed, position) = (update.records.len(), update.position);
        if accepted && position >= before {
            let oldest_before = self.oldest(&state.evidence);
            let evidence = &mut state.evidence[kind as usize];
            evidence.confirm(now.before(age));
            if kind == Kind::Target {
                self.dispatcher.set_listed(evidence.confirmed);
            }
            // A response after the first of two confirmations would bear the age of the other kind.
            if self.oldest(&state.evidence) > oldest_before {
                self.latest.send_modify(|(_, confirmed)| *confirmed += 1);
            }
        }
        let missing = state.replica.lacked_count(&update);
        if accepted && update.whole && missing > 0 {
            self.corrections.fetch_add(missing as u64, Ordering::Relaxed);
            let fields = json!({ "kind": format!("{kind:?}"), "missing": missing, "from": source.to_string() });
            self.events.emit("copy_corrected", fields);
        }
        let changes = match source {
            Source::Platform => state.replica.apply(update, now),
            Source::Host(_) => state.replica.apply_relayed(update, now),
        };
        if accepted && !before.is_start() && position.era > before.era {
            let fields = json!({
                "kind": format!("{kind:?}"), "era": position.era.0, "before": before.era.0,
                "revision": position.revision, "revision_before": before.revision,
                "listed": listed, "changed": changes.len(),
                "kept_until_grace_ends": state.replica.lapsed_count(kind), "from": source.to_string(),
            });
            self.events.emit("store_restored", fields);
        }
        let era = state.replica.era();
        self.era.send_if_modified(|known| std::mem::replace(known, era) != era);
        self.apply_changes(&mut state, &changes, Some(source));
        if accepted
            && kind == Kind::Evacuation
            && !self.knows_evacuations.swap(true, Ordering::Relaxed)
        {
            // Requests that wait for the first configuration can go on.
            self.latest.send_modify(|_| {});
        }
        accepted
    }

    /// Removes objects whose entries lapsed and were not listed again within the grace period.
    pub(super) fn expire(&self) {
        let now = self.clock.now();
        let mut state = self.lock();
        let changes = state.replica.expire(now);
        self.apply_changes(&mut state, &changes, None);
    }

    /// Applies changes of the copy; they come from `source`, or from the end of a grace period.
    fn apply_changes(&self, state: &mut State, changes: &Changes, source: Option<Source>) {
        let origin = match source {
            Some(Source::Platform) => Origin::Platform,
            Some(Source::Host(_)) | None => Origin::Host,
        };
        let source = source.map_or_else(|| "grace over".to_owned(), |source| source.to_string());
        let source = source.as_str();
        for name in &changes.lapsed {
            self.events.emit("object_kept", json!({ "name": name.as_str(), "from": source }));
        }
        if changes.is_empty() {
            return;
        }
        if changes.catalog {
            self.read_catalog(state, source);
            let records = state.replica.records(Kind::Catalog);
            let newest = records.max_by_key(|record| record.generation);
            if let Some(contents) = newest.and_then(|record| record.value.as_ref()) {
                self.archive().add(contents.clone());
            }
            // A version that can't be taken is not held, though the copy has it.
            if let Some(catalog) = &*self.catalog.load() {
                self.versions.hold(catalog.version, origin);
            }
        }
        if changes.evacuations {
            self.read_evacuations(state, source);
        }
        for name in &changes.targets {
            self.read_target(state, name, source);
        }
        let targets = state.targets.values().cloned().collect();
        self.dispatcher.set_targets(targets, self.catalog.load_full());
        let number = state.replica.latest_change();
        self.latest.send_modify(|(latest, _)| *latest = number);
    }

    fn read_catalog(&self, state: &mut State, source: &str) {
        // The platform keeps one object of this kind. If others were written, the newest counts.
        let record = state.replica.records(Kind::Catalog).max_by_key(|record| record.generation);
        let Some((position, value)) =
            record.and_then(|record| Some((record.position, record.value.as_ref()?)))
        else {
            return;
        };
        match self.dialect.catalog(value) {
            Ok(Reading { catalog, rejected }) => {
                let known = self.catalog.load_full().map(|known| known.version);
                let fields = json!({
                    "version": catalog.version.0, "before": known.map(|version| version.0),
                    "revision": position.revision, "era": position.era.0, "from": source,
                });
                if known.is_some_and(|known| known >= catalog.version) {
                    self.events.emit("configuration_older", fields);
                    return;
                }
                self.events.emit("configuration", fields);
                for invalid in rejected.iter().take(MAX_REJECTED_EVENTS) {
                    let fields = json!({
                        "version": catalog.version.0, "field": invalid.field.as_str(),
                        "error": invalid.reason, "rejected": rejected.len(),
                    });
                    self.events.emit("configuration_rejected", fields);
                }
                state.rejected = count_by_field(&rejected);
                self.put_in_force(Arc::new(catalog));
                state.first_catalog.get_or_insert(self.clock.now());
            }
            Err(Unusable { error, granted }) => {
                let rest = granted.as_ref().and_then(|granted| {
                    self.catalog.load_full()?.without_withdrawn(granted).map(Arc::new)
                });
                let fields = json!({
                    "revision": position.revision, "era": position.era.0,
                    "field": error.field.as_str(), "error": error.reason, "from": source,
                    "withdraws_keys": rest.is_some(), "are_keys_readable": granted.is_some(),
                });
                self.events.emit("configuration_invalid", fields);
                state.rejected = count_by_field(&[error]);
                if let Some(rest) = rest {
                    self.put_in_force(rest);
                }
            }
        }
    }

    fn put_in_force(&self, catalog: Arc<Catalog>) {
        self.catalog.store(Some(catalog));
        self.catalogs.send_modify(|number| *number += 1);
    }

    fn read_evacuations(&self, state: &State, source: &str) {
        let records = state.replica.records(Kind::Evacuation);
        let evacuated: BTreeSet<_> =
            records.map(|record| id::DataCentre::alias(&record.name)).collect();
        let revision = state.replica.position(Kind::Evacuation).revision;
        self.dispatcher.set_evacuated(&evacuated, revision, source);
    }

    fn read_target(&self, state: &mut State, name: &SmolStr, source: &str) {
        let record = state.replica.get(Kind::Target, name);
        let value = record.and_then(|record| Some((record.position, record.value.clone()?)));
        let Some((position, value)) = value else {
            state.targets.remove(name);
            let fields = json!({ "target": name.as_str(), "from": source });
            self.events.emit("target_gone", fields);
            return;
        };
        match self.dialect.target(name, &value) {
            Ok(target) => {
                let fields = json!({
                    "target": name.as_str(), "instance": target.instance.as_str(),
                    "service": target.service.as_str(),
                    "address": target.address.to_string(), "leaving": target.leaving,
                    "born": target.born, "revision": position.revision, "era": position.era.0,
                    "from": source,
                });
                self.events.emit("target_listed", fields);
                state.targets.insert(name.clone(), Arc::new(target));
            }
            Err(error) => {
                state.targets.remove(name);
                let error = error.to_string();
                let fields = json!({
                    "target": name.as_str(), "revision": position.revision,
                    "era": position.era.0, "error": error,
                });
                self.events.emit("target_invalid", fields);
            }
        }
    }
}

fn count_by_field(rejected: &[Invalid]) -> BTreeMap<SmolStr, u64> {
    let mut counts = BTreeMap::new();
    for invalid in rejected {
        *counts.entry(invalid.field.clone()).or_default() += 1;
    }
    counts
}
