//! The fleet, documents, keys and callers of a scenario.

use std::collections::HashMap;
use std::fmt::Write;
use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::RwLock;

use chicoryloom_harness::Fleet;
use chicoryloom_harness::Granted;
use chicoryloom_harness::Plan;
use chicoryloom_standin::link;
use chicoryloom_standin::target;
use tokio::time::Instant;

use crate::Error;
use crate::caller::BOOK_PATH;
use crate::caller::Caller;
use crate::caller::DOWNLOAD_PATH;
use crate::caller::POISON_PATH;
use crate::caller::READ_PATH;
use crate::caller::World;
use crate::scenario::Scenario;

/// Address that ports of the link listen on.
const ANY: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 0);
/// Share of the declared slots that ejection always leaves in.
pub(crate) const FLOOR: f64 = 0.5;

/// A document in force, with what an edit needs.
#[derive(Debug)]
pub(crate) struct Document {
    pub(crate) version: u64,
    pub(crate) leaving: Vec<bool>,
}

/// A fleet that stands ready for traffic.
#[derive(Debug)]
pub(crate) struct Stage {
    pub(crate) fleet: Fleet,
    pub(crate) documents: Vec<Document>,
    /// Keys by workspace and caller.
    pub(crate) keys: Vec<Vec<Granted>>,
    /// Ports of the link that lead to hosts, by the host's own address.
    ports: HashMap<SocketAddr, SocketAddr>,
}

impl Stage {
    /// Starts the fleet, writes the documents and grants the keys.
    pub(crate) async fn build(scenario: &Scenario) -> Result<Self, Error> {
        let fleet = Fleet::start(plan(scenario)).await.map_err(Error::fleet("start"))?;
        let mut stage =
            Self { fleet, documents: Vec::new(), keys: Vec::new(), ports: HashMap::new() };
        if scenario.fleet.caller_delay_ms > 0 {
            for host in 0..stage.fleet.hosts.len() {
                stage.open_port(host).await?;
            }
        }
        stage.set_rules(scenario, &[]).await?;
        for (index, service) in scenario.services.iter().enumerate() {
            let document = Document { version: 0, leaving: vec![false; service.targets as usize] };
            stage.documents.push(document);
            stage.write_document(scenario, index, 0).await?;
        }
        for (index, workspace) in scenario.workspaces.iter().enumerate() {
            let mut keys = Vec::new();
            for caller in 0..workspace.callers as usize {
                let host = (index + caller) % stage.fleet.hosts.len();
                let granted = stage.fleet.grant_key(host, &workspace.name).await;
                keys.push(granted.map_err(Error::fleet("grant a key"))?);
            }
            stage.keys.push(keys);
        }
        stage.until_in_force().await;
        Ok(stage)
    }

    /// Opens a port of the link through which callers reach a host, and returns its address.
    pub(crate) async fn open_port(&mut self, host: usize) -> Result<SocketAddr, Error> {
        let own = self.fleet.hosts[host].caller;
        let opened = self.fleet.open_port(link::Protocol::Tcp, ANY, own).await;
        let port = opened.map_err(Error::fleet("open a port for callers"))?;
        self.ports.insert(own, port);
        Ok(port)
    }

    /// Sets the link's delays, and rules of faults on top of them.
    pub(crate) async fn set_rules(
        &self,
        scenario: &Scenario,
        faults: &[link::Rule],
    ) -> Result<(), Error> {
        let delay = |delay_ms| link::Fault { delay_ms, ..link::Fault::default() };
        let between = delay(scenario.fleet.host_delay_ms);
        let to_host = delay(scenario.fleet.caller_delay_ms);
        let any = link::Rule { from: None, to: None, to_port: None, forth: between, back: between };
        let mut rules = vec![any];
        rules.extend(self.ports.keys().map(|host| link::Rule {
            from: None,
            to: Some(host.ip()),
            to_port: Some(host.port()),
            forth: to_host,
            back: to_host,
        }));
        rules.extend_from_slice(faults);
        self.fleet.rules(&rules).await.map_err(Error::fleet("set link rules"))
    }

    /// Writes a service's document, as it is to be now, through one host.
    pub(crate) async fn write_document(
        &mut self,
        scenario: &Scenario,
        service: usize,
        host: usize,
    ) -> Result<(), Error> {
        let text = self.document(scenario, service);
        let document = &mut self.documents[service];
        let name = &scenario.services[service].name;
        let written = self.fleet.put_document(host, name, document.version, &text).await;
        document.version = written.map_err(Error::fleet("write a document"))?;
        Ok(())
    }

