//! Validated settings, one module for each section of the file.

pub mod admin;
pub mod host;
pub mod listen;
pub mod log;
pub mod peers;
pub mod platform;
pub mod policy;
pub mod proxy;
mod secret;

use std::fmt;
use std::fs;
use std::io;
use std::path::Path;
use std::path::PathBuf;

use chicoryloom_wire::generated::settings as raw;
use chicoryloom_wire::yaml;

/// Settings of an entry host.
#[derive(Clone, Debug)]
pub struct Settings {
    pub host: host::Host,
    pub listen: listen::Listen,
    pub platform: platform::Platform,
    pub peers: peers::Peers,
    pub admin: admin::Admin,
    pub proxy: proxy::Proxy,
    pub policy: policy::Policy,
    pub log: log::Log,
}

/// Settings from a file and the names of fields that the schema doesn't know.
#[derive(Clone, Debug)]
pub struct Loaded {
    pub settings: Settings,
    pub unknown: Vec<String>,
}

/// An invalid value of a settings field.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Fault {
    pub field: &'static str,
    pub reason: String,
}

impl Fault {
    pub(crate) fn new(field: &'static str, reason: impl ToString) -> Self {
        Self { field, reason: reason.to_string() }
    }
}

/// Reason why a settings file failed to load.
#[derive(Debug)]
pub enum Error {
    Read(PathBuf, io::Error),
    Yaml(PathBuf, yaml::Error),
    Field(PathBuf, Option<usize>, Fault),
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Read(path, error) => write!(f, "{}: {error}", path.display()),
            Self::Yaml(path, error) => write!(f, "{}: {error}", path.display()),
            Self::Field(path, Some(line), fault) => {
                write!(f, "{}: line {line}: {}: {}", path.display(), fault.field, fault.reason)
            }
            Self::Field(path, None, fault) => {
                write!(f, "{}: {}: {}", path.display(), fault.field, fault.reason)
            }
        }
    }
}

impl std::error::Error for Error {}

/// Loads and validates a settings file.
pub fn load(path: &Path) -> Result<Loaded, Error> {
    let text = fs::read_to_string(path).map_err(|error| Error::Read(path.to_owned(), error))?;
    let parsed =
        yaml::parse::<raw::Settings>(&text).map_err(|error| Error::Yaml(path.to_owned(), error))?;
    let settings = Settings::try_from(parsed.value).map_err(|fault| {
        let line = line_of(&text, fault.field);
        Error::Field(path.to_owned(), line, fault)
    })?;
    Ok(Loaded { settings, unknown: parsed.unknown })
}

/// Returns the 1-based line of a dotted field (`section.key`) in YAML text.
fn line_of(text: &str, field: &str) -> Option<usize> {
    let (section, key) = field.split_once('.')?;
    let lines = || text.lines().enumerate();
    let (start, _) = lines().find(|(_, line)| line.starts_with(&format!("{section}:")))?;
    let found = lines().skip(start).find(|(_, line)| line.contains(&format!("{key}:")));
    found.map(|(index, _)| index + 1)
}

impl TryFrom<raw::Settings> for Settings {
    type Error = Fault;

    fn try_from(raw: raw::Settings) -> Result<Self, Self::Error> {
        Ok(Self {
            host: raw.host.try_into()?,
            listen: raw.listen.try_into()?,
            platform: raw.platform.try_into()?,
            peers: raw.peers.try_into()?,
            admin: raw.admin.unwrap_or_default().try_into()?,
            proxy: raw.proxy.unwrap_or_default().try_into()?,
            policy: raw.policy.unwrap_or_default().try_into()?,
            log: raw.log.unwrap_or_default().try_into()?,
        })
    }
}
