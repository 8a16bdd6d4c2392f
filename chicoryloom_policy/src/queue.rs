//! A weighted fair queue of workspaces for a host's share of a service's slots.
//!
//! Each waiting request gets a tag in virtual time: the position that its workspace would have
//! reached if every workspace with requests were served in proportion to its weight. The request
//! with the lowest tag is served first. This shares the slots like deficit round robin, but needs
//! no rounds for workspaces with small weights.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::time::Duration;

use crate::Moment;
use crate::id;
use crate::unit::Weight;

/// Maximum number of waiting requests per workspace.
pub const MAX_WAITING: usize = 256;
/// Difference between the tags of consecutive requests of a workspace with weight 1.
const TAG_STEP: u64 = 1 << 32;
/// Weight of the newest sample in the smoothed service time.
const SAMPLE_WEIGHT: f64 = 0.1;

/// A place in the queue, ordered by tag and then by number.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Ticket {
    tag: u64,
    /// Order in which tickets were issued.
    number: u64,
}

/// The answer to a request for a slot.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Decision {
    /// A slot was free and is now taken for the request.
    Run,
    /// The request waits until its ticket is dequeued.
    Wait(Ticket),
    /// The request's deadline can't be met; a slot should be free after this time.
    Late(Duration),
    /// Too many requests of the workspace wait; one of them should be served after this time.
    Full(Duration),
}

/// The queue of one service on one host.
#[derive(Clone, Debug, Default)]
pub struct Queue {
    /// Requests that may run at once.
    limit: u32,
    /// Requests that hold a slot.
    running: u32,
    waiting: BTreeMap<Ticket, id::Workspace>,
    backlogs: HashMap<id::Workspace, Backlog>,
    /// Tag of the request that was dequeued last.
    virtual_time: u64,
    /// Number of the latest ticket.
    last_number: u64,
    /// Smoothed time for which a request holds its slot, in seconds.
    service_time: f64,
}

/// The waiting requests of one workspace.
#[derive(Clone, Copy, Debug, Default)]
struct Backlog {
    count: usize,
    /// Tag of the latest request.
    last_tag: u64,
}

impl Queue {
    /// Requests a slot; `limit` is how many requests may run at once now, and `time_left` the time
    /// until the request's deadline.
    pub fn enter(
        &mut self,
        workspace: &id::Workspace,
        weight: Weight,
        limit: u32,
        time_left: Duration,
    ) -> Decision {
        self.limit = limit.max(1);
        if self.running < self.limit && self.waiting.is_empty() {
            self.running += 1;
            return Decision::Run;
        }
        let backlog = self.backlogs.entry(workspace.clone()).or_default();
        if backlog.count >= MAX_WAITING {
            let wait = backlog.count;
            return Decision::Full(self.estimated_wait(wait));
        }
        let step = (TAG_STEP / u64::from(weight.0.max(1))).max(1);
        let tag = backlog.last_tag.max(self.virtual_time).saturating_add(step);
        self.last_number += 1;
        let ticket = Ticket { tag, number: self.last_number };
        let ahead = self.waiting.range(..ticket).count();
        let wait = self.estimated_wait(ahead + 1);
        if wait + Duration::from_secs_f64(self.service_time) > time_left {
            self.remove_if_idle(workspace);
            return Decision::Late(wait);
        }
        let backlog = self.backlogs.entry(workspace.clone()).or_default();
        backlog.count += 1;
        backlog.last_tag = tag;
        self.waiting.insert(ticket, workspace.clone());
        Decision::Wait(ticket)
    }

    /// Estimates the time in which a number of requests are served.
    fn estimated_wait(&self, requests: usize) -> Duration {
        let seconds = requests as f64 * self.service_time / f64::from(self.limit.max(1));
        Duration::try_from_secs_f64(seconds).unwrap_or(Duration::MAX)
    }

    /// Returns the smoothed time for which a request holds its slot.
    pub fn service_time(&self) -> Duration {
        Duration::try_from_secs_f64(self.service_time).unwrap_or_default()
    }

    /// Frees the slot of a request that held it since `since`.
    pub fn release(&mut self, since: Moment, now: Moment) {
        self.running = self.running.saturating_sub(1);
        let sample = now.since(since).as_secs_f64();
        self.service_time += SAMPLE_WEIGHT * (sample - self.service_time);
    }

    /// Removes the next ticket and takes a slot for it, if one is free.
    pub fn dequeue(&mut self) -> Option<Ticket> {
        if self.running >= self.limit {
            return None;
        }
        let (ticket, workspace) = self.waiting.pop_first()?;
        self.running += 1;
        self.virtual_time = ticket.tag;
        self.remove_waiting(&workspace);
        Some(ticket)
    }

