//! Holds back requests that crash targets.

use std::collections::HashMap;
use std::collections::HashSet;
use std::time::Duration;

use crate::Moment;
use crate::id;

/// Number of targets lost at which a request is held back by default.
const DEFAULT_LOSS_THRESHOLD: usize = 2;
/// Time for which the loss of a target counts against a request.
const LOSS_TTL: Duration = Duration::from_secs(120);
/// Shortest time for which a request is held back.
const MIN_HOLD: Duration = Duration::from_secs(30);
/// Longest time for which a request is held back.
const MAX_HOLD: Duration = Duration::from_secs(600);
/// How many times longer a hold is than the one before it. A request that comes again and again may take
/// down one target after each hold, which must stay rare however long it goes on.
const HOLD_FACTOR: u32 = 4;
/// Time after its end for which a hold makes the next one longer.
const HOLD_MEMORY: Duration = Duration::from_secs(1800);
/// Time from the begin of a hold in which targets may still be lost on requests sent before it.
const IN_FLIGHT_TIME: Duration = Duration::from_secs(2);
/// Longest time for which equal requests wait for the outcome of the first one after a hold.
const TRIAL_TIME: Duration = Duration::from_secs(3);
/// Time for which losses from before a response are told apart from later ones. Hosts that haven't heard
/// of the response repeat them until then.
const RESPONSE_MEMORY: Duration = Duration::from_secs(10);
/// Maximum number of suspected requests, and of cleared ones.
const MAX_ENTRIES: usize = 1024;

/// Hash of a request's workspace, method, path and body, by which equal requests are recognized.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Fingerprint(pub u128);

impl Fingerprint {
    /// Returns the fingerprint of a request.
    pub fn of(workspace: &str, method: &str, path: &str, body: &[u8]) -> Self {
        let mut hasher = blake3::Hasher::new();
        for part in [workspace.as_bytes(), method.as_bytes(), path.as_bytes(), body] {
            hasher.update(&(part.len() as u64).to_le_bytes());
            hasher.update(part);
        }
        let mut bytes = [0; 16];
        bytes.copy_from_slice(&hasher.finalize().as_bytes()[..16]);
        Self(u128::from_le_bytes(bytes))
    }
}

/// That a target broke the connection on a request without an answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Crash {
    pub target: id::Target,
    /// Start time of the target's process, 0 if that is not known. A target that is back after a crash is
    /// another process.
    pub born: u64,
    pub at: Moment,
}

impl Crash {
    /// Returns what distinguishes the process from others.
    fn process(&self) -> (id::Target, u64) {
        (self.target, self.born)
    }
}

/// A request on which targets were lost.
#[derive(Clone, Debug, Default)]
struct Suspect {
    /// Processes lost on the request, each once with its latest loss; the latest comes last.
    lost: Vec<Crash>,
    held_since: Moment,
    held_until: Option<Moment>,
    /// Number of times that the request was held back.
    holds: u32,
    last_loss: Moment,
    /// When the latest request was let through after a hold.
    trial: Option<Moment>,
}

impl Suspect {
    fn is_held(&self, now: Moment) -> bool {
        self.held_until.is_some_and(|until| now < until)
    }

    /// Returns whether a loss shows that the request goes on to crash targets although it was held back.
    fn is_renewed_by(&self, crash: &Crash) -> bool {
        self.holds > 0
            && crash.at > self.held_since.after(IN_FLIGHT_TIME)
            && self.lost.iter().all(|known| {
                known.process() != crash.process() || crash.at > known.at.after(IN_FLIGHT_TIME)
            })
    }

    /// Forgets holds that ended long ago, and losses that no longer count.
    fn expire(&mut self, now: Moment) {
        if self.held_until.is_some_and(|until| now.since(until) >= HOLD_MEMORY) {
            (self.holds, self.held_until) = (0, None);
        }
        let holds = self.holds;
        self.lost.retain(|crash| holds > 0 || now.since(crash.at) < LOSS_TTL);
    }

    fn hold(&mut self, now: Moment) {
        let factor = HOLD_FACTOR.saturating_pow(self.holds);
        let hold = MIN_HOLD.saturating_mul(factor).min(MAX_HOLD);
        self.holds += 1;
        (self.held_since, self.held_until) = (now, Some(now.after(hold)));
        self.trial = None;
    }
}

