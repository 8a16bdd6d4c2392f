//! The other hosts of the fleet, by what they advertise about themselves.
//!
//! Entry hosts are those that callers are directed to.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use chicoryloom_policy::Moment;
use chicoryloom_policy::allowance::Neighbours;
use chicoryloom_policy::catalog::Version;
use chicoryloom_policy::entry;
use chicoryloom_policy::id;
use chicoryloom_policy::stop::Others;

use super::message::Member;

/// Interval at which an entry host sends heartbeats to the hosts of its data centre, which must
/// soon direct callers elsewhere if it is lost.
pub(super) const ENTRY_HEARTBEAT_INTERVAL: Duration = Duration::from_millis(250);
/// Interval at which any other host sends heartbeats to the hosts of its data centre.
pub(super) const HEARTBEAT_INTERVAL: Duration = Duration::from_secs(1);
/// Interval at which an entry host sends heartbeats to the entry hosts of other data centres. They
/// need to know where to send the health of targets and the usage of grants; a lost one costs a
/// few messages that nobody receives.
pub(super) const REMOTE_HEARTBEAT_INTERVAL: Duration = Duration::from_secs(3);
/// Interval at which an entry host sends heartbeats to all known hosts, so that the parts of a
/// partitioned fleet find each other again.
pub(super) const FLEET_HEARTBEAT_INTERVAL: Duration = Duration::from_secs(5);
/// Silence after which an entry host of the same data centre counts as lost; three heartbeats.
const ENTRY_TIMEOUT: Duration = Duration::from_millis(800);
/// Silence after which any other host of the same data centre counts as lost; three heartbeats.
const LOCAL_TIMEOUT: Duration = Duration::from_millis(3300);
/// Silence after which an entry host counts a host of another data centre as lost; three
/// heartbeats between data centres.
const REMOTE_TIMEOUT: Duration = Duration::from_secs(10);
/// Silence after which any other host counts a host of another data centre as lost; three
/// heartbeats to the whole fleet.
const FLEET_TIMEOUT: Duration = Duration::from_secs(16);
/// Silence after which a host is removed, and nothing is sent to it any more.
const FORGET_AFTER: Duration = Duration::from_secs(120);

/// Another host of the fleet.
#[derive(Clone, Debug)]
struct Peer {
    member: Member,
    /// Version of the messages that it speaks, as of its latest heartbeat; 0 if it doesn't tell.
    protocol: u16,
    /// Place in the order in which hosts become entry hosts.
    rank: u64,
    /// When the host's own latest heartbeat or hello arrived; `None` if it is known from others
    /// only.
    last_heartbeat: Option<Moment>,
    /// When another host first named it; its own heartbeats set this as well.
    discovered: Moment,
    /// Whether it was alive at the latest call of [`Members::expire`].
    was_alive: bool,
    /// Version of the configuration that it holds, as of its latest announcement.
    holds: Option<Version>,
}

/// A host that this one could follow.
#[derive(Clone, Debug)]
pub(super) struct Relay {
    pub(super) host: id::Host,
    pub(super) peer: SocketAddr,
    /// Requests per second that it can serve.
    pub(super) capacity: f32,
    /// Whether it watches the platform and its copy is fresh.
    pub(super) watches: bool,
}

/// Change of a host's membership.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Change {
    Joined,
    Restarted,
    Leaving,
    Lost,
}

/// The known other hosts.
#[derive(Debug)]
pub(super) struct Members {
    /// Data centre of this host.
    data_centre: id::DataCentre,
    /// Rank of this host.
    rank: u64,
    /// Whether this host is an entry host, and so gets frequent heartbeats from other data
    /// centres.
    is_entry: bool,
    peers: HashMap<id::Host, Peer>,
}

impl Members {
    pub(super) fn new(me: &Member) -> Self {
        let (data_centre, rank) = (me.data_centre.clone(), entry::rank(&me.host));
        Self { data_centre, rank, is_entry: false, peers: HashMap::new() }
    }

    /// Sets whether this host is an entry host.
    pub(super) fn set_entry(&mut self, is_entry: bool) {
        self.is_entry = is_entry;
    }

    /// Records what a host advertises about itself; returns how its membership changed.
    pub(super) fn update(&mut self, member: Member, protocol: u16, now: Moment) -> Option<Change> {
        let host = member.host.clone();
        let before = self.peers.get(&host).filter(|peer| peer.last_heartbeat.is_some());
        let change = match before {
            None => Some(Change::Joined),
            Some(peer) if peer.member.incarnation != member.incarnation => Some(Change::Restarted),
            Some(peer) if member.leaving && !peer.member.leaving => Some(Change::Leaving),
            Some(peer) if !self.is_alive(peer, now) => Some(Change::Joined),
            Some(_) => None,
        };
        let rank = before.map_or_else(|| entry::rank(&host), |peer| peer.rank);
        let was_alive = self.peers.get(&host).is_some_and(|peer| peer.was_alive);
        let holds = before.filter(|_| change != Some(Change::Restarted));
        let holds = holds.and_then(|peer| peer.holds);
        let peer = Peer {
            member,
            protocol,
            rank,
            last_heartbeat: Some(now),
            discovered: now,
            was_alive,
            holds,
        };
        self.peers.insert(host, peer);
        change
    }

