//! A small deployment: gateways, a store and servers on loopback addresses.

use std::fs;
use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use serde_json::Value;
use serde_json::json;

use crate::gateway::Gateway;
use crate::gateway::Ports;
use crate::http::wait_until;
use crate::record::Record;
use crate::server::Manner;
use crate::server::Run;
use crate::server::Server;
use crate::store::Store;

pub const HOST: &str = "cascadia.example";
pub const KEY: &str = "key-of-yefi";
/// Start of the servers, in Unix milliseconds.
pub const BORN: u64 = 1_764_000_000_000;

#[derive(Debug)]
pub struct Site {
    pub gateways: Vec<Gateway>,
    pub store: Store,
    pub servers: Vec<Server>,
    pub runs: Arc<Mutex<Vec<Run>>>,
    folder: PathBuf,
}

/// Returns an address of the deployment's own part of the loopback network.
fn address(network: u8, host: u8) -> IpAddr {
    Ipv4Addr::new(127, 90, network, host).into()
}

fn free_port(at: IpAddr) -> u16 {
    let listener = TcpListener::bind((at, 0)).expect("a free port");
    listener.local_addr().expect("a bound port").port()
}

impl Site {
    /// Starts the store, the servers and the gateways, and waits until these are ready. `None` if
    /// they don't get so far.
    pub fn start(
        record: &Record,
        config: Value,
        gateways: usize,
        servers: &[(&str, Duration, Manner)],
    ) -> Option<Self> {
        let root = PathBuf::from(std::env::var_os("REVIEW_ROOT")?);
        let program = root.join("target/release/chicoryloom-gateway");
        let folder = std::env::temp_dir().join(format!("review-3-{}", std::process::id()));
        fs::create_dir_all(&folder).ok()?;
        let network = (std::process::id() % 250 + 1) as u8;
        let store_address = address(network, 1);
        let store = Store::start(SocketAddr::new(store_address, free_port(store_address))).ok()?;
        store.put("config", "main", json!({ "specification": config }));
        let runs = Arc::new(Mutex::new(Vec::new()));
        let mut started = Vec::new();
        for (index, (service, work, manner)) in servers.iter().enumerate() {
            let at = SocketAddr::new(address(network, 100 + index as u8), 0);
            let id = format!("i-{service}-{index}");
            let server = Server::start(&id, at, *work, *manner, runs.clone(), record.clone());
            let server = server.ok()?;
            store.put("servers", &id, entry(&server, service, index, BORN));
            started.push(server);
        }
        let probe = address(network, 10);
        let ports = Ports {
            caller: free_port(probe),
            ready: free_port(probe),
            locator: free_port(probe),
            peer: free_port(probe),
            metrics: free_port(probe),
        };
        let addresses: Vec<_> = (0..gateways).map(|at| address(network, 10 + at as u8)).collect();
        let mut running = Vec::new();
        for (index, at) in addresses.iter().enumerate() {
            let seeds = &addresses[..addresses.len().min(3)];
            let gateway =
                Gateway::start(&program, &folder, index, *at, ports, seeds, store.address);
            running.push(gateway.ok()?);
        }
        let ready = wait_until(Duration::from_secs(15), || running.iter().all(Gateway::is_ready));
        if !ready {
            record.line("the gateways aren't ready in time");
            return None;
        }
        // Traffic starts some seconds after the machines do.
        std::thread::sleep(Duration::from_secs(3));
        Some(Self { gateways: running, store, servers: started, runs, folder })
    }
}

impl Drop for Site {
    fn drop(&mut self) {
        self.gateways.clear();
        let _ = fs::remove_dir_all(&self.folder);
    }
}

/// Returns a server's entry in the store.
pub fn entry(server: &Server, service: &str, index: usize, born: u64) -> Value {
    let zone = if index.is_multiple_of(2) { "cascadia-a" } else { "cascadia-b" };
    json!({
        "specification": {
            "address": server.address.to_string(), "born": born,
            "information": { "service": service, "version": "v1", "zone": zone, "slots": 4 },
        },
        "status": { "state": "ready", "sequence": 1, "warmupRemainingMs": 0 },
    })
}

/// Returns a rule of a configuration.
pub fn rule(prefix: &str, kind: &str, service: &str, timeout_ms: u64) -> Value {
    json!({
        "name": format!("r-{}", prefix.trim_matches('/')), "kind": kind, "targetLatencyMs": 1200,
        "priority": 1, "publicAccess": false, "matchCriteria": { "pathPrefix": prefix },
        "routeAction": { "service": service, "timeoutMs": timeout_ms, "maxAttempts": 2 },
    })
}

/// Returns a configuration with one host name and one tenant.
pub fn config(version: u64, rules: &[Value], services: &[&str]) -> Value {
    let cluster = |name: &&str| {
        json!({
            "name": name, "healthCheckPath": "/health", "maxConnections": 390, "protocol": "h1",
            "tls": false,
        })
    };
    json!({
        "version": format!("r{version}"),
        "limits": {
            "maxHeaderBytes": 16384, "maxBodyBytes": 67108864, "headerTimeoutMs": 3000,
            "idleTimeoutMs": 15000,
        },
        "tenants": [{
            "name": "yefi830", "apiKeys": [KEY], "priority": 0, "requestsPerS": 0, "burstSize": 0,
        }],
        "listeners": [{ "host": HOST, "ruleSet": rules }],
        "clusters": services.iter().map(cluster).collect::<Vec<_>>(),
    })
}
