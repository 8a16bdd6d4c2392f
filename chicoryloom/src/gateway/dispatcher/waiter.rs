//! Requests that wait for a target, and the assignment of free slots to them.

use std::time::Duration;

use chicoryloom_policy::Moment;
use chicoryloom_policy::dispatch;
use chicoryloom_policy::gray::Standing;
use chicoryloom_policy::id;
use chicoryloom_policy::retry::Budget;
use chicoryloom_policy::waiting::Queue;
use chicoryloom_policy::waiting::Rank;
use chicoryloom_policy::waiting::Rejection;
use chicoryloom_policy::waiting::Ticket;
use tokio::sync::oneshot;

use super::Dispatcher;
use super::State;
use super::board::Board;
use super::links;
use super::slot::Choice;
use super::slot::Slot;

/// Requests at the head of a queue that are considered for free slots. Requests may need different
/// targets, so that the first one must not block those behind it.
const LOOKAHEAD: usize = 8;

/// Requirements of a request for its target.
#[derive(Clone, Debug)]
pub(in crate::gateway) struct Requirements {
    pub(in crate::gateway) service: id::Service,
    pub(in crate::gateway) rank: Rank,
    /// Whether the request can be retried at another target if this one fails it.
    pub(in crate::gateway) can_retry: bool,
    /// Targets that have run the request or may yet do so; they aren't chosen again.
    pub(in crate::gateway) tried: Vec<id::Instance>,
    pub(in crate::gateway) arrived: Moment,
    /// Latest moment at which the request may still be sent.
    pub(in crate::gateway) latest: Moment,
}

/// A request that waits.
pub(super) struct Waiter {
    pub(super) requirements: Requirements,
    pub(super) sender: oneshot::Sender<Slot>,
}

/// Removes a request from its queue when dropped.
struct QueueGuard<'a> {
    dispatcher: &'a Dispatcher,
    service: &'a id::Service,
    ticket: Ticket,
}

impl Drop for QueueGuard<'_> {
    fn drop(&mut self) {
        if let Some(service) = self.dispatcher.lock().services.get_mut(self.service) {
            service.queue.remove(self.ticket);
            service.waiters.remove(&self.ticket);
        }
    }
}

impl Dispatcher {
    /// Waits for a slot at a target until the latest moment at which the request may be sent.
    ///
    /// `former` is the ticket under which it waited for the service before, and becomes the present one.
    pub(in crate::gateway) async fn acquire(
        &self,
        requirements: Requirements,
        former: &mut Option<Ticket>,
    ) -> Result<Slot, Rejection> {
        let now = self.clock.now();
        let service_name = requirements.service.clone();
        let (ticket, receiver, timeout) = {
            let mut state = self.lock();
            let state = &mut *state;
            if Self::is_unreachable(state, &service_name, requirements.can_retry, now) {
                return Err(Rejection { retry_after: links::CUT_RETRY_AFTER, ahead: 0 });
            }
            self.apply_listing(state);
            let is_first = state.services.get(&requirements.service).is_none_or(|service| {
                let first = service.queue.tickets().next();
                first.is_none_or(|first| first.is_behind(requirements.rank))
            });
            if is_first && let Some(slot) = self.try_acquire(state, &requirements, now) {
                return Ok(slot);
            }
            self.check_capacity(state, &requirements, now)?;
            let service = state.services.entry(requirements.service.clone()).or_default();
            let (queue, Requirements { rank, latest, .. }) = (&mut service.queue, &requirements);
            let ticket = match *former {
                Some(former) => queue.requeue(former, *rank, *latest, now),
                None => queue.enqueue(*rank, *latest, now)?,
            };
            *former = Some(ticket);
            let timeout = requirements.latest.since(now);
            let (sender, receiver) = oneshot::channel();
            service.waiters.insert(ticket, Waiter { requirements, sender });
            if state.throttle.is_any(now) {
                self.dispatch_locked(state, &service_name);
                self.refuse_unservable(state, now);
            }
            (ticket, receiver, timeout)
        };
        let latest = now.after(timeout);
        let guard = QueueGuard { dispatcher: self, service: &service_name, ticket };
        let slot = tokio::time::timeout(timeout, receiver).await;
        drop(guard);
        match slot {
            Ok(Ok(slot)) => Ok(slot),
            Ok(Err(_)) | Err(_) => {
                let (state, now) = (self.lock(), self.clock.now());
                let queue = state.services.get(&service_name).map(|service| &service.queue);
                let returns = Self::capacity_return(&state, &service_name, now);
                let wait = if state.reach.is_cut() || !state.reach.can_open() {
                    links::CUT_RETRY_AFTER
                } else if returns.is_after(latest) {
                    returns.retry_after(now, &mut rand::rng())
                } else {
                    queue.map_or(Duration::ZERO, |queue| queue.drain_time(now))
                };
                Err(Rejection { retry_after: wait, ahead: queue.map_or(0, Queue::len) })
            }
        }
    }

