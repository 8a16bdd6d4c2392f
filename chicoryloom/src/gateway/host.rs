//! Lifecycle of a gateway host: start, reload of settings and shutdown.

use std::collections::HashMap;
use std::fmt;
use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use chicoryloom_policy::allowance::Limiter;
use chicoryloom_policy::id;
use chicoryloom_policy::stop::Schedule;
use serde_json::json;
use tokio::net::TcpListener;
use tokio::net::UdpSocket;
use tokio::sync::watch;
use tokio::task::JoinHandle;

use super::Gateway;
use super::dispatcher;
use super::dispatcher::Dispatcher;
use super::edge;
use super::edge::Server;
use super::events::Events;
use super::fleet;
use super::fleet::Fleet;
use super::message::Member;
use super::mirror::Mirror;
use super::port::Dialect;
use super::port::Store;
use super::pulse::Monitor;
use super::relay;
use super::settings;
use super::settings::Settings;
use super::sync::Replicator;
use super::versions::Versions;
use crate::clock::BootClock;
use crate::clock::Clock;
use crate::metrics::Metrics;

/// Requests per second that one core carries, logs and messages included, at 20% utilization; one
/// request takes 0.4 ms.
const REQUESTS_PER_CORE: f64 = 500.0;
/// Requests per second that 1 Mbit/s of a host's link carries at 50% utilization; a response has
/// 20 KB on average and passes the link twice.
const REQUESTS_PER_MBPS: f64 = 1.6;
/// Multiple of the age up to which callers may cache the list of hosts for which some keep it.
const LOCATOR_AGE_FACTOR: u32 = 3;
/// Interval at which a shutdown checks for open connections and requests.
const DRAIN_CHECK: Duration = Duration::from_millis(5);
/// Time for which a host that has stopped lets its last events be written.
const EVENT_FLUSH: Duration = Duration::from_millis(20);
/// Interval at which the settings file is read again without a signal.
const SETTINGS_CHECK: Duration = Duration::from_secs(5);

/// Why a host failed to start.
#[derive(Debug)]
pub enum Error {
    /// Binding an address failed.
    Bind { step: &'static str, address: SocketAddr, error: io::Error },
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Bind { step, address, error } => write!(f, "{step}: bind {address}: {error}"),
        }
    }
}

impl std::error::Error for Error {}

/// Settings and platform adapter of a host.
#[derive(Debug)]
pub struct Setup {
    pub settings: Settings,
    /// File that the settings were loaded from.
    pub path: PathBuf,
    pub store: Arc<dyn Store>,
    pub dialect: Arc<dyn Dialect>,
}

/// A running gateway host.
#[derive(Debug)]
pub struct Host {
    gateway: Arc<Gateway>,
    /// Settings of the start, which hold for what takes a restart to change.
    settings: Settings,
    store: Arc<dyn Store>,
    /// Time from the stop signal to the end of the process, by the settings that were loaded last.
    grace: Mutex<Duration>,
    path: PathBuf,
    server: Server,
    closing: watch::Sender<bool>,
    /// Accepts connections of callers; ends once they are to close.
    accepting: JoinHandle<()>,
    events: Events,
    tasks: Vec<JoinHandle<()>>,
}

