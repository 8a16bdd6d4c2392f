//! Choice of targets, order and rejection of waiting requests, weighted splits and entry hosts.

use std::time::Duration;

use chicoryloom_policy::Moment;
use chicoryloom_policy::balance::Rule;
use chicoryloom_policy::catalog::Destination;
use chicoryloom_policy::catalog::Repeat;
use chicoryloom_policy::dispatch;
use chicoryloom_policy::dispatch::Balance;
use chicoryloom_policy::dispatch::Candidate;
use chicoryloom_policy::dispatch::Request;
use chicoryloom_policy::entry;
use chicoryloom_policy::gray::Standing;
use chicoryloom_policy::split::Split;
use chicoryloom_policy::unit::Priority;
use chicoryloom_policy::unit::Weight;
use chicoryloom_policy::waiting::Queue;
use chicoryloom_policy::waiting::Rank;
use proptest::prelude::*;
use rand::SeedableRng;
use rand_pcg::Pcg64;
use rstest::rstest;

fn candidate(in_flight: u32, near: bool, standing: Standing) -> Candidate {
    Candidate {
        in_flight,
        own: 0,
        slots: 2,
        home: 0.0,
        connected: false,
        near,
        cold: false,
        standing,
        owned: true,
        doubt: 0.0,
        risk: 0.0,
        evidence_age: Some(Duration::ZERO),
        due_for: None,
    }
}

fn request(repeat: Repeat) -> Request {
    Request {
        can_retry: repeat == Repeat::Safe,
        waited: Duration::ZERO,
        time: Duration::from_secs(3),
    }
}

fn choose(candidates: &[Candidate], request: Request) -> Option<usize> {
    let balance = Balance { rule: Rule::Least, is_informed: true };
    dispatch::choose(candidates, request, balance, &mut Pcg64::seed_from_u64(3))
}

#[rstest]
#[case::near_goes_first([candidate(1, true, Standing::InUse), candidate(0, false, Standing::InUse)], Some(0))]
#[case::far_goes_before_a_wait([candidate(2, true, Standing::InUse), candidate(1, false, Standing::InUse)], Some(1))]
#[case::full_ones_get_nothing([candidate(2, true, Standing::InUse), candidate(3, false, Standing::InUse)], None)]
#[case::held_back_gets_nothing([candidate(0, true, Standing::HeldBack), candidate(2, true, Standing::InUse)], None)]
#[case::least_loaded([candidate(1, true, Standing::InUse), candidate(0, true, Standing::InUse)], Some(1))]
fn target_is_chosen(#[case] candidates: [Candidate; 2], #[case] chosen: Option<usize>) {
    assert_eq!(choose(&candidates, request(Repeat::Once)), chosen);
}

/// A trial gets a request that can be repeated; a request that runs once goes to a target in use
/// unless it has waited.
#[test]
fn trials_take_repeatable_requests() {
    let due = Standing::Trial(Duration::from_millis(10));
    let candidates = [candidate(1, true, Standing::InUse), candidate(0, true, due)];
    assert_eq!(choose(&candidates, request(Repeat::Safe)), Some(1));
    assert_eq!(choose(&candidates, request(Repeat::Once)), Some(0));
    let busy = [candidate(2, true, Standing::InUse), candidate(0, true, due)];
    assert_eq!(choose(&busy, request(Repeat::Once)), None);
    let waited = Duration::from_millis(100);
    assert_eq!(choose(&busy, Request { waited, ..request(Repeat::Once) }), Some(1));
}

/// A request that runs once goes to the target with the least risk, and to one in the host's data
/// centre among equals; a request that may be repeated goes to the least loaded.
#[test]
fn request_that_runs_once_goes_to_the_least_risk() {
    let risky = Candidate { risk: 0.2, ..candidate(0, true, Standing::InUse) };
    let proven = Candidate { risk: 0.02, ..candidate(1, true, Standing::InUse) };
    let far = Candidate { risk: 0.02, ..candidate(0, false, Standing::InUse) };
    assert_eq!(choose(&[risky, proven], request(Repeat::Once)), Some(1));
    assert_eq!(choose(&[risky, proven], request(Repeat::Safe)), Some(0));
    assert_eq!(choose(&[risky, far], request(Repeat::Once)), Some(1));
    assert_eq!(choose(&[proven, far], request(Repeat::Once)), Some(0));
}

/// Idle targets with the least doubt get the next requests until those that stay idle are a small part
/// of the expected healthy ones. One that never had a request gets one, and one in use may get it from
/// any host of its data centre after a while.
#[rstest]
#[case::doubted_stay_idle([0.9, 0.9, 0.1, 0.1], [false, false, true, true])]
#[case::doubt_fades([0.5, 0.5, 0.1, 0.1], [false, true, true, true])]
#[case::many_are_doubted([0.9, 0.9, 0.9, 0.9], [false, false, false, true])]
fn idle_targets_get_a_request(#[case] doubts: [f64; 4], #[case] due: [bool; 4]) {
    let idle = |doubt| Candidate {
        doubt,
        risk: 0.8 * doubt,
        evidence_age: Some(Duration::from_secs(2)),
        ..candidate(0, true, Standing::InUse)
    };
    let busy = candidate(1, true, Standing::InUse);
    let [a, b, c, d] = doubts.map(idle);
    let mut candidates = [a, b, c, d, busy, busy];
    dispatch::mark_due(&mut candidates.iter_mut().collect::<Vec<_>>(), 20.0);
    assert_eq!(candidates.map(|one| one.due_for.is_some())[..4], due);
    assert!(candidates[4..].iter().all(|one| one.due_for.is_none()));
    assert!(due[choose(&candidates, request(Repeat::Once)).unwrap()]);
}

