//! The rate and burst of each workspace, counted over all hosts together.
//!
//! In any window, a workspace may have as many requests admitted as its rate allows in that time,
//! plus its burst. Each host keeps the admissions of the last window, its own and those that the
//! other hosts report. Between two reports of another host, its admissions are projected from its
//! latest rate.
//!
//! The window alone would admit all its requests at its beginning, and again after a restart of
//! the whole fleet, when no host knows what was admitted before. A token bucket a little larger
//! than the burst therefore limits admissions as well. A host starts with an empty bucket and
//! adopts the level of hosts that have run for longer than a window. Until it can have received
//! the reports of the others, its bucket fills at a small part of the rate.

use std::collections::HashMap;
use std::collections::VecDeque;
use std::time::Duration;

use crate::Moment;
use crate::catalog::Workspace;
use crate::id;

/// Longest time for which another host's admissions are projected past its latest report.
const MAX_PROJECTION: Duration = Duration::from_millis(600);
/// Weight of the newest sample in another host's smoothed rate. A short time between two reports makes
/// the rate too high, which leaves part of a grant unused.
const RATE_WEIGHT: f64 = 0.4;
/// Fewest unreported requests for which a host reports before the next one is due.
const MIN_UNREPORTED: f64 = 1.0;
/// Part of the bucket below which a workspace is near its limit, since it has asked for more than
/// its rate for a while. Above it, what hosts have not reported yet is well within the users'
/// tolerance.
const NEAR_LIMIT_SHARE: f64 = 0.7;
/// Size of the bucket beyond the burst, as the time in which the rate allows as many requests; the
/// users tolerate that many beyond a window's requests.
const BUCKET_MARGIN_TIME: Duration = Duration::from_millis(500);
/// Least size of the bucket beyond the burst, in requests; it applies to small grants.
const MIN_BUCKET_MARGIN: f64 = 5.0;
/// Time between two ticks after which this host was suspended and its counts are as outdated as
/// those of one that starts; twenty times the usual time between two ticks.
const STALL_THRESHOLD: Duration = Duration::from_secs(1);
/// Time after its start in which a host may not have received reports of the others yet; hosts
/// find each other within two rounds of heartbeats.
const DISCOVERY_TIME: Duration = Duration::from_millis(600);
/// Largest part of the rate at which the bucket fills in that time, as if ten hosts shared the rate.
const MAX_DISCOVERY_SHARE: f64 = 0.1;
/// Part of its route's target latency for which a request may wait for its grant.
const MAX_WAIT_SHARE: f64 = 0.25;
/// Largest debt, in sizes of the bucket; debt beyond that has left every window.
const MAX_DEBT_BUCKETS: f64 = 2.0;
/// Time after which the copy of the platform's objects is confirmed again while the platform, or a host
/// that reaches it, is in reach.
const CONFIRMATION_TIME: Duration = Duration::from_secs(1);
/// Time within which admissions share one entry.
const GRANULARITY: Duration = Duration::from_millis(20);

/// The latest report of another host.
#[derive(Clone, Copy, Debug)]
struct Peer {
    incarnation: id::Incarnation,
    total: u64,
    reported_at: Moment,
    /// Requests that the latest report added.
    added: f64,
    /// Smoothed requests a second.
    rate: f64,
}

impl Peer {
    fn first(report: Report, added: f64, now: Moment) -> Self {
        let Report { incarnation, total, .. } = report;
        Self { incarnation, total, reported_at: now, added, rate: 0.0 }
    }

    /// Returns the state after a further report of the same incarnation.
    fn next(self, total: u64, now: Moment) -> Self {
        let added = total.saturating_sub(self.total) as f64;
        let span = now.since(self.reported_at).as_secs_f64();
        let rate = if span > 0.0 {
            self.rate + RATE_WEIGHT * (added / span - self.rate)
        } else {
            self.rate
        };
        Self { total: total.max(self.total), reported_at: now, added, rate, ..self }
    }

    /// Returns how many requests the host is expected to have admitted since its latest report.
    fn expected(&self, now: Moment) -> f64 {
        let age = now.since(self.reported_at);
        // A host that reports no more may have stopped, so nothing is projected for it.
        if age > MAX_PROJECTION { 0.0 } else { self.rate * age.as_secs_f64() }
    }
}

/// The grant that the configuration last gave a workspace.
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

    /// Returns the number of requests that the grant allows in a span.
    fn allowed_in(self, span: Duration) -> f64 {
        self.rate * span.as_secs_f64() + self.burst
    }

    /// Returns the size of the bucket.
    fn bucket(self) -> f64 {
        self.burst + (self.rate * BUCKET_MARGIN_TIME.as_secs_f64()).max(MIN_BUCKET_MARGIN)
    }
}

