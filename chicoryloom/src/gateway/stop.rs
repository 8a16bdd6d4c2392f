//! Requests of a host that stops.

use std::time::Duration;

use chicoryloom_policy::Moment;
use chicoryloom_policy::stop::Demand;
use chicoryloom_policy::stop::Schedule;

use super::Gateway;
use super::refusal::Reason;
use super::refusal::Refusal;

impl Gateway {
    /// Returns whether the host is stopping.
    pub(super) fn is_stopping(&self) -> bool {
        self.stop.borrow().is_some()
    }

    /// Returns the time that a target gets for a request with the given deadline.
    pub(super) fn target_time(&self, deadline: Moment) -> Duration {
        let stop = *self.stop.borrow();
        let until = stop.map_or(deadline, |schedule| schedule.target_deadline(deadline));
        until.since(self.clock.now())
    }

    /// Waits until a target that was sent a request with the given deadline is given up.
    pub(super) async fn wait_to_give_up(&self, deadline: Moment) {
        tokio::select! {
            () = self.sleep_until(deadline) => {}
            schedule = self.wait_for_stop() => self.sleep_until(schedule.give_up(deadline)).await,
        }
    }

    /// Runs a step that comes before a request is passed on; refuses the request once the host stops
    /// and can't finish it any more.
    pub(super) async fn unless_stopped<T>(
        &self,
        demand: Demand,
        step: impl Future<Output = T>,
    ) -> Result<T, Refusal> {
        tokio::select! {
            biased;
            refusal = self.refuse_when_stopped(demand) => Err(refusal),
            output = step => Ok(output),
        }
    }

    async fn refuse_when_stopped(&self, demand: Demand) -> Refusal {
        let schedule = self.wait_for_stop().await;
        let latest = schedule.latest_start(demand, self.fleet.others());
        self.sleep_until(latest).await;
        let wait = schedule.retry_after(self.clock.now(), self.fleet.others());
        Refusal::new(Reason::Leaving, "this host is stopping").retry_after(wait)
    }

    /// Waits until the host stops.
    async fn wait_for_stop(&self) -> Schedule {
        let mut stop = self.stop.subscribe();
        loop {
            let schedule = *stop.borrow_and_update();
            if let Some(schedule) = schedule {
                return schedule;
            }
            // Fails only once the gateway, which owns the sender, is dropped.
            let _ = stop.changed().await;
        }
    }

    async fn sleep_until(&self, moment: Moment) {
        let left = moment.since(self.clock.now());
        // A timer that is due still waits for its next tick.
        if !left.is_zero() {
            tokio::time::sleep(left).await;
        }
    }
}
