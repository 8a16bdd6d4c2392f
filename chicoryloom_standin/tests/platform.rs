//! API of the platform, and the effect of its switches.

use std::net::SocketAddr;
use std::time::Duration;

use chicoryloom_standin::platform::Counts;
use chicoryloom_standin::platform::Platform;
use chicoryloom_standin::platform::Switches;
use reqwest::Client;
use reqwest::Method;
use reqwest::Response;
use serde_json::Value;
use serde_json::json;

const ANY_LOCAL_PORT: SocketAddr =
    SocketAddr::new(std::net::IpAddr::V4(std::net::Ipv4Addr::LOCALHOST), 0);
/// Pause between two checks of a condition.
const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// A platform, and an HTTP client for it.
struct Fixture {
    platform: Platform,
    client: Client,
}

impl Fixture {
    async fn new() -> Self {
        let platform = Platform::start(ANY_LOCAL_PORT).await.unwrap();
        Self { platform, client: Client::builder().no_proxy().build().unwrap() }
    }

    async fn call(&self, method: Method, path: &str, body: &Value) -> Response {
        let url = format!("http://{}/{path}", self.platform.address());
        self.client.request(method, url).json(body).send().await.unwrap()
    }

    async fn get(&self, path: &str) -> Response {
        self.call(Method::GET, path, &Value::Null).await
    }

    async fn put(&self, name: &str, expected: u64, value: &str) -> Response {
        let body = json!({ "expected": expected, "value": value, "write": value });
        self.call(Method::PUT, &format!("v1/objects/documents/{name}"), &body).await
    }

    async fn set_switches(&self, switches: Switches) {
        self.call(Method::PUT, "standin/switches", &json!(switches)).await;
    }

    async fn counts(&self) -> Counts {
        self.get("standin/counts").await.json().await.unwrap()
    }
}

async fn value(response: Response) -> String {
    response.json::<Value>().await.unwrap()["value"].as_str().unwrap().to_owned()
}

#[tokio::test]
async fn conflicting_update_returns_the_current_version() {
    let fixture = Fixture::new().await;
    assert_eq!(fixture.put("a", 0, "one").await.status(), 200);
    let conflict = fixture.put("a", 0, "two").await;
    assert_eq!(conflict.status(), 409);
    assert_eq!(conflict.json::<Value>().await.unwrap(), json!({ "version": 1 }));
    let body = json!({ "expected": 1, "value": "", "write": "w" });
    let deleted = fixture.call(Method::DELETE, "v1/objects/documents/a", &body).await;
    assert_eq!(deleted.status(), 200);
    let object: Value = fixture.get("v1/objects/documents/a").await.json().await.unwrap();
    assert_eq!((&object["deleted"], &object["version"]), (&json!(true), &json!(2)));
}

#[tokio::test]
async fn platform_that_is_down_refuses_and_counts() {
    let fixture = Fixture::new().await;
    fixture.set_switches(Switches { down: true, ..Switches::default() }).await;
    assert_eq!(fixture.put("a", 0, "one").await.status(), 503);
    assert_eq!(fixture.get("v1/changes?since=0").await.status(), 503);
    let counts = fixture.counts().await;
    assert_eq!((counts.down, counts.writes, counts.reads), (2, 0, 0));
}

#[tokio::test]
async fn write_takes_effect_when_its_answer_is_lost() {
    let fixture = Fixture::new().await;
    fixture.set_switches(Switches { lose_answers: 1, ..Switches::default() }).await;
    let url = format!("http://{}/v1/objects/documents/a", fixture.platform.address());
    let body = json!({ "expected": 0, "value": "one", "write": "w" });
    let lost = fixture.client.put(url).json(&body).timeout(Duration::from_millis(300)).send().await;
    assert!(lost.is_err());
    assert_eq!(value(fixture.get("v1/objects/documents/a").await).await, "one");
    assert_eq!(fixture.put("a", 1, "two").await.status(), 200, "more than one response was lost");
}

#[tokio::test]
async fn stale_platform_serves_old_reads_and_accepts_writes() {
    let fixture = Fixture::new().await;
    fixture.put("a", 0, "one").await;
    fixture.set_switches(Switches { stale: true, ..Switches::default() }).await;
    assert_eq!(fixture.put("a", 1, "two").await.status(), 200);
    assert_eq!(value(fixture.get("v1/objects/documents/a").await).await, "one");
    let changes: Value = fixture.get("v1/changes?since=0").await.json().await.unwrap();
    assert_eq!(changes["revision"], 1);
    fixture.set_switches(Switches::default()).await;
    assert_eq!(value(fixture.get("v1/objects/documents/a").await).await, "two");
}

#[tokio::test]
async fn calls_past_the_limits_are_refused() {
    let fixture = Fixture::new().await;
    fixture.set_switches(Switches { writes_per_s: 2, reads_per_s: 3, ..Switches::default() }).await;
    let mut refused = 0;
    for index in 0..20 {
        let written = fixture.put(&format!("o{index}"), 0, "v").await;
        refused += u64::from(written.status() == 429);
    }
    assert!(refused > 0);
    assert_eq!(fixture.counts().await.limited, refused);
    let mut read = 0;
    while fixture.get("v1/changes?since=0").await.status() == 200 {
        read += 1;
    }
    assert!(read <= 6, "{read} reads in at most two windows of three");
}

#[tokio::test]
async fn waiting_watch_returns_on_a_change_and_counts_once() {
    let fixture = Fixture::new().await;
    let (changes, written) = tokio::join!(fixture.get("v1/changes?since=0&wait_ms=60000"), async {
        while fixture.counts().await.watches == 0 {
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        fixture.put("a", 0, "one").await
    });
    assert_eq!(written.status(), 200);
    assert_eq!(changes.json::<Value>().await.unwrap()["revision"], 1);
    let counts = fixture.counts().await;
    assert_eq!((counts.watches, counts.reads, counts.writes), (1, 0, 1));
}

#[tokio::test]
async fn host_list_lags() {
    let fixture = Fixture::new().await;
    let host = json!({
        "name": "host-1", "peer": "127.0.0.1:1", "caller": "127.0.0.1:2", "data_centre": "regina",
    });
    fixture.call(Method::PUT, "standin/hosts", &json!({ "hosts": [] })).await;
    fixture.set_switches(Switches { hosts_lag_ms: 300, ..Switches::default() }).await;
    fixture.call(Method::PUT, "standin/hosts", &json!({ "hosts": [host] })).await;
    let listed = async || {
        let hosts: Value = fixture.get("v1/hosts").await.json().await.unwrap();
        hosts["hosts"].as_array().unwrap().len()
    };
    assert_eq!(listed().await, 0);
    while listed().await == 0 {
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

#[tokio::test]
async fn restored_platform_goes_back_to_the_saved_state() {
    let fixture = Fixture::new().await;
    fixture.put("a", 0, "one").await;
    fixture.call(Method::POST, "standin/save", &Value::Null).await;
    fixture.put("a", 1, "two").await;
    fixture.call(Method::POST, "standin/restore", &Value::Null).await;
    assert_eq!(value(fixture.get("v1/objects/documents/a").await).await, "one");
}
