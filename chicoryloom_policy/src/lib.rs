//! Every decision of chicoryloom as plain code.
//!
//! Nothing here does I/O, reads a clock or draws random numbers of its own: time comes in as a
//! [`Moment`], randomness as a generator. The same inputs give the same decisions, so property
//! tests can drive every module.

pub mod account;
pub mod allowance;
pub mod catalog;
pub mod dispatch;
pub mod document;
pub mod entry;
pub mod freshness;
pub mod gray;
pub mod health;
pub mod holdback;
pub mod id;
pub mod ledger;
pub mod limit;
pub mod moment;
pub mod pick;
pub mod placement;
pub mod queue;
pub mod replay;
pub mod replica;
pub mod retry;
pub mod roster;
pub mod run;
pub mod split;
pub mod unit;

pub use moment::Moment;
