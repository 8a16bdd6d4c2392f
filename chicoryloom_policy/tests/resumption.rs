//! When a host may decide by its copy after a stop of its process.

use std::time::Duration;

use chicoryloom_policy::Moment;
use chicoryloom_policy::resumption::Evidence;
use chicoryloom_policy::resumption::Failures;
use chicoryloom_policy::takeover::MAX_FRESH_AGE;
use rstest::rstest;

fn at(millis: u64) -> Moment {
    Moment::from_millis(millis)
}

fn evidence(confirmed: Option<u64>, vouched: Option<u64>) -> Evidence {
    Evidence { confirmed: confirmed.map(at), vouched: vouched.map(at) }
}

/// The process goes on at 10 s, and the question is asked at 10.1 s.
#[rstest]
#[case::never_confirmed(None, None, false)]
#[case::confirmed_long_before(Some(6_000), None, false)]
#[case::confirmed_lately(Some(9_000), None, true)]
#[case::confirmed_since(Some(10_000), None, true)]
#[case::vouched_before(Some(6_000), Some(9_999), false)]
#[case::vouched_since(Some(6_000), Some(10_000), true)]
fn copy_counts_after_a_stop_once_it_is_checked(
    #[case] confirmed: Option<u64>,
    #[case] vouched: Option<u64>,
    #[case] suffices: bool,
) {
    assert_eq!(evidence(confirmed, vouched).suffices(Some(at(10_000)), at(10_100)), suffices);
}

/// A host that was never stopped, or was checked since, goes on while the platform is away.
#[rstest]
#[case::never_stopped(Some(1_000), None, None)]
#[case::confirmed_since(Some(10_000), None, Some(10_000))]
#[case::vouched_since(Some(1_000), Some(10_000), Some(10_000))]
fn copy_of_any_age_counts_without_a_stop_since(
    #[case] confirmed: Option<u64>,
    #[case] vouched: Option<u64>,
    #[case] resumed: Option<u64>,
) {
    let evidence = evidence(confirmed, vouched);
    assert!(evidence.suffices(resumed.map(at), at(600_000)));
    assert!(!evidence.is_unchecked(resumed.map(at)));
}

#[test]
fn recent_copy_stops_counting_if_nothing_confirms_it() {
    let evidence = evidence(Some(9_000), None);
    let last = at(9_000).after(MAX_FRESH_AGE);
    assert!(evidence.suffices(Some(at(10_000)), last.before(Duration::from_millis(1))));
    assert!(!evidence.suffices(Some(at(10_000)), last));
    assert!(evidence.is_unchecked(Some(at(10_000))));
}

#[test]
fn each_stop_needs_a_check_of_its_own() {
    let mut evidence = Evidence::default();
    evidence.confirm(at(10_000));
    evidence.vouch(at(10_500));
    assert!(evidence.suffices(Some(at(10_000)), at(20_000)));
    assert!(!evidence.suffices(Some(at(15_000)), at(20_000)));
}

#[test]
fn platform_is_out_of_reach_after_several_failures_since_the_stop() {
    let resumed = Some(at(10_000));
    let mut failures = Failures::default();
    assert!(!failures.record(at(9_900), resumed), "the call began before the stop ended");
    assert!(!failures.record(at(10_000), resumed));
    assert!(!failures.record(at(10_100), resumed));
    assert!(failures.record(at(10_300), resumed));
    failures.reset();
    assert!(!failures.record(at(10_400), resumed), "an answer came in between");
    for begun in [10_500, 10_600, 10_700] {
        failures.record(at(begun), resumed);
    }
    assert!(!failures.record(at(20_000), Some(at(20_000))), "the process was stopped again");
}
