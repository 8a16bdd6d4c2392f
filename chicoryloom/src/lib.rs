//! The entry host of chicoryloom: proxy, locator, peer protocol and administration.
//!
//! All hosts have the same role. Actors own the control state; the request path reads immutable
//! snapshots of it and never waits for an actor.

pub mod clock;
pub mod config;
pub mod gateway;
pub mod host;
pub mod logging;

pub(crate) mod admin;
pub(crate) mod control;
pub(crate) mod grant;
pub(crate) mod locator;
pub(crate) mod metrics;
pub(crate) mod peer;
pub(crate) mod proxy;
pub(crate) mod queue;
pub(crate) mod refusals;
pub(crate) mod run;
pub(crate) mod store;
pub(crate) mod target;

pub use host::Host;
