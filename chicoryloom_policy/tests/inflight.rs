//! Sums of requests in flight, checked against the reports that they are made of.

use std::collections::HashMap;
use std::time::Duration;

use chicoryloom_policy::Moment;
use chicoryloom_policy::id;
use chicoryloom_policy::inflight::InFlight;
use chicoryloom_policy::inflight::REPORT_MAX_AGE;
use proptest::prelude::*;

const TARGETS: u8 = 4;
const HOSTS: u8 = 3;

fn target(number: u8) -> id::Instance {
    format!("i-{number}").parse().unwrap()
}

fn host(number: u8) -> id::Host {
    format!("host-{number}").parse().unwrap()
}

#[derive(Clone, Debug)]
enum Step {
    Begin(u8),
    End(u8),
    Report { from: u8, sequence: u64, loads: Vec<(u8, u32)> },
    Forget(u8),
    Pass(u64),
}

fn step() -> impl Strategy<Value = Step> {
    let loads = prop::collection::vec((0..TARGETS, 0..4u32), 0..4);
    prop_oneof![
        (0..TARGETS).prop_map(Step::Begin),
        (0..TARGETS).prop_map(Step::End),
        (0..HOSTS, 0..20u64, loads).prop_map(|(from, sequence, loads)| Step::Report {
            from,
            sequence,
            loads
        }),
        (0..HOSTS).prop_map(Step::Forget),
        (1..4000u64).prop_map(Step::Pass),
    ]
}

/// The latest report of a host, as a list.
struct Known {
    sequence: u64,
    received: Moment,
    loads: Vec<(u8, u32)>,
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(10_000))]

    #[test]
    fn total_is_the_sum_of_own_requests_and_of_the_latest_reports(
        steps in prop::collection::vec(step(), 1..40),
    ) {
        let mut now = Moment::from_millis(1);
        let mut in_flight = InFlight::default();
        let mut own: HashMap<u8, u32> = HashMap::new();
        let mut known: HashMap<u8, Known> = HashMap::new();
        for step in steps {
            match step {
                Step::Begin(number) => {
                    in_flight.begin(&target(number));
                    *own.entry(number).or_default() += 1;
                }
                Step::End(number) => {
                    in_flight.end(&target(number));
                    let count = own.entry(number).or_default();
                    *count = count.saturating_sub(1);
                }
                Step::Report { from, sequence, loads } => {
                    let listed = loads.iter().map(|(number, count)| (target(*number), *count));
                    let incarnation = id::Incarnation(1);
                    let applied =
                        in_flight.report(&host(from), incarnation, sequence, listed, now);
                    let is_new = known.get(&from).is_none_or(|one| one.sequence < sequence);
                    prop_assert_eq!(applied, is_new);
                    if is_new {
                        known.insert(from, Known { sequence, received: now, loads });
                    }
                }
                Step::Forget(from) => {
                    in_flight.forget(&host(from));
                    known.remove(&from);
                }
                Step::Pass(millis) => {
                    now = now.after(Duration::from_millis(millis));
                    in_flight.expire(now);
                    known.retain(|_, one| now.since(one.received) < REPORT_MAX_AGE);
                }
            }
            for number in 0..TARGETS {
                let reported = known.values().flat_map(|one| &one.loads);
                let reported: u32 =
                    reported.filter(|(of, _)| *of == number).map(|(_, count)| count).sum();
                let expected = own.get(&number).copied().unwrap_or_default() + reported;
                prop_assert_eq!(in_flight.total(&target(number)), expected);
            }
            let listed = in_flight.own().map(|(_, count)| count).sum::<u32>();
            prop_assert_eq!(listed, own.values().sum::<u32>());
        }
    }
}

/// A host that restarted counts its reports anew.
#[test]
fn report_of_a_new_incarnation_replaces_that_of_the_old_one() {
    let now = Moment::from_millis(1);
    let mut in_flight = InFlight::default();
    let one = [(target(0), 3)];
    assert!(in_flight.report(&host(0), id::Incarnation(1), 90, one.clone(), now));
    assert!(!in_flight.report(&host(0), id::Incarnation(1), 89, [], now));
    assert!(in_flight.report(&host(0), id::Incarnation(2), 1, [(target(1), 1)], now));
    assert_eq!((in_flight.total(&target(0)), in_flight.total(&target(1))), (0, 1));
}
