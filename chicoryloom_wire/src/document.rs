//! Service documents: from YAML to the checked type.

use std::collections::HashMap;
use std::collections::HashSet;
use std::fmt;
use std::sync::Arc;
use std::time::Duration;

use chicoryloom_policy::document::Document;
use chicoryloom_policy::document::Grant;
use chicoryloom_policy::document::Route;
use chicoryloom_policy::document::Target;
use chicoryloom_policy::id;
use chicoryloom_policy::unit::Burst;
use chicoryloom_policy::unit::Connections;
use chicoryloom_policy::unit::Rate;
use chicoryloom_policy::unit::Share;
use chicoryloom_policy::unit::Slots;
use chicoryloom_policy::unit::Weight;

use crate::generated::document as raw;
use crate::yaml;

/// Longest deadline of a route, in milliseconds.
pub const MAX_DEADLINE_MS: u32 = 600_000;

/// A field of a document that can't be accepted.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Fault {
    /// Path of the field, such as `targets[2].slots`.
    pub field: String,
    pub reason: String,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.field, self.reason)
    }
}

/// Why a document can't be accepted.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Error {
    /// The text doesn't fit the schema.
    Yaml(yaml::Error),
    /// Fields hold values that can't be accepted; at least one.
    Faults(Vec<Fault>),
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Yaml(error) => error.fmt(f),
            Self::Faults(faults) => {
                let lines: Vec<_> = faults.iter().map(Fault::to_string).collect();
                f.write_str(&lines.join("\n"))
            }
        }
    }
}

impl std::error::Error for Error {}

/// A checked document, with what the operator should know of it.
#[derive(Clone, Debug)]
pub struct Checked {
    pub document: Document,
    /// Paths of fields that the schema doesn't know.
    pub unknown: Vec<String>,
}

/// Reads and checks a document in YAML.
pub fn parse(text: &str) -> Result<Checked, Error> {
    let parsed = yaml::parse::<raw::Document>(text).map_err(Error::Yaml)?;
    let document = Document::try_from(Raw(parsed.value))?;
    Ok(Checked { document, unknown: parsed.unknown })
}

/// A document as it was read, before any check.
pub struct Raw(pub raw::Document);

impl TryFrom<Raw> for Document {
    type Error = Error;

    fn try_from(Raw(raw): Raw) -> Result<Self, Self::Error> {
        let mut check = Check::default();
        let service = check.parse("service", &raw.service);
        let floor = check.some("floor", Share::new(raw.floor), "is not between 0.0 and 1.0");
        let routes = check.routes(raw.routes);
        let grants = check.grants(raw.workspaces);
        let targets = check.targets(raw.targets);
        if !check.faults.is_empty() {
            return Err(Error::Faults(check.faults));
        }
        let (Some(service), Some(floor)) = (service, floor) else {
            return Err(Error::Faults(check.faults));
        };
        Ok(Self { service, floor, routes, grants, targets })
    }
}

/// Collects faults, so that an operator sees all of them at once.
#[derive(Default)]
struct Check {
    faults: Vec<Fault>,
}

impl Check {
    fn fault(&mut self, field: impl Into<String>, reason: impl Into<String>) {
        self.faults.push(Fault { field: field.into(), reason: reason.into() });
    }

    fn some<T>(&mut self, field: &str, value: Option<T>, reason: &str) -> Option<T> {
        if value.is_none() {
            self.fault(field, reason);
        }
        value
    }

    fn parse<T>(&mut self, field: &str, text: &str) -> Option<T>
    where
        T: std::str::FromStr,
        T::Err: fmt::Display,
    {
        match text.parse() {
            Ok(value) => Some(value),
            Err(error) => {
                self.fault(field, error.to_string());
                None
            }
        }
    }

    fn at_least_one(&mut self, field: String, value: u32) {
        if value == 0 {
            self.fault(field, "must be 1 or more");
        }
    }

    fn routes(&mut self, raws: Vec<raw::Route>) -> Vec<Arc<Route>> {
        let mut names = HashSet::new();
        let mut routes = Vec::with_capacity(raws.len());
        for (index, raw) in raws.into_iter().enumerate() {
            let field = format!("routes[{index}]");
            if !names.insert(raw.name.clone()) {
                self.fault(format!("{field}.name"), format!("{:?} stands twice", raw.name));
            }
            routes.extend(self.route(&field, raw).map(Arc::new));
        }
        routes.sort_by_key(|route| std::cmp::Reverse(route.path.len()));
        routes
    }

    fn route(&mut self, field: &str, raw: raw::Route) -> Option<Route> {
        if let Some(reason) = path_fault(&raw.path) {
            self.fault(format!("{field}.path"), reason);
        }
        for (index, method) in raw.methods.iter().enumerate() {
            if method.is_empty() || !method.bytes().all(|byte| byte.is_ascii_alphabetic()) {
                self.fault(format!("{field}.methods[{index}]"), "must be letters only");
            }
        }
        if raw.deadline_ms == 0 || raw.deadline_ms > MAX_DEADLINE_MS {
            let reason = format!("must be 1 to {MAX_DEADLINE_MS}");
            self.fault(format!("{field}.deadline_ms"), reason);
        }
        let name = self.parse(&format!("{field}.name"), &raw.name);
        let class = self.parse(&format!("{field}.class"), &raw.class);
        Some(Route {
            name: name?,
            path: raw.path.into(),
            methods: raw.methods.iter().map(|method| method.to_uppercase().into()).collect(),
            repeatable: raw.repeatable,
            open: raw.open,
            deadline: Duration::from_millis(raw.deadline_ms.into()),
            class: class?,
        })
    }

