//! Evidence on this host's own links to targets.

use std::time::Duration;

use chicoryloom_policy::Moment;
use chicoryloom_policy::id;
use chicoryloom_policy::reach::Links;
use chicoryloom_policy::reach::Listed;
use chicoryloom_policy::reach::Reach;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::StdRng;
use rstest::rstest;

const START: Moment = Moment::from_millis(1000);
const SERVICES: [&str; 3] = ["booking", "calendar", "library"];

fn after(millis: u64) -> Moment {
    START.after(Duration::from_millis(millis))
}

fn target(number: usize) -> id::Instance {
    format!("i-{number}").parse().unwrap()
}

fn service(number: usize) -> id::Service {
    SERVICES[number % SERVICES.len()].parse().unwrap()
}

const MANY: Listed = Listed { targets: 12, services: 3 };

fn unreach(reach: &mut Reach, number: usize, listed: Listed, since: u64, now: u64) -> bool {
    let (target, service) = (target(number), service(number));
    reach.record_unreached(&target, &service, listed, after(since), after(now))
}

#[test]
fn host_that_reaches_no_target_is_cut_off_until_it_opens_a_connection() {
    let mut reach = Reach::new(START);
    reach.record_answer(after(100));
    assert!(!unreach(&mut reach, 1, MANY, 200, 200));
    assert!(!unreach(&mut reach, 2, MANY, 200, 300));
    assert!(!unreach(&mut reach, 2, MANY, 200, 350), "the same target");
    assert!(!unreach(&mut reach, 5, MANY, 200, 350), "one of the same service");
    assert!(unreach(&mut reach, 3, MANY, 200, 400));
    assert_eq!(reach.links(), Links::Cut(after(100)));
    reach.record_answer(after(500));
    assert!(reach.is_cut(), "an old connection works on");
    assert_eq!(reach.record_opened(after(350), after(550)), None, "opened before the cut");
    assert!(reach.is_cut());
    assert_eq!(reach.record_opened(after(580), after(600)), Some(after(100)));
    assert_eq!(reach.links(), Links::Up);
    assert_eq!(reach.unreached(), 0);
}

#[test]
fn targets_that_fail_while_others_answer_are_no_cut() {
    let mut reach = Reach::new(START);
    for round in 0..50 {
        let now = after(round * 20);
        assert!(!unreach(&mut reach, round as usize % 7, MANY, round * 20, round * 20));
        if round % 2 == 1 {
            reach.record_answer(now);
        }
    }
    assert_eq!(reach.links(), Links::Up);
}

#[test]
fn wait_that_began_before_the_latest_answer_is_no_evidence() {
    let mut reach = Reach::new(START);
    reach.record_answer(after(500));
    for number in 0..5 {
        assert!(!unreach(&mut reach, number, MANY, 100, 600));
    }
}

#[rstest]
#[case::single(Listed { targets: 1, services: 1 }, 1)]
#[case::pair(Listed { targets: 2, services: 2 }, 2)]
#[case::one_service(Listed { targets: 9, services: 1 }, 3)]
#[case::many(MANY, 3)]
fn all_targets_of_a_small_deployment_are_enough(#[case] listed: Listed, #[case] needed: usize) {
    let mut reach = Reach::new(START);
    for number in 1..needed {
        assert!(!unreach(&mut reach, number, listed, 10, 10));
    }
    assert!(unreach(&mut reach, needed, listed, 10, 10));
}

#[test]
fn check_tries_other_services_than_the_one_whose_targets_are_down() {
    let mut reach = Reach::new(START);
    let targets: Vec<_> = (0..9).map(|number| (target(number), service(number))).collect();
    let listed: Vec<_> = targets.iter().map(|(target, service)| (target, service)).collect();
    let rng = &mut StdRng::seed_from_u64(1);
    assert_eq!(reach.check(&listed, START, rng).len(), 3, "a host that has just started");
    reach.record_opened(after(0), after(0));
    assert!(reach.check(&listed, after(400), rng).is_empty(), "nothing is in doubt");
    unreach(&mut reach, 0, MANY, 410, 410);
    unreach(&mut reach, 3, MANY, 410, 410);
    let chosen = reach.check(&listed, after(600), rng);
    let index = |one: &&id::Instance| targets.iter().position(|(name, _)| name == *one).unwrap();
    let mut services: Vec<_> = chosen.iter().map(|one| index(one) % 3).collect();
    services.sort_unstable();
    assert_eq!(services, [0, 1, 2], "one target of each service");
    assert!(
        chosen.iter().all(|one| ![0, 3].contains(&index(one))),
        "none that is known to be down"
    );
    assert!(reach.check(&listed, after(650), rng).is_empty(), "not again at once");
}

#[test]
fn host_without_requests_checks_its_links_when_another_lost_its_own() {
    let mut reach = Reach::new(START);
    let targets = [(target(0), service(0)), (target(1), service(1))];
    let listed: Vec<_> = targets.iter().map(|(target, service)| (target, service)).collect();
    let rng = &mut StdRng::seed_from_u64(1);
    reach.record_answer(after(1000));
    reach.question(after(1200));
    assert!(reach.check(&listed, after(1200), rng).is_empty(), "a target has just answered");
    reach.question(after(2500));
    assert_eq!(reach.check(&listed, after(2500), rng).len(), 2);
    reach.record_answer(after(2600));
    assert!(reach.check(&listed, after(3000), rng).is_empty());
}

