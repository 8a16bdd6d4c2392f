//! Positions in the history of the platform's store.
//!
//! Revisions order the changes of a store until it is restored from a copy. The copy lacks the
//! latest changes, and their revisions are given out again. Each restoration begins a new era, so
//! that a position is an era and a revision in it.

use std::fmt;
use std::num::ParseIntError;
use std::str::FromStr;

use serde::Deserialize;
use serde::Serialize;

/// How often the store has been restored from a copy; 0 for a store that doesn't tell.
#[derive(
    Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd, Deserialize, Serialize,
)]
pub struct Era(pub u64);

impl fmt::Display for Era {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

impl FromStr for Era {
    type Err = ParseIntError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        text.parse().map(Self)
    }
}

/// A point in the store's history; a later era comes after all revisions of an earlier one.
#[derive(
    Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd, Deserialize, Serialize,
)]
pub struct Position {
    pub era: Era,
    pub revision: u64,
}

impl Position {
    /// Returns the position of a revision in an era.
    pub const fn new(era: Era, revision: u64) -> Self {
        Self { era, revision }
    }

    /// Returns whether this is the position of an empty copy.
    pub const fn is_start(self) -> bool {
        self.revision == 0
    }
}

impl fmt::Display for Position {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.era, self.revision)
    }
}

/// Orders the contents of one object where revisions can't, since one of them may come from a
/// restored copy.
///
/// For a configuration, `number` is its version. For a target, `number` is its start time, and a
/// process that leaves never returns to the state before.
#[derive(
    Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd, Deserialize, Serialize,
)]
pub struct Generation {
    pub number: u64,
    /// Whether the target is leaving; false for a configuration.
    pub is_leaving: bool,
}
