//! Targets that the platform lists, with their connections.

use std::net::IpAddr;
use std::sync::Arc;
use std::time::Duration;

use chicoryloom_policy::Moment;
use chicoryloom_policy::catalog::Target;
use chicoryloom_policy::entry;
use chicoryloom_policy::id;
use chicoryloom_policy::withdrawal::Process;

use crate::target::Backend;

/// Timeout for connecting to a target; 20 times the round trip between data centres.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// Time for which an idle connection to a target is kept; targets close theirs after ten seconds
/// at the earliest.
const IDLE_TIMEOUT: Duration = Duration::from_secs(4);

/// A target that the platform lists, with its connections.
#[derive(Debug)]
pub(in crate::gateway) struct Endpoint {
    pub(in crate::gateway) target: Arc<Target>,
    pub(in crate::gateway) backend: Arc<Backend>,
    /// When the target is expected to have warmed up after its start.
    pub(super) warmup_end: Moment,
    /// Key by which the responsibility for its trial requests is assigned.
    pub(super) trial_key: u64,
}

impl Endpoint {
    /// Returns a target without connections; new ones come from `source`.
    pub(super) fn new(target: Arc<Target>, source: IpAddr, now: Moment) -> Self {
        let address = id::Target(target.address);
        let backend = Backend::new(address, source, CONNECT_TIMEOUT, IDLE_TIMEOUT);
        let trial_key = entry::target_key(&target.instance);
        let warmup_end = now.after(target.warmup);
        Self { backend: Arc::new(backend), warmup_end, trial_key, target }
    }

    /// Returns the target as `target` lists it now, with the connections of `self`.
    pub(super) fn relisted(&self, target: Arc<Target>, now: Moment) -> Self {
        Self {
            backend: self.backend.clone(),
            trial_key: self.trial_key,
            warmup_end: now.after(target.warmup),
            target,
        }
    }

    /// Returns the process that the endpoint reaches.
    pub(super) fn process(&self) -> Process {
        Process { instance: self.target.instance.clone(), born: self.target.born }
    }

    /// Returns whether `target` describes the process that the endpoint reaches.
    pub(super) fn is_process_of(&self, target: &Target) -> bool {
        let known = &self.target;
        known.born == target.born
            && known.address == target.address
            && known.service == target.service
    }
}
