//! The fleet that the program runs.

use std::error::Error;
use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::time::Duration;

use chicoryloom::Host;
use chicoryloom::config::Settings;
use chicoryloom::logging;
use chicoryloom_standin::platform::Platform;
use chicoryloom_standin::target::Switches;
use chicoryloom_standin::target::Target;
use chicoryloom_wire::generated::platform as raw;
use chicoryloom_wire::yaml;
use reqwest::Client;
use serde_json::json;

/// Number of entry hosts.
const HOST_COUNT: usize = 4;
/// Number of targets of the service.
const TARGET_COUNT: usize = 3;
/// Data centres that hosts and targets are assigned to in turn.
const DATA_CENTRES: [&str; 2] = ["regina", "saskatoon"];
/// Operator token of the fleet.
const TOKEN: &str = "operator";
/// Start of the service's document, up to the list of targets.
const DOCUMENT_HEAD: &str = "\
service: calendar
routes:
  - { name: read, path: /, methods: [GET, HEAD], repeatable: true }
  - { name: book, path: /seats, methods: [POST] }
  - { name: hours, path: /hours, methods: [GET], open: true }
workspaces:
  - { workspace: prairie, rate: 1000, burst: 2000 }
targets:
";
/// Key of the workspace.
const KEY: &str = "prairie-trial-key";
/// Address for callers of the first host, unless it is in use.
const CALLER_ADDRESS: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 8100);
/// Address for operators of the first host, unless it is in use.
const ADMIN_ADDRESS: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 8101);
/// Pause after a request that was not answered with 200, before the next one.
const POLL_INTERVAL: Duration = Duration::from_millis(500);
/// Successive requests that must be answered with 200 before the fleet counts as serving.
const CONSECUTIVE_ANSWERS: u32 = 8;

/// A running fleet.
pub(crate) struct Fleet {
    platform: Platform,
    targets: Vec<Target>,
    hosts: Vec<Host>,
    client: Client,
}

impl Fleet {
    /// Starts the fleet and waits until it serves.
    pub(crate) async fn start() -> Result<Self, Box<dyn Error>> {
        let platform = Platform::start(any_local_port()).await?;
        let mut targets = Vec::with_capacity(TARGET_COUNT);
        for _ in 0..TARGET_COUNT {
            targets.push(
                Target::start(any_local_port(), any_local_port(), Switches::default()).await?,
            );
        }
        let mut hosts = Vec::with_capacity(HOST_COUNT);
        for index in 0..HOST_COUNT {
            let settings = settings(index, platform.address())?;
            logging::init(&settings.log);
            hosts.push(Host::start(settings).await?);
        }
        let client = Client::builder().no_proxy().build()?;
        let fleet = Self { platform, targets, hosts, client };
        fleet.register_hosts().await?;
        fleet.put_document().await?;
        fleet.grant_key().await?;
        fleet.wait_until_serving().await?;
        Ok(fleet)
    }

    async fn register_hosts(&self) -> Result<(), Box<dyn Error>> {
        let host = |(index, host): (usize, &Host)| raw::Host {
            name: host.name().to_string(),
            data_centre: DATA_CENTRES[index % DATA_CENTRES.len()].to_owned(),
            caller: host.caller().to_string(),
            peer: host.peer().to_string(),
            leaving: false,
        };
        let hosts = raw::Hosts { hosts: self.hosts.iter().enumerate().map(host).collect() };
        let url = format!("http://{}/standin/hosts", self.platform.address());
        self.client.put(url).json(&hosts).send().await?.error_for_status()?;
        Ok(())
    }

    async fn put_document(&self) -> Result<(), Box<dyn Error>> {
        let url = format!("http://{}/v1/documents/calendar", self.admin());
        let request = self.client.put(url).bearer_auth(TOKEN).body(self.document());
        request.send().await?.error_for_status()?;
        Ok(())
    }

    fn document(&self) -> String {
        let mut text = DOCUMENT_HEAD.to_owned();
        let Switches { slots, connections, .. } = Switches::default();
        for (index, target) in self.targets.iter().enumerate() {
            let data_centre = DATA_CENTRES[index % DATA_CENTRES.len()];
            text.push_str(&format!(
                "  - address: '{}'\n    data_centre: {data_centre}\n    slots: {slots}\n    \
                 connections: {connections}\n",
                target.address(),
            ));
        }
        text
    }

