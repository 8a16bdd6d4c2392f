//! Messages and settings of chicoryloom: generated wire types and their checked counterparts.
//!
//! The types under [`generated`] come from the schemas in `schema/`; `chicoryloom_schema` keeps
//! them current. The other modules convert them to and from checked types.

pub mod caller;
pub mod document;
pub mod frame;
pub mod generated;
pub mod header;
pub mod key;
pub mod ledger;
pub mod platform;
pub mod yaml;
