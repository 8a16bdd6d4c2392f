//! The whole path of a request, with real processes.

use chicoryloom_harness::Fleet;
use chicoryloom_harness::Plan;
use chicoryloom_harness::until;
use serde_json::Value;

const ROUTES: &str = "  - { name: all, path: /, repeatable: true }";
const WORKSPACES: &str = "  - { workspace: prairie, rate: 100, burst: 100 }";

#[tokio::test]
async fn request_reaches_a_target_and_foreign_key_does_not() {
    let fleet = Fleet::start(Plan::default()).await.unwrap();
    let text = fleet.document("calendar", ROUTES, WORKSPACES);
    fleet.put_document(0, "calendar", 0, &text).await.unwrap();
    let key = fleet.grant_key(0, "prairie").await.unwrap();
    fleet.in_force(key.version).await;

    let locator = format!("http://{}/chicory/v1/hosts?service=calendar", fleet.hosts[0].caller);
    let hosts: Value = fleet.client().get(locator).send().await.unwrap().json().await.unwrap();
    let host = hosts["hosts"][0]["address"].as_str().unwrap();
    let url = format!("http://{host}/calendar/schedules?day=1");

    // The bucket starts empty, so the first answer may be a refusal.
    until("a request is answered", async || {
        let answer = fleet.client().get(&url).bearer_auth(&key.key).send().await.unwrap();
        answer.status() == 200
    })
    .await;

    let foreign = fleet.client().get(&url).bearer_auth("foreign").send().await.unwrap();
    assert_eq!(foreign.status(), 401);
    assert_eq!(foreign.headers()["chicory-run"], "not-run");

    let runs = fleet.journals().await.unwrap();
    assert_eq!(runs.len(), 1);
    assert_eq!(
        (runs[0].path.as_str(), runs[0].workspace.as_str()),
        ("/schedules?day=1", "prairie")
    );
    let shown = format!("{:?}", runs[0].headers);
    assert!(!shown.contains(&key.key), "the target saw the key");
}
