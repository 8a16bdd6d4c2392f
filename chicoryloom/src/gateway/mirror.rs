//! This host's copy of the platform's objects, and what it makes of them.

use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::time::Duration;

use arc_swap::ArcSwapOption;
use chicoryloom_policy::Moment;
use chicoryloom_policy::catalog::Catalog;
use chicoryloom_policy::catalog::Target;
use chicoryloom_policy::replica::Changes;
use chicoryloom_policy::replica::Kind;
use chicoryloom_policy::replica::Replica;
use chicoryloom_policy::replica::Revisions;
use chicoryloom_policy::replica::Update;
use serde_json::json;
use smol_str::SmolStr;
use tokio::sync::watch;

use super::dispatcher::Dispatcher;
use super::events::Events;
use super::port::Dialect;
use crate::clock::Clock;

/// Time after which a copy may lack changes that others act on already. It leaves room within the
/// two seconds in which a change binds.
pub(super) const MAX_FRESH_AGE: Duration = Duration::from_millis(1400);

/// Where an update comes from.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Source {
    Platform,
    /// Another host, which keeps lapsed entries by itself.
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
struct Copy {
    replica: Replica,
    targets: std::collections::HashMap<SmolStr, Target>,
    /// When the copy of each kind was last surely the platform's state.
    confirmed: [Option<Moment>; Kind::ALL.len()],
    /// Where the latest update came from.
    source: Option<Source>,
}

