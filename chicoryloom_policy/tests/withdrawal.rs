//! Targets that ask for no more requests, and the callers that are refused meanwhile.

use std::time::Duration;

use chicoryloom_policy::Moment;
use chicoryloom_policy::withdrawal::Availability;
use chicoryloom_policy::withdrawal::InvalidPause;
use chicoryloom_policy::withdrawal::MAX_PAUSE;
use chicoryloom_policy::withdrawal::Pause;
use chicoryloom_policy::withdrawal::Process;
use chicoryloom_policy::withdrawal::Withdrawals;
use chicoryloom_policy::withdrawal::earliest;
use rand::SeedableRng;
use rand::rngs::StdRng;
use rstest::rstest;

const START: Moment = Moment::from_millis(1000);

fn process(name: &str, born: u64) -> Process {
    Process { instance: name.parse().unwrap(), born }
}

fn after(millis: u64) -> Moment {
    START.after(Duration::from_millis(millis))
}

#[rstest]
#[case("2", Ok(2.0))]
#[case(" 0.25 ", Ok(0.25))]
#[case("31536000", Ok(MAX_PAUSE.as_secs_f64()))]
#[case("1e300", Ok(MAX_PAUSE.as_secs_f64()))]
#[case("0", Err(InvalidPause::NotPositive))]
#[case("-4", Err(InvalidPause::NotPositive))]
#[case("soon", Err(InvalidPause::NotSeconds))]
#[case("", Err(InvalidPause::NotSeconds))]
#[case("NaN", Err(InvalidPause::NotSeconds))]
#[case("inf", Err(InvalidPause::NotSeconds))]
#[case("Fri, 04 Dec 2026 09:00:00 GMT", Err(InvalidPause::NotSeconds))]
fn pause_is_parsed_and_bounded(#[case] text: &str, #[case] seconds: Result<f64, InvalidPause>) {
    let pause = text.parse::<Pause>().map(|pause| pause.get().as_secs_f64());
    assert_eq!(pause, seconds);
}

#[test]
fn target_takes_requests_again_at_the_end_of_its_latest_pause() {
    let mut withdrawals = Withdrawals::default();
    let one = process("i-1", 7);
    let pause = |seconds| Pause::new(Duration::from_secs(seconds)).unwrap();
    assert_eq!(withdrawals.pause(one.clone(), pause(4), START), Some(after(4000)));
    // A shorter pause asked for by another answer on its way doesn't end the longer one.
    assert_eq!(withdrawals.pause(one.clone(), pause(1), after(100)), None);
    assert_eq!(withdrawals.availability(&one, after(3999)), Availability::From(after(4000)));
    assert_eq!(withdrawals.availability(&one, after(4000)), Availability::Now);
    withdrawals.sweep(after(4000));
    assert_eq!(withdrawals.counts(after(4000)), (0, 0));
}

#[test]
fn leaving_holds_for_one_process_only() {
    let mut withdrawals = Withdrawals::default();
    assert!(withdrawals.leave(process("i-1", 7), START));
    assert!(!withdrawals.leave(process("i-1", 7), after(10)));
    withdrawals.sweep(after(60_000));
    assert_eq!(withdrawals.availability(&process("i-1", 7), after(60_000)), Availability::Never);
    assert_eq!(withdrawals.availability(&process("i-1", 8), after(60_000)), Availability::Now);
}

#[rstest]
#[case::none(&[], Availability::Never)]
#[case::all_leave(&[Availability::Never, Availability::Never], Availability::Never)]
#[case::first_pause_to_end(
    &[Availability::From(after(300)), Availability::Never, Availability::From(after(200))],
    Availability::From(after(200))
)]
#[case::one_is_left(&[Availability::From(after(300)), Availability::Now], Availability::Now)]
fn service_is_available_with_its_first_target(
    #[case] targets: &[Availability],
    #[case] expected: Availability,
) {
    assert_eq!(earliest(targets.iter().copied()), expected);
}

#[test]
fn only_capacity_that_returns_after_the_deadline_refuses_a_request() {
    assert!(!Availability::Now.is_after(START));
    assert!(!Availability::From(after(500)).is_after(after(500)));
    assert!(Availability::From(after(501)).is_after(after(500)));
    assert!(Availability::Never.is_after(after(500)));
}

/// A service whose targets all pause refuses its callers, who come back by themselves. They find
/// capacity again, and in no tenth of a second do more than a quarter of them come back.
#[rstest]
#[case::short_pause(800)]
#[case::long_pause(4000)]
fn callers_come_back_spread_over_time_when_capacity_is_back(#[case] pause_ms: u64) {
    const CALLERS: usize = 400;
    let mut rng = StdRng::seed_from_u64(20_261_204);
    let returns = Availability::From(after(pause_ms));
    let mut by_tenth = std::collections::BTreeMap::<u128, usize>::new();
    for caller in 0..CALLERS {
        // Callers are refused all through the pause.
        let asked = after(caller as u64 * pause_ms / CALLERS as u64);
        let back = asked.after(returns.retry_after(asked, &mut rng));
        assert!(back >= after(pause_ms), "came back before the end of the pause");
        *by_tenth.entry(back.since(START).as_millis() / 100).or_default() += 1;
    }
    let most = by_tenth.values().max().copied().unwrap_or_default();
    assert!(most <= CALLERS / 4, "{most} of {CALLERS} callers came back within 100 ms");
}
