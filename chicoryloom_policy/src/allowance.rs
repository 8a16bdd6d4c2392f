//! The rate and burst of each workspace, counted over all hosts together.
//!
//! Each host keeps a bucket of tokens for each workspace, from which it takes what it admits
//! itself and what the others tell that they admitted. Between two messages of another host, its
//! latest rate is taken off in advance. So all buckets hold about the same, and what was admitted
//! too much for want of news is a debt that is paid before more is admitted.
//!
//! A host that starts has an empty bucket, since it can't know what was admitted before. It takes
//! over the level of hosts that have run for longer than a window; if the whole fleet starts
//! anew, burst and rate together still hold over the restart.

use std::collections::HashMap;
use std::time::Duration;

use crate::Moment;
use crate::catalog::Workspace;
use crate::id;
use crate::unit::Rate;

/// Longest time for which another host's rate is taken off past its latest message.
const MAX_PROJECTION: Duration = Duration::from_millis(600);
/// Weight of the newest sample in another host's smoothed rate.
const RATE_WEIGHT: f64 = 0.4;
/// Fewest requests that a host admits before it tells the others ahead of time.
const LEAST_NEWS: f64 = 1.0;
/// Largest debt, in parts of the burst; older debt than that is out of any window.
const MAX_DEBT: f64 = 2.0;

/// A total of another host.
#[derive(Clone, Copy, Debug)]
struct Other {
    incarnation: id::Incarnation,
    total: u64,
    heard: Moment,
    /// Smoothed requests a second.
    rate: f64,
}

#[derive(Clone, Debug, Default)]
struct Meter {
    /// Requests that this host admitted since its start.
    total: u64,
    /// Tokens left; below zero while more was admitted than granted.
    level: f64,
    refilled: Moment,
    others: HashMap<id::Host, Other>,
}

/// A request past its workspace's rate and burst.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Excess {
    /// Tokens left, as this host knows them.
    pub left: f64,
    /// Time after which the next request can be admitted.
    pub wait: Duration,
}

/// What another host tells of one workspace.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Report {
    pub incarnation: id::Incarnation,
    /// Requests that the host admitted since its start.
    pub total: u64,
    /// Tokens left in its bucket, if the host has run for longer than a window.
    pub level: Option<f64>,
}

/// What each workspace has used of its grant.
#[derive(Clone, Debug)]
pub struct Allowance {
    window: Duration,
    started: Moment,
    meters: HashMap<id::Workspace, Meter>,
}

impl Allowance {
    /// Starts with empty buckets; hosts that have run for `window` have full knowledge.
    pub fn new(window: Duration, started: Moment) -> Self {
        Self { window, started, meters: HashMap::new() }
    }

    /// Tells whether this host has run for longer than a window.
    pub fn is_settled(&self, now: Moment) -> bool {
        now.since(self.started) > self.window
    }

    fn meter(&mut self, name: &id::Workspace) -> &mut Meter {
        let started = self.started;
        let fresh = || Meter { refilled: started, ..Meter::default() };
        self.meters.entry(name.clone()).or_insert_with(fresh)
    }

    /// Tells whether a request would be admitted, without counting it.
    pub fn check(&mut self, workspace: &Workspace, now: Moment) -> Result<(), Excess> {
        let Some(rate) = workspace.rate else { return Ok(()) };
        let meter = self.meter(&workspace.name);
        meter.refill(rate, workspace.burst.0.into(), now);
        let left = meter.level - meter.projected(now);
        if left >= 1.0 {
            return Ok(());
        }
        let seconds = (1.0 - left) / rate.per_second();
        let wait = Duration::try_from_secs_f64(seconds).unwrap_or(self.window);
        Err(Excess { left, wait: wait.min(self.window) })
    }

    /// Admits a request, or tells by how much its workspace is past its grant.
    pub fn admit(&mut self, workspace: &Workspace, now: Moment) -> Result<(), Excess> {
        self.check(workspace, now)?;
        let meter = self.meter(&workspace.name);
        meter.total += 1;
        if workspace.rate.is_some() {
            meter.level -= 1.0;
        }
        Ok(())
    }

    /// Returns the part of its burst that a workspace has used; 0 without a limit.
    pub fn use_of(&mut self, workspace: &Workspace, now: Moment) -> f64 {
        let Some(rate) = workspace.rate else { return 0.0 };
        let burst = f64::from(workspace.burst.0);
        let meter = self.meter(&workspace.name);
        meter.refill(rate, burst, now);
        1.0 - meter.level / burst.max(1.0)
    }

    /// Returns the totals and levels of this host, to be told to the others.
    pub fn reports(&self) -> impl Iterator<Item = (&id::Workspace, u64, f64)> {
        let used = self.meters.iter().filter(|(_, meter)| meter.total > 0);
        used.map(|(name, meter)| (name, meter.total, meter.level))
    }

    /// Tells whether the others should hear of admitted requests ahead of time, since `hosts` that
    /// each admit as many untold would use up the level.
    pub fn is_urgent(untold: u64, level: f64, hosts: usize) -> bool {
        untold as f64 >= (level / hosts.max(1) as f64).max(LEAST_NEWS)
    }

    /// Takes in a report of another host.
    pub fn hear(
        &mut self,
        host: &id::Host,
        workspace: &id::Workspace,
        report: Report,
        now: Moment,
    ) {
        let is_new = !self.is_settled(now);
        let meter = self.meter(workspace);
        let known = meter.others.get(host).copied();
        let known = known.filter(|known| known.incarnation == report.incarnation);
        let (before, span) = match known {
            Some(known) => (known.total, now.since(known.heard)),
            // What a host admitted long before it was heard is out of any window.
            None if report.level.is_some() => (report.total, Duration::ZERO),
            None => (0, Duration::ZERO),
        };
        let delta = report.total.saturating_sub(before) as f64;
        let rate = match known {
            Some(known) if !span.is_zero() => {
                known.rate + RATE_WEIGHT * (delta / span.as_secs_f64() - known.rate)
            }
            Some(known) => known.rate,
            None => 0.0,
        };
        meter.level -= delta;
        if let Some(level) = report.level.filter(|_| is_new) {
            meter.level = meter.level.max(level);
        }
        let total = report.total.max(before);
        let other = Other { incarnation: report.incarnation, total, heard: now, rate };
        meter.others.insert(host.clone(), other);
    }
}

impl Meter {
    fn refill(&mut self, rate: Rate, burst: f64, now: Moment) {
        let span = now.since(self.refilled).as_secs_f64();
        self.refilled = now;
        let least = -MAX_DEBT * burst.max(1.0);
        self.level = (self.level + rate.per_second() * span).min(burst.max(1.0)).max(least);
    }

    /// Returns what the others are expected to have admitted since their latest messages.
    fn projected(&self, now: Moment) -> f64 {
        let expected = |other: &Other| {
            let age = now.since(other.heard);
            // A host that is not heard any more admits nothing that others could know of.
            if age > MAX_PROJECTION { 0.0 } else { other.rate * age.as_secs_f64() }
        };
        self.others.values().map(expected).sum()
    }
}
