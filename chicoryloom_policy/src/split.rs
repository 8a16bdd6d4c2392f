//! Division of a route's requests among its services in fixed proportions.

use std::collections::HashMap;

use crate::catalog::Part;
use crate::id;

/// Smooth weighted round robin: after any number of requests, each part is within one request
/// of its share.
#[derive(Clone, Debug, Default)]
pub struct Split {
    credit: HashMap<id::Service, i64>,
}

impl Split {
    /// Returns the service that the next request goes to.
    pub fn next<'a>(&mut self, parts: &'a [Part]) -> Option<&'a id::Service> {
        if let [only] = parts {
            return Some(&only.service);
        }
        let total: i64 = parts.iter().map(|part| i64::from(part.weight.0)).sum();
        self.credit.retain(|service, _| parts.iter().any(|part| part.service == *service));
        for part in parts {
            *self.credit.entry(part.service.clone()).or_default() += i64::from(part.weight.0);
        }
        let chosen = parts.iter().max_by_key(|part| self.credit[&part.service])?;
        *self.credit.entry(chosen.service.clone()).or_default() -= total;
        Some(&chosen.service)
    }

    /// Starts at a random point of the round, so that hosts with few requests don't all begin
    /// with the heaviest part.
    pub fn with_random_offset<R: rand::Rng + ?Sized>(parts: &[Part], rng: &mut R) -> Self {
        let mut split = Self::default();
        let total: u32 = parts.iter().map(|part| part.weight.0).sum();
        for _ in 0..rng.random_range(0..total.clamp(1, 1000)) {
            split.next(parts);
        }
        split
    }
}
