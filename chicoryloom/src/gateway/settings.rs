//! Settings of a gateway host.

use std::fmt;
use std::fs;
use std::io;
use std::net::IpAddr;
use std::net::SocketAddr;
use std::path::Path;
use std::path::PathBuf;
use std::time::Duration;

use chicoryloom_policy::balance::Rule;
use chicoryloom_policy::id;
use chicoryloom_policy::unit::Share;
use chicoryloom_policy::warming::Tolerance;
use chicoryloom_wire::yaml;
use serde::Deserialize;
use smol_str::SmolStr;

/// Settings as written in the file, before they are checked.
#[derive(Clone, Debug, Deserialize)]
struct Raw {
    host: RawHost,
    listen: RawListen,
    #[serde(default)]
    seeds: Vec<SocketAddr>,
    store: RawStore,
    #[serde(default)]
    bounds: RawBounds,
    #[serde(default)]
    balance: RawBalance,
}

#[derive(Clone, Copy, Debug, Default, Deserialize)]
#[serde(rename_all = "lowercase")]
enum RawBalance {
    #[default]
    Least,
    Even,
}

impl From<RawBalance> for Rule {
    fn from(raw: RawBalance) -> Self {
        match raw {
            RawBalance::Least => Self::Least,
            RawBalance::Even => Self::Even,
        }
    }
}

#[derive(Clone, Debug, Deserialize)]
struct RawHost {
    name: String,
    data_centre: String,
    address: IpAddr,
    #[serde(default = "default_cores")]
    cores: f64,
    #[serde(default = "default_link_mbps")]
    link_mbps: f64,
}

#[derive(Clone, Debug, Deserialize)]
struct RawListen {
    caller: SocketAddr,
    readiness: SocketAddr,
    locator: SocketAddr,
    peer_port: u16,
    metrics: Option<SocketAddr>,
}

#[derive(Clone, Debug, Deserialize)]
struct RawStore {
    address: SocketAddr,
}

#[derive(Clone, Debug, Deserialize)]
#[serde(default)]
struct RawBounds {
    grace_s: f64,
    retry_share: f64,
    retry_burst: f64,
    rate_window_s: f64,
    floor: f64,
    evacuation_ms: Option<f64>,
    warmup_overage: Option<f64>,
    warmup_slack: Option<f64>,
}

/// One core.
fn default_cores() -> f64 {
    1.0
}

/// A gigabit link.
fn default_link_mbps() -> f64 {
    1000.0
}

impl Default for RawBounds {
    fn default() -> Self {
        Self {
            grace_s: 6.0,
            retry_share: 0.2,
            retry_burst: 50.0,
            rate_window_s: 5.0,
            floor: 0.7,
            evacuation_ms: None,
            warmup_overage: None,
            warmup_slack: None,
        }
    }
}

/// Checked settings.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Identifies the host among the others.
    pub id: id::Host,
    /// Name at the platform, which may be any text.
    pub name: SmolStr,
    pub data_centre: id::DataCentre,
    /// Name of the data centre at the platform, which may be any text.
    pub data_centre_name: SmolStr,
    pub address: IpAddr,
    /// Processor cores available to the host; above zero.
    pub cores: f64,
    /// Bandwidth of the host's network link in Mbit/s; above zero.
    pub link_mbps: f64,
    pub listen: Listen,
    /// Addresses of other hosts; only the IP address is used, with this host's `peer_port`.
    pub seeds: Vec<SocketAddr>,
    pub store: SocketAddr,
    pub bounds: Bounds,
    /// How requests are spread over targets that are equal otherwise.
    pub balance: Rule,
}

/// Addresses that a host listens on.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Listen {
    pub caller: SocketAddr,
    pub readiness: SocketAddr,
    pub locator: SocketAddr,
    /// Port for messages between hosts; the same on all hosts.
    pub peer_port: u16,
    pub metrics: Option<SocketAddr>,
}

/// Limits that apply to all hosts together, and the grace period of a host's shutdown.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bounds {
    /// Time from the stop signal to the end of the process.
    pub grace: Duration,
    /// Retries that each first attempt adds to the retry budget of its service.
    pub retry_share: f64,
    /// Retries that all hosts together may send to a service beyond that share.
    pub retry_burst: f64,
    /// Window over which the rates and bursts of workspaces are counted.
    pub rate_window: Duration,
    /// Least share of a service's slots that stays in use when targets are held back.
    pub floor: Share,
    /// Time within which an evacuation takes effect; `None` where no data centres are evacuated.
    pub evacuation: Option<Duration>,
    /// What targets tolerate while they warm up; `None` where they take any number of requests.
    pub warmup: Option<Tolerance>,
}

