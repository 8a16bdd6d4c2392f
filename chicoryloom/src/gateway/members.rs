//! The other hosts of the fleet, by what they say of themselves.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use chicoryloom_policy::Moment;
use chicoryloom_policy::entry;
use chicoryloom_policy::id;

use super::message::Member;

/// Time between two beats of a host that takes callers to those of its data centre, who must
/// soon send callers elsewhere if it is lost.
pub(super) const ENTRY_HEARTBEAT_INTERVAL: Duration = Duration::from_millis(250);
/// Time between two beats of any host to those of its data centre.
pub(super) const HEARTBEAT_INTERVAL: Duration = Duration::from_secs(1);
/// Time between two beats of a host that takes callers to those of other data centres. They need
/// to know whom to tell of targets and grants; a lost one costs a few messages to nobody.
pub(super) const REMOTE_HEARTBEAT_INTERVAL: Duration = Duration::from_secs(3);
/// Time between two beats to all known hosts, so that parts of a fleet find each other again.
pub(super) const FLEET_HEARTBEAT_INTERVAL: Duration = Duration::from_secs(5);
/// Silence after which a near host that takes callers counts as lost; three beats.
const ENTRY_LIFE: Duration = Duration::from_millis(800);
/// Silence after which another near host counts as lost; three beats.
const LIFE: Duration = Duration::from_millis(3300);
/// Silence after which a far host counts as lost at a host that takes callers; three beats.
const FAR_LIFE: Duration = Duration::from_secs(10);
/// Silence after which a far host counts as lost at a host that takes none; three wide beats.
const WIDE_LIFE: Duration = Duration::from_secs(16);
/// Silence after which a host is no longer sent anything.
const FORGET: Duration = Duration::from_secs(120);

#[derive(Clone, Debug)]
struct Known {
    member: Member,
    /// Place in the order in which hosts take callers.
    rank: u64,
    /// When the host itself was last heard; `None` if others named it only.
    heard: Option<Moment>,
    /// When it was first or last heard of.
    named: Moment,
}

/// What became of a host.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Change {
    Joined,
    Restarted,
    Leaving,
    Lost,
}

/// The other hosts.
#[derive(Debug)]
pub(super) struct Members {
    /// Data centre and rank of this host itself.
    data_centre: id::DataCentre,
    rank: u64,
    /// Whether this host takes callers, and so hears those of other data centres often.
    is_entry: bool,
    known: HashMap<id::Host, Known>,
    /// Hosts that were alive at the last look.
    alive: HashMap<id::Host, bool>,
}

impl Members {
    pub(super) fn new(me: &Member) -> Self {
        let (data_centre, rank) = (me.data_centre.clone(), entry::rank(&me.host));
        Self { data_centre, rank, is_entry: false, known: HashMap::new(), alive: HashMap::new() }
    }

    /// Notes whether this host takes callers.
    pub(super) fn set_entry(&mut self, is_entry: bool) {
        self.is_entry = is_entry;
    }

    /// Takes in what a host says of itself.
    pub(super) fn update(&mut self, member: Member, now: Moment) -> Option<Change> {
        let host = member.host.clone();
        let before = self.known.get(&host).filter(|known| known.heard.is_some());
        let change = match before {
            None => Some(Change::Joined),
            Some(known) if known.member.incarnation != member.incarnation => {
                Some(Change::Restarted)
            }
            Some(known) if member.leaving && !known.member.leaving => Some(Change::Leaving),
            Some(known) if !self.is_alive(known, now) => Some(Change::Joined),
            Some(_) => None,
        };
        let rank = before.map_or_else(|| entry::rank(&host), |known| known.rank);
        self.known.insert(host, Known { member, rank, heard: Some(now), named: now });
        change
    }

    /// Takes in what others say of a host; its own word goes first.
    pub(super) fn add(&mut self, member: Member, now: Moment) {
        let known = self.known.entry(member.host.clone());
        let rank = entry::rank(&member.host);
        known.or_insert(Known { member, rank, heard: None, named: now });
    }

    fn is_alive(&self, known: &Known, now: Moment) -> bool {
        let is_near = known.member.data_centre == self.data_centre;
        let life = match (is_near, self.is_entry) {
            (true, _) if known.member.entry => ENTRY_LIFE,
            (true, _) => LIFE,
            (false, true) => FAR_LIFE,
            (false, false) => WIDE_LIFE,
        };
        known.heard.is_some_and(|heard| now.since(heard) < life)
    }

