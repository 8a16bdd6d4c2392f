//! Broken connections, and what is concluded from them.

use std::collections::BTreeSet;
use std::collections::HashMap;
use std::time::Duration;

use chicoryloom_policy::Moment;
use chicoryloom_policy::holdback::Fingerprint;
use chicoryloom_policy::holdback::Holdback;
use chicoryloom_policy::id;
use chicoryloom_policy::loss::Loss;
use chicoryloom_policy::loss::Losses;
use chicoryloom_policy::loss::Stage;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::StdRng;
use rstest::rstest;

const START: Moment = Moment::from_millis(1000);
/// Targets that must crash on equal requests before these are held back, as on the gateway.
const CRASH_LIMIT: usize = 3;

fn after(millis: u64) -> Moment {
    START.after(Duration::from_millis(millis))
}

fn loss(target: u8, request: u128, at: u64) -> Loss {
    Loss {
        target: format!("i-{target}").parse().unwrap(),
        address: address(target),
        stage: Stage::Request(Fingerprint(request)),
        at: after(at),
    }
}

fn address(target: u8) -> id::Target {
    format!("127.0.0.{target}:80").parse().unwrap()
}

/// Returns the targets and requests that are blamed for losses, given as target, request and time,
/// once a target answers.
fn blamed(losses: &[(u8, u128, u64)], answered: u64) -> BTreeSet<(String, u128)> {
    let mut pending = Losses::default();
    for (target, request, at) in losses {
        pending.add(loss(*target, *request, *at));
    }
    let judged = pending.record_answer(None, after(answered));
    let blame = |loss: Loss| (loss.target.to_string(), loss.request().map_or(0, |one| one.0));
    judged.into_iter().map(blame).collect()
}

fn pairs(expected: &[(&str, u128)]) -> BTreeSet<(String, u128)> {
    expected.iter().map(|(target, request)| ((*target).to_owned(), *request)).collect()
}

#[rstest]
#[case::single(&[(1, 7, 0)], &[("i-1", 7)])]
#[case::target_goes_down(&[(1, 7, 0), (1, 8, 1)], &[("i-1", 7), ("i-1", 8)])]
#[case::request_crashes_two(&[(1, 7, 0), (1, 8, 0), (2, 7, 20), (2, 9, 20)], &[("i-1", 7), ("i-2", 7)])]
#[case::link_breaks(&[(1, 7, 0), (2, 8, 1), (3, 9, 1)], &[])]
#[case::link_stays_down(&[(1, 7, 0), (2, 8, 200), (3, 9, 400)], &[])]
fn losses_are_blamed_on_what_they_have_in_common(
    #[case] losses: &[(u8, u128, u64)],
    #[case] expected: &[(&str, u128)],
) {
    assert_eq!(blamed(losses, 500), pairs(expected));
}

#[test]
fn connections_that_can_not_be_opened_show_that_the_link_is_down() {
    let mut losses = Losses::default();
    losses.add(loss(1, 7, 0));
    losses.add(Loss { stage: Stage::Empty, ..loss(2, 0, 100) });
    assert!(losses.record_answer(None, after(200)).is_empty());
    losses.add(Loss { stage: Stage::Empty, ..loss(1, 0, 300) });
    assert!(losses.record_answer(None, after(400)).is_empty(), "no request and no answer");
}

#[test]
fn answer_within_a_burst_does_not_separate_its_losses() {
    let mut losses = Losses::default();
    losses.add(loss(1, 7, 0));
    assert!(losses.record_answer(None, after(2)).is_empty());
    losses.add(loss(2, 8, 4));
    assert!(losses.record_answer(None, after(50)).is_empty(), "two targets at once");
    assert!(losses.is_empty());
}

#[test]
fn request_that_is_answered_elsewhere_is_not_blamed() {
    let mut losses = Losses::default();
    losses.add(loss(1, 7, 0));
    let judged = losses.record_answer(Some(Fingerprint(7)), after(50));
    assert_eq!(judged.len(), 1, "the target broke the connection");
    assert_eq!(judged[0].request(), None);
}

