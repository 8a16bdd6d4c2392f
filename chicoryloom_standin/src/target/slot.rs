//! Concurrency slots of a target, and the queue of requests that wait for one.

use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;
use std::time::Duration;

use tokio::sync::Semaphore;
use tokio::sync::SemaphorePermit;

/// Concurrency slots of a target, and the number of requests that wait for one.
#[derive(Debug)]
pub(super) struct Slots {
    free: Semaphore,
    count: u32,
    /// Requests that wait for a slot.
    waiting: AtomicU32,
}

impl Slots {
    pub(super) fn new(count: u32) -> Self {
        Self { free: Semaphore::new(count as usize), count, waiting: AtomicU32::new(0) }
    }

    /// Returns how many slots are free.
    pub(super) fn free(&self) -> usize {
        self.free.available_permits()
    }

    /// Estimates the time until a new request ends, if each run takes `service`.
    pub(super) fn estimate(&self, service: Duration) -> Duration {
        if self.free() > 0 {
            return service;
        }
        let position = self.waiting.load(Ordering::Acquire) + 1;
        service * (position.div_ceil(self.count.max(1)) + 1)
    }

    /// Waits for a slot, or returns `None` if `queue` requests are already waiting.
    pub(super) async fn acquire(&self, queue: u32) -> Option<SemaphorePermit<'_>> {
        if let Ok(slot) = self.free.try_acquire() {
            return Some(slot);
        }
        let _entry = QueueEntry::take(&self.waiting, queue)?;
        self.free.acquire().await.ok()
    }

    /// Waits for a slot without a limit on the queue.
    pub(super) async fn acquire_unbounded(&self) -> Option<SemaphorePermit<'_>> {
        self.free.acquire().await.ok()
    }

    /// Waits for `duration`, and holds a slot meanwhile if one is free.
    pub(super) async fn hold_if_free(&self, duration: Duration) {
        let _slot = self.free.try_acquire().ok();
        tokio::time::sleep(duration).await;
    }
}

/// A counted entry in the queue; dropping it removes it from the count.
struct QueueEntry<'a>(&'a AtomicU32);

impl<'a> QueueEntry<'a> {
    fn take(waiting: &'a AtomicU32, queue: u32) -> Option<Self> {
        let add = |count: u32| (count < queue).then_some(count + 1);
        waiting.fetch_update(Ordering::AcqRel, Ordering::Acquire, add).ok()?;
        Some(Self(waiting))
    }
}

impl Drop for QueueEntry<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::AcqRel);
    }
}
