//! A host that is stopped and goes on.

use chicoryloom_harness::Listing;
use chicoryloom_harness::until;
use tokio::task::JoinSet;

use crate::support::Case;
use crate::support::WINDOW;

/// Requests that wait at the stopped host.
const WAITING: usize = 8;

#[tokio::test]
async fn stopped_host_runs_nothing_with_a_withdrawn_key() {
    let case = Case::start(4).await;
    let stopped = &case.fleet.hosts[3];
    stopped.process.pause();
    let mut waiting = JoinSet::new();
    for _ in 0..WAITING {
        let url = format!("http://{}/calendar/waiting", stopped.caller);
        let request = case.fleet.client().get(url).bearer_auth(&case.key.key);
        waiting.spawn(request.send());
    }
    // Others take over while it is stopped.
    case.withdraw(0).await;
    let taken_over = |host| if host < 3 { Listing::Live } else { Listing::Absent };
    case.fleet.list_hosts(taken_over).await.unwrap();
    until("the roster has three hosts", async || case.fleet.status(0).await.unwrap()["hosts"] == 3)
        .await;
    for host in 0..3 {
        case.until_refused(host).await;
    }
    tokio::time::sleep(WINDOW).await;
    let before = case.runs().await;
    stopped.process.resume();
    while let Some(answer) = waiting.join_next().await {
        let answer = answer.unwrap().unwrap();
        assert!(matches!(answer.status().as_u16(), 401 | 503), "{answer:?}");
        assert_eq!(answer.headers()["chicory-run"], "not-run");
    }
    case.assert_withdrawn().await;
    assert_eq!(case.runs().await, before, "a withdrawn key ran after the stop");
}
