//! Choice of a target for an attempt, by the power of two random choices.

use rand::Rng;

/// Load of one target.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Load {
    /// Attempts in flight from this host.
    pub in_flight: u32,
    /// Slots of the target; 1 or more.
    pub slots: u32,
    /// Smoothed time to the head of the response, in seconds.
    pub latency: f64,
}

impl Load {
    /// Returns the cost of one more attempt; lower is better.
    fn cost(&self) -> f64 {
        f64::from(self.in_flight + 1) * self.latency / f64::from(self.slots)
    }
}

/// Returns the index of the better of two random choices, or `None` without targets.
///
/// Between two equally busy targets, the choice is random in proportion to their speed. Otherwise a
/// target that was slow once would never get a request again that could show that it recovered.
pub fn choose(loads: &[Load], rng: &mut impl Rng) -> Option<usize> {
    match loads.len() {
        0 => None,
        1 => Some(0),
        len => {
            let first = rng.random_range(0..len);
            let second = (first + rng.random_range(1..len)) % len;
            let better = is_better(&loads[second], &loads[first], rng);
            Some(if better { second } else { first })
        }
    }
}

fn is_better(one: &Load, other: &Load, rng: &mut impl Rng) -> bool {
    let busy = |a: &Load, b: &Load| u64::from(a.in_flight + 1) * u64::from(b.slots);
    if busy(one, other) != busy(other, one) {
        return one.cost() < other.cost();
    }
    let sum = one.latency + other.latency;
    sum > 0.0 && rng.random_bool((other.latency / sum).clamp(0.0, 1.0))
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

    #[test]
    fn idle_slow_target_still_gets_its_part() {
        let fast = Load { in_flight: 0, slots: 2, latency: 0.01 };
        let slow = Load { in_flight: 0, slots: 2, latency: 0.09 };
        let mut rng = Pcg64Mcg::seed_from_u64(1);
        let chosen = (0..10_000).filter(|_| choose(&[fast, slow], &mut rng) == Some(1)).count();
        assert!((800..1200).contains(&chosen), "a tenth of {chosen}");
    }
}
