//! Which request goes to which target, which one waits, and which one is refused.
//!
//! Load that this answers: services whose targets have two to six slots each and work for tenths
//! of a second, so that a request sent to a busy target waits about as long as it works. Requests
//! wait at the host instead, where they can still go to whichever target is free first, or be
//! refused with the truth that they have not run.

use std::collections::BTreeMap;
use std::time::Duration;

use rand::Rng;

use crate::Moment;
use crate::catalog::Repeat;
use crate::gray::Standing;

/// Time for which a request that runs once waits for a sound target before it takes a spare one.
const SPARE_WAIT: Duration = Duration::from_millis(150);
/// Time past its due date from which a target is tried with a request that runs once.
const LATE_TRIAL: Duration = Duration::from_millis(700);
/// Weight of the newest sample in the smoothed time between two dispatches.
const PACE_WEIGHT: f64 = 0.1;
/// Most requests that wait for one service at one host.
const MAX_WAITING: usize = 2000;

/// A target as the choice sees it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Candidate {
    /// Requests in flight there, of all hosts as far as known.
    pub in_flight: u32,
    pub slots: u32,
    /// Whether it is in the host's data centre.
    pub near: bool,
    /// Whether it is still slow after its start.
    pub cold: bool,
    pub standing: Standing,
    /// Whether trials of the target are this host's duty.
    pub mine: bool,
}

impl Candidate {
    fn is_free(&self) -> bool {
        self.in_flight < self.slots
    }
}

/// What the choice goes by on the request's side.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Ask {
    pub repeat: Repeat,
    /// Whether the request could go to another target if this one fails it.
    pub can_retry: bool,
    pub waited: Duration,
}

/// Chooses the target for a request, or `None` if it should wait.
pub fn choose<R: Rng + ?Sized>(candidates: &[Candidate], ask: Ask, rng: &mut R) -> Option<usize> {
    let turn: usize = rng.random_range(0..candidates.len().max(1));
    let order = |at: &usize| {
        let one = &candidates[*at];
        let load = one.in_flight * 1000 / one.slots.max(1) + if one.cold { 600 } else { 0 };
        (tier(one, ask), load, (*at + turn) % candidates.len())
    };
    let usable = (0..candidates.len()).filter(|at| tier(&candidates[*at], ask).is_some());
    usable.min_by_key(order)
}

/// Returns the rank of the group that a target belongs to, or `None` if it is not to be used.
fn tier(one: &Candidate, ask: Ask) -> Option<u8> {
    if !one.is_free() {
        return None;
    }
    let tries = ask.repeat == Repeat::Safe && ask.can_retry;
    match one.standing {
        Standing::In => Some(if one.near { 1 } else { 2 }),
        Standing::Trial(_) if tries && one.mine && one.in_flight == 0 => Some(0),
        Standing::Trial(due) if one.mine && due >= LATE_TRIAL && one.in_flight == 0 => Some(0),
        Standing::Trial(_) => Some(3),
        Standing::Spare if ask.repeat == Repeat::Safe || ask.waited >= SPARE_WAIT => Some(4),
        Standing::Spare | Standing::Out => None,
    }
}

/// Rank of a request in the line; the lowest goes first.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct Rank {
    /// Priority of the workspace, or of the route where the workspace has none.
    pub priority: u8,
    /// Priority of the route.
    pub route: u8,
}

/// A place in a line.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct Ticket {
    rank: Rank,
    number: u64,
}

impl Ticket {
    /// Tells whether a request of a rank goes before the one with this ticket.
    pub fn is_behind(self, rank: Rank) -> bool {
        rank < self.rank
    }
}

/// A request that can't be served in its time.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Late {
    /// Time until a request that comes then would get a target at once.
    pub wait: Duration,
    pub ahead: usize,
}

/// Requests that wait for a target of one service, the most urgent first.
#[derive(Clone, Debug, Default)]
pub struct Line {
    waiting: BTreeMap<Ticket, Moment>,
    next: u64,
    /// Smoothed time between two dispatches while requests wait, in seconds.
    pace: f64,
    /// When the last request left the line for a target, while others waited.
    last: Option<Moment>,
}

impl Line {
    /// Lets a request wait until `latest`, or refuses it if its turn would come later.
    pub fn enter(&mut self, rank: Rank, latest: Moment, now: Moment) -> Result<Ticket, Late> {
        let end = Ticket { rank, number: u64::MAX };
        let ahead = self.waiting.range(..end).count();
        let stalled = self.last.map_or(0.0, |last| now.since(last).as_secs_f64());
        let pace = if self.waiting.is_empty() { self.pace } else { self.pace.max(stalled) };
        let wait = Duration::try_from_secs_f64(pace * ahead as f64).unwrap_or(Duration::MAX);
        if now.after(wait) > latest || self.waiting.len() >= MAX_WAITING {
            let all = pace * (self.waiting.len() + 1) as f64;
            let wait = Duration::try_from_secs_f64(all).unwrap_or(wait);
            return Err(Late { wait, ahead });
        }
        if self.waiting.is_empty() {
            self.last = Some(now);
        }
        self.next += 1;
        let ticket = Ticket { rank, number: self.next };
        self.waiting.insert(ticket, latest);
        Ok(ticket)
    }

    /// Takes a request out of the line; tells whether it was in it.
    pub fn leave(&mut self, ticket: Ticket) -> bool {
        self.waiting.remove(&ticket).is_some()
    }

    /// Takes a request out of the line since it goes to a target.
    pub fn depart(&mut self, ticket: Ticket, now: Moment) {
        if !self.leave(ticket) {
            return;
        }
        if let Some(last) = self.last.replace(now) {
            let gap = now.since(last).as_secs_f64();
            self.pace += PACE_WEIGHT * (gap - self.pace);
        }
        if self.waiting.is_empty() {
            self.last = None;
        }
    }

    /// Returns the waiting requests in their order.
    pub fn tickets(&self) -> Vec<Ticket> {
        self.waiting.keys().copied().collect()
    }

    /// Returns how many requests wait.
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Tells whether nothing waits.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }
}
