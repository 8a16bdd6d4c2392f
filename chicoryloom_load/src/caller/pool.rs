//! Open connections of one caller.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::sync::Mutex;

/// Longest time to make a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);
/// Idle connections kept to one host.
const MAX_IDLE: usize = 16;

/// A connection that takes one request at a time.
pub(crate) type Sender = http1::SendRequest<Full<Bytes>>;

/// Idle connections by host.
#[derive(Debug, Default)]
pub(crate) struct Pool {
    idle: Mutex<HashMap<SocketAddr, Vec<Sender>>>,
}

impl Pool {
    /// Returns an open connection, an idle one first, or `None` if none can be made.
    pub(crate) async fn take(&self, address: SocketAddr) -> Option<Sender> {
        while let Some(sender) = self.pop(address).await {
            if sender.is_ready() {
                return Some(sender);
            }
        }
        tokio::time::timeout(CONNECT_TIMEOUT, connect(address)).await.ok()?
    }

    async fn pop(&self, address: SocketAddr) -> Option<Sender> {
        self.idle.lock().await.get_mut(&address)?.pop()
    }

    /// Keeps a connection for later if it is still open once its answer is read.
    pub(crate) async fn put(&self, address: SocketAddr, mut sender: Sender) {
        if sender.ready().await.is_err() {
            return;
        }
        let mut idle = self.idle.lock().await;
        let senders = idle.entry(address).or_default();
        if senders.len() < MAX_IDLE {
            senders.push(sender);
        }
    }
}

async fn connect(address: SocketAddr) -> Option<Sender> {
    let stream = TcpStream::connect(address).await.ok()?;
    stream.set_nodelay(true).ok()?;
    let (sender, connection) = http1::handshake(TokioIo::new(stream)).await.ok()?;
    tokio::spawn(connection);
    Some(sender)
}
