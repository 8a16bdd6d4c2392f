//! Connections and exchanges with targets.

mod exchange;
mod pool;

use std::collections::HashMap;
use std::net::IpAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use chicoryloom_policy::document;
use chicoryloom_policy::id;

pub(crate) use exchange::Body;
pub(crate) use exchange::BodyError;
pub(crate) use exchange::Failure;
pub(crate) use exchange::exchange;
pub(crate) use pool::Backend;

/// What this host knows of the targets, by address.
#[derive(Debug)]
pub(crate) struct Targets {
    /// Address that connections come from.
    source: IpAddr,
    connect_timeout: Duration,
    by_address: Mutex<HashMap<id::Target, Arc<Backend>>>,
}

impl Targets {
    pub(crate) fn new(source: IpAddr, connect_timeout: Duration) -> Self {
        Self { source, connect_timeout, by_address: Mutex::default() }
    }

    /// Returns the target's state on this host, new if it is first used.
    pub(crate) fn backend(&self, target: &document::Target) -> Arc<Backend> {
        let mut by_address = self.by_address.lock().expect("no holder of the lock panics");
        let new = || Arc::new(Backend::new(target.id, self.source, self.connect_timeout));
        by_address.entry(target.id).or_insert_with(new).clone()
    }
}
