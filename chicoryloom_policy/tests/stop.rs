//! Stages of a graceful shutdown, for any grace period, time-out and moment of a request.

use std::time::Duration;

use chicoryloom_policy::Moment;
use chicoryloom_policy::stop::Demand;
use chicoryloom_policy::stop::Length;
use chicoryloom_policy::stop::Others;
use chicoryloom_policy::stop::Schedule;
use proptest::prelude::*;
use rstest::rstest;

/// Time in which callers learn that a host stops.
const NOTICE: Duration = Duration::from_secs(3);
const BEGUN: Moment = Moment::from_millis(100_000);

fn schedule(grace: Duration) -> Schedule {
    Schedule::new(BEGUN, grace, NOTICE)
}

/// Returns when targets are told to answer at the latest.
fn answers_due(schedule: &Schedule) -> Moment {
    schedule.target_deadline(Moment::from_millis(u64::MAX / 2))
}

fn demand(deadline: Moment, usual_ms: u64) -> Demand {
    let usual = Duration::from_millis(usual_ms);
    Demand { deadline, usual, is_repeatable: true, is_long: false }
}

const ALONE: Others = Others { taking: 0, gone: 0 };

proptest! {
    /// A host took requests late in its grace period that it then cut at its exit.
    #[test]
    fn request_taken_in_a_stop_ends_before_the_exit(
        grace_ms in 1_u64..120_000,
        timeout_ms in 0_u64..60_000,
        usual_ms in 0_u64..60_000,
        at_ms in 0_u64..120_000,
    ) {
        let grace = Duration::from_millis(grace_ms);
        let schedule = schedule(grace);
        let now = BEGUN.after(Duration::from_millis(at_ms));
        let demand = demand(now.after(Duration::from_millis(timeout_ms)), usual_ms);
        if now < schedule.latest_start(demand, ALONE) {
            let ends_in_time = demand.deadline <= answers_due(&schedule);
            let ends_usually = now.after(demand.usual) <= answers_due(&schedule);
            let is_handover = now.since(BEGUN) <= NOTICE.min(grace / 2);
            prop_assert!(ends_in_time || (ends_usually && is_handover));
        }
    }

    /// A target's answer that came after answers were due, and before connections were closed, was
    /// not waited for.
    #[test]
    fn request_at_a_target_is_left_to_end(grace_ms in 50_u64..120_000, timeout_ms in 0_u64..240_000) {
        let schedule = schedule(Duration::from_millis(grace_ms));
        let deadline = BEGUN.after(Duration::from_millis(timeout_ms));
        prop_assert!(schedule.target_deadline(deadline) <= schedule.give_up(deadline));
        prop_assert!(schedule.target_deadline(BEGUN.after(Duration::from_secs(240))) < schedule.close());
        prop_assert_eq!(schedule.give_up(deadline), deadline.min(schedule.close()));
    }

    #[test]
    fn stages_follow_each_other_within_any_grace_period(grace_ms in 0_u64..600_000) {
        let grace = Duration::from_millis(grace_ms);
        let schedule = schedule(grace);
        prop_assert!(BEGUN <= answers_due(&schedule));
        prop_assert!(answers_due(&schedule) <= schedule.close());
        prop_assert!(schedule.earliest_exit() <= schedule.close());
        prop_assert!(schedule.close() <= schedule.exit());
        prop_assert!(schedule.exit() <= BEGUN.after(grace));
    }

    /// A request that can be finished by its own deadline is not refused, however late it comes.
    #[test]
    fn request_whose_deadline_comes_first_is_taken(grace_ms in 100_u64..120_000, usual_ms in 0_u64..60_000) {
        let schedule = schedule(Duration::from_millis(grace_ms));
        let demand = demand(answers_due(&schedule), usual_ms);
        prop_assert!(schedule.latest_start(demand, ALONE) == answers_due(&schedule));
    }
}

/// Time-outs of 6 s and 12 s with a grace period of 6 s: callers that can't know of the stop yet are
/// served, the others are refused.
#[rstest]
#[case::first(100, 12_000, 1_500, true)]
#[case::before_callers_know(2_900, 12_000, 1_500, true)]
#[case::after_callers_know(3_100, 6_000, 1_500, false)]
#[case::too_slow_for_the_rest(2_000, 6_000, 4_000, false)]
#[case::short_time_out(4_500, 900, 300, true)]
#[case::late(5_400, 900, 30, false)]
fn request_is_taken_if_it_can_be_finished(
    #[case] at_ms: u64,
    #[case] timeout_ms: u64,
    #[case] usual_ms: u64,
    #[case] is_taken: bool,
) {
    let now = BEGUN.after(Duration::from_millis(at_ms));
    let demand = demand(now.after(Duration::from_millis(timeout_ms)), usual_ms);
    let schedule = schedule(Duration::from_secs(6));
    assert_eq!(now < schedule.latest_start(demand, ALONE), is_taken);
}

#[test]
fn last_host_asks_callers_to_return_after_its_exit() {
    let schedule = schedule(Duration::from_secs(6));
    let now = BEGUN.after(Duration::from_secs(4));
    let few = Others { taking: 1, gone: 9 };
    assert_eq!(schedule.retry_after(now, few), Duration::ZERO);
    assert_eq!(now.after(schedule.retry_after(now, ALONE)), schedule.exit());
}

/// A long response was remembered, although shorter ones followed.
#[test]
fn route_is_long_for_a_while_after_a_long_response() {
    let mut length = Length::default();
    assert!(!length.is_long(), "nothing is known");
    length.record(100_000);
    assert!(!length.is_long());
    length.record(10_000_000);
    for _ in 0..100 {
        length.record(1_000);
    }
    assert!(length.is_long());
    for _ in 0..1000 {
        length.record(1_000);
    }
    assert!(!length.is_long());
}

/// A request that runs once was taken by its service's usual speed, and its outcome was unknown when
/// its target hung.
#[rstest]
#[case::others_take_it(Others { taking: 31, gone: 0 }, false)]
#[case::few_left(Others { taking: 4, gone: 27 }, true)]
#[case::last_host(ALONE, true)]
fn request_is_risked_only_if_no_other_host_is_found(
    #[case] others: Others,
    #[case] is_taken: bool,
) {
    let now = BEGUN.after(Duration::from_millis(100));
    let usual = demand(now.after(Duration::from_secs(12)), 1_500);
    let schedule = schedule(Duration::from_secs(6));
    // A long response of a slow reader was cut at the exit.
    for demand in [Demand { is_repeatable: false, ..usual }, Demand { is_long: true, ..usual }] {
        assert_eq!(now < schedule.latest_start(demand, others), is_taken);
        let short = Demand { deadline: now.after(Duration::from_secs(4)), ..demand };
        assert!(now < schedule.latest_start(short, others), "one that can be finished is taken");
    }
}