/// Requests on which targets were lost; their number is bounded.
#[derive(Clone, Debug)]
pub struct Holdback {
    suspects: HashMap<Fingerprint, Suspect>,
    /// When targets responded to requests that were suspected until then. Earlier losses don't count.
    cleared: HashMap<Fingerprint, Moment>,
    /// Number of targets lost at which a request is held back; 1 or more.
    loss_threshold: usize,
}

impl Default for Holdback {
    fn default() -> Self {
        Self::new(DEFAULT_LOSS_THRESHOLD)
    }
}

impl Holdback {
    /// Returns a holdback for requests on which `loss_threshold` targets were lost.
    pub fn new(loss_threshold: usize) -> Self {
        Self { suspects: HashMap::new(), cleared: HashMap::new(), loss_threshold }
    }

    /// Returns the requests that are held back, each with as many of its losses as prove that, the latest
    /// at the end.
    pub fn all_held(&self, now: Moment) -> impl Iterator<Item = (Fingerprint, &[Crash])> {
        let held = self.suspects.iter().filter(move |(_, suspect)| suspect.is_held(now));
        held.map(|(request, suspect)| {
            let first = suspect.lost.len().saturating_sub(self.loss_threshold);
            (*request, &suspect.lost[first..])
        })
    }

    /// Returns the time for which a request is still held back.
    pub fn remaining_hold(&self, request: Fingerprint, now: Moment) -> Option<Duration> {
        let until = self.suspects.get(&request)?.held_until?;
        (now < until).then(|| until.since(now))
    }

    /// Returns the time for which a request that arrived is still held back.
    ///
    /// After a hold, one request is let through on trial, and equal ones wait until its outcome is
    /// known.
    pub fn try_pass(&mut self, request: Fingerprint, now: Moment) -> Option<Duration> {
        let suspect = self.suspects.get_mut(&request)?;
        suspect.expire(now);
        if suspect.holds == 0 {
            return None;
        }
        if let Some(until) = suspect.held_until.filter(|until| now < *until) {
            return Some(until.since(now));
        }
        let trial_end = suspect.trial.map(|begun| begun.after(TRIAL_TIME));
        if let Some(end) = trial_end.filter(|end| now < *end) {
            return Some(end.since(now));
        }
        suspect.trial = Some(now);
        None
    }

    /// Returns the losses that count against a request that was not held back yet.
    pub fn lost_on(&self, request: Fingerprint) -> impl Iterator<Item = Crash> {
        let suspect = self.suspects.get(&request).filter(|suspect| suspect.holds == 0);
        suspect.map_or(&[][..], |suspect| &suspect.lost).iter().copied()
    }

    /// Returns whether a request was held back, as far as that still matters.
    pub fn was_held(&self, request: Fingerprint) -> bool {
        self.suspects.get(&request).is_some_and(|suspect| suspect.holds > 0)
    }

    /// Returns whether a request would be held back if losses are counted that are not recorded yet.
    pub fn would_hold(
        &self,
        request: Fingerprint,
        unrecorded: impl Iterator<Item = Crash>,
    ) -> bool {
        let unrecorded: Vec<_> = unrecorded.collect();
        let suspect = self.suspects.get(&request);
        if suspect.is_some_and(|suspect| unrecorded.iter().any(|one| suspect.is_renewed_by(one))) {
            return true;
        }
        let lost = unrecorded.iter().copied().chain(self.lost_on(request));
        let lost: HashSet<_> = lost.map(|crash| crash.process()).collect();
        !unrecorded.is_empty() && lost.len() >= self.loss_threshold
    }

