//! Measures the control state: calls on the platform, bytes and processor time of a host, and the
//! time from an edit until it is in force on the last host.
//!
//! `cargo run --release -p chicoryloom_harness --example state_fleet -- 4 12 36` after
//! `cargo build --release --workspace`; prints JSON lines for each size.

use std::fs;
use std::time::Duration;
use std::time::Instant;

use chicoryloom_harness::Fleet;
use chicoryloom_harness::HostNode;
use chicoryloom_harness::Plan;
use chicoryloom_standin::link;
use reqwest::Client;
use serde_json::Value;
use serde_json::json;
use tokio::task::JoinSet;

/// Span over which a resting fleet is measured.
const REST: Duration = Duration::from_secs(12);
/// Pause between two edits at ten changes a minute.
const TEN_A_MINUTE: Duration = Duration::from_secs(6);
/// Edits whose time to be in force is measured.
const EDITS: usize = 30;
/// Pause between two such edits.
const BETWEEN: Duration = Duration::from_millis(300);
/// Pause between two looks at one host.
const LOOK: Duration = Duration::from_millis(4);
/// Clock ticks a second in `/proc/PID/stat`.
const TICKS_PER_S: f64 = 100.0;

const ROUTES: &str = "  - { name: all, path: /, repeatable: true }";

type Outcome<T> = Result<T, Box<dyn std::error::Error>>;

#[tokio::main]
async fn main() -> Outcome<()> {
    let sizes = std::env::args().skip(1).map(|size| size.parse::<usize>());
    for size in sizes {
        measure(size?).await?;
    }
    Ok(())
}

async fn measure(hosts: usize) -> Outcome<()> {
    let settings = "log: { level: error }".to_owned();
    let fleet = Fleet::start(Plan { hosts, settings, ..Plan::default() }).await?;
    let mut version = put(&fleet, 0, 1).await?;
    fleet.in_force(version).await;
    tokio::time::sleep(Duration::from_secs(3)).await;

    let rest = span(&fleet, async { tokio::time::sleep(REST).await }).await?;
    println!("{}", json!({ "hosts": hosts, "rest": rest }));
    let edited = span(&fleet, async {
        for _ in 0..2 {
            if let Ok(next) = put(&fleet, version, 1).await {
                version = next;
            }
            tokio::time::sleep(TEN_A_MINUTE).await;
        }
    })
    .await?;
    println!("{}", json!({ "hosts": hosts, "ten_changes_a_minute": edited }));
    let well = in_force_times(&fleet, &mut version).await?;
    println!("{}", json!({ "hosts": hosts, "in_force_ms": well }));
    fleet.rules(&cut_third(&fleet)).await?;
    tokio::time::sleep(Duration::from_secs(4)).await;
    let cut = in_force_times(&fleet, &mut version).await?;
    println!("{}", json!({ "hosts": hosts, "in_force_ms_third_cut_off": cut }));
    Ok(())
}

/// Writes the document with another rate, so that each version differs.
async fn put(fleet: &Fleet, expected: u64, rate: u64) -> Outcome<u64> {
    let workspaces = format!("  - {{ workspace: prairie, rate: {}, burst: 10 }}", rate + expected);
    let text = fleet.document("calendar", ROUTES, &workspaces);
    Ok(fleet.put_document(0, "calendar", expected, &text).await?)
}

/// Cuts each third host off from the platform; the first, which takes the edits, is not among them.
fn cut_third(fleet: &Fleet) -> Vec<link::Rule> {
    let cut = link::Fault { cut: true, ..link::Fault::default() };
    let platform = fleet.platform.address("listen");
    let hosts = fleet.hosts.iter().skip(1).step_by(3);
    let rule = |host: &HostNode| link::Rule {
        from: Some(host.source),
        to: Some(platform.ip()),
        to_port: Some(platform.port()),
        forth: cut,
        back: cut,
    };
    hosts.map(rule).collect()
}