/// A target that has been idle for long gets a request whatever its doubt, so that no target is left out
/// for good.
#[rstest]
#[case(3400, false)]
#[case(3500, true)]
fn target_that_was_idle_for_long_gets_a_request(#[case] idle_ms: u64, #[case] is_due: bool) {
    let evidence_age = Some(Duration::from_millis(idle_ms));
    let doubted =
        Candidate { doubt: 0.98, risk: 0.8, evidence_age, ..candidate(0, true, Standing::InUse) };
    let mut candidates = [candidate(1, true, Standing::InUse); 20];
    candidates[3] = doubted;
    dispatch::mark_due(&mut candidates.iter_mut().collect::<Vec<_>>(), 20.0);
    assert_eq!(candidates[3].due_for.is_some(), is_due);
}

/// If there are fewer requests than targets that are due, those that failed nothing lately must not get
/// all of them.
#[rstest]
#[case::same_doubt([0.1, 0.1], [100, 900], 1)]
#[case::a_little_longer([0.1, 0.15], [900, 1000], 0)]
#[case::long_in_doubt([0.1, 0.6], [100, 2500], 1)]
#[case::healthy_ones_first([0.1, 0.9], [900, 2500], 0)]
fn target_that_has_been_due_for_longest_gets_the_next_request(
    #[case] doubts: [f64; 2],
    #[case] due_ms: [u64; 2],
    #[case] expected: usize,
) {
    let due = |at: usize| Candidate {
        doubt: doubts[at],
        risk: 0.8 * doubts[at],
        due_for: Some(Duration::from_millis(due_ms[at])),
        ..candidate(0, true, Standing::InUse)
    };
    assert_eq!(choose(&[due(0), due(1)], request(Repeat::Once)), Some(expected));
}

/// A request that waits for want of others goes to the target with the least risk, whichever of them is due at
/// the host that is responsible for it.
#[test]
fn target_in_doubt_is_taken_for_want_of_others_by_its_risk() {
    let doubted = |risk, due_ms| Candidate {
        owned: false,
        doubt: risk,
        risk,
        due_for: Some(Duration::from_millis(due_ms)),
        ..candidate(0, true, Standing::Trial(Duration::ZERO))
    };
    let waited = Request { waited: Duration::from_millis(100), ..request(Repeat::Once) };
    assert_eq!(choose(&[doubted(0.6, 2500), doubted(0.4, 100)], waited), Some(1));
}

/// No more than a share of the healthy targets is idle, and less where there are many in a data centre.
#[rstest]
#[case::small_service(4.0, 8.0, 0.6)]
#[case::one_data_centre(20.0, 20.0, 0.9)]
#[case::large_service(34.0, 134.0, 2.6)]
#[case::hundreds(60.0, 300.0, 6.6)]
fn idle_targets_are_few_on_every_draw(#[case] near: f64, #[case] all: f64, #[case] most: f64) {
    let allowance = dispatch::idle_allowance(near, all);
    assert!((0.8 * most..=1.05 * most).contains(&allowance), "{allowance}");
}

/// The host that is responsible for a target asks first, and no other one asks a doubted target.
#[rstest]
#[case::owner(true, 1000, Standing::InUse, true)]
#[case::owner_in_doubt(true, 1000, Standing::Trial(Duration::ZERO), true)]
#[case::other_host_too_soon(false, 1000, Standing::InUse, false)]
#[case::other_host(false, 1500, Standing::InUse, true)]
#[case::other_host_in_doubt(false, 1500, Standing::Trial(Duration::ZERO), false)]
fn responsible_host_asks_an_idle_target_first(
    #[case] owned: bool,
    #[case] idle_ms: u64,
    #[case] standing: Standing,
    #[case] is_asked: bool,
) {
    let evidence_age = Some(Duration::from_millis(idle_ms));
    let idle = Candidate { owned, risk: 0.3, evidence_age, ..candidate(0, true, standing) };
    let mut candidates = [idle, candidate(1, true, Standing::InUse)];
    dispatch::mark_due(&mut candidates.iter_mut().collect::<Vec<_>>(), 20.0);
    let chosen = choose(&candidates, request(Repeat::Once));
    assert_eq!(chosen, Some(if is_asked { 0 } else { 1 }));
}

