//! Weighted division of a route's requests among its services.

use std::collections::HashMap;

use crate::catalog::Destination;
use crate::id;

/// Smooth weighted round robin: after any number of requests, each destination is within one
/// request of its share.
#[derive(Clone, Debug, Default)]
pub struct Split {
    credit: HashMap<id::Service, i64>,
}

impl Split {
    /// Returns the service for the next request, or `None` without destinations.
    pub fn next<'a>(&mut self, destinations: &'a [Destination]) -> Option<&'a id::Service> {
        if let [only] = destinations {
            return Some(&only.service);
        }
        let total: i64 =
            destinations.iter().map(|destination| i64::from(destination.weight.0)).sum();
        self.credit.retain(|service, _| {
            destinations.iter().any(|destination| destination.service == *service)
        });
        for destination in destinations {
            *self.credit.entry(destination.service.clone()).or_default() +=
                i64::from(destination.weight.0);
        }
        let chosen =
            destinations.iter().max_by_key(|destination| self.credit[&destination.service])?;
        *self.credit.entry(chosen.service.clone()).or_default() -= total;
        Some(&chosen.service)
    }

    /// Returns a split at a random position of its cycle, so that hosts with few requests don't all
    /// begin with the destination of the highest weight.
    pub fn with_random_offset<R: rand::Rng + ?Sized>(
        destinations: &[Destination],
        rng: &mut R,
    ) -> Self {
        let mut split = Self::default();
        let total: u32 = destinations.iter().map(|destination| destination.weight.0).sum();
        for _ in 0..rng.random_range(0..total.clamp(1, 1000)) {
            split.next(destinations);
        }
        split
    }
}
