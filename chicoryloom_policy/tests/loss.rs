//! Broken connections, and what is concluded from them.

use std::collections::BTreeSet;
use std::collections::HashMap;
use std::time::Duration;

use chicoryloom_policy::Moment;
use chicoryloom_policy::holdback::Fingerprint;
use chicoryloom_policy::holdback::Holdback;
use chicoryloom_policy::id;
use chicoryloom_policy::loss::Answer;
use chicoryloom_policy::loss::Loss;
use chicoryloom_policy::loss::Losses;
use chicoryloom_policy::loss::Over;
use chicoryloom_policy::loss::Proof;
use chicoryloom_policy::loss::Stage;
use chicoryloom_policy::loss::witnesses;
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

fn name(target: u8) -> id::Instance {
    format!("i-{target}").parse().unwrap()
}

fn loss(target: u8, request: u128, at: u64) -> Loss {
    Loss {
        target: name(target),
        address: address(target),
        born: 7,
        stage: Stage::Request(Fingerprint(request)),
        opened: Moment::from_millis(100),
        at: after(at),
    }
}

fn address(target: u8) -> id::Target {
    format!("127.0.0.{target}:80").parse().unwrap()
}

/// Records that a target answered over a connection that was opened at `opened`; returns the targets
/// and requests that are blamed for losses, and why.
fn answer(losses: &mut Losses, target: u8, opened: Moment, at: u64) -> Vec<(u8, u128, Proof)> {
    let answer = Answer { target: &name(target), opened: Some(opened), request: None };
    let verdicts = losses.record_answer(answer, after(at)).into_iter().map(|one| {
        let target = one.loss.target.as_str()[2..].parse().unwrap();
        (target, one.loss.request().map_or(0, |request| request.0), one.proof)
    });
    verdicts.collect()
}

/// When a connection was opened that is older than all losses.
const OLD: Moment = Moment::from_millis(200);

/// Returns losses at `targets` and requests, after another target answered.
fn witnessed(lost: &[(u8, u128, u64)]) -> Losses {
    let mut losses = Losses::default();
    answer(&mut losses, 9, OLD, 0);
    for (target, request, at) in lost {
        losses.add(loss(*target, *request, *at));
    }
    losses
}

#[rstest]
#[case::single(&[(1, 7, 0)], &[("i-1", 7)])]
#[case::target_goes_down(&[(1, 7, 0), (1, 8, 1)], &[("i-1", 7), ("i-1", 8)])]
#[case::request_crashes_two(&[(1, 7, 0), (1, 8, 0), (2, 7, 20), (2, 9, 20)], &[("i-1", 7), ("i-2", 7)])]
#[case::part_of_link_breaks(&[(1, 7, 0), (2, 8, 1), (3, 9, 1)], &[])]
#[case::part_of_link_stays_down(&[(1, 7, 0), (2, 8, 200), (3, 9, 400)], &[])]
fn losses_that_the_link_outlived_are_blamed_on_what_they_have_in_common(
    #[case] lost: &[(u8, u128, u64)],
    #[case] expected: &[(&str, u128)],
) {
    let judged = answer(&mut witnessed(lost), 9, OLD, 500);
    let blamed: BTreeSet<_> =
        judged.into_iter().map(|(target, request, _)| (format!("i-{target}"), request)).collect();
    let expected = expected.iter().map(|(target, request)| ((*target).to_owned(), *request));
    assert_eq!(blamed, expected.collect());
}

/// A link that breaks takes all connections along, so that only new ones answer.
#[rstest]
#[case::single(&[(1, 7, 1)])]
#[case::equal_requests(&[(1, 7, 1), (2, 7, 1), (3, 7, 2)])]
#[case::repetition(&[(1, 7, 1), (1, 7, 30)])]
fn losses_that_no_connection_outlived_are_nobodys_fault(#[case] lost: &[(u8, u128, u64)]) {
    let mut losses = witnessed(lost);
    for at in [400, 410, 800, 1500, 2500, 3500] {
        for target in [1, 2, 3, 9] {
            assert!(answer(&mut losses, target, after(390), at).is_empty(), "at {at}");
        }
        let is_held = losses.lost_on(Fingerprint(7)).next().is_some();
        assert!(!is_held, "the request is doubted at {at}");
    }
    assert!(losses.is_empty());
}

/// If no new connection can be opened, old ones that work on don't show that new ones do.
#[test]
fn old_connections_prove_nothing_about_new_ones() {
    let mut losses = witnessed(&[]);
    for target in 1..4 {
        losses.add(Loss { opened: after(10), ..loss(target, 7, 11) });
    }
    assert!(answer(&mut losses, 9, OLD, 100).is_empty());
    assert!(answer(&mut losses, 9, OLD, 1500).is_empty());
}