/// A target that never had a request gets one from the host that is responsible for it, even if it
/// alone is idle among many, and doesn't get the first request of every other host.
#[rstest]
#[case(true)]
#[case(false)]
fn new_target_gets_a_request_of_one_host(#[case] owned: bool) {
    let in_use = candidate(0, true, Standing::InUse);
    let new = Candidate { owned, risk: 0.2, evidence_age: None, ..in_use };
    let mut candidates = [candidate(1, true, Standing::InUse); 20];
    candidates[7] = new;
    dispatch::mark_due(&mut candidates.iter_mut().collect::<Vec<_>>(), 20.0);
    assert_eq!(choose(&candidates, request(Repeat::Once)) == Some(7), owned);
}

/// While one request is dispatched every 100 ms, a request whose turn would come after its deadline
/// is rejected on arrival, with the time that the queue needs to drain.
#[test]
fn request_that_would_be_late_is_rejected_at_once() {
    let mut queue = Queue::default();
    let rank = Rank { priority: Priority(1), route: Priority(1) };
    let mut now = Moment::from_millis(1000);
    let far = now.after(Duration::from_secs(60));
    for _ in 0..100 {
        queue.enqueue(rank, far, now).unwrap();
    }
    for _ in 0..80 {
        now = now.after(Duration::from_millis(100));
        let first = queue.tickets().next().unwrap();
        queue.dispatch(first, now);
    }
    assert_eq!(queue.len(), 20);
    let rejection = queue.enqueue(rank, now.after(Duration::from_millis(500)), now).unwrap_err();
    assert_eq!(rejection.ahead, 20);
    let seconds = rejection.retry_after.as_secs_f64();
    assert!((1.5..3.0).contains(&seconds), "{seconds}");
    // A request that timed out in the queue gets the same, not the time that it waited.
    assert_eq!(queue.drain_time(now), rejection.retry_after);
    queue.enqueue(rank, now.after(Duration::from_secs(5)), now).unwrap();
    let urgent = Rank { priority: Priority(0), route: Priority(1) };
    queue.enqueue(urgent, now.after(Duration::from_millis(500)), now).unwrap();
    assert!(
        queue
            .tickets()
            .next()
            .unwrap()
            .is_behind(Rank { priority: Priority(0), route: Priority(0) })
    );
}

proptest! {
    /// The more urgent request goes first, and equals go in the order of their arrival.
    #[test]
    fn queue_is_ordered(ranks in prop::collection::vec((0u64..3, 0u64..3), 1..50)) {
        let mut queue = Queue::default();
        let now = Moment::from_millis(1000);
        let later = now.after(Duration::from_secs(9));
        let mut expected = Vec::new();
        for (priority, route) in ranks {
            // Priorities above those that have one byte.
            let rank = Rank { priority: Priority(priority * 400), route: Priority(route * 400) };
            expected.push((rank, expected.len(), queue.enqueue(rank, later, now).unwrap()));
        }
        expected.sort_by_key(|(rank, at, _)| (*rank, *at));
        let tickets: Vec<_> = expected.into_iter().map(|(.., ticket)| ticket).collect();
        prop_assert_eq!(queue.tickets().collect::<Vec<_>>(), tickets);
    }

    /// After any number of requests, each destination has its share, within as many requests as
    /// there are destinations.
    #[test]
    fn split_keeps_the_proportions(weights in prop::collection::vec(1u32..100, 1..5), n in 1u32..500) {
        let destinations: Vec<_> = weights
            .iter()
            .enumerate()
            .map(|(at, weight)| Destination {
                service: format!("s{at}").parse().unwrap(),
                weight: Weight(*weight),
            })
            .collect();
        let total: u32 = weights.iter().sum();
        let mut split = Split::default();
        let mut counts = vec![0u32; destinations.len()];
        for _ in 0..n {
            let service = split.next(&destinations).unwrap().clone();
            let at = destinations.iter().position(|destination| destination.service == service).unwrap();
            counts[at] += 1;
        }
        for (count, weight) in counts.iter().zip(&weights) {
            let due = f64::from(n) * f64::from(*weight) / f64::from(total);
            prop_assert!((f64::from(*count) - due).abs() <= destinations.len() as f64);
        }
    }

    /// The loss of a host moves only the callers that it had, and there are always enough hosts.
    #[test]
    fn loss_of_an_entry_host_leaves_the_others(count in 2usize..60, gone in 0usize..60, demand in 0.0f64..900.0) {
        let host = |at: usize| entry::Candidate {
            rank: entry::rank(&format!("host-{at}").parse().unwrap()),
            capacity: 20.0 + (at % 5) as f64 * 10.0,
        };
        let all: Vec<_> = (0..count).map(host).collect();
        let ranks = |candidates: &[entry::Candidate]| -> Vec<_> {
            let chosen = entry::choose(candidates, demand);
            chosen.into_iter().map(|at| candidates[at].rank).collect()
        };
        let before = ranks(&all);
        let gone = all[gone % count].rank;
        let rest: Vec<_> = all.iter().filter(|one| one.rank != gone).copied().collect();
        let after = ranks(&rest);
        prop_assert!(before.len() >= entry::MIN_HOSTS.min(count));
        prop_assert!(before.iter().filter(|rank| **rank != gone).all(|rank| after.contains(rank)));
    }
}