    /// Returns whether a host was ready for callers at its latest heartbeat.
    pub(super) fn is_ready(&self, host: &id::Host) -> bool {
        self.peers.get(host).is_some_and(|peer| peer.last_heartbeat.is_some() && peer.member.ready)
    }

    /// Returns the version of the messages that a host speaks; 0 if it is unknown.
    pub(super) fn protocol(&self, host: &id::Host) -> u16 {
        self.peers.get(host).map_or(0, |peer| peer.protocol)
    }

    /// Returns how many live hosts speak each version of the messages.
    pub(super) fn protocols(&self, now: Moment) -> BTreeMap<u16, u64> {
        let mut counts = BTreeMap::new();
        for peer in self.peers.values().filter(|peer| self.is_alive(peer, now)) {
            *counts.entry(peer.protocol).or_default() += 1;
        }
        counts
    }

    /// Adds a host that another host named; what is known of the host already takes precedence.
    pub(super) fn add(&mut self, member: Member, now: Moment) {
        let known = self.peers.entry(member.host.clone());
        let rank = entry::rank(&member.host);
        known.or_insert(Peer {
            member,
            protocol: 0,
            rank,
            last_heartbeat: None,
            discovered: now,
            was_alive: false,
            holds: None,
        });
    }

    /// Records the version of the configuration that a known host holds.
    pub(super) fn set_holding(&mut self, host: &id::Host, version: Version) {
        if let Some(peer) = self.peers.get_mut(host) {
            peer.holds = Some(version);
        }
    }

    /// Returns the live hosts that hold a version of the configuration or a later one: those of this
    /// data centre, or all if it has none.
    pub(super) fn holders(&self, version: Version, now: Moment) -> Vec<(id::Host, SocketAddr)> {
        let holds = |peer: &&Peer| peer.holds >= Some(version) && self.is_alive(peer, now);
        let holders: Vec<_> = self.peers.values().filter(holds).map(|peer| &peer.member).collect();
        let is_local = |member: &&&Member| member.data_centre == self.data_centre;
        let address = |member: &&Member| (member.host.clone(), member.peer);
        let local: Vec<_> = holders.iter().filter(is_local).map(address).collect();
        if local.is_empty() { holders.iter().map(address).collect() } else { local }
    }

    fn is_alive(&self, peer: &Peer, now: Moment) -> bool {
        is_alive(peer, &self.data_centre, self.is_entry, now)
    }

    /// Returns the hosts that were lost since the last call, and removes those silent for long.
    pub(super) fn expire(&mut self, now: Moment) -> Vec<id::Host> {
        self.peers.retain(|_, peer| {
            now.since(peer.last_heartbeat.unwrap_or(peer.discovered)) < FORGET_AFTER
        });
        let mut lost = Vec::new();
        for (host, peer) in &mut self.peers {
            let is_alive = is_alive(peer, &self.data_centre, self.is_entry, now);
            if peer.was_alive && !is_alive {
                lost.push(host.clone());
            }
            peer.was_alive = is_alive;
        }
        lost
    }

    /// Returns all known hosts, whether they are alive or not.
    pub(super) fn all(&self) -> impl Iterator<Item = &Member> {
        self.peers.values().map(|peer| &peer.member)
    }

    /// Returns when the latest heartbeat or hello of any host arrived.
    pub(super) fn last_heartbeat(&self) -> Option<Moment> {
        self.peers.values().filter_map(|peer| peer.last_heartbeat).max()
    }

    /// Returns the live hosts of a data centre.
    pub(super) fn alive(
        &self,
        data_centre: &id::DataCentre,
        now: Moment,
    ) -> impl Iterator<Item = &Member> {
        self.peers
            .values()
            .filter(move |peer| self.is_alive(peer, now))
            .map(|peer| &peer.member)
            .filter(move |member| member.data_centre == *data_centre)
    }

    /// Returns all live hosts.
    pub(super) fn all_alive(&self, now: Moment) -> impl Iterator<Item = &Member> {
        let alive = self.peers.values().filter(move |peer| self.is_alive(peer, now));
        alive.map(|peer| &peer.member)
    }

    /// Returns how many hosts advertised themselves as entry hosts when they were last heard, and have not been
    /// heard for too long to count as alive.
    pub(super) fn lost_entries(&self, now: Moment) -> usize {
        let is_lost =
            |peer: &&Peer| peer.member.entry && !peer.member.leaving && !self.is_alive(peer, now);
        self.peers.values().filter(is_lost).count()
    }

    /// Returns the other entry hosts of this data centre, or all others if there are none; hosts of other
    /// data centres are heard too seldom to be missed soon.
    pub(super) fn neighbours(&self, now: Moment) -> Neighbours {
        let is_near = |peer: &&Peer| {
            peer.member.data_centre == self.data_centre
                && !peer.member.leaving
                && peer.last_heartbeat.is_some()
        };
        let near: Vec<_> = self.peers.values().filter(is_near).collect();
        let has_entries = near.iter().any(|peer| peer.member.entry);
        let mut neighbours = Neighbours::default();
        for peer in near.iter().filter(|peer| peer.member.entry || !has_entries) {
            let is_alive = self.is_alive(peer, now);
            neighbours.alive += usize::from(is_alive);
            neighbours.lost += usize::from(!is_alive);
        }
        neighbours
    }

