//! Rosters: majorities, changes of members and the hosts that watch the platform.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use crate::id;
use crate::placement::Candidate;
use crate::placement::rank;

/// Hosts of each data centre that watch the platform.
pub const WATCHERS_PER_DATA_CENTRE: usize = 2;

/// Returns how many of `size` hosts are a majority.
pub const fn majority(size: usize) -> usize {
    size / 2 + 1
}

/// Returns whether every majority of one set of hosts intersects every majority of the other.
pub fn majorities_intersect(old: &BTreeSet<id::Host>, new: &BTreeSet<id::Host>) -> bool {
    let union = old.union(new).count();
    majority(old.len()) + majority(new.len()) > union
}

/// Returns the next set of members on the way from the present set to the wanted one.
///
/// Every majority of the next set intersects every majority of the present one. Hosts are
/// removed before others are added, since those to be removed may be down and still count
/// towards the size of a majority. An empty present set means that there is no roster yet; the
/// wanted set replaces it at once.
pub fn next_members(
    present: &BTreeSet<id::Host>,
    wanted: &BTreeSet<id::Host>,
) -> BTreeSet<id::Host> {
    if present.is_empty() || wanted.is_empty() {
        return wanted.clone();
    }
    let mut next = present.clone();
    for removed in present.difference(wanted) {
        if next.len() == 1 {
            break;
        }
        next.remove(removed);
        if !majorities_intersect(present, &next) {
            next.insert(removed.clone());
            return next;
        }
    }
    for added in wanted.difference(present) {
        next.insert(added.clone());
        if !majorities_intersect(present, &next) {
            next.remove(added);
            return next;
        }
    }
    next
}

/// Returns the hosts that watch the platform: a few of each data centre.
pub fn watchers(hosts: &[Candidate]) -> BTreeSet<id::Host> {
    let mut by_data_centre: BTreeMap<&id::DataCentre, Vec<&id::Host>> = BTreeMap::new();
    for host in hosts {
        by_data_centre.entry(&host.data_centre).or_default().push(&host.host);
    }
    let chosen = by_data_centre.into_values().flat_map(|mut hosts| {
        hosts.sort_by_key(|host| std::cmp::Reverse((rank("watch", host), *host)));
        hosts.into_iter().take(WATCHERS_PER_DATA_CENTRE).cloned()
    });
    chosen.collect()
}

#[cfg(test)]
mod tests {
    use proptest::prelude::*;

    use super::*;

    fn names(set: &BTreeSet<u8>) -> BTreeSet<id::Host> {
        set.iter().map(|n| format!("host-{n}").parse().unwrap()).collect()
    }

    proptest! {
        /// The majorities of successive sets intersect, and the last set is the wanted one.
        #[test]
        fn steps_intersect_and_reach_the_wanted_members(
            from in proptest::collection::btree_set(0u8..40, 1..30),
            to in proptest::collection::btree_set(0u8..40, 1..30),
        ) {
            let (mut present, wanted) = (names(&from), names(&to));
            for _ in 0..100 {
                let next = next_members(&present, &wanted);
                prop_assert!(majorities_intersect(&present, &next));
                present = next;
            }
            prop_assert_eq!(present, wanted);
        }
    }

    /// Compares the formula with an enumeration of all pairs of majorities of small sets.
    #[test]
    fn formula_agrees_with_enumeration() {
        let subsets = |set: u32| (0..64u32).filter(move |s| s & !set == 0);
        for old in 1..64u32 {
            for new in 1..64u32 {
                let size = |bits: u32| bits.count_ones() as usize;
                let large = |s: &u32, of: u32| size(*s) >= majority(size(of));
                let shared = subsets(old)
                    .filter(|s| large(s, old))
                    .all(|a| subsets(new).filter(|s| large(s, new)).all(|b| a & b != 0));
                let as_set = |bits: u32| names(&(0..6).filter(|n| bits >> n & 1 == 1).collect());
                assert_eq!(
                    majorities_intersect(&as_set(old), &as_set(new)),
                    shared,
                    "{old:b} {new:b}"
                );
            }
        }
    }

    #[test]
    fn number_of_watchers_does_not_grow_with_the_fleet() {
        let fleet = |count: usize| -> Vec<_> {
            let host = |n: usize| Candidate {
                host: format!("host-{n}").parse().unwrap(),
                data_centre: format!("dc-{}", n % 5).parse().unwrap(),
            };
            (0..count).map(host).collect()
        };
        assert_eq!(watchers(&fleet(36)).len(), 10);
        assert_eq!(watchers(&fleet(1100)).len(), 10);
    }
}
