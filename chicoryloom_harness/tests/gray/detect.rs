//! Each kind of gray target is found, and no other one.

use std::time::Duration;

use chicoryloom_harness::Plan;
use chicoryloom_harness::until;
use chicoryloom_standin::link;
use chicoryloom_standin::target::Health;
use chicoryloom_standin::target::Switches;
use rstest::rstest;

use super::support::Gray;
use super::support::normal;

const CALLERS: usize = 8;

#[rstest]
#[case::slow(Switches { slow_factor: 10.0, ..normal() })]
#[case::fails(Switches { fail_share: 0.5, ..normal() })]
#[case::answers_health_checks_only(
    Switches { hang_share: 1.0, health: Health::Well, ..normal() }
)]
#[case::crosses(Switches { cross_share: 1.0, ..normal() })]
#[tokio::test]
async fn gray_target_is_ejected_and_returns(#[case] fault: Switches) {
    let gray = Gray::start(4).await;
    let traffic = gray.traffic(&["/read/a", "/list/a", "/bytes/7/40000"], CALLERS);
    until("there is traffic", async || traffic.tally().ok > 200).await;
    gray.fleet.switch_target(1, &fault).await.unwrap();
    gray.all_out(1).await;
    for other in [0, 2, 3] {
        assert!(!gray.is_out(0, other, None).await, "target {other} is well");
    }
    gray.fleet.switch_target(1, &normal()).await.unwrap();
    until("the target is back on a host", async || !gray.is_out(0, 1, None).await).await;
}

#[tokio::test]
async fn route_whose_answers_are_cut_is_ejected() {
    let gray = Gray::start(4).await;
    let traffic = gray.traffic(&["/read/a", "/list/a", "/bytes/7/40000"], CALLERS);
    until("there is traffic", async || traffic.tally().ok > 200).await;
    // Without the prefix the target would cut its answers on the other routes, too.
    let fault = Switches { cut_share: 1.0, fault_prefix: "/bytes".to_owned(), ..normal() };
    gray.fleet.switch_target(1, &fault).await.unwrap();
    for host in 0..4 {
        until("the route is out", async || gray.is_out(host, 1, Some("bytes")).await).await;
        let lines = gray.health(host).await;
        assert!(!gray.is_out(host, 1, None).await, "its other routes are well: {lines:#?}");
    }
}

#[tokio::test]
async fn failing_route_is_ejected_alone() {
    let gray = Gray::start(4).await;
    let traffic = gray.traffic(&["/read/a", "/list/a", "/bytes/7/4000"], CALLERS);
    until("there is traffic", async || traffic.tally().ok > 300).await;
    let fault = Switches { fail_share: 1.0, fault_prefix: "/read".to_owned(), ..normal() };
    gray.fleet.switch_target(2, &fault).await.unwrap();
    for host in 0..4 {
        let out = async || gray.is_out(host, 2, Some("read")).await;
        until("the route is out", out).await;
        assert!(!gray.is_out(host, 2, None).await, "the target serves its other routes");
    }
    let before = traffic.tally().failed;
    let reached = traffic.tally().ok + 500;
    until("more is answered", async || traffic.tally().ok > reached).await;
    // Trials are repeated elsewhere, so no caller sees the failing route.
    assert_eq!(traffic.tally().failed, before);
}

#[tokio::test]
async fn flapping_target_stays_out_longer_each_time() {
    let gray = Gray::start(4).await;
    let traffic = gray.traffic(&["/read/a", "/list/a"], CALLERS);
    until("there is traffic", async || traffic.tally().ok > 200).await;
    let fault = Switches { fail_share: 1.0, flap_ms: 2000, ..normal() };
    gray.fleet.switch_target(0, &fault).await.unwrap();
    until("the target was ejected twice", async || gray.ejections(0, 0).await >= 2).await;
    until("a later hold is longer", async || {
        let lines = gray.health(0).await;
        lines.iter().any(|line| line["hold_left_s"].as_f64() > Some(3.1))
    })
    .await;
}

