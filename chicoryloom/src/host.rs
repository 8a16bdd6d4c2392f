//! Start and shutdown of an entry host.

use std::fmt;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;

use chicoryloom_policy::id;
use chicoryloom_policy::ledger::Holder;
use chicoryloom_policy::replay::Guard;
use tokio::net::TcpListener;
use tokio::net::UdpSocket;
use tokio::task::JoinHandle;
use xtra::Address;
use xtra::Mailbox;

use crate::admin;
use crate::admin::Admin;
use crate::clock::BootClock;
use crate::clock::Clock;
use crate::config::Settings;
use crate::control;
use crate::control::Control;
use crate::control::Published;
use crate::control::Received;
use crate::control::Tick;
use crate::control::Watch;
use crate::grant::Grants;
use crate::grant::Lender;
use crate::grant::Reconciler;
use crate::metrics::Metrics;
use crate::peer;
use crate::proxy::Listener;
use crate::proxy::Proxy;
use crate::queue::Slots;
use crate::refusals::Refusals;
use crate::run::Runs;
use crate::store::HttpStore;
use crate::store::Store;
use crate::target::Monitor;
use crate::target::Targets;

/// Longest wait for changes in one call to the platform, in heartbeats.
const HEARTBEATS_PER_WAIT: u32 = 2;

/// Reason why a host failed to start.
#[derive(Debug)]
pub enum Error {
    /// A listener could not bind its address.
    Bind { listener: &'static str, address: SocketAddr, error: io::Error },
    /// The client of the platform could not be built.
    Platform(reqwest::Error),
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Bind { listener, address, error } => {
                write!(f, "{listener}: bind {address}: {error}")
            }
            Self::Platform(error) => write!(f, "platform client: {error}"),
        }
    }
}

impl std::error::Error for Error {}

/// A running entry host.
#[derive(Debug)]
pub struct Host {
    name: id::Host,
    peer: SocketAddr,
    admin: Option<SocketAddr>,
    listener: Arc<Listener>,
    published: Arc<Published>,
    settings: Settings,
    reconciler: Reconciler,
    /// Keeps the control actor alive.
    _control: Address<Control>,
    tasks: Vec<JoinHandle<()>>,
}

