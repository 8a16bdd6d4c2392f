//! HTTP servers for callers, and for the locator, readiness and metrics.

use std::convert::Infallible;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::Request;
use http::Response;
use http::StatusCode;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use hyper_util::rt::TokioTimer;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::Semaphore;
use tokio::sync::watch;

use super::DEFAULT_HEADER_BYTES;
use super::Gateway;
use super::head::Inspector;
use super::refusal::full;
use super::refusal::json_response;
use crate::proxy::stream::Stream;
use crate::target::Body;

/// Open connections of callers; 80% of the smallest file descriptor limit of a host.
const MAX_CONNECTIONS: usize = 3000;
/// Pause after a failed accept, such as when the process has no free file descriptor.
const ACCEPT_PAUSE: Duration = Duration::from_millis(10);
/// Time for which connections and requests are still taken once connections are to close, so that
/// those which have arrived already are answered.
const LAST_READ: Duration = Duration::from_millis(5);
/// Bytes read beyond the limit on a head, so that the request gets a response that explains its
/// refusal.
const HEADER_SLACK: usize = 64 * 1024;
/// Idle timeout of a connection before a configuration is known.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(15);
/// Time for which a caller may cache the locator's list of hosts. It is short, so that callers
/// leave a lost host soon; the lookups only cost processor time.
pub(super) const LOCATOR_MAX_AGE: Duration = Duration::from_secs(1);

/// Server of the callers' connections.
#[derive(Clone, Debug)]
pub(super) struct Server {
    pub(super) gateway: Arc<Gateway>,
    pub(super) permits: Arc<Semaphore>,
    /// Set to true when connections are to close after their present request.
    pub(super) closing: watch::Receiver<bool>,
}

impl Server {
    pub(super) fn new(gateway: Arc<Gateway>, closing: watch::Receiver<bool>) -> Self {
        Self { gateway, permits: Arc::new(Semaphore::new(MAX_CONNECTIONS)), closing }
    }

    /// Returns the number of open connections of callers.
    pub(super) fn open_connections(&self) -> usize {
        // While connections are accepted, one permit is kept for the next.
        let is_accepting = !*self.closing.borrow();
        (MAX_CONNECTIONS - self.permits.available_permits())
            .saturating_sub(usize::from(is_accepting))
    }

    /// Accepts connections of callers until they are to close, and those that wait then.
    pub(super) async fn accept(self, listener: TcpListener) {
        let mut closing = self.closing.clone();
        loop {
            let Ok(permit) = self.permits.clone().acquire_owned().await else {
                return;
            };
            let accepted = tokio::select! {
                biased;
                accepted = accept(&listener) => accepted,
                () = wait_for_last(&mut closing) => return,
            };
            let Some(stream) = accepted else {
                continue;
            };
            let server = self.clone();
            tokio::spawn(async move {
                server.serve(stream).await;
                drop(permit);
            });
        }
    }

    async fn serve(mut self, stream: TcpStream) {
        let limits = self.gateway.mirror.catalog().map(|catalog| catalog.limits);
        let idle = limits.map_or(DEFAULT_IDLE_TIMEOUT, |limits| limits.idle_timeout);
        let head = limits.map_or(DEFAULT_HEADER_BYTES, |limits| limits.header_bytes);
        let header_timeout = limits.map_or(DEFAULT_IDLE_TIMEOUT, |limits| limits.header_timeout);
        let gateway = self.gateway.clone();
        let (stream, inspection) = Inspector::new(Stream::new(stream, idle), head);
        let service = service_fn(move |request| {
            let (gateway, inspection) = (gateway.clone(), inspection.clone());
            async move {
                let response = gateway.handle(request, inspection.is_ambiguous()).await;
                inspection.mark_answered();
                Ok::<_, Infallible>(response)
            }
        });
        let stream = TokioIo::new(stream);
        // The header timeout of the HTTP library also runs while a connection is idle between two
        // requests, so that it is at least the idle timeout.
        let connection = http1::Builder::new()
            .timer(TokioTimer::new())
            .header_read_timeout(idle.max(header_timeout))
            .max_buf_size(head + HEADER_SLACK)
            .serve_connection(stream, service);
        tokio::pin!(connection);
        let ended = tokio::select! {
            ended = connection.as_mut() => ended,
            () = wait_for_close(&mut self.closing) => {
                match tokio::time::timeout(LAST_READ, connection.as_mut()).await {
                    Ok(ended) => ended,
                    Err(_) => {
                        connection.as_mut().graceful_shutdown();
                        connection.await
                    }
                }
            }
        };
        if let Err(error) = ended {
            log::debug!("gateway: connection of a caller ended with an error: {error}");
        }
    }
}

