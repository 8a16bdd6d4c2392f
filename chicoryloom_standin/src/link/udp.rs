//! UDP ports of a link.

use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;

use tokio::net::UdpSocket;

use super::rules::Direction;
use super::rules::Port;
use super::rules::State;

/// Largest datagram that a port receives.
const MAX_DATAGRAM_BYTES: usize = 65_536;

/// Opens a UDP port and returns its address.
pub(super) async fn open(port: Port, state: Arc<State>) -> io::Result<SocketAddr> {
    let socket = Arc::new(UdpSocket::bind(port.listen).await?);
    let listen = socket.local_addr()?;
    tokio::spawn(forward_to_upstream(socket, port.upstream, state));
    Ok(listen)
}

/// Forwards datagrams to the upstream, through a separate socket for each client.
async fn forward_to_upstream(socket: Arc<UdpSocket>, upstream: SocketAddr, state: Arc<State>) {
    let mut clients: HashMap<SocketAddr, Arc<UdpSocket>> = HashMap::new();
    let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
    loop {
        let Ok((length, client)) = socket.recv_from(&mut buffer).await else {
            continue;
        };
        let upstream_socket = match clients.get(&client) {
            Some(upstream_socket) => upstream_socket.clone(),
            None => {
                let Ok(upstream_socket) = connect(upstream).await.map(Arc::new) else {
                    continue;
                };
                let reply_session = Session { client, upstream, state: state.clone() };
                tokio::spawn(forward_to_client(
                    upstream_socket.clone(),
                    socket.clone(),
                    reply_session,
                ));
                clients.insert(client, upstream_socket.clone());
                upstream_socket
            }
        };
        let session = Session { client, upstream, state: state.clone() };
        session.send(Direction::ToUpstream, buffer[..length].to_vec(), move |bytes| {
            let upstream_socket = upstream_socket.clone();
            // A datagram that can't be sent counts as lost.
            async move { upstream_socket.send(&bytes).await.map_or((), |_| ()) }
        });
    }
}

async fn connect(upstream: SocketAddr) -> io::Result<UdpSocket> {
    let any = match upstream {
        SocketAddr::V4(_) => SocketAddr::from(([0, 0, 0, 0], 0)),
        SocketAddr::V6(_) => SocketAddr::from(([0; 16], 0)),
    };
    let socket = UdpSocket::bind(any).await?;
    socket.connect(upstream).await?;
    Ok(socket)
}

/// Forwards datagrams from the upstream back to one client.
async fn forward_to_client(
    upstream_socket: Arc<UdpSocket>,
    socket: Arc<UdpSocket>,
    session: Session,
) {
    let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
    loop {
        let Ok(length) = upstream_socket.recv(&mut buffer).await else {
            continue;
        };
        let socket = socket.clone();
        let client = session.client;
        session.send(Direction::ToClient, buffer[..length].to_vec(), move |bytes| {
            let socket = socket.clone();
            async move { socket.send_to(&bytes, client).await.map_or((), |_| ()) }
        });
    }
}

/// The datagrams between one client and its upstream.
struct Session {
    client: SocketAddr,
    upstream: SocketAddr,
    state: Arc<State>,
}

impl Session {
    /// Sends as many copies of a datagram as the fault of its direction allows, after its delay.
    fn send<F, S>(&self, direction: Direction, bytes: Vec<u8>, send: S)
    where
        S: Fn(Vec<u8>) -> F + Send + 'static,
        F: Future<Output = ()> + Send,
    {
        let fault = self.state.fault(self.client.ip(), self.upstream, direction);
        let copies = fault.copies();
        if copies == 0 {
            return;
        }
        tokio::spawn(async move {
            tokio::time::sleep(fault.delay()).await;
            for _ in 0..copies {
                send(bytes.clone()).await;
            }
        });
    }
}
