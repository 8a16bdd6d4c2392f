//! A fault-injecting proxy for TCP and UDP, each direction on its own.

mod control;
mod rules;
mod tcp;
mod udp;

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;

use tokio::net::TcpListener;
use tokio::task::JoinHandle;

pub use rules::Fault;
pub use rules::Port;
pub use rules::Protocol;
pub use rules::Rule;

/// A running link; it stops when dropped.
#[derive(Debug)]
pub struct Link {
    control: SocketAddr,
    task: JoinHandle<()>,
}

impl Link {
    /// Starts a link without ports, its switches on `control`; port 0 takes a free one.
    pub async fn start(control: SocketAddr) -> io::Result<Self> {
        let listener = TcpListener::bind(control).await?;
        let control = listener.local_addr()?;
        let state = Arc::new(rules::State::default());
        let task = tokio::spawn(warp::serve(control::routes(state)).incoming(listener).run());
        Ok(Self { control, task })
    }

    /// Returns the address of the switches.
    pub fn control(&self) -> SocketAddr {
        self.control
    }
}

impl Drop for Link {
    fn drop(&mut self) {
        self.task.abort();
    }
}
