//! Reproducible response bodies, which a caller can verify from their seed and length.

use rand::RngCore;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;

/// Size of one chunk of a response body; only the last chunk is shorter.
pub const CHUNK_BYTES: usize = 16 * 1024;

/// Generates a pseudo-random body of a given length from a seed, chunk by chunk.
#[derive(Debug)]
pub struct Content {
    rng: Pcg64Mcg,
    left: u64,
}

impl Content {
    /// Returns the body of `length` bytes that `seed` determines.
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
        let length = self.left.min(CHUNK_BYTES as u64);
        let mut chunk = vec![0; length as usize];
        self.rng.fill_bytes(&mut chunk);
        self.left -= length;
        Some(chunk)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn same_seed_gives_same_content_of_requested_length() {
        let length = CHUNK_BYTES as u64 * 2 + 5;
        let first: Vec<_> = Content::new(3, length).flatten().collect();
        let second: Vec<_> = Content::new(3, length).flatten().collect();
        assert_eq!(first.len() as u64, length);
        assert_eq!(first, second);
    }
}
