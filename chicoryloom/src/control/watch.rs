//! Watches the platform for changes of objects and of the host list.

use std::sync::Arc;
use std::time::Duration;

use chicoryloom_policy::id;
use chicoryloom_wire::platform::Kind;
use rand::Rng;
use xtra::Address;

use super::Control;
use super::Fetched;
use super::Listed;
use super::Published;
use super::StatusVersion;
use super::roster::NAME;
use crate::clock::Clock;
use crate::store::Error;
use crate::store::Store;

/// Shortest pause after a failed call.
const MIN_PAUSE: Duration = Duration::from_millis(100);
/// Longest pause after a failed call.
const MAX_PAUSE: Duration = Duration::from_secs(2);
/// Mean time between two probes by the whole fleet while no host reaches the platform.
const FLEET_PROBE_INTERVAL: Duration = Duration::from_millis(100);
/// How often a host on standby checks its mode.
const MODE_CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Rounds between two reads of the host list, and between two reads of the status.
const ROUNDS_PER_REFRESH: u32 = 2;

/// How a host watches the platform.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(crate) enum WatchMode {
    /// Watch continuously.
    #[default]
    Watch,
    /// No host reaches the platform; probe it at random intervals.
    Probe,
    /// Other hosts watch and vouch for this host.
    Standby,
}

impl WatchMode {
    pub(super) const fn to_bits(self) -> u8 {
        match self {
            Self::Watch => 0,
            Self::Probe => 1,
            Self::Standby => 2,
        }
    }

    pub(super) const fn from_bits(bits: u8) -> Self {
        match bits {
            2 => Self::Standby,
            1 => Self::Probe,
            _ => Self::Watch,
        }
    }
}

/// What the watch of the platform needs.
pub(crate) struct Watch {
    pub(crate) store: Arc<dyn Store>,
    pub(crate) clock: Arc<dyn Clock>,
    pub(crate) control: Address<Control>,
    pub(crate) published: Arc<Published>,
    /// Longest wait of one long poll; less than the freshness window, since a call confirms the
    /// state as of its start.
    pub(crate) wait: Duration,
}

/// Watches the platform until the control actor has stopped.
pub(crate) async fn watch(watch: Watch) {
    let mut pause = MIN_PAUSE;
    let mut rounds = 0;
    let mut cursor = id::Revision::default();
    while watch.control.is_connected() {
        let wait = match watch.published.watch_mode() {
            WatchMode::Watch => watch.wait,
            WatchMode::Probe => {
                tokio::time::sleep(watch.probe_pause()).await;
                Duration::ZERO
            }
            WatchMode::Standby => {
                tokio::time::sleep(MODE_CHECK_INTERVAL).await;
                continue;
            }
        };
        if watch.published.watch_mode() == WatchMode::Standby {
            continue;
        }
        match watch.round(&mut cursor, wait, rounds).await {
            Ok(true) => pause = MIN_PAUSE,
            Ok(false) => pause = back_off(pause).await,
            Err(error) => {
                log::debug!("watch: {error}");
                pause = back_off(pause).await;
            }
        }
        rounds = rounds.wrapping_add(1);
    }
}

impl Watch {
    /// Runs one round of calls to the platform; returns whether the changes could be used.
    async fn round(
        &self,
        cursor: &mut id::Revision,
        wait: Duration,
        number: u32,
    ) -> Result<bool, Error> {
        // A failed send means that the actor has stopped, which ends the caller's loop.
        if number == 0 || number % ROUNDS_PER_REFRESH == 1 {
            let status = self.store.get(Kind::Status, NAME).await?;
            let version = status.map(|object| object.version).unwrap_or_default();
            let _ = self.control.send(StatusVersion(version)).await;
        }
        if number.is_multiple_of(ROUNDS_PER_REFRESH) {
            let hosts = self.store.hosts().await?;
            let _ = self.control.send(Listed(hosts)).await;
        }
        let asked = self.clock.now();
        *cursor = self.published.view().revision.max(*cursor);
        let changes = self.store.changes(*cursor, wait).await?;
        let reached = changes.revision;
        let used = self.control.send(Fetched { changes, asked }).await.unwrap_or(false);
        *cursor = if used { reached.max(*cursor) } else { id::Revision::default() };
        Ok(used)
    }

    /// Returns a random pause such that the fleet as a whole probes at a fixed mean rate.
    fn probe_pause(&self) -> Duration {
        let hosts = self.published.view().roster.hosts.len().max(1);
        let mean = FLEET_PROBE_INTERVAL.saturating_mul(u32::try_from(hosts).unwrap_or(u32::MAX));
        mean.mul_f64(rand::rng().random_range(0.0..2.0)).max(MIN_PAUSE)
    }
}

/// Sleeps for about `pause` and returns the next, longer pause.
async fn back_off(pause: Duration) -> Duration {
    let jitter = rand::rng().random_range(0.5..1.5);
    tokio::time::sleep(pause.mul_f64(jitter)).await;
    (pause * 2).min(MAX_PAUSE)
}
