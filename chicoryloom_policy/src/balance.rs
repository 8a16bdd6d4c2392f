//! Choice among targets that are equal otherwise, from knowledge that is a little old.
//!
//! Answers the load of many hosts that choose at the same moment: what they know of a target's load
//! is up to half a second old, so that all would send to the target reported as least loaded until
//! the next report. Each host therefore has slots of its own, its home share, and fills them first.
//! A request that finds them taken goes to a random target with room. The less room there is, the
//! more likely another host takes it at the same moment, so that the request first waits a while
//! for a home slot.

use rand::Rng;

use crate::dispatch::Candidate;
use crate::dispatch::Request;
use crate::gray::Standing;

/// Weight of a target that is warming up, against one that isn't.
const COLD_WEIGHT: f64 = 0.4;
/// Part of the slots that must be free for requests not to wait for a home slot.
const AMPLE_ROOM: f64 = 0.5;
/// Part of the time that a request has in which it may wait for a home slot while there is no other
/// room; most of it is left for the wait at a target, and for the work.
const HOME_WAIT_SHARE: f64 = 0.1;

/// How a host chooses among targets that are equal otherwise.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Rule {
    /// The target with the least reported load.
    #[default]
    Least,
    /// Home slots first, then at random in proportion to the free slots.
    Even,
}

/// Place of a target in the order of a choice; the least is chosen.
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd)]
pub(crate) struct Place {
    is_overflow: bool,
    key: f64,
}

impl Rule {
    /// Returns the place of a target.
    pub(crate) fn place<R: Rng + ?Sized>(self, one: &Candidate, rng: &mut R) -> Place {
        match self {
            Self::Least => {
                let load = one.in_flight * 1000 / one.slots.max(1) + if one.cold { 600 } else { 0 };
                Place { is_overflow: false, key: f64::from(load) }
            }
            Self::Even if one.has_home_room() => {
                let load = f64::from(one.in_flight) / f64::from(one.slots.max(1));
                let warmup = if one.cold { 1.0 } else { 0.0 };
                // Less than any difference in load.
                let connect = if one.connected { 0.0 } else { 1e-6 };
                Place { is_overflow: false, key: load + warmup + connect }
            }
            Self::Even => {
                // The least of exponential variates falls to each in proportion to its rate.
                let variate = -(1.0 - rng.random::<f64>()).ln();
                Place { is_overflow: true, key: variate / one.weight() }
            }
        }
    }

    /// Returns whether a request should wait for a home slot of a target in use.
    pub(crate) fn holds(self, candidates: &[Candidate], request: Request) -> bool {
        if self == Self::Least {
            return false;
        }
        let in_use = || candidates.iter().filter(|one| one.standing == Standing::InUse);
        if in_use().any(Candidate::has_home_room) {
            return false;
        }
        let free: u32 = in_use().map(|one| one.slots.saturating_sub(one.in_flight)).sum();
        let slots: u32 = in_use().map(|one| one.slots).sum();
        let room = f64::from(free) / f64::from(slots.max(1));
        let lack = (1.0 - room / AMPLE_ROOM).max(0.0);
        request.waited < request.time.mul_f64(HOME_WAIT_SHARE * lack)
    }

    /// Returns whether this host may send to a target. One that doesn't know the load of the other
    /// hosts has one request there, or as many as its home share.
    pub(crate) fn allows(self, one: &Candidate, is_informed: bool) -> bool {
        is_informed || self == Self::Least || f64::from(one.own) < one.home.max(1.0)
    }
}

impl Candidate {
    /// Returns whether this host has a free slot of its own there.
    pub fn has_home_room(&self) -> bool {
        f64::from(self.own) + 0.5 <= self.home && self.is_free()
    }

    /// Returns the weight at which it is chosen at random; above zero.
    fn weight(&self) -> f64 {
        let free = self.slots.saturating_sub(self.in_flight).max(1);
        f64::from(free) * if self.cold { COLD_WEIGHT } else { 1.0 }
    }
}

/// Returns a host's share of each target's slots, given the host's index among `hosts` and the
/// slots of the targets in an order that is the same on all of them.
///
/// The slots are laid out in a row and cut into equal parts. A part covers few targets, so that a
/// host uses the same few connections again; hosts that disagree about the row overlap, and no more.
pub fn home_shares(index: usize, hosts: usize, slots: &[u32]) -> Vec<f64> {
    let total: f64 = slots.iter().map(|count| f64::from(*count)).sum();
    let part = total / hosts.max(1) as f64;
    let (from, to) = (index as f64 * part, (index + 1) as f64 * part);
    let mut end = 0.0;
    let share = |count: &u32| {
        let begin = end;
        end += f64::from(*count);
        (to.min(end) - from.max(begin)).max(0.0)
    };
    slots.iter().map(share).collect()
}
