//! Load, experiments and their judges.
//!
//! A scenario starts a fleet of real processes, lets requests arrive open-loop, brings faults
//! about, and judges the run from the targets' journals and the callers' own records.

mod arrival;
mod bench;
mod caller;
mod driver;
mod error;
mod event;
mod measure;
mod report;
mod run;
mod sample;
mod scenario;
mod stage;
mod verdict;

pub use bench::Hop;
pub use bench::Part;
pub use bench::Slopes;
pub use bench::hop;
pub use bench::slopes;
pub use error::Error;
pub use report::write;
pub use run::Result as RunResult;
pub use run::run;
pub use scenario::Scenario;
