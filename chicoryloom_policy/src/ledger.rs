//! Division of a service's grants among the hosts that admit requests.
//!
//! A ledger holds a fixed number of seats. Each seat stands for a fixed share of every grant of
//! the service, and at most one incarnation of a host holds it. Since shares never change with
//! the holders, a host may admit requests on a seat without knowing who holds the others.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::Moment;
use crate::document::Grant;
use crate::id;
use crate::limit::Flow;
use crate::limit::Share;
use crate::limit::Tokens;

/// Number of seats in a ledger; divisible by the usual numbers of home hosts.
pub const SEATS: usize = 24;
/// Step between the seats that get the remainder tokens of a burst. Coprime to [`SEATS`], so that
/// each seat has a rank of its own.
const STRIDE: usize = 7;

/// One incarnation of a host.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Holder {
    pub host: id::Host,
    pub incarnation: id::Incarnation,
}

/// A fixed share of every grant of a service.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Seat {
    pub holder: Option<Holder>,
    /// Generation of the ledger in which the holder got the seat.
    pub since: u64,
    /// Whether an earlier holder lost the seat without releasing it, and so may admit requests on
    /// it until that host stops being fresh.
    pub seized: bool,
}

/// The seats of a service and their holders.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Ledger {
    /// Grows by one with each change.
    pub generation: u64,
    /// [`SEATS`] seats.
    pub seats: Vec<Seat>,
}

impl Default for Ledger {
    fn default() -> Self {
        Self { generation: 0, seats: vec![Seat::default(); SEATS] }
    }
}

impl Ledger {
    /// Returns the ledger that the host `me` should propose, or `None` if no change is needed.
    ///
    /// Hosts that are no longer home hosts and other incarnations of this host lose their seats.
    /// This host claims its equal part of the seats, vacant ones first. It leaves the remaining
    /// vacant seats to home hosts that hold none yet, unless `claim_all` is set.
    pub fn propose(&self, me: &Holder, homes: &[id::Host], claim_all: bool) -> Option<Self> {
        if !homes.contains(&me.host) {
            return None;
        }
        let mut next = Self { generation: self.generation + 1, seats: self.seats.clone() };
        for seat in &mut next.seats {
            let stays = |holder: &Holder| homes.contains(&holder.host) && !me.replaces(holder);
            if seat.holder.as_ref().is_some_and(|holder| !stays(holder)) {
                *seat = Seat { holder: None, since: next.generation, seized: true };
            }
        }
        next.claim_seats(me, homes, claim_all);
        (next.seats != self.seats).then_some(next)
    }

    /// Assigns vacant seats to `me` up to its equal part, or all of them with `claim_all`, then
    /// takes seats from the largest holders while it has fewer than its part.
    fn claim_seats(&mut self, me: &Holder, homes: &[id::Host], claim_all: bool) {
        let quota = (self.seats.len() / homes.len()).max(1);
        let mut held = self.held_by(me).len();
        while let Some(index) = self.seats.iter().position(|seat| seat.holder.is_none()) {
            if held >= quota && !claim_all {
                break;
            }
            self.assign(index, me);
            held += 1;
        }
        while held < quota {
            let Some(index) = self.seat_of_largest(me, quota) else {
                return;
            };
            self.assign(index, me);
            self.seats[index].seized = true;
            held += 1;
        }
    }

    fn assign(&mut self, index: usize, holder: &Holder) {
        self.seats[index].holder = Some(holder.clone());
        self.seats[index].since = self.generation;
    }

    /// Returns a seat of the other holder with the most seats, if it has more than `quota`.
    fn seat_of_largest(&self, me: &Holder, quota: usize) -> Option<usize> {
        let mut counts = BTreeMap::<&Holder, usize>::new();
        for holder in self.seats.iter().filter_map(|seat| seat.holder.as_ref()) {
            *counts.entry(holder).or_default() += 1;
        }
        let others = counts.into_iter().filter(|(holder, _)| *holder != me);
        let (largest, count) = others.max_by_key(|(_, count)| *count)?;
        let of_largest = |seat: &Seat| seat.holder.as_ref() == Some(largest);
        if count > quota { self.seats.iter().rposition(of_largest) } else { None }
    }

