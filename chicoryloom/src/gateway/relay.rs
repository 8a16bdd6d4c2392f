//! Replication of the platform's objects from one host to another.
//!
//! A follower asks its relay for the changes since its last request, and the relay holds the
//! response until there is a change or the wait is over. Requests and responses are encoded with
//! postcard, after their length in four bytes, big-endian.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use chicoryloom_policy::id;
use chicoryloom_policy::position::Position;
use chicoryloom_policy::replica::Kind;
use chicoryloom_policy::replica::Positions;
use chicoryloom_policy::replica::Update;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;

use super::extension::Extension;
use super::extension::Field;
use super::fleet::Unreadable;
use super::message;
use super::message::Fault;
use super::message::MAX_RESPONSE;
use super::message::SyncRequest;
use super::message::SyncResponse;
use super::mirror::Mirror;
use super::package::Digest;
use super::package::Package;
use super::versions::Holding;

/// Longest time that a relay holds a response.
const MAX_WAIT: Duration = Duration::from_secs(5);
/// Largest request of a follower, in bytes.
const MAX_REQUEST: u32 = 1024;
/// Time without a request after which a follower's connection is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(10);
/// Time past the wait after which a relay that has not begun to respond counts as failed; also the
/// timeout of the connection to it.
pub(super) const RESPONSE_SLACK: Duration = Duration::from_millis(200);
/// Pause within a response after which the relay counts as failed.
const STALL_TIMEOUT: Duration = Duration::from_millis(500);
/// Longest time that a relay needs to pack its configuration.
const PACKING_TIME: Duration = Duration::from_millis(800);
/// Pause after a failed accept.
const ACCEPT_PAUSE: Duration = Duration::from_millis(10);

/// Answers followers until the task is aborted.
pub(super) async fn serve(
    listener: TcpListener,
    incarnation: id::Incarnation,
    mirror: Arc<Mirror>,
    unreadable: Arc<Unreadable>,
) {
    loop {
        let Ok((stream, peer)) = listener.accept().await else {
            tokio::time::sleep(ACCEPT_PAUSE).await;
            continue;
        };
        let (mirror, unreadable) = (mirror.clone(), unreadable.clone());
        tokio::spawn(async move {
            if let Err(error) = serve_follower(stream, incarnation, mirror).await {
                if is_malformed(&error) {
                    unreadable.record(peer, None, Fault::Sync);
                }
                log::debug!("relay: connection of follower {peer} ended: {error}");
            }
        });
    }
}

async fn serve_follower(
    mut stream: TcpStream,
    incarnation: id::Incarnation,
    mirror: Arc<Mirror>,
) -> io::Result<()> {
    stream.set_nodelay(true)?;
    loop {
        let received = read(&mut stream, MAX_REQUEST);
        let Ok(received) = tokio::time::timeout(IDLE_TIMEOUT, received).await else {
            return Ok(());
        };
        let (request, fields): (SyncRequest, _) = message::decode(&received?).map_err(malformed)?;
        if let Some(base) = fields.get::<Option<Digest>>(Field::Base).map_err(malformed)? {
            let response = package(&mirror, base, incarnation).await?;
            write(&mut stream, &response).await?;
            continue;
        }
        let evacuations = fields.get::<Position>(Field::EvacuationsReached).map_err(malformed)?;
        let after = if request.incarnation == incarnation { request.after } else { 0 };
        let wait = Duration::from_millis(request.wait_ms.into()).min(MAX_WAIT);
        if after > 0 {
            mirror.wait_for_update(after, wait).await;
        }
        // Followers take an answer for what a host knows that was never stopped.
        if !mirror.is_reliable() {
            return Ok(());
        }
        let fetches_apart = fields.get(Field::FetchesApart).map_err(malformed)?.unwrap_or(false);
        let (latest, updates) = if fetches_apart {
            mirror.after_apart(after, request.reached)
        } else {
            mirror.after(after, request.reached)
        };
        let age_ms = u64::try_from(mirror.age().as_millis()).unwrap_or(u64::MAX);
        let is_omitted = !updates.iter().any(|update| update.kind == Kind::Catalog);
        let response = SyncResponse { incarnation, latest, age_ms, updates };
        let mut extension = Extension::new();
        if is_omitted {
            extension = extension.with(Field::Omitted, &true);
        }
        if let Some(holding) = mirror.versions().holding() {
            extension = extension.with(Field::Holding, &holding);
        }
        if let Some(update) = evacuations.and_then(|reached| mirror.evacuations_after(reached)) {
            extension = extension.with(Field::Evacuations, &update);
        }
        write(&mut stream, &message::encode(&response, &extension)).await?;
    }
}

