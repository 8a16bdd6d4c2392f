//! Load of a target as measured by this host.

use std::sync::atomic::AtomicU32;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use chicoryloom_policy::Moment;
use chicoryloom_policy::pick::Load;

/// Weight of the newest sample in the smoothed latency.
const LATENCY_WEIGHT: f64 = 0.2;
/// Latency assumed before the first sample.
const INITIAL_LATENCY: Duration = Duration::from_millis(10);
/// Units per attempt in the stored limit.
const LIMIT_SCALE: u32 = 1000;
/// Factor applied to the limit when the target sheds a request.
const SHED_LIMIT_FACTOR: f64 = 0.7;
/// Pause in new attempts after the target shed a request.
const SHED_PAUSE: Duration = Duration::from_millis(200);

/// Attempts in flight at a target, their limit, and the target's latency.
#[derive(Debug)]
pub(crate) struct Gauge {
    in_flight: AtomicU32,
    /// Maximum number of attempts in flight from this host while other targets have room, in
    /// thousandths; 0 until it is first set.
    limit: AtomicU32,
    /// Smoothed time to the head of an answer, in microseconds.
    latency: AtomicU64,
    /// Microseconds on the boot-time clock until which the target gets no attempts while other
    /// targets have room.
    paused_until: AtomicU64,
}

impl Default for Gauge {
    fn default() -> Self {
        Self {
            in_flight: AtomicU32::new(0),
            limit: AtomicU32::new(0),
            latency: AtomicU64::new(INITIAL_LATENCY.as_micros() as u64),
            paused_until: AtomicU64::new(0),
        }
    }
}

impl Gauge {
    pub(super) fn begin(&self) {
        self.in_flight.fetch_add(1, Ordering::Relaxed);
    }

    pub(super) fn end(&self) {
        self.in_flight.fetch_sub(1, Ordering::Relaxed);
    }

    pub(crate) fn in_flight(&self) -> u32 {
        self.in_flight.load(Ordering::Relaxed)
    }

    pub(super) fn load(&self, slots: u32) -> Load {
        let latency = Duration::from_micros(self.latency.load(Ordering::Relaxed));
        Load { in_flight: self.in_flight(), slots, latency: latency.as_secs_f64() }
    }

    /// Sets the initial limit, unless one is set: twice this host's share of the target's slots
    /// among the home hosts, plus one.
    pub(super) fn init_limit(&self, slots: u32, homes: u32) {
        let first = slots.saturating_mul(2).div_ceil(homes.max(1)).saturating_add(1);
        let first = first.saturating_mul(LIMIT_SCALE);
        let _ = self.limit.compare_exchange(0, first, Ordering::Relaxed, Ordering::Relaxed);
    }

    /// Returns how many attempts this host may have in flight while other targets have room.
    pub(crate) fn limit(&self) -> u32 {
        (self.limit.load(Ordering::Relaxed) / LIMIT_SCALE).max(1)
    }

    /// Records the latency of an answer, and raises the limit if it is in full use and the answer
    /// was not slow.
    pub(crate) fn record_answer(&self, took: Duration, slow: bool, slots: u32) {
        let old = self.latency.load(Ordering::Relaxed) as f64;
        let new = old + LATENCY_WEIGHT * (took.as_micros() as f64 - old);
        self.latency.store(new as u64, Ordering::Relaxed);
        let limit = self.limit.load(Ordering::Relaxed);
        if !slow && self.in_flight() >= self.limit() {
            let most = slots.saturating_mul(2).saturating_add(2).saturating_mul(LIMIT_SCALE);
            let grown = limit.saturating_add(LIMIT_SCALE / self.limit());
            self.limit.store(grown.min(most).max(limit.min(most)), Ordering::Relaxed);
        }
    }

    /// Records that the target shed a request: lowers the limit and pauses new attempts.
    pub(crate) fn record_shed(&self, now: Moment) {
        let limit = f64::from(self.limit.load(Ordering::Relaxed));
        self.limit.store(((limit * SHED_LIMIT_FACTOR) as u32).max(LIMIT_SCALE), Ordering::Relaxed);
        let until = now.after(SHED_PAUSE).since_start().as_micros();
        self.paused_until.store(u64::try_from(until).unwrap_or(u64::MAX), Ordering::Relaxed);
    }

    /// Returns whether the target may get another attempt while other targets have room.
    pub(super) fn has_room(&self, now: Moment) -> bool {
        let paused = Duration::from_micros(self.paused_until.load(Ordering::Relaxed));
        now.since_start() >= paused && self.in_flight() < self.limit()
    }
}
