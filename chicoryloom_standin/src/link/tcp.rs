//! TCP ports of a link.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tokio::io::AsyncRead;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWrite;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::time::Instant;

use super::rules::Direction;
use super::rules::Port;
use super::rules::State;

/// Size of the buffer for one read.
const READ_BUFFER_BYTES: usize = 16 * 1024;
/// Chunks that one direction buffers between reading and writing.
const MAX_QUEUED_CHUNKS: usize = 64;
/// How often the rules are checked again, for a cut direction and for a reset.
const RULE_POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Opens a TCP port and returns its address.
pub(super) async fn open(port: Port, state: Arc<State>) -> io::Result<SocketAddr> {
    let listener = TcpListener::bind(port.listen).await?;
    let listen = listener.local_addr()?;
    tokio::spawn(accept(listener, port.upstream, state));
    Ok(listen)
}

async fn accept(listener: TcpListener, upstream: SocketAddr, state: Arc<State>) {
    loop {
        let Ok((client, peer)) = listener.accept().await else {
            continue;
        };
        let connection = Connection { client: peer, upstream, state: state.clone() };
        tokio::spawn(async move {
            // An I/O error closes both directions, and there is nowhere to report it.
            let _ = connection.forward(client).await;
        });
    }
}

/// A client connection that is proxied to an upstream.
struct Connection {
    client: SocketAddr,
    upstream: SocketAddr,
    state: Arc<State>,
}

impl Connection {
    async fn forward(self, client: TcpStream) -> io::Result<()> {
        if self.is_reset() {
            return Ok(());
        }
        client.set_nodelay(true)?;
        let upstream = TcpStream::connect(self.upstream).await?;
        upstream.set_nodelay(true)?;
        let (client_read, client_write) = client.into_split();
        let (upstream_read, upstream_write) = upstream.into_split();
        tokio::select! {
            result = async { tokio::try_join!(
                self.relay(client_read, upstream_write, Direction::ToUpstream),
                self.relay(upstream_read, client_write, Direction::ToClient),
            ) } => result.map(|_| ()),
            () = self.wait_for_reset() => Ok(()),
        }
    }

    fn is_reset(&self) -> bool {
        let directions = [Direction::ToUpstream, Direction::ToClient];
        directions
            .iter()
            .any(|direction| self.state.fault(self.client.ip(), self.upstream, *direction).reset)
    }

    async fn wait_for_reset(&self) {
        while !self.is_reset() {
            tokio::time::sleep(RULE_POLL_INTERVAL).await;
        }
    }

    /// Forwards one direction until the end of the stream.
    async fn relay<R, W>(&self, mut from: R, to: W, direction: Direction) -> io::Result<()>
    where
        R: AsyncRead + Unpin,
        W: AsyncWrite + Unpin,
    {
        let (sender, receiver) = mpsc::channel(MAX_QUEUED_CHUNKS);
        let read = async move {
            loop {
                let mut chunk = vec![0; READ_BUFFER_BYTES];
                let length = from.read(&mut chunk).await?;
                chunk.truncate(length);
                let last = chunk.is_empty();
                if sender.send((Instant::now(), chunk)).await.is_err() || last {
                    return Ok::<_, io::Error>(());
                }
            }
        };
        tokio::try_join!(read, self.write(receiver, to, direction)).map(|_| ())
    }

    async fn write<W>(
        &self,
        mut chunks: mpsc::Receiver<(Instant, Vec<u8>)>,
        mut to: W,
        direction: Direction,
    ) -> io::Result<()>
    where
        W: AsyncWrite + Unpin,
    {
        while let Some((arrived, chunk)) = chunks.recv().await {
            self.wait_out_fault(arrived, direction).await;
            if chunk.is_empty() {
                return to.shutdown().await;
            }
            to.write_all(&chunk).await?;
        }
        Ok(())
    }

    /// Waits until the direction is not cut and the delay of the chunk has passed.
    async fn wait_out_fault(&self, arrived: Instant, direction: Direction) {
        loop {
            let fault = self.state.fault(self.client.ip(), self.upstream, direction);
            if !fault.cut {
                tokio::time::sleep_until(arrived + fault.delay()).await;
                return;
            }
            tokio::time::sleep(RULE_POLL_INTERVAL).await;
        }
    }
}
