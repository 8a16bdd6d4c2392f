//! Requests that wait across a withdrawal, at a stopped host or for a slot.

use chicoryloom_harness::Fleet;
use chicoryloom_harness::Listing;
use chicoryloom_harness::Plan;
use chicoryloom_harness::until;
use chicoryloom_standin::target::Switches;
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
    // Until then, the host may answer rightly, as the key is still in force.
    until("all threads are stopped", async || stopped.process.is_paused()).await;
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

/// A request that was admitted before the withdrawal and waits for a slot must not run after it.
#[tokio::test]
async fn request_that_waits_for_a_slot_does_not_run_with_a_withdrawn_key() {
    let slow = Switches { slots: 1, service_ms: 4000, ..Switches::default() };
    let plan = Plan { hosts: 1, targets: vec![slow], ..Plan::default() };
    let fleet = Fleet::start(plan).await.unwrap();
    let routes = "  - { name: all, path: /, deadline_ms: 60000 }";
    let workspaces = "  - { workspace: prairie, rate: 1000, burst: 1000 }";
    let text = fleet.document("calendar", routes, workspaces);
    fleet.put_document(0, "calendar", 0, &text).await.unwrap();
    let key = fleet.grant_key(0, "prairie").await.unwrap();
    fleet.in_force(key.version).await;
    let url = |path: &str| format!("http://{}/calendar/{path}", fleet.hosts[0].caller);
    let get = |path: &str| fleet.client().get(url(path)).bearer_auth(&key.key).send();
    until("the host admits", async || get("ready").await.unwrap().status() == 200).await;

    let mut asked = JoinSet::new();
    for n in 0..WAITING {
        asked.spawn(get(&format!("seat-{n}")));
    }
    let gauge = format!("}} {WAITING}");
    until("all requests are at the host", async || {
        let metrics = fleet.metrics(0).await.unwrap();
        metrics.lines().any(|line| line.starts_with("chicory_in_flight") && line.ends_with(&gauge))
    })
    .await;
    let before = fleet.journal(0).await.unwrap().len();
    fleet.withdraw_key(0, &key.digest).await.unwrap();
    until("the key is refused", async || get("late").await.unwrap().status() == 401).await;
    let sent = fleet.journal(0).await.unwrap().len();
    let mut withdrawn = 0;
    while let Some(answer) = asked.join_next().await {
        let answer = answer.unwrap().unwrap();
        if answer.status() == 401 {
            assert_eq!(answer.headers()["chicory-run"], "not-run");
            withdrawn += 1;
        }
    }
    assert!(before < 1 + WAITING, "no request waited");
    assert!(withdrawn > 0, "no waiting request was refused");
    assert_eq!(fleet.journal(0).await.unwrap().len(), sent, "a withdrawn key ran");
}
