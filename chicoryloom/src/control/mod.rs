//! The host's control state: objects, roster and freshness.
//!
//! One actor owns the state and publishes snapshots of it; see [`View`].

mod actor;
mod objects;
mod view;
mod watch;

use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use arc_swap::ArcSwap;
use chicoryloom_policy::Moment;

pub(crate) use actor::Control;
pub(crate) use actor::Heard;
pub(crate) use actor::Learned;
pub(crate) use actor::Listed;
pub(crate) use actor::Tick;
pub(crate) use view::View;
pub(crate) use watch::watch;

/// What the control actor publishes to the rest of the host.
#[derive(Debug, Default)]
pub(crate) struct Published {
    view: ArcSwap<View>,
    /// Microseconds on the boot-time clock until which the host is fresh; 0 for never.
    fresh_until: AtomicU64,
    leaving: AtomicBool,
    /// Whether this host finds most targets sick that other hosts find well.
    suspects_itself: AtomicBool,
}

impl Published {
    /// Returns the latest snapshot.
    pub(crate) fn view(&self) -> Arc<View> {
        self.view.load_full()
    }

    pub(crate) fn set_view(&self, view: View) {
        self.view.store(Arc::new(view));
    }

    /// Tells whether the host may trust its snapshot at a moment.
    pub(crate) fn is_fresh(&self, now: Moment) -> bool {
        now < self.fresh_until()
    }

    /// Returns the moment until which the host is fresh.
    pub(crate) fn fresh_until(&self) -> Moment {
        Moment::from_start(Duration::from_micros(self.fresh_until.load(Ordering::Acquire)))
    }

    pub(crate) fn set_fresh_until(&self, until: Moment) {
        let micros = u64::try_from(until.since_start().as_micros()).unwrap_or(u64::MAX);
        self.fresh_until.store(micros, Ordering::Release);
    }

    /// Tells whether the host is likelier to be at fault than the targets that it finds sick.
    pub(crate) fn suspects_itself(&self) -> bool {
        self.suspects_itself.load(Ordering::Acquire)
    }

    pub(crate) fn set_suspects_itself(&self, suspects: bool) {
        if self.suspects_itself.swap(suspects, Ordering::AcqRel) != suspects {
            log::warn!("control: this host suspects itself: {suspects}");
        }
    }

    /// Tells whether the host shuts down.
    pub(crate) fn is_leaving(&self) -> bool {
        self.leaving.load(Ordering::Acquire)
    }

    pub(crate) fn leave(&self) {
        self.leaving.store(true, Ordering::Release);
    }
}
