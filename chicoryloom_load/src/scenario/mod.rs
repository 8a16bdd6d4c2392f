//! Checked scenarios.

mod check;

use std::fs;
use std::ops::Deref;
use std::path::Path;
use std::time::Duration;

use chicoryloom_wire::generated::scenario as raw;
use chicoryloom_wire::yaml;

use crate::Error;

/// A scenario whose references resolve and whose sizes stay within their bounds.
#[derive(Clone, Debug)]
pub struct Scenario {
    /// Every service and workspace that a phase or fault names exists, and every index is below
    /// the number of what it counts.
    checked: raw::Scenario,
}

impl Scenario {
    /// Reads and checks a file.
    pub fn read(path: &Path) -> Result<Self, Error> {
        let text = fs::read_to_string(path).map_err(Error::file(path))?;
        let parsed = yaml::parse::<raw::Scenario>(&text);
        let parsed = parsed.map_err(|error| Error::Yaml(path.to_owned(), error))?;
        if let Some(field) = parsed.unknown.first() {
            return Err(Error::invalid(field, "no such field"));
        }
        Self::try_from(parsed.value)
    }

    /// Replaces the seed.
    pub fn set_seed(&mut self, seed: u64) {
        self.checked.seed = seed;
    }

    /// Replaces how grants are divided.
    pub fn set_division(&mut self, division: &str) {
        division.clone_into(&mut self.checked.fleet.division);
    }

    /// Replaces how gray targets are found.
    pub fn set_detection(&mut self, detection: &str) {
        detection.clone_into(&mut self.checked.fleet.detection);
    }

    /// Returns the time over which requests arrive.
    pub(crate) fn duration(&self) -> Duration {
        Duration::from_secs_f64(self.checked.duration_s)
    }

    /// Returns the index of a service.
    pub(crate) fn service(&self, name: &str) -> usize {
        position(self.checked.services.iter().map(|service| &service.name), name)
    }

    /// Returns the index of a workspace.
    pub(crate) fn workspace(&self, name: &str) -> usize {
        position(self.checked.workspaces.iter().map(|workspace| &workspace.name), name)
    }

    /// Returns the index of a service's first target among all targets.
    pub(crate) fn first_target(&self, service: usize) -> usize {
        let before = &self.checked.services[..service];
        before.iter().map(|service| service.targets as usize).sum()
    }

    /// Returns the grant of a workspace at a service: rate and burst.
    pub(crate) fn grant(&self, workspace: usize, service: usize) -> (f64, u32) {
        let workspace = &self.checked.workspaces[workspace];
        (workspace.rate * self.checked.services[service].share, workspace.burst)
    }
}

impl Deref for Scenario {
    type Target = raw::Scenario;

    fn deref(&self) -> &raw::Scenario {
        &self.checked
    }
}

impl TryFrom<raw::Scenario> for Scenario {
    type Error = Error;

    fn try_from(raw: raw::Scenario) -> Result<Self, Error> {
        check::scenario(&raw)?;
        Ok(Self { checked: raw })
    }
}

fn position<'a>(mut names: impl Iterator<Item = &'a String>, name: &str) -> usize {
    names.position(|other| other == name).expect("checked scenarios name what exists")
}