impl Settings {
    /// Returns whether any of the changes to `later` takes a restart.
    pub fn needs_restart(&self, later: &Self) -> bool {
        let at_once = Self {
            seeds: later.seeds.clone(),
            store: later.store,
            bounds: Bounds { grace: later.bounds.grace, ..self.bounds },
            ..self.clone()
        };
        at_once != *later
    }
}

/// Why settings failed to load.
#[derive(Debug)]
pub enum Error {
    Read(PathBuf, io::Error),
    Yaml(PathBuf, yaml::Error),
    Field(PathBuf, &'static str, String),
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Read(path, error) => write!(f, "{}: {error}", path.display()),
            Self::Yaml(path, error) => write!(f, "{}: {error}", path.display()),
            Self::Field(path, field, reason) => {
                write!(f, "{}: {field}: {reason}", path.display())
            }
        }
    }
}

impl std::error::Error for Error {}

/// Loads and checks a settings file; also returns the names of unknown fields.
pub fn load(path: &Path) -> Result<(Settings, Vec<String>), Error> {
    let text = fs::read_to_string(path).map_err(|error| Error::Read(path.to_owned(), error))?;
    let parsed = yaml::parse::<Raw>(&text).map_err(|error| Error::Yaml(path.to_owned(), error))?;
    let settings = Settings::try_from(parsed.value)
        .map_err(|(field, reason)| Error::Field(path.to_owned(), field, reason))?;
    Ok((settings, parsed.unknown))
}

impl TryFrom<Raw> for Settings {
    type Error = (&'static str, String);

    fn try_from(raw: Raw) -> Result<Self, Self::Error> {
        let Raw { host, listen, seeds, store, bounds, balance } = raw;
        Ok(Self {
            id: id::Host::alias(&host.name),
            name: host.name.into(),
            data_centre: id::DataCentre::alias(&host.data_centre),
            data_centre_name: host.data_centre.into(),
            address: host.address,
            cores: above_zero("host.cores", host.cores)?,
            link_mbps: above_zero("host.link_mbps", host.link_mbps)?,
            listen: Listen {
                caller: listen.caller,
                readiness: listen.readiness,
                locator: listen.locator,
                peer_port: listen.peer_port,
                metrics: listen.metrics,
            },
            seeds,
            store: store.address,
            bounds: bounds.try_into()?,
            balance: balance.into(),
        })
    }
}

impl TryFrom<RawBounds> for Bounds {
    type Error = (&'static str, String);

    fn try_from(raw: RawBounds) -> Result<Self, Self::Error> {
        let floor = Share::new(raw.floor);
        let evacuation = raw.evacuation_ms.map(|millis| millis / 1000.0);
        let evacuation =
            evacuation.map(|seconds| positive_duration("bounds.evacuation_ms", seconds));
        let tolerance = |overage| -> Result<Tolerance, Self::Error> {
            let slack = raw.warmup_slack.unwrap_or_default();
            if !slack.is_finite() || slack < 0.0 {
                return Err(("bounds.warmup_slack", "must be 0 or more".to_owned()));
            }
            Ok(Tolerance { overage: above_zero("bounds.warmup_overage", overage)?, slack })
        };
        Ok(Self {
            grace: positive_duration("bounds.grace_s", raw.grace_s)?,
            retry_share: above_zero("bounds.retry_share", raw.retry_share)?,
            retry_burst: above_zero("bounds.retry_burst", raw.retry_burst)?,
            rate_window: positive_duration("bounds.rate_window_s", raw.rate_window_s)?,
            floor: floor.ok_or(("bounds.floor", "must be 0 to 1".to_owned()))?,
            evacuation: evacuation.transpose()?,
            warmup: raw.warmup_overage.map(tolerance).transpose()?,
        })
    }
}

fn above_zero(field: &'static str, value: f64) -> Result<f64, (&'static str, String)> {
    let fits = value.is_finite() && value > 0.0;
    if fits { Ok(value) } else { Err((field, "must be above zero".to_owned())) }
}

fn positive_duration(
    field: &'static str,
    seconds: f64,
) -> Result<Duration, (&'static str, String)> {
    let seconds = above_zero(field, seconds)?;
    Duration::try_from_secs_f64(seconds).map_err(|error| (field, error.to_string()))
}
