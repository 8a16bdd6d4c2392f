//! Every decision of chicoryloom as plain code.
//!
//! Nothing here does I/O, reads a clock or draws random numbers of its own: time comes in as a
//! [`Moment`], randomness as a generator. The same inputs give the same decisions, so property
//! tests can drive every module.

pub mod account;
pub mod document;
pub mod freshness;
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
pub mod retry;
pub mod roster;
pub mod run;
pub mod unit;

pub use moment::Moment;
