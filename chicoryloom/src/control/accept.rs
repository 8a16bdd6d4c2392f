//! Writes what the fleet accepted, and the roster, to the platform.

use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;

use chicoryloom_policy::Moment;
use chicoryloom_policy::id;
use chicoryloom_wire::platform::Kind;

use super::Control;
use super::roster;
use crate::store::Update;

/// Heartbeats that each further watcher waits for those before it.
const HEARTBEATS_PER_RANK: u32 = 2;

/// Writes of this host to the platform.
#[derive(Debug, Default)]
pub(super) struct Acceptor {
    writing: Arc<AtomicBool>,
    /// Since when the status lags behind what a majority holds.
    accept_since: Option<Moment>,
    /// Since when the roster differs from the platform's list.
    roster_since: Option<Moment>,
}

impl Control {
    /// Writes the accepted revision to the status if a majority holds more than it says.
    ///
    /// Every watcher may write, one after the other if those before it don't; the conditional
    /// update lets one of them win.
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

    /// Returns the latest change that a majority surely held at one instant.
    fn acceptable(&self) -> Option<id::Revision> {
        let mut pending = self.objects.pending(self.view.accepted).into_iter();
        pending.find(|revision| {
            self.tracker.is_accepted(self.quorum(), *revision, self.held_since(*revision))
        })
    }

    /// Writes the next roster if the platform's list differs from the present one.
    pub(super) fn write_roster(&mut self) {
        let now = self.now();
        let roster = &self.view.roster;
        let settled = self.view.is_accepted(roster.version);
        // A list seen before the roster's object could lead to a second first roster; the
        // conditional update refuses it.
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

    /// Returns how long this host waits for the watchers before it.
    fn write_delay(&self) -> std::time::Duration {
        let watchers = &self.view.roster.watchers;
        let rank = match watchers.iter().position(|name| *name == self.setup.name) {
            Some(rank) => rank,
            None if watchers.is_empty() => self.rank_in_list(),
            None => watchers.len(),
        };
        self.setup.heartbeat * HEARTBEATS_PER_RANK * u32::try_from(rank).unwrap_or(u32::MAX)
    }

    /// Returns this host's place in the platform's list, while there is no roster.
    fn rank_in_list(&self) -> usize {
        let names = self.listed.iter().flat_map(|listed| listed.keys());
        names.filter(|name| **name < self.setup.name).count()
    }

    /// Sends one update to the platform; the watch brings what came of it.
    fn write(&self, update: Update) {
        let writing = self.acceptor.writing.clone();
        if writing.swap(true, Ordering::AcqRel) {
            return;
        }
        let store = self.setup.store.clone();
        tokio::spawn(async move {
            let kind = update.kind;
            if let Err(error) = store.put(update).await {
                log::debug!("control: {kind}: {error}");
            }
            writing.store(false, Ordering::Release);
        });
    }
}
