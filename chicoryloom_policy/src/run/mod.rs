//! Run keys: which numbered requests of a caller have run.
//!
//! One incarnation of a host issues a series and is the only one that ever runs its numbers, so
//! nothing has to be agreed. A number runs at most once: what the issuer has forgotten counts as
//! run. Completed numbers are kept as a prefix and a set beyond it, as in "Kafka Offset Commits
//! with Parallel Workers: Track the Completed Prefix", with one change: numbers that callers
//! skip don't hold the prefix back for ever, since the set is bounded and pushes it on.

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
