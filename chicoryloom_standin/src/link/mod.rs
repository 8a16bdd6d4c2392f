//! A fault-injecting proxy for TCP and UDP, with separate faults for each direction.

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
    /// Starts a link without ports, with its control API on `control`; port 0 picks a free port.
    pub async fn start(control: SocketAddr) -> io::Result<Self> {
        let listener = TcpListener::bind(control).await?;
        let control = listener.local_addr()?;
        let state = Arc::new(rules::State::default());
        let task = tokio::spawn(warp::serve(control::routes(state)).incoming(listener).run());
        Ok(Self { control, task })
    }

    /// Returns the address of the control API.
    pub fn control(&self) -> SocketAddr {
        self.control
    }
}

impl Drop for Link {
    fn drop(&mut self) {
        self.task.abort();
    }
}
