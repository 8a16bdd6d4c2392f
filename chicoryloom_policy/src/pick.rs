//! Choice of a target for one attempt.

use rand::Rng;

/// What a choice knows of one target.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Load {
    /// Attempts in flight from this host.
    pub in_flight: u32,
    /// Slots of the target; 1 or more.
    pub slots: u32,
    /// Smoothed time to the head of an answer, in seconds.
    pub latency: f64,
}

impl Load {
    /// Returns the cost of one more attempt; lower is better.
    fn cost(&self) -> f64 {
        f64::from(self.in_flight + 1) * self.latency / f64::from(self.slots)
    }
}

/// Returns the index of the better of two random choices, or `None` without targets.
pub fn choose(loads: &[Load], rng: &mut impl Rng) -> Option<usize> {
    match loads.len() {
        0 => None,
        1 => Some(0),
        len => {
            let first = rng.random_range(0..len);
            let second = (first + rng.random_range(1..len)) % len;
            let better = loads[second].cost() < loads[first].cost();
            Some(if better { second } else { first })
        }
    }
}

#[cfg(test)]
mod tests {
    use rand::SeedableRng;
    use rand_pcg::Pcg64Mcg;

    use super::*;

    #[test]
    fn busier_of_two_targets_is_never_chosen() {
        let idle = Load { in_flight: 0, slots: 2, latency: 0.01 };
        let busy = Load { in_flight: 4, slots: 2, latency: 0.01 };
        let mut rng = Pcg64Mcg::seed_from_u64(1);
        for _ in 0..100 {
            assert_eq!(choose(&[busy, idle], &mut rng), Some(1));
        }
    }
}
