//! Run keys: numbered requests of a caller that run at most once.
//!
//! One incarnation of a host issues a series and is the only one that ever runs its numbers, so
//! hosts need no agreement. A number runs at most once: one whose state the issuer no longer
//! holds counts as run. Completed numbers are kept as a prefix and a set beyond it, as in "Kafka
//! Offset Commits with Parallel Workers: Track the Completed Prefix", with one change: numbers
//! that callers skip can't hold the prefix back for ever, since the set is bounded and the prefix
//! moves past a skipped number once the set is full.

mod completed;
mod key;
mod registry;

pub use completed::Completed;
pub use completed::MAX_BEYOND;
pub use key::FIRST_NUMBER;
pub use key::Fingerprint;
pub use key::InvalidKey;
pub use key::Key;
pub use key::Series;
pub use registry::MAX_IN_FLIGHT_PER_SERIES;
pub use registry::MAX_OUTCOME_BYTES;
pub use registry::MAX_SERIES_PER_WORKSPACE;
pub use registry::MAX_WORKSPACE_OUTCOME_BYTES;
pub use registry::Registry;
pub use registry::SERIES_IDLE_TIMEOUT;
pub use registry::Verdict;
