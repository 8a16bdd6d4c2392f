//! A fleet of real processes.

use std::env;
use std::fmt::Write;
use std::fs;
use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use chicoryloom_standin::link;
use chicoryloom_standin::platform;
use chicoryloom_standin::target;
use chicoryloom_wire::generated::caller::Hosts;
use chicoryloom_wire::generated::platform as raw;
use reqwest::Client;
use serde::Deserialize;
use serde::Serialize;
use serde::de::DeserializeOwned;
use serde_json::json;

use crate::process::Error;
use crate::process::Process;
use crate::wait;

/// Operator token of every fleet.
const TOKEN: &str = "operator";
/// Tries to find a port that is free for both UDP and TCP.
const PORT_TRIES: usize = 16;
/// Longest time of a call to a stand-in or to the administration API.
const CALL_TIMEOUT: Duration = Duration::from_secs(20);

/// What a fleet consists of.
#[derive(Clone, Debug)]
pub struct Plan {
    pub hosts: usize,
    /// Data centres that hosts and targets are dealt out to in turn.
    pub data_centres: Vec<String>,
    pub targets: Vec<target::Switches>,
    /// Whether hosts reach targets through the link.
    pub link_targets: bool,
    /// Lines for the hosts' settings, such as a `policy:` section.
    pub settings: String,
}

impl Default for Plan {
    fn default() -> Self {
        Self {
            hosts: 4,
            data_centres: ["regina", "saskatoon", "brandon", "lethbridge"]
                .map(str::to_owned)
                .to_vec(),
            targets: vec![target::Switches::default(); 2],
            link_targets: false,
            settings: String::new(),
        }
    }
}

/// An entry host of a fleet.
#[derive(Debug)]
pub struct HostNode {
    pub process: Process,
    pub name: String,
    pub data_centre: String,
    /// Address that the host's own connections come from.
    pub source: IpAddr,
    pub caller: SocketAddr,
    pub admin: SocketAddr,
    /// Peer address of the process itself, behind the link.
    pub peer: SocketAddr,
    /// Peer address that other hosts use, at the link.
    pub advertised: SocketAddr,
    settings: PathBuf,
}

/// A target of a fleet.
#[derive(Debug)]
pub struct TargetNode {
    pub process: Process,
    pub data_centre: String,
    /// Address of the process itself.
    pub direct: SocketAddr,
    /// Address that hosts use.
    pub address: SocketAddr,
    pub control: SocketAddr,
    pub switches: target::Switches,
}

/// A granted key.
#[derive(Clone, Debug, Deserialize)]
pub struct Granted {
    pub key: String,
    pub digest: String,
    /// Revision of the platform's store at the grant.
    pub version: u64,
}

/// A running fleet.
#[derive(Debug)]
pub struct Fleet {
    pub plan: Plan,
    pub platform: Process,
    pub link: Process,
    pub hosts: Vec<HostNode>,
    pub targets: Vec<TargetNode>,
    /// Address of the platform at the link.
    pub platform_link: SocketAddr,
    client: Client,
    folder: PathBuf,
}

impl Drop for Fleet {
    fn drop(&mut self) {
        // The folder holds settings only; one that stays behind does no harm.
        let _ = fs::remove_dir_all(&self.folder);
    }
}

impl Fleet {
    /// Starts a fleet and lists its hosts at the platform.
    pub async fn start(plan: Plan) -> Result<Self, Error> {
        let platform = Process::start("chicoryloom-standin", &strings(&["platform"])).await?;
        let link = Process::start("chicoryloom-standin", &strings(&["link"])).await?;
        let client = Client::builder()
            .no_proxy()
            .timeout(CALL_TIMEOUT)
            .build()
            .map_err(|error| Error::Call("client".to_owned(), error))?;
        let folder = temporary_folder()?;
        let mut fleet = Self {
            platform_link: platform.address("listen"),
            plan,
            platform,
            link,
            hosts: Vec::new(),
            targets: Vec::new(),
            client,
            folder,
        };
        let upstream = fleet.platform.address("listen");
        fleet.platform_link = fleet.open_port(link::Protocol::Tcp, any(1), upstream).await?;
        for index in 0..fleet.plan.targets.len() {
            let target = fleet.start_target(index).await?;
            fleet.targets.push(target);
        }
        for index in 0..fleet.plan.hosts {
            let host = fleet.start_host(index).await?;
            fleet.hosts.push(host);
        }
        fleet.list_hosts(|_| Listing::Live).await?;
        Ok(fleet)
    }

