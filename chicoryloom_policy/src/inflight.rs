//! Requests in flight at each target, of this host and of the hosts that report theirs.
//!
//! Answers the load of hundreds of hosts before hundreds of targets: the number at a target is kept
//! as a sum, so that reading it takes the same time however many hosts report, and a report costs
//! as much as it lists.

use std::collections::HashMap;
use std::time::Duration;

use crate::Moment;
use crate::id;

/// Age at which another host's report is dropped.
pub const REPORT_MAX_AGE: Duration = Duration::from_secs(3);
/// Silence of all other hosts after which their loads are unknown; longer than the interval at which
/// they repeat them.
const MAX_SILENCE: Duration = Duration::from_millis(1500);

/// The latest report of another host.
#[derive(Clone, Debug)]
struct Report {
    incarnation: id::Incarnation,
    sequence: u64,
    received: Moment,
    loads: HashMap<id::Instance, u32>,
}

/// Requests in flight by target.
#[derive(Clone, Debug, Default)]
pub struct InFlight {
    /// Of this host; no zeros.
    own: HashMap<id::Instance, u32>,
    reports: HashMap<id::Host, Report>,
    /// Sum of all reports; no zeros.
    reported: HashMap<id::Instance, u32>,
    /// Since when this host hears others without a gap, and when it last did.
    heard: Option<(Moment, Moment)>,
}

impl InFlight {
    /// Counts a request that this host sends to a target.
    pub fn begin(&mut self, target: &id::Instance) {
        add(&mut self.own, target, 1);
    }

    /// Counts the end of such a request.
    pub fn end(&mut self, target: &id::Instance) {
        subtract(&mut self.own, target, 1);
    }

    /// Records that a message of another host came in.
    pub fn hear(&mut self, now: Moment) {
        let is_gap = |latest: Moment| now.since(latest) >= MAX_SILENCE;
        let since = self.heard.filter(|(_, latest)| !is_gap(*latest)).map_or(now, |heard| heard.0);
        self.heard = Some((since, now));
    }

    /// Returns whether the loads of the other hosts are known: each repeats its own at least once in
    /// [`MAX_SILENCE`]. They aren't after a start, a pause or a cut.
    pub fn is_informed(&self, now: Moment) -> bool {
        self.heard.is_some_and(|(since, latest)| {
            now.since(latest) < MAX_SILENCE && now.since(since) >= MAX_SILENCE
        })
    }

    /// Returns the requests of this host at a target.
    pub fn own_at(&self, target: &id::Instance) -> u32 {
        self.own.get(target).copied().unwrap_or_default()
    }

    /// Returns the requests of all known hosts at a target.
    pub fn total(&self, target: &id::Instance) -> u32 {
        let count = |counts: &HashMap<_, u32>| counts.get(target).copied().unwrap_or_default();
        count(&self.own) + count(&self.reported)
    }

    /// Returns the targets with requests of this host, and how many each has.
    pub fn own(&self) -> impl Iterator<Item = (&id::Instance, u32)> {
        self.own.iter().map(|(target, count)| (target, *count))
    }

    /// Replaces another host's report; a target that it doesn't list has no request of that host.
    /// Returns false for a report that is older than the known one.
    pub fn report(
        &mut self,
        host: &id::Host,
        incarnation: id::Incarnation,
        sequence: u64,
        loads: impl IntoIterator<Item = (id::Instance, u32)>,
        now: Moment,
    ) -> bool {
        let known = self.reports.get(host);
        if known.is_some_and(|one| one.incarnation == incarnation && one.sequence >= sequence) {
            return false;
        }
        self.hear(now);
        self.forget(host);
        let mut counts = HashMap::new();
        for (target, count) in loads {
            add(&mut self.reported, &target, count);
            add(&mut counts, &target, count);
        }
        let report = Report { incarnation, sequence, received: now, loads: counts };
        self.reports.insert(host.clone(), report);
        true
    }

    /// Drops the report of a host.
    pub fn forget(&mut self, host: &id::Host) {
        let Some(report) = self.reports.remove(host) else { return };
        for (target, count) in report.loads {
            subtract(&mut self.reported, &target, count);
        }
    }

    /// Drops the reports of hosts that have sent none for [`REPORT_MAX_AGE`].
    pub fn expire(&mut self, now: Moment) {
        let is_old = |report: &Report| now.since(report.received) >= REPORT_MAX_AGE;
        let old: Vec<_> = self
            .reports
            .iter()
            .filter(|(_, report)| is_old(report))
            .map(|(host, _)| host.clone())
            .collect();
        for host in old {
            self.forget(&host);
        }
    }
}

fn add(counts: &mut HashMap<id::Instance, u32>, target: &id::Instance, count: u32) {
    if count == 0 {
        return;
    }
    match counts.get_mut(target) {
        Some(known) => *known = known.saturating_add(count),
        None => {
            counts.insert(target.clone(), count);
        }
    }
}

fn subtract(counts: &mut HashMap<id::Instance, u32>, target: &id::Instance, count: u32) {
    if let Some(known) = counts.get_mut(target) {
        *known = known.saturating_sub(count);
        if *known == 0 {
            counts.remove(target);
        }
    }
}
