//! Detection, ejection and return of gray targets: those that fail or slow down.
//!
//! A [`Detector`] holds what one home host knows of one service's targets: its own evidence by
//! target and route, and the reports of the other home hosts. Outcomes update two one-sided
//! sequential tests (CUSUM on log-likelihood ratios), one on failures and one on slowness. Both
//! compare a target with the service's other targets. An unhealthy target is ejected, wholly or
//! for one route, as far as the floor allows: a minimum of capacity that must stay in use. It
//! returns through single trial requests, which are real requests of callers, and a slow start.

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

/// Score at which a target counts as unhealthy, as a natural log-likelihood ratio.
pub const UNHEALTHY_SCORE: f64 = 14.0;
/// Largest score of each test, so that old evidence does not keep out a recovered target.
const MAX_SCORE: f64 = 2.0 * UNHEALTHY_SCORE;
/// Score below which other home hosts are sent no report.
const MIN_REPORTED_SCORE: f64 = 2.0;
/// Largest score that one other home host contributes. Two of them stay below
/// [`UNHEALTHY_SCORE`], so they can't eject a target without this host's own evidence.
const MAX_PEER_SCORE: f64 = 0.4 * UNHEALTHY_SCORE;
