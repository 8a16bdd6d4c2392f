//! Writes the accepted revision and the roster to the platform.

use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;

use chicoryloom_policy::Moment;
use chicoryloom_policy::id;
use chicoryloom_wire::platform::Kind;

use super::Control;
use super::roster;
use crate::store::Update;

/// Heartbeat intervals that a watcher waits per watcher ranked before it.
const HEARTBEATS_PER_RANK: u32 = 2;

/// State of this host's writes to the platform.
#[derive(Debug, Default)]
pub(super) struct Acceptor {
    /// Whether a write is in progress; there is at most one at a time.
    writing: Arc<AtomicBool>,
    /// When the status was first seen to lag behind what a majority holds.
    accept_since: Option<Moment>,
    /// When the roster was first seen to differ from the platform's list.
    roster_since: Option<Moment>,
}

impl Control {
    /// Writes the accepted revision to the status object if a majority holds a later one.
    ///
    /// Any watcher may write, but waits for those ranked before it. If several write, the
    /// conditional update lets only one succeed.
    pub(super) fn write_accepted(&mut self) {
        let now = self.now();
        let newest = self.acceptable();
        let Some(revision) = newest.filter(|_| self.reaches_platform(now)) else {
            self.acceptor.accept_since = None;
            return;
        };
        let since = *self.acceptor.accept_since.get_or_insert(now);
        if now < since.after(self.write_delay()) {
            return;
        }
        let expected = self.objects.get(Kind::Status, roster::NAME);
        let expected = expected.map(|object| object.version).unwrap_or_default();
        self.write(Update {
            kind: Kind::Status,
            name: roster::NAME.to_owned(),
            value: roster::render_accepted(revision),
            expected,
        });
    }

    /// Returns the latest change that a majority provably held at one instant.
    fn acceptable(&self) -> Option<id::Revision> {
        let mut pending = self.objects.pending(self.view.accepted).into_iter();
        pending.find(|revision| {
            self.tracker.is_accepted(self.quorum(), *revision, self.held_since(*revision))
        })
    }

    /// Writes the next roster if the platform's list differs from the current one.
    pub(super) fn write_roster(&mut self) {
        let now = self.now();
        let roster = &self.view.roster;
        let settled = self.view.is_accepted(roster.version);
        // A host that has the list but not yet the roster object could try to create the roster a
        // second time; the conditional update rejects that write.
        let next = self.listed.as_ref().and_then(|listed| roster.next(listed, settled));
        let Some(next) = next else {
            self.acceptor.roster_since = None;
            return;
        };
        let first = roster.version == id::Revision::default();
        if !first && !self.reaches_platform(now) {
            return;
        }
        let expected = roster.version;
        let since = *self.acceptor.roster_since.get_or_insert(now);
        if now < since.after(self.write_delay()) {
            return;
        }
        self.write(Update {
            kind: Kind::Roster,
            name: roster::NAME.to_owned(),
            value: next.render(),
            expected,
        });
    }

    /// Returns how long this host waits for the watchers ranked before it.
    fn write_delay(&self) -> std::time::Duration {
        let watchers = &self.view.roster.watchers;
        let rank = match watchers.iter().position(|name| *name == self.setup.name) {
            Some(rank) => rank,
            None if watchers.is_empty() => self.rank_in_list(),
            None => watchers.len(),
        };
        self.setup.heartbeat * HEARTBEATS_PER_RANK * u32::try_from(rank).unwrap_or(u32::MAX)
    }

    /// Returns this host's rank by name in the platform's list, used while there is no roster.
    fn rank_in_list(&self) -> usize {
        let names = self.listed.iter().flat_map(|listed| listed.keys());
        names.filter(|name| **name < self.setup.name).count()
    }

    /// Starts one update of the platform unless another is in progress.
    ///
    /// The result arrives through the watch.
    fn write(&self, update: Update) {
        let writing = self.acceptor.writing.clone();
        if writing.swap(true, Ordering::AcqRel) {
            return;
        }
        let store = self.setup.store.clone();
        tokio::spawn(async move {
            let kind = update.kind;
            if let Err(error) = store.put(update).await {
                log::debug!("control: write of the {kind}: {error}");
            }
            writing.store(false, Ordering::Release);
        });
    }
}
