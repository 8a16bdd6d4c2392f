//! Which versions of the configuration other hosts have, and how long a host serves by an older one.
//!
//! Hosts announce the version that they hold. A host that hears of a later one gets it from one of
//! them, and takes no requests once that takes too long. So no request is handled by a version that is
//! out of date, however large the configuration is and however slow and busy the host's link. While the
//! platform is away nobody holds a later version, and all hosts go on. The load is one announcement for
//! each heartbeat, one to the whole fleet from each host that gets a version from the platform, and one
//! decision for each request.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::Moment;
use crate::catalog::Version;

/// Time after which a version that another host holds must be in force. A change must take effect
/// within two seconds of the platform's acknowledgement; the rest is left for the platform's answer to
/// the first host and for its announcement.
pub const MAX_LAG: Duration = Duration::from_millis(1300);
/// Silence about a version after which it counts as lost: hosts that hold it repeat their
/// announcement every five seconds or more often.
const ANNOUNCEMENT_TTL: Duration = Duration::from_secs(12);
/// Most later versions that are told apart.
const MAX_LATER: usize = 32;

/// A version that this host lacks.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
struct Later {
    /// When the first host got it, as far as known.
    known_since: Moment,
    /// When it was last announced.
    announced: Moment,
}

/// Where this host got a version from.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Origin {
    Platform,
    Host,
}

/// The configuration's versions as this host knows them.
#[derive(Clone, Debug, Default)]
pub struct Rollout {
    /// Version that this host holds, and since when.
    held: Option<(Version, Moment)>,
    /// Whether that came from the platform and the other hosts have not been told of it yet.
    is_news: bool,
    /// Versions above it.
    later: BTreeMap<Version, Later>,
}

impl Rollout {
    /// Records that another host holds a version, and for how long; returns whether this is the
    /// first news of it.
    pub fn announce(&mut self, version: Version, held_for: Duration, now: Moment) -> bool {
        if self.held.is_some_and(|(held, _)| version <= held) {
            return false;
        }
        let known_since = now.before(held_for);
        let is_news = !self.later.contains_key(&version);
        let later = self.later.entry(version).or_insert(Later { known_since, announced: now });
        later.known_since = later.known_since.min(known_since);
        later.announced = now;
        if self.later.len() > MAX_LATER
            && let Some((_, first)) = self.later.pop_first()
            && let Some(mut next) = self.later.first_entry()
        {
            let known_since = next.get().known_since.min(first.known_since);
            next.get_mut().known_since = known_since;
        }
        is_news
    }

    /// Records the version that this host holds; an older one than before changes nothing.
    pub fn hold(&mut self, version: Version, origin: Origin, now: Moment) {
        if self.held.is_some_and(|(held, _)| version <= held) {
            return;
        }
        self.held = Some((version, now));
        self.is_news = origin == Origin::Platform;
        self.later.retain(|later, _| *later > version);
    }

    /// Returns the version that this host holds, and since when.
    pub fn held(&self) -> Option<(Version, Moment)> {
        self.held
    }

    /// Returns whether this host must tell the whole fleet at once of the version that it holds; it is once
    /// for each version that came from the platform.
    pub fn take_news(&mut self) -> bool {
        std::mem::take(&mut self.is_news)
    }

    /// Returns the latest version that this host lacks.
    pub fn missing(&self, now: Moment) -> Option<Version> {
        let is_announced = |later: &Later| now.since(later.announced) < ANNOUNCEMENT_TTL;
        let mut later = self.later.iter().rev();
        later.find(|(_, later)| is_announced(later)).map(|(version, _)| *version)
    }

    /// Returns whether this host has lacked a version for so long that it must take no requests.
    pub fn is_behind(&self, now: Moment) -> bool {
        self.later.values().any(|later| {
            now.since(later.announced) < ANNOUNCEMENT_TTL && now.since(later.known_since) >= MAX_LAG
        })
    }
}