    async fn grant_key(&self) -> Result<(), Box<dyn Error>> {
        let url = format!("http://{}/v1/keys", self.admin());
        let body = json!({ "workspace": "prairie", "key": KEY });
        let request = self.client.post(url).bearer_auth(TOKEN).json(&body);
        request.send().await?.error_for_status()?;
        Ok(())
    }

    /// Waits until several successive requests are answered, since the rate limit's token bucket
    /// starts empty.
    async fn wait_until_serving(&self) -> Result<(), Box<dyn Error>> {
        let url = format!("http://{}/calendar/schedules", self.hosts[0].caller());
        let mut answered = 0;
        while answered < CONSECUTIVE_ANSWERS {
            answered += 1;
            if self.client.get(&url).bearer_auth(KEY).send().await?.status() != 200 {
                answered = 0;
                tokio::time::sleep(POLL_INTERVAL).await;
            }
        }
        Ok(())
    }

    fn admin(&self) -> SocketAddr {
        self.hosts[0].admin().unwrap_or_else(any_local_port)
    }

    /// Returns the commands to try against the fleet, with a line of explanation for each.
    pub(crate) fn help(&self) -> String {
        let caller = self.hosts[0].caller();
        let admin = self.admin();
        let control = self.targets[0].control();
        format!(
            "{HOST_COUNT} entry hosts serve the service calendar on {TARGET_COUNT} targets.\n\n\
             Ask which hosts to use:\n  \
             curl 'http://{caller}/chicory/v1/hosts?service=calendar'\n\
             Read with the workspace's key:\n  \
             curl -H 'authorization: Bearer {KEY}' http://{caller}/calendar/schedules\n\
             Book a seat, which runs at most once:\n  \
             curl -X POST -H 'authorization: Bearer {KEY}' http://{caller}/calendar/seats\n\
             Read an open route without a key:\n  \
             curl http://{caller}/calendar/hours\n\
             See a foreign key refused:\n  \
             curl -i -H 'authorization: Bearer foreign' http://{caller}/calendar/schedules\n\
             Look at the fleet as an operator:\n  \
             curl -H 'authorization: Bearer {TOKEN}' http://{admin}/v1/status\n  \
             curl -H 'authorization: Bearer {TOKEN}' http://{admin}/v1/documents/calendar\n  \
             curl http://{admin}/metrics\n\
             Do the same with chicoryctl:\n  \
             export CHICORY_ADMIN={admin} CHICORY_TOKEN={TOKEN}\n  \
             cargo run -q -p chicoryloom_ctl -- status\n  \
             cargo run -q -p chicoryloom_ctl -- get calendar\n  \
             cargo run -q -p chicoryloom_ctl -- explain\n\
             See what a target ran:\n  \
             curl http://{control}/standin/journal\n\n\
             Ctrl-C ends the fleet."
        )
    }
}

fn settings(index: usize, platform: SocketAddr) -> Result<Settings, Box<dyn Error>> {
    let data_centre = DATA_CENTRES[index % DATA_CENTRES.len()];
    let any = any_local_port();
    let (caller, admin) = if index == 0 {
        (or_free_port(CALLER_ADDRESS), or_free_port(ADMIN_ADDRESS))
    } else {
        (any, any)
    };
    let text = json!({
        "host": { "name": format!("host-{}", index + 1), "data_centre": data_centre },
        "listen": { "caller": caller, "peer": any, "admin": admin },
        "platform": { "url": format!("http://{platform}") },
        "peers": { "secret": "development" },
        "admin": { "tokens": [{ "name": "newcomer", "token": TOKEN }] },
        "log": { "level": "warn" },
    });
    let parsed = yaml::parse::<chicoryloom_wire::generated::settings::Settings>(&text.to_string())?;
    Settings::try_from(parsed.value)
        .map_err(|fault| format!("{}: {}", fault.field, fault.reason).into())
}

/// Returns the address, or a local one with a free port if it is in use.
fn or_free_port(address: SocketAddr) -> SocketAddr {
    if TcpListener::bind(address).is_ok() { address } else { any_local_port() }
}

/// Returns a local address with port 0, for which the system picks a free port.
fn any_local_port() -> SocketAddr {
    SocketAddr::from((Ipv4Addr::LOCALHOST, 0))
}
