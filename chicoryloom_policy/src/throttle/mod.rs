//! Limits that targets in need name on the requests that they take from all hosts together.

mod limits;

use std::fmt;
use std::str::FromStr;

pub use limits::Change;
pub use limits::Limits;
use serde::Deserialize;
use serde::Serialize;

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
