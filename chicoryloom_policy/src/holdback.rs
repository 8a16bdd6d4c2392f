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
/// Maximum number of suspected requests.
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

/// A request on which targets were lost.
#[derive(Clone, Debug, Default)]
struct Suspect {
    /// Targets lost on the request, each once with its latest loss.
    lost: Vec<(id::Target, Moment)>,
    held_until: Option<Moment>,
    /// Number of times that the request was held back.
    holds: u32,
    last_loss: Moment,
}

/// Requests on which targets were lost; their number is bounded.
#[derive(Clone, Debug)]
pub struct Holdback {
    suspects: HashMap<Fingerprint, Suspect>,
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
        Self { suspects: HashMap::new(), loss_threshold }
    }

    /// Returns the requests that are held back, each with the target lost last.
    pub fn all_held(&self, now: Moment) -> impl Iterator<Item = (Fingerprint, id::Target)> {
        let held = self
            .suspects
            .iter()
            .filter(move |(_, suspect)| suspect.held_until.is_some_and(|until| now < until));
        held.filter_map(|(request, suspect)| Some((*request, suspect.lost.last()?.0)))
    }

    /// Returns the time for which a request is still held back.
    pub fn remaining_hold(&self, request: Fingerprint, now: Moment) -> Option<Duration> {
        let until = self.suspects.get(&request)?.held_until?;
        (now < until).then(|| until.since(now))
    }

    /// Returns the targets that were lost on a request since its latest hold began.
    pub fn lost_on(&self, request: Fingerprint) -> impl Iterator<Item = id::Target> {
        let lost = self.suspects.get(&request).map_or(&[][..], |suspect| &suspect.lost);
        lost.iter().map(|(target, _)| *target)
    }

    /// Returns whether a request would be held back if targets that broke the connection on it are
    /// counted which are not recorded yet.
    pub fn would_hold(
        &self,
        request: Fingerprint,
        unrecorded: impl Iterator<Item = id::Target>,
    ) -> bool {
        let mut lost: HashSet<_> = unrecorded.collect();
        if lost.is_empty() {
            return false;
        }
        let recorded = self.suspects.get(&request).map_or(&[][..], |suspect| &suspect.lost);
        lost.extend(recorded.iter().map(|(target, _)| *target));
        lost.len() >= self.loss_threshold
    }

    /// Records that a target broke the connection on a request without an answer.
    ///
    /// If the request is held back from now on, returns the targets that were lost on it, since the
    /// request is to blame for their failures.
    pub fn record_loss(
        &mut self,
        request: Fingerprint,
        target: id::Target,
        now: Moment,
    ) -> Option<Vec<id::Target>> {
        self.make_room(request, now);
        let suspect = self.suspects.entry(request).or_default();
        suspect.last_loss = now;
        suspect.lost.retain(|(lost, at)| *lost != target && now.since(*at) < LOSS_TTL);
        suspect.lost.push((target, now));
        if suspect.lost.len() < self.loss_threshold
            || suspect.held_until.is_some_and(|until| now < until)
        {
            return None;
        }
        let hold = MIN_HOLD.saturating_mul(1 << suspect.holds.min(8)).min(MAX_HOLD);
        suspect.holds += 1;
        suspect.held_until = Some(now.after(hold));
        // One loss is kept, so that the next hold needs one loss less than the first.
        let cleared = suspect.lost.iter().map(|(lost, _)| *lost).collect();
        suspect.lost.drain(..suspect.lost.len() - 1);
        Some(cleared)
    }

    /// Clears a request since a target answered it; returns whether it was suspected.
    pub fn clear(&mut self, request: Fingerprint) -> bool {
        !self.suspects.is_empty() && self.suspects.remove(&request).is_some()
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

    #[test]
    fn second_target_holds_the_request_back_and_clears_both() {
        let mut holdback = Holdback::default();
        let poison = Fingerprint::of("prairie", "POST", "/x", b"1");
        let innocent = Fingerprint::of("prairie", "POST", "/x", b"2");
        let now = Moment::from_millis(1);
        assert_eq!(holdback.record_loss(poison, target(1), now), None);
        assert_eq!(holdback.record_loss(poison, target(1), now), None);
        assert_eq!(holdback.remaining_hold(poison, now), None);
        assert_eq!(holdback.record_loss(poison, target(2), now), Some(vec![target(1), target(2)]));
        assert_eq!(holdback.remaining_hold(poison, now), Some(MIN_HOLD));
        assert_eq!(holdback.remaining_hold(innocent, now), None);
        assert_eq!(holdback.remaining_hold(poison, now.after(MIN_HOLD)), None);
    }

    #[test]
    fn answered_request_is_cleared_and_memory_is_bounded() {
        let mut holdback = Holdback::default();
        let now = Moment::from_millis(1);
        for n in 0..10 * MAX_ENTRIES as u128 {
            holdback.record_loss(
                Fingerprint(n),
                target(1),
                now.after(Duration::from_millis(n as u64)),
            );
        }
        assert_eq!(holdback.len(), MAX_ENTRIES);
        let newest = Fingerprint(10 * MAX_ENTRIES as u128 - 1);
        assert!(holdback.clear(newest));
        assert!(!holdback.clear(newest));
    }
}
