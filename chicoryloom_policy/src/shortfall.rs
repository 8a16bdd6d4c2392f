//! How many of a service's requests were not served lately.
//!
//! Answers the load of more requests than are granted or can be served. While a good part of them is
//! refused or fails, operators count targets that are well and get nothing as capacity withheld, so
//! that none may stay idle for its risk.

use std::time::Duration;

use crate::Moment;

/// Time constant with which outcomes are forgotten.
const DECAY_TIME: Duration = Duration::from_secs(1);
/// Share of requests not served above which the service falls short.
const SHORT_SHARE: f64 = 0.1;
/// Fewest requests that show that it does.
const MIN_REQUESTS: f64 = 3.0;

/// Outcomes of the requests for one service at this host.
#[derive(Clone, Copy, Debug, Default)]
pub struct Shortfall {
    /// Requests served, as of `at`; each counts less the longer ago it was.
    served: f64,
    /// Requests not served, as of `at`.
    unserved: f64,
    at: Moment,
}

impl Shortfall {
    /// Records the outcome of a request.
    pub fn record(&mut self, is_served: bool, now: Moment) {
        let kept = self.kept(now);
        self.served = self.served * kept + if is_served { 1.0 } else { 0.0 };
        self.unserved = self.unserved * kept + if is_served { 0.0 } else { 1.0 };
        self.at = now;
    }

    /// Returns whether the service falls short of its requests.
    pub fn is_short(&self, now: Moment) -> bool {
        let kept = self.kept(now);
        let all = (self.served + self.unserved) * kept;
        all >= MIN_REQUESTS && self.unserved * kept >= SHORT_SHARE * all
    }

    fn kept(&self, now: Moment) -> f64 {
        (-now.since(self.at).as_secs_f64() / DECAY_TIME.as_secs_f64()).exp()
    }
}
