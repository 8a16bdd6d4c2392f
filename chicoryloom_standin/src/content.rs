//! Answer bodies that a caller can check.

use rand::RngCore;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;

/// Bytes of one piece of an answer body.
pub const PIECE: usize = 16 * 1024;

/// Produces a body of a given length from a seed, piece by piece.
#[derive(Debug)]
pub struct Content {
    rng: Pcg64Mcg,
    left: u64,
}

impl Content {
    /// Returns the body of `length` bytes that belongs to `seed`.
    pub fn new(seed: u64, length: u64) -> Self {
        Self { rng: Pcg64Mcg::seed_from_u64(seed), left: length }
    }
}

impl Iterator for Content {
    type Item = Vec<u8>;

    fn next(&mut self) -> Option<Vec<u8>> {
        if self.left == 0 {
            return None;
        }
        let length = self.left.min(PIECE as u64);
        let mut piece = vec![0; length as usize];
        self.rng.fill_bytes(&mut piece);
        self.left -= length;
        Some(piece)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn content_has_its_length_and_repeats() {
        let length = PIECE as u64 * 2 + 5;
        let first: Vec<_> = Content::new(3, length).flatten().collect();
        let second: Vec<_> = Content::new(3, length).flatten().collect();
        assert_eq!(first.len() as u64, length);
        assert_eq!(first, second);
    }
}