    /// Returns the ledger after `me` released its seats, or `None` if it has none.
    ///
    /// `pending` are the seats on which the holder never admitted requests; those that were seized
    /// stay so, as their earlier holders may still admit on them. The caller must no longer admit
    /// requests on any of its seats, and its loans to others must have ended.
    pub fn release(&self, me: &Holder, pending: &[usize]) -> Option<Self> {
        let held = self.held_by(me);
        if held.is_empty() {
            return None;
        }
        let mut next = Self { generation: self.generation + 1, seats: self.seats.clone() };
        for index in held {
            let seized = next.seats[index].seized && pending.contains(&index);
            next.seats[index] = Seat { holder: None, since: next.generation, seized };
        }
        Some(next)
    }

    /// Returns the indices of a holder's seats.
    pub fn held_by(&self, holder: &Holder) -> Vec<usize> {
        let held =
            |(index, seat): (usize, &Seat)| (seat.holder.as_ref() == Some(holder)).then_some(index);
        self.seats.iter().enumerate().filter_map(held).collect()
    }

    /// Returns the number of seats of each holder.
    pub fn seat_counts(&self) -> BTreeMap<Holder, usize> {
        let mut counts = BTreeMap::new();
        for holder in self.seats.iter().filter_map(|seat| seat.holder.clone()) {
            *counts.entry(holder).or_default() += 1;
        }
        counts
    }
}

impl Holder {
    /// Returns whether `other` is another incarnation of the same host.
    fn replaces(&self, other: &Self) -> bool {
        self.host == other.host && self.incarnation != other.incarnation
    }
}

/// Returns a seat's share of a grant.
///
/// The shares of all seats add up to the grant at most. Each grows with the grant, so hosts that
/// use different versions of a grant together stay within the larger one. A burst smaller than
/// the number of seats gives some seats a token and others none; `rotation` differs by workspace,
/// so that these are different seats for different workspaces.
pub fn share(grant: &Grant, rotation: u64, seat: usize) -> Share {
    let rank = (seat * STRIDE + (rotation % SEATS as u64) as usize) % SEATS;
    let part = |whole: u64| {
        let (each, remainder) = (whole / SEATS as u64, whole % SEATS as u64);
        each + u64::from((rank as u64) < remainder)
    };
    let burst = u32::try_from(part(grant.burst.0.into())).unwrap_or(u32::MAX);
    Share { flow: Flow(part(Flow::from(grant.rate).0)), cap: Tokens::whole(burst) }
}

/// A seat that this host holds.
#[derive(Clone, Copy, Debug)]
struct Held {
    since: u64,
    /// When the host may start to admit requests on the seat; `None` until that is known.
    active_from: Option<Moment>,
}

/// The seats of one service that this incarnation of a host holds, and since when each is active:
/// the host may admit requests on active seats only.
#[derive(Clone, Debug)]
pub struct Holdings {
    me: Holder,
    /// Time after the acceptance of a change at which no host that missed it is fresh any more.
    activation_delay: Duration,
    generation: u64,
    seats: BTreeMap<usize, Held>,
}

impl Holdings {
    /// Returns holdings without seats.
    pub const fn new(me: Holder, activation_delay: Duration) -> Self {
        Self { me, activation_delay, generation: 0, seats: BTreeMap::new() }
    }

    /// Returns the generation of the latest ledger that was applied.
    pub const fn generation(&self) -> u64 {
        self.generation
    }

    /// Applies a ledger if it is newer. Lost seats end at once; new seats are active at once unless
    /// they were seized.
    pub fn update(&mut self, ledger: &Ledger, now: Moment) {
        if ledger.generation <= self.generation {
            return;
        }
        self.generation = ledger.generation;
        let seats = ledger.held_by(&self.me).into_iter().map(|index| {
            let seat = &ledger.seats[index];
            let known = self.seats.get(&index).filter(|held| held.since == seat.since);
            let new = Held { since: seat.since, active_from: (!seat.seized).then_some(now) };
            (index, known.copied().unwrap_or(new))
        });
        self.seats = seats.collect();
    }

    /// Records that every change up to a generation was accepted at `by` at the latest. Seized
    /// seats that it assigned become active after the activation delay.
    pub fn accept(&mut self, generation: u64, by: Moment) {
        for held in self.seats.values_mut() {
            if held.since <= generation && held.active_from.is_none() {
                held.active_from = Some(by.after(self.activation_delay));
            }
        }
    }

    /// Returns whether a seat waits for the acceptance of the change that assigned it.
    pub fn awaits_acceptance(&self) -> bool {
        self.seats.values().any(|held| held.active_from.is_none())
    }

