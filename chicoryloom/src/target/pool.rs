//! Pool of connections to one target.

use std::io;
use std::net::IpAddr;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;
use std::time::Duration;

use chicoryloom_policy::id;
use chicoryloom_policy::pick;
use hyper::client::conn::http1;
use hyper::client::conn::http1::SendRequest;
use hyper_util::rt::TokioIo;
use tokio::net::TcpSocket;
use tokio::net::TcpStream;
use tokio::task::JoinHandle;
use tokio::time::Instant;

use super::exchange::Body;
use super::exchange::Failure;
use super::gauge::Gauge;

/// Default of the longest time that a connection is kept without a request.
pub(crate) const IDLE_TIMEOUT: Duration = Duration::from_secs(10);
/// Longest wait for a pooled connection to finish its previous exchange.
const READY_TIMEOUT: Duration = Duration::from_millis(50);

/// Connections and load of one target on this host.
#[derive(Debug)]
pub(crate) struct Backend {
    target: id::Target,
    /// Local address of outgoing connections.
    source: IpAddr,
    connect_timeout: Duration,
    /// Longest time that a connection is kept without a request.
    idle_timeout: Duration,
    idle: Mutex<Vec<IdleConnection>>,
    /// Connections that are open or being opened.
    open: Arc<AtomicU32>,
    /// Maximum number of connections that this host may currently hold.
    cap: AtomicU32,
    gauge: Gauge,
}

/// A connection that waits for its next request.
#[derive(Debug)]
struct IdleConnection {
    connection: Connection,
    since: Instant,
}

impl Backend {
    pub(crate) fn new(
        target: id::Target,
        source: IpAddr,
        connect_timeout: Duration,
        idle_timeout: Duration,
    ) -> Self {
        Self {
            target,
            source,
            connect_timeout,
            idle_timeout,
            idle: Mutex::default(),
            open: Arc::default(),
            cap: AtomicU32::new(0),
            gauge: Gauge::default(),
        }
    }

    /// Returns the address of the target.
    pub(super) fn target(&self) -> id::Target {
        self.target
    }

    /// Returns the target's load as measured by this host.
    pub(crate) fn gauge(&self) -> &Gauge {
        &self.gauge
    }

    /// Returns the load by which a target is chosen.
    pub(crate) fn load(&self, slots: u32) -> pick::Load {
        self.gauge.load(slots)
    }

    /// Returns how many connections are open or being opened.
    pub(crate) fn connections(&self) -> u32 {
        self.open.load(Ordering::Relaxed)
    }

    /// Sets how many connections this host may hold, and closes idle ones in excess of it.
    pub(crate) fn set_cap(&self, cap: u32) {
        if self.cap.swap(cap, Ordering::AcqRel) <= cap {
            return;
        }
        let mut idle = self.idle();
        let excess = self.connections().saturating_sub(cap) as usize;
        let closed = excess.min(idle.len());
        drop(idle.drain(..closed));
    }

    /// Removes connections that are closed or have been idle for too long.
    pub(crate) fn sweep(&self) {
        self.idle().retain(|idle| {
            idle.since.elapsed() < self.idle_timeout && !idle.connection.is_closed()
        });
    }

    /// Closes all idle connections, for example when the network path to the target is down.
    pub(crate) fn close_idle(&self) {
        self.idle().clear();
    }

    /// Returns whether an open connection waits for its next request.
    pub(crate) fn has_idle(&self) -> bool {
        let is_usable = |idle: &IdleConnection| {
            idle.since.elapsed() < self.idle_timeout && !idle.connection.is_closed()
        };
        self.idle().iter().any(is_usable)
    }

