//! Objects of the platform, passed on from one host to another.
//!
//! A follower asks its relay what has changed since its last call, and the relay waits for a
//! change for a while. Calls and answers are a length of four bytes and that many of postcard.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use chicoryloom_policy::id;
use chicoryloom_policy::replica::Revisions;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;

use super::message;
use super::message::MAX_RESPONSE;
use super::message::SyncRequest;
use super::message::SyncResponse;
use super::mirror::Mirror;

/// Longest wait that a relay grants.
const MAX_WAIT: Duration = Duration::from_secs(5);
/// Longest call of a follower, in bytes.
const MAX_ASK: u32 = 1024;
/// Time after which a follower's connection without a call is closed.
const IDLE: Duration = Duration::from_secs(10);
/// Pause after a failed accept.
const ACCEPT_PAUSE: Duration = Duration::from_millis(10);

/// Answers followers until the task is aborted.
pub(super) async fn serve(listener: TcpListener, me: id::Incarnation, mirror: Arc<Mirror>) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            tokio::time::sleep(ACCEPT_PAUSE).await;
            continue;
        };
        let mirror = mirror.clone();
        tokio::spawn(async move {
            if let Err(error) = answer(stream, me, &mirror).await {
                log::debug!("relay: a follower's connection ended: {error}");
            }
        });
    }
}

async fn answer(mut stream: TcpStream, me: id::Incarnation, mirror: &Mirror) -> io::Result<()> {
    stream.set_nodelay(true)?;
    loop {
        let call = read(&mut stream, MAX_ASK);
        let Ok(call) = tokio::time::timeout(IDLE, call).await else {
            return Ok(());
        };
        let ask: SyncRequest = message::decode(&call?).map_err(malformed)?;
        let after = if ask.incarnation == me { ask.after } else { 0 };
        let wait = Duration::from_millis(ask.wait_ms.into()).min(MAX_WAIT);
        if after > 0 {
            mirror.wait_for_update(after, wait).await;
        }
        let (latest, updates) = mirror.after(after, ask.reached);
        let age_ms = u64::try_from(mirror.age().as_millis()).unwrap_or(u64::MAX);
        let told = SyncResponse { incarnation: me, latest, age_ms, updates };
        write(&mut stream, &message::encode(&told)).await?;
    }
}

/// A follower's connection to its relay.
#[derive(Debug)]
pub(super) struct Follower {
    pub(super) relay: SocketAddr,
    stream: TcpStream,
    incarnation: id::Incarnation,
    after: u64,
}

impl Follower {
    pub(super) async fn connect(relay: SocketAddr) -> io::Result<Self> {
        let stream = TcpStream::connect(relay).await?;
        stream.set_nodelay(true)?;
        Ok(Self { relay, stream, incarnation: id::Incarnation::default(), after: 0 })
    }

    /// Asks for what has changed since the last call.
    pub(super) async fn poll(
        &mut self,
        reached: Revisions,
        wait: Duration,
    ) -> io::Result<SyncResponse> {
        let wait_ms = u32::try_from(wait.as_millis()).unwrap_or(u32::MAX);
        let ask =
            SyncRequest { incarnation: self.incarnation, after: self.after, reached, wait_ms };
        write(&mut self.stream, &message::encode(&ask)).await?;
        let answer = read(&mut self.stream, MAX_RESPONSE).await?;
        let told: SyncResponse = message::decode(&answer).map_err(malformed)?;
        self.incarnation = told.incarnation;
        Ok(told)
    }

    /// Notes that the copy holds all changes up to a numbered one; 0 asks for all anew.
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

async fn read(stream: &mut TcpStream, most: u32) -> io::Result<Vec<u8>> {
    let length = stream.read_u32().await?;
    if length > most {
        return Err(io::ErrorKind::InvalidData.into());
    }
    let mut bytes = vec![0; length as usize];
    stream.read_exact(&mut bytes).await?;
    Ok(bytes)
}

fn malformed(reason: smol_str::SmolStr) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, reason.as_str())
}
