//! Capacity and faults of a target, as its switches set them.

use std::net::SocketAddr;
use std::time::Duration;

use chicoryloom_standin::target::Counts;
use chicoryloom_standin::target::Health;
use chicoryloom_standin::target::Load;
use chicoryloom_standin::target::Outcome;
use chicoryloom_standin::target::Run;
use chicoryloom_standin::target::Switches;
use chicoryloom_standin::target::Target;
use reqwest::Client;
use reqwest::RequestBuilder;
use reqwest::Response;
use rstest::rstest;
use serde::de::DeserializeOwned;
use serde_json::Value;

const ANY_LOCAL_PORT: SocketAddr =
    SocketAddr::new(std::net::IpAddr::V4(std::net::Ipv4Addr::LOCALHOST), 0);
/// Processing time long enough that no test sees it end, in milliseconds.
const LONG_MS: u64 = 3_600_000;
/// Pause between two checks of a condition.
const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// A target, and an HTTP client for it.
struct Fixture {
    target: Target,
    client: Client,
}

impl Fixture {
    async fn new(switches: Switches) -> Self {
        let target = Target::start(ANY_LOCAL_PORT, ANY_LOCAL_PORT, switches).await.unwrap();
        Self { target, client: Client::builder().no_proxy().build().unwrap() }
    }

    fn get(&self, path: &str) -> RequestBuilder {
        self.client.get(format!("http://{}{path}", self.target.address()))
    }

    async fn answer(&self, path: &str) -> Response {
        self.get(path).send().await.unwrap()
    }

    async fn control<T: DeserializeOwned>(&self, path: &str) -> T {
        let url = format!("http://{}/standin/{path}", self.target.control());
        self.client.get(url).send().await.unwrap().json().await.unwrap()
    }

    async fn set_switches(&self, switches: &Switches) {
        let url = format!("http://{}/standin/switches", self.target.control());
        self.client.put(url).json(switches).send().await.unwrap();
    }

    async fn runs(&self) -> Vec<Run> {
        self.control("journal").await
    }