    fn grants(&mut self, raws: Vec<raw::Grant>) -> HashMap<id::Workspace, Grant> {
        let mut grants = HashMap::with_capacity(raws.len());
        for (index, raw) in raws.into_iter().enumerate() {
            let field = format!("workspaces[{index}]");
            let workspace =
                self.parse::<id::Workspace>(&format!("{field}.workspace"), &raw.workspace);
            let grant = self.grant(&field, &raw);
            let (Some(workspace), Some(grant)) = (workspace, grant) else {
                continue;
            };
            if grants.insert(workspace, grant).is_some() {
                let reason = format!("{:?} stands twice", raw.workspace);
                self.fault(format!("{field}.workspace"), reason);
            }
        }
        grants
    }

    fn grant(&mut self, field: &str, raw: &raw::Grant) -> Option<Grant> {
        self.at_least_one(format!("{field}.burst"), raw.burst);
        let rate = Rate::new(raw.rate).filter(|rate| rate.per_second() > 0.0);
        let rate = self.some(&format!("{field}.rate"), rate, "must be above 0")?;
        let weight = match raw.weight {
            0 => rate.per_second().ceil().min(f64::from(u32::MAX)) as u32,
            weight => weight,
        };
        Some(Grant { rate, burst: Burst(raw.burst), weight: Weight(weight) })
    }

    fn targets(&mut self, raws: Vec<raw::Target>) -> Vec<Target> {
        let mut addresses = HashSet::new();
        let mut targets = Vec::with_capacity(raws.len());
        for (index, raw) in raws.into_iter().enumerate() {
            let field = format!("targets[{index}]");
            self.at_least_one(format!("{field}.slots"), raw.slots);
            self.at_least_one(format!("{field}.connections"), raw.connections);
            if !addresses.insert(raw.address.clone()) {
                self.fault(format!("{field}.address"), format!("{:?} stands twice", raw.address));
            }
            let id = self.parse(&format!("{field}.address"), &raw.address);
            if let Some(reason) = id.and_then(address_fault) {
                self.fault(format!("{field}.address"), reason);
            }
            let data_centre = self.parse(&format!("{field}.data_centre"), &raw.data_centre);
            let (Some(id), Some(data_centre)) = (id, data_centre) else {
                continue;
            };
            targets.push(Target {
                id,
                data_centre,
                slots: Slots(raw.slots),
                connections: Connections(raw.connections),
                leaving: raw.leaving,
            });
        }
        targets
    }
}

/// Returns why no request could ever match a path, or `None`.
fn path_fault(path: &str) -> Option<&'static str> {
    if !path.starts_with('/') {
        return Some("must start with a slash");
    }
    if path.contains(['%', '?', '#', '\\']) || path.chars().any(char::is_control) {
        return Some("must be the decoded path, without query or backslash");
    }
    if path.contains("//") || path.split('/').any(|segment| matches!(segment, "." | "..")) {
        return Some("must hold no empty segment and no dot segment");
    }
    None
}

/// Returns why no host could connect to an address, or `None`.
fn address_fault(address: id::Target) -> Option<&'static str> {
    let id::Target(address) = address;
    let cast = address.ip().is_unspecified() || address.ip().is_multicast();
    (cast || address.port() == 0).then_some("must be the address of one host, with a port")
}

#[cfg(test)]
mod tests {
    use rstest::rstest;

    use super::*;

    const GOOD: &str = "
service: calendar
routes:
  - { name: all, path: / }
  - { name: seats, path: /seats, methods: [post] }
workspaces:
  - { workspace: prairie, rate: 2.5, burst: 4 }
targets:
  - { address: '127.0.0.1:9', data_centre: regina, slots: 2, connections: 350 }
";

    #[test]
    fn longest_route_wins() {
        let document = parse(GOOD).unwrap().document;
        assert_eq!(document.route("POST", "/seats/1").unwrap().name.as_str(), "seats");
        assert_eq!(document.route("GET", "/seats/1").unwrap().name.as_str(), "all");
        assert_eq!(document.route("POST", "/seatsale").unwrap().name.as_str(), "all");
    }

    #[rstest]
    #[case("path: /seats", "path: /%73eats", "routes[1].path")]
    #[case("path: /seats", "path: /a/../b", "routes[1].path")]
    #[case("path: /seats", "path: seats", "routes[1].path")]
    #[case("[post]", "['po st']", "routes[1].methods[0]")]
    #[case("127.0.0.1:9", "127.0.0.1:0", "targets[0].address")]
    #[case("127.0.0.1:9", "localhost:9", "targets[0].address")]
    #[case("slots: 2, connections: 350 }", "slots: 2, connections: 0 }", "targets[0].connections")]
    #[case("burst: 4", "burst: 0", "workspaces[0].burst")]
    #[case("service: calendar", "service: Calendar", "service")]
    #[case("service: calendar", "service: calendar\nfloor: 1.5", "floor")]
    #[case("name: seats", "name: all", "routes[1].name")]
    #[case("path: / }", "path: /, deadline_ms: 0 }", "routes[0].deadline_ms")]
    fn fault_is_named(#[case] from: &str, #[case] to: &str, #[case] field: &str) {
        let Err(Error::Faults(faults)) = parse(&GOOD.replace(from, to)) else {
            panic!("document was accepted")
        };
        let fields: Vec<_> = faults.iter().map(|fault| fault.field.as_str()).collect();
        assert_eq!(fields, [field]);
    }

    #[test]
    fn all_faults_are_named() {
        let text = GOOD.replace("rate: 2.5", "rate: 0").replace("slots: 2", "slots: 0");
        let Err(Error::Faults(faults)) = parse(&text) else { panic!("document was accepted") };
        let fields: Vec<_> = faults.iter().map(|fault| fault.field.as_str()).collect();
        assert_eq!(fields, ["workspaces[0].rate", "targets[0].slots"]);
    }
}
