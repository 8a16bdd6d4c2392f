//! The administration API.

mod api;
mod change;

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;

use chicoryloom_policy::id;
use tokio::net::TcpListener;
use tokio::task::JoinHandle;

use crate::clock::Clock;
use crate::config;
use crate::control::Published;
use crate::metrics::Metrics;
use crate::store::Store;

/// Everything that the administration API uses.
#[derive(Debug)]
pub(crate) struct Admin {
    pub(crate) name: id::Host,
    pub(crate) settings: config::admin::Admin,
    pub(crate) clock: Arc<dyn Clock>,
    pub(crate) published: Arc<Published>,
    pub(crate) store: Arc<dyn Store>,
    pub(crate) metrics: Arc<Metrics>,
}

/// Starts the administration API and returns its address.
pub(crate) async fn start(
    address: SocketAddr,
    admin: Arc<Admin>,
) -> io::Result<(SocketAddr, JoinHandle<()>)> {
    let listener = TcpListener::bind(address).await?;
    let address = listener.local_addr()?;
    let task = tokio::spawn(warp::serve(api::routes(admin)).incoming(listener).run());
    Ok((address, task))
}
