//! Completed numbers of a series.

use std::collections::BTreeSet;

use super::FIRST_NUMBER;

/// Most completed numbers of one series held beyond the prefix.
pub const MAX_BEYOND: usize = 256;

/// The completed numbers of a series: a prefix, and some numbers beyond it.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Completed {
    /// Every number below this one counts as completed, including those that never arrived.
    prefix: u64,
    /// Completed numbers at or above `prefix`; at most [`MAX_BEYOND`].
    beyond: BTreeSet<u64>,
}

impl Completed {
    /// Returns the empty set of a new series.
    pub fn new() -> Self {
        Self { prefix: FIRST_NUMBER, beyond: BTreeSet::new() }
    }

    /// Returns whether a number counts as completed.
    pub fn contains(&self, number: u64) -> bool {
        number < self.prefix || self.beyond.contains(&number)
    }

    /// Adds a number; once the set is full, the lowest gap counts as completed too.
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

    /// Returns the number of completed numbers held beyond the prefix.
    pub fn beyond(&self) -> usize {
        self.beyond.len()
    }
}