/// Other hosts of a host's data centre that were heard and did not say that they leave.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Neighbours {
    pub alive: usize,
    pub lost: usize,
}

impl Neighbours {
    /// Returns how many hosts a host still hears of, itself included, if it seems to be cut off from the
    /// others: most of them fell silent, and its copy of the platform's objects is not confirmed.
    ///
    /// One that is wrong about this, as the others crashed while the platform was away, serves too little
    /// of the grants until the platform is back.
    pub fn island(self, copy_age: Duration) -> Option<usize> {
        let is_cut_off = self.lost > self.alive && copy_age >= CONFIRMATION_TIME;
        is_cut_off.then_some(self.alive + 1)
    }
}

/// Part of a grant that a host may use while it can't know what others admit.
#[derive(Clone, Copy, Debug)]
struct Part {
    /// Part of the rate at which buckets fill until then.
    rate_share: f64,
    /// Part of a bucket's size.
    bucket_share: f64,
    until: Moment,
}

/// Admissions of one workspace.
#[derive(Clone, Debug, Default)]
struct Meter {
    /// Requests that this host admitted since its start.
    total: u64,
    /// Known admissions of all hosts in the last window, oldest first.
    admitted: VecDeque<(Moment, f64)>,
    /// Totals of this host before each of its admissions in the last window, oldest first.
    totals: VecDeque<(Moment, u64)>,
    /// Tokens in the bucket; negative if more requests were admitted than it held.
    level: f64,
    refilled: Moment,
    /// Whether the level of a host that has run for longer was adopted. Later reports would restore
    /// what this host and others that started with it have spent meanwhile.
    is_adopted: bool,
    peers: HashMap<id::Host, Peer>,
    grant: Grant,
    /// When the grant was last lowered, and the grant before.
    lowered: Option<(Moment, Grant)>,
    /// Requests that may still be admitted, as of the latest check.
    remaining: f64,
}

/// Error of a request beyond its workspace's rate and burst.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Excess {
    /// Requests that may still be admitted, as far as this host knows; less than 1.
    pub remaining: f64,
    /// Time after which the next request can be admitted.
    pub wait: Duration,
    /// Time between two requests at the workspace's rate.
    pub interval: Duration,
}

impl Excess {
    /// Returns the time after which a request can be admitted behind `ahead` others.
    pub fn wait_behind(&self, ahead: usize) -> Duration {
        let ahead = u32::try_from(ahead).unwrap_or(u32::MAX);
        self.wait.saturating_add(self.interval.saturating_mul(ahead))
    }
}

/// Another host's report on one workspace.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Report {
    pub incarnation: id::Incarnation,
    /// Requests that the host admitted since its start.
    pub total: u64,
    /// Requests among them that it admitted in the last window.
    pub recent: u64,
    /// Tokens in the host's bucket, if it has run for longer than a window.
    pub level: Option<f64>,
}

/// Admissions of one workspace, to report to the other hosts.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Status {
    /// Requests that this host admitted since its start.
    pub total: u64,
    /// Requests among them that it admitted in the last window.
    pub recent: u64,
    /// Tokens in this host's bucket.
    pub level: f64,
    /// Requests that all hosts may still admit.
    pub remaining: f64,
    /// Whether little remains, since the workspace has asked for more than its rate for a while.
    pub is_near_limit: bool,
}

/// Rate limiter of all workspaces on one host.
#[derive(Clone, Debug)]
pub struct Limiter {
    window: Duration,
    started: Moment,
    /// Latest call of [`Limiter::tick`].
    last_tick: Moment,
    /// Part of the rate at which buckets fill until the other hosts' reports are received.
    discovery_share: f64,
    /// Hosts that are expected to admit requests.
    hosts: usize,
    /// Hosts that this one still hears of, itself included, while it is cut off from the others.
    island: Option<usize>,
    meters: HashMap<id::Workspace, Meter>,
}

impl Limiter {
    /// Returns a limiter without counts; once it has run for `window`, its counts are complete.
    pub fn new(window: Duration, started: Moment) -> Self {
        Self {
            window,
            started,
            last_tick: started,
            discovery_share: MAX_DISCOVERY_SHARE,
            hosts: 1,
            island: None,
            meters: HashMap::new(),
        }
    }

    /// Sets how many hosts are expected to admit requests, as all of them may start at once.
    pub fn set_hosts(&mut self, count: usize) {
        self.hosts = count.max(1);
        self.discovery_share = MAX_DISCOVERY_SHARE.min(1.0 / count.max(1) as f64);
    }

