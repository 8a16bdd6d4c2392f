//! Choice of a target for each request.
//!
//! Targets have two to six slots each and work for tenths of a second on a request, so that a
//! request sent to a busy target waits about as long as the target works. Requests wait at the
//! host instead, where they can still go to whichever target is free first, or be refused with the
//! guarantee that they have not run.

use std::cmp::Ordering;
use std::cmp::Reverse;
use std::time::Duration;

use rand::Rng;

use crate::balance::Rule;
use crate::gray::Standing;

/// Bounds of the risk classes between which the choice distinguishes. A healthy target that just
/// succeeded has a risk of 0.03, and one without evidence about 0.2.
const RISK_STEPS: [f64; 7] = [0.02, 0.03, 0.045, 0.065, 0.1, 0.15, 0.3];
/// Time for which a request that runs once waits for a target in use before it takes one whose
/// trial is due.
const TRIAL_WAIT: Duration = Duration::from_millis(100);
/// Time for which a request that runs once waits before it takes a spare target.
const SPARE_WAIT: Duration = Duration::from_millis(250);
/// Retries that a service must have left for a request to try a target in doubt: one for that
/// request and one for a request that fails elsewhere meanwhile.
pub const RETRY_RESERVE: u32 = 2;
/// Time without an outcome after which a target counts as idle. Operators count a healthy target
/// as starved if it gets no request for two seconds; the host that is responsible for it needs part of
/// this time to have one to send.
const IDLE_AFTER: Duration = Duration::from_millis(800);
/// The same for hosts that aren't responsible for the target.
const IDLE_ELSEWHERE_AFTER: Duration = Duration::from_millis(1300);
/// Time without an outcome after which a target gets a request whatever its doubt. Operators count a target
/// that failed as sound again two seconds later, and as starved after two more; the host that is responsible
/// for it needs part of this time to have a request to send.
const MAX_IDLE_TIME: Duration = Duration::from_millis(3500);
/// Difference in the expected time for which two targets have been due and healthy from which one gets the
/// next request before the other.
const TURN_STEP: Duration = Duration::from_millis(400);
/// Share of the healthy targets that may be sound as operators see it, while links of the others are
/// disturbed.
const SOUND_SHARE: f64 = 0.1;
/// Share of the sound targets that must not be idle together.
const WITHHELD_SHARE: f64 = 0.3;
/// Standard deviations between the expected number of idle sound targets and that share.
const IDLE_MARGIN: f64 = 3.0;
/// Share of a data centre's healthy targets that may stay idle at most.
const MAX_IDLE_SHARE: f64 = 0.15;
/// Healthy targets that may stay idle in a data centre within that share: less than one, so that only
/// doubted ones do.
const FREE_ALLOWANCE: f64 = 0.9;
/// Preference class of targets that should get the next request; see [`tier`].
const DUE: u8 = 0;
/// Preference class of targets in use.
const IN_USE: u8 = 1;

/// A target to choose from.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Candidate {
    /// Requests in flight at the target, of this host and of others as far as known.
    pub in_flight: u32,
    /// Those of this host.
    pub own: u32,
    pub slots: u32,
    /// This host's share of the slots; see [`crate::balance::home_shares`].
    pub home: f64,
    /// Whether this host has an idle connection to it.
    pub connected: bool,
    /// Whether it is in this host's data centre.
    pub near: bool,
    /// Whether it is still warming up after its start.
    pub cold: bool,
    pub standing: Standing,
    /// Whether this host is the one that sends the target its trials.
    pub owned: bool,
    /// Probability that it is in an episode of failures, from 0 to 1.
    pub doubt: f64,
    /// Probability that it fails a request, from 0 to 1.
    pub risk: f64,
    /// Time since the latest outcome of a request there; `None` if none is known.
    pub evidence_age: Option<Duration>,
    /// Time for which it has been due to get the next request even if others have less risk.
    pub due_for: Option<Duration>,
}

impl Candidate {
    /// Returns whether it has a free slot.
    pub fn is_free(&self) -> bool {
        self.in_flight < self.slots
    }

    fn is_idle(&self) -> bool {
        let is_old = match self.evidence_age {
            Some(age) => age >= self.idle_limit(),
            None => self.owned,
        };
        self.in_flight == 0 && is_old
    }

    fn idle_limit(&self) -> Duration {
        if self.owned { IDLE_AFTER } else { IDLE_ELSEWHERE_AFTER }
    }

    /// Returns its place among targets that are due: the longer it has been so and the more likely it is healthy,
    /// the higher. If there are fewer requests than such targets, those with the least risk would get all of
    /// them otherwise.
    fn turn(&self) -> u128 {
        let healthy_time = |time: Duration| time.mul_f64(1.0 - self.doubt.clamp(0.0, 1.0));
        self.due_for.map_or(0, |time| healthy_time(time).as_millis() / TURN_STEP.as_millis() + 1)
    }

