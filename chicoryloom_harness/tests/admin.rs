//! The administration API, with real processes.

use chicoryloom_harness::Fleet;
use chicoryloom_harness::Plan;
use chicoryloom_harness::until;
use chicoryloom_standin::platform;
use reqwest::Method;
use reqwest::Response;
use serde_json::Value;
use serde_json::json;

const ROUTES: &str = "  - { name: all, path: / }";
const WORKSPACES: &str = "  - { workspace: prairie, rate: 1, burst: 1 }";

/// Calls the administration API of a host with the operator's token.
async fn call(fleet: &Fleet, host: usize, method: Method, path: &str, body: &str) -> Response {
    let url = format!("http://{}{path}", fleet.hosts[host].admin);
    let request = fleet.client().request(method, url).bearer_auth("operator");
    request.body(body.to_owned()).send().await.unwrap()
}

async fn versioned(
    fleet: &Fleet,
    host: usize,
    method: Method,
    body: &str,
    version: u64,
) -> Response {
    let url = format!("http://{}/v1/documents/calendar", fleet.hosts[host].admin);
    let request = fleet.client().request(method, url).bearer_auth("operator");
    let request = request.header("if-match", format!("\"{version}\""));
    request.body(body.to_owned()).send().await.unwrap()
}

async fn small_fleet(hosts: usize) -> Fleet {
    Fleet::start(Plan { hosts, ..Plan::default() }).await.unwrap()
}

#[tokio::test]
async fn racing_operators_get_one_winner_and_the_newer_version() {
    let fleet = small_fleet(2).await;
    let text = fleet.document("calendar", ROUTES, WORKSPACES);
    let first = fleet.put_document(0, "calendar", 0, &text).await.unwrap();
    for round in 0..5 {
        let current = call(&fleet, 0, Method::GET, "/v1/documents/calendar", "").await;
        let version = current.headers()["etag"].to_str().unwrap().trim_matches('"').to_owned();
        let version = version.parse().unwrap();
        assert!(version >= first);
        let edit = |operator| format!("{text}# round {round} of {operator}\n");
        let (one, other) = (edit("one"), edit("other"));
        let (left, right) = tokio::join!(
            versioned(&fleet, 0, Method::PUT, &one, version),
            versioned(&fleet, 1, Method::PUT, &other, version),
        );
        let (won, lost, value) = match (left.status().as_u16(), right.status().as_u16()) {
            (200, 409) => (left, right, one),
            (409, 200) => (right, left, other),
            statuses => panic!("not one winner: {statuses:?}"),
        };
        let won: Value = won.json().await.unwrap();
        let lost: Value = lost.json().await.unwrap();
        assert_eq!((&lost["version"], &lost["value"]), (&won["version"], &json!(value)));
    }
}

#[tokio::test]
async fn lost_answer_is_no_conflict_with_oneself() {
    let fleet = small_fleet(1).await;
    let text = fleet.document("calendar", ROUTES, WORKSPACES);
    let lossy = platform::Switches { lose_answers: 1, ..platform::Switches::default() };
    fleet.switch_platform(&lossy).await.unwrap();
    let written = call(&fleet, 0, Method::PUT, "/v1/documents/calendar", &text).await;
    assert_eq!(written.status(), 200);
    let read = call(&fleet, 0, Method::GET, "/v1/documents/calendar", "").await;
    assert_eq!(read.headers()["etag"], written.headers()["etag"]);
}

#[tokio::test]
async fn document_is_checked_made_changed_deleted_and_made_again() {
    let fleet = small_fleet(1).await;
    let text = fleet.document("calendar", ROUTES, WORKSPACES);
    let bad = text.replace("rate: 1", "rate: 0");
    for (method, path) in [(Method::POST, "/v1/check"), (Method::PUT, "/v1/documents/calendar")] {
        let refused = call(&fleet, 0, method, path, &bad).await;
        assert_eq!(refused.status(), 422);
        let refused: Value = refused.json().await.unwrap();
        assert_eq!(refused["faults"][0]["field"], "workspaces[0].rate");
    }
    let misnamed = call(&fleet, 0, Method::PUT, "/v1/documents/library", &text).await;
    assert_eq!(misnamed.status(), 422);
    // Hosts write objects of their own kinds, so that only the documents tell.
    for name in ["calendar", "library"] {
        let platform = fleet.platform.address("listen");
        let url = format!("http://{platform}/v1/objects/documents/{name}");
        let object = fleet.client().get(url).send().await.unwrap();
        assert_eq!(object.status(), 404, "a refused edit of {name} was written");
    }

    let unknown = format!("{text}flor: 1\n");
    let checked = call(&fleet, 0, Method::POST, "/v1/check", &unknown).await;
    let checked: Value = checked.json().await.unwrap();
    assert_eq!((&checked["unknown"], &checked["targets"]), (&json!(["flor"]), &json!(2)));

    let version = fleet.put_document(0, "calendar", 0, &text).await.unwrap();
    let blind = call(&fleet, 0, Method::PUT, "/v1/documents/calendar", &text).await;
    assert_eq!(blind.status(), 409, "a document was overwritten blindly");
    let blind = call(&fleet, 0, Method::DELETE, "/v1/documents/calendar", "").await;
    assert_eq!(blind.status(), 428);
    let stale = versioned(&fleet, 0, Method::DELETE, "", version + 1).await;
    assert_eq!(stale.status(), 409);
    let deleted = versioned(&fleet, 0, Method::DELETE, "", version).await;
    assert_eq!(deleted.status(), 200);
    let gone = call(&fleet, 0, Method::GET, "/v1/documents/calendar", "").await;
    assert_eq!(gone.status(), 404);
    until("the document is out of force", async || {
        let status = fleet.status(0).await.unwrap();
        status["documents"] == json!([])
    })
    .await;
    let again = fleet.put_document(0, "calendar", 0, &text).await.unwrap();
    assert!(again > version);
}