    fn idle(&self) -> MutexGuard<'_, Vec<IdleConnection>> {
        self.idle.lock().expect("no holder of the lock panics")
    }

    /// Leases an idle connection, or opens one if the cap allows it.
    pub(crate) async fn lease(self: &Arc<Self>) -> Result<Lease, Failure> {
        let in_flight = InFlight::new(self.clone());
        loop {
            let Some(idle) = self.idle().pop() else {
                break;
            };
            let mut connection = idle.connection;
            if idle.since.elapsed() < self.idle_timeout && connection.is_ready().await {
                return Ok(Lease { connection: Some(connection), in_flight, is_new: false });
            }
        }
        self.open(in_flight).await
    }

    /// Leases an idle connection, if there is one.
    pub(super) fn lease_idle(self: &Arc<Self>) -> Option<Lease> {
        let in_flight = InFlight::new(self.clone());
        let mut idle = self.idle();
        let is_usable = |idle: &IdleConnection| {
            idle.since.elapsed() < self.idle_timeout && !idle.connection.is_closed()
        };
        let at = idle.iter().rposition(is_usable)?;
        let connection = Some(idle.remove(at).connection);
        Some(Lease { connection, in_flight, is_new: false })
    }

    /// Leases a newly opened connection, if the cap allows it.
    pub(crate) async fn lease_new(self: &Arc<Self>) -> Result<Lease, Failure> {
        self.open(InFlight::new(self.clone())).await
    }

    async fn open(&self, in_flight: InFlight) -> Result<Lease, Failure> {
        let connection = self.connect().await?;
        Ok(Lease { connection: Some(connection), in_flight, is_new: true })
    }

    async fn connect(&self) -> Result<Connection, Failure> {
        let cap = self.cap.load(Ordering::Acquire);
        let open = OpenGuard::new(&self.open, cap).ok_or(Failure::Cap)?;
        let connecting = connect_from(self.source, self.target.0);
        let stream = match tokio::time::timeout(self.connect_timeout, connecting).await {
            Ok(Ok(stream)) => stream,
            Ok(Err(error)) => return Err(Failure::Connect(error.to_string())),
            Err(_) => return Err(Failure::Connect("timeout".to_owned())),
        };
        // Without TCP_NODELAY, small requests may wait for the target to acknowledge earlier ones.
        let _ = stream.set_nodelay(true);
        let handshake = http1::handshake(TokioIo::new(stream)).await;
        let (sender, connection) =
            handshake.map_err(|error| Failure::Connect(error.to_string()))?;
        let task = tokio::spawn(async move {
            if let Err(error) = connection.await {
                log::debug!("target: connection ended: {error}");
            }
            drop(open);
        });
        Ok(Connection { sender, task, opened: Instant::now() })
    }
}

/// Connects from a source address, if it is specified and of the same IP version.
async fn connect_from(source: IpAddr, address: SocketAddr) -> io::Result<TcpStream> {
    let socket = match address {
        SocketAddr::V4(_) => TcpSocket::new_v4()?,
        SocketAddr::V6(_) => TcpSocket::new_v6()?,
    };
    if source.is_ipv4() == address.is_ipv4() && !source.is_unspecified() {
        socket.bind(SocketAddr::new(source, 0))?;
    }
    socket.connect(address).await
}

/// A connection; dropping it closes it immediately, even during an exchange.
#[derive(Debug)]
struct Connection {
    sender: SendRequest<Body>,
    task: JoinHandle<()>,
    opened: Instant,
}

impl Connection {
    fn is_closed(&self) -> bool {
        self.sender.is_closed()
    }

    /// Waits until the previous exchange is over; returns whether the connection is usable.
    async fn is_ready(&mut self) -> bool {
        if self.sender.is_ready() {
            return true;
        }
        matches!(tokio::time::timeout(READY_TIMEOUT, self.sender.ready()).await, Ok(Ok(())))
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Counts a connection while it is open.
struct OpenGuard(Arc<AtomicU32>);

impl OpenGuard {
    fn new(count: &Arc<AtomicU32>, cap: u32) -> Option<Self> {
        let add = |open: u32| (open < cap).then_some(open + 1);
        count.fetch_update(Ordering::AcqRel, Ordering::Acquire, add).ok()?;
        Some(Self(count.clone()))
    }
}

impl Drop for OpenGuard {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::AcqRel);
    }
}

/// Counts an attempt while it is in flight.
#[derive(Debug)]
struct InFlight(Arc<Backend>);

impl InFlight {
    fn new(backend: Arc<Backend>) -> Self {
        backend.gauge.begin();
        Self(backend)
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        self.0.gauge.end();
    }
}

/// A connection in use by one attempt; it is closed unless it is released to the pool.
#[derive(Debug)]
pub(crate) struct Lease {
    connection: Option<Connection>,
    in_flight: InFlight,
    is_new: bool,
}

impl Lease {
    /// Returns whether the connection has carried no request before.
    pub(crate) fn is_new(&self) -> bool {
        self.is_new
    }

    /// Returns the time since the connection was opened.
    pub(crate) fn age(&self) -> Duration {
        self.connection.as_ref().map_or(Duration::ZERO, |one| one.opened.elapsed())
    }

    pub(super) fn sender(&mut self) -> Option<&mut SendRequest<Body>> {
        self.connection.as_mut().map(|connection| &mut connection.sender)
    }

    /// Returns the connection to the pool after a whole answer.
    pub(super) fn release(mut self) {
        let backend = &self.in_flight.0;
        let within = backend.connections() <= backend.cap.load(Ordering::Acquire);
        if let Some(connection) = self.connection.take()
            && !connection.is_closed()
            && within
        {
            backend.idle().push(IdleConnection { connection, since: Instant::now() });
        }
    }
}
