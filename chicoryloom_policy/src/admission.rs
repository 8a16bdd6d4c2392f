//! Which of a workspace's requests get its grant while it is short.
//!
//! Answers the load of a workspace that asks for several times its rate with requests of several
//! priorities. By arrival alone, all of them would get the same share, and those that may wait
//! longer a larger one. Here, part of what remains of the grant is kept for more urgent requests.
//! Those that are refused get a place each at which the grant has room again, so that they don't
//! return at once and together.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::Moment;
use crate::allowance::Excess;
use crate::unit::Priority;

/// Time constant of the counts of recent requests.
const MEMORY: Duration = Duration::from_secs(1);
/// Time for which the grant's rate is kept for more urgent requests; hosts know what the others
/// admit a part of this time late.
const RESERVE_TIME: Duration = Duration::from_millis(250);
/// Latest place that is given, from now; by then the demand has changed.
const MAX_PLACE: Duration = Duration::from_secs(5);

/// A count that decays with time.
#[derive(Clone, Copy, Debug, Default)]
struct Count {
    value: f64,
    at: Moment,
}

impl Count {
    fn at(self, now: Moment) -> f64 {
        self.value * (-now.since(self.at).as_secs_f64() / MEMORY.as_secs_f64()).exp()
    }

    fn add(&mut self, now: Moment) {
        *self = Self { value: self.at(now) + 1.0, at: now };
    }
}

/// Recent requests of one workspace at this host, and the places of those that were refused.
#[derive(Clone, Debug, Default)]
pub struct Order {
    /// Recent requests by priority of their route; the lowest priority is the most urgent.
    asked: BTreeMap<Priority, Count>,
    /// Place of the request that was refused last.
    last_place: Moment,
}

impl Order {
    /// Counts a request that asks for its grant.
    pub fn record(&mut self, priority: Priority, now: Moment) {
        self.asked.entry(priority).or_default().add(now);
    }

    /// Returns the time for which the grant's rate is kept for requests that are more urgent than
    /// `priority`: longer the larger their share of the recent requests is.
    pub fn reserve(&self, priority: Priority, now: Moment) -> Duration {
        let count = |(_, count): (&Priority, &Count)| count.at(now);
        let more_urgent: f64 = self.asked.range(..priority).map(count).sum();
        let asked = more_urgent + self.asked.range(priority..).map(count).sum::<f64>();
        if asked > 0.0 { RESERVE_TIME.mul_f64(more_urgent / asked) } else { Duration::ZERO }
    }

    /// Returns the time after which a refused request should return. Each place is one request's
    /// time behind the last one, at this host's share of the grant among `hosts` hosts.
    pub fn place(&mut self, excess: &Excess, hosts: usize, now: Moment) -> Duration {
        let hosts = u32::try_from(hosts.max(1)).unwrap_or(u32::MAX);
        let interval = excess.interval.saturating_mul(hosts);
        let first = now.after(excess.wait);
        let place = self.last_place.after(interval).max(first).min(now.after(MAX_PLACE));
        self.last_place = place;
        place.since(now)
    }
}
