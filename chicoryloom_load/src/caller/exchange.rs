//! One HTTP exchange of a caller with a host.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use chicoryloom_wire::header;
use http::HeaderMap;
use http::Method;
use http::Response;
use http::header::AUTHORIZATION;
use http::header::HOST;
use http::header::RETRY_AFTER;
use http_body_util::BodyExt;
use http_body_util::Full;
use serde_json::Value;
use tokio::time::Instant;

use super::Attempt;
use super::Caller;
use super::End;
use super::answer;
use crate::arrival::Kind;

/// Header with the number of the attempt, which targets note in their journals.
pub(crate) const ATTEMPT: &str = "load-attempt";
/// Longest time of a call to the fleet's own resources.
const FETCH_TIMEOUT: Duration = Duration::from_secs(2);

/// What one attempt is to send.
#[derive(Debug)]
pub(super) struct Request<'a> {
    pub(super) id: u64,
    pub(super) service: usize,
    pub(super) kind: Kind,
    pub(super) attempt: usize,
    pub(super) run_key: Option<&'a str>,
    /// When the caller loses its patience.
    pub(super) until: Instant,
}

impl Caller {
    /// Sends a request to a host and waits for the whole answer.
    pub(super) async fn attempt(&self, host: SocketAddr, request: &Request<'_>) -> Attempt {
        let sent_ms = self.world.now_ms();
        let address = self.world.via(host);
        let end = match self.pool.take(address).await {
            None => End::Unsent,
            Some(mut sender) => {
                let built = self.build(host, request);
                let exchange = self.exchange(&mut sender, built, request);
                match tokio::time::timeout_at(request.until, exchange).await {
                    Ok((end, whole)) => {
                        if whole {
                            self.pool.put(address, sender).await;
                        }
                        end
                    }
                    Err(_) => End::TimedOut,
                }
            }
        };
        Attempt { host, sent_ms, ended_ms: self.world.now_ms(), end }
    }

    fn build(&self, host: SocketAddr, request: &Request<'_>) -> http::Request<Full<Bytes>> {
        let service = &self.world.services[request.service];
        let length = self.world.download_bytes[request.service];
        let path = answer::path(request.kind, request.id, length);
        let method = match request.kind {
            Kind::Book => Method::POST,
            Kind::Read | Kind::Download | Kind::Poison => Method::GET,
        };
        let left = request.until.saturating_duration_since(Instant::now());
        let mut builder = http::Request::builder()
            .method(method)
            .uri(format!("/{service}{path}"))
            .header(HOST, host.to_string())
            .header(AUTHORIZATION, format!("Bearer {}", self.key))
            .header(header::DEADLINE_MS, left.as_millis().to_string())
            .header(ATTEMPT, request.attempt.to_string());
        if let Some(run_key) = request.run_key {
            builder = builder.header(header::IDEMPOTENCY_KEY, run_key);
        }
        builder.body(Full::default()).expect("all parts are valid")
    }

    /// Returns the end of an exchange, and whether the connection can serve another one.
    async fn exchange(
        &self,
        sender: &mut super::pool::Sender,
        built: http::Request<Full<Bytes>>,
        request: &Request<'_>,
    ) -> (End, bool) {
        let response = match sender.send_request(built).await {
            Ok(response) => response,
            // The connection closed before it took the request.
            Err(error) if error.is_canceled() => return (End::Unsent, false),
            Err(error) => return (End::Broken { reason: error.to_string() }, false),
        };
        let (parts, body) = response.into_parts();
        match body.collect().await {
            Ok(body) => (self.end(&parts, &body.to_bytes(), request), true),
            Err(error) => (End::Broken { reason: format!("body: {error}") }, false),
        }
    }

    fn end(&self, parts: &http::response::Parts, body: &[u8], request: &Request<'_>) -> End {
        let status = parts.status.as_u16();
        if let Some(run) = parts.headers.get(header::RUN) {
            let problem: Value = serde_json::from_slice(body).unwrap_or_default();
            return End::Refused {
                status,
                code: problem["code"].as_str().unwrap_or("none").to_owned(),
                not_run: run == "not-run",
                retry_after_s: retry_after(&parts.headers),
            };
        }
        let length = self.world.download_bytes[request.service];
        let genuine =
            status >= 400 || answer::is_genuine(request.kind, request.id, length, None, body);
        End::Answered { status, genuine }
    }

    /// Calls one of the fleet's own resources.
    pub(super) async fn fetch(
        &self,
        host: SocketAddr,
        method: Method,
        path: &str,
    ) -> Option<Bytes> {
        let address = self.world.via(host);
        let request = http::Request::builder()
            .method(method)
            .uri(path)
            .header(HOST, host.to_string())
            .header(AUTHORIZATION, format!("Bearer {}", self.key))
            .body(Full::default())
            .ok()?;
        let exchange = async {
            let mut sender = self.pool.take(address).await?;
            let response: Response<_> = sender.send_request(request).await.ok()?;
            let good = response.status().is_success();
            let body = response.into_body().collect().await.ok()?.to_bytes();
            self.pool.put(address, sender).await;
            good.then_some(body)
        };
        tokio::time::timeout(FETCH_TIMEOUT, exchange).await.ok()?
    }
}

fn retry_after(headers: &HeaderMap) -> Option<u64> {
    headers.get(RETRY_AFTER)?.to_str().ok()?.parse().ok()
}
