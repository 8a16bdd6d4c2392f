//! Replication of the platform's objects from one host to another.
//!
//! A follower asks its relay for the changes since its last request, and the relay holds the
//! response until there is a change or the wait is over. Requests and responses are encoded with
//! postcard, after their length in four bytes, big-endian.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

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

/// Longest time that a relay holds a response.
const MAX_WAIT: Duration = Duration::from_secs(5);
/// Largest request of a follower, in bytes.
const MAX_REQUEST: u32 = 1024;
/// Time without a request after which a follower's connection is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(10);
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
            if let Err(error) = serve_follower(stream, incarnation, &mirror).await {
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
    mirror: &Mirror,
) -> io::Result<()> {
    stream.set_nodelay(true)?;
    loop {
        let received = read(&mut stream, MAX_REQUEST);
        let Ok(received) = tokio::time::timeout(IDLE_TIMEOUT, received).await else {
            return Ok(());
        };
        let (request, fields): (SyncRequest, _) = message::decode(&received?).map_err(malformed)?;
        let evacuations = fields.get::<Position>(Field::EvacuationsReached).map_err(malformed)?;
        let after = if request.incarnation == incarnation { request.after } else { 0 };
        let wait = Duration::from_millis(request.wait_ms.into()).min(MAX_WAIT);
        if after > 0 {
            mirror.wait_for_update(after, wait).await;
        }
        let (latest, updates) = mirror.after(after, request.reached);
        let age_ms = u64::try_from(mirror.age().as_millis()).unwrap_or(u64::MAX);
        let response = SyncResponse { incarnation, latest, age_ms, updates };
        let mut extension = Extension::new();
        if let Some(update) = evacuations.and_then(|reached| mirror.evacuations_after(reached)) {
            extension = extension.with(Field::Evacuations, &update);
        }
        write(&mut stream, &message::encode(&response, &extension)).await?;
    }
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

    /// Requests the changes since the acknowledged one; the relay may wait for one for `wait`. A
    /// response has no evacuations if they aren't asked for, or the relay doesn't know them.
    pub(super) async fn poll(
        &mut self,
        reached: Positions,
        evacuations: Option<Position>,
        wait: Duration,
    ) -> io::Result<(SyncResponse, Option<Update>)> {
        let wait_ms = u32::try_from(wait.as_millis()).unwrap_or(u32::MAX);
        let request =
            SyncRequest { incarnation: self.incarnation, after: self.after, reached, wait_ms };
        let mut extension = Extension::new();
        if let Some(reached) = evacuations {
            extension = extension.with(Field::EvacuationsReached, &reached);
        }
        write(&mut self.stream, &message::encode(&request, &extension)).await?;
        let bytes = self.read_response().await?;
        let (response, fields): (SyncResponse, _) = message::decode(&bytes).map_err(malformed)?;
        self.incarnation = response.incarnation;
        let evacuations = fields.get::<Update>(Field::Evacuations).map_err(malformed)?;
        // Another kind in this field would be applied without its place in the relay's changes.
        Ok((response, evacuations.filter(|update| update.kind == Kind::Evacuation)))
    }

    /// Returns how many bytes of the latest response have been received, and its length as far as known.
    pub(super) fn received(&self) -> (usize, Option<usize>) {
        self.received
    }

    async fn read_response(&mut self) -> io::Result<Vec<u8>> {
        self.received = (0, None);
        let length = read_length(&mut self.stream, MAX_RESPONSE).await?;
        self.received.1 = Some(length);
        let mut bytes = vec![0; length];
        while self.received.0 < length {
            let count = self.stream.read(&mut bytes[self.received.0..]).await?;
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