impl Host {
    /// Starts a host, which runs until [`Host::shutdown`].
    pub async fn start(setup: Setup) -> Result<Self, Error> {
        let Setup { settings, path, store, dialect } = setup;
        let clock: Arc<dyn Clock> = Arc::new(BootClock);
        let events = Events::start(settings.name.as_str(), clock.clone());
        let incarnation = id::Incarnation(rand::random());
        let peer = SocketAddr::new(settings.address, settings.listen.peer_port);
        let socket = UdpSocket::bind(peer).await.map_err(bind("peer", peer))?;
        let relay = TcpListener::bind(peer).await.map_err(bind("relay", peer))?;
        let callers = TcpListener::bind(settings.listen.caller);
        let callers = callers.await.map_err(bind("caller", settings.listen.caller))?;
        let locator = TcpListener::bind(settings.listen.locator);
        let locator = locator.await.map_err(bind("locator", settings.listen.locator))?;
        let readiness = TcpListener::bind(settings.listen.readiness);
        let readiness = readiness.await.map_err(bind("readiness", settings.listen.readiness))?;

        let limiter = Arc::new(Mutex::new(Limiter::new(settings.bounds.rate_window, clock.now())));
        let dispatcher = Dispatcher::new(dispatcher::Setup {
            me: settings.id.clone(),
            data_centre: settings.data_centre.clone(),
            source: settings.address,
            bounds: settings.bounds,
            warmup_header: dialect.protocol().warmup_ms.clone(),
            rule: settings.balance,
            clock: clock.clone(),
            events: events.clone(),
        });
        let versions = Arc::new(Versions::new(clock.clone()));
        let pulse = Arc::new(Monitor::new(clock.clone(), events.clone()));
        let mirror = Arc::new(Mirror::new(
            dispatcher.clone(),
            dialect.clone(),
            clock.clone(),
            events.clone(),
            versions.clone(),
            pulse.clone(),
            settings.bounds.evacuation.is_some(),
        ));
        let fleet = Arc::new(Fleet::new(fleet::Setup {
            me: member(&settings, incarnation, peer),
            socket,
            seeds: seeds(&settings),
            dispatcher: dispatcher.clone(),
            allowance: limiter.clone(),
            versions,
            clock: clock.clone(),
            events: events.clone(),
        }));
        let gateway = Arc::new(Gateway {
            dialect,
            clock: clock.clone(),
            events: events.clone(),
            mirror: mirror.clone(),
            dispatcher: dispatcher.clone(),
            fleet: fleet.clone(),
            limiter,
            splits: Mutex::new(HashMap::new()),
            metrics: Arc::new(Metrics::new()),
            grant_waiters: Mutex::new(HashMap::new()),
            orders: Mutex::new(HashMap::new()),
            started: clock.now(),
            stop: watch::Sender::new(None),
            in_flight: AtomicUsize::new(0),
        });
        register_gauges(&gateway.metrics, &mirror, &dispatcher);
        register_service_gauges(&gateway.metrics, &dispatcher);
        register_fleet_gauges(&gateway.metrics, &fleet, &dispatcher);
        let (closing, closed) = watch::channel(false);
        let server = Server::new(gateway.clone(), closed);
        let replicator = Replicator {
            mirror: mirror.clone(),
            store: store.clone(),
            fleet: fleet.clone(),
            pulse,
            is_failing: Arc::new(AtomicBool::new(false)),
            clock,
            events: events.clone(),
        };
        let accepting = tokio::spawn(server.clone().accept(callers));
        let mut tasks = vec![
            tokio::spawn(fleet.clone().receive()),
            tokio::spawn(fleet.clone().join()),
            tokio::spawn(fleet.clone().register(store.clone(), mirror.clone())),
            tokio::spawn(fleet.clone().maintain(mirror.clone())),
            tokio::spawn(fleet.clone().share()),
            tokio::spawn(relay::serve(
                relay,
                incarnation,
                mirror.clone(),
                fleet.unreadable().clone(),
            )),
            tokio::spawn(replicator.clone().fetch()),
            tokio::spawn(replicator.run()),
            tokio::spawn(edge::serve_handler(locator, gateway.clone(), edge::locate)),
            tokio::spawn(edge::serve_handler(readiness, gateway.clone(), edge::readiness)),
        ];
        if let Some(address) = settings.listen.metrics {
            let listener = TcpListener::bind(address).await.map_err(bind("metrics", address))?;
            tasks.push(tokio::spawn(edge::serve_handler(listener, gateway.clone(), edge::metrics)));
        }
        events.emit(
            "start",
            json!({
                "incarnation": incarnation.to_string(), "version": env!("CARGO_PKG_VERSION"),
                "id": settings.id.as_str(), "data_centre": settings.data_centre_name.as_str(),
                "caller": settings.listen.caller.to_string(), "store": settings.store.to_string(),
            }),
        );
        let grace = Mutex::new(settings.bounds.grace);
        Ok(Self {
            gateway,
            settings,
            store,
            grace,
            path,
            server,
            closing,
            accepting,
            events,
            tasks,
        })
    }

    /// Reloads the settings file every few seconds, and whenever `signal` resolves.
    pub async fn watch_settings(&self, mut signal: impl AsyncFnMut()) {
        let mut known = self.settings.clone();
        loop {
            // The file is read again after a signal and after the timeout.
            let is_signalled = tokio::time::timeout(SETTINGS_CHECK, signal()).await.is_ok();
            match settings::load(&self.path) {
                Ok((settings, _)) if settings == known => {
                    if is_signalled {
                        self.events.emit("reload", json!({ "changed": false }));
                    }
                }
                Ok((settings, unknown)) => {
                    let needs_restart = self.settings.needs_restart(&settings);
                    *self.grace() = settings.bounds.grace;
                    self.store.set_address(settings.store);
                    let fields = json!({
                        "changed": true, "unknown": unknown, "needs_restart": needs_restart,
                        "seeds": settings.seeds.len(), "store": settings.store.to_string(),
                    });
                    self.events.emit("reload", fields);
                    // Seeds that changed are contacted.
                    self.gateway.fleet.send_hello(&seeds(&settings)).await;
                    known = settings;
                }
                Err(error) => {
                    self.events.emit("reload_failed", json!({ "error": error.to_string() }));
                }
            }
        }
    }

