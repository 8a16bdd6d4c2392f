//! Hosts that are cut off, one way or both.

use rstest::rstest;

use crate::support::Case;
use crate::support::cut;

#[rstest]
#[case::hears_but_is_not_heard(true, false)]
#[case::is_heard_but_does_not_hear(false, true)]
#[tokio::test]
async fn withdrawal_reaches_a_host_with_one_way(#[case] sends: bool, #[case] receives: bool) {
    let case = Case::start(4).await;
    case.fleet.rules(&cut(&case.fleet, 2, sends, receives)).await.unwrap();
    case.withdraw(0).await;
    case.assert_withdrawn().await;
    // The host comes back knowing of the withdrawal.
    case.fleet.rules(&[]).await.unwrap();
    case.until_fresh(2, true).await;
    case.assert_withdrawn().await;
}

#[tokio::test]
async fn minority_stops_serving_and_says_not_run() {
    let case = Case::start(5).await;
    let mut rules = cut(&case.fleet, 3, true, true);
    rules.extend(cut(&case.fleet, 4, true, true));
    // The two of the minority still hear each other.
    let (a, b) = (case.fleet.hosts[3].source, case.fleet.hosts[4].source);
    rules.retain(|rule| (rule.from, rule.to) != (Some(a), Some(b)));
    rules.retain(|rule| (rule.from, rule.to) != (Some(b), Some(a)));
    case.fleet.rules(&rules).await.unwrap();
    for host in [3, 4] {
        case.until_fresh(host, false).await;
        let answer = case.ask(host, "x").await;
        assert_eq!((answer.status, answer.run.as_str()), (503, "not-run"));
    }
    for host in [0, 1, 2] {
        case.until_answered(host).await;
    }
    case.withdraw(1).await;
    case.assert_withdrawn().await;
}
