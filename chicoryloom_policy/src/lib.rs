//! The decisions of chicoryloom as pure code.
//!
//! Nothing here does I/O, reads a clock or owns a source of randomness: callers pass the time as
//! a [`Moment`], and a random number generator. The same inputs give the same decisions, so
//! property tests can drive every module.

pub mod account;
pub mod admission;
pub mod allowance;
pub mod balance;
pub mod catalog;
pub mod dispatch;
pub mod document;
pub mod entry;
pub mod evacuation;
pub mod freshness;
pub mod gray;
pub mod health;
pub mod holdback;
pub mod id;
pub mod inflight;
pub mod ledger;
pub mod limit;
pub mod loss;
pub mod moment;
pub mod outage;
mod pace;
pub mod pick;
pub mod placement;
pub mod position;
pub mod queue;
pub mod reach;
pub mod replay;
pub mod replica;
pub mod resumption;
pub mod retry;
pub mod rollout;
pub mod roster;
pub mod run;
pub mod share;
pub mod split;
pub mod stop;
pub mod suspicion;
pub mod tail;
pub mod takeover;
pub mod throttle;
pub mod unit;
pub mod waiting;
pub mod warming;
pub mod withdrawal;

pub use moment::Moment;