    fn grace(&self) -> MutexGuard<'_, Duration> {
        self.grace.lock().expect("no holder of the lock panics")
    }

    /// Shuts the host down gracefully.
    ///
    /// The other hosts learn that it is leaving, so that callers are sent elsewhere. Requests that
    /// it can finish are taken and finished to the last byte, others are refused; see [`Schedule`].
    pub async fn shutdown(self) {
        let clock = self.gateway.clock.clone();
        // The file may have changed since it was last looked at.
        if let Ok((settings, _)) = settings::load(&self.path) {
            *self.grace() = settings.bounds.grace;
        }
        let grace = *self.grace();
        let notice = edge::LOCATOR_MAX_AGE * LOCATOR_AGE_FACTOR;
        let schedule = Schedule::new(clock.now(), grace, notice);
        self.gateway.stop.send_replace(Some(schedule));
        self.events.emit("stop", json!({ "grace_ms": grace.as_millis() as u64 }));
        self.gateway.fleet.leave().await;
        let is_used =
            || clock.now() < schedule.earliest_exit() || self.server.open_connections() > 0;
        while clock.now() < schedule.close() && is_used() {
            tokio::time::sleep(DRAIN_CHECK).await;
        }
        self.closing.send_replace(true);
        // A connection stays open until its response has been written.
        let is_busy = || !self.accepting.is_finished() || self.server.open_connections() > 0;
        while clock.now() < schedule.exit() && is_busy() {
            tokio::time::sleep(DRAIN_CHECK).await;
        }
        let fields = json!({
            "requests_cut": self.gateway.in_flight.load(Ordering::Relaxed),
            "connections_cut": self.server.open_connections(),
        });
        self.events.emit("stopped", fields);
        tokio::time::sleep(EVENT_FLUSH).await;
        for task in self.tasks.iter().chain([&self.accepting]) {
            task.abort();
        }
    }
}

fn register_gauges(metrics: &Metrics, mirror: &Arc<Mirror>, dispatcher: &Arc<Dispatcher>) {
    let read = mirror.clone();
    metrics.register_gauge(
        "chicory_store_era",
        "Times that the platform's store was restored from a copy, as far as known",
        move || read.era().0,
    );
    let read = mirror.clone();
    metrics.register_gauge(
        "chicory_copy_age_ms",
        "Time since the copy of the platform's objects was confirmed",
        move || read.age().as_millis().min(u128::from(u32::MAX)) as u64,
    );
    let read = mirror.clone();
    metrics.register_gauge(
        "chicory_configuration",
        "Version of the configuration in force on this host",
        move || read.catalog().map_or(0, |catalog| catalog.version.0),
    );
    let read = mirror.clone();
    metrics.register_labelled_gauge(
        "chicory_configuration_rejected",
        "Parts of the newest configuration that can't be taken, by field",
        "field",
        move || read.rejected().into_iter().map(|(field, count)| (field.into(), count)).collect(),
    );
    let read = mirror.clone();
    metrics.register_gauge("chicory_targets_known", "Targets in the copy", move || {
        read.target_counts().0 as u64
    });
    let read = mirror.clone();
    metrics.register_gauge(
        "chicory_copy_corrections",
        "Objects that the copy lacked until a listing named them",
        move || read.corrections(),
    );
    let read = mirror.clone();
    metrics.register_gauge(
        "chicory_targets_kept",
        "Targets that the platform no longer lists, but may list again after its outage",
        move || read.target_counts().1 as u64,
    );
    let read = dispatcher.clone();
    metrics.register_gauge(
        "chicory_targets_leaving",
        "Targets that said in an answer that they are leaving",
        move || read.withdrawal_counts().0 as u64,
    );
    let read = dispatcher.clone();
    metrics.register_gauge(
        "chicory_targets_paused",
        "Targets that want no requests of this host for a while",
        move || read.withdrawal_counts().1 as u64,
    );
    let read = dispatcher.clone();
    metrics.register_gauge(
        "chicory_links_cut",
        "Whether no target can be reached from this host",
        move || u64::from(read.is_cut()),
    );
    let read = dispatcher.clone();
    metrics.register_gauge(
        "chicory_target_silence_ms",
        "Time since a target last answered this host",
        move || read.silence().0.as_millis() as u64,
    );
    let read = dispatcher.clone();
    metrics.register_gauge(
        "chicory_targets_unreached",
        "Targets that were out of reach since a target last answered",
        move || read.silence().1 as u64,
    );
    let read = dispatcher.clone();
    metrics.register_gauge(
        "chicory_targets_limited",
        "Targets that named a limit on the requests of all hosts together",
        move || read.limited_targets(),
    );
    let read = dispatcher.clone();
    metrics.register_gauge(
        "chicory_data_centres_evacuated",
        "Data centres whose targets get nothing from this host",
        move || read.evacuation_gauges().0,
    );
    let read = dispatcher.clone();
    metrics.register_gauge(
        "chicory_evacuation_age_ms",
        "Time since the first of the evacuations in force began at this host",
        move || read.evacuation_gauges().1,
    );
    let read = dispatcher.clone();
    metrics.register_gauge(
        "chicory_targets_warming",
        "Targets that are cold or may be",
        move || read.warming_gauges().0,
    );
    let read = dispatcher.clone();
    metrics.register_gauge(
        "chicory_warming_sends",
        "Requests sent to targets that were cold or may have been",
        move || read.warming_gauges().1,
    );
    let read = dispatcher.clone();
    metrics.register_gauge(
        "chicory_limited_sends",
        "Requests sent to targets that had named a limit",
        move || read.limited_sends(),
    );
    let read = dispatcher.clone();
    metrics.register_gauge(
        "chicory_sends_home",
        "Requests sent to slots in this host's share of a target",
        move || read.spread().0,
    );
    let read = dispatcher.clone();
    metrics.register_gauge("chicory_sends_overflow", "Requests sent to other slots", move || {
        read.spread().1
    });
    let read = dispatcher.clone();
    metrics.register_gauge(
        "chicory_sends_shed",
        "Requests sent to a target believed to have room that had none",
        move || read.spread().2,
    );
    let read = dispatcher.clone();
    metrics.register_gauge(
        "chicory_busiest_target_percent",
        "Known load of the busiest target against the mean of its service, of the most uneven one",
        move || read.unevenness(),
    );
}

