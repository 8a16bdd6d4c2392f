//! Fleets whose hosts share a budget of retries.

use std::time::Duration;

use chicoryloom_policy::retry::Budget;
use chicoryloom_policy::retry::Fleet;
use proptest::prelude::*;
use rand::Rng;
use rand::SeedableRng;
use rand_pcg::Pcg64;

const SHARE: f64 = 0.2;
const STEP: Duration = Duration::from_millis(100);
/// Steps in a window in which retries are counted.
const WINDOW: usize = 100;
const STEPS: usize = 600;
/// Steps after its start in which a host doesn't know all others.
const NEW: usize = 50;
/// Most steps after which a host notices that another entry host is away or back.
const MAX_NOTICE: usize = 8;
/// Steps for which callers stay with a host that is no entry host any more.
const CALLERS_STAY: usize = 30;

#[test]
fn retries_stay_within_a_tenth_and_the_burst() {
    let mut budget = Budget::default();
    let mut retries = 0;
    for _ in 0..10_000 {
        budget.deposit();
        for _ in 0..3 {
            retries += u32::from(budget.take());
        }
    }
    assert!(f64::from(retries) <= Budget::bound(10_000));
    assert!(retries > 900);
}

/// What happens to the hosts besides failing requests.
#[derive(Clone, Copy, Debug)]
struct Trouble {
    /// Chance that a host restarts within a step.
    restarts: f64,
    /// Steps from which and up to which the fleet is cut into halves.
    cut: (usize, usize),
    /// Every how many steps all hosts lose power.
    outage: Option<usize>,
    /// Chance that a request wants a retry.
    failing: f64,
    /// Steps for which no request wants one, in turns with as many in which they do.
    pause: usize,
}

/// Counts of each step: requests, and retries of them.
fn simulate(hosts: usize, burst: f64, rate: f64, trouble: Trouble, seed: u64) -> Vec<(u32, u32)> {
    let mut rng = Pcg64::seed_from_u64(seed);
    let mut started = vec![0usize; hosts];
    let mut budgets: Vec<_> = (0..hosts).map(|_| Budget::new(SHARE, burst)).collect();
    let mut counts = Vec::new();
    for step in 1..STEPS {
        let (mut requests, mut retries) = (0, 0);
        let is_cut = (trouble.cut.0..trouble.cut.1).contains(&step);
        for host in 0..hosts {
            let is_outage = trouble.outage.is_some_and(|every| step.is_multiple_of(every));
            if is_outage || rng.random_bool(trouble.restarts) {
                started[host] = step;
                budgets[host] = Budget::new(SHARE, burst);
            }
            let age = step - started[host];
            let known = if age < NEW { (hosts * age / NEW).max(1) } else { hosts };
            let heard = if is_cut { known.div_ceil(2) } else { known };
            let fleet = Fleet {
                entry_hosts: heard,
                is_entry: true,
                lost_entry_hosts: known - heard,
                uptime: STEP * u32::try_from(age).unwrap(),
            };
            let budget = &mut budgets[host];
            budget.set_burst(fleet.part(burst));
            let expected = rate / hosts as f64;
            let arrivals = expected as u32 + u32::from(rng.random_bool(expected.fract()));
            // Retries are saved up in one half of the time and spent in the other.
            let is_paused = trouble.pause > 0 && (step / trouble.pause).is_multiple_of(2);
            let failing = if is_paused { 0.0 } else { trouble.failing };
            for _ in 0..arrivals {
                requests += 1;
                budget.deposit();
                while rng.random_bool(failing) && budget.take() {
                    retries += 1;
                }
            }
        }
        counts.push((requests, retries));
    }
    counts
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(400))]

    /// In each window all hosts together send at most the share of the requests and the burst, whatever
    /// restarts, and whichever others each host knows.
    #[test]
    fn retries_of_all_hosts_stay_within_the_share_and_the_burst(
        hosts in prop::sample::select(vec![2usize, 4, 16, 40, 110]),
        slack in 1.3f64..6.0,
        rate in 5.0f64..180.0,
        restarts in prop::sample::select(vec![0.0, 0.002, 0.02, 0.1]),
        cut in (0usize..STEPS, 0usize..STEPS),
        outage in prop::option::of(40usize..200),
        failing in 0.5f64..0.95,
        pause in 20usize..200,
        seed in any::<u64>(),
    ) {
        // Each host needs a retry of its own to save up.
        let burst = slack * hosts as f64;
        let trouble = Trouble { restarts, cut, outage, failing, pause };
        let counts = simulate(hosts, burst, rate, trouble, seed);
        for window in counts.windows(WINDOW) {
            let requests: u32 = window.iter().map(|(requests, _)| requests).sum();
            let retries: u32 = window.iter().map(|(_, retries)| retries).sum();
            let allowed = SHARE * f64::from(requests) + burst;
            prop_assert!(f64::from(retries) <= allowed, "{retries} of {requests}, {allowed} allowed");
        }
    }
}

