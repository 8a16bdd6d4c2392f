//! Grants over all hosts together, with real processes.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use chicoryloom_harness::Fleet;
use chicoryloom_harness::Listing;
use chicoryloom_harness::Plan;
use chicoryloom_harness::until;
use reqwest::Client;
use tokio::task::JoinSet;

const RATE: f64 = 100.0;
const BURST: f64 = 40.0;
const ROUTES: &str = "  - { name: all, path: /, repeatable: true }";
const WORKSPACES: &str = "  - { workspace: prairie, rate: 100, burst: 40 }";
/// Requests in flight at once to each host.
const CALLERS: usize = 8;
/// Pause of a caller after a refusal.
const PAUSE: Duration = Duration::from_millis(10);

/// The span in which an answered request was admitted, from its sending to its answer.
#[derive(Clone, Copy, Debug)]
struct Span {
    sent: Instant,
    answered: Instant,
}

/// Counts of callers that send as fast as they are answered.
#[derive(Debug, Default)]
struct Counts {
    sent: AtomicU64,
    answered: AtomicU64,
    refused: AtomicU64,
    spans: Mutex<Vec<Span>>,
}

async fn call(
    client: Client,
    host: SocketAddr,
    key: String,
    counts: Arc<Counts>,
    end: Arc<AtomicBool>,
) {
    let url = format!("http://{host}/calendar/schedules");
    while !end.load(Ordering::Acquire) {
        counts.sent.fetch_add(1, Ordering::Relaxed);
        let sent = Instant::now();
        let answer =
            client.get(&url).bearer_auth(&key).timeout(Duration::from_secs(5)).send().await;
        if answer.is_ok_and(|answer| answer.status() == 200) {
            counts.answered.fetch_add(1, Ordering::Relaxed);
            counts.spans.lock().unwrap().push(Span { sent, answered: Instant::now() });
        } else {
            counts.refused.fetch_add(1, Ordering::Relaxed);
            tokio::time::sleep(PAUSE).await;
        }
    }
}

/// Returns the most admissions over the grant in any window.
///
/// Of the spans that lie wholly within a window, each was admitted within it, so that their
/// number needs no allowance for the time between admission, arrival and answer.
fn most_over(mut spans: Vec<Span>) -> f64 {
    spans.sort_by_key(|span| span.answered);
    let mut most = f64::MIN;
    for first in &spans {
        let mut within = 0.0;
        for span in spans.iter().filter(|span| span.sent >= first.sent) {
            within += 1.0;
            let window = span.answered.duration_since(first.sent).as_secs_f64();
            most = most.max(within - RATE * window - BURST);
        }
    }
    most
}

#[tokio::test]
async fn workspace_past_its_rate_stays_within_its_grant_while_hosts_fail() {
    let targets = vec![chicoryloom_standin::target::Switches { slots: 64, ..Default::default() }];
    let mut fleet = Fleet::start(Plan { targets, ..Plan::default() }).await.unwrap();
    let text = fleet.document("calendar", ROUTES, WORKSPACES);
    fleet.put_document(0, "calendar", 0, &text).await.unwrap();
    let key = fleet.grant_key(0, "prairie").await.unwrap();
    fleet.in_force(key.version).await;

    let counts = Arc::new(Counts::default());
    let end = Arc::new(AtomicBool::new(false));
    let mut callers = JoinSet::new();
    for host in &fleet.hosts {
        for _ in 0..CALLERS {
            let (client, key) = (fleet.client().clone(), key.key.clone());
            callers.spawn(call(client, host.caller, key, counts.clone(), end.clone()));
        }
    }
    let answered = |count: u64| {
        let counts = counts.clone();
        async move {
            until("requests are answered", async || {
                counts.answered.load(Ordering::Relaxed) >= count
            })
            .await
        }
    };
    answered(500).await;
    fleet.hosts[0].process.pause();
    answered(900).await;
    fleet.hosts[1].process.kill().await;
    fleet.list_hosts(|host| if host == 1 { Listing::Absent } else { Listing::Live }).await.unwrap();
    answered(1200).await;
    fleet.hosts[0].process.resume();
    answered(1500).await;
    fleet.restart_host(1).await.unwrap();
    for _ in 0..CALLERS {
        let (client, key) = (fleet.client().clone(), key.key.clone());
        callers.spawn(call(client, fleet.hosts[1].caller, key, counts.clone(), end.clone()));
    }
    answered(2500).await;
    end.store(true, Ordering::Release);
    callers.join_all().await;

    let runs = fleet.journals().await.unwrap();
    let over = most_over(counts.spans.lock().unwrap().clone());
    let refused = counts.refused.load(Ordering::Relaxed);
    println!("{refused} refused, {} runs, {over} over the grant", runs.len());
    assert!(over <= 0.0, "{over} requests over the grant in some window");
    assert!(refused > runs.len() as u64, "the callers sent too little");
}