    /// Removes a request that no longer waits; returns whether it was in the queue.
    pub fn cancel(&mut self, ticket: Ticket) -> bool {
        let Some(workspace) = self.waiting.remove(&ticket) else {
            return false;
        };
        self.remove_waiting(&workspace);
        true
    }

    /// Decrements the number of a workspace's waiting requests.
    fn remove_waiting(&mut self, workspace: &id::Workspace) {
        if let Some(backlog) = self.backlogs.get_mut(workspace) {
            backlog.count -= 1;
        }
        self.remove_if_idle(workspace);
    }

    /// Removes a workspace's backlog if it is empty and its last tag is not ahead of virtual time;
    /// removes all backlogs if nothing waits.
    fn remove_if_idle(&mut self, workspace: &id::Workspace) {
        let is_idle =
            |backlog: &Backlog| backlog.count == 0 && backlog.last_tag <= self.virtual_time;
        if self.backlogs.get(workspace).is_some_and(is_idle) {
            self.backlogs.remove(workspace);
        }
        if self.waiting.is_empty() {
            self.backlogs.clear();
        }
    }

    /// Returns the number of waiting requests.
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const TIME_LEFT: Duration = Duration::from_secs(10);

    fn workspace(name: &str) -> id::Workspace {
        name.parse().unwrap()
    }

    fn enter(queue: &mut Queue, name: &str, weight: u32) -> Decision {
        queue.enter(&workspace(name), Weight(weight), 1, TIME_LEFT)
    }

    /// Serves `count` requests one by one and returns how many of them belong to `heavy`.
    fn served(queue: &mut Queue, count: usize, tickets: &HashMap<Ticket, &str>) -> usize {
        let mut heavy = 0;
        for _ in 0..count {
            queue.release(Moment::ZERO, Moment::from_millis(1));
            heavy += usize::from(tickets[&queue.dequeue().unwrap()] == "heavy");
        }
        heavy
    }

    #[test]
    fn slots_are_shared_by_weight_whatever_the_lengths_of_the_backlogs() {
        let mut queue = Queue::default();
        assert_eq!(enter(&mut queue, "heavy", 3), Decision::Run);
        let mut tickets = HashMap::new();
        for (name, weight, count) in [("light", 1, 200), ("heavy", 3, 100)] {
            for _ in 0..count {
                let Decision::Wait(ticket) = enter(&mut queue, name, weight) else { panic!() };
                tickets.insert(ticket, name);
            }
        }
        assert_eq!(served(&mut queue, 100, &tickets), 75);
    }

    #[test]
    fn new_workspace_is_served_before_the_rest_of_a_long_backlog() {
        let mut queue = Queue::default();
        for _ in 0..100 {
            enter(&mut queue, "spiking", 1);
        }
        for _ in 0..50 {
            queue.release(Moment::ZERO, Moment::from_millis(1));
            queue.dequeue();
        }
        let Decision::Wait(first) = enter(&mut queue, "modest", 1) else { panic!() };
        queue.release(Moment::ZERO, Moment::from_millis(1));
        let before = queue.dequeue().unwrap();
        queue.release(Moment::ZERO, Moment::from_millis(1));
        let dequeued = [before, queue.dequeue().unwrap()];
        assert!(dequeued.contains(&first));
    }

    #[test]
    fn request_that_would_miss_its_deadline_is_refused_at_once() {
        let mut queue = Queue::default();
        enter(&mut queue, "prairie", 1);
        for _ in 0..200 {
            queue.release(Moment::ZERO, Moment::from_millis(1000));
            queue.running = 1;
        }
        assert!(matches!(enter(&mut queue, "prairie", 1), Decision::Wait(_)));
        let short = Duration::from_millis(500);
        let decision = queue.enter(&workspace("prairie"), Weight(1), 1, short);
        assert!(matches!(decision, Decision::Late(wait) if wait > Duration::from_millis(1500)));
    }

    #[test]
    fn backlog_is_limited_and_cancelled_requests_leave_the_queue() {
        let mut queue = Queue::default();
        enter(&mut queue, "prairie", 1);
        let mut tickets = Vec::new();
        while let Decision::Wait(ticket) = enter(&mut queue, "prairie", 1) {
            tickets.push(ticket);
        }
        assert_eq!(tickets.len(), MAX_WAITING);
        assert!(matches!(enter(&mut queue, "other", 1), Decision::Wait(_)));
        assert!(tickets.iter().all(|ticket| queue.cancel(*ticket)));
        assert!(!queue.cancel(tickets[0]));
        assert_eq!(queue.waiting(), 1);
    }
}
