//! Detection of gray failures: targets that accept requests but fail most of them.
//!
//! Targets fail most requests in episodes of several seconds, while a healthy target fails about
//! one request in a hundred. The estimator keeps the probability that each target is in an
//! episode: every outcome, of this host or of another, updates it, and it decays over time towards
//! the share of such targets in the fleet. Requests that may run only once go to the targets with
//! the least risk. Only requests that may be repeated try a target in doubt, unless its slots are
//! needed or too many targets that may have recovered are idle.

use std::collections::HashMap;
use std::time::Duration;

use crate::Moment;
use crate::id;
use crate::pace::Pace;
use crate::suspicion;
use crate::unit::Share;

/// Initial estimate of the share of targets that are in an episode.
const INITIAL_PRIOR: f64 = 0.2;
/// Bounds of the estimated share of targets that are in an episode. Below [`DOUBT_THRESHOLD`], so
/// that a target without new evidence always leaves doubt.
const PRIOR_RANGE: (f64, f64) = (0.02, 0.3);
/// Initial estimate of the share of requests that a healthy target fails.
const INITIAL_BASELINE: f64 = 0.012;
/// Bounds of the estimated share of requests that a healthy target fails.
const BASELINE_RANGE: (f64, f64) = (0.002, 0.1);
/// Share of the requests that a target in an episode fails, on average.
const EPISODE_FAILURE_SHARE: f64 = 0.8;
/// Weight of one outcome in the estimated failure share of healthy targets.
const BASELINE_WEIGHT: f64 = 0.002;
/// Weight of one [`Estimator::sweep`] in the estimated share of targets in an episode.
const PRIOR_WEIGHT: f64 = 0.02;
/// Probability of an episode above which a target is in doubt; one failure exceeds it.
const DOUBT_THRESHOLD: f64 = 0.4;
/// Probability of an episode above which a target is held back for longer; two failures in a
/// row exceed it.
const LIKELY_THRESHOLD: f64 = 0.8;
/// Probability of an episode after another host reported that a target recovered.
const RECOVERED_PROBABILITY: f64 = 0.15;
/// Upper bound of the probability of an episode; above it, a target would need many successes to
/// be used again.
const MAX_PROBABILITY: f64 = 0.98;
/// Time from the latest failure of a target in doubt to its trial. A trial can distinguish an
/// isolated failure from an episode at any time, so this is short.
const DOUBT_TRIAL_DELAY: Duration = Duration::from_millis(300);
/// Time from the latest failure to the trial while an episode is likely; a quarter of the shortest
/// episodes.
const LIKELY_TRIAL_DELAY: Duration = Duration::from_millis(1200);
/// Time after which a trial without an outcome is abandoned, so that another may start.
const TRIAL_TIMEOUT: Duration = Duration::from_secs(3);
/// Time for which this host holds back a target that it found silent; other hosts may reach it.
const SILENT_HOLD: Duration = Duration::from_millis(1500);
/// Time for which this host holds back a target that had no room for a request.
const SHED_HOLD: Duration = Duration::from_millis(120);
/// Difference in send time within which two reported successes may be the same one: the transit of
/// a message between hosts shifts the send time that its receiver computes.
const DUPLICATE_WINDOW: Duration = Duration::from_millis(20);
/// Time without evidence after which a target's entry is dropped, so that it counts as new.
const ENTRY_TTL: Duration = Duration::from_secs(60);

/// Which requests may be sent to a target.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Standing {
    /// Any request.
    InUse,
    /// Held back, but available so that the capacity in use stays above the floor.
    Spare,
    /// One trial request, which has been due for this long.
    Trial(Duration),
    /// None.
    HeldBack,
}

/// The estimate for a target at a moment.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct View {
    pub standing: Standing,
    /// Probability that it is in an episode, from 0 to 1.
    pub doubt: f64,
    /// Probability that it fails a request, from 0 to 1.
    pub risk: f64,
    /// Time since the latest outcome of a request there; `None` if none is known.
    pub evidence_age: Option<Duration>,
}

