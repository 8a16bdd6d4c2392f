//! The host's control state: objects, roster and freshness.
//!
//! One actor owns the state and publishes snapshots of it; see [`View`].

mod accept;
mod actor;
mod frames;
mod join;
mod objects;
mod peers;
mod platform;
mod report;
mod roster;
mod view;
mod watch;

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::OnceLock;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU8;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use arc_swap::ArcSwap;
use chicoryloom_policy::Moment;

pub(crate) use actor::Control;
pub(crate) use actor::PageRequest;
pub(crate) use actor::Pulled;
pub(crate) use actor::Setup;
pub(crate) use actor::Tick;
pub(crate) use frames::Received;
pub(crate) use frames::moment;
pub(crate) use join::join;
pub(crate) use platform::Fetched;
pub(crate) use platform::Listed;
pub(crate) use platform::StatusVersion;
pub(crate) use report::FleetState;
#[cfg(test)]
pub(crate) use report::HostState;
pub(crate) use report::Report;
pub(crate) use view::View;
pub(crate) use watch::Watch;
pub(crate) use watch::WatchMode;
pub(crate) use watch::watch;

/// What the control actor publishes to the rest of the host.
#[derive(Debug, Default)]
pub(crate) struct Published {
    view: ArcSwap<View>,
    fleet_state: ArcSwap<FleetState>,
    /// Microseconds on the boot-time clock until which the host is fresh; 0 for never.
    fresh_until: AtomicU64,
    leaving: AtomicBool,
    suspect: AtomicBool,
    watch_mode: AtomicU8,
    /// Address for callers, once it is bound.
    caller: OnceLock<SocketAddr>,
}

impl Published {
    /// Returns the latest snapshot.
    pub(crate) fn view(&self) -> Arc<View> {
        self.view.load_full()
    }

    pub(crate) fn set_view(&self, view: View) {
        self.view.store(Arc::new(view));
    }

    /// Returns the last known state of each host of the fleet.
    pub(crate) fn fleet_state(&self) -> Arc<FleetState> {
        self.fleet_state.load_full()
    }

    pub(crate) fn set_fleet_state(&self, state: FleetState) {
        self.fleet_state.store(Arc::new(state));
    }

    /// Returns whether the host's snapshot is fresh at a moment.
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

    /// Returns whether the host is shutting down.
    pub(crate) fn is_leaving(&self) -> bool {
        self.leaving.load(Ordering::Acquire)
    }

    pub(crate) fn leave(&self) {
        self.leaving.store(true, Ordering::Release);
    }

    /// Returns whether the host suspects that its own network is at fault.
    pub(crate) fn is_suspect(&self) -> bool {
        self.suspect.load(Ordering::Acquire)
    }

    /// Sets whether the host suspects its own network.
    ///
    /// While it does, its own and other hosts' locator answers leave it out.
    pub(crate) fn set_suspect(&self, suspect: bool) {
        self.suspect.store(suspect, Ordering::Release);
    }

    /// Returns whether callers may be sent to this host.
    pub(crate) fn is_serving(&self, now: Moment) -> bool {
        self.is_fresh(now) && !self.is_leaving() && !self.is_suspect()
    }

    pub(crate) fn watch_mode(&self) -> WatchMode {
        WatchMode::from_bits(self.watch_mode.load(Ordering::Acquire))
    }

    pub(crate) fn set_watch_mode(&self, mode: WatchMode) {
        self.watch_mode.store(mode.to_bits(), Ordering::Release);
    }

    /// Returns the address for callers, once it is bound.
    pub(crate) fn caller(&self) -> Option<SocketAddr> {
        self.caller.get().copied()
    }

    pub(crate) fn set_caller(&self, address: SocketAddr) {
        // The address is set only once, at startup.
        let _ = self.caller.set(address);
    }
}