    /// Returns how many hosts are expected to admit requests.
    pub fn hosts(&self) -> usize {
        self.hosts
    }

    /// Sets how many hosts this one still hears of, itself included, if it is cut off from the others; to
    /// be called often.
    ///
    /// The others count it as gone and go on to admit all of a grant. Callers that still reach it get
    /// the part of these hosts in the rate and burst, so that hosts that are cut off exceed a grant by their
    /// share of the fleet. Afterwards the limiter starts over, as it has missed what others admitted.
    ///
    /// Returns whether this is news.
    pub fn set_island(&mut self, island: Option<usize>, now: Moment) -> bool {
        if self.island.is_some() && island.is_none() {
            self.restart(now);
        }
        std::mem::replace(&mut self.island, island) != island
    }

    /// Returns the part of a grant that this host may use, and until when.
    fn part(&self, now: Moment) -> Part {
        if let Some(island) = self.island {
            let share = (island as f64 / self.hosts as f64).min(1.0);
            return Part { rate_share: share, bucket_share: share, until: now.after(self.window) };
        }
        let until = self.started.after(DISCOVERY_TIME);
        Part { rate_share: self.discovery_share, bucket_share: 1.0, until }
    }

    /// Detects that this host was suspended; to be called often. After a suspension, the limiter
    /// starts over with empty buckets, since it does not know what other hosts admitted meanwhile.
    ///
    /// Each check calls this, so that the first request after a suspension is not admitted by
    /// outdated counts. A host without requests must call it too, or its idle time would count as
    /// a suspension.
    pub fn tick(&mut self, now: Moment) {
        if now.since(self.last_tick) > STALL_THRESHOLD {
            self.restart(now);
        }
        self.last_tick = now;
    }

    /// Starts over with empty buckets, as this host may have missed what others admitted: it was
    /// suspended, or they sent it no reports as it had no callers.
    pub fn restart(&mut self, now: Moment) {
        self.started = now;
        for meter in self.meters.values_mut() {
            meter.level = meter.level.min(0.0);
            meter.refilled = now;
            meter.is_adopted = false;
        }
    }

    /// Returns how long a request may wait for its grant, given the target latency of its route and
    /// the time until its deadline.
    ///
    /// Usually the wait serves bursts that reach one host shortly before the reports of the others do.
    /// If a workspace asks for much more than its rate, enough requests wait already that a further one
    /// is refused at once. A host that has started has an empty bucket although the grant may have room,
    /// so that a request waits there for as long as it can still be served.
    pub fn max_wait(&self, target_latency: Duration, time: Duration, now: Moment) -> Duration {
        let usual = target_latency.min(time).mul_f64(MAX_WAIT_SHARE);
        let until_last = time.saturating_sub(target_latency);
        if self.has_full_window(now) { usual } else { until_last.max(usual) }
    }

    /// Returns whether this host has run for longer than a window.
    pub fn has_full_window(&self, now: Moment) -> bool {
        now.since(self.started) > self.window
    }

    fn meter(&mut self, name: &id::Workspace) -> &mut Meter {
        let new = || Meter { refilled: self.started, ..Meter::default() };
        self.meters.entry(name.clone()).or_insert_with(new)
    }

    /// Checks whether a request would be admitted, without counting it.
    pub fn check(&mut self, workspace: &Workspace, now: Moment) -> Result<(), Excess> {
        self.check_beyond(workspace, Duration::ZERO, now)
    }

    /// Checks whether a request would be admitted if what the grant's rate allows in `reserve` is
    /// kept for others, without counting it.
    pub fn check_beyond(
        &mut self,
        workspace: &Workspace,
        reserve: Duration,
        now: Moment,
    ) -> Result<(), Excess> {
        self.tick(now);
        let Some(grant) = Grant::of(workspace) else { return Ok(()) };
        let window = self.window;
        let part = self.part(now);
        let meter = self.meter(&workspace.id);
        meter.refill(grant, part, now);
        let projected = meter.projected(now);
        meter.remaining = meter.remaining(now, window) - projected;
        let needed = 1.0 + grant.rate * reserve.as_secs_f64();
        if meter.remaining >= needed {
            return Ok(());
        }
        let remaining = meter.remaining;
        let interval = Duration::try_from_secs_f64(1.0 / grant.rate).unwrap_or(window).min(window);
        let wait = meter.wait(needed + projected, part, now, window);
        Err(Excess { remaining, wait, interval })
    }