/// Outcome of a request at a target.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Outcome {
    /// The target answered without an error.
    Ok,
    /// The target failed the request; it would fail those of every host alike.
    Failed,
    /// The target is unreachable or does not respond; other hosts may reach it.
    Silent,
    /// The target had no room for the request.
    Shed,
}

/// A message to the other hosts about a target.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Notice {
    Failed,
    Recovered,
}

#[derive(Clone, Copy, Debug)]
struct Entry {
    /// Probability of an episode at `at`, from 0 to [`MAX_PROBABILITY`].
    probability: f64,
    /// When the latest evidence became known.
    at: Moment,
    /// When the latest known failure was recorded.
    last_failure: Option<Moment>,
    /// When the latest request was sent that succeeded.
    last_success_sent: Option<Moment>,
    /// When the latest outcome of any kind became known.
    last_outcome: Option<Moment>,
    /// When the trial in progress began.
    trial_began: Option<Moment>,
    /// Until when only this host holds it back, since it was silent or had no room.
    held_until: Option<Moment>,
    /// When another host lost a request there, until that is judged or too old.
    suspected: Option<Moment>,
}

/// Estimates of the probability that each target is in an episode.
#[derive(Clone, Debug)]
pub struct Estimator {
    entries: HashMap<id::Instance, Entry>,
    /// How fast targets change their state.
    pace: Pace,
    /// Estimated share of targets that are in an episode.
    prior: f64,
    /// Estimated share of requests that a healthy target fails.
    baseline: f64,
}

impl Default for Estimator {
    fn default() -> Self {
        Self {
            entries: HashMap::new(),
            pace: Pace::default(),
            prior: INITIAL_PRIOR,
            baseline: INITIAL_BASELINE,
        }
    }
}

impl Estimator {
    /// Records the outcome of a request of this host; returns the notice to send to other hosts.
    ///
    /// `sent` is when the request was sent. A success is ignored if its request was sent before
    /// the latest failure.
    pub fn observe(
        &mut self,
        target: &id::Instance,
        outcome: Outcome,
        sent: Moment,
        now: Moment,
    ) -> Option<Notice> {
        let before = self.probability(target, now);
        let entry = self.entry(target, now);
        let is_trial = entry.trial_began.is_some_and(|began| sent >= began);
        entry.last_outcome = Some(now);
        match outcome {
            Outcome::Ok => {
                if !self.record_success(target, sent, now) {
                    return None;
                }
                let entry = self.entry(target, now);
                entry.held_until = None;
                if is_trial {
                    entry.trial_began = None;
                }
                let cleared = before > DOUBT_THRESHOLD && entry.probability <= DOUBT_THRESHOLD;
                cleared.then_some(Notice::Recovered)
            }
            Outcome::Failed => {
                self.record_failure(target, now);
                (before < LIKELY_THRESHOLD).then_some(Notice::Failed)
            }
            Outcome::Silent | Outcome::Shed => {
                let entry = self.entry(target, now);
                if is_trial {
                    entry.trial_began = None;
                }
                let hold = if outcome == Outcome::Shed { SHED_HOLD } else { SILENT_HOLD };
                entry.held_until = entry.held_until.max(Some(now.after(hold)));
                None
            }
        }
    }

    /// Records a success that another host reported; repeated reports of one success are ignored.
    pub fn apply_remote_success(&mut self, target: &id::Instance, sent: Moment, now: Moment) {
        let known = self.entries.get(target).and_then(|entry| entry.last_success_sent);
        if known.is_none_or(|known| sent > known.after(DUPLICATE_WINDOW)) {
            self.record_success(target, sent, now);
        }
    }

    /// Holds a target back as another host lost a request there; see [`crate::suspicion`].
    pub fn suspect(&mut self, target: &id::Instance, now: Moment) {
        self.entry(target, now).suspected = Some(now);
    }

