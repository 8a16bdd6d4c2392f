//! Which numbers of a series have ended.

use std::collections::BTreeSet;

use super::FIRST_NUMBER;

/// Completed numbers of one series held beyond the prefix.
pub const MAX_BEYOND: usize = 256;

/// The numbers of a series that have ended: all up to a prefix, and some beyond it.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Completed {
    /// Every number below this one counts as ended, also those that never came.
    prefix: u64,
    /// Ended numbers at or past the prefix; at most [`MAX_BEYOND`].
    beyond: BTreeSet<u64>,
}

impl Completed {
    /// Returns the empty set of a new series.
    pub fn new() -> Self {
        Self { prefix: FIRST_NUMBER, beyond: BTreeSet::new() }
    }

    /// Tells whether a number counts as ended.
    pub fn contains(&self, number: u64) -> bool {
        number < self.prefix || self.beyond.contains(&number)
    }

    /// Adds a number; the oldest gap counts as ended once the set is full.
    pub fn insert(&mut self, number: u64) {
        if !self.contains(number) {
            self.beyond.insert(number);
        }
        if self.beyond.len() > MAX_BEYOND
            && let Some(least) = self.beyond.first()
        {
            self.prefix = *least;
        }
        while self.beyond.remove(&self.prefix) {
            self.prefix += 1;
        }
    }

    /// Returns how many numbers are held beyond the prefix.
    pub fn beyond(&self) -> usize {
        self.beyond.len()
    }
}
