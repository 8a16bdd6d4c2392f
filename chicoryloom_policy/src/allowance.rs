//! The rate and burst of each workspace, counted over all hosts together.
//!
//! In any window, a workspace may have as many requests admitted as its rate brings in that time,
//! and its burst on top. Each host keeps the admissions of the last window, its own and what the
//! others tell of theirs; between two messages of another host, its latest rate is counted in
//! advance.
//!
//! The window alone would let all its requests come at its beginning, and again after a restart
//! of the whole fleet, when no host knows what was admitted before. So there is a bucket of tokens
//! beside it, a little larger than the burst. A host starts with an empty bucket and takes over
//! the level of hosts that have run for longer than a window. Until it can have heard the others
//! it counts on a small part of the rate only.

use std::collections::HashMap;
use std::collections::VecDeque;
use std::time::Duration;

use crate::Moment;
use crate::catalog::Workspace;
use crate::id;

/// Longest time for which another host's rate is counted past its latest message.
const MAX_PROJECTION: Duration = Duration::from_millis(600);
/// Weight of the newest sample in another host's smoothed rate.
const RATE_WEIGHT: f64 = 0.4;
/// Fewest requests that a host admits before it tells the others ahead of time.
const MIN_UNREPORTED: f64 = 1.0;
/// Part of the bucket below which a workspace asks for more than its rate for a while; until
/// then, what hosts have not told each other yet is well within the users' tolerance.
const NEAR_LIMIT_SHARE: f64 = 0.7;
/// Size of the bucket beyond the burst: what the rate brings in this time, which the users
/// tolerate beyond a window's requests, or this many requests for small grants.
const BUCKET_MARGIN_TIME: Duration = Duration::from_millis(500);
const MIN_BUCKET_MARGIN: f64 = 5.0;
/// Time without a sign of life after which this host stood still and knows as little as one that
/// starts; twenty times the usual time between two signs.
const STALL_THRESHOLD: Duration = Duration::from_secs(1);
/// Time after its start in which a host may not hear the others yet; they find each other within
/// two rounds of beats.
const DISCOVERY_TIME: Duration = Duration::from_millis(600);
/// Part of the rate that a host counts on in that time, as if it shared it with as many others.
const DISCOVERY_RATE_SHARE: f64 = 0.1;
/// Part of the time in which an answer has its full worth that a request may wait for its grant.
const MAX_WAIT_SHARE: f64 = 0.25;
/// Largest debt, in parts of the bucket; older debt than that is out of any window.
const MAX_DEBT_BUCKETS: f64 = 2.0;
/// Admissions within this time are kept as one entry.
const GRANULARITY: Duration = Duration::from_millis(20);

/// A total of another host.
#[derive(Clone, Copy, Debug)]
struct Peer {
    incarnation: id::Incarnation,
    total: u64,
    reported_at: Moment,
    /// Smoothed requests a second.
    rate: f64,
}

/// A grant as it was last seen.
#[derive(Clone, Copy, Debug, Default)]
struct Grant {
    /// Requests a second.
    rate: f64,
    burst: f64,
}

impl Grant {
    fn of(workspace: &Workspace) -> Option<Self> {
        let rate = workspace.rate?.per_second();
        Some(Self { rate, burst: workspace.burst.0.into() })
    }

    /// Returns the requests that the grant allows in a span.
    fn allowed_in(self, span: Duration) -> f64 {
        self.rate * span.as_secs_f64() + self.burst
    }

    /// Returns the size of the bucket.
    fn bucket(self) -> f64 {
        self.burst + (self.rate * BUCKET_MARGIN_TIME.as_secs_f64()).max(MIN_BUCKET_MARGIN)
    }
}

#[derive(Clone, Debug, Default)]
struct Meter {
    /// Requests that this host admitted since its start.
    total: u64,
    /// Admissions of the last window over all hosts, as far as known, oldest first.
    admitted: VecDeque<(Moment, f64)>,
    /// Totals of this host in the last window and when they were reached, oldest first.
    totals: VecDeque<(Moment, u64)>,
    /// Tokens in the bucket; below zero while more was admitted than it held.
    level: f64,
    refilled: Moment,
    peers: HashMap<id::Host, Peer>,
    grant: Grant,
    /// When the grant was last lowered, and what it was before.
    lowered: Option<(Moment, Grant)>,
    /// Requests that may still be admitted, as of the latest look.
    remaining: f64,
}

/// A request past its workspace's rate and burst.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Excess {
    /// Requests left, as this host knows.
    pub remaining: f64,
    /// Time after which the next request can be admitted.
    pub wait: Duration,
    /// Time between two requests at the workspace's rate.
    pub interval: Duration,
}

impl Excess {
    /// Returns the time after which a request can be admitted that comes after `ahead` others.
    pub fn wait_behind(&self, ahead: usize) -> Duration {
        let ahead = u32::try_from(ahead).unwrap_or(u32::MAX);
        self.wait.saturating_add(self.interval.saturating_mul(ahead))
    }
}

