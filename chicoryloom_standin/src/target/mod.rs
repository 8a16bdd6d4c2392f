//! A target with a limited number of slots and connections, and with injected gray faults.

mod control;
mod health;
mod journal;
mod server;
mod slot;
mod switches;
mod work;

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;

use tokio::net::TcpListener;
use tokio::task::JoinHandle;

pub use journal::Counts;
pub use journal::Outcome;
pub use journal::Run;
pub use switches::Health;
pub use switches::Load;
pub use switches::Switches;

/// A running target; it stops when dropped.
#[derive(Debug)]
pub struct Target {
    address: SocketAddr,
    control: SocketAddr,
    tasks: [JoinHandle<()>; 2],
}

impl Target {
    /// Starts a target on `address`, with its control API on `control`; port 0 picks a free port.
    pub async fn start(
        address: SocketAddr,
        control: SocketAddr,
        switches: Switches,
    ) -> io::Result<Self> {
        let listener = TcpListener::bind(address).await?;
        let control_listener = TcpListener::bind(control).await?;
        let address = listener.local_addr()?;
        let control = control_listener.local_addr()?;
        let state = Arc::new(server::State::new(switches));
        let routes = control::routes(state.clone());
        let tasks = [
            tokio::spawn(server::run(listener, state)),
            tokio::spawn(warp::serve(routes).incoming(control_listener).run()),
        ];
        Ok(Self { address, control, tasks })
    }

    /// Returns the address that accepts requests.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the address of the control API.
    pub fn control(&self) -> SocketAddr {
        self.control
    }
}

impl Drop for Target {
    fn drop(&mut self) {
        for task in &self.tasks {
            task.abort();
        }
    }
}