    async fn wait_until<F: Fn(&[Run]) -> bool>(&self, condition: F) {
        while !condition(&self.runs().await) {
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }

    /// Sends a request in a background task and ignores its response.
    fn send_in_background(&self, path: &str) -> tokio::task::JoinHandle<()> {
        let request = self.get(path);
        tokio::spawn(async move {
            let _ = request.send().await;
        })
    }
}

fn quick() -> Switches {
    Switches { service_ms: 0, ..Switches::default() }
}

#[tokio::test]
async fn queue_is_bounded() {
    let switches = Switches { slots: 1, queue: 2, service_ms: LONG_MS, ..Switches::default() };
    let fixture = Fixture::new(switches).await;
    let left: Vec<_> =
        (0..3).map(|index| fixture.send_in_background(&format!("/left/{index}"))).collect();
    fixture.wait_until(|runs| runs.len() == 3).await;
    // The last of the three requests may not have entered the queue yet.
    let shed = loop {
        let answer = fixture.get("/more").timeout(Duration::from_millis(200)).send().await;
        if let Ok(answer) = answer {
            break answer;
        }
    };
    assert_eq!(shed.status(), 503);
    assert_eq!(shed.headers()["chicory-not-run"], "1");
    for task in left {
        task.abort();
    }
    fixture.wait_until(|runs| runs[..3].iter().all(|run| run.outcome == Outcome::Cancelled)).await;
}

#[tokio::test]
async fn request_that_cannot_meet_its_deadline_is_shed_at_once() {
    let switches = Switches { service_ms: LONG_MS, ..Switches::default() };
    let fixture = Fixture::new(switches.clone()).await;
    let refused = fixture.get("/a").header("chicory-deadline-ms", "100").send().await.unwrap();
    assert_eq!(refused.status(), 503);
    assert_eq!(refused.headers()["chicory-not-run"], "1");
    assert_eq!(fixture.runs().await[0].outcome, Outcome::Shed);
    fixture.set_switches(&Switches { deadlines: false, ..switches }).await;
    let kept = fixture.get("/b").header("chicory-deadline-ms", "100");
    assert!(kept.timeout(Duration::from_millis(300)).send().await.is_err());
}

#[tokio::test]
async fn cancelled_run_is_marked() {
    let fixture = Fixture::new(Switches { service_ms: LONG_MS, ..Switches::default() }).await;
    let task = fixture.send_in_background("/a");
    fixture.wait_until(|runs| !runs.is_empty()).await;
    task.abort();
    fixture.wait_until(|runs| runs[0].outcome == Outcome::Cancelled).await;
}

#[rstest]
#[case(Switches { fail_share: 1.0, fault_prefix: "/bad".into(), ..quick() }, 500)]
#[case(Switches { shed: true, ..quick() }, 503)]
#[tokio::test]
async fn fault_shows_in_the_status(#[case] switches: Switches, #[case] status: u16) {
    let limited = !switches.fault_prefix.is_empty();
    let fixture = Fixture::new(switches).await;
    assert_eq!(fixture.answer("/bad").await.status(), status);
    if limited {
        assert_eq!(fixture.answer("/good").await.status(), 200);
    }
}

#[tokio::test]
async fn hanging_cut_and_crossed_answers_can_be_detected() {
    let fixture = Fixture::new(Switches { hang_share: 1.0, ..quick() }).await;
    let hung = fixture.get("/a").timeout(Duration::from_millis(300)).send().await;
    assert!(hung.is_err());
    fixture.set_switches(&Switches { cut_share: 1.0, ..quick() }).await;
    for path in ["/bytes/1/100000", "/echo"] {
        let cut = fixture.answer(path).await;
        assert_eq!(cut.status(), 200);
        assert!(cut.bytes().await.is_err(), "{path} was not truncated");
    }
    fixture.set_switches(&Switches { cross_share: 1.0, ..quick() }).await;
    let crossed = fixture.get("/a").header("chicory-request-id", "mine").send().await.unwrap();
    assert_ne!(crossed.headers()["chicory-request-id"], "mine");
}

#[tokio::test]
async fn marked_request_takes_the_target_down_for_a_while() {
    let switches = Switches { die_on: "boom".into(), restart_ms: 300, ..quick() };
    let fixture = Fixture::new(switches).await;
    assert!(fixture.get("/boom").send().await.is_err());
    assert!(fixture.get("/a").send().await.is_err(), "the target responded while it was down");
    while fixture.get("/a").send().await.is_err() {
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    let counts: Counts = fixture.control("counts").await;
    assert_eq!(counts.deaths, 1);
    assert!(counts.connections_refused > 0);
}

#[tokio::test]
async fn flapping_target_alternates_between_failure_and_success() {
    let fixture = Fixture::new(Switches { fail_share: 1.0, flap_ms: 50, ..quick() }).await;
    let mut seen = Vec::new();
    while !seen.ends_with(&[200, 500, 200]) {
        let status = fixture.answer("/a").await.status().as_u16();
        if seen.last() != Some(&status) {
            seen.push(status);
        }
    }
}

#[rstest]
#[case(Health::True, 503)]
#[case(Health::Well, 200)]
#[case(Health::Sick, 503)]
#[tokio::test]
async fn health_endpoint_follows_its_switch(#[case] health: Health, #[case] status: u16) {
    let switches = Switches { health, fail_share: 1.0, probe_ms: 0, ..quick() };
    let fixture = Fixture::new(switches).await;
    assert_eq!(fixture.answer("/health").await.status(), status);
    let counts: Counts = fixture.control("counts").await;
    assert_eq!(counts.probes, 1);
}

#[tokio::test]
async fn health_endpoint_lags_behind() {
    let sick = Switches { fail_share: 1.0, lag_ms: 400, probe_ms: 0, ..quick() };
    let fixture = Fixture::new(Switches { probe_ms: 0, ..quick() }).await;
    fixture.set_switches(&sick).await;
    assert_eq!(fixture.answer("/a").await.status(), 500);
    assert_eq!(fixture.answer("/health").await.status(), 200);
    while fixture.answer("/health").await.status() == 200 {
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

#[rstest]
#[case(Load::True, 1)]
#[case(Load::Idle, 2)]
#[case(Load::Busy, 0)]
#[tokio::test]
async fn load_endpoint_follows_its_switch(#[case] load: Load, #[case] free: u64) {
    let fixture = Fixture::new(Switches { load, service_ms: LONG_MS, ..Switches::default() }).await;
    let _left = fixture.send_in_background("/a");
    let mut seen = u64::MAX;
    // The run acquires its slot, and the connections release theirs, asynchronously.
    while seen != free {
        let answer: Value = fixture.answer("/load").await.json().await.unwrap();
        seen = answer["free"].as_u64().unwrap();
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

#[tokio::test]
async fn connections_past_the_limit_are_closed() {
    let fixture =
        Fixture::new(Switches { connections: 1, service_ms: LONG_MS, ..Switches::default() }).await;
    let _left = fixture.send_in_background("/a");
    fixture.wait_until(|runs| !runs.is_empty()).await;
    assert!(fixture.get("/b").send().await.is_err());
    let counts: Counts = fixture.control("counts").await;
    assert_eq!((counts.connections_open, counts.connections_peak), (1, 1));
    assert!(counts.connections_refused > 0);
}

#[tokio::test]
async fn draining_target_sets_the_draining_header() {
    let fixture = Fixture::new(Switches { draining: true, ..quick() }).await;
    let answer = fixture.answer("/a").await;
    assert_eq!(
        (answer.status().as_u16(), &answer.headers()["chicory-draining"]),
        (200, &"1".parse().unwrap())
    );
}
