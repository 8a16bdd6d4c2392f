//! Watches one kind of objects at the platform, and applies what it answers to the mirror.

use std::sync::atomic::Ordering;
use std::time::Duration;

use chicoryloom_policy::Moment;
use chicoryloom_policy::outage::Outage;
use chicoryloom_policy::replica::Kind;
use chicoryloom_policy::replica::Update;
use chicoryloom_policy::resumption::Failures;
use chicoryloom_policy::takeover::MAX_FRESH_AGE;
use rand::Rng;
use serde_json::json;
use tokio::sync::watch;

use super::mirror::Source;
use super::port;
use super::sync::Replicator;
use super::sync::wait_for_old_copy;

/// Longest time that the platform holds the response to a watch. Its end confirms the copy, so
/// that it is shorter than [`MAX_FRESH_AGE`].
const WATCH_WAIT: Duration = Duration::from_millis(1000);
/// Delay before the next watch after a response with changes of the configuration, so that changes in
/// quick succession arrive in one response. It delays the changes that come in the meantime, and is
/// subtracted from the wait of that watch.
const CATALOG_BATCH_DELAY: Duration = Duration::from_millis(200);
/// The same for targets. Among hundreds of them one changes at almost any time, and each response
/// costs a call.
const TARGET_BATCH_DELAY: Duration = Duration::from_millis(500);
/// Shortest and longest delay before a failed call to the platform is repeated.
const RETRY_DELAY: (Duration, Duration) = (Duration::from_millis(100), Duration::from_millis(800));
/// Age of the copy above which entries may have lapsed since it was confirmed.
const OUTAGE_AGE: Duration = Duration::from_millis(1500);
/// Interval at which a host that watches lists all objects, so that a fault in its copy, or in the
/// one it began with, does not last. Times are spread by a quarter of it.
const LISTING_INTERVAL: Duration = Duration::from_secs(60);

/// Watches one kind of objects.
#[derive(Debug)]
pub(super) struct Watcher {
    replicator: Replicator,
    kind: Kind,
    /// Whether the copy is complete up to its position, so that changes can be added to it.
    is_listed: bool,
    /// When the objects are listed although the copy is complete.
    listing_due: Moment,
    /// Whether the platform has answered no call since an event said so.
    is_lost: bool,
    was_compacted: bool,
    outage: Outage,
    failures: Failures,
    batch_until: Moment,
    retry_delay: Duration,
}

impl Watcher {
    pub(super) fn new(replicator: Replicator, kind: Kind) -> Self {
        Self {
            replicator,
            kind,
            is_listed: false,
            listing_due: Moment::ZERO,
            is_lost: false,
            was_compacted: false,
            outage: Outage::default(),
            failures: Failures::default(),
            batch_until: Moment::ZERO,
            retry_delay: RETRY_DELAY.0,
        }
    }

    /// Watches while `should_watch` is true, until its sender is gone.
    pub(super) async fn run(mut self, mut should_watch: watch::Receiver<bool>) {
        self.schedule_listing();
        let mut resumed = self.replicator.pulse.subscribe();
        loop {
            if !*should_watch.borrow_and_update() {
                self.is_listed = !self.replicator.mirror.position(self.kind).is_start();
                self.outage.end();
                if should_watch.changed().await.is_err() {
                    return;
                }
                self.schedule_listing();
                continue;
            }
            self.replicator.pulse.resumed();
            resumed.mark_unchanged();
            let begun = self.replicator.clock.now();
            let is_first = self.replicator.mirror.position(self.kind).is_start();
            let is_watch = self.is_listed && !is_first && begun < self.listing_due;
            if !is_watch {
                self.schedule_listing();
            }
            let answer = tokio::select! {
                answer = self.call(is_watch, begun) => answer,
                // An answer to a call from before the stop would not confirm the copy.
                true = wait_for_old_copy(&mut resumed, &self.replicator.mirror) => {
                    self.retry_delay = RETRY_DELAY.0;
                    continue;
                }
            };
            match answer {
                Ok(update) => {
                    if is_watch {
                        self.retry_delay = RETRY_DELAY.0;
                    }
                    self.accept(update, begun, is_first).await;
                }
                Err(port::Error::Compacted) => {
                    // Without a pause, a store that keeps no history would get one list after the
                    // other.
                    if std::mem::replace(&mut self.was_compacted, true) {
                        self.back_off().await;
                    }
                    self.is_listed = false;
                    continue;
                }
                Err(error) => self.record_failure(&error, begun).await,
            }
            self.was_compacted &= !is_watch;
        }
    }

