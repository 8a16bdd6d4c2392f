//! Targets that become cold, and a simulated fleet that learns of it late, loses the host on duty and
//! has two of them.

use std::collections::VecDeque;
use std::time::Duration;

use chicoryloom_policy::Moment;
use chicoryloom_policy::id;
use chicoryloom_policy::throttle::Issuer;
use chicoryloom_policy::throttle::Limit;
use chicoryloom_policy::throttle::Permits;
use chicoryloom_policy::warming::Tolerance;
use chicoryloom_policy::warming::Warming;
use chicoryloom_policy::withdrawal::Process;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::StdRng;
use rstest::rstest;

const START: Moment = Moment::from_millis(1000);
/// What the users tolerate in one second beyond the rate.
const TOLERANCE: Tolerance = Tolerance { overage: 1.5, slack: 8.0 };

fn process() -> Process {
    Process { instance: "i-1".parse().unwrap(), born: 7 }
}

fn rate(per_second: f64) -> Limit {
    per_second.try_into().unwrap()
}

fn after(millis: u64) -> Moment {
    START.after(Duration::from_millis(millis))
}

const fn secs(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

#[test]
fn listing_from_before_a_target_became_cold_does_not_end_it() {
    let (mut warming, target) = (Warming::default(), process());
    assert!(warming.assert(&target, rate(4.0), secs(20), after(0)));
    assert!(!warming.assert(&target, rate(4.0), secs(20), after(10)), "known");
    warming.list(&target, rate(4.0), Duration::ZERO, after(500));
    warming.sweep(Some(after(500)), after(500));
    assert_eq!(warming.limit(&target, after(500)), Some(rate(4.0)), "the listing lags behind");
    warming.sweep(Some(after(500)), after(9000));
    assert!(warming.limit(&target, after(9000)).is_some(), "the host has lost the store");
    warming.sweep(Some(after(9000)), after(9000));
    assert_eq!(warming.limit(&target, after(9000)), None);
}

#[test]
fn target_that_is_listed_as_cold_stays_so_for_as_long_as_it_is_listed() {
    let (mut warming, target) = (Warming::default(), process());
    warming.assert(&target, rate(4.0), secs(3), after(0));
    warming.list(&target, rate(4.0), secs(8), after(1000));
    warming.sweep(Some(after(6000)), after(6000));
    assert!(warming.limit(&target, after(6000)).is_some());
    warming.list(&target, rate(4.0), Duration::ZERO, after(7000));
    warming.sweep(Some(after(7000)), after(7000));
    assert_eq!(warming.limit(&target, after(7000)), None);
}

#[test]
fn listing_alone_decides_where_nothing_else_is_known() {
    let (mut warming, target) = (Warming::default(), process());
    warming.list(&target, rate(4.0), secs(3), after(0));
    assert!(warming.limit(&target, after(2999)).is_some());
    warming.list(&target, rate(4.0), Duration::ZERO, after(1500));
    assert_eq!(warming.limit(&target, after(1500)), None);
    assert_eq!(warming.count(after(1500)), 0);
}

#[rstest]
#[case(4.4, 4.4)]
#[case(40.0, 34.0)]
fn two_hosts_on_duty_issue_no_more_than_is_tolerated(#[case] named: f64, #[case] issued: f64) {
    let issued_rate = TOLERANCE.issued(rate(named)).per_second();
    assert!((issued_rate - issued).abs() < 1e-9);
    assert!(2.0 * issued_rate <= TOLERANCE.most(rate(named)));
}

/// What a simulated fleet goes through.
#[derive(Clone, Copy, Debug)]
struct Scenario {
    hosts: usize,
    /// Longest time after which a host learns from the store that the target is cold.
    max_lag_ms: u64,
    /// Whether the host on duty is lost while the target is cold.
    is_lost: bool,
    /// Whether two hosts take themselves for the one on duty, for as long as a loss takes to notice.
    is_double: bool,
    /// Whether the evacuation of the target's data centre ends as it becomes cold, which hosts learn
    /// at different times and then know.
    is_evacuated: bool,
}

struct Node {
    warming: Warming,
    permits: Permits,
    issuer: Option<Issuer>,
    /// When it learns that the target is cold.
    learns: u64,
    down_until: u64,
}

/// Plays ten seconds of a target that is cold for eight of them; returns the arrivals of requests
/// that were sent while their sender knew it.
fn play(scenario: Scenario, seed: u64) -> Vec<u64> {
    let mut rng = StdRng::seed_from_u64(seed);
    let (target, warm) = (process(), TOLERANCE.issued(rate(4.4)));
    let names: Vec<id::Host> =
        (0..scenario.hosts).map(|at| format!("host-{at}").parse().unwrap()).collect();
    let mut nodes: Vec<_> = names
        .iter()
        .map(|_| Node {
            warming: Warming::default(),
            permits: Permits::default(),
            issuer: None,
            learns: rng.random_range(0..=scenario.max_lag_ms),
            down_until: 0,
        })
        .collect();
    let mut asks: VecDeque<(u64, usize, usize, Moment)> = VecDeque::new();
    let mut grants: VecDeque<(u64, usize, Moment, u32)> = VecDeque::new();
    let mut arrivals = Vec::new();
    for now_ms in 0..10_000 {
        let now = after(now_ms);
        if scenario.is_lost && now_ms == 2500 {
            nodes[0].issuer = None;
            nodes[0].permits = Permits::default();
            nodes[0].down_until = 6000;
        }
        // The others notice 0.8 s later, and the host takes over again as it is back.
        let on_duty = usize::from(scenario.is_lost && (3300..6800).contains(&now_ms));
        let second = (scenario.is_double && (4000..4800).contains(&now_ms)).then_some(2);
        for (at, node) in nodes.iter_mut().enumerate() {
            if now_ms < node.down_until || !(now_ms + at as u64).is_multiple_of(10) {
                continue;
            }
            let owner = match second {
                Some(second) if at % 2 == 0 => second,
                _ => on_duty,
            };
            if now_ms >= node.learns && now_ms < 8000 {
                let remaining = Duration::from_millis(8000 - now_ms);
                if scenario.is_evacuated {
                    node.warming.assert(&target, warm, remaining, now);
                } else {
                    node.warming.list(&target, warm, remaining, now);
                }
            }
            if owner == at {
                if let Some(limit) = node.warming.limit(&target, now) {
                    let issuer = node.issuer.get_or_insert_with(|| Issuer::new(limit, 1.0, now));
                    for grant in issuer.poll(now) {
                        let to = names.iter().position(|name| *name == grant.host).unwrap();
                        grants.push_back((now_ms + 2, to, grant.asked, grant.count));
                    }
                }
            } else {
                node.issuer = None;
            }
            if node.warming.limit(&target, now).is_none() {
                continue;
            }
            if node.permits.take(&target, now) {
                arrivals.push(now_ms + rng.random_range(1..20));
            }
            if node.permits.ask(&target, now) {
                asks.push_back((now_ms + 2, at, owner, now));
            }
        }
        while asks.front().is_some_and(|ask| ask.0 <= now_ms) {
            let (_, from, to, asked) = asks.pop_front().unwrap();
            if now_ms < nodes[to].down_until {
                continue;
            }
            // The ask says that the target is cold, so that the host on duty knows it, too.
            let remaining = nodes[from].warming.remaining(&target, now);
            let node = &mut nodes[to];
            if !remaining.is_zero() {
                node.warming.assert(&target, warm, remaining, now);
            }
            let issuer = node.issuer.get_or_insert_with(|| Issuer::new(warm, 1.0, now));
            issuer.ask(&names[from], asked, 1, now);
        }
        while grants.front().is_some_and(|grant| grant.0 <= now_ms) {
            let (_, to, asked, count) = grants.pop_front().unwrap();
            nodes[to].permits.grant(&target, asked, count, now);
        }
    }
    arrivals
}

fn most_in_a_second(arrivals: &[u64]) -> usize {
    let count = |from: &u64| arrivals.iter().filter(|at| (*from..from + 1000).contains(at)).count();
    arrivals.iter().map(count).max().unwrap_or(0)
}

const CALM: Scenario =
    Scenario { hosts: 40, max_lag_ms: 0, is_lost: false, is_double: false, is_evacuated: false };

#[rstest]
#[case::calm(CALM, 0.8)]
#[case::late(Scenario { max_lag_ms: 2000, ..CALM }, 0.6)]
#[case::lost(Scenario { is_lost: true, ..CALM }, 0.4)]
#[case::double(Scenario { is_double: true, ..CALM }, 0.6)]
#[case::evacuated(Scenario { max_lag_ms: 1500, is_evacuated: true, ..CALM }, 0.6)]
#[case::all(Scenario { max_lag_ms: 2000, is_lost: true, is_double: true, ..CALM }, 0.3)]
fn hosts_that_know_a_cold_target_send_what_it_takes_and_use_it(
    #[case] scenario: Scenario,
    #[case] used: f64,
) {
    let tolerated = TOLERANCE.most(rate(4.4));
    for seed in 0..20 {
        let arrivals = play(scenario, seed);
        let most = most_in_a_second(&arrivals);
        assert!(most as f64 <= tolerated, "seed {seed}: {most} in one second, {tolerated} allowed");
        let expected = used * 4.4 * 8.0;
        assert!(arrivals.len() as f64 >= expected, "seed {seed}: {} used", arrivals.len());
    }
}