impl Host {
    /// Starts a host, which runs until [`Host::shutdown`].
    pub async fn start(settings: Settings) -> Result<Self, Error> {
        let clock: Arc<dyn Clock> = Arc::new(BootClock);
        let metrics = Arc::new(Metrics::new());
        let published = Arc::new(Published::default());
        let source = settings.listen.peer.ip();
        let store = HttpStore::new(&settings.platform, source).map_err(Error::Platform)?;
        let store: Arc<dyn Store> = Arc::new(store);
        let (socket, stream, peer_address) = bind_peer(settings.listen.peer).await?;

        let incarnation = id::Incarnation(rand::random());
        let holder = Holder { host: settings.host.name.clone(), incarnation };
        let policy = settings.policy;
        let (grants, shortages) = Grants::new(holder.clone(), policy.division, policy.fresh_window);
        let grants = Arc::new(grants);
        let sender = peer::Sender::new(
            socket.clone(),
            settings.peers.secret.clone(),
            settings.host.name.clone(),
            incarnation,
            metrics.clone(),
        );
        let targets = Arc::new(Targets::new(
            source,
            settings.proxy.connect_timeout,
            settings.policy.detection,
            clock.clone(),
        ));
        let monitor = Monitor {
            name: settings.host.name.clone(),
            clock: clock.clone(),
            published: published.clone(),
            targets: targets.clone(),
            sender: sender.clone(),
        };
        let puller = peer::Puller { source, sender: sender.clone() };
        let actor = Control::new(control::Setup {
            name: settings.host.name.clone(),
            window: settings.policy.fresh_window,
            heartbeat: settings.policy.heartbeat,
            clock: clock.clone(),
            published: published.clone(),
            store: store.clone(),
            sender: sender.clone(),
            puller: puller.clone(),
        });
        let control = xtra::spawn_tokio(actor, Mailbox::unbounded());
        let proxy = Arc::new(Proxy {
            name: settings.host.name.clone(),
            settings: settings.proxy,
            clock: clock.clone(),
            published: published.clone(),
            grants: grants.clone(),
            runs: Runs::new(holder.clone()),
            slots: Arc::new(Slots::new(clock.clone())),
            targets: targets.clone(),
            metrics: metrics.clone(),
            refusals: Refusals::default(),
            open_connections: AtomicUsize::new(0),
            in_flight: AtomicUsize::new(0),
        });
        register_gauges(&metrics, &proxy);
        let listener =
            Listener::start(settings.listen.caller, proxy.clone()).await.map_err(|error| {
                Error::Bind { listener: "caller", address: settings.listen.caller, error }
            })?;

        published.set_caller(listener.address());

        let receiver = peer::Receiver {
            socket,
            secret: settings.peers.secret.clone(),
            metrics: metrics.clone(),
            clock: clock.clone(),
            guard: Guard::new(settings.policy.fresh_window),
        };
        let watch = Watch {
            store: store.clone(),
            clock: clock.clone(),
            control: control.clone(),
            published: published.clone(),
            wait: settings.policy.heartbeat * HEARTBEATS_PER_WAIT,
        };
        let lender = Lender {
            grants: grants.clone(),
            published: published.clone(),
            clock: clock.clone(),
            sender: sender.clone(),
        };
        let seeds = settings.peers.seeds.clone();
        let mut tasks = vec![
            tokio::spawn(receive(receiver, control.clone(), lender.clone(), targets)),
            tokio::spawn(monitor.run()),
            tokio::spawn(lender.run(shortages)),
            tokio::spawn(reconciler(&grants, &published, &clock, &store).run()),
            tokio::spawn(peer::serve(stream, sender, control.clone())),
            tokio::spawn(tick(control.clone(), settings.policy.heartbeat)),
            tokio::spawn(control::watch(watch)),
            tokio::spawn(control::join(seeds, puller, published.clone(), control.clone())),
        ];
        let reconciler = reconciler(&grants, &published, &clock, &store);
        let mut admin_address = None;
        if let Some(address) = settings.listen.admin {
            let admin = Arc::new(Admin {
                settings: settings.admin.clone(),
                clock,
                published: published.clone(),
                store,
                metrics,
                proxy,
            });
            let started = admin::start(address, admin).await;
            let (address, task) =
                started.map_err(|error| Error::Bind { listener: "admin", address, error })?;
            admin_address = Some(address);
            tasks.push(task);
        }
        log::info!("host: {} serves callers on {}", settings.host.name, listener.address());
        Ok(Self {
            name: settings.host.name.clone(),
            peer: peer_address,
            admin: admin_address,
            listener,
            published,
            settings,
            reconciler,
            _control: control,
            tasks,
        })
    }

    /// Returns the host's name.
    pub fn name(&self) -> &id::Host {
        &self.name
    }

    /// Returns the listen address for callers.
    pub fn caller(&self) -> SocketAddr {
        self.listener.address()
    }

    /// Returns the listen address for other hosts.
    pub fn peer(&self) -> SocketAddr {
        self.peer
    }

    /// Returns the listen address for operators.
    pub fn admin(&self) -> Option<SocketAddr> {
        self.admin
    }

    /// Returns the line with the listen addresses that the program prints once it is ready.
    pub fn ready_line(&self) -> String {
        let admin = self.admin.map(|address| format!(" admin={address}")).unwrap_or_default();
        format!("ready caller={} peer={}{admin}", self.caller(), self.peer)
    }

