//! Which targets fail although they answer, from evidence of the whole fleet.
//!
//! Load that this answers: targets that fail most requests in episodes of seconds, while a sound
//! one fails about one request in a hundred, and callers whose requests may run once only. The
//! first failure of a target is as likely a lone one as the beginning of an episode. So the
//! target is held back for a moment, and one request of one host tries it. If that fails too, an
//! episode is under way, and the next trial waits until most episodes are over; how long that is
//! is learned from the trials of the whole fleet.

use std::collections::HashMap;
use std::time::Duration;

use crate::Moment;
use crate::id;
use crate::unit::Share;

/// Time for which the first failure holds a target back. A trial tells a lone failure from an
/// episode at any time, so that it need not wait.
const FIRST_HOLD: Duration = Duration::from_millis(500);
/// First guess of how long an episode lasts.
const FIRST_EPISODE: Duration = Duration::from_secs(6);
/// Shortest and longest length of an episode that is learned.
const EPISODE: (Duration, Duration) = (Duration::from_secs(1), Duration::from_secs(12));
/// Factors on the length of an episode after a trial at its end that succeeded or failed; two
/// trials in five fail where they balance. Episodes may follow each other, so that no length
/// makes all trials succeed.
const SHRINK: f64 = 0.92;
const GROW: f64 = 1.13;
/// Part of an episode's length after which an episode that lasts longer is tried again.
const AGAIN: f64 = 0.3;
/// Time after its return within which another failure shows that the episode goes on.
const PROBATION: Duration = Duration::from_secs(1);
/// Good answers in a row that take a target back which had to be used while it was held back.
const GOOD: u32 = 2;
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
    /// First failure of the present or latest episode.
    first: Moment,
    /// When the present hold began.
    failed: Option<Moment>,
    /// Failures of the episode that each came from a new trial; 0 while the target is in use.
    strikes: u32,
    /// Good answers in a row to requests that were sent while it was held back.
    good: u32,
    /// Since when a trial is under way.
    trial: Option<Moment>,
    /// Until when it is held back at this host only.
    silent_until: Option<Moment>,
    /// Latest time that the target was taken back into use, and the strikes until then.
    returned: Option<(Moment, u32)>,
    last: Moment,
}

/// The targets that failed.
#[derive(Clone, Debug)]
pub struct Board {
    entries: HashMap<id::Instance, Entry>,
    /// How long an episode lasts.
    episode: Duration,
}

impl Default for Board {
    fn default() -> Self {
        Self { entries: HashMap::new(), episode: FIRST_EPISODE }
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
        let entry = self.entries.entry(target.clone()).or_default();
        entry.last = now;
        let is_trial = entry.trial.is_some_and(|began| sent >= began);
        match outcome {
            Outcome::Ok => {
                entry.silent_until = None;
                let is_spare = entry.failed.is_some_and(|at| sent > at);
                entry.good += u32::from(is_spare && entry.until.is_some());
                if !is_trial && entry.good < GOOD {
                    return None;
                }
                self.recover(target, now);
                Some(News::Recovered)
            }
            Outcome::Failed => {
                let is_late = entry.returned.is_some_and(|(at, _)| sent < at);
                entry.good = 0;
                if !is_trial && (entry.until.is_some() || is_late) {
                    return None;
                }
                self.fail(target, now);
                Some(News::Failed)
            }
            Outcome::Silent | Outcome::Shed => {
                if is_trial {
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
                let entry = self.entries.entry(target.clone()).or_default();
                // Two hosts that see the first failures of one episode mean one strike.
                if entry.until.is_none_or(|until| now >= until) {
                    self.fail(target, now);
                }
            }
            News::Recovered => self.recover(target, now),
        }
    }

    fn fail(&mut self, target: &id::Instance, now: Moment) {
        let episode = self.episode;
        let entry = self.entries.entry(target.clone()).or_default();
        entry.last = now;
        entry.trial = None;
        entry.good = 0;
        entry.failed = Some(now);
        if entry.strikes == 0 {
            let goes_on = entry.returned.filter(|(at, _)| now.since(*at) < PROBATION);
            match goes_on {
                Some((_, strikes)) => entry.strikes = strikes,
                None => entry.first = now,
            }
        }
        entry.strikes += 1;
        let age = now.since(entry.first);
        let hold = if entry.strikes == 1 {
            FIRST_HOLD
        } else {
            episode.saturating_sub(age).max(episode.mul_f64(AGAIN))
        };
        entry.until = Some(now.after(hold));
        if entry.strikes > 2 {
            self.adapt(GROW);
        }
    }

    fn recover(&mut self, target: &id::Instance, now: Moment) {
        let Some(entry) = self.entries.get_mut(target) else { return };
        let strikes = entry.strikes;
        if entry.until.take().is_none() {
            return;
        }
        entry.trial = None;
        entry.good = 0;
        entry.returned = Some((now, strikes));
        entry.strikes = 0;
        entry.last = now;
        if strikes > 1 {
            self.adapt(SHRINK);
        }
    }

    fn adapt(&mut self, factor: f64) {
        self.episode = self.episode.mul_f64(factor).clamp(EPISODE.0, EPISODE.1);
    }

    /// Returns how long an episode lasts, as far as learned.
    pub fn episode(&self) -> Duration {
        self.episode
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
        // One that failed once, or whose hold ends first, is the likeliest to be well.
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

    /// Returns whether an episode is likely, and when a target's hold ends.
    fn release(&self, target: &id::Instance) -> (bool, Moment) {
        let entry = self.entries.get(target).copied().unwrap_or_default();
        let end = entry.until.unwrap_or_default().max(entry.silent_until.unwrap_or_default());
        (entry.strikes > 1, end)
    }

    /// Forgets targets that have done well for long.
    pub fn sweep(&mut self, now: Moment) {
        self.entries.retain(|_, entry| now.since(entry.last) < MEMORY);
    }
}
