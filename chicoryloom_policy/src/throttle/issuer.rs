//! Permits for a target with a limit, given out by the one host that is responsible for it.
//!
//! Shares of a small limit would be parts of a request, and counts that hosts tell each other are
//! too late where many of them wait for the same target. So the responsible host gives out each
//! request that the limit allows, to the hosts that ask for it, in the order in which they began to
//! ask.

use std::collections::VecDeque;
use std::time::Duration;

use super::Limit;
use crate::Moment;
use crate::id;
use crate::limit::Bucket;
use crate::limit::Flow;
use crate::limit::Share;
use crate::limit::Tokens;

/// Time without a renewal after which an ask is dropped; three renewals.
const ASK_TTL: Duration = Duration::from_secs(1);
/// Time in which the limit allows as many requests as may be sent at once, if it allows more than
/// one.
const BURST_TIME: Duration = Duration::from_millis(250);
/// Rate at which a target that takes no requests is tried, so that the end of its limit is noticed.
pub(super) const PROBE_RATE: f64 = 0.1;

/// Requests for permits of one host.
#[derive(Clone, Debug)]
struct Ask {
    host: id::Host,
    /// When the host last asked, on the host's own clock.
    asked: Moment,
    /// Permits that it wants; above 0.
    wanted: u32,
    renewed: Moment,
}

/// Permits that a host got.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Grant {
    pub host: id::Host,
    /// When the host asked, on its own clock.
    pub asked: Moment,
    pub count: u32,
}

/// Gives out the requests that a target's limit allows.
#[derive(Clone, Debug)]
pub struct Issuer {
    bucket: Bucket,
    /// Hosts that wait, each once, in the order in which they began to ask.
    asks: VecDeque<Ask>,
}

impl Issuer {
    /// Returns an issuer that has nothing to give out yet, as an earlier one may just have given out
    /// what the limit allows.
    ///
    /// `part` is the part of the fleet that this host sees, from 0 to 1: the rest may have an issuer
    /// of its own.
    pub fn new(limit: Limit, part: f64, now: Moment) -> Self {
        Self { bucket: Bucket::empty(share(limit, part), now), asks: VecDeque::new() }
    }

    /// Changes the limit and the part of the fleet that this host sees.
    pub fn set_limit(&mut self, limit: Limit, part: f64, now: Moment) {
        let share = share(limit, part);
        if self.bucket.share() != share {
            self.bucket.set_share(share, now);
        }
    }

    /// Takes one permit for this host, unless other hosts wait for it.
    pub fn take(&mut self, now: Moment) -> bool {
        self.drop_outdated(now);
        self.asks.is_empty() && self.bucket.take(now).is_ok()
    }

    /// Queues or renews a host's ask for permits.
    pub fn ask(&mut self, host: &id::Host, asked: Moment, wanted: u32, now: Moment) {
        let wanted = wanted.max(1);
        match self.asks.iter_mut().find(|ask| ask.host == *host) {
            Some(ask) => (ask.asked, ask.wanted, ask.renewed) = (asked, wanted, now),
            None => self.asks.push_back(Ask { host: host.clone(), asked, wanted, renewed: now }),
        }
    }

    /// Returns the permits that can be given out now.
    pub fn poll(&mut self, now: Moment) -> Vec<Grant> {
        self.drop_outdated(now);
        let mut grants = Vec::new();
        while let Some(ask) = self.asks.front() {
            let mut count = 0;
            while count < ask.wanted && self.bucket.take(now).is_ok() {
                count += 1;
            }
            if count == 0 {
                break;
            }
            grants.push(Grant { host: ask.host.clone(), asked: ask.asked, count });
            self.asks.pop_front();
        }
        grants
    }

    /// Returns when a waiting host is expected to get a permit; `None` if it does not wait.
    pub fn expected_wait(&self, host: &id::Host) -> Option<Duration> {
        let place = self.asks.iter().position(|ask| ask.host == *host)?;
        let ahead = u32::try_from(place).unwrap_or(u32::MAX);
        let lacking = (Tokens::whole(ahead) + Tokens::ONE).minus(self.bucket.level());
        Some(self.bucket.share().flow.time_for(lacking))
    }

    fn drop_outdated(&mut self, now: Moment) {
        self.asks.retain(|ask| now.since(ask.renewed) < ASK_TTL);
    }
}

/// Returns the rate at which permits are given out, and how many at once.
fn share(limit: Limit, part: f64) -> Share {
    let rate = if limit.per_second() > 0.0 { limit.per_second() } else { PROBE_RATE };
    let flow = Flow::from_estimate(rate * part.clamp(0.0, 1.0));
    Share { flow, cap: flow.over(BURST_TIME).max(Tokens::ONE) }
}
