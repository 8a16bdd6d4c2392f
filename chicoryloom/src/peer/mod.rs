//! Frames between hosts over UDP.

use std::fmt;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use chicoryloom_policy::id;
use chicoryloom_wire::frame;
use chicoryloom_wire::frame::Body;
use chicoryloom_wire::frame::Frame;
use chicoryloom_wire::frame::Secret;
use tokio::net::UdpSocket;

use crate::metrics::Metrics;

/// Sends frames to peers.
#[derive(Clone)]
pub(crate) struct Sender {
    socket: Arc<UdpSocket>,
    secret: Secret,
    name: id::Host,
    incarnation: id::Incarnation,
    sequence: Arc<AtomicU64>,
    metrics: Arc<Metrics>,
}

impl fmt::Debug for Sender {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "Sender {{ {} {} }}", self.name, self.incarnation)
    }
}

impl Sender {
    pub(crate) fn new(
        socket: Arc<UdpSocket>,
        secret: Secret,
        name: id::Host,
        incarnation: id::Incarnation,
        metrics: Arc<Metrics>,
    ) -> Self {
        Self { socket, secret, name, incarnation, sequence: Arc::default(), metrics }
    }

    /// Sends one frame; a frame that can't be sent is a lost one.
    pub(crate) async fn send(&self, peer: SocketAddr, body: Body) {
        let frame = Frame {
            sender: self.name.clone(),
            incarnation: self.incarnation,
            sequence: self.sequence.fetch_add(1, Ordering::Relaxed) + 1,
            body,
        };
        match frame::encode(&frame, &self.secret) {
            Ok(bytes) => self.send_bytes(peer, &bytes).await,
            Err(error) => log::error!("peer: a frame can't be encoded: {error}"),
        }
    }

    async fn send_bytes(&self, peer: SocketAddr, bytes: &[u8]) {
        match self.socket.send_to(bytes, peer).await {
            Ok(sent) => self.metrics.peer_bytes(sent),
            Err(error) => log::debug!("peer: {peer}: send: {error}"),
        }
    }
}

/// Receives frames and hands those that are genuine to `take`, until the task is aborted.
pub(crate) async fn receive<F, S>(
    socket: Arc<UdpSocket>,
    secret: Secret,
    metrics: Arc<Metrics>,
    take: F,
) where
    F: Fn(Frame) -> S,
    S: Future<Output = ()>,
{
    let mut buffer = vec![0; frame::MAX_SIZE + 1];
    loop {
        let length = match socket.recv_from(&mut buffer).await {
            Ok((length, _)) => length,
            Err(error) => {
                log_receive(&error);
                continue;
            }
        };
        match frame::decode(&buffer[..length], &secret) {
            Ok(frame) => take(frame).await,
            Err(error) => metrics.frame_dropped(error),
        }
    }
}

fn log_receive(error: &io::Error) {
    log::debug!("peer: receive: {error}");
}