    async fn start_target(&self, index: usize) -> Result<TargetNode, Error> {
        let switches = self.plan.targets[index].clone();
        let listen = SocketAddr::new(address(2, index), 0);
        let arguments = [
            "target".to_owned(),
            format!("--listen={listen}"),
            format!("--switches={}", json!(switches)),
        ];
        let process = Process::start("chicoryloom-standin", &arguments).await?;
        let direct = process.address("listen");
        let address = if self.plan.link_targets {
            self.open_port(link::Protocol::Tcp, any(1), direct).await?
        } else {
            direct
        };
        let control = process.address("control");
        let data_centre = self.data_centre(index);
        Ok(TargetNode { process, data_centre, direct, address, control, switches })
    }

    async fn start_host(&self, index: usize) -> Result<HostNode, Error> {
        let name = format!("host-{}", index + 1);
        let source = address(3, index);
        let settings = self.folder.join(format!("{name}.yaml"));
        let data_centre = self.data_centre(index);
        let seeds: Vec<_> = self.hosts.iter().map(|host| host.advertised.to_string()).collect();
        let mut text = String::new();
        let platform = self.platform_link;
        write!(
            text,
            "host: {{ name: {name}, data_centre: {data_centre} }}\n\
             listen: {{ caller: '{source}:0', peer: '{source}:0', admin: '{source}:0' }}\n\
             platform: {{ url: 'http://{platform}', timeout_ms: 1000 }}\n\
             peers: {{ secret: harness, seeds: {} }}\n\
             admin: {{ tokens: [{{ name: harness, token: {TOKEN} }}] }}\n\
             {}\n",
            json!(seeds),
            self.plan.settings,
        )
        .expect("a string takes all text");
        let written = fs::write(&settings, text);
        written.map_err(|error| Error::Start(settings.display().to_string(), error))?;
        let process = host_process(&settings).await?;
        let peer = process.address("peer");
        let advertised = self.open_peer_port(peer).await?;
        let caller = process.address("caller");
        let admin = process.address("admin");
        let host = HostNode {
            process,
            name,
            data_centre,
            source,
            caller,
            admin,
            peer,
            advertised,
            settings,
        };
        Ok(host)
    }

    /// Starts a killed host anew, as a new incarnation at new addresses, and lists it.
    pub async fn restart_host(&mut self, index: usize) -> Result<(), Error> {
        let settings = self.hosts[index].settings.clone();
        let process = host_process(&settings).await?;
        let peer = process.address("peer");
        let advertised = self.open_peer_port(peer).await?;
        let host = &mut self.hosts[index];
        host.caller = process.address("caller");
        host.admin = process.address("admin");
        host.peer = peer;
        host.advertised = advertised;
        host.process = process;
        self.list_hosts(|_| Listing::Live).await
    }

    fn data_centre(&self, index: usize) -> String {
        self.plan.data_centres[index % self.plan.data_centres.len()].clone()
    }

    /// Opens a port of the link and returns its address.
    pub async fn open_port(
        &self,
        protocol: link::Protocol,
        listen: SocketAddr,
        upstream: SocketAddr,
    ) -> Result<SocketAddr, Error> {
        let url = format!("http://{}/standin/ports", self.link.address("control"));
        let port = link::Port { protocol, listen, upstream };
        let response = self.client.post(&url).json(&port).send().await;
        let opened: link::Port = read(&url, response).await?;
        Ok(opened.listen)
    }

    /// Opens a port of the link for UDP and TCP, and returns its address.
    async fn open_peer_port(&self, upstream: SocketAddr) -> Result<SocketAddr, Error> {
        let mut tries = 0;
        loop {
            let listen = self.open_port(link::Protocol::Tcp, any(1), upstream).await?;
            tries += 1;
            match self.open_port(link::Protocol::Udp, listen, upstream).await {
                // The port is taken for UDP alone; the next free one may not be.
                Err(Error::Refused(..)) if tries < PORT_TRIES => {}
                opened => return opened,
            }
        }
    }

