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
const RISK_STEPS: [f64; 7] = [0.02, 0.03, 0.045, 0.065, 0.1, 0.15, 0.3];
/// Time for which a request that runs once waits for a sound target before it takes one in doubt.
const TRIAL_WAIT: Duration = Duration::from_millis(100);
/// Time for which it waits before it takes one that is held back.
const SPARE_WAIT: Duration = Duration::from_millis(250);
/// Retries that a service must have left for a request to try a target in doubt: one for it and
/// one for a request that fails elsewhere meanwhile.
pub const RETRY_RESERVE: u32 = 2;
/// Time without a request after which a target counts as idle. Operators count a sound target as
/// left out if it gets nothing for two seconds.
const IDLE_AFTER: Duration = Duration::from_millis(1600);
/// Time without a request after which a target gets one however many are idle; episodes are half
/// over by then.
const MAX_IDLE_TIME: Duration = Duration::from_millis(3500);
/// Time without a failure after which a target may not stay idle; operators count one as sound
/// again six seconds after its trouble, and most episodes are over by then.
const RECOVERED_AFTER: Duration = Duration::from_millis(4500);
/// Share of a service's targets that may be idle; at 0.3 of the sound ones operators would hold
/// that capacity is withheld.
const MAX_IDLE_SHARE: f64 = 0.3;
/// Weight of the newest sample in the smoothed time between two dispatches.
const INTERVAL_WEIGHT: f64 = 0.1;
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
    pub owned: bool,
    /// Probability that it fails a request, from 0 to 1.
    pub risk: f64,
    /// Time since the latest outcome of a request there; `None` if none is known.
    pub evidence_age: Option<Duration>,
    /// Time since it last failed a request; `None` if no failure is known.
    pub since_failure: Option<Duration>,
    /// Whether it should get the next request although others are known better.
    pub due: bool,
}

impl Candidate {
    fn is_free(&self) -> bool {
        self.in_flight < self.slots
    }

    fn is_idle(&self) -> bool {
        self.in_flight == 0 && self.evidence_age.is_none_or(|age| age >= IDLE_AFTER)
    }

    /// Tells whether it is to be used again however many are idle.
    fn is_overdue(&self) -> bool {
        self.evidence_age.is_none_or(|age| age >= MAX_IDLE_TIME)
            || self.since_failure.is_none_or(|time| time >= RECOVERED_AFTER)
    }

    fn risk_step(&self) -> usize {
        RISK_STEPS.iter().take_while(|limit| self.risk > **limit).count()
    }
}

/// What the choice goes by on the request's side.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Request {
    /// Whether the request can go to another target if this one fails it.
    pub can_retry: bool,
    pub waited: Duration,
}

/// Chooses the target for a request, or `None` if it should wait.
pub fn choose<R: Rng + ?Sized>(
    candidates: &[Candidate],
    request: Request,
    rng: &mut R,
) -> Option<usize> {
    let offset: usize = rng.random_range(0..candidates.len().max(1));
    let order = |at: &usize| {
        let one = &candidates[*at];
        let load = one.in_flight * 1000 / one.slots.max(1) + if one.cold { 600 } else { 0 };
        let risk = if request.can_retry { 0 } else { one.risk_step() };
        (tier(one, request), risk, !one.near, load, (*at + offset) % candidates.len())
    };
    let usable = (0..candidates.len()).filter(|at| tier(&candidates[*at], request).is_some());
    usable.min_by_key(order)
}

/// Returns the rank of the group that a target belongs to, or `None` if it is not to be used.
fn tier(one: &Candidate, request: Request) -> Option<u8> {
    if !one.is_free() {
        return None;
    }
    match one.standing {
        Standing::InUse | Standing::Trial(_) | Standing::Spare if one.due && one.owned => Some(0),
        Standing::InUse => Some(1),
        Standing::Trial(_) if request.can_retry && one.owned && one.in_flight == 0 => Some(0),
        Standing::Trial(_) if request.can_retry || request.waited >= TRIAL_WAIT => Some(2),
        Standing::Spare if request.can_retry || request.waited >= SPARE_WAIT => Some(3),
        Standing::Trial(_) | Standing::Spare | Standing::HeldBack => None,
    }
}

/// Returns how many of a data centre's targets may be idle, where its service has `before` targets
/// in the data centres that are counted before it.
pub fn idle_allowance(before: usize, own: usize) -> usize {
    let max_idle = |count: usize| (count as f64 * MAX_IDLE_SHARE) as usize;
    max_idle(before + own) - max_idle(before)
}

/// Marks the idle targets of a data centre that should get a request: those that have been idle
/// or without a failure for long, and so that no more stay idle than are allowed, those that are
/// likeliest to be well.
pub fn mark_due(candidates: &mut [Candidate], allowance: usize) {
    let mut idle: Vec<_> = candidates.iter_mut().filter(|one| one.is_idle()).collect();
    idle.sort_by(|a, b| a.risk.total_cmp(&b.risk));
    let excess = idle.len().saturating_sub(allowance);
    for (at, one) in idle.into_iter().enumerate() {
        one.due = at < excess || one.is_overdue();
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
pub struct Rejection {
    /// Time until a request that comes then would get a target at once.
    pub retry_after: Duration,
    pub ahead: usize,
}

/// Requests that wait for a target of one service, the most urgent first.
#[derive(Clone, Debug, Default)]
pub struct Queue {
    waiting: BTreeMap<Ticket, Moment>,
    last_number: u64,
    /// Smoothed time between two dispatches while requests wait, in seconds.
    interval: f64,
    /// When the last request left the line for a target, while others waited.
    last_dispatch: Option<Moment>,
}

impl Queue {
    /// Lets a request wait until `latest`, or refuses it if its turn would come later.
    pub fn enqueue(
        &mut self,
        rank: Rank,
        latest: Moment,
        now: Moment,
    ) -> Result<Ticket, Rejection> {
        let end = Ticket { rank, number: u64::MAX };
        let ahead = self.waiting.range(..end).count();
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

    /// Returns the time until a request that comes then would get a target at once.
    pub fn drain_time(&self, now: Moment) -> Duration {
        self.expected_wait(self.waiting.len() + 1, now)
    }

    /// Returns the time in which as many requests leave the line for a target.
    fn expected_wait(&self, count: usize, now: Moment) -> Duration {
        let stalled = self.last_dispatch.map_or(0.0, |last| now.since(last).as_secs_f64());
        let interval =
            if self.waiting.is_empty() { self.interval } else { self.interval.max(stalled) };
        Duration::try_from_secs_f64(interval * count as f64).unwrap_or(Duration::MAX)
    }

    /// Takes a request out of the line; tells whether it was in it.
    pub fn remove(&mut self, ticket: Ticket) -> bool {
        self.waiting.remove(&ticket).is_some()
    }

    /// Takes a request out of the line since it goes to a target.
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
