//! Messages between the hosts of fleets of several sizes, counted.

use std::collections::HashMap;
use std::time::Duration;

use chicoryloom_policy::entry;
use chicoryloom_policy::entry::Owners;
use chicoryloom_policy::id;
use chicoryloom_policy::share;
use rstest::rstest;

/// However large the fleet, a host that always has news sends no more than the fixed number of
/// messages, and so it receives no more from as many others.
#[rstest]
#[case(3)]
#[case(30)]
#[case(100)]
#[case(440)]
fn messages_of_a_host_stay_within_a_fixed_rate(#[case] members: usize) {
    let recipients = members - 1;
    let interval = share::min_interval(recipients);
    let rounds = Duration::from_secs(1).as_secs_f64() / interval.as_secs_f64();
    let messages = rounds * recipients as f64;
    assert!(messages <= f64::from(share::MAX_MESSAGES_PER_S) * 1.001, "{messages} a second");
}

/// The admissions of a host are known to all others well within the part of a window that the users
/// tolerate: a tenth of five seconds.
#[test]
fn reports_of_grants_arrive_within_the_tolerance_of_a_window() {
    assert!(share::min_interval(150) < Duration::from_millis(500));
}

/// Each target has one owner that all hosts agree on; owners have about as many targets each, and a
/// host that leaves only passes on its own.
#[rstest]
#[case(4)]
#[case(20)]
#[case(110)]
fn targets_are_divided_among_the_owners(#[case] hosts: usize) {
    let names: Vec<id::Host> = (0..hosts).map(|n| format!("host-{n}").parse().unwrap()).collect();
    let targets: Vec<id::Instance> =
        (0..1100).map(|n| format!("i-{n:x}").parse().unwrap()).collect();
    let all = Owners::new(names.iter());
    for key in 0..100 {
        let first = all.first(key, 6);
        assert_eq!(first.first().copied(), all.owner(key));
        assert_eq!(first.len(), names.len().min(6));
    }
    let fewer = Owners::new(names[1..].iter());
    let mut owned: HashMap<&id::Host, usize> = HashMap::new();
    for target in &targets {
        let key = entry::target_key(target);
        let owner = all.owner(key).unwrap();
        *owned.entry(owner).or_default() += 1;
        if *owner != names[0] {
            assert_eq!(fewer.owner(key), Some(owner));
        }
    }
    let most = owned.values().max().copied().unwrap();
    assert!(most <= 3 * targets.len().div_ceil(hosts), "{most} of {} targets", targets.len());
}

fn candidates(strong: usize, weak: usize) -> Vec<entry::Candidate> {
    let host = |n: usize| {
        let name: id::Host = format!("host-{n}").parse().unwrap();
        let capacity = if n < strong { 250.0 } else { 32.0 };
        entry::Candidate { rank: entry::rank(&name), capacity }
    };
    (0..strong + weak).map(host).collect()
}

/// The number of entry hosts follows the demand and the strongest hosts, not the size of the data
/// centre.
#[rstest]
#[case::strong_hosts_suffice(3, 70, 600.0, 4)]
#[case::as_many_in_a_larger_data_centre(3, 700, 600.0, 4)]
#[case::weak_hosts_add_to_them(3, 70, 800.0, 5)]
#[case::strong_hosts_are_lost(0, 70, 600.0, 19)]
#[case::equal_hosts(0, 10, 60.0, 4)]
#[case::few_hosts(1, 1, 60.0, 2)]
fn entry_hosts_are_as_few_as_the_demand_allows(
    #[case] strong: usize,
    #[case] weak: usize,
    #[case] demand: f64,
    #[case] expected: usize,
) {
    let candidates = candidates(strong, weak);
    let chosen = entry::choose(&candidates, demand);
    assert_eq!(chosen.len(), expected);
    assert!(chosen.iter().take(strong).all(|at| *at < strong), "strong hosts come first");
}
