//! The versions of the configuration that this host and the others hold.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::time::Duration;

use chicoryloom_policy::catalog::Version;
use chicoryloom_policy::rollout::Origin;
use chicoryloom_policy::rollout::Rollout;
use serde::Deserialize;
use serde::Serialize;
use tokio::sync::Notify;

use crate::clock::Clock;

/// That a host holds a version; the value of
/// [`Field::Holding`](super::extension::Field::Holding).
#[derive(Clone, Copy, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub(super) struct Holding {
    version: u64,
    /// Time for which it has held the version.
    held_ms: u32,
}

impl Holding {
    pub(super) fn version(self) -> Version {
        Version(self.version)
    }
}

/// What this host lacks of the configuration.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Lack {
    /// A version that others hold.
    Version(Version),
    /// The platform's position of the version that it holds, which the relay at an address knows: the
    /// store was restored from a copy, for instance.
    Position(SocketAddr),
}

/// Shares a [`Rollout`] between the requests, the copy and the messages to other hosts.
#[derive(Debug)]
pub(super) struct Versions {
    rollout: Mutex<Rollout>,
    clock: Arc<dyn Clock>,
    /// Relay that left out the configuration from its latest response.
    omitted_by: Mutex<Option<SocketAddr>>,
    /// Notified when there may be something to fetch, or this host holds another version. Only the task that
    /// fetches configurations waits for it.
    news: Notify,
}

impl Versions {
    pub(super) fn new(clock: Arc<dyn Clock>) -> Self {
        Self { rollout: Mutex::default(), clock, omitted_by: Mutex::default(), news: Notify::new() }
    }

    fn lock(&self) -> MutexGuard<'_, Rollout> {
        self.rollout.lock().expect("no holder of the lock panics")
    }

    /// Records another host's announcement.
    pub(super) fn announce(&self, holding: Holding) {
        let held_for = Duration::from_millis(holding.held_ms.into());
        if self.lock().announce(holding.version(), held_for, self.clock.now()) {
            self.news.notify_one();
        }
    }

    /// Records the version that this host holds.
    pub(super) fn hold(&self, version: Version, origin: Origin) {
        self.lock().hold(version, origin, self.clock.now());
        self.news.notify_one();
    }

    /// Returns whether this host holds a version or a later one.
    pub(super) fn holds(&self, version: Version) -> bool {
        self.lock().held().is_some_and(|(held, _)| held >= version)
    }

    /// Returns whether the whole fleet must be told at once of the version that this host holds.
    pub(super) fn take_news(&self) -> bool {
        self.lock().take_news()
    }

    /// Returns the announcement to other hosts.
    pub(super) fn holding(&self) -> Option<Holding> {
        let (version, since) = self.lock().held()?;
        let held_for = self.clock.now().since(since).as_millis();
        let held_ms = u32::try_from(held_for).unwrap_or(u32::MAX);
        Some(Holding { version: version.0, held_ms })
    }

    /// Returns the latest version that this host lacks.
    pub(super) fn missing(&self) -> Option<Version> {
        self.lock().missing(self.clock.now())
    }

    /// Returns whether this host must take no requests, as it lacks a version for too long.
    pub(super) fn is_behind(&self) -> bool {
        self.lock().is_behind(self.clock.now())
    }

    fn omitted_by(&self) -> MutexGuard<'_, Option<SocketAddr>> {
        self.omitted_by.lock().expect("no holder of the lock panics")
    }

    /// Records that a relay left out its configuration, as it is at another position than this host's.
    pub(super) fn note_omitted(&self, relay: SocketAddr) {
        *self.omitted_by() = Some(relay);
        self.news.notify_one();
    }

    /// Waits until this host holds a version or a later one.
    pub(super) async fn wait_for(&self, version: Version) {
        while !self.holds(version) {
            self.news.notified().await;
        }
    }

    /// Waits until this host lacks a version that others hold.
    pub(super) async fn wait_for_missing(&self) {
        while self.missing().is_none() {
            self.news.notified().await;
        }
    }

    /// Waits until this host lacks something.
    pub(super) async fn wait_for_lack(&self) -> Lack {
        loop {
            let omitted_by = self.omitted_by().take();
            if let Some(version) = self.missing() {
                return Lack::Version(version);
            }
            if let Some(relay) = omitted_by {
                return Lack::Position(relay);
            }
            self.news.notified().await;
        }
    }
}