/// Waits until no more connections are accepted.
async fn wait_for_last(closing: &mut watch::Receiver<bool>) {
    wait_for_close(closing).await;
    tokio::time::sleep(LAST_READ).await;
}

/// Waits until connections are to close.
async fn wait_for_close(closing: &mut watch::Receiver<bool>) {
    // An error means that the sender was dropped with its host, which closes connections as well.
    let _ = closing.wait_for(|closing| *closing).await;
}

async fn accept(listener: &TcpListener) -> Option<TcpStream> {
    match listener.accept().await {
        Ok((stream, _)) => {
            // Nagle's algorithm would delay small responses until the caller's acknowledgement.
            let _ = stream.set_nodelay(true);
            Some(stream)
        }
        Err(error) => {
            log::warn!("gateway: failed to accept a connection: {error}");
            tokio::time::sleep(ACCEPT_PAUSE).await;
            None
        }
    }
}

/// Handler of a listener other than that of callers.
pub(super) type Handler = fn(&Gateway, &Request<Incoming>) -> Response<Body>;

/// Serves all requests of a listener with a handler until the task is aborted.
pub(super) async fn serve_handler(listener: TcpListener, gateway: Arc<Gateway>, handler: Handler) {
    loop {
        let Some(stream) = accept(&listener).await else {
            continue;
        };
        let gateway = gateway.clone();
        let service = service_fn(move |request| {
            let response = handler(&gateway, &request);
            async move { Ok::<_, Infallible>(response) }
        });
        tokio::spawn(async move {
            let stream = TokioIo::new(Stream::new(stream, DEFAULT_IDLE_TIMEOUT));
            let mut server = http1::Builder::new();
            let server = server.timer(TokioTimer::new()).header_read_timeout(DEFAULT_IDLE_TIMEOUT);
            if let Err(error) = server.serve_connection(stream, service).await {
                log::debug!(
                    "gateway: locator, readiness or metrics connection ended with an error: {error}"
                );
            }
        });
    }
}

/// Returns the hosts that a caller should use.
pub(super) fn locate(gateway: &Gateway, request: &Request<Incoming>) -> Response<Body> {
    let Some(lookup) = gateway.dialect.lookup(request.uri()) else {
        return status(StatusCode::NOT_FOUND);
    };
    let hosts = gateway.fleet.locate(lookup.data_centre.as_ref());
    if hosts.is_empty() {
        return status(StatusCode::SERVICE_UNAVAILABLE);
    }
    json_response(gateway.dialect.lookup_response(&hosts, LOCATOR_MAX_AGE))
}

/// Returns whether this host is ready for callers: it has a configuration and isn't stopping.
pub(super) fn readiness(gateway: &Gateway, request: &Request<Incoming>) -> Response<Body> {
    if !gateway.dialect.is_readiness_check(request.uri()) {
        return status(StatusCode::NOT_FOUND);
    }
    let is_ready = gateway.mirror.catalog().is_some() && !gateway.is_stopping();
    status(if is_ready { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE })
}

/// Returns the metrics.
pub(super) fn metrics(gateway: &Gateway, _: &Request<Incoming>) -> Response<Body> {
    Response::new(full(Bytes::from(gateway.metrics.render())))
}

fn status(status: StatusCode) -> Response<Body> {
    let mut response = Response::new(full(Bytes::new()));
    *response.status_mut() = status;
    response
}
