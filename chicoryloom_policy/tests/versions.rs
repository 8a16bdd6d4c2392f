//! Limits of targets in a fleet of two builds, one of which knows no limits, while it is upgraded and
//! rolled back host by host.

use std::collections::HashMap;
use std::time::Duration;

use chicoryloom_policy::Moment;
use chicoryloom_policy::entry;
use chicoryloom_policy::entry::Owners;
use chicoryloom_policy::id;
use chicoryloom_policy::throttle::Grant;
use chicoryloom_policy::throttle::Issuer;
use chicoryloom_policy::throttle::Limit;
use chicoryloom_policy::throttle::Permits;
use chicoryloom_policy::throttle::Ration;
use chicoryloom_policy::throttle::Silence;
use chicoryloom_policy::withdrawal::Process;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::StdRng;
use rstest::rstest;

const HOSTS: usize = 6;
const START: Moment = Moment::from_millis(1000);
/// Time for which a host is down while it is replaced, and until the others have noticed.
const DOWN_MS: u64 = 500;
const NOTICE_MS: u64 = 800;
const WINDOW_MS: u64 = 4000;

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Build {
    /// Knows no limits: drops the messages about them.
    Unaware,
    /// Knows limits, and asks the responsible host whatever that one knows.
    Landed,
    /// Knows limits, and which hosts give out permits.
    Today,
}

struct Node {
    build: Build,
    permits: Permits,
    issuer: Option<Issuer>,
    silence: Silence,
    ration: Ration,
    down_until: u64,
}

impl Node {
    fn new(build: Build, down_until: u64) -> Self {
        Self {
            build,
            permits: Permits::default(),
            issuer: None,
            silence: Silence::default(),
            ration: Ration::default(),
            down_until,
        }
    }
}

fn after(millis: u64) -> Moment {
    START.after(Duration::from_millis(millis))
}

fn host(number: usize) -> id::Host {
    format!("host-{number}").parse().unwrap()
}

#[derive(Clone, Copy)]
enum Message {
    Ask { asked: Moment },
    Grant { asked: Moment, count: u32 },
}

/// Replaces one host after the other in `step_ms` each, and lets those that know limits send all that
/// they may; returns when each of them sent a request.
fn play(
    builds: &[Vec<Build>],
    step_ms: u64,
    limit: Limit,
    loss: f64,
    seed: u64,
) -> Vec<(u64, usize)> {
    let mut rng = StdRng::seed_from_u64(seed);
    let target = Process { instance: format!("i-{seed}").parse().unwrap(), born: 7 };
    let key = entry::target_key(&target.instance);
    let names: Vec<_> = (0..HOSTS).map(host).collect();
    let mut nodes: Vec<_> = builds[0].iter().map(|build| Node::new(*build, 0)).collect();
    let mut in_transit: Vec<(u64, usize, usize, Message)> = Vec::new();
    let mut sends = Vec::new();
    for now_ms in (0..step_ms * builds.len() as u64).step_by(10) {
        let now = after(now_ms);
        let step = (now_ms / step_ms) as usize;
        if now_ms % step_ms == 0 && step > 0 {
            for at in (0..HOSTS).filter(|at| builds[step][*at] != builds[step - 1][*at]) {
                nodes[at] = Node::new(builds[step][at], now_ms + DOWN_MS);
                nodes.iter_mut().for_each(|node| node.silence.forget(&names[at]));
            }
        }
        let seen = |at: usize| {
            now_ms >= nodes[at].down_until || now_ms + DOWN_MS < nodes[at].down_until + NOTICE_MS
        };
        let owners = Owners::new((0..HOSTS).filter(|at| seen(*at)).map(|at| &names[at]));
        let owner = owners.owner(key).unwrap().clone();
        let owner_at = names.iter().position(|name| *name == owner).unwrap();
        let mut out = Vec::new();
        for (at, node) in nodes.iter_mut().enumerate() {
            if now_ms < node.down_until || node.build == Build::Unaware {
                continue;
            }
            if owner_at == at {
                let issuer = node.issuer.get_or_insert_with(|| Issuer::new(limit, 1.0, now));
                for Grant { host, asked, count } in issuer.poll(now) {
                    let to = names.iter().position(|name| *name == host).unwrap();
                    out.push((at, to, Message::Grant { asked, count }));
                }
            } else {
                node.issuer = None;
                if node.silence.is_silent(&owner)
                    && !node.permits.is_valid(&target, now)
                    && node.ration.take(&target, limit, HOSTS, 1.0, now)
                {
                    node.permits.add_own(&target, now);
                }
            }
            if node.permits.take(&target, now) {
                sends.push((now_ms, at));
            }
            if node.permits.ask(&target, now) {
                if node.build == Build::Today && owner_at != at {
                    node.silence.ask(&owner, now);
                }
                out.push((at, owner_at, Message::Ask { asked: now }));
            }
        }
        for (from, to, message) in out {
            if from == to || !rng.random_bool(loss) {
                in_transit.push((now_ms + 10, from, to, message));
            }
        }
        let due: Vec<_> = in_transit.extract_if(.., |(at, ..)| *at <= now_ms).collect();
        for (_, from, to, message) in due {
            let node = &mut nodes[to];
            if now_ms < node.down_until || node.build == Build::Unaware {
                continue;
            }
            node.silence.hear(&names[from]);
            match (message, &mut node.issuer) {
                (Message::Ask { asked }, Some(issuer)) => issuer.ask(&names[from], asked, 1, now),
                (Message::Ask { .. }, None) => {}
                (Message::Grant { asked, count }, _) => {
                    node.permits.grant(&target, asked, count, now);
                }
            }
        }
    }
    sends
}

