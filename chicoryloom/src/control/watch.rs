//! Watches the platform for changes and hosts.

use std::sync::Arc;
use std::time::Duration;

use chicoryloom_policy::id;
use rand::Rng;
use xtra::Address;

use super::Control;
use super::Learned;
use super::Listed;
use crate::clock::Clock;
use crate::store::Error;
use crate::store::Store;

/// Shortest pause after a failed call.
const MIN_PAUSE: Duration = Duration::from_millis(100);
/// Longest pause after a failed call.
const MAX_PAUSE: Duration = Duration::from_secs(2);

/// Watches the platform until the control actor is gone.
///
/// `wait` bounds the wait of one call; it is less than the freshness window, since a call
/// confirms the state as of its start.
pub(crate) async fn watch(
    store: Arc<dyn Store>,
    clock: Arc<dyn Clock>,
    control: Address<Control>,
    wait: Duration,
) {
    let mut revision = id::Revision::default();
    let mut pause = MIN_PAUSE;
    while control.is_connected() {
        match round(&*store, &*clock, &control, revision, wait).await {
            Ok(next) => {
                revision = next;
                pause = MIN_PAUSE;
            }
            Err(error) => {
                log::debug!("watch: {error}");
                tokio::time::sleep(jitter(pause)).await;
                pause = (pause * 2).min(MAX_PAUSE);
            }
        }
    }
}

async fn round(
    store: &dyn Store,
    clock: &dyn Clock,
    control: &Address<Control>,
    revision: id::Revision,
    wait: Duration,
) -> Result<id::Revision, Error> {
    let hosts = store.hosts().await?;
    // A gone actor ends the loop of the caller.
    let _ = control.send(Listed(hosts)).await;
    let asked = clock.now();
    let changes = store.changes(revision, wait).await?;
    Ok(control.send(Learned { changes, asked }).await.unwrap_or(revision))
}

fn jitter(pause: Duration) -> Duration {
    pause.mul_f64(rand::rng().random_range(0.5..1.5))
}