/// Returns the response with this host's configuration for a host that has `base`.
async fn package(
    mirror: &Arc<Mirror>,
    base: Option<Digest>,
    incarnation: id::Incarnation,
) -> io::Result<Bytes> {
    let packing = mirror.clone();
    // Requests must not wait for the compression.
    let package = tokio::task::spawn_blocking(move || packing.package(base)).await?;
    let age_ms = u64::try_from(mirror.age().as_millis()).unwrap_or(u64::MAX);
    let response = SyncResponse { incarnation, latest: 0, age_ms, updates: Vec::new() };
    let extension = Extension::new();
    let extension = match package.transpose()? {
        Some(package) => extension.with(Field::Package, &package),
        None => extension,
    };
    Ok(message::encode(&response, &extension))
}

/// What a relay says in a response besides the updates.
#[derive(Debug, Default)]
pub(super) struct Remarks {
    /// Evacuations, if they were asked for and the relay knows them.
    pub(super) evacuations: Option<Update>,
    /// Version of the configuration that the relay holds.
    pub(super) holding: Option<Holding>,
    /// Whether the configuration was left out.
    pub(super) is_omitted: bool,
}

/// A follower's connection to its relay.
#[derive(Debug)]
pub(super) struct Follower {
    pub(super) relay: SocketAddr,
    stream: TcpStream,
    /// Incarnation of the relay, as of its latest response.
    incarnation: id::Incarnation,
    /// Number of the relay's latest change that the copy has.
    after: u64,
    /// Bytes of the latest response that have been received, and its length as far as known.
    received: (usize, Option<usize>),
}

impl Follower {
    pub(super) async fn connect(relay: SocketAddr) -> io::Result<Self> {
        let stream = TcpStream::connect(relay).await?;
        stream.set_nodelay(true)?;
        Ok(Self {
            relay,
            stream,
            incarnation: id::Incarnation::default(),
            after: 0,
            received: (0, None),
        })
    }

    /// Requests the changes since the acknowledged one; the relay may wait for one for `wait`. The
    /// configuration is left out if the relay knows how to send it by itself.
    ///
    /// The response may take any time to arrive as long as it goes on. `is_receiving` is set while it
    /// arrives.
    pub(super) async fn poll(
        &mut self,
        reached: Positions,
        evacuations: Option<Position>,
        wait: Duration,
        is_receiving: &AtomicBool,
    ) -> io::Result<(SyncResponse, Remarks)> {
        let wait_ms = u32::try_from(wait.as_millis()).unwrap_or(u32::MAX);
        let request =
            SyncRequest { incarnation: self.incarnation, after: self.after, reached, wait_ms };
        let mut extension = Extension::new().with(Field::FetchesApart, &true);
        if let Some(reached) = evacuations {
            extension = extension.with(Field::EvacuationsReached, &reached);
        }
        let (response, fields) = self.exchange(&request, &extension, wait, is_receiving).await?;
        self.incarnation = response.incarnation;
        let evacuations = fields.get::<Update>(Field::Evacuations).map_err(malformed)?;
        // Another kind in this field would be applied without its place in the relay's changes.
        let evacuations = evacuations.filter(|update| update.kind == Kind::Evacuation);
        let holding = fields.get(Field::Holding).map_err(malformed)?;
        let is_omitted = fields.get(Field::Omitted).map_err(malformed)?.unwrap_or(false);
        Ok((response, Remarks { evacuations, holding, is_omitted }))
    }