    /// Sets the fault rules of the link.
    pub async fn rules(&self, rules: &[link::Rule]) -> Result<(), Error> {
        let url = format!("http://{}/standin/rules", self.link.address("control"));
        self.put(&url, rules).await
    }

    /// Sets the platform's switches.
    pub async fn switch_platform(&self, switches: &platform::Switches) -> Result<(), Error> {
        let url = format!("http://{}/standin/switches", self.platform.address("listen"));
        self.put(&url, switches).await
    }

    /// Returns the platform's counts of calls.
    pub async fn platform_counts(&self) -> Result<platform::Counts, Error> {
        let url = format!("http://{}/standin/counts", self.platform.address("listen"));
        self.get(&url).await
    }

    /// Sets a target's switches.
    pub async fn switch_target(
        &self,
        index: usize,
        switches: &target::Switches,
    ) -> Result<(), Error> {
        let url = format!("http://{}/standin/switches", self.targets[index].control);
        self.put(&url, switches).await
    }

    /// Returns a target's journal.
    pub async fn journal(&self, index: usize) -> Result<Vec<target::Run>, Error> {
        self.get(&format!("http://{}/standin/journal", self.targets[index].control)).await
    }

    /// Returns the journals of all targets, one after the other.
    pub async fn journals(&self) -> Result<Vec<target::Run>, Error> {
        let mut runs = Vec::new();
        for index in 0..self.targets.len() {
            runs.extend(self.journal(index).await?);
        }
        Ok(runs)
    }

    /// Returns a target's counts of connections.
    pub async fn target_counts(&self, index: usize) -> Result<target::Counts, Error> {
        self.get(&format!("http://{}/standin/counts", self.targets[index].control)).await
    }

    /// Sets the platform's host list.
    pub async fn list_hosts<F>(&self, listing: F) -> Result<(), Error>
    where
        F: Fn(usize) -> Listing,
    {
        let listed = self.hosts.iter().enumerate().filter_map(|(index, host)| {
            let leaving = match listing(index) {
                Listing::Absent => return None,
                Listing::Live => false,
                Listing::Leaving => true,
            };
            Some(raw::Host {
                name: host.name.clone(),
                data_centre: host.data_centre.clone(),
                caller: host.caller.to_string(),
                peer: host.advertised.to_string(),
                leaving,
            })
        });
        let hosts = raw::Hosts { hosts: listed.collect() };
        let url = format!("http://{}/standin/hosts", self.platform.address("listen"));
        self.put(&url, &hosts).await
    }

    /// Returns a service document over all targets, with one line a workspace.
    pub fn document(&self, service: &str, routes: &str, workspaces: &str) -> String {
        let mut text =
            format!("service: {service}\nroutes:\n{routes}\nworkspaces:\n{workspaces}\n");
        text.push_str("targets:\n");
        for target in &self.targets {
            writeln!(
                text,
                "  - {{ address: '{}', data_centre: {}, slots: {}, connections: {} }}",
                target.address,
                target.data_centre,
                target.switches.slots,
                target.switches.connections,
            )
            .expect("a string takes all text");
        }
        text
    }

    /// Writes a document through one host; `expected` is the version to replace, 0 for none.
    pub async fn put_document(
        &self,
        host: usize,
        service: &str,
        expected: u64,
        text: &str,
    ) -> Result<u64, Error> {
        let url = format!("http://{}/v1/documents/{service}", self.hosts[host].admin);
        let mut request = self.client.put(&url).bearer_auth(TOKEN).body(text.to_owned());
        if expected > 0 {
            request = request.header("if-match", format!("\"{expected}\""));
        }
        let written: raw::Version = read(&url, request.send().await).await?;
        Ok(written.version)
    }

    /// Grants a key to a workspace through one host.
    pub async fn grant_key(&self, host: usize, workspace: &str) -> Result<Granted, Error> {
        let url = format!("http://{}/v1/keys", self.hosts[host].admin);
        let body = json!({ "workspace": workspace });
        let response = self.client.post(&url).bearer_auth(TOKEN).json(&body).send().await;
        read(&url, response).await
    }