#[test]
fn losses_without_any_later_answer_are_dropped() {
    let mut losses = Losses::default();
    losses.add(loss(1, 7, 0));
    assert!(losses.record_answer(None, after(4000)).is_empty());
}

/// What a simulated fleet of four hosts and eight targets goes through.
#[derive(Clone, Copy, Debug)]
struct Scenario {
    /// Hosts whose links are reset every 700 ms for 300 ms.
    cut_hosts: usize,
    /// Whether callers send a request that crashes each target that runs it.
    has_poison: bool,
    /// Whether all other requests are equal.
    is_alike: bool,
}

/// Plays ten seconds; returns how often the crashing request reached targets, and how many other
/// requests were held back.
fn play(scenario: Scenario, seed: u64) -> (usize, usize) {
    let rng = &mut StdRng::seed_from_u64(seed);
    let mut losses: Vec<_> = (0..4).map(|_| Losses::default()).collect();
    let mut holdback = Holdback::new(CRASH_LIMIT);
    let mut down: HashMap<u8, u64> = HashMap::new();
    let (mut crashes, mut held) = (0, 0);
    let poison = Fingerprint(1);
    for now in 0..10_000 {
        let is_cut = |host: usize| host < scenario.cut_hosts && now % 700 < 300;
        for (host, pending) in losses.iter_mut().enumerate() {
            if !rng.random_bool(0.03) {
                continue;
            }
            let target = rng.random_range(0..8);
            let is_poison = scenario.has_poison && rng.random_bool(0.05);
            let other = if scenario.is_alike { 2 } else { rng.random_range(3..1_000_000) };
            let request = if is_poison { poison } else { Fingerprint(other) };
            if holdback.would_hold(request, pending.lost_on(request)) {
                continue;
            }
            if holdback.remaining_hold(request, after(now)).is_some() {
                held += usize::from(!is_poison);
                continue;
            }
            if down.get(&target).is_some_and(|until| now < *until) {
                continue;
            }
            if is_cut(host) {
                pending.add(loss(target, request.0, now));
                continue;
            }
            if is_poison {
                crashes += 1;
                down.insert(target, now + 1000);
                pending.add(loss(target, request.0, now));
                continue;
            }
            for loss in pending.record_answer(Some(request), after(now)) {
                if let Some(request) = loss.request() {
                    holdback.record_loss(request, loss.address, after(now));
                }
            }
            holdback.clear(request);
        }
    }
    (crashes, held)
}

const CALM: Scenario = Scenario { cut_hosts: 0, has_poison: false, is_alike: false };

#[rstest]
#[case::unlike(Scenario { cut_hosts: 3, ..CALM })]
#[case::alike(Scenario { cut_hosts: 3, is_alike: true, ..CALM })]
#[case::all_cut(Scenario { cut_hosts: 4, is_alike: true, ..CALM })]
#[case::poison(Scenario { cut_hosts: 3, has_poison: true, ..CALM })]
fn resets_on_links_hold_no_other_request_back(#[case] scenario: Scenario) {
    for seed in 0..100 {
        let (_, held) = play(scenario, seed);
        assert_eq!(held, 0, "seed {seed}");
    }
}

/// After the third crash the request is held back, but for those under way and what a host without
/// links can't tell.
#[rstest]
#[case::calm(CALM, 6)]
#[case::cut(Scenario { cut_hosts: 2, ..CALM }, 6)]
fn request_that_crashes_targets_is_stopped(#[case] scenario: Scenario, #[case] most: usize) {
    for seed in 0..100 {
        let (crashes, _) = play(Scenario { has_poison: true, ..scenario }, seed);
        assert!((CRASH_LIMIT..=most).contains(&crashes), "seed {seed}: {crashes} targets crashed");
    }
}