    fn document(&self, scenario: &Scenario, service: usize) -> String {
        let spec = &scenario.services[service];
        let mut text = format!("service: {}\nfloor: {FLOOR}\nroutes:\n", spec.name);
        let routes = [
            ("read", READ_PATH, true),
            ("book", BOOK_PATH, false),
            ("download", DOWNLOAD_PATH, true),
            ("poison", POISON_PATH, true),
        ];
        for (name, path, repeatable) in routes {
            line(
                &mut text,
                &format!(
                    "  - {{ name: {name}, path: {path}, repeatable: {repeatable}, class: {name} }}"
                ),
            );
        }
        line(&mut text, "workspaces:");
        for (index, workspace) in scenario.workspaces.iter().enumerate() {
            let (rate, burst) = scenario.grant(index, service);
            let name = &workspace.name;
            line(&mut text, &format!("  - {{ workspace: {name}, rate: {rate}, burst: {burst} }}"));
        }
        line(&mut text, "targets:");
        let first = scenario.first_target(service);
        let targets = &self.fleet.targets[first..first + spec.targets as usize];
        for (target, leaving) in targets.iter().zip(&self.documents[service].leaving) {
            let address = target.address;
            let data_centre = &target.data_centre;
            let (slots, connections) = (spec.slots, spec.connections);
            line(
                &mut text,
                &format!(
                    "  - {{ address: '{address}', data_centre: {data_centre}, slots: {slots}, \
                     connections: {connections}, leaving: {leaving} }}"
                ),
            );
        }
        text
    }

    /// Waits until every host serves with all documents, keys and hosts.
    pub(crate) async fn until_in_force(&self) {
        let keys: usize = self.keys.iter().map(Vec::len).sum();
        let hosts = self.fleet.hosts.len();
        for host in 0..hosts {
            chicoryloom_harness::until(&format!("host {host} holds everything"), async || {
                let Ok(status) = self.fleet.status(host).await else {
                    return false;
                };
                let documents = status["documents"].as_array().map_or(0, Vec::len);
                status["fresh"] == true
                    && documents == self.documents.len()
                    && status["keys"].as_u64() >= Some(keys as u64)
                    && status["hosts"].as_u64() >= Some(hosts as u64)
            })
            .await;
        }
    }

    /// Returns what all callers share; the run's clock starts now.
    pub(crate) fn world(&self, scenario: &Scenario) -> World {
        World {
            started: Instant::now(),
            via: RwLock::new(self.ports.clone()),
            seeds: self.fleet.hosts.iter().map(|host| host.caller).collect(),
            download_bytes: scenario.services.iter().map(|s| s.download_bytes).collect(),
            services: scenario.services.iter().map(|service| service.name.clone()).collect(),
        }
    }

    /// Returns the callers of each workspace.
    pub(crate) fn callers(&self, world: &Arc<World>) -> Vec<Vec<Arc<Caller>>> {
        let workspaces = self.keys.iter().enumerate();
        let callers = |(workspace, keys): (usize, &Vec<Granted>)| {
            let keys = keys.iter().enumerate();
            keys.map(|(index, granted)| {
                Arc::new(Caller::new(world.clone(), workspace, index, granted.key.clone()))
            })
            .collect()
        };
        workspaces.map(callers).collect()
    }
}

fn plan(scenario: &Scenario) -> Plan {
    let targets = scenario.services.iter().flat_map(|service| {
        let switches = target::Switches {
            slots: service.slots,
            connections: service.connections,
            service_ms: service.run_ms,
            ..target::Switches::default()
        };
        vec![switches; service.targets as usize]
    });
    let fleet = &scenario.fleet;
    Plan {
        hosts: fleet.hosts as usize,
        data_centres: fleet.data_centres.clone(),
        targets: targets.collect(),
        link_targets: fleet.host_delay_ms > 0,
        settings: format!(
            "policy: {{ division: {}, detection: {} }}\nlog: {{ level: warn }}",
            fleet.division, fleet.detection
        ),
    }
}

fn line(text: &mut String, line: &str) {
    writeln!(text, "{line}").expect("a string takes all text");
}
