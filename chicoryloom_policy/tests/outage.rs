//! When missing objects may have lapsed in an outage of the platform.

use std::time::Duration;

use chicoryloom_policy::Moment;
use chicoryloom_policy::outage::Others;
use chicoryloom_policy::outage::Outage;
use chicoryloom_policy::outage::Pulse;
use chicoryloom_policy::outage::is_mass_removal;
use rstest::rstest;

const BEAT: Duration = Duration::from_millis(50);

/// Returns the pulse of a process that is stopped from the 20th to the 70th beat.
fn stopped_pulse() -> Pulse {
    let mut pulse = Pulse::new(Moment::ZERO);
    for beat in (0..20).chain(70..100) {
        pulse.beat(Moment::ZERO.after(BEAT * beat));
    }
    pulse
}

fn at(beat: u32) -> Moment {
    Moment::ZERO.after(BEAT * beat)
}

#[rstest]
#[case::before_and_after(10, 75, true)]
#[case::only_the_stop(30, 70, true)]
#[case::after(75, 99, false)]
#[case::until_now(90, 120, true)]
fn stop_of_the_process_is_noticed(#[case] begun: u32, #[case] now: u32, #[case] stopped: bool) {
    assert_eq!(stopped_pulse().was_stopped(at(begun), at(now)), stopped);
}

#[rstest]
#[case::began_before_the_stop(10, 72, BEAT * 62)]
#[case::began_after_it(80, 82, Duration::from_millis(30))]
fn answer_that_waited_for_a_stopped_process_is_as_old_as_its_call(
    #[case] begun: u32,
    #[case] read: u32,
    #[case] age: Duration,
) {
    let transit = Duration::from_millis(30);
    assert_eq!(stopped_pulse().answer_age(at(begun), transit, at(read)), age);
}

#[test]
fn late_beats_of_a_busy_process_are_no_stop() {
    let mut pulse = Pulse::new(Moment::ZERO);
    for beat in 0..50 {
        pulse.beat(Moment::from_millis(300 * beat));
    }
    assert!(!pulse.was_stopped(Moment::ZERO, Moment::from_millis(300 * 49 + 200)));
}

#[test]
fn call_that_failed_as_the_process_was_stopped_shows_no_outage() {
    let mut outage = Outage::default();
    outage.record_failure(stopped_pulse().was_stopped(at(10), at(75)));
    assert!(!outage.end());
    outage.record_failure(stopped_pulse().was_stopped(at(75), at(99)));
    assert!(outage.end());
    assert!(!outage.end(), "an answer ends the outage");
}

#[rstest]
#[case::outage(true, false, true)]
#[case::host_is_cut_off(false, false, false)]
#[case::link_of_this_host(true, true, false)]
fn objects_lapse_only_where_no_host_is_in_touch(
    #[case] in_touch: bool,
    #[case] any_fresh: bool,
    #[case] may_have_lapsed: bool,
) {
    assert_eq!(Outage::may_have_lapsed(Others { in_touch, any_fresh }), may_have_lapsed);
}

#[rstest]
#[case::most_of_a_service(3, 5, true)]
#[case::half_of_it(5, 10, false)]
#[case::few(2, 2, false)]
fn mass_removal_takes_most_of_a_service(
    #[case] removed: usize,
    #[case] known: usize,
    #[case] is_mass: bool,
) {
    assert_eq!(is_mass_removal(removed, known), is_mass);
}
