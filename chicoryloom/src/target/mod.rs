//! Connections to targets, exchanges with them, and their health.

mod exchange;
mod gauge;
mod monitor;
mod pool;
mod service;

use std::collections::HashMap;
use std::net::IpAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use chicoryloom_policy::document;
use chicoryloom_policy::document::Document;
use chicoryloom_policy::health;
use chicoryloom_policy::health::Explanation;
use chicoryloom_policy::id;
use tokio::sync::Notify;

pub(crate) use exchange::Answer;
pub(crate) use exchange::AnswerBody;
pub(crate) use exchange::Body;
pub(crate) use exchange::BodyError;
pub(crate) use exchange::Failure;
pub use exchange::Protocol;
pub(crate) use exchange::Terms;
pub(crate) use exchange::exchange;
pub(crate) use exchange::is_failure;
pub(crate) use monitor::Monitor;
pub(crate) use monitor::Place;
pub(crate) use pool::Backend;
pub(crate) use pool::Lease;
pub(crate) use service::Member;
pub(crate) use service::Service;

use crate::clock::Clock;
use crate::config::policy::Detection;

/// State of all targets on this host.
#[derive(Debug)]
pub(crate) struct Targets {
    /// Local address of outgoing connections.
    source: IpAddr,
    connect_timeout: Duration,
    detection: health::Detection,
    clock: Arc<dyn Clock>,
    by_address: Mutex<HashMap<id::Target, Arc<Backend>>>,
    services: Mutex<HashMap<id::Service, Arc<Service>>>,
    /// Wakes the [`Monitor`] when there is something to report to other hosts.
    report_due: Arc<Notify>,
}

impl Targets {
    pub(crate) fn new(
        source: IpAddr,
        connect_timeout: Duration,
        detection: Detection,
        clock: Arc<dyn Clock>,
    ) -> Self {
        let detection = match detection {
            Detection::Sequential => health::Detection::Sequential,
            Detection::Consecutive => health::Detection::Consecutive,
            Detection::Window => health::Detection::Window,
        };
        Self {
            source,
            connect_timeout,
            detection,
            clock,
            by_address: Mutex::default(),
            services: Mutex::default(),
            report_due: Arc::default(),
        }
    }

    /// Returns the target's state on this host, creating it on first use.
    pub(crate) fn backend(&self, target: &document::Target) -> Arc<Backend> {
        let mut by_address = self.by_address.lock().expect("no holder of the lock panics");
        let new = || {
            Arc::new(Backend::new(target.id, self.source, self.connect_timeout, pool::IDLE_TIMEOUT))
        };
        by_address.entry(target.id).or_insert_with(new).clone()
    }

    /// Returns the state of a service's targets, updated to its document and to this host's place
    /// among the home hosts.
    pub(crate) fn service(&self, document: &Arc<Document>, place: Place) -> Arc<Service> {
        let mut services = self.services.lock().expect("no holder of the lock panics");
        let name = &document.service;
        let new = || Arc::new(Service::new(name.clone(), self.detection, self.report_due.clone()));
        let service = services.entry(name.clone()).or_insert_with(new).clone();
        if !service.uses(document) {
            let member = |target: &document::Target| Member {
                target: target.clone(),
                backend: self.backend(target),
            };
            let members = document.targets.iter().map(member).collect();
            service.configure(document, members, self.clock.now());
        }
        service.set_place(place);
        service
    }

    /// Explains the health state of each target of a service; empty if this host keeps no state of
    /// the service.
    pub(crate) fn explain(&self, service: &id::Service) -> Vec<Explanation> {
        let now = self.clock.now();
        self.find(service.as_str()).map(|service| service.explain(now)).unwrap_or_default()
    }

    fn services(&self) -> Vec<Arc<Service>> {
        let services = self.services.lock().expect("no holder of the lock panics");
        services.values().cloned().collect()
    }

    fn find(&self, name: &str) -> Option<Arc<Service>> {
        let name = name.parse().ok()?;
        self.services.lock().expect("no holder of the lock panics").get(&name).cloned()
    }

    /// Removes services without a document, and targets that are no longer in use.
    fn remove_unused<F: Fn(&id::Service) -> bool>(&self, is_known: F) {
        let mut services = self.services.lock().expect("no holder of the lock panics");
        services.retain(|name, _| is_known(name));
        drop(services);
        let mut by_address = self.by_address.lock().expect("no holder of the lock panics");
        by_address.retain(|_, backend| {
            backend.sweep();
            Arc::strong_count(backend) > 1 || backend.connections() > 0
        });
    }
}
