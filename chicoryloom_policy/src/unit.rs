//! Rates, sizes and shares as newtypes.

use std::fmt;
use std::num::ParseIntError;
use std::str::FromStr;

use serde::Deserialize;
use serde::Serialize;

/// Requests per second; finite and not negative.
#[derive(Clone, Copy, Debug, Default, PartialEq, PartialOrd, Deserialize, Serialize)]
pub struct Rate(f64);

impl Rate {
    /// Returns the rate, or `None` unless it is finite and not negative.
    pub fn new(per_second: f64) -> Option<Self> {
        (per_second.is_finite() && per_second >= 0.0).then_some(Self(per_second))
    }

    /// Returns the requests per second.
    pub const fn per_second(self) -> f64 {
        self.0
    }
}

impl fmt::Display for Rate {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/s", self.0)
    }
}

impl FromStr for Rate {
    type Err = InvalidRate;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let per_second = text.trim_end_matches("/s").parse().ok();
        per_second.and_then(Self::new).ok_or(InvalidRate)
    }
}

/// Error for a text that is not a finite rate of 0 or more.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct InvalidRate;

impl fmt::Display for InvalidRate {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("not a finite rate of 0 or more")
    }
}

impl std::error::Error for InvalidRate {}

/// Defines a newtype around a whole number.
macro_rules! count {
    ($(#[$doc:meta])* $type:ident($number:ty)) => {
        $(#[$doc])*
        #[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
        #[derive(Deserialize, Serialize)]
        pub struct $type(pub $number);

        impl fmt::Display for $type {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                self.0.fmt(f)
            }
        }

        impl FromStr for $type {
            type Err = ParseIntError;

            fn from_str(text: &str) -> Result<Self, Self::Err> {
                text.parse().map(Self)
            }
        }
    };
}

count!(
    /// Requests that may arrive at once.
    Burst(u32)
);
count!(
    /// Requests that a target processes at once.
    Slots(u32)
);
count!(
    /// Connections that a target accepts.
    Connections(u32)
);
count!(
    /// Weight of a workspace in the queue for slots.
    Weight(u32)
);
count!(
    /// Rank of a workspace or route; 0 is the most urgent.
    Priority(u64)
);

/// A fraction of a whole, 0.0 to 1.0.
#[derive(Clone, Copy, Debug, Default, PartialEq, PartialOrd, Deserialize, Serialize)]
pub struct Share(f64);

impl Share {
    /// Returns the share, or `None` if it is outside 0.0 to 1.0.
    pub fn new(share: f64) -> Option<Self> {
        (0.0..=1.0).contains(&share).then_some(Self(share))
    }

    /// Returns the share as a number.
    pub const fn get(self) -> f64 {
        self.0
    }
}

impl fmt::Display for Share {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}%", self.0 * 100.0)
    }
}