#[rstest]
#[case::only_the_target_is_out_of_reach(&[1], true)]
#[case::others_are_too(&[1, 2], false)]
#[case::none_is(&[], false)]
fn target_that_is_gone_proves_the_loss(#[case] unopened: &[u8], #[case] is_blamed: bool) {
    let mut losses = witnessed(&[(1, 7, 1), (2, 8, 2)]);
    assert!(answer(&mut losses, 3, after(300), 301).is_empty(), "the link broke");
    for target in unopened {
        losses.record_unopened(&name(*target), after(310));
    }
    let expected = if is_blamed { vec![(1, 7, Proof::Absence)] } else { Vec::new() };
    assert_eq!(answer(&mut losses, 3, after(300), 320), expected);
}

#[test]
fn try_during_the_break_does_not_show_that_the_target_is_gone() {
    let mut losses = witnessed(&[(1, 7, 1), (2, 8, 2)]);
    losses.record_unopened(&name(1), after(100));
    assert!(answer(&mut losses, 3, after(300), 301).is_empty());
    // It began before the link was back.
    losses.record_unopened(&name(1), after(290));
    assert!(answer(&mut losses, 3, after(300), 320).is_empty());
}

#[test]
fn loss_that_nothing_can_prove_counts_at_this_host() {
    let mut losses = Losses::default();
    losses.add(loss(1, 7, 0));
    assert!(answer(&mut losses, 2, after(100), 101).is_empty());
    assert_eq!(losses.lost_on(Fingerprint(7)).count(), 1, "doubted until then");
    assert_eq!(answer(&mut losses, 2, after(100), 1200), [(1, 7, Proof::Missing)]);
}

#[test]
fn answer_within_a_burst_does_not_separate_its_losses() {
    let mut losses = witnessed(&[(1, 7, 10)]);
    assert!(answer(&mut losses, 9, OLD, 12).is_empty());
    losses.add(loss(2, 8, 14));
    assert!(answer(&mut losses, 9, OLD, 50).is_empty(), "two targets at once");
}

/// A target that resets its connections doesn't keep a request from being blamed that crashed another.
#[test]
fn losses_with_an_answer_between_are_judged_apart() {
    let mut losses = witnessed(&[(1, 7, 1)]);
    // No later connection answers yet, so that the loss can't be judged.
    let loss_on_new = |target, request, at| Loss { opened: after(at), ..loss(target, request, at) };
    losses.add(loss_on_new(3, 8, 5));
    assert!(answer(&mut losses, 9, OLD, 3).is_empty());
    assert_eq!(answer(&mut losses, 9, OLD, 30), []);
    losses.add(loss(2, 7, 40));
    assert_eq!(answer(&mut losses, 9, OLD, 60), [(2, 7, Proof::Link)]);
}

#[test]
fn request_that_is_answered_elsewhere_is_not_blamed() {
    let mut losses = witnessed(&[(1, 7, 0)]);
    let request = Some(Fingerprint(7));
    let other = Answer { target: &name(2), opened: Some(OLD), request };
    assert!(losses.record_answer(other, after(50)).is_empty());
    assert_eq!(losses.lost_on(Fingerprint(7)).count(), 0);
    assert_eq!(answer(&mut losses, 9, OLD, 60), [(1, 0, Proof::Link)], "the target broke it");
}

#[test]
fn losses_without_any_later_answer_are_dropped() {
    let mut losses = witnessed(&[(1, 7, 0)]);
    assert!(answer(&mut losses, 9, OLD, 4000).is_empty());
}

/// Hosts with losses that nothing proved checked their targets every 0.3 s, at over three checks a
/// target and second over the fleet.
#[test]
fn loss_without_a_proof_is_checked_a_few_times() {
    let mut losses = witnessed(&[(1, 7, 0)]);
    let checks: Vec<_> = (0..4000).filter(|at| !losses.check(after(*at)).is_empty()).collect();
    assert!((3..=4).contains(&checks.len()), "checked at {checks:?}");
    assert!(checks[0] <= 100 && checks[1] <= 500, "checked at {checks:?}");
}

/// A check of losses asked each other target over an old and over a new connection.
#[rstest]
#[case::connections_are_open(&[false, true, true, false, true], Over::Idle)]
#[case::one_is_open(&[false, false, true], Over::Idle)]
#[case::none_is_open(&[false; 5], Over::New)]
fn few_other_targets_are_asked_for_a_proof(#[case] have_idle: &[bool], #[case] expected: Over) {
    for seed in 0..50 {
        let chosen = witnesses(have_idle, &mut StdRng::seed_from_u64(seed));
        assert!((1..=2).contains(&chosen.len()));
        for (index, over) in chosen {
            assert_eq!(over, expected);
            assert_eq!(have_idle[index], over == Over::Idle);
        }
    }
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
    /// Requests a millisecond at each host.
    rate: f64,
    /// Time between two restarts of a host, if there are any.
    restarts: Option<u64>,
}

/// A simulated host.
#[derive(Clone, Debug, Default)]
struct Host {
    losses: Losses,
    /// What it concluded for itself alone.
    own: Holdback,
    /// When its connection to each target was opened, if it has one.
    opened: HashMap<u8, u64>,
    is_cut: bool,
}

impl Host {
    fn new() -> Self {
        Self { own: Holdback::new(CRASH_LIMIT), ..Self::default() }
    }

