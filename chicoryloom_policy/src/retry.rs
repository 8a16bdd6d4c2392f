//! Budget of retries and hedged requests.
//!
//! Hosts share a burst of retries that nobody gives out: each host keeps a part of it, which follows from
//! what it knows of the others. A process has earned each retry that it sends, by first attempts since
//! its start. So a host that restarts brings none with it, and at any moment the retries that all hosts have
//! saved up are at most the burst. The load is one deposit for each request and one withdrawal for
//! each retry.

use std::time::Duration;

/// Time after its start in which a host may not know all others: they send heartbeats to the whole fleet
/// at this interval.
pub const ACQUAINTANCE_TIME: Duration = Duration::from_secs(5);
/// Retries that each first attempt allows by default.
const DEFAULT_SHARE: f64 = 0.1;
/// Unused retries that can accumulate by default.
const DEFAULT_BURST: f64 = 10.0;
/// Part of the burst that is left to hosts other than the entry hosts: those that have just ceased to be
/// one still have callers.
const RESERVED_SHARE: f64 = 0.15;
/// Retries that any host can save up, so that it can send one at all.
const MIN_PART: f64 = 1.0;

/// What a host knows of the hosts that share a burst.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Fleet {
    /// Hosts that callers are sent to, as far as known.
    pub entry_hosts: usize,
    /// Whether this host is one of them.
    pub is_entry: bool,
    /// Hosts that were among them when they were last heard; they may live on the other side of a cut.
    pub lost_entry_hosts: usize,
    /// Time for which this host has run.
    pub uptime: Duration,
}

impl Fleet {
    /// Returns this host's part of a burst.
    pub fn part(&self, burst: f64) -> f64 {
        if self.uptime < ACQUAINTANCE_TIME || !self.is_entry {
            return MIN_PART;
        }
        let sharers = (self.entry_hosts + self.lost_entry_hosts).max(1);
        let part = burst * (1.0 - RESERVED_SHARE) / sharers as f64;
        part.max(MIN_PART)
    }
}

/// The retry budget of one service on one host.
///
/// Over any time, retries and hedges are at most a fixed share of the first attempts, a tenth by
/// default, plus a fixed burst. So all hosts together add at most that share to the targets'
/// load beyond the bursts, however many requests fail.
#[derive(Clone, Debug)]
pub struct Budget {
    /// Retries that each first attempt allows.
    share: f64,
    /// Unused retries that can accumulate.
    burst: f64,
    /// Retries that are left; 0 to `burst`.
    left: f64,
}

impl Default for Budget {
    /// Returns a full budget of one process, whose burst no other one shares.
    fn default() -> Self {
        Self { left: DEFAULT_BURST, ..Self::new(DEFAULT_SHARE, DEFAULT_BURST) }
    }
}

impl Budget {
    /// Returns an empty budget with a share of the first attempts and a burst.
    pub fn new(share: f64, burst: f64) -> Self {
        Self { share, burst, left: 0.0 }
    }

    /// Changes the burst, for instance because the number of hosts that share it changed.
    pub fn set_burst(&mut self, burst: f64) {
        self.burst = burst;
        self.left = self.left.min(burst);
    }

    /// Adds the share of a retry that the first attempt of a request allows.
    pub fn deposit(&mut self) {
        self.left = (self.left + self.share).min(self.burst);
    }

    /// Spends one retry or hedge; returns whether one was left.
    pub fn take(&mut self) -> bool {
        if self.left < 1.0 {
            return false;
        }
        self.left -= 1.0;
        true
    }

    /// Returns the retries that are left, as a whole number.
    pub fn left(&self) -> u32 {
        self.left as u32
    }

    /// Returns the most retries that `requests` first attempts allow under the default budget.
    pub fn bound(requests: u64) -> f64 {
        DEFAULT_BURST + DEFAULT_SHARE * requests as f64
    }
}