#[tokio::test]
async fn keys_are_granted_listed_and_withdrawn_for_good() {
    let fleet = small_fleet(1).await;
    let granted = fleet.grant_key(0, "prairie").await.unwrap();
    let twice = json!({ "workspace": "harbour", "key": granted.key }).to_string();
    let short = json!({ "workspace": "harbour", "key": "short" }).to_string();
    for body in [&twice, &short] {
        let refused = call(&fleet, 0, Method::POST, "/v1/keys", body).await;
        assert_eq!(refused.status(), 422);
        assert!(!refused.text().await.unwrap().contains(&granted.key));
    }
    until("the key is listed", async || {
        let listed = call(&fleet, 0, Method::GET, "/v1/keys?workspace=prairie", "").await;
        let listed: Value = listed.json().await.unwrap();
        let expected =
            json!([{ "digest": granted.digest, "workspace": "prairie", "withdrawn": false }]);
        listed["keys"] == expected
    })
    .await;
    let others = call(&fleet, 0, Method::GET, "/v1/keys?workspace=harbour", "").await;
    assert_eq!(others.json::<Value>().await.unwrap()["keys"], json!([]));
    fleet.withdraw_key(0, &granted.digest).await.unwrap();
    fleet.withdraw_key(0, &granted.digest).await.unwrap();
    let again = json!({ "workspace": "prairie", "key": granted.key }).to_string();
    let refused = call(&fleet, 0, Method::POST, "/v1/keys", &again).await;
    assert_eq!(refused.status(), 422, "a withdrawn key was granted again");
}

#[tokio::test]
async fn calls_without_a_token_and_malformed_ones_are_refused() {
    let fleet = small_fleet(1).await;
    let admin = fleet.hosts[0].admin;
    for (method, path) in [
        (Method::GET, "/v1/documents"),
        (Method::GET, "/v1/documents/calendar"),
        (Method::PUT, "/v1/documents/calendar"),
        (Method::DELETE, "/v1/documents/calendar"),
        (Method::POST, "/v1/check"),
        (Method::GET, "/v1/keys"),
        (Method::POST, "/v1/keys"),
        (Method::DELETE, "/v1/keys/0"),
        (Method::GET, "/v1/status"),
        (Method::GET, "/v1/explain"),
        (Method::GET, "/v1/histograms"),
    ] {
        let url = format!("http://{admin}{path}");
        for token in ["", "operato", "operator2"] {
            let request = fleet.client().request(method.clone(), &url).bearer_auth(token);
            let refused = request.body("{}").send().await.unwrap();
            assert_eq!(refused.status(), 401, "{method} {path}");
        }
    }
    for (method, path, status) in [
        (Method::GET, "/v1/other", 404),
        (Method::PATCH, "/v1/documents/calendar", 405),
        (Method::GET, "/v1/documents/..%2Fx", 422),
        (Method::DELETE, "/v1/keys/zz", 422),
        (Method::POST, "/v1/keys", 422),
    ] {
        let refused = call(&fleet, 0, method, path, "{").await;
        assert_eq!(refused.status(), status, "{path}");
        assert!(refused.json::<Value>().await.unwrap()["detail"].is_string());
    }
}

#[tokio::test]
async fn refusals_and_targets_are_explained() {
    let fleet = small_fleet(1).await;
    let text = fleet.document("calendar", ROUTES, WORKSPACES);
    let leaving = text.replacen("slots: 2", "leaving: true, slots: 2", 1);
    fleet.put_document(0, "calendar", 0, &leaving).await.unwrap();
    let granted = fleet.grant_key(0, "prairie").await.unwrap();
    fleet.in_force(granted.version).await;
    let url = format!("http://{}/calendar/a", fleet.hosts[0].caller);
    until("the workspace is refused past its rate", async || {
        let answer = fleet.client().get(&url).bearer_auth(&granted.key).send().await.unwrap();
        answer.status() == 429
    })
    .await;
    fleet.client().get(&url).bearer_auth("foreign").send().await.unwrap();
    let path = "/v1/explain?service=calendar&workspace=prairie&code=rate";
    let explained = call(&fleet, 0, Method::GET, path, "").await;
    let explained: Value = explained.json().await.unwrap();
    assert_eq!(explained["refusals"].as_array().unwrap().len(), 1);
    assert_eq!(explained["refusals"][0]["code"], "rate");
    let state = &explained["services"][0]["targets"][0]["state"];
    assert!(state.as_str().unwrap().contains("leaving"), "{state}");
    let foreign = call(&fleet, 0, Method::GET, "/v1/explain?code=key", "").await;
    let foreign: Value = foreign.json().await.unwrap();
    assert_eq!(foreign["refusals"][0]["workspace"], Value::Null);
}