/// Plays a host with `rate` requests a second, of which those to one service's targets fail
/// throughout; returns when it took itself for cut off, and when it first sent a request that was lost.
/// Its links are cut from `cut` to `end`.
fn play(rate: f64, down: Option<usize>, cut: u64, end: u64, seed: u64) -> (Vec<(u64, bool)>, u64) {
    let rng = &mut StdRng::seed_from_u64(seed);
    let mut reach = Reach::new(START);
    let targets: Vec<_> = (0..12).map(|number| (target(number), service(number))).collect();
    let listed: Vec<_> = targets.iter().map(|(target, service)| (target, service)).collect();
    let (mut changes, mut first_lost) = (Vec::new(), u64::MAX);
    let mut pending: Vec<(u64, usize, u64)> = Vec::new();
    for now in 0..20_000 {
        let mut tried: Vec<usize> = Vec::new();
        if rng.random_bool(rate / 1000.0) {
            tried.push(rng.random_range(0..targets.len()));
        }
        if now % 50 == 0 {
            let chosen = reach.check(&listed, after(now), rng);
            let index = |one: &&id::Instance| targets.iter().position(|(name, _)| name == *one);
            tried.extend(chosen.iter().filter_map(index));
        }
        for at in tried {
            let is_down = down == Some(at % 3);
            let took = if is_down || (cut..end).contains(&now) { 400 } else { 20 };
            pending.push((now + took, at, now));
        }
        let was_cut = reach.is_cut();
        for (_, at, begun) in pending.extract_if(.., |(due, ..)| *due <= now) {
            let is_lost = down == Some(at % 3) || (cut..end).contains(&begun);
            if is_lost {
                unreach(&mut reach, at, MANY, begun, now);
                first_lost = first_lost.min(begun);
            } else {
                reach.record_opened(after(begun), after(now));
            }
        }
        if reach.is_cut() != was_cut {
            changes.push((now, reach.is_cut()));
        }
    }
    (changes, first_lost)
}

#[rstest]
#[case::busy(20.0)]
#[case::usual(5.0)]
#[case::quiet(1.0)]
fn cut_is_noticed_and_its_end_too(#[case] rate: f64) {
    for seed in 0..50 {
        let (changes, first_lost) = play(rate, None, 5000, 12_000, seed);
        assert_eq!(changes.len(), 2, "seed {seed}: {changes:?}");
        // Callers are to be served elsewhere after three seconds, and look up hosts once a second.
        let noticed = changes[0].0 - first_lost;
        assert!(noticed < 1500, "seed {seed}: noticed after {noticed} ms");
        assert!((12_000..13_000).contains(&changes[1].0), "seed {seed}: {changes:?}");
    }
}

#[test]
fn service_whose_targets_are_all_down_is_no_cut() {
    for seed in 0..50 {
        assert_eq!(play(5.0, Some(0), 0, 0, seed).0, [], "seed {seed}");
    }
}

#[test]
fn old_connections_don_t_show_that_new_ones_can_be_opened() {
    let mut reach = Reach::new(START);
    for number in 0..3 {
        assert!(reach.can_open());
        reach.record_unopened(&target(number));
        reach.record_answer(after(number as u64));
    }
    assert!(!reach.can_open());
    assert_eq!(reach.links(), Links::Up, "old connections serve");
    assert!(reach.is_check_due(after(1000)), "until a connection can be opened");
    reach.record_opened(after(1100), after(1100));
    assert!(reach.can_open());
}

fn cut_off() -> Reach {
    let mut reach = Reach::new(START);
    for number in 0..3 {
        unreach(&mut reach, number, MANY, 100, 100);
    }
    assert!(reach.is_cut());
    reach
}

#[test]
fn old_connections_are_used_during_a_cut_once_one_answered() {
    let mut reach = cut_off();
    assert!(!reach.admits(false, after(200)), "it could not be repeated");
    assert!(reach.admits(true, after(200)));
    assert!(!reach.admits(true, after(210)), "one finds out");
    reach.record_answer(after(300));
    assert!(reach.is_cut());
    assert!(reach.admits(false, after(310)));
}

#[test]
fn old_connections_that_hang_are_not_used_during_a_cut() {
    let mut reach = cut_off();
    assert!(reach.admits(true, after(200)));
    reach.record_late(after(200), after(900));
    assert!(!reach.admits(true, after(1000)));
    reach.record_opened(after(1100), after(1100));
    assert!(reach.admits(false, after(1100)), "the cut is over");
}

#[test]
fn late_answers_of_several_targets_are_no_cut() {
    let mut reach = Reach::new(START);
    reach.record_answer(after(0));
    for sent in 10..20 {
        reach.record_late(after(sent), after(sent + 50));
    }
    assert_eq!(reach.links(), Links::Up);
    assert!(reach.is_check_due(after(400)), "targets are asked");
}
