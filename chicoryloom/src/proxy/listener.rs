//! Accepts and serves callers' connections.

use std::convert::Infallible;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

use chicoryloom_wire::caller::Code;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use hyper_util::rt::TokioTimer;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::sync::Semaphore;
use tokio::sync::watch;
use tokio::time::Instant;

use super::CountGuard;
use super::Proxy;
use super::answer;
use super::stream::Stream;

/// How often a shutdown checks for open connections.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Time without a new connection after which a shutdown stops accepting.
const ACCEPT_QUIET_PERIOD: Duration = Duration::from_millis(250);
/// Longest time for which a shutdown accepts connections from callers that should have left.
const MAX_ACCEPT_DRAIN: Duration = Duration::from_secs(3);
/// Time that a new connection has for its first request during a shutdown.
const FIRST_REQUEST_TIMEOUT: Duration = Duration::from_secs(1);
/// Pause after a failed accept, such as when the process has run out of file descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(10);
/// Bytes read beyond the limit on a request head, so that a longer head gets a refusal.
const HEADER_BUFFER_SLACK: usize = 64 * 1024;
/// Most connections beyond the limit that are being refused at the same time.
const MAX_CONCURRENT_REFUSALS: usize = 64;
/// Longest time that the refusal of a connection beyond the limit may take.
const REFUSAL_TIMEOUT: Duration = Duration::from_secs(2);

/// Accepts callers' connections.
#[derive(Debug)]
pub(crate) struct Listener {
    proxy: Arc<Proxy>,
    address: SocketAddr,
    permits: Arc<Semaphore>,
    /// Permits for connections beyond the limit that get a refusal; others are closed without one.
    refusals: Arc<Semaphore>,
    /// Set to true when open connections are to close after their current request.
    closing: watch::Sender<bool>,
    /// Whether no more connections are accepted.
    accept_ended: AtomicBool,
}

impl Listener {
    /// Binds the listener and starts to accept.
    pub(crate) async fn start(address: SocketAddr, proxy: Arc<Proxy>) -> io::Result<Arc<Self>> {
        let socket = TcpListener::bind(address).await?;
        let permits = Arc::new(Semaphore::new(proxy.settings.connections));
        let address = socket.local_addr()?;
        let listener = Arc::new(Self {
            proxy,
            address,
            permits,
            refusals: Arc::new(Semaphore::new(MAX_CONCURRENT_REFUSALS)),
            closing: watch::Sender::new(false),
            accept_ended: AtomicBool::new(false),
        });
        tokio::spawn(listener.clone().accept(socket));
        Ok(listener)
    }

    pub(crate) fn address(&self) -> SocketAddr {
        self.address
    }

    /// Closes each connection after its current request and waits until none is open.
    pub(crate) async fn close(&self) {
        self.closing.send_replace(true);
        while !self.accept_ended.load(Ordering::Acquire) {
            tokio::time::sleep(DRAIN_POLL_INTERVAL).await;
        }
        while self.permits.available_permits() < self.proxy.settings.connections {
            tokio::time::sleep(DRAIN_POLL_INTERVAL).await;
        }
    }

    async fn accept(self: Arc<Self>, socket: TcpListener) {
        let mut closing = self.closing.subscribe();
        loop {
            let accepted = tokio::select! {
                accepted = socket.accept() => accepted,
                () = wait_closing(&mut closing) => break,
            };
            let Ok((stream, _)) = accepted else {
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
                continue;
            };
            self.handle(stream);
        }
        // Callers whose connections are in the accept queue may already have sent their requests.
        let end = Instant::now() + MAX_ACCEPT_DRAIN;
        while let Ok(Ok((stream, _))) =
            tokio::time::timeout(ACCEPT_QUIET_PERIOD, socket.accept()).await
            && Instant::now() < end
        {
            self.handle(stream);
        }
        self.accept_ended.store(true, Ordering::Release);
    }

    /// Serves a connection, or refuses it if the host has reached its connection limit.
    fn handle(self: &Arc<Self>, stream: TcpStream) {
        let listener = self.clone();
        if let Ok(permit) = self.permits.clone().try_acquire_owned() {
            tokio::spawn(async move {
                let open = CountGuard::new(&listener.proxy.open_connections);
                listener.serve(stream).await;
                drop(open);
                drop(permit);
            });
            return;
        }
        self.proxy.metrics.refusal(Code::Busy);
        if let Ok(permit) = self.refusals.clone().try_acquire_owned() {
            tokio::spawn(async move {
                // A caller that sends no request in time gets no response.
                let _ = tokio::time::timeout(REFUSAL_TIMEOUT, refuse(stream)).await;
                drop(permit);
            });
        }
    }

    async fn serve(&self, stream: TcpStream) {
        // Otherwise Nagle's algorithm would delay small responses until the caller's next ACK.
        let _ = stream.set_nodelay(true);
        let proxy = self.proxy.clone();
        let first_request = Arc::new(Notify::new());
        let notifier = first_request.clone();
        let service = service_fn(move |request| {
            let proxy = proxy.clone();
            notifier.notify_one();
            async move { Ok::<_, Infallible>(proxy.answer(request).await) }
        });
        let settings = &self.proxy.settings;
        let mut connection = std::pin::pin!(
            http1::Builder::new()
                .timer(TokioTimer::new())
                .header_read_timeout(settings.header_timeout)
                .max_buf_size(settings.header_bytes + HEADER_BUFFER_SLACK)
                .serve_connection(
                    TokioIo::new(Stream::new(stream, settings.idle_timeout)),
                    service
                )
        );
        let mut closing = self.closing.subscribe();
        let ended = tokio::select! {
            ended = connection.as_mut() => ended,
            () = wait_closing(&mut closing) => {
                // The first request of a new connection may still be in transit.
                let first_request =
                    tokio::time::timeout(FIRST_REQUEST_TIMEOUT, first_request.notified());
                tokio::select! {
                    ended = connection.as_mut() => ended,
                    _ = first_request => {
                        connection.as_mut().graceful_shutdown();
                        connection.await
                    },
                }
            },
        };
        if let Err(error) = ended {
            log::debug!("proxy: connection of a caller ended: {error}");
        }
    }
}

/// Answers one request with the refusal for too many connections.
async fn refuse(stream: TcpStream) {
    let service = service_fn(|_| async { Ok::<_, Infallible>(answer::refuse_connection()) });
    let connection = http1::Builder::new()
        .serve_connection(TokioIo::new(Stream::new(stream, REFUSAL_TIMEOUT)), service);
    // An error means that the caller has left, so it needs no response.
    let _ = connection.await;
}

/// Waits until the listener is closed.
async fn wait_closing(closing: &mut watch::Receiver<bool>) {
    // An error means that the listener was dropped, which closes its connections as well.
    let _ = closing.wait_for(|closing| *closing).await;
}