    /// Withdraws a key through one host.
    pub async fn withdraw_key(&self, host: usize, digest: &str) -> Result<(), Error> {
        let url = format!("http://{}/v1/keys/{digest}", self.hosts[host].admin);
        let response = self.client.delete(&url).bearer_auth(TOKEN).send().await;
        let _: raw::Version = read(&url, response).await?;
        Ok(())
    }

    /// Returns the status that one host reports.
    pub async fn status(&self, host: usize) -> Result<serde_json::Value, Error> {
        let url = format!("http://{}/v1/status", self.hosts[host].admin);
        read(&url, self.client.get(&url).bearer_auth(TOKEN).send().await).await
    }

    /// Waits until every host is fresh and holds at least a revision.
    pub async fn in_force(&self, revision: u64) {
        for host in 0..self.hosts.len() {
            wait::until(&format!("revision {revision} is in force on host {host}"), async || {
                let Ok(status) = self.status(host).await else {
                    return false;
                };
                status["fresh"] == true && status["revision"].as_u64() >= Some(revision)
            })
            .await;
        }
    }

    /// Asks one host's locator for the hosts of a service.
    pub async fn locate(&self, host: usize, service: &str) -> Result<Hosts, Error> {
        let caller = self.hosts[host].caller;
        let url = format!("http://{caller}/chicory/v1/hosts?service={service}");
        self.get(&url).await
    }

    /// Returns the metrics page of one host.
    pub async fn metrics(&self, host: usize) -> Result<String, Error> {
        let url = format!("http://{}/metrics", self.hosts[host].admin);
        let response = checked(&url, self.client.get(&url).send().await).await?;
        response.text().await.map_err(|error| Error::Call(url, error))
    }

    /// Returns a client for calls to hosts.
    pub fn client(&self) -> &Client {
        &self.client
    }

    async fn put<T: Serialize + ?Sized>(&self, url: &str, value: &T) -> Result<(), Error> {
        let response = self.client.put(url).json(value).send().await;
        checked(url, response).await.map(|_| ())
    }

    async fn get<T: DeserializeOwned>(&self, url: &str) -> Result<T, Error> {
        read(url, self.client.get(url).send().await).await
    }
}

/// How the platform lists a host.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Listing {
    Absent,
    Live,
    Leaving,
}

async fn host_process(settings: &std::path::Path) -> Result<Process, Error> {
    Process::start("chicoryloom", &[format!("--settings={}", settings.display())]).await
}

async fn checked(
    url: &str,
    response: reqwest::Result<reqwest::Response>,
) -> Result<reqwest::Response, Error> {
    let response = response.map_err(|error| Error::Call(url.to_owned(), error))?;
    let status = response.status();
    if status.is_success() {
        return Ok(response);
    }
    let text = response.text().await.unwrap_or_default();
    Err(Error::Refused(url.to_owned(), status.as_u16(), text))
}

async fn read<T: DeserializeOwned>(
    url: &str,
    response: reqwest::Result<reqwest::Response>,
) -> Result<T, Error> {
    let response = checked(url, response).await?;
    response.json().await.map_err(|error| Error::Call(url.to_owned(), error))
}

/// Returns a loopback address of its own for each process: `127.{group}.x.y`.
fn address(group: u8, index: usize) -> IpAddr {
    let high = u8::try_from(index / 250).unwrap_or(u8::MAX);
    let low = u8::try_from(index % 250 + 1).unwrap_or(u8::MAX);
    IpAddr::V4(Ipv4Addr::new(127, group, high, low))
}

fn any(group: u8) -> SocketAddr {
    SocketAddr::new(address(group, 0), 0)
}

fn strings(texts: &[&str]) -> Vec<String> {
    texts.iter().map(|text| (*text).to_owned()).collect()
}

fn temporary_folder() -> Result<PathBuf, Error> {
    use std::sync::atomic::AtomicU32;
    use std::sync::atomic::Ordering;

    static NEXT: AtomicU32 = AtomicU32::new(0);

    let number = NEXT.fetch_add(1, Ordering::Relaxed);
    let folder = env::temp_dir().join(format!("chicoryloom-{}-{number}", std::process::id()));
    let made = fs::create_dir_all(&folder);
    made.map_err(|error| Error::Start(folder.display().to_string(), error))?;
    Ok(folder)
}
