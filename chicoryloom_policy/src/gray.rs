//! Which targets fail although they answer, from evidence of the whole fleet.
//!
//! Load that this answers: targets whose failures come in episodes of seconds, while a sound one
//! fails about one request in a hundred. One failure is then strong evidence, and a request that
//! may run once only must not be spent on finding more. So one failure holds a target back; after
//! the hold, one request of one host tries it. How long holds are is learned from the trials: a
//! trial that succeeds shortens them, one that fails makes them longer.

use std::collections::HashMap;
use std::time::Duration;

use crate::Moment;
use crate::id;
use crate::unit::Share;

/// First guess of how long an episode lasts.
const FIRST_HOLD: Duration = Duration::from_millis(2000);
/// Shortest and longest hold.
const HOLD: (Duration, Duration) = (Duration::from_millis(300), Duration::from_secs(5));
/// Factors on the hold after a trial that succeeded or failed; about one trial in six fails
/// where they balance.
const SHRINK: f64 = 0.95;
const GROW: f64 = 1.3;
/// Part of the hold after a trial that failed.
const AGAIN: f64 = 0.6;
/// Time after which a trial that brought no outcome is given up.
const TRIAL_LIFE: Duration = Duration::from_secs(3);
/// Time for which silence towards this host alone holds a target back here.
const SILENCE: Duration = Duration::from_millis(1500);
/// Time for which a target without room is left alone here.
const SHED: Duration = Duration::from_millis(120);
/// Time after which a target that was held back long ago counts as new.
const MEMORY: Duration = Duration::from_secs(60);

/// What may be sent to a target.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Standing {
    /// Any request.
    In,
    /// Held back, but needed so that the capacity in use stays above the floor.
    Spare,
    /// One request that tries it; it has been due for this long.
    Trial(Duration),
    /// Nothing.
    Out,
}

/// How a request at a target ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Outcome {
    /// The target answered well.
    Ok,
    /// The target failed the request; every host would see the same.
    Failed,
    /// The target can't be reached or is silent; other hosts may reach it.
    Silent,
    /// The target had no room.
    Shed,
}

/// What a host tells the others about a target.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum News {
    Failed,
    Recovered,
}

#[derive(Clone, Copy, Debug, Default)]
struct Entry {
    /// Until when the target is held back; `None` while it is in use.
    until: Option<Moment>,
    /// Since when a trial is under way.
    trial: Option<Moment>,
    /// Until when it is held back at this host only.
    silent_until: Option<Moment>,
    /// Latest time that the target was taken back into use.
    returned: Option<Moment>,
    last: Moment,
}

/// The targets that failed.
#[derive(Clone, Debug)]
pub struct Board {
    entries: HashMap<id::Instance, Entry>,
    /// Length of the next hold.
    hold: Duration,
}

impl Default for Board {
    fn default() -> Self {
        Self { entries: HashMap::new(), hold: FIRST_HOLD }
    }
}

impl Board {
    /// Takes in an outcome of this host; returns what the other hosts should know.
    ///
    /// `sent` is when the request left; one that left before the target was held back, or before
    /// it came back, says nothing new.
    pub fn observe(
        &mut self,
        target: &id::Instance,
        outcome: Outcome,
        sent: Moment,
        now: Moment,
    ) -> Option<News> {
        if outcome == Outcome::Ok && !self.entries.contains_key(target) {
            return None;
        }
        let hold = self.hold;
        let entry = self.entries.entry(target.clone()).or_default();
        entry.last = now;
        let was_trial = entry.trial.is_some_and(|began| sent >= began);
        match outcome {
            Outcome::Ok => {
                entry.silent_until = None;
                if !was_trial {
                    return None;
                }
                self.adapt(SHRINK);
                self.recover(target, now);
                Some(News::Recovered)
            }
            Outcome::Failed if was_trial => {
                entry.trial = None;
                entry.until = Some(now.after(hold.mul_f64(AGAIN)));
                self.adapt(GROW);
                Some(News::Failed)
            }
            Outcome::Failed => {
                if entry.until.is_some() || entry.returned.is_some_and(|at| sent < at) {
                    return None;
                }
                entry.until = Some(now.after(hold));
                Some(News::Failed)
            }
            Outcome::Silent | Outcome::Shed => {
                if was_trial {
                    entry.trial = None;
                }
                let span = if outcome == Outcome::Shed { SHED } else { SILENCE };
                entry.silent_until = entry.silent_until.max(Some(now.after(span)));
                None
            }
        }
    }

