//! A platform that is away, or comes back older.

use crate::support::Case;
use crate::support::WINDOW;
use chicoryloom_harness::until;
use serde_json::Value;

#[tokio::test]
async fn keys_work_and_a_host_is_replaced_while_the_platform_is_down() {
    let mut case = Case::start(4).await;
    case.platform_down(true).await;
    tokio::time::sleep(WINDOW * 3).await;
    for host in 0..4 {
        case.until_answered(host).await;
    }
    case.fleet.hosts[2].process.kill().await;
    case.fleet.restart_host(2).await.unwrap();
    case.until_fresh(2, true).await;
    until("the new host serves an open route", async || case.ask(2, "hours").await.status == 200)
        .await;
    assert_ne!(case.ask(2, "x").await.status, 401, "the new host lacks the key");
    // The others send callers to its new address, though the roster stands still.
    let caller = case.fleet.hosts[2].caller.to_string();
    until("the locator names the new address", async || {
        let url =
            format!("http://{}/chicory/v1/hosts?service=calendar", case.fleet.hosts[0].caller);
        let answer = case.fleet.client().get(url).send().await.unwrap();
        let hosts: Value = answer.json().await.unwrap();
        hosts["hosts"].as_array().unwrap().iter().any(|host| host["address"] == caller)
    })
    .await;
    assert_eq!(case.fleet.platform_counts().await.unwrap().writes, writes(&case).await);
}

/// Returns the writes of the platform, which must stand still while it is down.
async fn writes(case: &Case) -> u64 {
    tokio::time::sleep(WINDOW).await;
    case.fleet.platform_counts().await.unwrap().writes
}

impl Case {
    /// Returns the version of the key's object at the platform.
    async fn key_version(&self) -> u64 {
        let platform = self.fleet.platform.address("listen");
        let url = format!("http://{platform}/v1/objects/keys/{}", self.key.digest);
        let object: Value =
            self.fleet.client().get(url).send().await.unwrap().json().await.unwrap();
        object["version"].as_u64().unwrap()
    }
}

#[tokio::test]
async fn host_that_finds_nobody_serves_nothing() {
    let mut case = Case::start(2).await;
    case.platform_down(true).await;
    for host in 0..2 {
        case.fleet.hosts[host].process.kill().await;
    }
    case.fleet.restart_host(0).await.unwrap();
    tokio::time::sleep(WINDOW * 2).await;
    let answer = case.ask(0, "hours").await;
    assert_eq!((answer.status, answer.run.as_str()), (503, "not-run"));
    assert_eq!(case.fleet.status(0).await.unwrap()["fresh"], false);
    // The platform comes back, and so does the host.
    case.platform_down(false).await;
    case.until_fresh(0, true).await;
}

#[tokio::test]
async fn restored_platform_does_not_take_the_fleet_back() {
    let mut case = Case::start(4).await;
    case.platform_post("save").await;
    case.withdraw(0).await;
    case.assert_withdrawn().await;
    // What was not accepted yet may be lost with the platform.
    until("the withdrawal is accepted", async || {
        let accepted = case.state(0).await["accepted"].as_u64();
        accepted >= Some(case.key_version().await)
    })
    .await;
    case.platform_post("restore").await;
    until("the status reports it", async || {
        let states = [case.state(0).await, case.state(1).await, case.state(2).await];
        states.iter().any(|state| state["platform_reverted"].is_u64())
    })
    .await;
    case.assert_withdrawn().await;
    // A host that starts now finds the older state at the platform.
    case.fleet.hosts[3].process.kill().await;
    case.fleet.restart_host(3).await.unwrap();
    case.until_fresh(3, true).await;
    case.assert_withdrawn().await;
}
