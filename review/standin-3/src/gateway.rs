//! Gateway processes, started with the command of the deploy file.

use std::fs;
use std::fs::File;
use std::net::IpAddr;
use std::net::SocketAddr;
use std::path::Path;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::time::Duration;

use crate::http;

/// Ports of all gateways of a deployment.
#[derive(Clone, Copy, Debug)]
pub struct Ports {
    pub caller: u16,
    pub ready: u16,
    pub locator: u16,
    pub peer: u16,
    pub metrics: u16,
}

/// A gateway process; it is killed when dropped.
#[derive(Debug)]
pub struct Gateway {
    pub address: IpAddr,
    pub ports: Ports,
    program: PathBuf,
    settings: PathBuf,
    child: Option<Child>,
}

impl Gateway {
    /// Writes the settings as the platform fills in the template, and starts the process.
    pub fn start(
        program: &Path,
        folder: &Path,
        index: usize,
        address: IpAddr,
        ports: Ports,
        seeds: &[IpAddr],
        store: SocketAddr,
    ) -> std::io::Result<Self> {
        let seeds: Vec<_> =
            seeds.iter().map(|seed| format!("'{}'", SocketAddr::new(*seed, ports.peer))).collect();
        let zone = if index.is_multiple_of(2) { "cascadia-a" } else { "cascadia-b" };
        let text = format!(
            "host:\n  name: |2-\n    frontend-{zone}-{index}\n  data_centre: |2-\n    {zone}\n  \
             address: {address}\n  cores: 0.2\n  link_mbps: 1000.0\nlisten:\n  \
             caller: {address}:{}\n  readiness: {address}:{}\n  locator: {address}:{}\n  \
             peer_port: {}\n  metrics: {address}:{}\nseeds: [{}]\nstore:\n  address: {store}\n\
             bounds:\n  grace_s: 6\n  retry_share: 0.2\n  retry_burst: 62\n  rate_window_s: 5\n  \
             floor: 0.7\n",
            ports.caller,
            ports.ready,
            ports.locator,
            ports.peer,
            ports.metrics,
            seeds.join(", ")
        );
        let settings = folder.join(format!("gateway-{index}.yaml"));
        fs::write(&settings, text)?;
        let mut gateway =
            Self { address, ports, program: program.to_owned(), settings, child: None };
        gateway.spawn()?;
        Ok(gateway)
    }

    fn spawn(&mut self) -> std::io::Result<()> {
        let log =
            File::options().create(true).append(true).open(self.settings.with_extension("log"))?;
        let child = Command::new(&self.program)
            .env("CHICORYLOOM_SETTINGS", &self.settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        self.child = Some(child);
        Ok(())
    }

    pub fn caller(&self) -> SocketAddr {
        SocketAddr::new(self.address, self.ports.caller)
    }

    pub fn is_ready(&self) -> bool {
        let address = SocketAddr::new(self.address, self.ports.ready);
        let answer = http::call(address, "GET", "/readiness", b"", Duration::from_secs(1));
        answer.is_some_and(|(status, _)| status == 200)
    }

    /// Sends a signal, by its name, to the process.
    pub fn signal(&self, name: &str) {
        if let Some(child) = &self.child {
            let id = child.id().to_string();
            let _ = Command::new("kill").args([&format!("-{name}"), &id]).status();
        }
    }

    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

impl Drop for Gateway {
    fn drop(&mut self) {
        self.kill();
    }
}
