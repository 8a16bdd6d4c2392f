//! Measures what one hop through an entry host adds to a direct call, and a host's memory.
//!
//! `cargo build --release --workspace && cargo run --release -p chicoryloom_harness --example hop`
//!
//! Calls go out at a fixed rate, whether earlier ones were answered or not, and each is timed from
//! its own start. Direct calls and calls through the host take turns in short windows of the same
//! run, over the same client, so that whatever else the machine does falls on both.

use std::fs;
use std::time::Duration;
use std::time::Instant;

use chicoryloom_harness::Fleet;
use chicoryloom_harness::Plan;
use chicoryloom_harness::until;
use chicoryloom_standin::target::Switches;
use reqwest::Client;
use serde_json::json;
use tokio::task::JoinSet;

/// Calls a second.
const RATES: [u32; 2] = [64, 2000];
/// Length of one window.
const WINDOW: Duration = Duration::from_millis(250);
/// Windows of each kind at each rate.
const WINDOWS: usize = 48;
/// Length of one of the streamed answers, in bytes.
const STREAM: u64 = 200 * 1000 * 1000;
/// Answers that stream at once.
const STREAMS: usize = 10;
/// Unit of processor times in `/proc`.
const TICKS_PER_SECOND: f64 = 100.0;
/// Pause between two looks at the memory.
const LOOK: Duration = Duration::from_millis(50);

const ROUTES: &str = "  - { name: all, path: /, repeatable: true }";
const WORKSPACES: &str = "  - { workspace: prairie, rate: 1000000, burst: 1000000 }";

#[tokio::main(worker_threads = 4)]
async fn main() {
    let switches = Switches { slots: 64, service_ms: 0, connection_ms: 0, ..Switches::default() };
    let settings = "log: { level: warn }".to_owned();
    let plan = Plan { hosts: 1, targets: vec![switches], settings, ..Plan::default() };
    let fleet = Fleet::start(plan).await.expect("the fleet starts");
    let text = fleet.document("calendar", ROUTES, WORKSPACES);
    let version = fleet.put_document(0, "calendar", 0, &text).await.expect("the document is put");
    let key = fleet.grant_key(0, "prairie").await.expect("a key is granted").key;
    fleet.in_force(version + 1).await;
    let through = format!("http://{}/calendar/a", fleet.hosts[0].caller);
    let direct = format!("http://{}/a", fleet.targets[0].address);
    let client = Client::builder().no_proxy().tcp_nodelay(true).build().expect("a client");
    until("the host serves", async || call(&client, &through, &key).await.is_some()).await;
    let pid = fleet.hosts[0].process.pid().expect("the host runs");
    println!("{}", json!({ "memory": "idle", "rss_bytes": memory(pid, "VmRSS") }));

    for rate in RATES {
        let urls = [direct.as_str(), through.as_str()];
        println!("{}", compare(&client, urls, &key, rate, pid).await);
    }
    println!("{}", stream(&fleet, &client, &key, pid).await);
}

/// Makes one call and returns its time, or `None` if it was refused.
async fn call(client: &Client, url: &str, key: &str) -> Option<Duration> {
    let started = Instant::now();
    let answer = client.get(url).bearer_auth(key).send().await.ok()?;
    if answer.status() != 200 {
        return None;
    }
    answer.bytes().await.ok()?;
    Some(started.elapsed())
}

async fn window(client: &Client, url: &str, key: &str, rate: u32) -> Vec<Option<Duration>> {
    let mut calls = JoinSet::new();
    let mut ticks = tokio::time::interval(Duration::from_secs(1) / rate);
    ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Burst);
    for _ in 0..(WINDOW.as_secs_f64() * f64::from(rate)) as usize {
        ticks.tick().await;
        let (client, url, key) = (client.clone(), url.to_owned(), key.to_owned());
        calls.spawn(async move { call(&client, &url, &key).await });
    }
    calls.join_all().await
}

async fn compare(
    client: &Client,
    [direct, through]: [&str; 2],
    key: &str,
    rate: u32,
    pid: u32,
) -> serde_json::Value {
    let mut calls = [Vec::new(), Vec::new()];
    for url in [direct, through] {
        // The first window opens the connections.
        window(client, url, key, rate).await;
    }
    let spent = processor(pid);
    for _ in 0..WINDOWS {
        calls[0].extend(window(client, direct, key, rate).await);
        calls[1].extend(window(client, through, key, rate).await);
    }
    let spent = (processor(pid) - spent) / calls[1].len() as f64;
    let refused = calls.each_ref().map(|calls| calls.iter().filter(|call| call.is_none()).count());
    let [direct, through] = calls.map(|calls| {
        let mut times: Vec<_> = calls.into_iter().flatten().collect();
        times.sort_unstable();
        times
    });
    let mut report = json!({
        "rate_per_s": rate, "calls_each": direct.len(), "refused": refused,
        "host_processor_us_per_call": spent * 1e6,
    });
    for (name, quantile) in [("p50", 0.5), ("p99", 0.99)] {
        let [direct, through] =
            [&direct, &through].map(|times| quantile_of(times, quantile).as_secs_f64() * 1000.0);
        report[name] = json!({
            "direct_ms": direct, "through_ms": through,
            "added_ms": through - direct, "ratio": through / direct,
        });
    }
    report
}

fn quantile_of(sorted: &[Duration], quantile: f64) -> Duration {
    let rank = (sorted.len() as f64 * quantile).ceil() as usize;
    sorted.get(rank.saturating_sub(1)).copied().unwrap_or_default()
}

/// Streams answers side by side and returns the host's memory meanwhile.
async fn stream(fleet: &Fleet, client: &Client, key: &str, pid: u32) -> serde_json::Value {
    let before = memory(pid, "VmRSS");
    let started = Instant::now();
    let mut answers = JoinSet::new();
    for index in 0..STREAMS {
        let url = format!("http://{}/calendar/bytes/{index}/{STREAM}", fleet.hosts[0].caller);
        let request = client.get(url).bearer_auth(key);
        answers.spawn(async move {
            let mut answer = request.send().await.expect("an answer");
            let mut received = 0;
            while let Some(piece) = answer.chunk().await.expect("a whole answer") {
                received += piece.len() as u64;
            }
            received
        });
    }
    let mut highest = before;
    let mut received = 0;
    while !answers.is_empty() {
        tokio::select! {
            answer = answers.join_next() => {
                received += answer.expect("an answer").expect("no panic");
            }
            () = tokio::time::sleep(LOOK) => highest = highest.max(memory(pid, "VmRSS")),
        }
    }
    json!({
        "memory": "ten 200 MB answers", "received_bytes": received,
        "seconds": started.elapsed().as_secs_f64(),
        "rss_before_bytes": before, "rss_highest_bytes": highest,
    })
}

/// Returns the processor time that a process has used, in seconds.
fn processor(pid: u32) -> f64 {
    let stat = fs::read_to_string(format!("/proc/{pid}/stat")).unwrap_or_default();
    // The name in parentheses may hold spaces; user and system time are the 12th and 13th after it.
    let rest = stat.rsplit(')').next().unwrap_or_default();
    let ticks: f64 =
        rest.split_whitespace().skip(11).take(2).filter_map(|text| text.parse::<f64>().ok()).sum();
    ticks / TICKS_PER_SECOND
}

/// Returns a line of the process's status, in bytes.
fn memory(pid: u32, name: &str) -> u64 {
    let status = fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix(name)?.strip_prefix(':'));
    let kilobytes = line.and_then(|line| line.split_whitespace().next()?.parse::<u64>().ok());
    kilobytes.unwrap_or_default() * 1024
}