    /// Requests the configuration, given the digest of the one that this host has; returns the age of the
    /// relay's copy as well. `None` if the relay has no configuration.
    pub(super) async fn fetch(
        &mut self,
        base: Option<Digest>,
    ) -> io::Result<Option<(Package, Duration)>> {
        let request = SyncRequest {
            incarnation: self.incarnation,
            after: 0,
            reached: Positions::default(),
            wait_ms: 0,
        };
        let extension = Extension::new().with(Field::Base, &base);
        let is_receiving = AtomicBool::new(false);
        let (response, fields) =
            self.exchange(&request, &extension, PACKING_TIME, &is_receiving).await?;
        let package = fields.get::<Package>(Field::Package).map_err(malformed)?;
        Ok(package.map(|package| (package, Duration::from_millis(response.age_ms))))
    }

    async fn exchange(
        &mut self,
        request: &SyncRequest,
        extension: &Extension,
        wait: Duration,
        is_receiving: &AtomicBool,
    ) -> io::Result<(SyncResponse, Extension)> {
        self.received = (0, None);
        write(&mut self.stream, &message::encode(request, extension)).await?;
        let length = read_length(&mut self.stream, MAX_RESPONSE);
        let length = tokio::time::timeout(wait + RESPONSE_SLACK, length).await??;
        self.received.1 = Some(length);
        is_receiving.store(true, Ordering::Relaxed);
        let bytes = self.receive(length).await;
        is_receiving.store(false, Ordering::Relaxed);
        message::decode(&bytes?).map_err(malformed)
    }

    /// Returns how many bytes of the latest response have been received, and its length as far as known.
    pub(super) fn received(&self) -> (usize, Option<usize>) {
        self.received
    }

    async fn receive(&mut self, length: usize) -> io::Result<Vec<u8>> {
        let mut bytes = vec![0; length];
        while self.received.0 < length {
            let read = self.stream.read(&mut bytes[self.received.0..]);
            let count = tokio::time::timeout(STALL_TIMEOUT, read).await??;
            if count == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
            self.received.0 += count;
        }
        Ok(bytes)
    }

    /// Records that the copy has all changes up to `number`; after 0, the next poll requests all
    /// objects.
    pub(super) fn acknowledge(&mut self, number: u64) {
        self.after = number;
    }
}

async fn write(stream: &mut TcpStream, bytes: &[u8]) -> io::Result<()> {
    let length = u32::try_from(bytes.len()).map_err(|_| io::ErrorKind::InvalidData)?;
    let mut frame = Vec::with_capacity(bytes.len() + 4);
    frame.extend_from_slice(&length.to_be_bytes());
    frame.extend_from_slice(bytes);
    stream.write_all(&frame).await
}

async fn read(stream: &mut TcpStream, max_length: u32) -> io::Result<Vec<u8>> {
    let mut bytes = vec![0; read_length(stream, max_length).await?];
    stream.read_exact(&mut bytes).await?;
    Ok(bytes)
}

async fn read_length(stream: &mut TcpStream, max_length: u32) -> io::Result<usize> {
    let length = stream.read_u32().await?;
    if length > max_length {
        return Err(io::ErrorKind::InvalidData.into());
    }
    Ok(length as usize)
}

/// Returns whether a connection failed as a message could not be read.
pub(super) fn is_malformed(error: &io::Error) -> bool {
    error.kind() == io::ErrorKind::InvalidData
}

fn malformed(reason: smol_str::SmolStr) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, reason.as_str())
}

#[cfg(test)]
mod tests;
