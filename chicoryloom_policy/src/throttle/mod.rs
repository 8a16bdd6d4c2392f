//! Limits that targets in need name on the requests that they take from all hosts together.
//!
//! [`Limits`] is what a host knows of them. One host is responsible for each target and gives out
//! permits for what its limit allows ([`Issuer`]); the others ask for them ([`Permits`]). No request
//! goes to a target with a limit without a permit.

mod issuer;
mod limits;
mod permits;
mod silence;

use std::fmt;
use std::str::FromStr;
use std::time::Duration;

pub use issuer::Grant;
pub use issuer::Issuer;
pub use limits::Change;
pub use limits::Limits;
pub use permits::Permits;
use serde::Deserialize;
use serde::Serialize;
pub use silence::Ration;
pub use silence::Silence;

/// Largest limit; a target that names a higher one is not in need.
const MAX_LIMIT: f64 = 1e6;

/// Requests per second that a target takes from all hosts together; from 0 to [`MAX_LIMIT`].
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd, Deserialize, Serialize)]
pub struct Limit(f64);

impl Limit {
    /// Returns the requests per second.
    pub const fn per_second(self) -> f64 {
        self.0
    }
}

impl TryFrom<f64> for Limit {
    type Error = InvalidLimit;

    /// A higher limit than [`MAX_LIMIT`] is lowered.
    fn try_from(per_second: f64) -> Result<Self, InvalidLimit> {
        if !per_second.is_finite() {
            return Err(InvalidLimit::NotANumber);
        }
        if per_second < 0.0 {
            return Err(InvalidLimit::Negative);
        }
        Ok(Self(per_second.min(MAX_LIMIT)))
    }
}

impl fmt::Display for Limit {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/s", self.0)
    }
}

impl FromStr for Limit {
    type Err = InvalidLimit;

    /// Parses requests per second, which may have a fraction.
    fn from_str(text: &str) -> Result<Self, InvalidLimit> {
        let number = text.trim().trim_end_matches("/s");
        number.parse::<f64>().map_err(|_| InvalidLimit::NotANumber)?.try_into()
    }
}

/// Returns the shortest time in which targets with these limits take `ahead` requests, or zero if one
/// of the targets (`None`) takes any number.
///
/// Answers the load of more requests than a service's limits allow: those whose turn can't come before
/// their deadline are refused at once.
pub fn min_wait(limits: impl Iterator<Item = Option<Limit>>, ahead: usize) -> Duration {
    let limits: Option<Vec<f64>> = limits.map(|limit| limit.map(Limit::per_second)).collect();
    let Some(limits) = limits.filter(|limits| ahead > 0 && !limits.is_empty()) else {
        return Duration::ZERO;
    };
    let total: f64 = limits.iter().sum();
    Duration::try_from_secs_f64(ahead as f64 / total).unwrap_or(Duration::MAX)
}

/// Why a text is no limit.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum InvalidLimit {
    NotANumber,
    Negative,
}

impl fmt::Display for InvalidLimit {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::NotANumber => "not a number",
            Self::Negative => "negative",
        })
    }
}

impl std::error::Error for InvalidLimit {}