    /// Applies a notice of another host.
    pub fn apply_notice(&mut self, target: &id::Instance, notice: Notice, now: Moment) {
        match notice {
            Notice::Failed => self.record_failure(target, now),
            Notice::Recovered => {
                let probability = self.probability(target, now);
                let entry = self.entry(target, now);
                entry.probability = probability.min(RECOVERED_PROBABILITY);
                entry.at = now;
                entry.trial_began = None;
            }
        }
    }

    /// Records the success of a request that was sent at a moment; returns whether it counted.
    fn record_success(&mut self, target: &id::Instance, sent: Moment, now: Moment) -> bool {
        let baseline = self.baseline;
        if self.entry(target, now).last_failure.is_some_and(|failed| sent <= failed) {
            return false;
        }
        let probability = self.learn(target, false, now);
        let (in_episode, healthy) =
            (probability * (1.0 - EPISODE_FAILURE_SHARE), (1.0 - probability) * (1.0 - baseline));
        let entry = self.entry(target, now);
        entry.probability = in_episode / (in_episode + healthy);
        entry.at = now;
        entry.suspected = entry.suspected.filter(|at| sent <= *at);
        entry.last_success_sent = entry.last_success_sent.max(Some(sent));
        entry.last_outcome = entry.last_outcome.max(Some(sent));
        let weight = BASELINE_WEIGHT * (1.0 - entry.probability);
        self.baseline = (baseline * (1.0 - weight)).clamp(BASELINE_RANGE.0, BASELINE_RANGE.1);
        true
    }

    fn record_failure(&mut self, target: &id::Instance, now: Moment) {
        let baseline = self.baseline;
        let probability = self.learn(target, true, now);
        let (in_episode, healthy) =
            (probability * EPISODE_FAILURE_SHARE, (1.0 - probability) * baseline);
        let entry = self.entry(target, now);
        entry.probability = (in_episode / (in_episode + healthy)).min(MAX_PROBABILITY);
        entry.at = now;
        entry.last_failure = Some(now);
        entry.last_outcome = Some(now);
        entry.trial_began = None;
        let weight = BASELINE_WEIGHT * (1.0 - entry.probability);
        self.baseline =
            (baseline + weight * (1.0 - baseline)).clamp(BASELINE_RANGE.0, BASELINE_RANGE.1);
    }

    /// Updates the pace by the outcome of a request; returns the probability that the target was in
    /// an episode before it.
    fn learn(&mut self, target: &id::Instance, failed: bool, now: Moment) -> f64 {
        let probability = self.probability(target, now);
        if let Some(entry) = self.entries.get(target) {
            let (prior, baseline) = (self.prior, self.baseline);
            let start = entry.probability;
            self.pace.learn(now.since(entry.at), |kept| {
                let probability = prior + (start - prior) * kept;
                let risk = probability * EPISODE_FAILURE_SHARE + (1.0 - probability) * baseline;
                if failed { risk } else { 1.0 - risk }
            });
        }
        probability
    }

    /// Returns the entry of a target.
    fn entry(&mut self, target: &id::Instance, now: Moment) -> &mut Entry {
        let probability = self.prior;
        self.entries.entry(target.clone()).or_insert(Entry {
            probability,
            at: now,
            last_failure: None,
            last_success_sent: None,
            last_outcome: None,
            trial_began: None,
            held_until: None,
            suspected: None,
        })
    }

    /// Returns the probability that a target is in an episode.
    fn probability(&self, target: &id::Instance, now: Moment) -> f64 {
        let Some(entry) = self.entries.get(target) else { return self.prior };
        let kept = self.pace.kept(now.since(entry.at));
        self.prior + (entry.probability - self.prior) * kept
    }

    /// Returns the probability that a target fails a request.
    pub fn risk(&self, target: &id::Instance, now: Moment) -> f64 {
        let probability = self.probability(target, now);
        probability * EPISODE_FAILURE_SHARE + (1.0 - probability) * self.baseline
    }