/// Returns how long a request may wait for room in its grant, by the time in which its answer has
/// its full worth.
///
/// Load that this answers: hosts that start anew with empty buckets, and bursts that one host
/// sees a moment before the others' news. A workspace that asks for much more than its rate has
/// its line full and is refused at once.
pub fn max_wait(target_latency: Duration) -> Duration {
    target_latency.mul_f64(MAX_WAIT_SHARE)
}

/// What another host tells of one workspace.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Report {
    pub incarnation: id::Incarnation,
    /// Requests that the host admitted since its start.
    pub total: u64,
    /// Those of them that it admitted in the last window.
    pub recent: u64,
    /// Tokens in its bucket, if the host has run for longer than a window.
    pub level: Option<f64>,
}

/// What a host tells the others of one workspace.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Status {
    /// Requests that this host admitted since its start.
    pub total: u64,
    /// Those of them that it admitted in the last window.
    pub recent: u64,
    /// Tokens in this host's bucket.
    pub level: f64,
    /// Requests that all hosts may still admit.
    pub remaining: f64,
    /// Whether the workspace asks for more than its rate.
    pub is_near_limit: bool,
}

/// What each workspace has used of its grant.
#[derive(Clone, Debug)]
pub struct Limiter {
    window: Duration,
    started: Moment,
    /// Latest sign of life.
    last_tick: Moment,
    meters: HashMap<id::Workspace, Meter>,
}

impl Limiter {
    /// Starts to count; hosts that have run for `window` have full knowledge.
    pub fn new(window: Duration, started: Moment) -> Self {
        Self { window, started, last_tick: started, meters: HashMap::new() }
    }

    /// Notes a sign of life; to be called often. After a standstill, what others admitted
    /// meanwhile is not known.
    ///
    /// Each check is one, so that a request that comes first after a standstill is not admitted by
    /// old knowledge; a host without requests calls this by itself, or its quiet would count as one.
    pub fn tick(&mut self, now: Moment) {
        if now.since(self.last_tick) > STALL_THRESHOLD {
            self.started = now;
            for meter in self.meters.values_mut() {
                meter.level = meter.level.min(0.0);
                meter.refilled = now;
            }
        }
        self.last_tick = now;
    }

    /// Tells whether this host has run for longer than a window.
    pub fn has_full_window(&self, now: Moment) -> bool {
        now.since(self.started) > self.window
    }

    fn meter(&mut self, name: &id::Workspace) -> &mut Meter {
        let new = || Meter { refilled: self.started, ..Meter::default() };
        self.meters.entry(name.clone()).or_insert_with(new)
    }

    /// Tells whether a request would be admitted, without counting it.
    pub fn check(&mut self, workspace: &Workspace, now: Moment) -> Result<(), Excess> {
        self.tick(now);
        let Some(grant) = Grant::of(workspace) else { return Ok(()) };
        let window = self.window;
        let discovery_end = self.started.after(DISCOVERY_TIME);
        let meter = self.meter(&workspace.name);
        meter.refill(grant, discovery_end, now);
        meter.remaining = meter.remaining(now, window);
        if meter.remaining >= 1.0 {
            return Ok(());
        }
        let remaining = meter.remaining;
        let discovery = discovery_end.since(now);
        let interval = Duration::try_from_secs_f64(1.0 / grant.rate).unwrap_or(window).min(window);
        Err(Excess { remaining, wait: meter.wait(discovery, now, window), interval })
    }

    /// Admits a request, or tells by how much its workspace is past its grant.
    pub fn admit(&mut self, workspace: &Workspace, now: Moment) -> Result<(), Excess> {
        self.check(workspace, now)?;
        let window = self.window;
        let meter = self.meter(&workspace.name);
        meter.totals.push_back((now, meter.total));
        meter.total += 1;
        meter.record(1.0, now, window);
        Ok(())
    }

    /// Returns what to tell the others, by workspace.
    pub fn statuses(&self, now: Moment) -> impl Iterator<Item = (&id::Workspace, Status)> {
        let used = self.meters.iter().filter(|(_, meter)| meter.total > 0);
        used.map(move |(name, meter)| {
            let within = |(at, _): &&(Moment, u64)| now.since(*at) < self.window;
            let first = meter.totals.iter().find(within).map_or(meter.total, |(_, total)| *total);
            let recent = meter.total - first;
            let Meter { total, level, remaining, .. } = *meter;
            let is_near_limit = remaining < NEAR_LIMIT_SHARE * meter.grant.bucket();
            (name, Status { total, recent, level, remaining, is_near_limit })
        })
    }

    /// Tells whether the others should hear of admitted requests ahead of time, since `hosts` that
    /// each admit as many unreported would use up what is left.
    pub fn is_urgent(unreported: u64, status: &Status, hosts: usize) -> bool {
        let share = status.remaining / hosts.max(1) as f64;
        status.is_near_limit && unreported as f64 >= share.max(MIN_UNREPORTED)
    }

