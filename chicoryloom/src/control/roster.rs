//! The roster and status objects of the platform.

use std::collections::BTreeSet;
use std::collections::HashMap;

use chicoryloom_policy::id;
use chicoryloom_policy::placement::Candidate;
use chicoryloom_policy::roster;
use chicoryloom_wire::generated::platform as raw;
use chicoryloom_wire::platform::Host;
use chicoryloom_wire::platform::Object;
use serde::Deserialize;
use serde::Serialize;

/// Name of the single roster object and of the single status object.
pub(super) const NAME: &str = "fleet";

/// The hosts of which a majority must hold a change before it is accepted.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub(crate) struct Roster {
    /// Version of the roster object; 0 while there is none.
    pub(crate) version: id::Revision,
    pub(crate) hosts: HashMap<id::Host, Host>,
    /// Hosts that watch the platform.
    pub(crate) watchers: BTreeSet<id::Host>,
}

impl Roster {
    fn new(version: id::Revision, hosts: HashMap<id::Host, Host>) -> Self {
        let live = hosts.values().filter(|host| !host.leaving);
        let candidates: Vec<_> = live.map(candidate).collect();
        Self { version, watchers: roster::watchers(&candidates), hosts }
    }

    /// Returns the next roster in the transition to the platform's list, if it differs from this
    /// one.
    ///
    /// `settled` is whether this roster is accepted; only then may its members change.
    pub(super) fn next(&self, listed: &HashMap<id::Host, Host>, settled: bool) -> Option<Self> {
        let names = |hosts: &HashMap<id::Host, Host>| hosts.keys().cloned().collect();
        let present = names(&self.hosts);
        let wanted = names(listed);
        let members: BTreeSet<_> =
            if settled { roster::next_members(&present, &wanted) } else { present };
        let host = |name: id::Host| {
            let host = listed.get(&name).or_else(|| self.hosts.get(&name));
            host.map(|host| (name, host.clone()))
        };
        let next = Self::new(self.version, members.into_iter().filter_map(host).collect());
        (next != *self && !next.hosts.is_empty()).then_some(next)
    }

    /// Serialises the roster as the value of its object.
    pub(super) fn render(&self) -> String {
        let mut hosts: Vec<_> = self.hosts.values().map(raw::Host::from).collect();
        hosts.sort_by(|a, b| a.name.cmp(&b.name));
        serde_json::to_string(&raw::Hosts { hosts }).expect("a roster always serialises")
    }
}

/// Converts a host to a candidate for placement.
pub(super) fn candidate(host: &Host) -> Candidate {
    Candidate { host: host.name.clone(), data_centre: host.data_centre.clone() }
}

/// Parses a roster object.
pub(super) fn parse(object: &Object) -> Result<Roster, String> {
    let raw: raw::Hosts = serde_json::from_str(&object.value).map_err(|error| error.to_string())?;
    let hosts = raw.hosts.into_iter().map(Host::try_from).collect::<Result<Vec<_>, _>>();
    let hosts = hosts.map_err(|error| error.to_string())?;
    let by_name = hosts.into_iter().map(|host| (host.name.clone(), host)).collect();
    Ok(Roster::new(object.version, by_name))
}

#[derive(Deserialize, Serialize)]
struct Status {
    accepted: id::Revision,
}

/// Parses the accepted revision from the value of a status object.
pub(super) fn parse_accepted(value: &str) -> Result<id::Revision, String> {
    let status: Result<Status, _> = serde_json::from_str(value);
    status.map(|status| status.accepted).map_err(|error| error.to_string())
}

/// Serialises the accepted revision as the value of a status object.
pub(super) fn render_accepted(accepted: id::Revision) -> String {
    serde_json::to_string(&Status { accepted }).expect("a status always serialises")
}
