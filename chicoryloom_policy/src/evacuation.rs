//! Data centres whose targets get nothing more until the operator says otherwise.
//!
//! Answers the load of a data centre that is emptied for work on it while callers go on: all hosts
//! stop sending there, and what remains carries the load.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::HashMap;
use std::time::Duration;

use crate::Moment;
use crate::id;

/// Time for which the end of an evacuation is remembered; longer than any target takes to warm up.
const END_TTL: Duration = Duration::from_secs(600);

/// Evacuations that began or ended.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Change {
    pub begun: Vec<id::DataCentre>,
    pub ended: Vec<id::DataCentre>,
}

impl Change {
    /// Returns whether nothing began or ended.
    pub fn is_empty(&self) -> bool {
        self.begun.is_empty() && self.ended.is_empty()
    }
}

/// Evacuations that a host knows of.
#[derive(Clone, Debug, Default)]
pub struct Evacuations {
    /// Evacuated data centres, and since when this host knows of it.
    in_force: BTreeMap<id::DataCentre, Moment>,
    /// When evacuations ended; never those of data centres in `in_force`.
    ended: HashMap<id::DataCentre, Moment>,
}

impl Evacuations {
    /// Replaces the evacuated data centres with those that are `listed` now.
    pub fn set(&mut self, listed: &BTreeSet<id::DataCentre>, now: Moment) -> Change {
        let is_new = |centre: &&id::DataCentre| !self.in_force.contains_key(*centre);
        let begun: Vec<_> = listed.iter().filter(is_new).cloned().collect();
        let is_over = |centre: &&id::DataCentre| !listed.contains(*centre);
        let ended: Vec<_> = self.in_force.keys().filter(is_over).cloned().collect();
        for centre in &begun {
            self.in_force.insert(centre.clone(), now);
            self.ended.remove(centre);
        }
        for centre in &ended {
            self.in_force.remove(centre);
            self.ended.insert(centre.clone(), now);
        }
        Change { begun, ended }
    }

    /// Returns whether targets of a data centre get nothing.
    pub fn is_in_force(&self, centre: &id::DataCentre) -> bool {
        self.in_force.contains_key(centre)
    }

    /// Returns the evacuated data centres, and since when this host knows of it.
    pub fn in_force(&self) -> impl Iterator<Item = (&id::DataCentre, Moment)> {
        self.in_force.iter().map(|(centre, since)| (centre, *since))
    }

    /// Returns when the latest evacuation of a data centre ended.
    pub fn ended(&self, centre: &id::DataCentre) -> Option<Moment> {
        self.ended.get(centre).copied()
    }

    /// Forgets evacuations that ended long ago.
    pub fn sweep(&mut self, now: Moment) {
        self.ended.retain(|_, at| now.since(*at) < END_TTL);
    }
}
