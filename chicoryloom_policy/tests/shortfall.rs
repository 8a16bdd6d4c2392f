//! Services that fall short of their requests.

use chicoryloom_policy::Moment;
use chicoryloom_policy::shortfall::Shortfall;
use rstest::rstest;

/// 50 requests a second for two seconds, of which one in `nth` is not served; one later outcome is
/// not needed.
fn played(nth: u64) -> Shortfall {
    let mut shortfall = Shortfall::default();
    for at in 0..100 {
        shortfall.record(at % nth != 0, Moment::from_millis(at * 20));
    }
    shortfall
}

#[rstest]
#[case::a_hundredth(100, false)]
#[case::a_twentieth(20, false)]
#[case::a_fifth(5, true)]
#[case::half(2, true)]
fn service_is_short_while_a_tenth_is_not_served(#[case] nth: u64, #[case] is_short: bool) {
    assert_eq!(played(nth).is_short(Moment::from_millis(2000)), is_short);
}

#[test]
fn service_is_not_short_without_requests_or_some_time_after() {
    assert!(!Shortfall::default().is_short(Moment::from_millis(5000)));
    assert!(!played(2).is_short(Moment::from_millis(7000)));
    let mut served = played(2);
    for at in 100..250 {
        served.record(true, Moment::from_millis(at * 20));
    }
    assert!(!served.is_short(Moment::from_millis(5000)));
}
