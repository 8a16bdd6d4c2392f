//! Ports and fault rules of a link.

use std::net::IpAddr;
use std::net::SocketAddr;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::time::Duration;

use rand::Rng;
use serde::Deserialize;
use serde::Serialize;

/// Transport of a port.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Protocol {
    Tcp,
    Udp,
}

/// A listening address of the link whose traffic is forwarded to an upstream address.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct Port {
    pub protocol: Protocol,
    /// Address to listen on; port 0 picks a free port.
    pub listen: SocketAddr,
    pub upstream: SocketAddr,
}

/// Faults injected into one direction of traffic.
#[derive(Clone, Copy, Debug, Default, PartialEq, Deserialize, Serialize)]
#[serde(default)]
pub struct Fault {
    /// Whether all traffic is blocked; TCP connections stay open.
    pub cut: bool,
    /// Whether TCP connections are closed, both existing and new ones.
    pub reset: bool,
    /// Share of datagrams lost, 0.0 to 1.0; TCP ignores it.
    pub drop: f64,
    /// Delay added to each chunk or datagram, in milliseconds.
    pub delay_ms: u64,
    /// Share of datagrams sent twice, 0.0 to 1.0; TCP ignores it.
    pub duplicate: f64,
}

impl Fault {
    pub(super) fn delay(&self) -> Duration {
        Duration::from_millis(self.delay_ms)
    }

    /// Returns how many copies of a datagram are forwarded.
    pub(super) fn copies(&self) -> usize {
        let lost = self.cut || occurs(self.drop);
        match (lost, occurs(self.duplicate)) {
            (true, _) => 0,
            (false, false) => 1,
            (false, true) => 2,
        }
    }
}

fn occurs(share: f64) -> bool {
    share > 0.0 && rand::rng().random_bool(share.min(1.0))
}

/// Applies faults to the traffic that matches its addresses; the last matching rule wins.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize, Serialize)]
pub struct Rule {
    /// Client address; none means any.
    #[serde(default)]
    pub from: Option<IpAddr>,
    /// Upstream address; none means any.
    #[serde(default)]
    pub to: Option<IpAddr>,
    /// Upstream port; none means any.
    #[serde(default)]
    pub to_port: Option<u16>,
    /// Fault from the client to the upstream.
    #[serde(default)]
    pub forth: Fault,
    /// Fault from the upstream to the client.
    #[serde(default)]
    pub back: Fault,
}

impl Rule {
    fn applies_to(&self, client: IpAddr, upstream: SocketAddr) -> bool {
        self.from.is_none_or(|from| from == client)
            && self.to.is_none_or(|to| to == upstream.ip())
            && self.to_port.is_none_or(|port| port == upstream.port())
    }
}

/// One direction of traffic.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Direction {
    ToUpstream,
    ToClient,
}

/// The fault rules currently in force.
#[derive(Debug, Default)]
pub(super) struct State {
    rules: Mutex<Vec<Rule>>,
}

impl State {
    fn lock(&self) -> MutexGuard<'_, Vec<Rule>> {
        self.rules.lock().expect("no holder of the lock panics")
    }

    pub(super) fn rules(&self) -> Vec<Rule> {
        self.lock().clone()
    }

    pub(super) fn set_rules(&self, rules: Vec<Rule>) {
        *self.lock() = rules;
    }

    /// Returns the fault of one direction between a client and an upstream.
    pub(super) fn fault(
        &self,
        client: IpAddr,
        upstream: SocketAddr,
        direction: Direction,
    ) -> Fault {
        let rules = self.lock();
        let rule = rules.iter().rev().find(|rule| rule.applies_to(client, upstream));
        match (rule, direction) {
            (None, _) => Fault::default(),
            (Some(rule), Direction::ToUpstream) => rule.forth,
            (Some(rule), Direction::ToClient) => rule.back,
        }
    }
}
