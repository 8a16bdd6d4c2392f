//! Admission within the workspaces' grants.

use std::collections::HashMap;
use std::sync::Mutex;
use std::time::Duration;

use chicoryloom_policy::Moment;
use chicoryloom_policy::document::Grant;
use chicoryloom_policy::id;
use chicoryloom_policy::limit::Bucket;
use chicoryloom_policy::unit::Rate;

/// The buckets of this host, by service and workspace.
#[derive(Debug, Default)]
pub(crate) struct Grants {
    buckets: Mutex<HashMap<(id::Service, id::Workspace), Bucket>>,
}

impl Grants {
    /// Admits one request, or returns the time until one can be admitted.
    ///
    /// `homes` is the number of hosts that share the grant.
    pub(crate) fn admit(
        &self,
        service: &id::Service,
        workspace: &id::Workspace,
        grant: &Grant,
        homes: usize,
        now: Moment,
    ) -> Result<(), Duration> {
        let mut buckets = self.buckets.lock().expect("no holder of the lock panics");
        let name = (service.clone(), workspace.clone());
        let share = homes.max(1) as f64;
        let bucket = buckets.entry(name).or_insert_with(|| {
            let rate = Rate::new(grant.rate.per_second() / share).unwrap_or_default();
            Bucket::empty(rate, f64::from(grant.burst.0) / share, now)
        });
        bucket.take(now)
    }
}