    /// Shuts down without aborting any request.
    ///
    /// The host keeps serving for as long as callers may cache a locator response that names it.
    pub async fn shutdown(self) {
        self.published.leave();
        // The host's own share of every grant becomes zero at once; its seats are released when its
        // loans to others have ended.
        let locator_expiry = tokio::time::sleep(self.settings.proxy.max_age);
        tokio::join!(locator_expiry, self.reconciler.release());
        self.listener.close().await;
        for task in self.tasks {
            task.abort();
        }
        log::info!("host: {} is shut down", self.name);
    }
}

/// Registers the gauges of the host.
fn register_gauges(metrics: &Metrics, proxy: &Arc<Proxy>) {
    // The proxy owns the metrics; a strong reference back to it would keep both alive.
    let read = |value: fn(&Proxy) -> u64| {
        let proxy = Arc::downgrade(proxy);
        move || proxy.upgrade().map_or(0, |proxy| value(&proxy))
    };
    metrics.register_gauge(
        "chicory_connections",
        "Open connections of callers.",
        read(|proxy| proxy.connections() as u64),
    );
    metrics.register_gauge(
        "chicory_in_flight",
        "Requests that have no head of an answer yet.",
        read(|proxy| proxy.in_flight.load(Ordering::Relaxed) as u64),
    );
    metrics.register_gauge(
        "chicory_fresh",
        "Whether the host may serve: 1 or 0.",
        read(|proxy| u64::from(proxy.published.is_fresh(proxy.clock.now()))),
    );
    metrics.register_gauge(
        "chicory_revision",
        "Revision of the state in force.",
        read(|proxy| proxy.published.view().revision.0),
    );
    metrics.register_gauge(
        "chicory_roster_hosts",
        "Hosts of the roster, leaving ones included.",
        read(|proxy| proxy.published.view().hosts.len() as u64),
    );
}

/// Maximum number of attempts to find a port that is free for both UDP and TCP, if the address
/// has port 0.
const MAX_BIND_ATTEMPTS: usize = 16;

/// Binds one address for UDP and TCP; retries with another port if the address has port 0.
async fn bind_peer(
    address: SocketAddr,
) -> Result<(Arc<UdpSocket>, TcpListener, SocketAddr), Error> {
    let failed = |error| Error::Bind { listener: "peer", address, error };
    for last in (0..MAX_BIND_ATTEMPTS).rev() {
        let listener = TcpListener::bind(address).await.map_err(failed)?;
        let bound = listener.local_addr().map_err(failed)?;
        match UdpSocket::bind(bound).await {
            Ok(socket) => return Ok((Arc::new(socket), listener, bound)),
            Err(error) if address.port() > 0 || last == 0 => return Err(failed(error)),
            Err(_) => {}
        }
    }
    Err(failed(io::ErrorKind::AddrInUse.into()))
}

fn reconciler(
    grants: &Arc<Grants>,
    published: &Arc<Published>,
    clock: &Arc<dyn Clock>,
    store: &Arc<dyn Store>,
) -> Reconciler {
    Reconciler {
        grants: grants.clone(),
        published: published.clone(),
        clock: clock.clone(),
        store: store.clone(),
    }
}

async fn receive(
    receiver: peer::Receiver,
    control: Address<Control>,
    lender: Lender,
    targets: Arc<Targets>,
) {
    let dispatch = move |received: Received| {
        let control = control.clone();
        let lender = lender.clone();
        let handled = received.proven && targets.receive(&received.frame);
        async move {
            if handled || lender.handle(&received.frame).await {
                return;
            }
            // Sending fails only if the actor has stopped because the host is shutting down.
            let _ = control.send(received).await;
        }
    };
    receiver.receive(dispatch).await;
}

/// Sends [`Tick`] to the control actor at each heartbeat.
async fn tick(control: Address<Control>, heartbeat: std::time::Duration) {
    let mut interval = tokio::time::interval(heartbeat);
    interval.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        interval.tick().await;
        if control.send(Tick).await.is_err() {
            return;
        }
    }
}
