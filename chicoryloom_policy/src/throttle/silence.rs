//! Limits whose responsible host gives out no permits, as it is of a build that knows no limits.
//!
//! A host is told apart by what it does: one that leaves asks unanswered for a while, and has sent no
//! message about limits since its start, knows none. The hosts that do know limits then use a
//! [`Ration`] each instead of permits. All rations together are the limit, so that no host needs to
//! know how many others use theirs; what the rations of hosts without requests would allow is lost.

use std::collections::HashMap;
use std::time::Duration;

use super::Limit;
use super::issuer::PROBE_RATE;
use super::permits::PERMIT_TTL;
use crate::Moment;
use crate::id;
use crate::limit::Bucket;
use crate::limit::Flow;
use crate::limit::Share;
use crate::limit::Tokens;
use crate::withdrawal::Process;

/// Time for which a host leaves asks unanswered before it counts as one that knows no limits; six
/// asks, so that some lost datagrams or a short pause of the host don't do.
const SILENT_AFTER: Duration = Duration::from_secs(2);

/// What is known of a host.
#[derive(Clone, Copy, Debug)]
enum Knowledge {
    /// It sent a message about limits, or the version of its messages has them.
    Speaks,
    /// It has been asked since `first`, and has not answered.
    Asked {
        first: Moment,
        latest: Moment,
    },
    Silent,
}

/// Hosts that leave asks for permits unanswered.
///
/// Answers the load of an upgrade in which the host responsible for a target is of an earlier build:
/// without it, requests to that target would wait for permits until their deadlines.
#[derive(Clone, Debug, Default)]
pub struct Silence {
    hosts: HashMap<id::Host, Knowledge>,
}

impl Silence {
    /// Records that a host knows limits.
    pub fn hear(&mut self, host: &id::Host) {
        match self.hosts.get_mut(host) {
            Some(known) => *known = Knowledge::Speaks,
            None => {
                self.hosts.insert(host.clone(), Knowledge::Speaks);
            }
        }
    }

    /// Drops what is known of a host that was lost or restarted, maybe with another build.
    pub fn forget(&mut self, host: &id::Host) {
        self.hosts.remove(host);
    }

    /// Records that a host is asked for permits.
    pub fn ask(&mut self, host: &id::Host, now: Moment) {
        let known = self.hosts.get(host).copied();
        let next = match known {
            Some(Knowledge::Speaks | Knowledge::Silent) => return,
            Some(Knowledge::Asked { first, .. }) if now.since(first) >= SILENT_AFTER => {
                Knowledge::Silent
            }
            Some(Knowledge::Asked { first, latest }) if now.since(latest) < PERMIT_TTL => {
                Knowledge::Asked { first, latest: now }
            }
            _ => Knowledge::Asked { first: now, latest: now },
        };
        self.hosts.insert(host.clone(), next);
    }

    /// Returns whether a host counts as one that knows no limits.
    pub fn is_silent(&self, host: &id::Host) -> bool {
        matches!(self.hosts.get(host), Some(Knowledge::Silent))
    }

    /// Returns the number of hosts that count as such.
    pub fn count(&self) -> usize {
        self.hosts.values().filter(|known| matches!(known, Knowledge::Silent)).count()
    }
}

/// This host's parts of limits, by process; each is the limit divided by the hosts that may send.
#[derive(Clone, Debug, Default)]
pub struct Ration {
    buckets: HashMap<Process, Bucket>,
}

impl Ration {
    /// Takes one request of this host's part; `hosts` is the number of those that may send to the
    /// target, this one included, of which `part` is visible.
    pub fn take(
        &mut self,
        process: &Process,
        limit: Limit,
        hosts: usize,
        part: f64,
        now: Moment,
    ) -> bool {
        let rate = if limit.per_second() > 0.0 { limit.per_second() } else { PROBE_RATE };
        let flow = Flow::from_estimate(rate * part.clamp(0.0, 1.0) / hosts.max(1) as f64);
        let share = Share { flow, cap: Tokens::ONE };
        let bucket =
            self.buckets.entry(process.clone()).or_insert_with(|| Bucket::empty(share, now));
        if bucket.share() != share {
            bucket.set_share(share, now);
        }
        bucket.take(now).is_ok()
    }

    /// Drops the parts of limits that ended.
    pub fn retain(&mut self, has_limit: impl Fn(&Process) -> bool) {
        self.buckets.retain(|process, _| has_limit(process));
    }
}