/// A rolling restart of all hosts within a minute costs less than one in twenty of the retries.
#[test]
fn rolling_restart_costs_few_retries() {
    let (hosts, burst) = (16, 60.0);
    let trouble = Trouble { restarts: 0.0, cut: (0, 0), outage: None, failing: 0.16, pause: 0 };
    let restarting = Trouble { restarts: 1.0 / STEPS as f64, ..trouble };
    let retries = |trouble| -> u32 {
        let runs = (1..=8).flat_map(|seed| simulate(hosts, burst, 60.0, trouble, seed));
        runs.map(|(_, retries)| retries).sum()
    };
    let (still, rolling) = (retries(trouble), retries(restarting));
    assert!(rolling * 20 >= still * 19, "{rolling} of {still}");
}

/// A host of a fleet in which each host has a view of its own of who is alive.
#[derive(Clone, Debug)]
struct Host {
    budget: Budget,
    started: usize,
    /// Step up to which it is down or stopped.
    away_until: usize,
    /// Steps after which it notices that each other host is away or back.
    lags: Vec<usize>,
    is_entry: bool,
    /// Step at which it last was an entry host, after which its callers leave it little by little.
    was_entry: usize,
}

/// Counts of each step with `entries` entry hosts and as many others that take over from them.
fn simulate_takeovers(
    entries: usize,
    burst: f64,
    rate: f64,
    away: f64,
    seed: u64,
) -> Vec<(u32, u32)> {
    let mut rng = Pcg64::seed_from_u64(seed);
    let count = 2 * entries;
    let mut hosts: Vec<_> = (0..count)
        .map(|_| Host {
            budget: Budget::new(SHARE, burst),
            started: 0,
            away_until: 0,
            lags: (0..count).map(|_| rng.random_range(0..=MAX_NOTICE)).collect(),
            is_entry: false,
            was_entry: 0,
        })
        .collect();
    // Whether each host ran at each step.
    let mut ran: Vec<Vec<bool>> = Vec::new();
    let mut counts = Vec::new();
    for step in 1..STEPS {
        for host in &mut hosts {
            if step >= host.away_until && rng.random_bool(away) {
                host.away_until = step + rng.random_range(3..60);
                // A stopped process keeps what it has saved up, and one that starts has nothing.
                if rng.random_bool(0.5) {
                    host.started = host.away_until;
                    host.budget = Budget::new(SHARE, burst);
                }
            }
        }
        ran.push(hosts.iter().map(|host| step >= host.away_until).collect());
        let (mut requests, mut retries) = (0, 0);
        for at in 0..count {
            if !ran[step - 1][at] {
                continue;
            }
            let host = &hosts[at];
            let hears = |other: usize| {
                other == at || ran[(step - 1).saturating_sub(host.lags[other])][other]
            };
            let heard: Vec<_> = (0..count).filter(|other| hears(*other)).collect();
            let chosen = &heard[..entries.min(heard.len())];
            let lost = (0..count).filter(|other| !heard.contains(other) && hosts[*other].is_entry);
            let lost = lost.count();
            let host = &mut hosts[at];
            host.is_entry = chosen.contains(&at);
            host.was_entry = if host.is_entry { step } else { host.was_entry };
            let fleet = Fleet {
                entry_hosts: chosen.len(),
                is_entry: host.is_entry,
                lost_entry_hosts: lost,
                uptime: STEP * u32::try_from(step.saturating_sub(host.started)).unwrap(),
            };
            host.budget.set_burst(fleet.part(burst));
            // Callers go on for a while with the hosts that they were told of.
            if host.was_entry == 0 || step - host.was_entry > CALLERS_STAY {
                continue;
            }
            let expected = rate / entries as f64;
            let arrivals = expected as u32 + u32::from(rng.random_bool(expected.fract()));
            let is_paused = (step / 100).is_multiple_of(2);
            for _ in 0..arrivals {
                requests += 1;
                host.budget.deposit();
                while !is_paused && rng.random_bool(0.9) && host.budget.take() {
                    retries += 1;
                }
            }
        }
        counts.push((requests, retries));
    }
    counts
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(200))]

    /// Hosts that are lost, stopped and back at any moment, so that others take over and hosts disagree on
    /// who is an entry host, send no more together.
    #[test]
    fn retries_stay_within_the_burst_while_hosts_disagree_on_who_is_there(
        entries in prop::sample::select(vec![2usize, 4, 16, 24]),
        slack in 3.0f64..8.0,
        rate in 5.0f64..180.0,
        away in prop::sample::select(vec![0.0, 0.002, 0.01, 0.03]),
        seed in any::<u64>(),
    ) {
        let burst = slack * entries as f64;
        let counts = simulate_takeovers(entries, burst, rate, away, seed);
        for window in counts.windows(WINDOW) {
            let requests: u32 = window.iter().map(|(requests, _)| requests).sum();
            let retries: u32 = window.iter().map(|(_, retries)| retries).sum();
            let allowed = SHARE * f64::from(requests) + burst;
            prop_assert!(f64::from(retries) <= allowed, "{retries} of {requests}, {allowed} allowed");
        }
    }
}