    /// Takes in what another host found.
    pub fn hear(&mut self, target: &id::Instance, news: News, now: Moment) {
        match news {
            News::Failed => {
                let hold = self.hold;
                let entry = self.entries.entry(target.clone()).or_default();
                entry.last = now;
                entry.trial = None;
                let until = now.after(hold);
                entry.until = Some(entry.until.map_or(until, |known| known.max(until)));
            }
            News::Recovered => self.recover(target, now),
        }
    }

    fn recover(&mut self, target: &id::Instance, now: Moment) {
        if let Some(entry) = self.entries.get_mut(target) {
            entry.until = None;
            entry.trial = None;
            entry.returned = Some(now);
            entry.last = now;
        }
    }

    fn adapt(&mut self, factor: f64) {
        self.hold = self.hold.mul_f64(factor).clamp(HOLD.0, HOLD.1);
    }

    /// Returns the present length of a hold.
    pub fn hold(&self) -> Duration {
        self.hold
    }

    /// Notes that a request is sent to try a target.
    pub fn begin_trial(&mut self, target: &id::Instance, now: Moment) {
        if let Some(entry) = self.entries.get_mut(target) {
            entry.trial = Some(now);
        }
    }

    fn standing(&self, target: &id::Instance, now: Moment) -> Standing {
        let Some(entry) = self.entries.get(target) else {
            return Standing::In;
        };
        let is_silent = entry.silent_until.is_some_and(|until| now < until);
        match entry.until {
            _ if is_silent => Standing::Out,
            None => Standing::In,
            Some(until) if now < until => Standing::Out,
            Some(_) if entry.trial.is_some_and(|began| now.since(began) < TRIAL_LIFE) => {
                Standing::Out
            }
            Some(until) => Standing::Trial(now.since(until)),
        }
    }

    /// Returns the standing of each target of a service, such that the slots held back never
    /// pass what the floor leaves.
    pub fn standings(
        &self,
        targets: &[(&id::Instance, u32)],
        floor: Share,
        now: Moment,
    ) -> Vec<Standing> {
        let mut standings: Vec<_> =
            targets.iter().map(|(target, _)| self.standing(target, now)).collect();
        let total: u32 = targets.iter().map(|(_, slots)| slots).sum();
        let most = f64::from(total) * (1.0 - floor.get());
        let mut held: Vec<_> =
            (0..targets.len()).filter(|at| standings[*at] != Standing::In).collect();
        let mut slots: u32 = held.iter().map(|at| targets[*at].1).sum();
        // The one whose hold ends first is the likeliest to be well again.
        held.sort_by_key(|at| self.release(targets[*at].0));
        for at in held {
            if f64::from(slots) <= most {
                break;
            }
            slots -= targets[at].1;
            if standings[at] == Standing::Out {
                standings[at] = Standing::Spare;
            }
        }
        standings
    }

    /// Returns when a target's hold ends.
    fn release(&self, target: &id::Instance) -> Moment {
        let entry = self.entries.get(target).copied().unwrap_or_default();
        entry.until.unwrap_or_default().max(entry.silent_until.unwrap_or_default())
    }

    /// Forgets targets that have done well for long.
    pub fn sweep(&mut self, now: Moment) {
        self.entries.retain(|_, entry| now.since(entry.last) < MEMORY);
    }
}