    /// Records that a target broke the connection on a request without an answer.
    ///
    /// A request that was held back before is held back again at the first loss, for longer. If the
    /// request is held back from now on, returns the targets that were lost on it, since the request is
    /// to blame for their failures.
    pub fn record_loss(
        &mut self,
        request: Fingerprint,
        crash: Crash,
        now: Moment,
    ) -> Option<Vec<id::Target>> {
        if self.cleared.get(&request).is_some_and(|at| crash.at < *at) {
            return None;
        }
        self.make_room(request, now);
        let suspect = self.suspects.entry(request).or_default();
        suspect.expire(now);
        let is_renewed = suspect.is_renewed_by(&crash);
        let is_held = suspect.is_held(now);
        suspect.last_loss = suspect.last_loss.max(crash.at);
        suspect.lost.retain(|known| known.process() != crash.process());
        suspect.lost.push(crash);
        let is_proved = suspect.holds == 0 && suspect.lost.len() >= self.loss_threshold;
        if !is_renewed && !is_proved {
            return None;
        }
        suspect.hold(now);
        if is_held {
            return None;
        }
        Some(suspect.lost.iter().map(|lost| lost.target).collect())
    }

    /// Clears a request that a target answered at `at`; returns whether it was suspected.
    pub fn clear(&mut self, request: Fingerprint, at: Moment) -> bool {
        let was_suspected = !self.suspects.is_empty() && self.suspects.remove(&request).is_some();
        if was_suspected {
            self.cleared.retain(|_, known| at.since(*known) < RESPONSE_MEMORY);
            if self.cleared.len() < MAX_ENTRIES {
                self.cleared.insert(request, at);
            }
        }
        was_suspected
    }

    /// Returns whether no request is suspected.
    pub fn is_empty(&self) -> bool {
        self.suspects.is_empty()
    }

    /// Returns the number of suspected requests.
    pub fn len(&self) -> usize {
        self.suspects.len()
    }

    /// If there is no room for a new suspect, drops those whose losses and hold have expired, and
    /// the oldest one if that is not enough.
    fn make_room(&mut self, request: Fingerprint, now: Moment) {
        if self.suspects.len() < MAX_ENTRIES || self.suspects.contains_key(&request) {
            return;
        }
        self.suspects.retain(|_, suspect| {
            now.since(suspect.last_loss) < LOSS_TTL
                || suspect.held_until.is_some_and(|until| now < until)
        });
        // Held requests are dropped last, since their holds keep callers from repeating them.
        let oldest = self
            .suspects
            .iter()
            .min_by_key(|(name, suspect)| (suspect.held_until, suspect.last_loss, **name))
            .map(|(name, _)| *name);
        if let Some(oldest) = oldest.filter(|_| self.suspects.len() >= MAX_ENTRIES) {
            self.suspects.remove(&oldest);
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn target(n: u8) -> id::Target {
        format!("127.0.0.{n}:80").parse().unwrap()
    }

    fn crash(n: u8, at: Moment) -> Crash {
        Crash { target: target(n), born: 7, at }
    }

    #[test]
    fn second_target_holds_the_request_back_and_clears_both() {
        let mut holdback = Holdback::default();
        let poison = Fingerprint::of("prairie", "POST", "/x", b"1");
        let innocent = Fingerprint::of("prairie", "POST", "/x", b"2");
        let now = Moment::from_millis(1);
        assert_eq!(holdback.record_loss(poison, crash(1, now), now), None);
        assert_eq!(holdback.record_loss(poison, crash(1, now), now), None);
        assert_eq!(holdback.remaining_hold(poison, now), None);
        let cleared = holdback.record_loss(poison, crash(2, now), now);
        assert_eq!(cleared, Some(vec![target(1), target(2)]));
        assert_eq!(holdback.remaining_hold(poison, now), Some(MIN_HOLD));
        assert_eq!(holdback.remaining_hold(innocent, now), None);
        assert_eq!(holdback.remaining_hold(poison, now.after(MIN_HOLD)), None);
    }

    #[test]
    fn answered_request_is_cleared_and_memory_is_bounded() {
        let mut holdback = Holdback::default();
        let now = Moment::from_millis(1);
        for n in 0..10 * MAX_ENTRIES as u128 {
            let at = now.after(Duration::from_millis(n as u64));
            holdback.record_loss(Fingerprint(n), crash(1, at), at);
        }
        assert_eq!(holdback.len(), MAX_ENTRIES);
        let newest = Fingerprint(10 * MAX_ENTRIES as u128 - 1);
        assert!(holdback.clear(newest, now));
        assert!(!holdback.clear(newest, now));
    }
}
