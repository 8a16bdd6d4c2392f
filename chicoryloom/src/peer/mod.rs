//! Transport between hosts: frames over UDP, pages of objects over TCP.

mod stream;

use std::fmt;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use chicoryloom_policy::id;
use chicoryloom_policy::replay::Guard;
use chicoryloom_policy::replay::Stamp;
use chicoryloom_policy::replay::Verdict;
use chicoryloom_wire::frame;
use chicoryloom_wire::frame::Body;
use chicoryloom_wire::frame::Frame;
use chicoryloom_wire::frame::Secret;
use tokio::net::UdpSocket;

pub(crate) use stream::Puller;
pub(crate) use stream::serve;

use crate::clock::Clock;
use crate::control::Received;
use crate::control::moment;
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

    /// Sends one frame; a frame that can't be sent is logged and counts as lost.
    pub(crate) async fn send(&self, peer: SocketAddr, body: Body) {
        match frame::encode(&self.frame(body), &self.secret) {
            Ok(bytes) => self.send_bytes(peer, &bytes).await,
            Err(error) => log::error!("peer: {peer}: can't encode a frame: {error}"),
        }
    }

    fn frame(&self, body: Body) -> Frame {
        Frame {
            sender: self.name.clone(),
            incarnation: self.incarnation,
            sequence: self.sequence.fetch_add(1, Ordering::Relaxed) + 1,
            body,
        }
    }

    async fn send_bytes(&self, peer: SocketAddr, bytes: &[u8]) {
        match self.socket.send_to(bytes, peer).await {
            Ok(sent) => self.metrics.peer_bytes(sent),
            Err(error) => log::debug!("peer: {peer}: send: {error}"),
        }
    }
}

/// Receives and verifies frames from peers.
pub(crate) struct Receiver {
    pub(crate) socket: Arc<UdpSocket>,
    pub(crate) secret: Secret,
    pub(crate) metrics: Arc<Metrics>,
    pub(crate) clock: Arc<dyn Clock>,
    pub(crate) guard: Guard,
}

impl Receiver {
    /// Passes frames that are authentic and not replayed to `handle`, until the task is aborted.
    pub(crate) async fn receive<F, S>(mut self, handle: F)
    where
        F: Fn(Received) -> S,
        S: Future<Output = ()>,
    {
        let mut buffer = vec![0; frame::MAX_SIZE + 1];
        loop {
            let (length, source) = match self.socket.recv_from(&mut buffer).await {
                Ok(received) => received,
                Err(error) => {
                    log_receive(&error);
                    continue;
                }
            };
            match self.verify(&buffer[..length]) {
                Ok((frame, proven)) => handle(Received { frame, source, proven }).await,
                Err(error) => self.metrics.frame_dropped(error),
            }
        }
    }

    /// Decodes a datagram; returns whether it is proven to come from its sender's current
    /// incarnation.
    ///
    /// Only heartbeats are accepted from an incarnation that is not proven yet.
    fn verify(&mut self, bytes: &[u8]) -> Result<(Frame, bool), frame::Error> {
        let frame = frame::decode(bytes, &self.secret)?;
        let echo = match &frame.body {
            Body::Heartbeat(heartbeat) if heartbeat.echo > 0 => Some(moment(heartbeat.echo)),
            _ => None,
        };
        let stamp = Stamp {
            sender: &frame.sender,
            incarnation: frame.incarnation,
            sequence: frame.sequence,
            echo,
        };
        match self.guard.check(stamp, self.clock.now()) {
            Verdict::Accept => Ok((frame, true)),
            Verdict::Unproven if matches!(frame.body, Body::Heartbeat(_)) => Ok((frame, false)),
            Verdict::Unproven | Verdict::Replay => Err(frame::Error::Replay),
        }
    }
}

fn log_receive(error: &io::Error) {
    log::debug!("peer: receive: {error}");
}