    /// Records an answer of a target, with its request if it is a caller's.
    fn answer(&mut self, fleet: &mut Holdback, target: u8, request: Option<Fingerprint>, now: u64) {
        let opened = *self.opened.entry(target).or_insert(now);
        let answer = Answer { target: &name(target), opened: Some(after(opened)), request };
        for verdict in self.losses.record_answer(answer, after(now)) {
            let Some(request) = verdict.loss.request() else { continue };
            let is_own = verdict.proof == Proof::Missing;
            let holdback = if is_own { &mut self.own } else { &mut *fleet };
            holdback.record_loss(request, verdict.loss.crash(), after(now));
        }
    }

    /// Asks targets for their health, as the gateway does while losses are not judged.
    fn check(&mut self, fleet: &mut Holdback, down: &HashMap<u8, u64>, now: u64, rng: &mut StdRng) {
        let suspects = self.losses.check(after(now));
        if suspects.is_empty() {
            return;
        }
        let others: Vec<_> = (0..8).filter(|one| !suspects.contains(&name(*one))).collect();
        let have_idle: Vec<_> = others.iter().map(|one| self.opened.contains_key(one)).collect();
        let chosen = witnesses(&have_idle, rng).into_iter();
        let chosen = chosen.map(|(index, over)| (others[index], over));
        let suspects = (0..8).filter(|one| suspects.contains(&name(*one)));
        for (target, over) in suspects.map(|one| (one, Over::New)).chain(chosen) {
            if self.is_cut || down.get(&target).is_some_and(|until| now < *until) {
                self.losses.record_unopened(&name(target), after(now));
                continue;
            }
            if over == Over::New {
                self.opened.remove(&target);
            }
            self.answer(fleet, target, None, now);
        }
    }
}

/// Plays ten seconds; returns how often the crashing request reached targets, and how many other
/// requests were held back.
fn play(scenario: Scenario, seed: u64) -> (usize, usize) {
    let rng = &mut StdRng::seed_from_u64(seed);
    let mut hosts = vec![Host::new(); 4];
    let mut fleet = Holdback::new(CRASH_LIMIT);
    let mut down: HashMap<u8, u64> = HashMap::new();
    let (mut crashes, mut held) = (0, 0);
    let poison = Fingerprint(1);
    for now in 0..10_000 {
        for index in 0..hosts.len() {
            if scenario.restarts.is_some_and(|span| now % span == span / 4 * index as u64) {
                hosts[index] = Host::new();
            }
            let host = &mut hosts[index];
            host.is_cut = index < scenario.cut_hosts && now % 700 < 300;
            if host.is_cut {
                host.opened.clear();
            }
            host.check(&mut fleet, &down, now, rng);
            if !rng.random_bool(scenario.rate) {
                continue;
            }
            let target = rng.random_range(0..8);
            let is_poison = scenario.has_poison && rng.random_bool(0.05);
            let other = if scenario.is_alike { 2 } else { rng.random_range(3..1_000_000) };
            let request = if is_poison { poison } else { Fingerprint(other) };
            if fleet.would_hold(request, host.losses.lost_on(request)) {
                continue;
            }
            if [&fleet, &host.own]
                .iter()
                .any(|one| one.remaining_hold(request, after(now)).is_some())
            {
                held += usize::from(!is_poison);
                continue;
            }
            if down.get(&target).is_some_and(|until| now < *until) {
                host.losses.record_unopened(&name(target), after(now));
                continue;
            }
            if host.is_cut || is_poison {
                let opened = after(host.opened.get(&target).copied().unwrap_or(now));
                host.losses.add(Loss { opened, ..loss(target, request.0, now) });
            }
            if host.is_cut {
                continue;
            }
            if is_poison {
                crashes += 1;
                down.insert(target, now + 1000);
                for host in &mut hosts {
                    host.opened.remove(&target);
                }
                continue;
            }
            host.answer(&mut fleet, target, Some(request), now);
            fleet.clear(request, after(now));
        }
    }
    (crashes, held)
}

const CALM: Scenario =
    Scenario { cut_hosts: 0, has_poison: false, is_alike: false, rate: 0.03, restarts: None };

#[rstest]
#[case::unlike(Scenario { cut_hosts: 3, ..CALM })]
#[case::alike(Scenario { cut_hosts: 3, is_alike: true, ..CALM })]
#[case::all_cut(Scenario { cut_hosts: 4, is_alike: true, ..CALM })]
#[case::poison(Scenario { cut_hosts: 3, has_poison: true, ..CALM })]
#[case::restarts(Scenario { cut_hosts: 3, has_poison: true, restarts: Some(5000), ..CALM })]
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
#[case::restarts(Scenario { cut_hosts: 2, restarts: Some(5000), ..CALM }, 6)]
fn request_that_crashes_targets_is_stopped(#[case] scenario: Scenario, #[case] most: usize) {
    for seed in 0..100 {
        let (crashes, _) = play(Scenario { has_poison: true, ..scenario }, seed);
        assert!((CRASH_LIMIT..=most).contains(&crashes), "seed {seed}: {crashes} targets crashed");
    }
}
