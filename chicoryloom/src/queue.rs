//! This host's slots at the targets of each service, shared fairly among workspaces.

use std::collections::HashMap;
use std::fmt;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::time::Duration;

use chicoryloom_policy::Moment;
use chicoryloom_policy::document::Document;
use chicoryloom_policy::id;
use chicoryloom_policy::queue::Decision;
use chicoryloom_policy::queue::Queue;
use chicoryloom_policy::queue::Ticket;
use chicoryloom_policy::unit::Weight;
use chicoryloom_wire::caller::Code;
use chicoryloom_wire::caller::Refusal;
use tokio::sync::oneshot;

use crate::clock::Clock;

/// Limits of all home hosts together, as a multiple of the targets' slots.
///
/// Above 1, so that slots are not left idle when callers use only some of the home hosts.
const OVERCOMMIT_FACTOR: u32 = 2;

/// Workspace name under which requests without a key are queued.
const ANONYMOUS: &str = "open";

/// Returns how many requests one of `homes` hosts may have in flight at a service's targets.
pub(crate) fn concurrency_limit(document: &Document, homes: usize) -> u32 {
    let live = document.targets.iter().filter(|target| !target.leaving);
    let slots: u32 = live.map(|target| target.slots.0).sum();
    let homes = u32::try_from(homes.max(1)).unwrap_or(u32::MAX);
    slots.saturating_mul(OVERCOMMIT_FACTOR).div_ceil(homes).max(1)
}

/// Returns the workspace name under which requests without a key are queued, on open routes.
pub(crate) fn anonymous() -> id::Workspace {
    ANONYMOUS.parse().expect("the name is a valid one")
}

/// A request for a slot.
#[derive(Clone, Debug)]
pub(crate) struct SlotRequest {
    pub(crate) service: id::Service,
    pub(crate) workspace: id::Workspace,
    pub(crate) weight: Weight,
    /// Requests of the service that may hold a slot on this host at once.
    pub(crate) limit: u32,
    /// Time until the request's deadline.
    pub(crate) time_left: Duration,
}

/// The queues of this host, by service.
#[derive(Debug)]
pub(crate) struct Slots {
    clock: Arc<dyn Clock>,
    queues: Mutex<HashMap<id::Service, ServiceQueue>>,
}

/// The queue of one service, and the senders that give slots to its waiting requests.
#[derive(Debug, Default)]
struct ServiceQueue {
    queue: Queue,
    waiters: HashMap<Ticket, oneshot::Sender<Slot>>,
}

/// A slot; released when dropped.
pub(crate) struct Slot {
    slots: Arc<Slots>,
    service: id::Service,
    since: Moment,
}

impl fmt::Debug for Slot {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "Slot {{ {} since {} }}", self.service, self.since)
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        let now = self.slots.clock.now();
        if let Some(service_queue) = self.slots.lock().get_mut(&self.service) {
            service_queue.queue.release(self.since, now);
        }
        self.slots.wake_waiters(&self.service);
    }
}

/// A place in a queue; removed from the queue when dropped.
struct Place<'a> {
    slots: &'a Slots,
    service: &'a id::Service,
    ticket: Ticket,
}

impl Drop for Place<'_> {
    fn drop(&mut self) {
        if let Some(service_queue) = self.slots.lock().get_mut(self.service) {
            service_queue.queue.cancel(self.ticket);
            service_queue.waiters.remove(&self.ticket);
        }
    }
}

impl Slots {
    pub(crate) fn new(clock: Arc<dyn Clock>) -> Self {
        Self { clock, queues: Mutex::default() }
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<id::Service, ServiceQueue>> {
        self.queues.lock().expect("no holder of the lock panics")
    }

    /// Waits for a slot as long as the request's deadline can still be met.
    pub(crate) async fn acquire(self: &Arc<Self>, request: &SlotRequest) -> Result<Slot, Refusal> {
        let SlotRequest { service, workspace, weight, limit, time_left } = request;
        let (ticket, granted, timeout) = {
            let mut queues = self.lock();
            let service_queue = queues.entry(service.clone()).or_default();
            match service_queue.queue.enter(workspace, *weight, *limit, *time_left) {
                Decision::Run => return Ok(self.slot(service)),
                Decision::Wait(ticket) => {
                    let (waiter, granted) = oneshot::channel();
                    service_queue.waiters.insert(ticket, waiter);
                    (ticket, granted, time_left.saturating_sub(service_queue.queue.service_time()))
                }
                Decision::Late(wait) => return Err(late(wait)),
                Decision::Full(wait) => return Err(full(wait)),
            }
        };
        // The limit may have grown since waiters were last woken.
        self.wake_waiters(service);
        let _place = Place { slots: self, service, ticket };
        match tokio::time::timeout(timeout, granted).await {
            Ok(Ok(slot)) => Ok(slot),
            Ok(Err(_)) | Err(_) => Err(late(Duration::ZERO)),
        }
    }

    fn slot(self: &Arc<Self>, service: &id::Service) -> Slot {
        Slot { slots: self.clone(), service: service.clone(), since: self.clock.now() }
    }

    /// Gives the free slots to the next waiting requests.
    fn wake_waiters(self: &Arc<Self>, service: &id::Service) {
        while let Some(waiter) = self.dequeue(service) {
            // If the waiting request is gone, the slot is dropped and goes to the next one.
            let _ = waiter.send(self.slot(service));
        }
    }

    /// Removes the next waiting request from the queue if a slot is free, and takes the slot.
    fn dequeue(&self, service: &id::Service) -> Option<oneshot::Sender<Slot>> {
        let mut queues = self.lock();
        let service_queue = queues.get_mut(service)?;
        let ticket = service_queue.queue.dequeue()?;
        service_queue.waiters.remove(&ticket)
    }
}

fn late(wait: Duration) -> Refusal {
    let detail = "the request would not get a slot before its deadline";
    Refusal::not_run(Code::Deadline, detail).retry_after(wait)
}

fn full(wait: Duration) -> Refusal {
    let detail = "too many requests of the workspace wait for a slot";
    Refusal::not_run(Code::NoCapacity, detail).retry_after(wait)
}
