//! A fleet with one service and one granted key.

use std::time::Duration;

use chicoryloom_harness::Fleet;
use chicoryloom_harness::Granted;
use chicoryloom_harness::HostNode;
use chicoryloom_harness::Plan;
use chicoryloom_harness::until;
use chicoryloom_standin::link::Fault;
use chicoryloom_standin::link::Rule;
use chicoryloom_standin::platform::Switches;
use serde_json::Value;

/// Freshness window of the fleets.
pub const WINDOW: Duration = Duration::from_millis(1500);
const SETTINGS: &str =
    "policy: { fresh_window_ms: 1500, heartbeat_ms: 250 }\nlog: { level: error }";
const ROUTES: &str = "  - { name: all, path: /, repeatable: true }
  - { name: hours, path: /hours, open: true, repeatable: true }";
const WORKSPACES: &str = "  - { workspace: prairie, rate: 1000, burst: 1000 }";
/// Requests to one host that must all be refused.
const REFUSED: usize = 5;

/// An answer, as far as tests look at it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Answer {
    pub status: u16,
    /// What the answer says of a run; empty if it says nothing.
    pub run: String,
}

impl Answer {
    /// Tells whether the fleet refused, and says that the request did not run.
    pub fn is_not_run(&self) -> bool {
        self.run == "not-run"
    }
}

/// A fleet with one service and one granted key.
pub struct Case {
    pub fleet: Fleet,
    pub key: Granted,
    /// Version of the document.
    pub version: u64,
}

impl Case {
    pub async fn start(hosts: usize) -> Self {
        let plan = Plan { hosts, settings: SETTINGS.to_owned(), ..Plan::default() };
        let fleet = Fleet::start(plan).await.unwrap();
        let text = fleet.document("calendar", ROUTES, WORKSPACES);
        let version = fleet.put_document(0, "calendar", 0, &text).await.unwrap();
        let key = fleet.grant_key(0, "prairie").await.unwrap();
        fleet.in_force(key.version).await;
        let case = Self { fleet, key, version };
        for host in 0..hosts {
            case.until_answered(host).await;
        }
        case.until_accepted().await;
        case
    }

    /// Returns the document with another rate.
    pub fn document(&self, rate: u32) -> String {
        let workspaces = format!("  - {{ workspace: prairie, rate: {rate}, burst: 1000 }}");
        self.fleet.document("calendar", ROUTES, &workspaces)
    }

    pub async fn ask(&self, host: usize, path: &str) -> Answer {
        let url = format!("http://{}/calendar/{path}", self.fleet.hosts[host].caller);
        let request = self.fleet.client().get(url).bearer_auth(&self.key.key);
        let answer = request.send().await.unwrap();
        let run = answer.headers().get("chicory-run");
        Answer {
            status: answer.status().as_u16(),
            run: run.and_then(|run| run.to_str().ok()).unwrap_or_default().to_owned(),
        }
    }

    pub async fn until_answered(&self, host: usize) {
        until(&format!("host {host} answers"), async || self.ask(host, "x").await.status == 200)
            .await;
    }

    pub async fn until_refused(&self, host: usize) {
        until(&format!("host {host} refuses the key"), async || {
            let answer = self.ask(host, "x").await;
            matches!(answer.status, 401 | 503) && answer.is_not_run()
        })
        .await;
    }

    /// Checks that no host runs anything with the key any more; the journals decide.
    pub async fn assert_withdrawn(&self) {
        for host in 0..self.fleet.hosts.len() {
            self.until_refused(host).await;
        }
        let before = self.runs().await;
        for host in 0..self.fleet.hosts.len() {
            for _ in 0..REFUSED {
                assert!(self.ask(host, "late").await.is_not_run());
            }
        }
        assert_eq!(self.runs().await, before, "a withdrawn key ran");
    }

    /// Returns how many requests the targets ran.
    pub async fn runs(&self) -> usize {
        self.fleet.journals().await.unwrap().len()
    }

    pub async fn withdraw(&self, through: usize) {
        self.fleet.withdraw_key(through, &self.key.digest).await.unwrap();
    }

    pub async fn until_accepted(&self) {
        until("the document is accepted", async || {
            let state = self.state(0).await;
            state["accepted"].as_u64() >= Some(self.version)
        })
        .await;
    }

    pub async fn until_fresh(&self, host: usize, fresh: bool) {
        until(&format!("host {host} is fresh: {fresh}"), async || {
            self.fleet.status(host).await.is_ok_and(|status| status["fresh"] == fresh)
        })
        .await;
    }

    /// Returns what a host reports of the accepted state.
    pub async fn state(&self, host: usize) -> Value {
        let status = self.fleet.status(host).await.unwrap_or_default();
        status["state"].clone()
    }

    pub async fn platform_down(&self, down: bool) {
        let switches = Switches { down, ..Switches::default() };
        self.fleet.switch_platform(&switches).await.unwrap();
    }

    /// Calls a switch of the platform stand-in.
    pub async fn platform_post(&self, name: &str) {
        let url = format!("http://{}/standin/{name}", self.fleet.platform.address("listen"));
        self.fleet.client().post(url).send().await.unwrap().error_for_status().unwrap();
    }
}

const CUT: Fault = Fault { cut: true, reset: false, drop: 0.0, delay_ms: 0, duplicate: 0.0 };
const WHOLE: Fault = Fault { cut: false, ..CUT };

/// Returns rules that cut what a host sends, what it receives, or both.
pub fn cut(fleet: &Fleet, host: usize, sends: bool, receives: bool) -> Vec<Rule> {
    let fault = |is_cut| if is_cut { CUT } else { WHOLE };
    let host = &fleet.hosts[host];
    let others = fleet.hosts.iter().filter(|other| other.name != host.name);
    let mut rules = Vec::new();
    for other in others {
        rules.push(rule(host, other, fault(sends), fault(receives)));
        rules.push(rule(other, host, fault(receives), fault(sends)));
    }
    rules.push(Rule {
        from: Some(host.source),
        to_port: Some(fleet.platform.address("listen").port()),
        forth: fault(sends),
        back: fault(receives),
        to: None,
    });
    rules
}

fn rule(from: &HostNode, to: &HostNode, forth: Fault, back: Fault) -> Rule {
    Rule { from: Some(from.source), to: Some(to.peer.ip()), to_port: None, forth, back }
}
