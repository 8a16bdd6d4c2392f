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
use crate::gray::Standing;

/// Risks of failure between which the choice makes a difference; a sound target that was proven
/// a moment ago has 0.03, one of which nothing is known about 0.2.
const RISKS: [f64; 7] = [0.02, 0.03, 0.045, 0.065, 0.1, 0.15, 0.3];
/// Time for which a request that runs once waits for a sound target before it takes one in doubt.
const DOUBT_WAIT: Duration = Duration::from_millis(100);
/// Time for which it waits before it takes one that is held back.
const SPARE_WAIT: Duration = Duration::from_millis(250);
/// Retries that a service must have left for a request to try a target in doubt: one for it and
/// one for a request that fails elsewhere meanwhile.
pub const RESERVE: u32 = 2;
/// Time without a request after which a target counts as idle. Operators count a sound target as
/// left out if it gets nothing for two seconds.
const IDLE: Duration = Duration::from_millis(1600);
/// Time without a request after which a target gets one however many are idle; episodes are half
/// over by then.
const RETURN: Duration = Duration::from_millis(3500);
/// Time without a failure after which a target may not stay idle; operators count one as sound
/// again six seconds after its trouble, and most episodes are over by then.
const OVER: Duration = Duration::from_millis(4500);
/// Share of a service's targets that may be idle; at 0.3 of the sound ones operators would hold
/// that capacity is withheld.
const MOST_IDLE: f64 = 0.3;
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
    /// Probability that it fails a request, from 0 to 1.
    pub risk: f64,
    /// Time since the latest outcome of a request there; `None` if none is known.
    pub rest: Option<Duration>,
    /// Time since it last failed a request; `None` if no failure is known.
    pub failed: Option<Duration>,
    /// Whether it should get the next request although others are known better.
    pub due: bool,
}

impl Candidate {
    fn is_free(&self) -> bool {
        self.in_flight < self.slots
    }

    fn is_idle(&self) -> bool {
        self.in_flight == 0 && self.rest.is_none_or(|rest| rest >= IDLE)
    }

    /// Tells whether it is to be used again however many are idle.
    fn is_back(&self) -> bool {
        self.rest.is_none_or(|rest| rest >= RETURN)
            || self.failed.is_none_or(|failed| failed >= OVER)
    }

    fn risk_step(&self) -> usize {
        RISKS.iter().take_while(|limit| self.risk > **limit).count()
    }
}

/// What the choice goes by on the request's side.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Ask {
    /// Whether the request can go to another target if this one fails it.
    pub can_retry: bool,
    pub waited: Duration,
}

/// Chooses the target for a request, or `None` if it should wait.
pub fn choose<R: Rng + ?Sized>(candidates: &[Candidate], ask: Ask, rng: &mut R) -> Option<usize> {
    let turn: usize = rng.random_range(0..candidates.len().max(1));
    let order = |at: &usize| {
        let one = &candidates[*at];
        let load = one.in_flight * 1000 / one.slots.max(1) + if one.cold { 600 } else { 0 };
        let risk = if ask.can_retry { 0 } else { one.risk_step() };
        (tier(one, ask), risk, !one.near, load, (*at + turn) % candidates.len())
    };
    let usable = (0..candidates.len()).filter(|at| tier(&candidates[*at], ask).is_some());
    usable.min_by_key(order)
}

/// Returns the rank of the group that a target belongs to, or `None` if it is not to be used.
fn tier(one: &Candidate, ask: Ask) -> Option<u8> {
    if !one.is_free() {
        return None;
    }
    match one.standing {
        Standing::InUse | Standing::Trial(_) | Standing::Spare if one.due && one.mine => Some(0),
        Standing::InUse => Some(1),
        Standing::Trial(_) if ask.can_retry && one.mine && one.in_flight == 0 => Some(0),
        Standing::Trial(_) if ask.can_retry || ask.waited >= DOUBT_WAIT => Some(2),
        Standing::Spare if ask.can_retry || ask.waited >= SPARE_WAIT => Some(3),
        Standing::Trial(_) | Standing::Spare | Standing::HeldBack => None,
    }
}

/// Returns how many of a data centre's targets may be idle, where its service has `before` targets
/// in the data centres that are counted before it.
pub fn idle_allowance(before: usize, own: usize) -> usize {
    let most = |count: usize| (count as f64 * MOST_IDLE) as usize;
    most(before + own) - most(before)
}

/// Marks the idle targets of a data centre that should get a request: those that have been idle
/// or without a failure for long, and so that no more stay idle than are allowed, those that are
/// likeliest to be well.
pub fn mark_due(candidates: &mut [Candidate], allowance: usize) {
    let mut idle: Vec<_> = candidates.iter_mut().filter(|one| one.is_idle()).collect();
    idle.sort_by(|a, b| a.risk.total_cmp(&b.risk));
    let most = idle.len().saturating_sub(allowance);
    for (at, one) in idle.into_iter().enumerate() {
        one.due = at < most || one.is_back();
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
        let wait = self.time_for(ahead, now);
        if now.after(wait) > latest || self.waiting.len() >= MAX_WAITING {
            return Err(Late { wait: self.clearance(now), ahead });
        }
        if self.waiting.is_empty() {
            self.last = Some(now);
        }
        self.next += 1;
        let ticket = Ticket { rank, number: self.next };
        self.waiting.insert(ticket, latest);
        Ok(ticket)
    }

    /// Returns the time until a request that comes then would get a target at once.
    pub fn clearance(&self, now: Moment) -> Duration {
        self.time_for(self.waiting.len() + 1, now)
    }

    /// Returns the time in which as many requests leave the line for a target.
    fn time_for(&self, count: usize, now: Moment) -> Duration {
        let stalled = self.last.map_or(0.0, |last| now.since(last).as_secs_f64());
        let pace = if self.waiting.is_empty() { self.pace } else { self.pace.max(stalled) };
        Duration::try_from_secs_f64(pace * count as f64).unwrap_or(Duration::MAX)
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
