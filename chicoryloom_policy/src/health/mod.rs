//! Detection, ejection and return of gray targets.
//!
//! A [`Detector`] holds what one home host knows of one service's targets: its own evidence by
//! target and route, and what the other home hosts report. Each outcome moves two one-sided
//! sequential tests (CUSUM on log-likelihood ratios), one on failures and one on slowness, both
//! against the service's other targets. A target that is found sick is ejected, wholly or for a
//! route, as far as the floor allows, and comes back by a trickle of real requests and a slow
//! start.

mod candidate;
mod detector;
mod evidence;

mod entry;
mod explain;
mod floor;
mod gate;
mod outcome;
mod peers;
mod reference;

pub use detector::Detector;
pub use entry::Tally;
pub use evidence::Detection;
pub use evidence::Score;
pub use explain::Explanation;
pub use gate::Standing;
pub use outcome::Failed;
pub use outcome::Outcome;
pub use peers::Report;
pub use peers::Reports;

/// Evidence at which a target counts as sick, in natural log units.
pub const UNHEALTHY_SCORE: f64 = 14.0;
/// Most evidence that a cell holds, so that a recovered target is not held back by its past.
const MAX_SCORE: f64 = 2.0 * UNHEALTHY_SCORE;
/// Evidence below which nothing is reported.
const MIN_REPORTED_SCORE: f64 = 2.0;
/// Most evidence that one other home host adds; two of them can't eject without own evidence.
const MAX_PEER_SCORE: f64 = 0.4 * UNHEALTHY_SCORE;