#[tokio::test]
async fn half_of_the_targets_sick_leaves_the_floor_in() {
    let gray = Gray::start(6).await;
    let traffic = gray.traffic(&["/read/a", "/list/a"], CALLERS);
    until("there is traffic", async || traffic.tally().ok > 300).await;
    for target in 0..3 {
        let fault = Switches { fail_share: 1.0, ..normal() };
        gray.fleet.switch_target(target, &fault).await.unwrap();
    }
    for target in 0..3 {
        gray.all_out(target).await;
    }
    // Two more go bad; the floor of a half keeps them in use.
    for target in 3..5 {
        let fault = Switches { slow_factor: 10.0, ..normal() };
        gray.fleet.switch_target(target, &fault).await.unwrap();
    }
    let reached = traffic.tally().ok + 500;
    until("more is answered", async || traffic.tally().ok > reached).await;
    for host in 0..4 {
        let lines = gray.health(host).await;
        let whole = lines.iter().filter(|line| line["route"].is_null());
        let used: f64 = whole.filter_map(|line| line["weight"].as_f64()).sum();
        assert!(used >= 3.0 - 1e-9, "{used} of 6 targets in use on host {host}");
    }
}

#[tokio::test]
async fn link_that_loses_replies_turns_one_host_away_only() {
    let plan = Plan { targets: vec![normal(); 4], link_targets: true, ..Plan::default() };
    let gray = Gray::plan(plan).await;
    let traffic = gray.traffic(&["/read/a", "/list/a"], CALLERS);
    until("there is traffic", async || traffic.tally().ok > 300).await;
    let target = gray.fleet.targets[1].direct;
    let rule = link::Rule {
        from: Some(gray.fleet.hosts[2].source),
        to: Some(target.ip()),
        to_port: Some(target.port()),
        forth: link::Fault::default(),
        back: link::Fault { cut: true, ..link::Fault::default() },
    };
    gray.fleet.rules(&[rule]).await.unwrap();
    until("the host turns away", async || gray.is_out(2, 1, None).await).await;
    let reached = traffic.tally().ok + 1000;
    until("more is answered", async || traffic.tally().ok > reached).await;
    for host in [0, 1, 3] {
        let lines = gray.health(host).await;
        assert_eq!(gray.ejections(host, 1).await, 0, "host {host} reaches it: {lines:#?}");
    }
    gray.fleet.rules(&[]).await.unwrap();
    tokio::time::timeout(Duration::from_secs(60), gray.all_in(2, 1)).await.unwrap();
}

#[tokio::test]
async fn host_that_reaches_no_target_suspects_itself_and_leaves_the_locator() {
    let plan = Plan { targets: vec![normal(); 4], link_targets: true, ..Plan::default() };
    let gray = Gray::plan(plan).await;
    let traffic = gray.traffic(&["/read/a", "/list/a"], CALLERS);
    until("there is traffic", async || traffic.tally().ok > 300).await;
    let rule = |target: &chicoryloom_harness::TargetNode| link::Rule {
        from: Some(gray.fleet.hosts[2].source),
        to: Some(target.direct.ip()),
        to_port: Some(target.direct.port()),
        forth: link::Fault::default(),
        back: link::Fault { cut: true, ..link::Fault::default() },
    };
    let rules: Vec<_> = gray.fleet.targets.iter().map(rule).collect();
    gray.fleet.rules(&rules).await.unwrap();
    let suspects =
        async |host: usize| gray.fleet.status(host).await.unwrap()["suspects_itself"] == true;
    until("the host suspects itself", async || suspects(2).await).await;
    let own = gray.fleet.hosts[2].caller.to_string();
    let url = format!("http://{}/chicory/v1/hosts?service=calendar", gray.fleet.hosts[0].caller);
    until("other hosts name it no more", async || {
        let answer = gray.fleet.client().get(&url).send().await.unwrap().text().await.unwrap();
        answer.contains("address") && !answer.contains(&own)
    })
    .await;
    for host in [0, 1, 3] {
        assert!(!suspects(host).await, "host {host} reaches all targets");
    }
    gray.fleet.rules(&[]).await.unwrap();
    until("the host trusts itself again", async || !suspects(2).await).await;
}

impl Gray {
    async fn all_in(&self, host: usize, target: usize) {
        until("the target is back", async || !self.is_out(host, target, None).await).await;
    }
}
