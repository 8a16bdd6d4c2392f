//! The administration API.

mod access;
mod audit;
mod change;
mod document;
mod histogram;
mod key;
mod response;
mod show;

use std::convert::Infallible;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;

use tokio::net::TcpListener;
use tokio::task::JoinHandle;
use warp::Filter;
use warp::Reply;
use warp::filters::BoxedFilter;
use warp::reply::Response;

use crate::clock::Clock;
use crate::config;
use crate::control::Published;
use crate::metrics::Metrics;
use crate::proxy::Proxy;
use crate::store::Store;

/// Shared state of the administration API.
#[derive(Debug)]
pub(crate) struct Admin {
    pub(crate) settings: config::admin::Admin,
    pub(crate) clock: Arc<dyn Clock>,
    pub(crate) published: Arc<Published>,
    pub(crate) store: Arc<dyn Store>,
    pub(crate) metrics: Arc<Metrics>,
    pub(crate) proxy: Arc<Proxy>,
}

/// Starts the administration API and returns its address and its task.
pub(crate) async fn start(
    address: SocketAddr,
    admin: Arc<Admin>,
) -> io::Result<(SocketAddr, JoinHandle<()>)> {
    let listener = TcpListener::bind(address).await?;
    let address = listener.local_addr()?;
    let task = tokio::spawn(warp::serve(routes(admin)).incoming(listener).run());
    Ok((address, task))
}

/// A route whose response is complete, also if the call failed.
type Route = BoxedFilter<(Response,)>;

/// Returns the routes of the administration API.
fn routes(admin: Arc<Admin>) -> BoxedFilter<(impl Reply,)> {
    let admin = warp::any().map(move || admin.clone()).boxed();
    let routes =
        document::routes(&admin).or(key::routes(&admin)).unify().or(show::routes(&admin)).unify();
    routes.recover(recover).unify().boxed()
}

async fn recover(rejection: warp::Rejection) -> Result<Response, Infallible> {
    Ok(response::rejection_response(&rejection))
}
