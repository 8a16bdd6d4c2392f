//! A fair queue of workspaces for a host's share of a service's slots.
//!
//! Each waiting request gets a tag: where its workspace would stand if every workspace with
//! requests were served in proportion to its weight. The lowest tag goes first. This shares the
//! slots like a deficit round robin, and needs no rounds for workspaces with small weights.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::time::Duration;

use crate::Moment;
use crate::id;
use crate::unit::Weight;

/// Requests of one workspace that may wait at once.
pub const MAX_WAITING: usize = 256;
/// Tag distance of two requests of a workspace with weight 1.
const STRIDE: u64 = 1 << 32;
/// Weight of the newest sample in the smoothed service time.
const SAMPLE_WEIGHT: f64 = 0.1;

/// A place in the queue.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Ticket {
    tag: u64,
    number: u64,
}

/// What happens to a request that wants a slot.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Entry {
    /// A slot is free and now taken.
    Go,
    /// It waits until its ticket is called.
    Wait(Ticket),
    /// Its deadline can't be met; a slot should be free after this time.
    Late(Duration),
    /// Too many requests of its workspace wait; one should be served after this time.
    Full(Duration),
}

/// The queue of one service on one host.
#[derive(Clone, Debug, Default)]
pub struct Queue {
    /// Requests that may run at once.
    room: u32,
    /// Requests that run.
    busy: u32,
    waiting: BTreeMap<Ticket, id::Workspace>,
    lines: HashMap<id::Workspace, Line>,
    /// Tag of the request that was served last.
    served: u64,
    numbers: u64,
    /// Smoothed time that a request holds its slot, in seconds.
    service: f64,
}

/// The requests of one workspace that wait.
#[derive(Clone, Copy, Debug, Default)]
struct Line {
    count: usize,
    /// Tag of the latest request.
    last: u64,
}

impl Queue {
    /// Asks for a slot; `room` is how many requests may run at once by now.
    pub fn enter(
        &mut self,
        workspace: &id::Workspace,
        weight: Weight,
        room: u32,
        left: Duration,
    ) -> Entry {
        self.room = room.max(1);
        if self.busy < self.room && self.waiting.is_empty() {
            self.busy += 1;
            return Entry::Go;
        }
        let line = self.lines.entry(workspace.clone()).or_default();
        if line.count >= MAX_WAITING {
            let wait = line.count;
            return Entry::Full(self.time_of(wait));
        }
        let stride = (STRIDE / u64::from(weight.0.max(1))).max(1);
        let tag = line.last.max(self.served).saturating_add(stride);
        self.numbers += 1;
        let ticket = Ticket { tag, number: self.numbers };
        let ahead = self.waiting.range(..ticket).count();
        let wait = self.time_of(ahead + 1);
        if wait + Duration::from_secs_f64(self.service) > left {
            self.tidy(workspace);
            return Entry::Late(wait);
        }
        let line = self.lines.entry(workspace.clone()).or_default();
        line.count += 1;
        line.last = tag;
        self.waiting.insert(ticket, workspace.clone());
        Entry::Wait(ticket)
    }

    /// Returns the time in which as many requests are served.
    fn time_of(&self, requests: usize) -> Duration {
        let seconds = requests as f64 * self.service / f64::from(self.room.max(1));
        Duration::try_from_secs_f64(seconds).unwrap_or(Duration::MAX)
    }

    /// Returns the time that a request holds its slot.
    pub fn service(&self) -> Duration {
        Duration::try_from_secs_f64(self.service).unwrap_or_default()
    }

    /// Gives a slot back after a request that held it since a moment.
    pub fn leave(&mut self, since: Moment, now: Moment) {
        self.busy = self.busy.saturating_sub(1);
        let sample = now.since(since).as_secs_f64();
        self.service += SAMPLE_WEIGHT * (sample - self.service);
    }

    /// Calls the next ticket and takes a slot for it, if one is free.
    pub fn call(&mut self) -> Option<Ticket> {
        if self.busy >= self.room {
            return None;
        }
        let (ticket, workspace) = self.waiting.pop_first()?;
        self.busy += 1;
        self.served = ticket.tag;
        self.end(&workspace);
        Some(ticket)
    }

