//! Runs whole fleets as real processes, for tests and experiments.
//!
//! A fleet is a platform stand-in, a link stand-in between all processes, targets and entry
//! hosts. Every address is a free one, so fleets can run side by side.

mod fleet;
mod process;
mod usage;
mod wait;

pub use fleet::Fleet;
pub use fleet::Granted;
pub use fleet::HostNode;
pub use fleet::Listing;
pub use fleet::Plan;
pub use fleet::TargetNode;
pub use process::Error;
pub use process::Process;
pub use usage::Usage;
pub use wait::until;