    /// Returns the hosts that fell silent since the last look.
    pub(super) fn expire(&mut self, now: Moment) -> Vec<id::Host> {
        self.known.retain(|_, known| now.since(known.heard.unwrap_or(known.named)) < FORGET);
        let alive: HashMap<_, _> = self
            .known
            .iter()
            .map(|(host, known)| (host.clone(), self.is_alive(known, now)))
            .collect();
        let was_alive = |host: &id::Host| self.alive.get(host).copied().unwrap_or_default();
        let lost = alive.iter().filter(|(host, alive)| !**alive && was_alive(host));
        let lost = lost.map(|(host, _)| host.clone()).collect();
        self.alive = alive;
        lost
    }

    /// Returns the hosts that have been heard of lately, themselves or by others.
    pub(super) fn all(&self) -> impl Iterator<Item = &Member> {
        self.known.values().map(|known| &known.member)
    }

    /// Returns when any host was last heard itself.
    pub(super) fn last_heard(&self) -> Option<Moment> {
        self.known.values().filter_map(|known| known.heard).max()
    }

    /// Returns the live hosts of a data centre.
    pub(super) fn alive(
        &self,
        data_centre: &id::DataCentre,
        now: Moment,
    ) -> impl Iterator<Item = &Member> {
        self.known
            .values()
            .filter(move |known| self.is_alive(known, now))
            .map(|known| &known.member)
            .filter(move |member| member.data_centre == *data_centre)
    }

    /// Returns all live hosts.
    pub(super) fn all_alive(&self, now: Moment) -> impl Iterator<Item = &Member> {
        let alive = self.known.values().filter(move |known| self.is_alive(known, now));
        alive.map(|known| &known.member)
    }

    /// Returns the live hosts whose copy of the platform's objects was fresh at their latest beat,
    /// the one that was heard last first.
    pub(super) fn fresh(&self, now: Moment) -> Vec<SocketAddr> {
        let is_fresh = |known: &&Known| known.member.fresh && self.is_alive(known, now);
        let mut fresh: Vec<_> = self.known.values().filter(is_fresh).collect();
        fresh.sort_by_key(|known| std::cmp::Reverse(known.heard));
        fresh.into_iter().map(|known| known.member.peer).collect()
    }

    /// Returns the hosts that callers of a data centre are sent to.
    pub(super) fn entries<'a>(
        &'a self,
        data_centre: &id::DataCentre,
        me: &'a Member,
        demand: f64,
        now: Moment,
    ) -> Vec<&'a Member> {
        let alive = self.known.values().filter(|known| self.is_alive(known, now));
        let others = alive.map(|known| (&known.member, known.rank));
        let mine = std::iter::once((me, self.rank));
        let takes =
            |member: &Member| member.data_centre == *data_centre && member.ready && !member.leaving;
        let (members, candidates): (Vec<_>, Vec<_>) = others
            .chain(mine)
            .filter(|(member, _)| takes(member))
            .map(|(member, rank)| {
                (member, entry::Candidate { rank, capacity: member.capacity.into() })
            })
            .unzip();
        entry::choose(&candidates, demand).into_iter().map(|at| members[at]).collect()
    }

    /// Returns where to send a beat, by the time since the last ones.
    pub(super) fn recipients(&self, far: bool, wide: bool, now: Moment) -> Vec<SocketAddr> {
        let takes = |known: &&Known| {
            let is_near = known.member.data_centre == self.data_centre;
            wide || is_near || (far && known.member.entry && self.is_alive(known, now))
        };
        self.known.values().filter(takes).map(|known| known.member.peer).collect()
    }

    /// Returns the live hosts that take callers, by data centre.
    pub(super) fn entries_by_data_centre(
        &self,
        now: Moment,
    ) -> BTreeMap<id::DataCentre, Vec<SocketAddr>> {
        let mut sharers: BTreeMap<id::DataCentre, Vec<SocketAddr>> = BTreeMap::new();
        for member in self.all_alive(now).filter(|member| member.entry) {
            sharers.entry(member.data_centre.clone()).or_default().push(member.peer);
        }
        sharers
    }
}
