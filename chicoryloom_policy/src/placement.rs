//! Placement of services on home hosts by rendezvous hashing.

use std::collections::HashMap;

use crate::document::Document;
use crate::id;

/// Minimum number of home hosts of a service; fewer only if there are fewer hosts.
pub const MIN_HOMES: usize = 4;

/// Slots of a service's targets per home host.
const SLOTS_PER_HOME: u32 = 64;
/// Requests per second granted at a service per home host.
const RATE_PER_HOME: f64 = 500.0;

/// A host that may become a home host.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Candidate {
    pub host: id::Host,
    pub data_centre: id::DataCentre,
}

/// Returns the number of home hosts of a service, by its targets' slots and its grants.
pub fn home_count(document: &Document) -> usize {
    let by_slots = document.slots().0.div_ceil(SLOTS_PER_HOME);
    let rate: f64 = document.grants.values().map(|grant| grant.rate.per_second()).sum();
    let by_rate = (rate / RATE_PER_HOME).ceil() as u32;
    MIN_HOMES.max(by_slots.max(by_rate) as usize)
}

/// Returns the home hosts of a service, best first, spread over data centres.
///
/// Takes one host of each data centre in turn, in rendezvous order, until there are `count`, so
/// that the loss of one data centre leaves home hosts in the others.
pub fn homes(service: &id::Service, hosts: &[Candidate], count: usize) -> Vec<id::Host> {
    let mut ranked: Vec<_> =
        hosts.iter().map(|host| (rank(service.as_str(), &host.host), host)).collect();
    ranked.sort_by(|a, b| b.0.cmp(&a.0).then_with(|| a.1.host.cmp(&b.1.host)));
    let mut rounds: Vec<(usize, usize, &Candidate)> = Vec::with_capacity(ranked.len());
    let mut chosen_before: HashMap<&id::DataCentre, usize> = HashMap::new();
    for (rank, (_, host)) in ranked.iter().enumerate() {
        let round = chosen_before.entry(&host.data_centre).or_default();
        rounds.push((*round, rank, host));
        *round += 1;
    }
    rounds.sort_by_key(|(round, rank, _)| (*round, *rank));
    rounds.into_iter().take(count).map(|(_, _, host)| host.host.clone()).collect()
}

/// Returns the rendezvous weight of a host for a purpose, such as the name of a service. The host
/// with the highest weight comes first.
pub(crate) fn rank(purpose: &str, host: &id::Host) -> u64 {
    hash(purpose, host.as_str())
}

/// Returns the hash of a name for a purpose.
pub(crate) fn hash(purpose: &str, name: &str) -> u64 {
    let mut hasher = blake3::Hasher::new();
    hasher.update(purpose.as_bytes());
    hasher.update(&[0]);
    hasher.update(name.as_bytes());
    let mut bytes = [0; 8];
    bytes.copy_from_slice(&hasher.finalize().as_bytes()[..8]);
    u64::from_le_bytes(bytes)
}

#[cfg(test)]
mod tests {
    use super::*;

    fn fleet(count: usize) -> Vec<Candidate> {
        let host = |n: usize| Candidate {
            host: format!("host-{n}").parse().unwrap(),
            data_centre: format!("dc-{}", n % 4).parse().unwrap(),
        };
        (0..count).map(host).collect()
    }

    #[test]
    fn homes_spread_over_data_centres() {
        let hosts = fleet(36);
        let homes = homes(&"calendar".parse().unwrap(), &hosts, 4);
        let mut centres: Vec<_> = homes
            .iter()
            .map(|home| &hosts.iter().find(|h| h.host == *home).unwrap().data_centre)
            .collect();
        centres.sort();
        centres.dedup();
        assert_eq!(centres.len(), 4);
    }

    /// Removing a host changes the home hosts of only those services that had it as one.
    #[test]
    fn loss_of_a_host_moves_only_its_own_services() {
        for size in [36, 1100] {
            let hosts = fleet(size);
            for service in (0..50).map(|n| format!("service-{n}").parse().unwrap()) {
                let before = homes(&service, &hosts, 4);
                let rest: Vec<_> = hosts[1..].to_vec();
                let after = homes(&service, &rest, 4);
                let stayed = before.iter().filter(|home| after.contains(home)).count();
                let was_home = before.contains(&hosts[0].host);
                assert_eq!(stayed, before.len() - usize::from(was_home), "{before:?} {after:?}");
            }
        }
    }
}
