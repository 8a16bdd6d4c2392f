//! Limits of targets, kept by a fleet of simulated hosts that lose messages, restart and are
//! partitioned.

use std::collections::BinaryHeap;
use std::time::Duration;

use chicoryloom_policy::Moment;
use chicoryloom_policy::entry;
use chicoryloom_policy::entry::Owners;
use chicoryloom_policy::id;
use chicoryloom_policy::throttle;
use chicoryloom_policy::throttle::Change;
use chicoryloom_policy::throttle::Grant;
use chicoryloom_policy::throttle::InvalidLimit;
use chicoryloom_policy::throttle::Issuer;
use chicoryloom_policy::throttle::Limit;
use chicoryloom_policy::throttle::Limits;
use chicoryloom_policy::throttle::Permits;
use chicoryloom_policy::withdrawal::Process;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::StdRng;
use rstest::rstest;

const START: Moment = Moment::from_millis(1000);
/// Window in which the users count requests.
const WINDOW_MS: u64 = 4000;
/// Interval at which a host determines the responsible one, a multiple of that of its other work.
const VIEW_INTERVAL_MS: u64 = 150;

fn process(name: &str) -> Process {
    Process { instance: name.parse().unwrap(), born: 7 }
}

fn host(number: usize) -> id::Host {
    format!("host-{number}").parse().unwrap()
}

fn limit(per_second: f64) -> Limit {
    per_second.try_into().unwrap()
}

fn after(millis: u64) -> Moment {
    START.after(Duration::from_millis(millis))
}

#[rstest]
#[case("2.5", Ok(2.5))]
#[case(" 0 ", Ok(0.0))]
#[case("1e300", Ok(1e6))]
#[case("-1", Err(InvalidLimit::Negative))]
#[case("NaN", Err(InvalidLimit::NotANumber))]
#[case("inf", Err(InvalidLimit::NotANumber))]
#[case("", Err(InvalidLimit::NotANumber))]
#[case("2 a second", Err(InvalidLimit::NotANumber))]
fn limit_is_parsed_and_bounded(#[case] text: &str, #[case] expected: Result<f64, InvalidLimit>) {
    assert_eq!(text.parse::<Limit>().map(Limit::per_second), expected);
}

#[test]
fn limit_ends_or_rises_only_by_a_request_sent_after_it_was_named() {
    let (mut limits, target) = (Limits::default(), process("i-1"));
    limits.observe(&target, Some(limit(2.0)), after(0), after(100));
    assert_eq!(limits.observe(&target, None, after(50), after(120)), None);
    assert_eq!(limits.observe(&target, Some(limit(9.0)), after(50), after(120)), None);
    assert_eq!(limits.get(&target), Some(limit(2.0)));
    limits.observe(&target, Some(limit(1.0)), after(50), after(130));
    assert_eq!(limits.get(&target), Some(limit(1.0)), "a lower limit holds at once");
    limits.observe(&target, None, after(140), after(200));
    assert_eq!(limits.get(&target), None);
}

#[test]
fn late_report_does_not_restore_a_limit_that_ended() {
    let (mut limits, target) = (Limits::default(), process("i-1"));
    let named = limits.observe(&target, Some(limit(2.0)), after(0), after(100)).unwrap();
    limits.observe(&target, None, after(200), after(300));
    assert!(!limits.apply(&target, named));
    assert_eq!(limits.get(&target), None);
    assert!(limits.apply(&target, Change { limit: Some(limit(3.0)), at: after(400) }));
    assert_eq!(limits.get(&Process { born: 8, ..target }), None, "another process has no limit");
}

#[test]
fn permit_is_not_used_by_a_host_that_was_paused() {
    let (mut permits, target) = (Permits::default(), process("i-1"));
    assert!(permits.ask(&target, after(0)));
    assert!(permits.grant(&target, after(0), 1, after(10)));
    assert!(!permits.is_valid(&target, after(5000)));
    assert!(permits.ask(&target, after(5000)));
    assert!(!permits.grant(&target, after(0), 1, after(5010)), "a late answer to an earlier ask");
}

#[test]
fn second_copy_of_a_grant_gives_no_second_permit() {
    let (mut permits, target) = (Permits::default(), process("i-1"));
    assert!(permits.ask(&target, after(0)));
    assert!(permits.grant(&target, after(0), 1, after(10)));
    assert!(permits.take(&target, after(20)));
    assert!(permits.ask(&target, after(30)));
    assert!(!permits.grant(&target, after(0), 1, after(40)));
    assert!(!permits.take(&target, after(50)));
}