    /// Takes a request out that waits no more; tells whether it was waiting.
    pub fn cancel(&mut self, ticket: Ticket) -> bool {
        let Some(workspace) = self.waiting.remove(&ticket) else {
            return false;
        };
        self.end(&workspace);
        true
    }

    fn end(&mut self, workspace: &id::Workspace) {
        if let Some(line) = self.lines.get_mut(workspace) {
            line.count -= 1;
        }
        self.tidy(workspace);
    }

    /// Forgets a line that has nothing waiting and is not ahead of the others.
    fn tidy(&mut self, workspace: &id::Workspace) {
        let is_idle = |line: &Line| line.count == 0 && line.last <= self.served;
        if self.lines.get(workspace).is_some_and(is_idle) {
            self.lines.remove(workspace);
        }
        if self.waiting.is_empty() {
            self.lines.clear();
        }
    }

    /// Returns how many requests wait.
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const LEFT: Duration = Duration::from_secs(10);

    fn workspace(name: &str) -> id::Workspace {
        name.parse().unwrap()
    }

    fn enter(queue: &mut Queue, name: &str, weight: u32) -> Entry {
        queue.enter(&workspace(name), Weight(weight), 1, LEFT)
    }

    /// Serves as many requests one by one and counts those of a workspace.
    fn served(queue: &mut Queue, count: usize, tickets: &HashMap<Ticket, &str>) -> usize {
        let mut heavy = 0;
        for _ in 0..count {
            queue.leave(Moment::ZERO, Moment::from_millis(1));
            heavy += usize::from(tickets[&queue.call().unwrap()] == "heavy");
        }
        heavy
    }

    #[test]
    fn slots_are_shared_by_weight_whatever_the_lengths_of_the_lines() {
        let mut queue = Queue::default();
        assert_eq!(enter(&mut queue, "heavy", 3), Entry::Go);
        let mut tickets = HashMap::new();
        for (name, weight, count) in [("light", 1, 200), ("heavy", 3, 100)] {
            for _ in 0..count {
                let Entry::Wait(ticket) = enter(&mut queue, name, weight) else { panic!() };
                tickets.insert(ticket, name);
            }
        }
        assert_eq!(served(&mut queue, 100, &tickets), 75);
    }

    #[test]
    fn newcomer_goes_before_the_rest_of_a_long_line_and_saves_up_nothing() {
        let mut queue = Queue::default();
        for _ in 0..100 {
            enter(&mut queue, "spiking", 1);
        }
        for _ in 0..50 {
            queue.leave(Moment::ZERO, Moment::from_millis(1));
            queue.call();
        }
        let Entry::Wait(first) = enter(&mut queue, "modest", 1) else { panic!() };
        queue.leave(Moment::ZERO, Moment::from_millis(1));
        let before = queue.call().unwrap();
        queue.leave(Moment::ZERO, Moment::from_millis(1));
        let called = [before, queue.call().unwrap()];
        assert!(called.contains(&first));
    }

    #[test]
    fn request_that_would_be_late_is_told_at_once() {
        let mut queue = Queue::default();
        enter(&mut queue, "prairie", 1);
        for _ in 0..200 {
            queue.leave(Moment::ZERO, Moment::from_millis(1000));
            queue.busy = 1;
        }
        assert!(matches!(enter(&mut queue, "prairie", 1), Entry::Wait(_)));
        let short = Duration::from_millis(500);
        let entry = queue.enter(&workspace("prairie"), Weight(1), 1, short);
        assert!(matches!(entry, Entry::Late(wait) if wait > Duration::from_millis(1500)));
    }

    #[test]
    fn cancelled_and_full_lines_free_what_they_held() {
        let mut queue = Queue::default();
        enter(&mut queue, "prairie", 1);
        let mut tickets = Vec::new();
        while let Entry::Wait(ticket) = enter(&mut queue, "prairie", 1) {
            tickets.push(ticket);
        }
        assert_eq!(tickets.len(), MAX_WAITING);
        assert!(matches!(enter(&mut queue, "other", 1), Entry::Wait(_)));
        assert!(tickets.iter().all(|ticket| queue.cancel(*ticket)));
        assert!(!queue.cancel(tickets[0]));
        assert_eq!(queue.waiting(), 1);
    }
}