/// All hosts of `from`, then one more of `to` in each step.
fn roll(from: Build, to: Build) -> Vec<Vec<Build>> {
    let step = |new: usize| (0..HOSTS).map(|at| if at < new { to } else { from }).collect();
    (0..=HOSTS).map(step).collect()
}

#[rstest]
#[case::upgrade(Build::Unaware, Build::Today, 0.0)]
#[case::roll_back(Build::Today, Build::Unaware, 0.0)]
#[case::upgrade_lossy(Build::Unaware, Build::Today, 0.1)]
#[case::from_landed(Build::Landed, Build::Today, 0.0)]
#[case::back_to_landed(Build::Today, Build::Landed, 0.1)]
fn upgrade_keeps_the_limit_and_starves_no_host(
    #[case] from: Build,
    #[case] to: Build,
    #[case] loss: f64,
    #[values(2.0, 6.0)] per_second: f64,
) {
    const STEP_MS: u64 = 12_000;
    let limit = Limit::try_from(per_second).unwrap();
    let allowed = (1.5 * per_second * WINDOW_MS as f64 / 1000.0 + 5.0) as usize;
    let builds = roll(from, to);
    for seed in 0..6 {
        let sends = play(&builds, STEP_MS, limit, loss, seed);
        for (start, _) in &sends {
            let within = sends.iter().filter(|(at, _)| (*start..start + WINDOW_MS).contains(at));
            let count = within.count();
            assert!(count <= allowed, "seed {seed}: {count} requests, {allowed} are allowed");
        }
        let mut counts: HashMap<(usize, usize), usize> = HashMap::new();
        for (at, host) in &sends {
            *counts.entry(((at / STEP_MS) as usize, *host)).or_default() += 1;
        }
        for (step, builds) in builds.iter().enumerate() {
            for at in (0..HOSTS).filter(|at| builds[*at] == Build::Today) {
                let count = counts.get(&(step, at)).copied().unwrap_or_default();
                assert!(count > 0, "seed {seed}: host {at} sent nothing in step {step}");
            }
        }
    }
}

/// Without rations, requests of the hosts that know limits wait in vain.
#[test]
fn landed_build_starves_beside_a_responsible_host_that_knows_no_limits() {
    let builds = vec![vec![Build::Landed; HOSTS], roll(Build::Landed, Build::Unaware)[1].clone()];
    let limit = Limit::try_from(6.0).unwrap();
    let starves = |seed| {
        let sends = play(&builds, 12_000, limit, 0.0, seed);
        !sends.iter().any(|(at, _)| *at > 14_000)
    };
    assert!((0..20).any(starves));
}

#[test]
fn host_that_once_spoke_of_limits_is_not_silent() {
    let (spoke, never) = (host(1), host(2));
    let mut silence = Silence::default();
    silence.hear(&spoke);
    for ms in (0..5000).step_by(300) {
        silence.ask(&spoke, after(ms));
        silence.ask(&never, after(ms));
        assert!(!silence.is_silent(&spoke));
        assert_eq!(silence.is_silent(&never), ms >= 2000, "{ms}");
    }
    silence.forget(&never);
    assert!(!silence.is_silent(&never));
    // Asks with pauses between them tell nothing.
    for ms in (10_000..30_000).step_by(1500) {
        silence.ask(&never, after(ms));
    }
    assert!(!silence.is_silent(&never));
}