    /// Admits and counts a request, or returns by how much its workspace exceeds its grant.
    pub fn admit(&mut self, workspace: &Workspace, now: Moment) -> Result<(), Excess> {
        self.check(workspace, now)?;
        let window = self.window;
        let meter = self.meter(&workspace.id);
        meter.totals.push_back((now, meter.total));
        meter.total += 1;
        meter.record(1.0, now, window);
        Ok(())
    }

    /// Returns what to report to the other hosts, by workspace.
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

    /// Returns whether a host should report its admitted requests at once, since `hosts` hosts with
    /// as many unreported requests each would use up what remains.
    pub fn is_urgent(unreported: u64, status: &Status, hosts: usize) -> bool {
        let share = status.remaining / hosts.max(1) as f64;
        status.is_near_limit && unreported as f64 >= share.max(MIN_UNREPORTED)
    }

    /// Applies a report of another host.
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
        let peer = match known {
            Some(known) => known.next(report.total, now),
            // What the host admitted before the last window no longer counts.
            None => Peer::first(report, report.recent.min(report.total) as f64, now),
        };
        let delta = peer.added;
        // The level of a host that has run for longer accounts for what all such hosts admitted.
        let is_in_adopted_level = known.is_none() && report.level.is_some() && !has_full_window;
        if delta > 0.0 && is_in_adopted_level {
            meter.count(delta, now, window);
        } else if delta > 0.0 {
            meter.record(delta, now, window);
        }
        if let Some(level) = report.level.filter(|_| !has_full_window && !meter.is_adopted) {
            meter.level = meter.level.max(level);
            meter.is_adopted = true;
        }
        meter.peers.insert(host.clone(), peer);
    }
}

impl Meter {
    /// Updates the grant and refills the bucket.
    fn refill(&mut self, grant: Grant, part: Part, now: Moment) {
        let is_known = self.grant.rate > 0.0;
        if is_known && (grant.rate < self.grant.rate || grant.burst < self.grant.burst) {
            self.lowered = Some((now, self.grant));
        }
        self.grant = grant;
        let span = now.since(self.refilled);
        let partial = span.saturating_sub(now.since(part.until));
        let span = (span - partial).as_secs_f64() + part.rate_share * partial.as_secs_f64();
        self.refilled = now;
        let size = (grant.bucket() * part.bucket_share).max(1.0);
        self.level = (self.level + grant.rate * span).clamp(-MAX_DEBT_BUCKETS * size, size);
    }

    /// Counts admitted requests, and takes their tokens out of the bucket.
    fn record(&mut self, count: f64, now: Moment, window: Duration) {
        self.level -= count;
        self.count(count, now, window);
    }

    /// Counts admitted requests, and drops entries that left the window.
    fn count(&mut self, count: f64, now: Moment, window: Duration) {
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

    /// Returns the number of known admissions in a span before now.
    fn used(&self, now: Moment, span: Duration) -> f64 {
        let within = self.admitted.iter().rev().take_while(|(at, _)| now.since(*at) < span);
        within.map(|(_, count)| count).sum()
    }

    /// Returns how many requests may still be admitted, by those that are known.
    fn remaining(&self, now: Moment, window: Duration) -> f64 {
        self.remaining_in_window(now, window).min(self.level)
    }

    /// Returns how many requests the window alone still allows.
    fn remaining_in_window(&self, now: Moment, window: Duration) -> f64 {
        let used = self.used(now, window);
        match self.lowered.filter(|(at, _)| now.since(*at) < window) {
            None => self.grant.allowed_in(window) - used,
            // What was admitted before can't be revoked, so the lower grant counts only what
            // was admitted since it applies.
            Some((at, old)) => {
                let since = now.since(at);
                let left = self.grant.allowed_in(since) - self.used(now, since);
                left.min(old.allowed_in(window) - used)
            }
        }
    }

    /// Returns how many requests the other hosts are expected to have admitted since their latest
    /// reports.
    fn projected(&self, now: Moment) -> f64 {
        self.peers.values().map(|peer| peer.expected(now)).sum()
    }

    /// Returns the time until `needed` requests may be admitted: until enough of the counted ones
    /// leave the window and the bucket has the tokens.
    fn wait(&self, needed: f64, part: Part, now: Moment, window: Duration) -> Duration {
        let lacking = needed - self.remaining_in_window(now, window);
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
        let lacking = (needed - self.level).max(0.0);
        let partial = part.until.since(now).as_secs_f64();
        let slow_rate = part.rate_share * self.grant.rate;
        let seconds = if lacking <= slow_rate * partial {
            lacking / slow_rate
        } else {
            partial * (1.0 - part.rate_share) + lacking / self.grant.rate
        };
        by_window.max(Duration::try_from_secs_f64(seconds).unwrap_or(window)).min(window)
    }
}
