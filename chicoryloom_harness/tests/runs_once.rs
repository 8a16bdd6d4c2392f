//! Bookings under run keys while links lose answers and an issuer dies, with real processes.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use chicoryloom_harness::Fleet;
use chicoryloom_harness::Plan;
use chicoryloom_harness::until;
use chicoryloom_standin::link;
use chicoryloom_standin::target;
use reqwest::Client;
use serde_json::Value;
use tokio::task::JoinSet;

const ROUTES: &str = "  - { name: all, path: /, deadline_ms: 1500 }";
const WORKSPACES: &str = "  - { workspace: prairie, rate: 150, burst: 80 }";
const CALLERS: usize = 16;
const BOOKINGS: usize = 60;
/// Times that a caller sends one booking before it gives up.
const TRIES: usize = 6;
/// Time after which a caller sends a booking again.
const PATIENCE: Duration = Duration::from_millis(700);

/// Pause of a caller after a refusal.
const PAUSE: Duration = Duration::from_millis(100);

/// What a caller knows of a booking in the end.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
enum Known {
    Ran,
    NotRun,
    Unknown,
}

struct Caller {
    name: usize,
    client: Client,
    hosts: Vec<SocketAddr>,
    key: String,
    repeated: Arc<AtomicUsize>,
}

impl Caller {
    fn host(&self, turn: usize) -> SocketAddr {
        self.hosts[(self.name + turn) % self.hosts.len()]
    }

    async fn series(&self) -> String {
        for turn in 0.. {
            let url = format!("http://{}/chicory/v1/runs?service=calendar", self.host(turn));
            let request = self.client.post(&url).bearer_auth(&self.key).timeout(PATIENCE);
            if let Ok(answer) = request.send().await
                && answer.status() == 200
                && let Ok(series) = answer.json::<Value>().await
            {
                return series["series"].as_str().unwrap().to_owned();
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        unreachable!("the loop ends by returning")
    }

    /// Sends one booking until its outcome is known; tells also whether the issuer is gone.
    async fn book(&self, path: &str, run_key: &str) -> (Known, bool) {
        for turn in 0..TRIES {
            let url = format!("http://{}/calendar{path}", self.host(turn));
            let request = self.client.post(&url).bearer_auth(&self.key).body("seat");
            let request = request.header("idempotency-key", run_key).timeout(PATIENCE);
            let Ok(answer) = request.send().await else {
                continue;
            };
            if answer.headers().contains_key("chicory-repeated") {
                self.repeated.fetch_add(1, Ordering::Relaxed);
            }
            if answer.status() == 200 {
                return (Known::Ran, false);
            }
            if answer.headers().get("chicory-run").is_some_and(|run| run == "not-run") {
                return (Known::NotRun, false);
            }
            if answer.status() == 409 {
                return (Known::Unknown, true);
            }
        }
        (Known::Unknown, false)
    }

    async fn run(self) -> Vec<(String, Known)> {
        let mut known = Vec::new();
        let mut series = self.series().await;
        for number in 1..=BOOKINGS {
            let path = format!("/seats/{}-{number}", self.name);
            let (outcome, is_gone) = self.book(&path, &format!("{series}.{number}")).await;
            known.push((path, outcome));
            if outcome == Known::NotRun {
                tokio::time::sleep(PAUSE).await;
            }
            if is_gone {
                series = self.series().await;
            }
        }
        known
    }
}

/// Lets answers of some hosts and of one target get lost, in turns, until it is aborted.
async fn lose_answers(fleet: &Fleet, ports: &[SocketAddr]) {
    let cut = link::Fault { cut: true, ..link::Fault::default() };
    let reset = link::Fault { reset: true, ..link::Fault::default() };
    for turn in 0.. {
        let target = fleet.targets[turn % fleet.targets.len()].direct;
        let host = fleet.hosts[turn % ports.len()].caller;
        let rule = |to: SocketAddr, back: link::Fault| link::Rule {
            from: None,
            to: Some(to.ip()),
            to_port: Some(to.port()),
            forth: link::Fault::default(),
            back,
        };
        let rules =
            if turn % 3 == 2 { Vec::new() } else { vec![rule(target, cut), rule(host, reset)] };
        fleet.rules(&rules).await.unwrap();
        tokio::time::sleep(Duration::from_millis(150)).await;
    }
}

#[tokio::test]
async fn each_booking_runs_at_most_once_and_not_run_is_true() {
    let targets = vec![target::Switches { slots: 32, service_ms: 40, ..Default::default() }; 2];
    let plan = Plan { targets, link_targets: true, ..Plan::default() };
    let mut fleet = Fleet::start(plan).await.unwrap();
    let text = fleet.document("calendar", ROUTES, WORKSPACES);
    fleet.put_document(0, "calendar", 0, &text).await.unwrap();
    let key = fleet.grant_key(0, "prairie").await.unwrap();
    fleet.in_force(key.version).await;
    let mut ports = Vec::new();
    for host in &fleet.hosts {
        let any = SocketAddr::new([127, 1, 0, 1].into(), 0);
        ports.push(fleet.open_port(link::Protocol::Tcp, any, host.caller).await.unwrap());
    }
    let repeated = Arc::new(AtomicUsize::new(0));
    let caller = |name| Caller {
        name,
        client: Client::builder().no_proxy().pool_max_idle_per_host(0).build().unwrap(),
        hosts: ports.clone(),
        key: key.key.clone(),
        repeated: repeated.clone(),
    };
    until("series are issued", async || {
        let series = tokio::time::timeout(Duration::from_secs(5), caller(0).series()).await;
        series.is_ok()
    })
    .await;

    let mut callers = JoinSet::new();
    for name in 0..CALLERS {
        callers.spawn(caller(name).run());
    }
    {
        let faults = lose_answers(&fleet, &ports);
        let halfway = until("a fifth of the bookings have run", async || {
            let runs = fleet.journals().await.unwrap();
            runs.len() > CALLERS * BOOKINGS / 5
        });
        tokio::select! {
            () = faults => {}
            () = halfway => {}
        }
    }
    fleet.hosts[1].process.kill().await;
    let known = {
        let faults = lose_answers(&fleet, &ports);
        tokio::select! {
            () = faults => unreachable!("faults go on"),
            known = callers.join_all() => known.into_iter().flatten().collect::<Vec<_>>(),
        }
    };
    fleet.rules(&[]).await.unwrap();

    let mut ran = HashMap::<String, usize>::new();
    for run in fleet.journals().await.unwrap() {
        if run.outcome != target::Outcome::Shed {
            *ran.entry(run.path).or_default() += 1;
        }
    }
    let mut counts = HashMap::<Known, usize>::new();
    for (path, known) in known {
        let runs = ran.get(&path).copied().unwrap_or_default();
        assert!(runs <= 1, "{path} ran {runs} times");
        match known {
            Known::Ran => assert_eq!(runs, 1, "{path} is said to have run"),
            Known::NotRun => assert_eq!(runs, 0, "{path} is said not to have run"),
            Known::Unknown => {}
        }
        *counts.entry(known).or_default() += 1;
    }
    println!("{counts:?}, {} repeated outcomes", repeated.load(Ordering::Relaxed));
    assert!(repeated.load(Ordering::Relaxed) > 0, "no outcome was ever repeated");
    assert!(counts.contains_key(&Known::Ran), "nothing ran");
}