    fn schedule_listing(&mut self) {
        let spread = rand::rng().random_range(0.75..1.25);
        self.listing_due = self.replicator.clock.now().after(LISTING_INTERVAL.mul_f64(spread));
    }

    async fn call(&self, is_watch: bool, begun: Moment) -> Result<Update, port::Error> {
        let Replicator { mirror, store, .. } = &self.replicator;
        if !is_watch {
            return store.list(self.kind).await;
        }
        // An old copy is confirmed or corrected at once, and so is one from before a stop.
        let is_unchecked = || mirror.is_unchecked(self.kind);
        let batch_delay =
            if is_unchecked() { Duration::ZERO } else { self.batch_until.since(begun) };
        tokio::time::sleep(batch_delay).await;
        let is_fresh = mirror.age() < MAX_FRESH_AGE && !is_unchecked();
        let wait = if is_fresh { WATCH_WAIT - batch_delay } else { Duration::ZERO };
        store.watch(self.kind, mirror.position(self.kind), wait).await
    }

    /// Applies an answer to a call that began at `begun`. `is_first` tells whether this host had no
    /// objects of the kind then.
    async fn accept(&mut self, update: Update, begun: Moment, is_first: bool) {
        self.failures.reset();
        let Replicator { mirror, clock, events, is_failing, .. } = &self.replicator;
        is_failing.store(false, Ordering::Relaxed);
        let batch_delay = match self.kind {
            _ if update.records.is_empty() => Duration::ZERO,
            Kind::Catalog => CATALOG_BATCH_DELAY,
            Kind::Evacuation => Duration::ZERO,
            Kind::Target => TARGET_BATCH_DELAY,
        };
        self.batch_until = clock.now().after(batch_delay);
        if std::mem::take(&mut self.is_lost) {
            events.emit("store_regained", json!({ "kind": format!("{:?}", self.kind) }));
        }
        self.is_listed = true;
        let has_failed = self.outage.end() && self.kind == Kind::Target;
        let has_gap = mirror.age() > OUTAGE_AGE;
        // Copies of other hosts know what a restored store does not.
        let needs_others = has_failed || is_first;
        if has_gap && needs_others && !self.replicator.catch_up(has_failed).await {
            // Entries that lapsed in the outage are absent from a listing as well. The objects are
            // listed next, unless this update is a listing.
            self.is_listed = update.whole;
        }
        if !update.whole && mirror.loses_service(&update) {
            // A listing confirms it before requests are refused for want of targets.
            self.is_listed = false;
            return;
        }
        // The changes of a store that was restored from a copy are incomplete, and an answer from
        // before the restoration may arrive after it.
        let age = self.replicator.pulse.answer_age(begun, Duration::ZERO);
        if !mirror.apply(update, age, Source::Platform) {
            self.is_listed = false;
            self.back_off().await;
        }
    }

    async fn record_failure(&mut self, error: &port::Error, begun: Moment) {
        self.replicator.is_failing.store(true, Ordering::Relaxed);
        let Replicator { mirror, pulse, .. } = &self.replicator;
        self.outage.record_failure(pulse.was_stopped(begun));
        if self.failures.record(begun, pulse.resumed()) {
            mirror.vouch(self.kind, begun);
        }
        if !std::mem::replace(&mut self.is_lost, true) {
            let fields = json!({ "kind": format!("{:?}", self.kind), "error": error.to_string() });
            self.replicator.events.emit("store_lost", fields);
        }
        self.back_off().await;
    }

    /// Waits before a call to the platform is repeated.
    async fn back_off(&mut self) {
        let jitter = rand::rng().random_range(0.7..1.3);
        let mut resumed = self.replicator.pulse.subscribe();
        tokio::select! {
            () = tokio::time::sleep(self.retry_delay.mul_f64(jitter)) => {
                self.retry_delay = (self.retry_delay * 2).min(RETRY_DELAY.1);
            }
            true = wait_for_old_copy(&mut resumed, &self.replicator.mirror) => {
                self.retry_delay = RETRY_DELAY.0;
            }
        }
    }
}