#[test]
fn hosts_get_permits_in_the_order_in_which_they_began_to_ask() {
    let mut issuer = Issuer::new(limit(1.0), 1.0, START);
    for millis in [0, 600] {
        issuer.ask(&host(1), after(millis), 1, after(millis));
        issuer.ask(&host(2), after(millis), 1, after(millis));
    }
    assert!(!issuer.take(after(1000)), "others wait");
    let first = issuer.poll(after(1000));
    assert_eq!(first, [Grant { host: host(1), asked: after(600), count: 1 }]);
    issuer.ask(&host(1), after(1000), 1, after(1000));
    issuer.ask(&host(2), after(1000), 1, after(1000));
    assert_eq!(issuer.expected_wait(&host(1)), Some(Duration::from_secs(2)));
    for number in [1, 2] {
        issuer.ask(&host(number), after(1900), 1, after(1900));
    }
    assert_eq!(issuer.poll(after(2000))[0].host, host(2));
}

/// What a simulated fleet goes through.
#[derive(Clone, Copy, Debug, Default)]
struct Scenario {
    hosts: usize,
    limit: f64,
    /// Part of the messages that are lost, and that arrive twice.
    lossy: f64,
    /// Interval at which a host restarts, in milliseconds; 0 for never.
    restart_ms: u64,
    /// Whether the fleet is in two halves that do not see each other for the middle third.
    is_split: bool,
}

#[derive(Clone, Debug)]
enum Message {
    Ask { asked: Moment },
    Grant { asked: Moment, count: u32 },
}

#[derive(Clone, Debug)]
struct Node {
    permits: Permits,
    issuer: Option<Issuer>,
    waiting: u32,
    down_until: u64,
    /// Host that it takes for the responsible one, and the part of the fleet that it sees.
    view: (usize, f64),
}

/// Plays 30 seconds in which all hosts have more requests than the limit allows; returns when
/// requests reached the target.
fn play(scenario: Scenario, seed: u64) -> Vec<u64> {
    let mut rng = StdRng::seed_from_u64(seed);
    let target = process("i-1");
    let key = entry::target_key(&target.instance);
    let names: Vec<_> = (0..scenario.hosts).map(host).collect();
    let node = |at: usize| Node {
        permits: Permits::default(),
        issuer: None,
        waiting: 1,
        down_until: 0,
        view: (at, 1.0 / scenario.hosts as f64),
    };
    let mut nodes: Vec<_> = (0..scenario.hosts).map(node).collect();
    let mut messages: BinaryHeap<(std::cmp::Reverse<u64>, usize, usize, u64, bool, u32)> =
        BinaryHeap::new();
    let mut arrivals = Vec::new();
    let end = 30_000;
    let side = |at: usize, now: u64| {
        let split = scenario.is_split && (end / 3..2 * end / 3).contains(&now);
        if split { at % 2 } else { 0 }
    };
    for now_ms in 0..end {
        let now = after(now_ms);
        if scenario.restart_ms > 0 && now_ms.is_multiple_of(scenario.restart_ms) {
            let at = rng.random_range(0..nodes.len());
            nodes[at] = Node { down_until: now_ms + rng.random_range(50..1500), ..node(at) };
        }
        let mut out = Vec::new();
        for at in 0..nodes.len() {
            if now_ms < nodes[at].down_until || !(now_ms + at as u64).is_multiple_of(10) {
                continue;
            }
            if (now_ms + at as u64).is_multiple_of(VIEW_INTERVAL_MS) {
                // Hosts notice within some time that another one is lost.
                let is_seen = |other: &usize| {
                    side(*other, now_ms) == side(at, now_ms.saturating_sub(800))
                        && nodes[*other].down_until + 800 < now_ms.max(801)
                        || *other == at
                };
                let seen: Vec<_> = (0..nodes.len()).filter(is_seen).collect();
                let owners = Owners::new(seen.iter().map(|other| &names[*other]));
                let owner = names.iter().position(|name| Some(name) == owners.owner(key));
                nodes[at].view = (owner.unwrap(), seen.len() as f64 / names.len() as f64);
            }
            let (owner, part) = nodes[at].view;
            let node = &mut nodes[at];
            if owner == at {
                let issuer = node
                    .issuer
                    .get_or_insert_with(|| Issuer::new(limit(scenario.limit), part, now));
                issuer.set_limit(limit(scenario.limit), part, now);
                for Grant { host, asked, count } in issuer.poll(now) {
                    let to = names.iter().position(|name| *name == host).unwrap();
                    out.push((at, to, Message::Grant { asked, count }));
                }
            } else {
                node.issuer = None;
            }
            if node.permits.take(&target, now) {
                arrivals.push(now_ms + rng.random_range(1..20));
            }
            if node.waiting > 0 && node.permits.ask(&target, now) {
                out.push((at, owner, Message::Ask { asked: now }));
            }
        }
        for (from, to, message) in out {
            if side(from, now_ms) != side(to, now_ms) || rng.random_bool(scenario.lossy) {
                continue;
            }
            let copies = if rng.random_bool(scenario.lossy) { 2 } else { 1 };
            for _ in 0..copies {
                let arrives = now_ms + if from == to { 0 } else { rng.random_range(1..15) };
                let (asked, is_ask, count) = match message {
                    Message::Ask { asked } => (asked, true, 0),
                    Message::Grant { asked, count } => (asked, false, count),
                };
                let asked = asked.since(START).as_millis() as u64;
                messages.push((std::cmp::Reverse(arrives), from, to, asked, is_ask, count));
            }
        }
        while messages.peek().is_some_and(|message| message.0.0 <= now_ms) {
            let (_, from, to, asked, is_ask, count) = messages.pop().unwrap();
            if now_ms < nodes[to].down_until {
                continue;
            }
            match (is_ask, &mut nodes[to].issuer) {
                (true, Some(issuer)) => issuer.ask(&names[from], after(asked), 1, now),
                (true, None) => {}
                (false, _) => {
                    nodes[to].permits.grant(&target, after(asked), count, now);
                }
            }
        }
    }
    arrivals
}

