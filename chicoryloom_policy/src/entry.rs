//! Choice of the entry hosts, to which the callers of a data centre are sent.
//!
//! The fewer entry hosts there are, the more each knows of requests in flight, of failing targets
//! and of the use of grants. There must be enough of them that the loss of one affects only a small
//! part of a data centre's callers. What entry hosts tell each other grows with their number, so that
//! a data centre with some strong hosts among many weak ones uses the strong ones.

use crate::id;
use crate::placement;

/// Minimum number of entry hosts of a data centre, as far as it has hosts.
pub const MIN_HOSTS: usize = 4;
/// Purpose in the rendezvous hash of the ranking.
const PURPOSE: &str = "entry";

/// Purpose in the hashes that divide targets among hosts.
const OWNER_PURPOSE: &str = "owner";

/// A host that callers may be sent to.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Candidate {
    /// Value of [`rank`] for the host.
    pub rank: u64,
    /// Requests a second that the host can serve.
    pub capacity: f64,
}

/// Returns the rank of a host; the hosts with the highest ranks become entry hosts first.
pub fn rank(host: &id::Host) -> u64 {
    placement::rank(PURPOSE, host)
}

/// Returns the indices of the entry hosts, the strongest first and those of higher rank first among
/// equals: at least [`MIN_HOSTS`], and as many as the demand needs.
///
/// With rendezvous hashing, the loss of a host moves only the callers that it had.
pub fn choose(candidates: &[Candidate], demand: f64) -> Vec<usize> {
    let mut order: Vec<_> = (0..candidates.len()).collect();
    let by_strength = |one: &usize, other: &usize| {
        let (one, other) = (&candidates[*one], &candidates[*other]);
        other.capacity.total_cmp(&one.capacity).then(other.rank.cmp(&one.rank))
    };
    order.sort_by(by_strength);
    let mut capacity = 0.0;
    let mut chosen = Vec::new();
    for at in order {
        if chosen.len() >= MIN_HOSTS && capacity >= demand {
            break;
        }
        capacity += candidates[at].capacity;
        chosen.push(at);
    }
    chosen
}

/// Returns the key of a target for [`Owners::owner`].
pub fn target_key(target: &id::Instance) -> u64 {
    placement::hash(OWNER_PURPOSE, target.as_str())
}

/// Hosts among which the responsibility for targets is divided by rendezvous hashing.
///
/// Answers the load of hundreds of targets that are divided anew at each change: names are hashed
/// once, and finding an owner takes a few instructions for each host.
#[derive(Clone, Debug, Default)]
pub struct Owners<'a> {
    hosts: Vec<(u64, &'a id::Host)>,
}

impl<'a> Owners<'a> {
    /// Returns the division among hosts.
    pub fn new(hosts: impl Iterator<Item = &'a id::Host>) -> Self {
        let key = |host: &'a id::Host| (placement::hash(OWNER_PURPOSE, host.as_str()), host);
        Self { hosts: hosts.map(key).collect() }
    }

    /// Returns whether there is no host.
    pub fn is_empty(&self) -> bool {
        self.hosts.is_empty()
    }

    /// Returns the first `count` hosts in the order in which they take over a target with a key.
    pub fn first(&self, target_key: u64, count: usize) -> Vec<&'a id::Host> {
        let mut order: Vec<_> =
            self.hosts.iter().map(|(key, host)| (mix(key ^ target_key), *host)).collect();
        order.sort_by(|one, other| other.cmp(one));
        order.into_iter().take(count).map(|(_, host)| host).collect()
    }

    /// Returns the host that is responsible for the target with a key.
    pub fn owner(&self, target_key: u64) -> Option<&'a id::Host> {
        let weight = |(key, host): &&(u64, &'a id::Host)| (mix(key ^ target_key), *host);
        self.hosts.iter().max_by_key(weight).map(|(_, host)| *host)
    }
}

/// Returns a value whose bits all depend on all bits of `key`.
const fn mix(key: u64) -> u64 {
    let key = (key ^ (key >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let key = (key ^ (key >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    key ^ (key >> 31)
}

/// Returns the hosts of a fleet in the order in which they take over a task: by descending
/// capacity, and by rendezvous hash of `purpose` among equals.
pub fn failover_order<'a>(
    purpose: &str,
    hosts: impl Iterator<Item = (&'a id::Host, f32)>,
) -> Vec<&'a id::Host> {
    let rank = |(host, capacity): (&'a id::Host, f32)| {
        // The bits of non-negative floats compare like their values.
        (std::cmp::Reverse((capacity.max(0.0).to_bits(), placement::rank(purpose, host))), host)
    };
    let mut order: Vec<_> = hosts.map(rank).collect();
    order.sort();
    order.into_iter().map(|(_, host)| host).collect()
}
