//! Notices that this process was stopped.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::time::Duration;

use chicoryloom_policy::Moment;
use chicoryloom_policy::outage::Pulse;
use serde_json::json;
use tokio::sync::watch;
use tokio::time::MissedTickBehavior;

use super::events::Events;
use crate::clock::Clock;

/// Interval at which it is noticed that this process was stopped.
const BEAT_INTERVAL: Duration = Duration::from_millis(50);

/// Shares a [`Pulse`] between the requests and the calls to the platform and to other hosts.
#[derive(Debug)]
pub(super) struct Monitor {
    pulse: Mutex<Pulse>,
    /// When the process last went on after a stop.
    resumed: watch::Sender<Option<Moment>>,
    clock: Arc<dyn Clock>,
    events: Events,
}

impl Monitor {
    pub(super) fn new(clock: Arc<dyn Clock>, events: Events) -> Self {
        let pulse = Mutex::new(Pulse::new(clock.now()));
        Self { pulse, resumed: watch::Sender::new(None), clock, events }
    }

    fn lock(&self) -> MutexGuard<'_, Pulse> {
        self.pulse.lock().expect("no holder of the lock panics")
    }

    /// Records at intervals that the process runs, until the task is aborted.
    pub(super) async fn run(self: Arc<Self>) {
        let mut ticks = tokio::time::interval(BEAT_INTERVAL);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            ticks.tick().await;
            self.resumed();
        }
    }

    /// Records that the process runs, and returns the end of the latest time in which it was stopped, which
    /// may be now.
    pub(super) fn resumed(&self) -> Option<Moment> {
        let (stopped_for, resumed) = {
            let mut pulse = self.lock();
            (pulse.beat(self.clock.now()), pulse.resumed())
        };
        if let Some(time) = stopped_for {
            self.resumed.send_replace(resumed);
            self.events.emit("resumed", json!({ "stopped_ms": time.as_millis() as u64 }));
        }
        resumed
    }

    /// Returns a receiver that is notified when the process goes on after a stop.
    pub(super) fn subscribe(&self) -> watch::Receiver<Option<Moment>> {
        self.resumed.subscribe()
    }

    /// Returns whether the process was stopped at any time since `begun`.
    pub(super) fn was_stopped(&self, begun: Moment) -> bool {
        self.lock().was_stopped(begun, self.clock.now())
    }

    /// Returns how old an answer may be that is read now; see [`Pulse::answer_age`].
    pub(super) fn answer_age(&self, begun: Moment, transit: Duration) -> Duration {
        self.lock().answer_age(begun, transit, self.clock.now())
    }
}
