//! A spike of one workspace beside modest ones, with real processes.

use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use chicoryloom_harness::Fleet;
use chicoryloom_harness::Plan;
use chicoryloom_harness::until;
use chicoryloom_standin::target::Switches;
use reqwest::Client;
use tokio::task::JoinSet;

const ROUTES: &str = "  - { name: all, path: /, repeatable: true, deadline_ms: 2000 }";
const MODEST: usize = 3;
/// Requests of each modest workspace in one phase.
const REQUESTS: u32 = 200;
/// Time between two requests of a modest workspace.
const GAP: Duration = Duration::from_millis(33);
/// Requests of the spiking workspace in flight at once.
const SPIKE: usize = 96;

/// How one workspace fared.
#[derive(Debug)]
struct Fare {
    answered: u32,
    /// 99th percentile of the answered requests' time.
    p99: Duration,
}

async fn modest(client: Client, urls: Vec<String>, key: String) -> Fare {
    let mut requests = JoinSet::new();
    for number in 0..REQUESTS {
        let request = client.get(&urls[number as usize % urls.len()]).bearer_auth(&key);
        requests.spawn(async move {
            let started = Instant::now();
            let answer = request.send().await;
            answer.is_ok_and(|answer| answer.status() == 200).then(|| started.elapsed())
        });
        tokio::time::sleep(GAP).await;
    }
    let mut times: Vec<_> = requests.join_all().await.into_iter().flatten().collect();
    times.sort();
    let p99 = times.get(times.len() * 99 / 100).copied().unwrap_or_default();
    Fare { answered: u32::try_from(times.len()).unwrap(), p99 }
}

async fn spike(client: Client, url: String, key: String, end: Arc<AtomicBool>) {
    while !end.load(Ordering::Acquire) {
        let answer = client.get(&url).bearer_auth(&key).send().await;
        if answer.is_ok_and(|answer| answer.status() != 200) {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    }
}

#[tokio::test]
async fn spike_of_one_workspace_costs_the_others_no_request() {
    // Together the targets run 200 requests a second.
    let targets = vec![Switches { slots: 2, service_ms: 20, ..Switches::default() }; 2];
    let fleet = Fleet::start(Plan { targets, ..Plan::default() }).await.unwrap();
    let mut workspaces = "  - { workspace: spiking, rate: 600, burst: 300, weight: 1 }".to_owned();
    for number in 0..MODEST {
        let line =
            format!("\n  - {{ workspace: modest-{number}, rate: 40, burst: 40, weight: 1 }}");
        workspaces.push_str(&line);
    }
    let text = fleet.document("calendar", ROUTES, &workspaces);
    let mut revision = fleet.put_document(0, "calendar", 0, &text).await.unwrap();
    let mut keys = Vec::new();
    for number in 0..MODEST {
        keys.push(fleet.grant_key(0, &format!("modest-{number}")).await.unwrap().key);
    }
    let spiking = fleet.grant_key(0, "spiking").await.unwrap().key;
    revision += 1 + MODEST as u64;
    fleet.in_force(revision).await;
    let url = |host: usize| format!("http://{}/calendar/schedules", fleet.hosts[host].caller);
    let urls: Vec<_> = (0..fleet.hosts.len()).map(url).collect();
    // Buckets start empty, and each host takes up its part on its own.
    for key in &keys {
        for url in &urls {
            until("a host admits", async || {
                let answer = fleet.client().get(url).bearer_auth(key).send().await;
                answer.is_ok_and(|answer| answer.status() == 200)
            })
            .await;
        }
    }
    tokio::time::sleep(Duration::from_secs(1)).await;

    for spikes in [false, true] {
        let end = Arc::new(AtomicBool::new(false));
        let mut callers = JoinSet::new();
        for number in 0..if spikes { SPIKE } else { 0 } {
            let (client, key) = (fleet.client().clone(), spiking.clone());
            callers.spawn(spike(client, urls[number % urls.len()].clone(), key, end.clone()));
        }
        let fares =
            keys.iter().map(|key| modest(fleet.client().clone(), urls.clone(), key.clone()));
        let fares = fares.collect::<JoinSet<_>>().join_all().await;
        end.store(true, Ordering::Release);
        callers.join_all().await;
        for fare in fares {
            println!("spike {spikes}: {} answered, p99 {:?}", fare.answered, fare.p99);
            assert_eq!(fare.answered, REQUESTS, "a modest workspace lost requests");
        }
    }
}
