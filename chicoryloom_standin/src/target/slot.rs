//! Slots of a target, and the queue before them.

use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;
use std::time::Duration;

use tokio::sync::Semaphore;
use tokio::sync::SemaphorePermit;

/// Slots of a target, and the queue before them.
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

    /// Returns how long a new request would take if each run takes `service`.
    pub(super) fn estimate(&self, service: Duration) -> Duration {
        if self.free() > 0 {
            return service;
        }
        let position = self.waiting.load(Ordering::Acquire) + 1;
        service * (position.div_ceil(self.count.max(1)) + 1)
    }

    /// Waits for a slot, or returns `None` if `queue` requests wait already.
    pub(super) async fn acquire(&self, queue: u32) -> Option<SemaphorePermit<'_>> {
        if let Ok(slot) = self.free.try_acquire() {
            return Some(slot);
        }
        let _entry = QueueEntry::take(&self.waiting, queue)?;
        self.free.acquire().await.ok()
    }

    /// Waits for a slot behind all others.
    pub(super) async fn acquire_unbounded(&self) -> Option<SemaphorePermit<'_>> {
        self.free.acquire().await.ok()
    }

    /// Holds a slot for a while if one is free, and waits as long without it otherwise.
    pub(super) async fn hold_if_free(&self, duration: Duration) {
        let _slot = self.free.try_acquire().ok();
        tokio::time::sleep(duration).await;
    }
}

/// A place in the queue; it is free again once dropped.
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
