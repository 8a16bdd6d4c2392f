//! Tells how long a host may trust that it knows every accepted change.
//!
//! An accepted change is known to a majority of the roster. A host that holds all that the
//! platform held at some moment, or all that a majority held, can have missed nothing that was
//! accepted before that moment, and stays fresh for one window after it.

use std::collections::HashMap;
use std::time::Duration;

use crate::Moment;
use crate::id;

/// What a peer's answer to a challenge showed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Answer {
    pub incarnation: id::Incarnation,
    /// When this host sent the challenge that the answer echoes.
    pub challenged: Moment,
    /// Revision up to which the peer held every object.
    pub revision: id::Revision,
    /// Whether this incarnation of the peer has confirmed its state; others don't count, since
    /// a restarted host may have forgotten what it confirmed before.
    pub confirmed: bool,
}

/// The confirmations of one host's state.
#[derive(Clone, Debug)]
pub struct Tracker {
    window: Duration,
    /// Latest moment at which the platform held nothing that this host lacks.
    platform: Option<Moment>,
    peers: HashMap<id::Host, Answer>,
}

impl Tracker {
    /// Returns a tracker without confirmations.
    pub fn new(window: Duration) -> Self {
        Self { window, platform: None, peers: HashMap::new() }
    }

    /// Records that the platform, asked at a moment, held nothing that this host lacks.
    pub fn confirm(&mut self, asked: Moment) {
        self.platform = self.platform.max(Some(asked));
    }

    /// Records a peer's answer unless a later challenge was answered already.
    pub fn hear(&mut self, peer: id::Host, answer: Answer) {
        let known = self.peers.get(&peer);
        if known.is_none_or(|known| known.challenged < answer.challenged) {
            self.peers.insert(peer, answer);
        }
    }

    /// Returns the moment until which the host is fresh, or `None` if it never was.
    ///
    /// `others` are the roster's hosts but for this one; `revision` is what this host holds.
    pub fn fresh_until(&self, others: &[id::Host], revision: id::Revision) -> Option<Moment> {
        let confirmed = self.platform.max(self.majority(others, revision));
        confirmed.map(|moment| moment.after(self.window))
    }

    /// Returns the latest moment at which a majority held nothing that this host lacks.
    fn majority(&self, others: &[id::Host], revision: id::Revision) -> Option<Moment> {
        let needed = others.len().div_ceil(2);
        if needed == 0 {
            return None;
        }
        let counts = |answer: &&Answer| answer.confirmed && answer.revision <= revision;
        let answers = others.iter().filter_map(|peer| self.peers.get(peer));
        let mut moments: Vec<_> = answers.filter(counts).map(|a| a.challenged).collect();
        moments.sort_by(|a, b| b.cmp(a));
        moments.get(needed - 1).copied()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const WINDOW: Duration = Duration::from_secs(3);

    fn host(n: usize) -> id::Host {
        format!("host-{n}").parse().unwrap()
    }

    fn answer(at_ms: u64, revision: u64) -> Answer {
        Answer {
            incarnation: id::Incarnation(1),
            challenged: Moment::from_millis(at_ms),
            revision: id::Revision(revision),
            confirmed: true,
        }
    }

    #[test]
    fn majority_counts_from_its_oldest_challenge() {
        let others: Vec<_> = (1..5).map(host).collect();
        let mut tracker = Tracker::new(WINDOW);
        tracker.hear(host(1), answer(300, 7));
        assert_eq!(tracker.fresh_until(&others, id::Revision(7)), None);
        tracker.hear(host(2), answer(200, 6));
        let until = tracker.fresh_until(&others, id::Revision(7));
        assert_eq!(until, Some(Moment::from_millis(200).after(WINDOW)));
    }

    #[test]
    fn peers_ahead_or_unconfirmed_do_not_count() {
        let others = [host(1), host(2)];
        let mut tracker = Tracker::new(WINDOW);
        tracker.hear(host(1), answer(300, 8));
        tracker.hear(host(2), Answer { confirmed: false, ..answer(300, 7) });
        assert_eq!(tracker.fresh_until(&others, id::Revision(7)), None);
        assert!(tracker.fresh_until(&others, id::Revision(8)).is_some());
    }

    #[test]
    fn platform_confirms_without_peers() {
        let mut tracker = Tracker::new(WINDOW);
        tracker.confirm(Moment::from_millis(10));
        let until = tracker.fresh_until(&[], id::Revision(0));
        assert_eq!(until, Some(Moment::from_millis(3010)));
    }
}