fn most_in_a_window(arrivals: &[u64]) -> usize {
    let mut sorted = arrivals.to_vec();
    sorted.sort_unstable();
    let count =
        |from: &u64| sorted.iter().filter(|at| (*from..from + WINDOW_MS).contains(at)).count();
    sorted.iter().map(count).max().unwrap_or(0)
}

const CALM: Scenario =
    Scenario { hosts: 40, limit: 2.0, lossy: 0.0, restart_ms: 0, is_split: false };

#[rstest]
#[case::calm(CALM, 0.9)]
#[case::fraction(Scenario { limit: 0.5, ..CALM }, 0.9)]
#[case::high(Scenario { limit: 50.0, ..CALM }, 0.7)]
#[case::one_host(Scenario { hosts: 1, ..CALM }, 0.9)]
#[case::large(Scenario { hosts: 80, limit: 5.0, ..CALM }, 0.9)]
#[case::lossy(Scenario { lossy: 0.2, ..CALM }, 0.3)]
#[case::restarts(Scenario { restart_ms: 400, ..CALM }, 0.3)]
#[case::split(Scenario { is_split: true, limit: 4.0, ..CALM }, 0.6)]
#[case::all(Scenario { is_split: true, restart_ms: 700, lossy: 0.05, ..CALM }, 0.2)]
fn fleet_keeps_the_limit_and_uses_what_it_allows(#[case] scenario: Scenario, #[case] used: f64) {
    let allowed = (1.5 * scenario.limit * WINDOW_MS as f64 / 1000.0 + 5.0) as usize;
    for seed in 0..(800 / scenario.hosts as u64).clamp(3, 20) {
        let arrivals = play(scenario, seed);
        let most = most_in_a_window(&arrivals);
        assert!(most <= allowed, "seed {seed}: {most} requests where {allowed} are allowed");
        let expected = used * scenario.limit * 30.0;
        let count = arrivals.len();
        assert!(count as f64 >= expected, "seed {seed}: only {count} requests of {expected}");
    }
}

/// Each host that takes the limit for itself exceeds it; the check above would notice.
#[test]
fn limit_that_each_host_keeps_by_itself_is_exceeded() {
    let mut arrivals = Vec::new();
    for _ in 0..CALM.hosts {
        let mut issuer = Issuer::new(limit(CALM.limit), 1.0, START);
        arrivals.extend((0..10_000).filter(|ms| issuer.take(after(*ms))));
    }
    assert!(most_in_a_window(&arrivals) > 17);
}

#[rstest]
#[case(&[Some(2.0), Some(2.0)], 8, Duration::from_secs(2))]
#[case(&[Some(2.0), Some(2.0)], 0, Duration::ZERO)]
#[case(&[Some(2.0), None], 8, Duration::ZERO)]
#[case(&[Some(0.0)], 1, Duration::MAX)]
fn requests_behind_others_wait_for_as_long_as_the_limits_need(
    #[case] limits: &[Option<f64>],
    #[case] ahead: usize,
    #[case] expected: Duration,
) {
    let limits = limits.iter().map(|one| one.map(limit));
    assert_eq!(throttle::min_wait(limits, ahead), expected);
}