fn register_service_gauges(metrics: &Metrics, dispatcher: &Arc<Dispatcher>) {
    let read = dispatcher.clone();
    metrics.register_labelled_gauge(
        "chicory_targets_held_back",
        "Targets that take requests but get none, as they are in doubt or did not answer",
        "service",
        move || {
            let counts = read.idle_targets().into_iter();
            counts.map(|(service, held, _)| (service.to_string(), held as u64)).collect()
        },
    );
    let read = dispatcher.clone();
    metrics.register_labelled_gauge(
        "chicory_targets_idle",
        "Targets that take requests but had none of any host for two seconds, as far as known",
        "service",
        move || {
            let counts = read.idle_targets().into_iter();
            counts.map(|(service, _, idle)| (service.to_string(), idle as u64)).collect()
        },
    );
}

fn register_fleet_gauges(metrics: &Metrics, fleet: &Arc<Fleet>, dispatcher: &Arc<Dispatcher>) {
    let read = dispatcher.clone();
    metrics.register_gauge(
        "chicory_hosts_without_limits",
        "Hosts that left asks for permits unanswered since they were seen to start",
        move || read.silent_hosts(),
    );
    let read = fleet.clone();
    metrics.register_labelled_gauge(
        "chicory_messages_unreadable",
        "Messages of other hosts that could not be read, since the start",
        "reason",
        move || read.unreadable().counts(),
    );
    let read = fleet.clone();
    metrics.register_labelled_gauge(
        "chicory_hosts_by_protocol",
        "Live hosts by the version of the messages that they speak; 0 if they don't tell",
        "protocol",
        move || read.protocols(),
    );
}

fn member(settings: &Settings, incarnation: id::Incarnation, peer: SocketAddr) -> Member {
    let by_core = settings.cores * REQUESTS_PER_CORE;
    let by_link = settings.link_mbps * REQUESTS_PER_MBPS;
    Member {
        host: settings.id.clone(),
        incarnation,
        data_centre: settings.data_centre.clone(),
        peer,
        caller: settings.listen.caller,
        capacity: by_core.min(by_link) as f32,
        ready: false,
        leaving: false,
        entry: false,
        fresh: false,
        watches: false,
    }
}

/// Returns the addresses of the seeds with the port for messages, which is the same on all hosts.
fn seeds(settings: &Settings) -> Vec<SocketAddr> {
    let port = settings.listen.peer_port;
    settings.seeds.iter().map(|seed| SocketAddr::new(seed.ip(), port)).collect()
}

fn bind(step: &'static str, address: SocketAddr) -> impl FnOnce(io::Error) -> Error {
    move |error| Error::Bind { step, address, error }
}
