//! Memory of a host while it passes long answers on.

use std::net::SocketAddr;
use std::time::Duration;

use chicoryloom_harness::Fleet;
use futures::future::join_all;
use http_body_util::BodyExt;
use serde::Deserialize;
use serde::Serialize;

use super::load::Path;
use super::load::request;
use crate::caller::Pool;

/// Answers at once.
const STREAMS: usize = 10;
/// Length of each answer, in bytes.
const LENGTH: u64 = 200_000_000;
/// Time between two looks at the memory.
const LOOK_PERIOD: Duration = Duration::from_millis(20);

/// Resident memory of a host, in bytes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Deserialize, Serialize)]
pub struct Memory {
    pub idle: u64,
    /// Largest while ten answers of 200 MB pass.
    pub streaming: u64,
    /// Answers that came whole.
    pub whole: usize,
}

/// Measures the memory of the fleet's only host.
pub(super) async fn memory(fleet: &Fleet, path: &Path) -> Memory {
    let resident = || fleet.hosts[0].process.usage().map_or(0, |usage| usage.resident);
    let idle = resident();
    let address = path.addresses[0];
    let streams = join_all((0..STREAMS).map(|number| stream(address, path, number)));
    let mut streams = std::pin::pin!(streams);
    let mut streaming = idle;
    loop {
        tokio::select! {
            lengths = &mut streams => {
                let whole = lengths.iter().filter(|length| **length == LENGTH).count();
                return Memory { idle, streaming, whole };
            }
            () = tokio::time::sleep(LOOK_PERIOD) => streaming = streaming.max(resident()),
        }
    }
}

/// Reads one long answer and returns how many bytes came.
async fn stream(address: SocketAddr, path: &Path, number: usize) -> u64 {
    let pool = Pool::default();
    let Some(mut sender) = pool.take(address).await else {
        return 0;
    };
    let Some(request) = request(address, path, &format!("/bytes/{number}/{LENGTH}")) else {
        return 0;
    };
    let Ok(response) = sender.send_request(request).await else {
        return 0;
    };
    let mut body = response.into_body();
    let mut length = 0;
    while let Some(Ok(frame)) = body.frame().await {
        length += frame.data_ref().map_or(0, |data| data.len() as u64);
    }
    length
}