    /// Returns the other hosts that callers may know of.
    pub(super) fn others(&self, now: Moment) -> Others {
        let mut others = Others::default();
        for peer in self.peers.values() {
            let Member { ready, leaving, entry, .. } = peer.member;
            let is_alive = self.is_alive(peer, now);
            others.taking += usize::from(is_alive && ready && !leaving);
            // Callers were not directed to hosts that are no entry hosts, which may be heard seldom.
            others.gone += usize::from(leaving || (entry && !is_alive));
        }
        others
    }

    /// Returns up to `count` live hosts whose copy of the platform's objects was fresh at their latest
    /// heartbeat.
    ///
    /// They are of as many data centres as possible, since hosts of one follow the same hosts; within
    /// a data centre the latest heartbeat comes first.
    pub(super) fn fresh(&self, count: usize, now: Moment) -> Vec<SocketAddr> {
        let is_fresh = |peer: &&Peer| peer.member.fresh && self.is_alive(peer, now);
        let mut fresh: Vec<_> = self.peers.values().filter(is_fresh).collect();
        fresh.sort_by_key(|peer| std::cmp::Reverse(peer.last_heartbeat));
        let mut places: HashMap<&id::DataCentre, usize> = HashMap::new();
        let mut placed: Vec<_> = fresh
            .into_iter()
            .map(|peer| {
                let place = places.entry(&peer.member.data_centre).or_default();
                *place += 1;
                (*place, peer.member.peer)
            })
            .collect();
        placed.sort_by_key(|(place, _)| *place);
        placed.into_iter().take(count).map(|(_, address)| address).collect()
    }

    /// Returns the entry hosts of a data centre, chosen to serve `demand` requests per second.
    pub(super) fn entries<'a>(
        &'a self,
        data_centre: &id::DataCentre,
        me: &'a Member,
        demand: f64,
        now: Moment,
    ) -> Vec<&'a Member> {
        let alive = self.peers.values().filter(|peer| self.is_alive(peer, now));
        let others = alive.map(|peer| (&peer.member, peer.rank));
        let mine = std::iter::once((me, self.rank));
        let can_serve =
            |member: &Member| member.data_centre == *data_centre && member.ready && !member.leaving;
        let (members, candidates): (Vec<_>, Vec<_>) = others
            .chain(mine)
            .filter(|(member, _)| can_serve(member))
            .map(|(member, rank)| {
                (member, entry::Candidate { rank, capacity: member.capacity.into() })
            })
            .unzip();
        entry::choose(&candidates, demand).into_iter().map(|at| members[at]).collect()
    }

    /// Returns whether this host is among the first `count` of its data centre, live or leaving ones
    /// included, in the order in which they become entry hosts.
    pub(super) fn is_among_first(&self, count: usize, me: &Member, now: Moment) -> bool {
        let before = self.alive(&me.data_centre, now).filter(|member| {
            let rank = entry::rank(&member.host);
            member.capacity > me.capacity || (member.capacity == me.capacity && rank > self.rank)
        });
        before.count() < count
    }

    /// Returns the hosts that get a heartbeat: those of this data centre, with `remote` also the
    /// entry hosts of other data centres, and with `fleet` all known hosts.
    pub(super) fn recipients(&self, remote: bool, fleet: bool, now: Moment) -> Vec<SocketAddr> {
        let is_recipient = |peer: &&Peer| {
            let is_local = peer.member.data_centre == self.data_centre;
            fleet || is_local || (remote && peer.member.entry && self.is_alive(peer, now))
        };
        self.peers.values().filter(is_recipient).map(|peer| peer.member.peer).collect()
    }

    /// Returns the live hosts that advertise themselves as entry hosts, by data centre.
    pub(super) fn entries_by_data_centre(
        &self,
        now: Moment,
    ) -> BTreeMap<id::DataCentre, Vec<SocketAddr>> {
        let mut entries: BTreeMap<id::DataCentre, Vec<SocketAddr>> = BTreeMap::new();
        for member in self.all_alive(now).filter(|member| member.entry) {
            entries.entry(member.data_centre.clone()).or_default().push(member.peer);
        }
        entries
    }
}

/// Returns whether a host was heard of lately, as an entry host or another one of `data_centre` sees
/// it.
fn is_alive(peer: &Peer, data_centre: &id::DataCentre, is_entry: bool, now: Moment) -> bool {
    let Some(heartbeat) = peer.last_heartbeat else { return false };
    let is_local = peer.member.data_centre == *data_centre;
    let timeout = match (is_local, is_entry) {
        (true, _) if peer.member.entry => ENTRY_TIMEOUT,
        (true, _) => LOCAL_TIMEOUT,
        (false, true) => REMOTE_TIMEOUT,
        (false, false) => FLEET_TIMEOUT,
    };
    now.since(heartbeat) < timeout
}
