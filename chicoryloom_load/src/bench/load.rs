//! Open-loop requests over pooled connections, two paths in turn.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::Request;
use http::header::AUTHORIZATION;
use http::header::HOST;
use http_body_util::BodyExt;
use http_body_util::Full;
use tokio::sync::Mutex;
use tokio::task::JoinSet;
use tokio::time::Instant;

use crate::caller::Pool;

/// One of the paths that are compared.
#[derive(Clone, Debug)]
pub(super) struct Path {
    pub(super) addresses: Vec<SocketAddr>,
    pub(super) prefix: &'static str,
    pub(super) key: String,
}

/// Times of one path, in milliseconds, and the requests that failed.
#[derive(Clone, Debug, Default)]
pub(super) struct Times {
    pub(super) took_ms: Vec<f64>,
    pub(super) failed: usize,
}

/// Sends `rate` requests a second on each path, the paths taking turns within each period.
pub(super) async fn alternate(paths: &[Path], rate: u32, span: Duration) -> Vec<Times> {
    let pool = Arc::new(Pool::default());
    let times: Vec<_> = paths.iter().map(|_| Arc::new(Mutex::new(Times::default()))).collect();
    let period = Duration::from_secs(1) / rate;
    let turn = period / u32::try_from(paths.len()).unwrap_or(1);
    let count = (span.as_secs_f64() * f64::from(rate)) as u32;
    let started = Instant::now();
    let mut requests = JoinSet::new();
    for number in 0..count {
        for (index, path) in paths.iter().enumerate() {
            let at = started + period * number + turn * u32::try_from(index).unwrap_or_default();
            tokio::time::sleep_until(at).await;
            let address = path.addresses[number as usize % path.addresses.len()];
            let (pool, path, times) = (pool.clone(), path.clone(), times[index].clone());
            requests.spawn(async move {
                // The timer wakes at whole milliseconds; its error is the same for all paths.
                let sent = Instant::now();
                let good = send(&pool, address, &path).await.is_some();
                let took_ms = sent.elapsed().as_secs_f64() * 1000.0;
                let mut times = times.lock().await;
                if good {
                    times.took_ms.push(took_ms);
                } else {
                    times.failed += 1;
                }
            });
        }
        while requests.try_join_next().is_some() {}
    }
    while requests.join_next().await.is_some() {}
    let mut all = Vec::new();
    for times in times {
        all.push(std::mem::take(&mut *times.lock().await));
    }
    all
}

async fn send(pool: &Pool, address: SocketAddr, path: &Path) -> Option<()> {
    let mut sender = pool.take(address).await?;
    let request = request(address, path, "/read")?;
    let response = sender.send_request(request).await.ok()?;
    let good = response.status().is_success();
    response.into_body().collect().await.ok()?;
    pool.put(address, sender).await;
    good.then_some(())
}

/// Builds a request of a path.
pub(super) fn request(
    address: SocketAddr,
    path: &Path,
    rest: &str,
) -> Option<Request<Full<Bytes>>> {
    Request::builder()
        .uri(format!("{}{rest}", path.prefix))
        .header(HOST, address.to_string())
        .header(AUTHORIZATION, format!("Bearer {}", path.key))
        .body(Full::default())
        .ok()
}