    /// Chooses a target for a request and takes a slot there, if one is free.
    fn try_acquire(
        &self,
        state: &mut State,
        requirements: &Requirements,
        now: Moment,
    ) -> Option<Slot> {
        self.take_own_permits(state, &requirements.service, now);
        let mut board = self.board(state, &requirements.service, now)?;
        self.assign(state, &mut board, requirements, now)
    }

    /// Chooses a target of a board for a request and takes a slot there, if one is free.
    fn assign(
        &self,
        state: &mut State,
        board: &mut Board,
        requirements: &Requirements,
        now: Moment,
    ) -> Option<Slot> {
        let budget = state.services.get(&requirements.service)?.budget.as_ref();
        let retries = budget.map_or(0, Budget::left);
        let request = dispatch::Request {
            can_retry: requirements.can_retry && retries >= dispatch::RETRY_RESERVE,
            waited: now.since(requirements.arrived),
            time: requirements.latest.since(requirements.arrived),
        };
        let chosen = board.choose(request, &requirements.tried)?;
        let endpoint = board.endpoints[chosen].clone();
        let candidate = &mut board.candidates[chosen];
        let target = endpoint.target.instance.clone();
        let choice = Choice { target, candidate: *candidate, waited: request.waited };
        state.spread.count(candidate);
        candidate.in_flight += 1;
        candidate.own += 1;
        candidate.due_for = None;
        if let Standing::Trial(_) = candidate.standing {
            state.estimator.begin_trial(&choice.target, now);
            candidate.standing = Standing::HeldBack;
        }
        let process = endpoint.process();
        state.throttle.take(&process, now);
        if !state.throttle.allows(&process, now) {
            candidate.standing = Standing::HeldBack;
        }
        state.in_flight.begin(&choice.target);
        let data_centre = &endpoint.target.data_centre;
        if !state.data_centres.contains_key(&choice.target) {
            state.data_centres.insert(choice.target.clone(), data_centre.clone());
        }
        self.changed.notify_one();
        let dispatcher = self.weak_self.upgrade()?;
        let choice = Box::new(choice);
        Some(Slot { endpoint, choice, assigned: now, dispatcher, is_released: false })
    }

    /// Assigns free slots of a service's targets to its queued requests.
    pub(in crate::gateway) fn dispatch_waiting(&self, service: &id::Service) {
        let mut state = self.lock();
        self.dispatch_locked(&mut state, service);
    }

    /// Assigns free slots of all services' targets to queued requests.
    pub(in crate::gateway) fn dispatch_all(&self) {
        let mut state = self.lock();
        let now = self.clock.now();
        self.poll_issuers(&mut state, now);
        Self::refuse_unreachable(&mut state, now);
        let waiting = state.services.iter().filter(|(_, service)| !service.queue.is_empty());
        let names: Vec<_> = waiting.map(|(name, _)| name.clone()).collect();
        for name in names {
            self.dispatch_locked(&mut state, &name);
        }
    }

    pub(super) fn dispatch_locked(&self, state: &mut State, name: &id::Service) {
        if state.services.get(name).is_none_or(|service| service.queue.is_empty()) {
            return;
        }
        let now = self.clock.now();
        self.take_own_permits(state, name, now);
        self.ask_for_permits(state, name, now);
        let Some(mut board) = self.board(state, name, now) else { return };
        while !board.is_full() {
            let Some(service) = state.services.get(name) else { return };
            let heads: Vec<_> = service.queue.tickets().take(LOOKAHEAD).collect();
            let mut progress = false;
            for ticket in heads {
                let Some(service) = state.services.get(name) else { return };
                let Some(requirements) =
                    service.waiters.get(&ticket).map(|waiter| waiter.requirements.clone())
                else {
                    continue;
                };
                let Some(slot) = self.assign(state, &mut board, &requirements, now) else {
                    continue;
                };
                progress = true;
                let Some(service) = state.services.get_mut(name) else { return };
                service.queue.dispatch(ticket, now);
                let waiter = service.waiters.remove(&ticket);
                if let Some(Err(mut slot)) = waiter.map(|waiter| waiter.sender.send(slot)) {
                    // The request is gone. Dropping the slot would take the lock that is held here,
                    // so that the slot is freed directly.
                    state.in_flight.end(&slot.endpoint.target.instance);
                    slot.is_released = true;
                }
            }
            if !progress {
                return;
            }
        }
    }
}
