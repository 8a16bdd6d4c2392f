//! The fleet of the program.

use std::error::Error;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
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

/// Entry hosts of the fleet.
const HOSTS: usize = 4;
/// Targets of the service.
const TARGETS: usize = 3;
/// Data centres that hosts and targets are dealt out to in turn.
const DATA_CENTRES: [&str; 2] = ["regina", "saskatoon"];
/// Operator token of the fleet.
const TOKEN: &str = "operator";
/// Key of the workspace.
const KEY: &str = "prairie-trial-key";
/// Pause between two looks at whether the fleet serves.
const PAUSE: Duration = Duration::from_millis(50);

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
        let platform = Platform::start(local()).await?;
        let mut targets = Vec::with_capacity(TARGETS);
        for _ in 0..TARGETS {
            targets.push(Target::start(local(), local(), Switches::default()).await?);
        }
        let mut hosts = Vec::with_capacity(HOSTS);
        for index in 0..HOSTS {
            let settings = settings(index, platform.address())?;
            logging::init(&settings.log);
            hosts.push(Host::start(settings).await?);
        }
        let client = Client::builder().no_proxy().build()?;
        let fleet = Self { platform, targets, hosts, client };
        fleet.list_hosts().await?;
        fleet.put_document().await?;
        fleet.grant_key().await?;
        fleet.until_served().await?;
        Ok(fleet)
    }

    async fn list_hosts(&self) -> Result<(), Box<dyn Error>> {
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
        let target = |(index, target): (usize, &Target)| {
            let data_centre = DATA_CENTRES[index % DATA_CENTRES.len()];
            json!({
                "address": target.address().to_string(),
                "data_centre": data_centre,
                "slots": Switches::default().slots,
                "connections": Switches::default().connections,
            })
        };
        let targets: Vec<_> = self.targets.iter().enumerate().map(target).collect();
        json!({
            "service": "calendar",
            "routes": [
                { "name": "read", "path": "/", "methods": ["GET", "HEAD"], "repeatable": true },
                { "name": "book", "path": "/seats", "methods": ["POST"] },
                { "name": "hours", "path": "/hours", "methods": ["GET"], "open": true },
            ],
            "workspaces": [{ "workspace": "prairie", "rate": 100, "burst": 200 }],
            "targets": targets,
        })
        .to_string()
    }

    async fn grant_key(&self) -> Result<(), Box<dyn Error>> {
        let url = format!("http://{}/v1/keys", self.admin());
        let body = json!({ "workspace": "prairie", "key": KEY });
        let request = self.client.post(url).bearer_auth(TOKEN).json(&body);
        request.send().await?.error_for_status()?;
        Ok(())
    }

    async fn until_served(&self) -> Result<(), Box<dyn Error>> {
        let url = format!("http://{}/calendar/schedules", self.hosts[0].caller());
        while self.client.get(&url).bearer_auth(KEY).send().await?.status() != 200 {
            tokio::time::sleep(PAUSE).await;
        }
        Ok(())
    }

    fn admin(&self) -> SocketAddr {
        self.hosts[0].admin().unwrap_or_else(local)
    }

    /// Returns the text that tells a newcomer what to try.
    pub(crate) fn help(&self) -> String {
        let caller = self.hosts[0].caller();
        let admin = self.admin();
        let control = self.targets[0].control();
        format!(
            "{HOSTS} entry hosts serve the service calendar on {TARGETS} targets.\n\n\
             Ask which hosts to use:\n  \
             curl 'http://{caller}/chicory/v1/hosts?service=calendar'\n\
             Read with the workspace's key:\n  \
             curl -H 'authorization: Bearer {KEY}' http://{caller}/calendar/schedules\n\
             Read an open route without a key:\n  \
             curl http://{caller}/calendar/hours\n\
             See a foreign key refused:\n  \
             curl -i -H 'authorization: Bearer foreign' http://{caller}/calendar/schedules\n\
             Look at the fleet as an operator:\n  \
             curl -H 'authorization: Bearer {TOKEN}' http://{admin}/v1/status\n  \
             curl -H 'authorization: Bearer {TOKEN}' http://{admin}/v1/documents/calendar\n  \
             curl http://{admin}/metrics\n\
             See what a target ran:\n  \
             curl http://{control}/standin/journal\n\n\
             Ctrl-C ends the fleet."
        )
    }
}

fn settings(index: usize, platform: SocketAddr) -> Result<Settings, Box<dyn Error>> {
    let data_centre = DATA_CENTRES[index % DATA_CENTRES.len()];
    let any = local();
    let text = json!({
        "host": { "name": format!("host-{}", index + 1), "data_centre": data_centre },
        "listen": { "caller": any, "peer": any, "admin": any },
        "platform": { "url": format!("http://{platform}") },
        "peers": { "secret": "development" },
        "admin": { "tokens": [{ "name": "newcomer", "token": TOKEN }] },
        "log": { "level": "warn" },
    });
    let parsed = yaml::parse::<chicoryloom_wire::generated::settings::Settings>(&text.to_string())?;
    Settings::try_from(parsed.value)
        .map_err(|fault| format!("{}: {}", fault.field, fault.reason).into())
}

fn local() -> SocketAddr {
    SocketAddr::from((Ipv4Addr::LOCALHOST, 0))
}
