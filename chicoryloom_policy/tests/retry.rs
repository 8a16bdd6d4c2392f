//! Fleets whose hosts share a budget of retries.

use chicoryloom_policy::retry::Budget;
use chicoryloom_policy::retry::Fleet;
use proptest::prelude::*;
use rand::Rng;
use rand::SeedableRng;
use rand_pcg::Pcg64;

const SHARE: f64 = 0.2;
/// Steps in a window in which retries are counted; a step is a tenth of a second.
const WINDOW: usize = 100;
const STEPS: usize = 600;
/// Steps after its start in which a host doesn't know all others.
const NEW: usize = 50;

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
                visible_part: heard as f64 / known as f64,
                is_new: age < NEW,
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
