//! Which hosts of a data centre watch the platform, and which hosts the others follow.
//!
//! The hosts of a data centre have an order. The first one watches, and the others follow it. As
//! hosts are lost, stopped or cut from the platform, later ones take over, so that a change reaches
//! each host in time however many of those before it fail at once. The load is one decision per host
//! each time that it has polled its relay, and twenty a second without one.

use std::time::Duration;

/// Largest age of a copy that counts as fresh; an older one may lack changes that other hosts act
/// on already. A change must take effect within two seconds, and this leaves a margin.
pub const MAX_FRESH_AGE: Duration = Duration::from_millis(1400);
/// First hosts in the order, which need no old copy to watch the platform if those before them fail,
/// and which others follow although they are not known to watch.
pub const PRIMARY_WATCHERS: usize = 2;
/// Additional age of the copy at which each further host starts to watch.
const TAKEOVER_STEP: Duration = Duration::from_millis(50);
/// How many times that age grows; all later hosts start at the same age, which leaves time for a call
/// before a change must be in force.
const MAX_TAKEOVER_STEPS: usize = 6;

/// Longest time for which a host goes on to receive a response of its relay when it is due to watch
/// the platform instead. A relay that is so slow would hold up the departure of targets.
pub const MAX_RECEIVING: Duration = Duration::from_secs(2);

/// Returns the age of its copy at which the host at a place in the order watches the platform,
/// whatever it waits for.
pub fn due_age(place: usize) -> Duration {
    let steps = place.saturating_sub(PRIMARY_WATCHERS).min(MAX_TAKEOVER_STEPS);
    MAX_FRESH_AGE + TAKEOVER_STEP * u32::try_from(steps).unwrap_or_default()
}

/// Returns whether a host takes over what another one has whose copy is `age` old.
///
/// A host that has a copy takes only what is newer. One that has none would take back what was withdrawn
/// since: it waits for a fresh copy, unless the platform does not answer it.
pub fn takes(age: Duration, has_copy: bool, is_failing: bool) -> bool {
    has_copy || is_failing || age < MAX_FRESH_AGE
}

/// Another host of the data centre.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Candidate {
    /// Whether it watches the platform and its copy is fresh.
    pub watches: bool,
    /// Whether it may be followed; one that failed lately may not.
    pub is_usable: bool,
}

/// A host that is followed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Relay {
    /// Index of the host in the order without this one.
    pub index: usize,
    /// Whether this host need not watch while the relay's copy is fresh.
    pub replaces_watch: bool,
}

/// This host.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Standing {
    /// Number of hosts before this one in the order.
    pub place: usize,
    /// Age of this host's copy.
    pub age: Duration,
    /// Whether it has a copy, however old.
    pub has_copy: bool,
    /// Whether it watches the platform.
    pub is_watching: bool,
    /// Whether its latest call to the platform failed.
    pub is_failing: bool,
}

impl Standing {
    /// Returns whether a host without a relay watches the platform.
    ///
    /// One that has taken over goes on until it follows another watcher. If it stopped when its copy is
    /// fresh, nobody would watch until the copies are old again.
    pub fn watches(&self) -> bool {
        self.is_watching || self.place < PRIMARY_WATCHERS || self.age >= due_age(self.place)
    }

    /// Returns the host to follow, among all others in the order.
    pub fn relay(&self, others: &[Candidate]) -> Option<Relay> {
        let (before, after) = others.split_at(self.place.min(others.len()));
        let is_watcher = |host: &Candidate| host.watches && host.is_usable;
        if let Some(index) = before.iter().position(is_watcher) {
            return Some(Relay { index, replaces_watch: true });
        }
        // A host that the platform does not answer goes on calling it, so that its place is taken again
        // as soon as possible.
        if self.is_failing
            && let Some(index) = after.iter().position(is_watcher)
        {
            return Some(Relay { index: before.len() + index, replaces_watch: false });
        }
        if self.is_watching {
            // A host that starts while the platform is away takes any copy.
            let usable = others.iter().position(|host| host.is_usable);
            let index = usable.filter(|_| !self.has_copy && self.is_failing)?;
            return Some(Relay { index, replaces_watch: false });
        }
        let primary = before.iter().take(PRIMARY_WATCHERS).position(|host| host.is_usable);
        primary.map(|index| Relay { index, replaces_watch: true })
    }
}
