//! Requests that wait for a target of a service.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::Moment;
use crate::unit::Priority;

/// Weight of the newest sample in the smoothed interval between two dispatches.
const INTERVAL_WEIGHT: f64 = 0.1;
/// Maximum number of requests that wait for one service at one host.
const MAX_WAITING: usize = 2000;

/// Priority of a request in the queue; the lowest goes first.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct Rank {
    /// Priority of the workspace, or of the route where the workspace has none.
    pub priority: Priority,
    /// Priority of the route.
    pub route: Priority,
}

/// Position of a request in the queue; the lowest goes first.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct Ticket {
    rank: Rank,
    number: u64,
}

impl Ticket {
    /// Returns whether a request of `rank` goes before the one with this ticket.
    pub fn is_behind(self, rank: Rank) -> bool {
        rank < self.rank
    }
}

/// Error of a request that can't be served before its deadline.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Rejection {
    /// Time after which a new request would get a target at once.
    pub retry_after: Duration,
    /// Requests that would go first.
    pub ahead: usize,
}

/// Requests that wait for a target of one service, by rank and then by arrival.
#[derive(Clone, Debug, Default)]
pub struct Queue {
    waiting: BTreeMap<Ticket, Moment>,
    last_number: u64,
    /// Smoothed interval between two dispatches while requests wait, in seconds.
    interval: f64,
    /// When a request was last dispatched while others waited, or the first one was queued.
    last_dispatch: Option<Moment>,
}

impl Queue {
    /// Queues a request until `latest`, or rejects it if its turn is expected later or the queue is
    /// full.
    pub fn enqueue(
        &mut self,
        rank: Rank,
        latest: Moment,
        now: Moment,
    ) -> Result<Ticket, Rejection> {
        let ahead = self.count_before(rank);
        let wait = self.expected_wait(ahead, now);
        if now.after(wait) > latest || self.waiting.len() >= MAX_WAITING {
            return Err(Rejection { retry_after: self.drain_time(now), ahead });
        }
        if self.waiting.is_empty() {
            self.last_dispatch = Some(now);
        }
        self.last_number += 1;
        let ticket = Ticket { rank, number: self.last_number };
        self.waiting.insert(ticket, latest);
        Ok(ticket)
    }

    /// Queues a request again that had a ticket and has another rank now. It was not rejected before, and goes
    /// before later ones of its rank.
    pub fn requeue(&mut self, former: Ticket, rank: Rank, latest: Moment, now: Moment) -> Ticket {
        if self.waiting.is_empty() {
            self.last_dispatch = Some(now);
        }
        let ticket = Ticket { rank, ..former };
        self.waiting.insert(ticket, latest);
        ticket
    }

    /// Returns how many waiting requests go before a new one of `rank`.
    pub fn count_before(&self, rank: Rank) -> usize {
        let end = Ticket { rank, number: u64::MAX };
        self.waiting.range(..end).count()
    }

    /// Returns the time after which a new request would get a target at once.
    pub fn drain_time(&self, now: Moment) -> Duration {
        self.expected_wait(self.waiting.len() + 1, now)
    }

    /// Returns the expected time in which `count` requests are dispatched.
    fn expected_wait(&self, count: usize, now: Moment) -> Duration {
        let stalled = self.last_dispatch.map_or(0.0, |last| now.since(last).as_secs_f64());
        let interval =
            if self.waiting.is_empty() { self.interval } else { self.interval.max(stalled) };
        Duration::try_from_secs_f64(interval * count as f64).unwrap_or(Duration::MAX)
    }

    /// Removes a request from the queue; returns whether it was there.
    pub fn remove(&mut self, ticket: Ticket) -> bool {
        self.waiting.remove(&ticket).is_some()
    }

    /// Removes a request that goes to a target, and updates the interval between dispatches.
    pub fn dispatch(&mut self, ticket: Ticket, now: Moment) {
        if !self.remove(ticket) {
            return;
        }
        if let Some(last) = self.last_dispatch.replace(now) {
            let gap = now.since(last).as_secs_f64();
            self.interval += INTERVAL_WEIGHT * (gap - self.interval);
        }
        if self.waiting.is_empty() {
            self.last_dispatch = None;
        }
    }

    /// Returns the tickets of the waiting requests in order.
    pub fn tickets(&self) -> impl Iterator<Item = Ticket> {
        self.waiting.keys().copied()
    }

    /// Returns the number of waiting requests.
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Returns whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }
}
