//! The rate and burst of each workspace, counted over all hosts together.
//!
//! Each host tells the others how many requests it has admitted since its start. Whoever admits
//! adds up what all hosts admitted in the last window, and projects the counts of the others to
//! the present by their latest rate. A lost message only makes the projection longer.

use std::collections::HashMap;
use std::collections::VecDeque;
use std::time::Duration;

use crate::Moment;
use crate::catalog::Workspace;
use crate::id;
use crate::unit::Rate;

/// Longest time for which another host's count is projected past its latest message.
const MAX_PROJECTION: Duration = Duration::from_secs(1);
/// Shortest time between two samples that are kept.
const SAMPLE_GAP: Duration = Duration::from_millis(20);

/// A count that only grows, with its recent history.
#[derive(Clone, Debug, Default)]
struct Counter {
    total: u64,
    /// Totals and when they were reached, oldest first; the first one is older than the window.
    samples: VecDeque<(Moment, u64)>,
}

impl Counter {
    fn set(&mut self, total: u64, now: Moment, window: Duration) {
        if self.samples.is_empty() {
            self.samples.push_back((now, self.total));
        }
        self.total = total;
        // The first sample is the base of the window and stays as it is.
        let has_more = self.samples.len() > 1;
        match self.samples.back_mut() {
            Some((at, last)) if has_more && now.since(*at) < SAMPLE_GAP => *last = total,
            _ => self.samples.push_back((now, total)),
        }
        while self.samples.len() > 1 && now.since(self.samples[1].0) > window {
            self.samples.pop_front();
        }
    }

    fn within(&self, now: Moment, window: Duration) -> u64 {
        let old = self.samples.iter().rev().find(|(at, _)| now.since(*at) >= window);
        let base = old.or(self.samples.front()).map_or(self.total, |(_, total)| *total);
        self.total - base.min(self.total)
    }

    /// Returns the expected growth since the latest sample.
    fn projected(&self, now: Moment) -> f64 {
        let mut latest = self.samples.iter().rev();
        let (Some((last, total)), Some((before, earlier))) = (latest.next(), latest.next()) else {
            return 0.0;
        };
        let span = last.since(*before).as_secs_f64();
        if span <= 0.0 {
            return 0.0;
        }
        let age = now.since(*last).min(MAX_PROJECTION).as_secs_f64();
        (total - earlier) as f64 / span.max(SAMPLE_GAP.as_secs_f64()) * age.min(span)
    }
}

#[derive(Clone, Debug, Default)]
struct Meter {
    own: Counter,
    others: HashMap<id::Host, (id::Incarnation, Counter)>,
}

/// A request past its workspace's rate and burst.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Excess {
    /// Requests admitted in the window, as this host knows them.
    pub used: f64,
    /// Requests that the window allows.
    pub limit: f64,
    /// Time after which the next request can be admitted.
    pub wait: Duration,
}

/// What each workspace has used of its grant.
#[derive(Clone, Debug)]
pub struct Allowance {
    window: Duration,
    meters: HashMap<id::Workspace, Meter>,
}

impl Allowance {
    /// Counts over a window.
    pub fn new(window: Duration) -> Self {
        Self { window, meters: HashMap::new() }
    }

    /// Admits a request, or tells by how much its workspace is past its grant.
    pub fn admit(&mut self, workspace: &Workspace, now: Moment) -> Result<(), Excess> {
        self.check(workspace, now)?;
        let window = self.window;
        let meter = self.meters.entry(workspace.name.clone()).or_default();
        let total = meter.own.total + 1;
        meter.own.set(total, now, window);
        Ok(())
    }

    /// Tells whether a request would be admitted, without counting it.
    pub fn check(&self, workspace: &Workspace, now: Moment) -> Result<(), Excess> {
        let (Some(rate), Some(meter)) = (workspace.rate, self.meters.get(&workspace.name)) else {
            return Ok(());
        };
        let limit = self.limit(workspace, rate);
        let used = meter.used(now, self.window);
        if used + 1.0 > limit {
            let wait = meter.wait(rate, used - limit, now, self.window);
            return Err(Excess { used, limit, wait });
        }
        Ok(())
    }

    fn limit(&self, workspace: &Workspace, rate: Rate) -> f64 {
        rate.per_second() * self.window.as_secs_f64() + f64::from(workspace.burst.0)
    }

    /// Returns the part of its grant that a workspace has used in the window; 0 without a limit.
    pub fn use_of(&self, workspace: &Workspace, now: Moment) -> f64 {
        let (Some(rate), Some(meter)) = (workspace.rate, self.meters.get(&workspace.name)) else {
            return 0.0;
        };
        meter.used(now, self.window) / self.limit(workspace, rate).max(1.0)
    }

    /// Returns the totals of this host, to be told to the others.
    pub fn totals(&self) -> impl Iterator<Item = (&id::Workspace, u64)> {
        self.meters.iter().map(|(name, meter)| (name, meter.own.total)).filter(|(_, n)| *n > 0)
    }

    /// Takes in a total of another host.
    pub fn hear(
        &mut self,
        host: &id::Host,
        incarnation: id::Incarnation,
        workspace: &id::Workspace,
        total: u64,
        now: Moment,
    ) {
        let window = self.window;
        let meter = self.meters.entry(workspace.clone()).or_default();
        let fresh = || (incarnation, Counter::default());
        let known = meter.others.entry(host.clone()).or_insert_with(fresh);
        if known.0 != incarnation {
            // What the former life admitted still counts for one window.
            let used = known.1.within(now, window);
            known.0 = incarnation;
            known.1.total = 0;
            known.1.samples = VecDeque::from([(now, 0)]);
            known.1.set(total + used, now, window);
            known.1.total = total;
            return;
        }
        if total > known.1.total {
            known.1.set(total, now, window);
        }
    }
}

impl Meter {
    fn used(&self, now: Moment, window: Duration) -> f64 {
        let others = self
            .others
            .values()
            .map(|(_, counter)| counter.within(now, window) as f64 + counter.projected(now));
        self.own.within(now, window) as f64 + others.sum::<f64>()
    }

    /// Returns the time until enough of the counted requests leave the window.
    fn wait(&self, rate: Rate, excess: f64, now: Moment, window: Duration) -> Duration {
        let counters = std::iter::once(&self.own).chain(self.others.values().map(|(_, c)| c));
        let oldest = counters.filter_map(|counter| counter.samples.get(1)).map(|(at, _)| *at).min();
        let leaves = oldest.map_or(Duration::ZERO, |at| window.saturating_sub(now.since(at)));
        let refill = (excess + 1.0).max(0.0) / rate.per_second().max(0.1);
        leaves.max(Duration::try_from_secs_f64(refill).unwrap_or(window)).min(window)
    }
}