    /// Returns the seats on which the host may admit requests at `now`.
    pub fn active(&self, now: Moment) -> impl Iterator<Item = usize> + '_ {
        let is_active = move |held: &Held| held.active_from.is_some_and(|from| from <= now);
        self.seats.iter().filter(move |(_, held)| is_active(held)).map(|(index, _)| *index)
    }

    /// Returns the host's share of a grant at `now`, the sum over its active seats.
    pub fn share(&self, grant: &Grant, rotation: u64, now: Moment) -> Share {
        self.active(now).map(|seat| share(grant, rotation, seat)).sum()
    }

    /// Returns the seats that the host holds and may not admit requests on yet.
    pub fn pending(&self, now: Moment) -> Vec<usize> {
        let active: Vec<_> = self.active(now).collect();
        self.seats.keys().copied().filter(|index| !active.contains(index)).collect()
    }
}

#[cfg(test)]
mod tests {
    use rstest::rstest;

    use super::*;
    use crate::unit::Burst;
    use crate::unit::Rate;
    use crate::unit::Weight;

    const ACTIVATION_DELAY: Duration = Duration::from_millis(3300);

    fn holder(n: u64, incarnation: u64) -> Holder {
        Holder {
            host: format!("host-{n}").parse().unwrap(),
            incarnation: id::Incarnation(incarnation),
        }
    }

    fn homes(range: std::ops::Range<u64>) -> Vec<id::Host> {
        range.map(|n| holder(n, 1).host).collect()
    }

    fn grant(rate: f64, burst: u32) -> Grant {
        Grant { rate: Rate::new(rate).unwrap(), burst: Burst(burst), weight: Weight(1) }
    }

    fn joined() -> Ledger {
        let mut ledger = Ledger::default();
        for n in 0..4 {
            ledger = ledger.propose(&holder(n, 1), &homes(0..4), false).unwrap();
        }
        ledger
    }

    #[rstest]
    #[case(10.0, 1)]
    #[case(0.00003, 3)]
    #[case(0.1, 23)]
    #[case(1e12, u32::MAX)]
    #[case(12345.678901, 1000)]
    fn shares_add_up_to_the_grant(#[case] rate: f64, #[case] burst: u32) {
        for rotation in 0..50 {
            let grant = grant(rate, burst);
            let sum: Share = (0..SEATS).map(|seat| share(&grant, rotation, seat)).sum();
            assert_eq!(sum, Share { flow: Flow::from(grant.rate), cap: Tokens::whole(burst) });
        }
    }

    #[test]
    fn joining_hosts_take_equal_parts_of_vacant_seats() {
        let ledger = joined();
        assert!(ledger.seat_counts().values().all(|count| *count == 6));
        assert!(ledger.seats.iter().all(|seat| !seat.seized));
        assert_eq!(ledger.propose(&holder(2, 1), &homes(0..4), true), None);
    }

    #[test]
    fn new_incarnation_has_no_active_seat_until_the_activation_delay_has_passed() {
        let ledger = joined();
        let me = holder(1, 2);
        let next = ledger.propose(&me, &homes(0..4), false).unwrap();
        let mut holdings = Holdings::new(me.clone(), ACTIVATION_DELAY);
        holdings.update(&ledger, Moment::ZERO);
        assert_eq!(holdings.active(Moment::ZERO).count(), 0);
        holdings.update(&next, Moment::ZERO);
        assert_eq!(next.held_by(&me).len(), 6);
        holdings.accept(next.generation, Moment::from_millis(100));
        assert_eq!(holdings.active(Moment::from_millis(3399)).count(), 0);
        assert_eq!(holdings.active(Moment::from_millis(3400)).count(), 6);
    }

    #[test]
    fn released_seats_are_active_at_once_and_unused_seized_seats_stay_seized() {
        let mut ledger = joined().release(&holder(3, 1), &[]).unwrap();
        ledger =
            ledger.propose(&holder(4, 1), &[homes(0..3), homes(4..5)].concat(), false).unwrap();
        let mut holdings = Holdings::new(holder(4, 1), ACTIVATION_DELAY);
        holdings.update(&ledger, Moment::ZERO);
        assert_eq!(holdings.active(Moment::ZERO).count(), 6);
        // A seized seat on which its holder never admitted requests stays seized after its release.
        let seized = ledger.propose(&holder(0, 1), &homes(0..3), true).unwrap();
        let seats = seized.held_by(&holder(0, 1));
        let released = seized.release(&holder(0, 1), &seats).unwrap();
        assert_eq!(released.seats.iter().filter(|seat| seat.seized).count(), 6);
    }
}