/// Returns calls a second, and bytes and processor time a second and host, over an action.
async fn span(fleet: &Fleet, action: impl Future<Output = ()>) -> Outcome<Value> {
    let calls = calls(fleet).await?;
    let bytes = bytes(fleet).await?;
    let processor = processor(fleet)?;
    let started = Instant::now();
    action.await;
    let seconds = started.elapsed().as_secs_f64();
    let hosts = fleet.hosts.len() as f64;
    let per_host = seconds * hosts;
    Ok(json!({
        "platform_calls_per_s": round((self::calls(fleet).await? - calls) / seconds),
        "bytes_per_s_and_host": round((self::bytes(fleet).await? - bytes) / per_host),
        "processor_ms_per_s_and_host": round((self::processor(fleet)? - processor) * 1000.0 / per_host),
    }))
}

fn round(value: f64) -> f64 {
    (value * 100.0).round() / 100.0
}

async fn calls(fleet: &Fleet) -> Outcome<f64> {
    let counts = fleet.platform_counts().await?;
    Ok((counts.reads + counts.watches + counts.writes) as f64)
}

/// Returns the bytes that all hosts sent to peers.
async fn bytes(fleet: &Fleet) -> Outcome<f64> {
    let mut sum = 0.0;
    for host in &fleet.hosts {
        let url = format!("http://{}/metrics", host.admin);
        let page = fleet.client().get(url).send().await?.text().await?;
        let lines = page.lines().filter(|line| line.starts_with("chicory_peer_bytes_sent"));
        let values = lines.filter_map(|line| line.rsplit(' ').next()?.parse::<f64>().ok());
        sum += values.sum::<f64>();
    }
    Ok(sum)
}

/// Returns the processor time of all hosts, in seconds.
fn processor(fleet: &Fleet) -> Outcome<f64> {
    let mut ticks = 0;
    for pid in fleet.hosts.iter().filter_map(|host| host.process.pid()) {
        let stat = fs::read_to_string(format!("/proc/{pid}/stat"))?;
        let fields: Vec<_> = stat.rsplit(')').next().unwrap_or_default().split(' ').collect();
        // User and system time are fields 14 and 15; the first one after the name is field 3.
        ticks += fields[12].parse::<u64>()? + fields[13].parse::<u64>()?;
    }
    Ok(ticks as f64 / TICKS_PER_S)
}

/// Edits again and again, and returns quantiles of the time until the last host has an edit.
async fn in_force_times(fleet: &Fleet, version: &mut u64) -> Outcome<Value> {
    let mut times = Vec::with_capacity(EDITS);
    for _ in 0..EDITS {
        let started = Instant::now();
        *version = put(fleet, *version, 1).await?;
        let waits = fleet.hosts.iter().map(|host| held(fleet.client(), host, *version));
        JoinSet::from_iter(waits).join_all().await;
        times.push(started.elapsed().as_secs_f64() * 1000.0);
        tokio::time::sleep(BETWEEN).await;
    }
    times.sort_by(f64::total_cmp);
    let quantile = |q: f64| round(times[((times.len() - 1) as f64 * q).round() as usize]);
    Ok(json!({ "p50": quantile(0.5), "p99": quantile(0.99), "edits": EDITS }))
}

/// Waits until one host holds a revision and is fresh.
fn held(client: &Client, host: &HostNode, revision: u64) -> impl Future<Output = ()> + use<> {
    let request = client.get(format!("http://{}/v1/status", host.admin)).bearer_auth("operator");
    async move {
        loop {
            let request = request.try_clone().expect("a request without a body can be cloned");
            let status = match request.send().await {
                Ok(response) => response.json().await.unwrap_or(Value::Null),
                Err(_) => Value::Null,
            };
            if status["fresh"] == true && status["revision"].as_u64() >= Some(revision) {
                return;
            }
            tokio::time::sleep(LOOK).await;
        }
    }
}
