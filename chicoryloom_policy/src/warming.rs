//! Targets that are cold: for a time after their start, or after they came back, they take few
//! requests.
//!
//! Answers the load of many targets that come back at once, and of callers that would all be sent to
//! them. What a target that warms up takes is given out like the limit that a target names
//! ([`crate::throttle`]).

use std::collections::HashMap;
use std::time::Duration;

use crate::Moment;
use crate::throttle::Limit;
use crate::withdrawal::Process;

/// Time after which the platform lists what a target reports about itself.
const LISTING_LAG: Duration = Duration::from_millis(2500);

/// How targets of a service warm up.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Warmup {
    /// Time that it takes.
    pub time: Duration,
    /// Requests per second from all hosts together that a target takes meanwhile.
    pub rate: Limit,
}

/// Requests in one second beyond the rate that targets which warm up tolerate.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Tolerance {
    /// Multiple of the rate.
    pub overage: f64,
    /// Requests beyond that.
    pub slack: f64,
}

impl Tolerance {
    /// Returns the most requests in one second.
    pub fn most(self, rate: Limit) -> f64 {
        rate.per_second() * self.overage + self.slack
    }

    /// Returns the rate at which one host gives out permits: half of what is tolerated at most, as two
    /// hosts may do so around a change of hands.
    pub fn issued(self, rate: Limit) -> Limit {
        Limit::try_from(rate.per_second().min(self.most(rate) / 2.0)).unwrap_or(rate)
    }
}

#[derive(Clone, Copy, Debug)]
struct Entry {
    rate: Limit,
    until: Moment,
    /// Whether the listing says that the target is cold.
    is_listed: bool,
    /// When this host had another reason to take the target for cold. A listing ends that only if it
    /// is later.
    asserted: Option<Moment>,
}

/// Targets that are cold, or may be, as far as a host knows.
#[derive(Clone, Debug, Default)]
pub struct Warming {
    entries: HashMap<Process, Entry>,
}

impl Warming {
    /// Records how long the platform lists a target to remain cold; zero for a warm one.
    pub fn list(&mut self, process: &Process, rate: Limit, remaining: Duration, now: Moment) {
        let until = now.after(remaining);
        match self.entries.get_mut(process) {
            Some(entry) => {
                entry.rate = rate;
                entry.is_listed = !remaining.is_zero();
                // Without another reason, the latest listing decides.
                entry.until = if entry.asserted.is_some() { entry.until.max(until) } else { until };
            }
            None if remaining.is_zero() => {}
            None => {
                let entry = Entry { rate, until, is_listed: true, asserted: None };
                self.entries.insert(process.clone(), entry);
            }
        }
    }

    /// Records that a target may be cold for `remaining` at most, for another reason than its listing;
    /// returns whether that is news.
    pub fn assert(
        &mut self,
        process: &Process,
        rate: Limit,
        remaining: Duration,
        now: Moment,
    ) -> bool {
        let is_news = self.limit(process, now).is_none();
        let until = now.after(remaining);
        let new = Entry { rate, until, is_listed: false, asserted: None };
        let entry = self.entries.entry(process.clone()).or_insert(new);
        entry.until = entry.until.max(until);
        entry.asserted = Some(now);
        is_news
    }

    /// Returns the requests per second that a target takes if it is cold.
    pub fn limit(&self, process: &Process, now: Moment) -> Option<Limit> {
        self.entries.get(process).filter(|entry| now < entry.until).map(|entry| entry.rate)
    }

    /// Returns how much longer a target remains cold.
    pub fn remaining(&self, process: &Process, now: Moment) -> Duration {
        self.entries.get(process).map_or(Duration::ZERO, |entry| entry.until.since(now))
    }

    /// Returns whether any target is cold.
    pub fn is_any(&self, now: Moment) -> bool {
        self.entries.values().any(|entry| now < entry.until)
    }

    /// Returns the number of cold targets.
    pub fn count(&self, now: Moment) -> usize {
        self.entries.values().filter(|entry| now < entry.until).count()
    }

    /// Drops targets that have warmed up: by time, or by a listing as of `listed` that would show
    /// that they are cold.
    pub fn sweep(&mut self, listed: Option<Moment>, now: Moment) {
        let is_refuted = |entry: &Entry| {
            let shows = |at: Moment| listed.is_some_and(|listed| listed >= at.after(LISTING_LAG));
            !entry.is_listed && entry.asserted.is_some_and(shows)
        };
        self.entries.retain(|_, entry| now < entry.until && !is_refuted(entry));
    }
}