    fn risk_step(&self) -> usize {
        RISK_STEPS.iter().take_while(|limit| self.risk > **limit).count()
    }
}

/// Properties of a request that the choice depends on.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Request {
    /// Whether the request can be retried at another target if this one fails it.
    pub can_retry: bool,
    pub waited: Duration,
    /// Time from its arrival to the latest moment at which it may be sent.
    pub time: Duration,
}

/// What the choice among targets that are equal otherwise depends on.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Balance {
    pub rule: Rule,
    /// Whether the loads of the other hosts are known.
    pub is_informed: bool,
}

/// Returns the index of the target for a request, or `None` if the request should wait.
pub fn choose<R: Rng + ?Sized>(
    candidates: &[Candidate],
    request: Request,
    balance: Balance,
    rng: &mut R,
) -> Option<usize> {
    let Balance { rule, is_informed } = balance;
    let offset: usize = rng.random_range(0..candidates.len().max(1));
    let with_tier = |at| Some((tier(&candidates[at], request)?, at));
    let usable: Vec<(u8, usize)> = (0..candidates.len()).filter_map(with_tier).collect();
    let best = usable.iter().map(|(tier, _)| *tier).min()?;
    // Targets in doubt don't take what is kept from those in use.
    let usable = usable.into_iter().filter(|(tier, _)| *tier == best).map(|(_, at)| at);
    let allowed: Vec<_> = usable.filter(|at| rule.allows(&candidates[*at], is_informed)).collect();
    if best == IN_USE && rule.holds(candidates, request) {
        return None;
    }
    let order = |at: usize| {
        let one = &candidates[at];
        let risk = if request.can_retry { 0 } else { one.risk_step() };
        let place = rule.place(one, rng);
        // Those that are taken for want of others get no turns.
        let turn = if best == DUE { one.turn() } else { 0 };
        ((Reverse(turn), risk, !one.near, place, (at + offset) % candidates.len()), at)
    };
    let places = allowed.into_iter().map(order);
    let first = places.min_by(|one, other| one.partial_cmp(other).unwrap_or(Ordering::Equal));
    first.map(|(_, at)| at)
}

/// Returns the preference class of a target, the lowest first, or `None` if it may not be used.
fn tier(one: &Candidate, request: Request) -> Option<u8> {
    if !one.is_free() {
        return None;
    }
    match one.standing {
        Standing::InUse if one.due_for.is_some() => Some(DUE),
        Standing::Trial(_) | Standing::Spare if one.due_for.is_some() && one.owned => Some(DUE),
        Standing::InUse => Some(IN_USE),
        Standing::Trial(_) if request.can_retry && one.owned && one.in_flight == 0 => Some(DUE),
        Standing::Trial(_) if request.can_retry || request.waited >= TRIAL_WAIT => Some(2),
        Standing::Spare if request.can_retry || request.waited >= SPARE_WAIT => Some(3),
        Standing::Trial(_) | Standing::Spare | Standing::HeldBack => None,
    }
}

/// Returns how many healthy targets of a data centre may stay idle, given how many are expected to be healthy
/// there and in the whole service.
///
/// Operators count idle targets among those that are sound, which may be few of the healthy ones, and any
/// of them. The fewer there are, the more their number on one draw differs from the expected one: the
/// bound holds for it with a margin of three standard deviations.
pub fn idle_allowance(near: f64, all: f64) -> f64 {
    let sound = SOUND_SHARE * all;
    // The largest expected number that is within the bound together with the margin.
    let root = (IDLE_MARGIN.powi(2) + 4.0 * WITHHELD_SHARE * sound).sqrt() - IDLE_MARGIN;
    let share = (root / 2.0).powi(2) / sound.max(1.0);
    (share * near).max(FREE_ALLOWANCE).min(MAX_IDLE_SHARE * near)
}

/// Marks the idle targets of a data centre that should get a request although others have less risk:
/// those with the least doubt, until those that stay idle are as many as may, and those that have been idle
/// for long. `all_healthy` is how many targets of the service are expected to be healthy.
///
/// Answers the load of requests that run only once where some targets are in doubt. A request that finds
/// out whether a target recovered may be lost, and one that finds out whether a healthy one still is
/// seldom is. A target in doubt counts as capacity withheld only as far as it may have recovered.
pub fn mark_due(candidates: &mut [&mut Candidate], all_healthy: f64) {
    let healthy: f64 = candidates.iter().map(|one| 1.0 - one.doubt).sum();
    let mut idle: Vec<_> = candidates.iter_mut().filter(|one| one.is_idle()).collect();
    idle.sort_by(|a, b| b.doubt.total_cmp(&a.doubt));
    let mut allowance = idle_allowance(healthy, all_healthy);
    for one in idle {
        allowance -= 1.0 - one.doubt;
        let idle = one.evidence_age.unwrap_or(MAX_IDLE_TIME);
        let limit = if allowance < 0.0 { one.idle_limit() } else { MAX_IDLE_TIME };
        one.due_for = idle.checked_sub(limit);
    }
}
