//! Which hosts callers of a data centre are sent to.
//!
//! Few hosts know more: in-flight counts, evidence and shares of grants meet in them. Enough of
//! them must stand that the loss of one is a small part of a data centre's callers.

use crate::id;
use crate::placement;

/// Fewest hosts that a data centre's callers are spread over, as far as it has hosts.
pub const MIN_HOSTS: usize = 4;
/// Purpose under which hosts are ranked.
const PURPOSE: &str = "entry";

/// A host that callers may be sent to.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Candidate {
    /// Place of the host in the order, as of [`rank`].
    pub rank: u64,
    /// Requests a second that the host can carry.
    pub capacity: f64,
}

/// Returns a host's place in the order in which hosts take callers, the highest first.
pub fn rank(host: &id::Host) -> u64 {
    placement::rank(PURPOSE, host)
}

/// Returns the indices of the hosts to use, best first.
///
/// Rendezvous order: a host that goes moves only the callers that it had.
pub fn choose(candidates: &[Candidate], demand: f64) -> Vec<usize> {
    let mut order: Vec<_> = (0..candidates.len()).collect();
    order.sort_by_key(|at| std::cmp::Reverse(candidates[*at].rank));
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

/// Returns the hosts of a fleet in the order in which they take on a duty: those that can carry
/// most first, and equals in rendezvous order.
pub fn failover_order<'a>(
    purpose: &str,
    hosts: impl Iterator<Item = (&'a id::Host, f32)>,
) -> Vec<&'a id::Host> {
    let rank = |(host, capacity): (&'a id::Host, f32)| {
        // Capacities are positive, so that their bits are in their order.
        (std::cmp::Reverse((capacity.max(0.0).to_bits(), placement::rank(purpose, host))), host)
    };
    let mut order: Vec<_> = hosts.map(rank).collect();
    order.sort();
    order.into_iter().map(|(_, host)| host).collect()
}