/// The copy, and the configuration and targets read from it.
pub(super) struct Mirror {
    copy: Mutex<Copy>,
    catalog: ArcSwapOption<Catalog>,
    dispatcher: Arc<Dispatcher>,
    dialect: Arc<dyn Dialect>,
    clock: Arc<dyn Clock>,
    events: Events,
    /// Number of the copy's latest change, and of its latest confirmation.
    latest: watch::Sender<(u64, u64)>,
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
    ) -> Self {
        Self {
            copy: Mutex::default(),
            catalog: ArcSwapOption::empty(),
            dispatcher,
            dialect,
            clock,
            events,
            latest: watch::Sender::new((0, 0)),
        }
    }

    fn lock(&self) -> MutexGuard<'_, Copy> {
        self.copy.lock().expect("no holder of the lock panics")
    }

    /// Returns the newest configuration that is known.
    pub(super) fn catalog(&self) -> Option<Arc<Catalog>> {
        self.catalog.load_full()
    }

    /// Returns the newest configuration, once any is known, or `None` after `wait`.
    pub(super) async fn first_catalog(&self, wait: Duration) -> Option<Arc<Catalog>> {
        let mut latest = self.latest.subscribe();
        let known = async {
            loop {
                if let Some(catalog) = self.catalog() {
                    return Some(catalog);
                }
                // The sender lives as long as the mirror.
                latest.changed().await.ok()?;
            }
        };
        tokio::time::timeout(wait, known).await.ok().flatten()
    }

    /// Returns the time since the copy was surely the platform's state.
    pub(super) fn age(&self) -> Duration {
        let confirmed = self.lock().confirmed;
        let oldest = confirmed.iter().min().copied().flatten();
        oldest.map_or(Duration::MAX, |oldest| self.clock.now().since(oldest))
    }

    /// Tells whether the latest update came from a given source.
    pub(super) fn is_from(&self, source: Source) -> bool {
        self.lock().source == Some(source)
    }

    /// Returns the platform's revision that the objects of a kind reach.
    pub(super) fn revision(&self, kind: Kind) -> u64 {
        self.lock().replica.revision(kind)
    }

    /// Returns the number of the latest change and what changed after another one.
    pub(super) fn after(&self, number: u64, reached: Revisions) -> (u64, Vec<Update>) {
        let copy = self.lock();
        (copy.replica.latest_change(), copy.replica.updates_after(number, reached))
    }

    /// Returns what the copies reach.
    pub(super) fn reached(&self) -> Revisions {
        self.lock().replica.revisions()
    }

    /// Waits until there is a change after a numbered one or the copy is confirmed, `wait` at
    /// most.
    pub(super) async fn wait_for_update(&self, number: u64, wait: Duration) {
        let mut latest = self.latest.subscribe();
        let (_, confirmed) = *latest.borrow();
        let has_news = |(change, now): &(u64, u64)| *change > number || *now > confirmed;
        // The sender lives as long as the mirror, and running out of time is no error.
        let _ = tokio::time::timeout(wait, latest.wait_for(has_news)).await;
    }

    /// Notes that the platform answers again after it was away.
    pub(super) fn platform_returned(&self) {
        let now = self.clock.now();
        self.lock().replica.platform_returned(now);
    }

    /// Applies an update that was surely the platform's state `age` ago; tells whether it was at
    /// least as new as the copy.
    pub(super) fn apply(&self, update: Update, age: Duration, source: Source) -> bool {
        let now = self.clock.now();
        let mut copy = self.lock();
        let accepted = copy.replica.accepts(&update);
        copy.source = Some(source);
        let index = usize::from(update.kind == Kind::Target);
        if update.revision >= copy.replica.revision(update.kind) {
            let confirmed = now.before(age);
            copy.confirmed[index] = copy.confirmed[index].max(Some(confirmed));
            self.latest.send_modify(|(_, confirmed)| *confirmed += 1);
        }
        let changes = match source {
            Source::Platform => copy.replica.apply(update, now),
            Source::Host(_) => copy.replica.apply_relayed(update, now),
        };
        self.take(&mut copy, &changes, &source.to_string());
        accepted
    }

    /// Drops targets whose entries lapsed and did not come back in time.
    pub(super) fn expire(&self) {
        let now = self.clock.now();
        let mut copy = self.lock();
        let changes = copy.replica.expire(now);
        self.take(&mut copy, &changes, "grace over");
    }

    fn take(&self, copy: &mut Copy, changes: &Changes, source: &str) {
        if changes.is_empty() {
            return;
        }
        if changes.catalog {
            self.read_catalog(copy, source);
        }
        for name in &changes.targets {
            self.read_target(copy, name, source);
        }
        let targets = copy.targets.values().cloned().collect();
        self.dispatcher.set_targets(targets, self.catalog().as_deref());
        let number = copy.replica.latest_change();
        self.latest.send_modify(|(latest, _)| *latest = number);
    }

    fn read_catalog(&self, copy: &Copy, source: &str) {
        // The kind has one object; any other name was written by someone else.
        let record = copy.replica.records(Kind::Catalog).max_by_key(|record| record.revision);
        let Some((revision, value)) =
            record.and_then(|record| Some((record.revision, record.value.as_ref()?)))
        else {
            return;
        };
        match self.dialect.catalog(value) {
            Ok(catalog) => {
                let known = self.catalog().map(|known| known.version);
                let fields = json!({
                    "version": catalog.version.0, "before": known.map(|version| version.0),
                    "revision": revision, "from": source,
                });
                if known.is_some_and(|known| known >= catalog.version) {
                    self.events.emit("configuration_older", fields);
                    return;
                }
                self.events.emit("configuration", fields);
                self.catalog.store(Some(Arc::new(catalog)));
            }
            Err(error) => {
                let error = error.to_string();
                let fields = json!({ "revision": revision, "error": error, "from": source });
                self.events.emit("configuration_invalid", fields);
            }
        }
    }

    fn read_target(&self, copy: &mut Copy, name: &SmolStr, source: &str) {
        let record = copy.replica.get(Kind::Target, name);
        let value = record.and_then(|record| Some((record.revision, record.value.clone()?)));
        let Some((revision, value)) = value else {
            copy.targets.remove(name);
            let fields = json!({ "target": name.as_str(), "from": source });
            self.events.emit("target_gone", fields);
            return;
        };
        match self.dialect.target(name, &value) {
            Ok(target) => {
                let fields = json!({
                    "target": name.as_str(), "service": target.service.as_str(),
                    "address": target.address.to_string(), "leaving": target.leaving,
                    "born": target.born, "revision": revision, "from": source,
                });
                self.events.emit("target_listed", fields);
                copy.targets.insert(name.clone(), target);
            }
            Err(error) => {
                copy.targets.remove(name);
                let error = error.to_string();
                let fields =
                    json!({ "target": name.as_str(), "revision": revision, "error": error });
                self.events.emit("target_invalid", fields);
            }
        }
    }
}
