//! Targets that take no more requests, and services that have no other ones.

use chicoryloom_policy::Moment;
use chicoryloom_policy::id;
use chicoryloom_policy::waiting::Queue;
use chicoryloom_policy::waiting::Rejection;
use chicoryloom_policy::withdrawal;
use chicoryloom_policy::withdrawal::Availability;
use chicoryloom_policy::withdrawal::MAX_PAUSE;
use chicoryloom_policy::withdrawal::Pause;
use chicoryloom_policy::withdrawal::Process;
use serde_json::json;

use super::Dispatcher;
use super::Endpoint;
use super::Requirements;
use super::State;
use crate::target::Terms;

impl Dispatcher {
    /// Applies what a target said in an answer to this host, whose request was sent at `sent`.
    ///
    /// All hosts stop using a leaving target, and keep a limit together. A pause concerns this host
    /// only.
    pub(in crate::gateway) fn apply_terms(&self, endpoint: &Endpoint, terms: &Terms, sent: Moment) {
        if terms.is_leaving {
            self.record_departure(endpoint.process(), "answer", true);
        }
        self.observe_limit(endpoint, terms.limit, sent);
        match terms.pause {
            None => {}
            Some(Ok(pause)) => self.record_pause(endpoint, pause),
            Some(Err(error)) => log::warn!(
                "target: {} of {}: its Retry-After is ignored: {error}",
                endpoint.target.instance,
                endpoint.target.service
            ),
        }
    }

    /// Applies another host's report that a target is leaving.
    pub(in crate::gateway) fn apply_peer_departure(&self, host: &id::Host, process: Process) {
        self.record_departure(process, host.as_str(), false);
    }

    /// Takes the leaving targets that are not yet reported to the other hosts.
    pub(in crate::gateway) fn take_departures(&self) -> Vec<Process> {
        std::mem::take(&mut self.lock().departures)
    }

    /// Returns how many targets are known to be leaving, and how many pause.
    pub(in crate::gateway) fn withdrawal_counts(&self) -> (usize, usize) {
        self.lock().withdrawals.counts(self.clock.now())
    }

    /// Returns whether a target asked for no more requests, was removed, or its data centre was evacuated,
    /// after it was chosen.
    pub(in crate::gateway) fn is_withdrawn(&self, endpoint: &Endpoint) -> bool {
        let (mut state, now) = (self.lock(), self.clock.now());
        self.apply_listing(&mut state);
        Self::is_evacuated(&state, endpoint)
            || !Self::is_listed(&state, endpoint)
            || state.withdrawals.availability(&endpoint.process(), now) != Availability::Now
    }

    /// Returns whether the platform lists the process of a target, and not as leaving.
    fn is_listed(state: &State, endpoint: &Endpoint) -> bool {
        let Endpoint { target, .. } = endpoint;
        let Some(service) = state.services.get(&target.service) else { return false };
        let found =
            service.targets.binary_search_by(|one| one.target.instance.cmp(&target.instance));
        found.is_ok_and(|index| {
            let present = &service.targets[index].target;
            endpoint.is_process_of(present) && !present.leaving
        })
    }

    fn record_departure(&self, process: Process, by: &str, is_own: bool) {
        let now = self.clock.now();
        let mut state = self.lock();
        if !state.withdrawals.leave(process.clone(), now) {
            return;
        }
        for endpoint in state.services.values().flat_map(|service| &service.targets) {
            if endpoint.process() == process {
                endpoint.backend.close_idle();
            }
        }
        if is_own {
            state.departures.push(process.clone());
            state.reported_departures.push((process.clone(), now));
            self.changed.notify_one();
        }
        self.refuse_unservable(&mut state, now);
        drop(state);
        let Process { instance, born } = &process;
        let fields = json!({ "target": instance.as_str(), "born": born, "by": by });
        self.events.emit("target_leaving", fields);
    }

    fn record_pause(&self, endpoint: &Endpoint, pause: Pause) {
        let now = self.clock.now();
        let mut state = self.lock();
        let Some(until) = state.withdrawals.pause(endpoint.process(), pause, now) else { return };
        self.refuse_unservable(&mut state, now);
        drop(state);
        self.events.emit(
            "target_paused",
            json!({
                "target": endpoint.target.name.as_str(),
                "service": endpoint.target.service.as_str(),
                "pause_ms": pause.get().as_millis() as u64,
                "until_up_s": until.since_start().as_secs_f64(),
                "shortened": pause.get() == MAX_PAUSE,
            }),
        );
    }

    /// Returns when a target takes requests.
    pub(super) fn availability(state: &State, endpoint: &Endpoint, now: Moment) -> Availability {
        if endpoint.target.leaving || Self::is_evacuated(state, endpoint) {
            return Availability::Never;
        }
        let process = endpoint.process();
        let available = state.withdrawals.availability(&process, now);
        match (available, state.throttle.turn(&process, now)) {
            (Availability::Now, Some(turn)) if turn > now => Availability::From(turn),
            (Availability::From(until), Some(turn)) => Availability::From(until.max(turn)),
            _ => available,
        }
    }

    /// Returns when a service has a target that takes requests. One that is listed soon may take
    /// them where none is listed.
    pub(super) fn capacity_return(
        state: &State,
        service: &id::Service,
        now: Moment,
    ) -> Availability {
        let targets = state.services.get(service).map_or(&[][..], |service| &service.targets);
        if targets.is_empty() {
            return Availability::Now;
        }
        let targets = targets.iter().map(|endpoint| Self::availability(state, endpoint, now));
        withdrawal::earliest(targets)
    }

    /// Refuses a request that must be sent before its service has a target that takes it.
    pub(super) fn check_capacity(
        &self,
        state: &State,
        requirements: &Requirements,
        now: Moment,
    ) -> Result<(), Rejection> {
        let queue = state.services.get(&requirements.service).map(|service| &service.queue);
        let ahead = queue.map_or(0, |queue| queue.count_before(requirements.rank));
        let returns = Self::capacity_return(state, &requirements.service, now);
        let returns = returns.after(self.min_wait(state, &requirements.service, ahead), now);
        if !returns.is_after(requirements.latest) {
            return Ok(());
        }
        let retry_after = returns.retry_after(now, &mut rand::rng());
        Err(Rejection { retry_after, ahead: queue.map_or(0, Queue::len) })
    }

    /// Ends the wait of all requests that can't be served any more.
    pub(super) fn refuse_unservable(&self, state: &mut State, now: Moment) {
        let names: Vec<_> = state.services.keys().cloned().collect();
        for name in names {
            let returns = Self::capacity_return(state, &name, now);
            let step = self.min_wait(state, &name, 1);
            if returns == Availability::Now && step.is_zero() {
                continue;
            }
            let Some(service) = state.services.get_mut(&name) else { continue };
            let mut ahead = 0;
            let mut tickets = Vec::new();
            for (ticket, waiter) in &service.waiters {
                let returns = returns.after(step.saturating_mul(ahead), now);
                if returns.is_after(waiter.requirements.latest) {
                    tickets.push(*ticket);
                } else {
                    ahead += 1;
                }
            }
            for ticket in tickets {
                service.queue.remove(ticket);
                // The request is woken as its sender is dropped.
                service.waiters.remove(&ticket);
            }
        }
    }
}
