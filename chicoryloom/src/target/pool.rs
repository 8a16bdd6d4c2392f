//! Connections to one target.

use std::io;
use std::net::IpAddr;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use chicoryloom_policy::id;
use chicoryloom_policy::pick::Load;
use hyper::client::conn::http1;
use hyper::client::conn::http1::SendRequest;
use hyper_util::rt::TokioIo;
use tokio::net::TcpSocket;
use tokio::net::TcpStream;

use super::exchange::Body;
use super::exchange::Failure;

/// Weight of the newest sample in the smoothed latency.
const LATENCY_WEIGHT: f64 = 0.2;
/// Latency assumed before the first sample.
const FIRST_LATENCY: Duration = Duration::from_millis(10);

/// One target as this host sees it.
#[derive(Debug)]
pub(crate) struct Backend {
    target: id::Target,
    /// Address that connections come from.
    source: IpAddr,
    connect_timeout: Duration,
    idle: Mutex<Vec<SendRequest<Body>>>,
    /// Connections that are open or being opened.
    open: Arc<AtomicU32>,
    in_flight: AtomicU32,
    /// Smoothed time to the head of an answer, in microseconds.
    latency: AtomicU64,
}

impl Backend {
    pub(super) fn new(target: id::Target, source: IpAddr, connect_timeout: Duration) -> Self {
        Self {
            target,
            source,
            connect_timeout,
            idle: Mutex::default(),
            open: Arc::default(),
            in_flight: AtomicU32::new(0),
            latency: AtomicU64::new(FIRST_LATENCY.as_micros() as u64),
        }
    }

    pub(crate) fn target(&self) -> id::Target {
        self.target
    }

    /// Returns what the choice of a target goes by.
    pub(crate) fn load(&self, slots: u32) -> Load {
        let latency = Duration::from_micros(self.latency.load(Ordering::Relaxed));
        Load {
            in_flight: self.in_flight.load(Ordering::Relaxed),
            slots,
            latency: latency.as_secs_f64(),
        }
    }

    /// Takes a sample into the smoothed latency.
    pub(crate) fn sample(&self, took: Duration) {
        let old = self.latency.load(Ordering::Relaxed) as f64;
        let new = old + LATENCY_WEIGHT * (took.as_micros() as f64 - old);
        self.latency.store(new as u64, Ordering::Relaxed);
    }

    fn idle(&self) -> MutexGuard<'_, Vec<SendRequest<Body>>> {
        self.idle.lock().expect("no holder of the lock panics")
    }

    /// Takes an idle connection, or opens one within the cap.
    pub(crate) async fn lease(self: &Arc<Self>, cap: u32) -> Result<Lease, Failure> {
        let busy = Busy::new(self.clone());
        loop {
            let Some(sender) = self.idle().pop() else {
                break;
            };
            if sender.is_ready() {
                return Ok(Lease { sender: Some(sender), busy });
            }
        }
        let sender = self.connect(cap).await?;
        Ok(Lease { sender: Some(sender), busy })
    }

    async fn connect(&self, cap: u32) -> Result<SendRequest<Body>, Failure> {
        let open = Open::new(&self.open, cap).ok_or(Failure::Cap)?;
        let connecting = connect_from(self.source, self.target.0);
        let stream = match tokio::time::timeout(self.connect_timeout, connecting).await {
            Ok(Ok(stream)) => stream,
            Ok(Err(error)) => return Err(Failure::Connect(error.to_string())),
            Err(_) => return Err(Failure::Connect("timeout".to_owned())),
        };
        // Small requests would otherwise wait for the target's acknowledgement.
        let _ = stream.set_nodelay(true);
        let handshake = http1::handshake(TokioIo::new(stream)).await;
        let (sender, connection) =
            handshake.map_err(|error| Failure::Connect(error.to_string()))?;
        tokio::spawn(async move {
            if let Err(error) = connection.await {
                log::debug!("target: connection ended: {error}");
            }
            drop(open);
        });
        Ok(sender)
    }
}

/// Connects from a given source address.
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

/// Counts a connection while it is open.
struct Open(Arc<AtomicU32>);

impl Open {
    fn new(count: &Arc<AtomicU32>, cap: u32) -> Option<Self> {
        let add = |open: u32| (open < cap).then_some(open + 1);
        count.fetch_update(Ordering::AcqRel, Ordering::Acquire, add).ok()?;
        Some(Self(count.clone()))
    }
}

impl Drop for Open {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::AcqRel);
    }
}

/// Counts an attempt while it is in flight.
#[derive(Debug)]
struct Busy(Arc<Backend>);

impl Busy {
    fn new(backend: Arc<Backend>) -> Self {
        backend.in_flight.fetch_add(1, Ordering::Relaxed);
        Self(backend)
    }
}

impl Drop for Busy {
    fn drop(&mut self) {
        self.0.in_flight.fetch_sub(1, Ordering::Relaxed);
    }
}

/// A connection in use by one attempt; it is closed unless it is given back.
#[derive(Debug)]
pub(crate) struct Lease {
    sender: Option<SendRequest<Body>>,
    busy: Busy,
}

impl Lease {
    pub(super) fn sender(&mut self) -> Option<&mut SendRequest<Body>> {
        self.sender.as_mut()
    }

    /// Gives the connection back after a whole answer.
    pub(super) fn give_back(mut self) {
        if let Some(sender) = self.sender.take()
            && !sender.is_closed()
        {
            self.busy.0.idle().push(sender);
        }
    }
}