#[tokio::test]
async fn whole_grant_is_there_on_one_host_and_through_an_outage_of_the_platform() {
    let targets = vec![chicoryloom_standin::target::Switches { slots: 64, ..Default::default() }];
    let fleet = Fleet::start(Plan { targets, ..Plan::default() }).await.unwrap();
    let text = fleet.document("calendar", ROUTES, WORKSPACES);
    fleet.put_document(0, "calendar", 0, &text).await.unwrap();
    let key = fleet.grant_key(0, "prairie").await.unwrap();
    fleet.in_force(key.version).await;
    let url = format!("http://{}/calendar/schedules", fleet.hosts[2].caller);
    let burst = async || {
        let mut requests = JoinSet::new();
        for _ in 0..BURST as usize {
            let request = fleet.client().get(&url).bearer_auth(&key.key).send();
            requests.spawn(async { request.await.is_ok_and(|answer| answer.status() == 200) });
        }
        requests.join_all().await.into_iter().filter(|answered| *answered).count()
    };
    // Shares of four hosts are taken up over the first moments, and start empty.
    until("one host admits the whole burst", async || {
        let admitted = burst().await;
        tokio::time::sleep(Duration::from_secs_f64(BURST / RATE)).await;
        admitted == BURST as usize
    })
    .await;
    let switches = chicoryloom_standin::platform::Switches { down: true, ..Default::default() };
    fleet.switch_platform(&switches).await.unwrap();
    let started = Instant::now();
    until("one host admits the whole burst without the platform", async || {
        let admitted = burst().await;
        tokio::time::sleep(Duration::from_secs_f64(BURST / RATE)).await;
        started.elapsed() > Duration::from_secs(5) && admitted == BURST as usize
    })
    .await;
}

#[tokio::test]
async fn host_that_shuts_down_releases_its_seats() {
    let fleet = Fleet::start(Plan::default()).await.unwrap();
    let text = fleet.document("calendar", ROUTES, WORKSPACES);
    let version = fleet.put_document(0, "calendar", 0, &text).await.unwrap();
    fleet.in_force(version).await;
    let listen = fleet.platform.address("listen");
    let url = format!("http://{listen}/v1/objects/ledgers/calendar");
    let seats = async || -> Vec<serde_json::Value> {
        let Ok(answer) = fleet.client().get(&url).send().await else {
            return Vec::new();
        };
        let object: serde_json::Value = answer.json().await.unwrap_or_default();
        let ledger = object["value"].as_str().and_then(|text| serde_json::from_str(text).ok());
        let ledger: serde_json::Value = ledger.unwrap_or_default();
        ledger["seats"].as_array().cloned().unwrap_or_default()
    };
    let held =
        |seats: &[serde_json::Value]| seats.iter().filter(|seat| seat["host"] == "host-4").count();
    until("four hosts hold all seats", async || {
        let seats = seats().await;
        held(&seats) == 6 && seats.iter().all(|seat| seat["host"] != "")
    })
    .await;
    fleet.hosts[3].process.terminate();
    until("the seats of the host are given up", async || {
        let seats = seats().await;
        !seats.is_empty() && held(&seats) == 0
    })
    .await;
    // Released seats may be used at once; seized ones would have to wait.
    assert!(seats().await.iter().all(|seat| seat["seized"] != true));
}