    /// Returns when the latest outcome at a target became known.
    fn last_outcome(&self, target: &id::Instance) -> Option<Moment> {
        self.entries.get(target)?.last_outcome
    }

    /// Records that a trial request is sent to a target.
    pub fn begin_trial(&mut self, target: &id::Instance, now: Moment) {
        self.entry(target, now).trial_began = Some(now);
    }

    /// Returns the standing of a target and its doubt: the probability of an episode, plus one
    /// while this host alone holds it back.
    fn standing(&self, target: &id::Instance, now: Moment) -> (Standing, f64) {
        let probability = self.probability(target, now);
        let Some(entry) = self.entries.get(target) else {
            return (Standing::InUse, probability);
        };
        let is_suspected = entry.suspected.is_some_and(|at| now.since(at) < suspicion::HOLD);
        if is_suspected || entry.held_until.is_some_and(|until| now < until) {
            return (Standing::HeldBack, probability + 1.0);
        }
        if probability <= DOUBT_THRESHOLD {
            return (Standing::InUse, probability);
        }
        if entry.trial_began.is_some_and(|began| now.since(began) < TRIAL_TIMEOUT) {
            return (Standing::HeldBack, probability);
        }
        let delay =
            if probability > LIKELY_THRESHOLD { LIKELY_TRIAL_DELAY } else { DOUBT_TRIAL_DELAY };
        let since_failure = entry.last_failure.map_or(delay, |failed| now.since(failed));
        if since_failure < delay {
            return (Standing::HeldBack, probability);
        }
        (Standing::Trial(since_failure.saturating_sub(delay)), probability)
    }

    /// Returns the views of a service's targets. Held-back targets become spare until the slots
    /// that remain held back are at most what the floor allows.
    pub fn views(&self, targets: &[(&id::Instance, u32)], floor: Share, now: Moment) -> Vec<View> {
        let mut doubts = Vec::with_capacity(targets.len());
        let view = |(target, _): &(&id::Instance, u32)| {
            let (standing, doubt) = self.standing(target, now);
            doubts.push(doubt);
            let probability = if doubt > 1.0 { doubt - 1.0 } else { doubt };
            let evidence_age = self.last_outcome(target).map(|at| now.since(at));
            View {
                standing,
                doubt: probability,
                risk: probability * EPISODE_FAILURE_SHARE + (1.0 - probability) * self.baseline,
                evidence_age,
            }
        };
        let mut views: Vec<_> = targets.iter().map(view).collect();
        let total: u32 = targets.iter().map(|(_, slots)| slots).sum();
        let max_held = f64::from(total) * (1.0 - floor.get());
        let is_held = |at: &usize| views[*at].standing != Standing::InUse;
        let mut held: Vec<_> = (0..targets.len()).filter(is_held).collect();
        let mut slots: u32 = held.iter().map(|at| targets[*at].1).sum();
        // The targets with the least doubt become spare first.
        held.sort_by(|a, b| doubts[*a].total_cmp(&doubts[*b]));
        for at in held {
            if f64::from(slots) <= max_held {
                break;
            }
            slots -= targets[at].1;
            if views[at].standing == Standing::HeldBack {
                views[at].standing = Standing::Spare;
            }
        }
        views
    }

    /// Returns the estimated share of targets that are in an episode.
    pub fn prior(&self) -> f64 {
        self.prior
    }

    /// Updates the estimated share of targets in an episode, and drops entries that expired.
    pub fn sweep(&mut self, now: Moment) {
        self.entries.retain(|_, entry| now.since(entry.at) < ENTRY_TTL);
        if self.entries.is_empty() {
            return;
        }
        let sum: f64 = self.entries.keys().map(|target| self.probability(target, now)).sum();
        let mean = sum / self.entries.len() as f64;
        self.prior =
            (self.prior + PRIOR_WEIGHT * (mean - self.prior)).clamp(PRIOR_RANGE.0, PRIOR_RANGE.1);
    }
}
