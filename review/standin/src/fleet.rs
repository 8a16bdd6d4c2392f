//! A small deployment: the store, servers, and the gateways as separate processes.

use std::collections::BTreeMap;
use std::fs;
use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use crate::http::Connection;
use crate::http::End;
use crate::record::Record;
use crate::server::Run;
use crate::server::Server;
use crate::store::Store;

const CALLER_PORT: u16 = 8782;
const LOCATOR_PORT: u16 = 8780;
const READY_PORT: u16 = 8789;
const CONTROL_PORT: u16 = 8783;
const PEER_PORT: u16 = 7340;
const METRICS_PORT: u16 = 7355;
const STORE_PORT: u16 = 8784;
const SERVER_PORT: u16 = 8080;
pub const KEY: &str = "key-of-prairie";

/// Signals that the platform sends, with their numbers on Linux.
#[derive(Clone, Copy, Debug)]
pub enum Signal {
    Hup = 1,
    Kill = 9,
    Term = 15,
}

/// A gateway process; killed when dropped.
pub struct Gateway {
    pub name: String,
    pub address: IpAddr,
    settings: PathBuf,
    child: Option<Child>,
    /// When the process ended, in seconds since the start of the case.
    pub ended: Option<f64>,
}

impl Gateway {
    fn spawn(&mut self) -> std::io::Result<()> {
        let log = fs::File::options()
            .create(true)
            .append(true)
            .open(self.settings.with_extension("log"))?;
        // The command of deploy/system.toml.
        let child = Command::new("target/release/chicoryloom-gateway")
            .env_clear()
            .env("PATH", std::env::var_os("PATH").unwrap_or_default())
            .env("CHICORYLOOM_SETTINGS", &self.settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        self.child = Some(child);
        Ok(())
    }

    /// Kills the process and starts it again, as the platform does with one that is lost.
    pub fn restart(&mut self) -> bool {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
        self.spawn().is_ok()
    }

    /// Sends a signal to the process, which the case has started.
    pub fn signal(&self, signal: Signal) {
        unsafe extern "C" {
            fn kill(process: i32, signal: i32) -> i32;
        }
        if self.ended.is_none()
            && let Some(child) = &self.child
            && let Ok(process) = i32::try_from(child.id())
        {
            // SAFETY: a plain call of the C library. The child has not been waited for, so that its id is
            // not another process's.
            unsafe { kill(process, signal as i32) };
        }
    }

    pub fn has_ended(&mut self, record: &Record) -> bool {
        let Some(child) = &mut self.child else { return true };
        if self.ended.is_none()
            && let Ok(Some(status)) = child.try_wait()
        {
            self.ended = Some(record.now());
            record.say(format!("gateway {} has ended: {status}", self.name));
        }
        self.ended.is_some()
    }

    pub fn caller(&self) -> SocketAddr {
        SocketAddr::new(self.address, CALLER_PORT)
    }

    pub fn log(&self) -> String {
        fs::read_to_string(self.settings.with_extension("log")).unwrap_or_default()
    }

    pub fn is_ready(&self) -> bool {
        let address = SocketAddr::new(self.address, READY_PORT);
        get(address, "/readiness").is_some_and(|(status, _)| status == 200)
    }

    /// Asks the directory, as a client does.
    pub fn resolve(&self, zone: &str) -> Vec<SocketAddr> {
        let address = SocketAddr::new(self.address, LOCATOR_PORT);
        let path = format!("/resolution?name=prairie.example&region=centro-sur&zone={zone}");
        let Some((200, body)) = get(address, &path) else { return Vec::new() };
        body.split('"').filter_map(|text| text.parse().ok()).collect()
    }
}

impl Drop for Gateway {
    fn drop(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

fn get(address: SocketAddr, path: &str) -> Option<(u16, String)> {
    let mut connection = Connection::open(address)?;
    connection.send(format!("GET {path} HTTP/1.1\r\nHost: x\r\n\r\n").as_bytes());
    let end = Instant::now() + Duration::from_secs(1);
    let head = connection.head(end).ok()?;
    let (body, _) = connection.body(&head, end, None);
    Some((head.status(), String::from_utf8_lossy(&body).into_owned()))
}

/// A request of a client.
#[derive(Clone)]
pub struct Request {
    pub id: String,
    pub method: &'static str,
    pub path: String,
    pub deadline: Duration,
    pub key: &'static str,
    /// Bytes a second at which the client reads the body; `None` for as fast as it can.
    pub rate: Option<f64>,
    /// How long the client waits at all.
    pub patience: Duration,
}

/// What a client saw of a request.
#[derive(Clone, Debug)]
pub struct Answer {
    pub id: String,
    pub sent: f64,
    pub ended: f64,
    /// 0 if no head came.
    pub status: u16,
    pub received: usize,
    pub announced: Option<usize>,
    pub end: End,
    pub has_seal: bool,
}

impl Answer {
    pub fn is_whole(&self) -> bool {
        self.status > 0 && self.end == End::Whole
    }
}

/// Sends a request on a connection and reads its answer.
pub fn exchange(connection: &mut Connection, request: &Request, record: &Record) -> Answer {
    let length = if request.method == "POST" { "Content-Length: 0\r\n" } else { "" };
    let text = format!(
        "{} {} HTTP/1.1\r\nHost: prairie.example\r\nX-Chicoryloom-Attempt-Id: {}\r\n\
         X-Chicoryloom-Deadline-Remaining-Ms: {}\r\nApi-Key: {}\r\n{length}\r\n",
        request.method,
        request.path,
        request.id,
        request.deadline.as_millis(),
        request.key,
    );
    let sent = record.now();
    let limit = Instant::now() + request.patience;
    record.add(format!("client sends {} {} {}", request.id, request.method, request.path));
    connection.send(text.as_bytes());
    let mut answer = Answer {
        id: request.id.clone(),
        sent,
        ended: sent,
        status: 0,
        received: 0,
        announced: None,
        end: End::Closed,
        has_seal: false,
    };
    match connection.head(limit) {
        Ok(head) => {
            answer.status = head.status();
            answer.announced = head.get("content-length").and_then(|text| text.parse().ok());
            answer.has_seal = head.get("x-chicoryloom-response-seal").is_some();
            record.add(format!("client gets the head of {}: {}", request.id, answer.status));
            let (body, end) = connection.body(&head, limit, request.rate);
            answer.received = body.len();
            answer.end = end;
        }
        Err(end) => answer.end = end,
    }
    answer.ended = record.now();
    record.add(format!(
        "client's {} ends after {:.3} s: status {}, {} of {:?} bytes, {:?}",
        answer.id,
        answer.ended - answer.sent,
        answer.status,
        answer.received,
        answer.announced,
        answer.end
    ));
    answer
}

pub struct Fleet {
    pub record: Record,
    pub store: Store,
    pub gateways: Vec<Gateway>,
    pub servers: Vec<Server>,
    pub runs: Arc<Mutex<Vec<Run>>>,
    subnet: [u8; 2],
    folder: PathBuf,
    services: BTreeMap<String, String>,
}

impl Fleet {
    /// Starts a store on a free subnet of the loopback network.
    pub fn new(record: &Record) -> Option<Self> {
        for attempt in 0..200u32 {
            let number = std::process::id().wrapping_mul(7).wrapping_add(attempt * 31);
            let subnet = [(40 + number / 250 % 200) as u8, (1 + number % 250) as u8];
            let address = |host: u8, port: u16| {
                SocketAddr::new(IpAddr::V4(Ipv4Addr::new(127, subnet[0], subnet[1], host)), port)
            };
            let free = [CALLER_PORT, LOCATOR_PORT, READY_PORT, PEER_PORT, METRICS_PORT];
            if !free.iter().all(|port| TcpListener::bind(address(10, *port)).is_ok()) {
                continue;
            }
            let Ok(store) = Store::start(address(250, STORE_PORT)) else { continue };
            let folder = std::env::temp_dir().join(format!(
                "review-{}-{}-{}",
                std::process::id(),
                subnet[0],
                subnet[1]
            ));
            fs::create_dir_all(&folder).ok()?;
            return Some(Self {
                record: record.clone(),
                store,
                gateways: Vec::new(),
                servers: Vec::new(),
                runs: Arc::default(),
                subnet,
                folder,
                services: BTreeMap::new(),
            });
        }
        None
    }

    fn address(&self, host: u8, port: u16) -> SocketAddr {
        SocketAddr::new(IpAddr::V4(Ipv4Addr::new(127, self.subnet[0], self.subnet[1], host)), port)
    }

    /// Starts a gateway with the settings of deploy/settings.yaml, filled in for a machine of the site
    /// sntel-flota.
    pub fn add_gateway(&mut self, zone: &str) -> bool {
        let index = self.gateways.len() as u8;
        let own = self.address(10 + index, 0).ip();
        let seeds: Vec<_> =
            (0..3).map(|seed| format!("'{}'", self.address(10 + seed, CONTROL_PORT))).collect();
        let name = format!("frontend-{zone}-{index}");
        let text = format!(
            "host:\n  name: {name}\n  data_centre: {zone}\n  address: {own}\n  cores: 0.2\n  \
             link_mbps: 1000.0\nlisten:\n  caller: {own}:{CALLER_PORT}\n  readiness: {own}:{READY_PORT}\n  \
             locator: {own}:{LOCATOR_PORT}\n  peer_port: {PEER_PORT}\n  metrics: {own}:{METRICS_PORT}\n\
             seeds: [{}]\nstore:\n  address: {}\nbounds:\n  grace_s: 6\n  retry_share: 0.2\n  \
             retry_burst: 56\n  rate_window_s: 5\n  floor: 0.7\n",
            seeds.join(", "),
            self.store.address,
        );
        let settings = self.folder.join(format!("{name}.yaml"));
        if fs::write(&settings, text).is_err() {
            return false;
        }
        let mut gateway = Gateway { name, address: own, settings, child: None, ended: None };
        let is_started = gateway.spawn().is_ok();
        self.gateways.push(gateway);
        is_started
    }

    /// Starts a server and lists it.
    pub fn add_server(&mut self, service: &str, zone: &str, slots: usize) -> bool {
        let index = self.servers.len() as u8;
        let address = self.address(100 + index, SERVER_PORT);
        let name = format!("i-{service}-{index}");
        let started = Server::start(&name, address, slots, self.runs.clone(), self.record.clone());
        let Ok(server) = started else { return false };
        self.list(&server, service, zone, slots, "ready");
        self.services.insert(name, service.to_owned());
        self.servers.push(server);
        true
    }

    /// Writes a server's entry.
    pub fn list(&self, server: &Server, service: &str, zone: &str, slots: usize, state: &str) {
        let name = server.name();
        let born = 1_796_000_000_000u64 + name.len() as u64;
        let fields = format!(
            "\"specification\":{{\"address\":\"{}\",\"born\":{born},\"information\":{{\"service\":\"{service}\",\
             \"version\":\"v1\",\"zone\":\"{zone}\",\"slots\":{slots}}},\"status\":{{\"state\":\"{state}\",\
             \"sequence\":1,\"warmupRemainingMs\":0}}}},\"status\":null",
            server.address()
        );
        self.store.put("servers", &name, &fields);
    }

    /// Writes the configuration. Each route is its name, kind, service and time-out in milliseconds.
    pub fn configure(&self, version: u64, routes: &[(&str, &str, &str, u64)]) {
        let named: Vec<_> =
            routes.iter().map(|one| (format!("r-{}", one.0), one.0, one.1, one.2, one.3)).collect();
        self.configure_named(version, &named, &[KEY]);
    }

    /// Does the same with the names of the routes before their paths, and with the keys of the tenant.
    pub fn configure_named(
        &self,
        version: u64,
        routes: &[(String, &str, &str, &str, u64)],
        keys: &[&str],
    ) {
        let rules: Vec<_> = routes
            .iter()
            .map(|(rule, name, kind, service, timeout)| {
                format!(
                    "{{\"name\":\"{rule}\",\"kind\":\"{kind}\",\"targetLatencyMs\":2000,\"priority\":1,\
                     \"publicAccess\":false,\"matchCriteria\":{{\"pathPrefix\":\"/{name}/\"}},\
                     \"routeAction\":{{\"service\":\"{service}\",\"timeoutMs\":{timeout},\"maxAttempts\":2}}}}"
                )
            })
            .collect();
        let mut services: Vec<_> = routes.iter().map(|route| route.3).collect();
        services.sort_unstable();
        services.dedup();
        let clusters: Vec<_> = services
            .iter()
            .map(|name| {
                format!(
                    "{{\"name\":\"{name}\",\"healthCheckPath\":\"/health\",\"maxConnections\":330,\
                     \"protocol\":\"h1\",\"tls\":false}}"
                )
            })
            .collect();
        let keys: Vec<_> = keys.iter().map(|key| format!("\"{key}\"")).collect();
        let keys = keys.join(",");
        let fields = format!(
            "\"specification\":{{\"version\":\"r{version}\",\"limits\":{{\"maxHeaderBytes\":16384,\
             \"maxBodyBytes\":67108864,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}},\"tenants\":[{{\
             \"name\":\"prairie\",\"apiKeys\":[{keys}],\"priority\":1,\"requestsPerS\":0,\"burstSize\":0}}],\
             \"listeners\":[{{\"host\":\"prairie.example\",\"ruleSet\":[{}]}}],\"clusters\":[{}]}},\"status\":null",
            rules.join(","),
            clusters.join(",")
        );
        let revision = self.store.put("config", "main", &fields);
        self.record.say(format!("the store acknowledges configuration r{version} at {revision}"));
    }

    /// Waits until all gateways are ready and have listed all servers.
    pub fn wait_until_ready(&mut self) -> bool {
        let end = Instant::now() + Duration::from_secs(20);
        let names: Vec<_> = self.servers.iter().map(Server::name).collect();
        while Instant::now() < end {
            let is_ready = |gateway: &Gateway| {
                let log = gateway.log();
                gateway.is_ready() && names.iter().all(|name| log.contains(name.as_str()))
            };
            if self.gateways.iter().all(is_ready) {
                self.record.say("all gateways are ready");
                return true;
            }
            std::thread::sleep(Duration::from_millis(50));
        }
        false
    }

    /// Ends all processes, and removes the temporary folder.
    pub fn end(&mut self, keep_logs: bool) {
        self.gateways.clear();
        if !keep_logs {
            let _ = fs::remove_dir_all(&self.folder);
        }
    }
}
