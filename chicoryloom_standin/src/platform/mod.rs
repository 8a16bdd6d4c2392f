//! An in-memory implementation of the platform's object API.

mod api;
mod state;

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;

use tokio::net::TcpListener;
use tokio::task::JoinHandle;

pub use state::Counts;
pub use state::Switches;

use state::State;

/// A running platform; it stops when dropped.
#[derive(Debug)]
pub struct Platform {
    address: SocketAddr,
    task: JoinHandle<()>,
}

impl Platform {
    /// Starts a platform on `address`; port 0 picks a free port.
    pub async fn start(address: SocketAddr) -> io::Result<Self> {
        let listener = TcpListener::bind(address).await?;
        let address = listener.local_addr()?;
        let state = Arc::new(State::default());
        let task = tokio::spawn(warp::serve(api::routes(state)).incoming(listener).run());
        Ok(Self { address, task })
    }

    /// Returns the address that the platform listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }
}

impl Drop for Platform {
    fn drop(&mut self) {
        self.task.abort();
    }
}