    /// Takes in a report of another host.
    pub fn apply_report(
        &mut self,
        host: &id::Host,
        workspace: &id::Workspace,
        report: Report,
        now: Moment,
    ) {
        let has_full_window = self.has_full_window(now);
        let window = self.window;
        let meter = self.meter(workspace);
        let known = meter.peers.get(host).copied();
        let known = known.filter(|known| known.incarnation == report.incarnation);
        let (before, span) = match known {
            Some(known) => (known.total, now.since(known.reported_at)),
            // What a host admitted long before it was heard is out of any window.
            None => (report.total - report.recent.min(report.total), Duration::ZERO),
        };
        let delta = report.total.saturating_sub(before) as f64;
        let rate = match known {
            Some(known) if !span.is_zero() => {
                known.rate + RATE_WEIGHT * (delta / span.as_secs_f64() - known.rate)
            }
            Some(known) => known.rate,
            None => 0.0,
        };
        if delta > 0.0 {
            meter.record(delta, now, window);
        }
        if let Some(level) = report.level.filter(|_| !has_full_window) {
            meter.level = meter.level.max(level);
        }
        let total = report.total.max(before);
        let peer = Peer { incarnation: report.incarnation, total, reported_at: now, rate };
        meter.peers.insert(host.clone(), peer);
    }
}

impl Meter {
    /// Takes in the grant as the configuration has it now.
    ///
    /// The others can be heard from `discovery_end` on.
    fn refill(&mut self, grant: Grant, discovery_end: Moment, now: Moment) {
        let is_known = self.grant.rate > 0.0;
        if is_known && (grant.rate < self.grant.rate || grant.burst < self.grant.burst) {
            self.lowered = Some((now, self.grant));
        }
        self.grant = grant;
        let span = now.since(self.refilled);
        let discovery = span.saturating_sub(now.since(discovery_end));
        let span =
            (span - discovery).as_secs_f64() + DISCOVERY_RATE_SHARE * discovery.as_secs_f64();
        self.refilled = now;
        let size = grant.bucket();
        self.level = (self.level + grant.rate * span).clamp(-MAX_DEBT_BUCKETS * size, size);
    }

    fn record(&mut self, count: f64, now: Moment, window: Duration) {
        self.level -= count;
        match self.admitted.back_mut() {
            Some((at, recorded)) if now.since(*at) < GRANULARITY => *recorded += count,
            _ => self.admitted.push_back((now, count)),
        }
        while self.totals.front().is_some_and(|(at, _)| now.since(*at) > window) {
            self.totals.pop_front();
        }
        while self.admitted.front().is_some_and(|(at, _)| now.since(*at) > window) {
            self.admitted.pop_front();
        }
    }

    /// Returns the requests admitted in a span before now, as far as known.
    fn used(&self, now: Moment, span: Duration) -> f64 {
        let within = self.admitted.iter().rev().take_while(|(at, _)| now.since(*at) < span);
        within.map(|(_, count)| count).sum()
    }

    fn remaining(&self, now: Moment, window: Duration) -> f64 {
        self.remaining_in_window(now, window).min(self.level) - self.projected(now)
    }

    fn remaining_in_window(&self, now: Moment, window: Duration) -> f64 {
        let used = self.used(now, window);
        match self.lowered.filter(|(at, _)| now.since(*at) < window) {
            None => self.grant.allowed_in(window) - used,
            // A lower grant can't take back what was admitted before; it counts from its
            // beginning.
            Some((at, old)) => {
                let since = now.since(at);
                let left = self.grant.allowed_in(since) - self.used(now, since);
                left.min(old.allowed_in(window) - used)
            }
        }
    }

    /// Returns what the others are expected to have admitted since their latest messages.
    fn projected(&self, now: Moment) -> f64 {
        let expected = |peer: &Peer| {
            let age = now.since(peer.reported_at);
            // A host that is not heard any more admits nothing that others could know of.
            if age > MAX_PROJECTION { 0.0 } else { peer.rate * age.as_secs_f64() }
        };
        self.peers.values().map(expected).sum()
    }

    /// Returns the time until a request can be admitted: until enough of the counted ones leave the
    /// window, and the rate brings enough to the bucket, to which it brings little for `discovery`.
    fn wait(&self, discovery: Duration, now: Moment, window: Duration) -> Duration {
        let projected = self.projected(now);
        let lacking = 1.0 + projected - self.remaining_in_window(now, window);
        let by_window = if lacking > 0.0 {
            let mut leaving = 0.0;
            let leaves = self.admitted.iter().find(|(_, count)| {
                leaving += count;
                leaving >= lacking
            });
            leaves.map_or(window, |(at, _)| window.saturating_sub(now.since(*at)))
        } else {
            Duration::ZERO
        };
        let lacking = (1.0 + projected - self.level).max(0.0);
        let slow_rate = DISCOVERY_RATE_SHARE * self.grant.rate;
        let seconds = if lacking <= slow_rate * discovery.as_secs_f64() {
            lacking / slow_rate
        } else {
            discovery.as_secs_f64() * (1.0 - DISCOVERY_RATE_SHARE) + lacking / self.grant.rate
        };
        by_window.max(Duration::try_from_secs_f64(seconds).unwrap_or(window)).min(window)
    }
}
