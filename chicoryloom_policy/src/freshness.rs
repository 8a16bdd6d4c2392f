//! Freshness of a host: how long it may rely on holding every accepted change.
//!
//! A change is accepted once a majority of the roster held it at one instant. A host that holds
//! all that the platform held at some moment, or all that a majority held, can't lack a change
//! that was accepted before that moment, and stays fresh for one window after it.
//!
//! A revision covers every object up to it, so a host that holds a later roster holds all that
//! was ever accepted under an earlier one.

use std::collections::HashMap;
use std::collections::VecDeque;
use std::time::Duration;

use crate::Moment;
use crate::id;
use crate::roster;

/// Most revisions recorded for one peer; the oldest are dropped.
const MAX_REVISIONS_PER_PEER: usize = 32;

/// State of a peer, as its answer to a challenge shows it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Answer {
    pub incarnation: id::Incarnation,
    /// When this host sent the challenge that the answer echoes.
    pub challenged: Moment,
    /// When the answer arrived.
    pub received: Moment,
    /// Revision up to which the peer held every object.
    pub revision: id::Revision,
    /// Whether this incarnation of the peer has confirmed its state. Others don't count towards
    /// freshness, since a restarted host may have lost what it confirmed before.
    pub confirmed: bool,
}

/// Answers of one peer's current incarnation.
#[derive(Clone, Debug)]
struct Peer {
    /// Answer to the latest challenge.
    latest: Answer,
    /// Revisions and the moment from which the peer provably held each; both increase.
    held: VecDeque<(id::Revision, Moment)>,
}

impl Peer {
    fn new(answer: Answer) -> Self {
        Self { latest: answer, held: VecDeque::from([(answer.revision, answer.received)]) }
    }

    fn record(&mut self, answer: Answer) {
        if answer.incarnation != self.latest.incarnation {
            *self = Self::new(answer);
            return;
        }
        self.latest = answer;
        let known = self.held.back().map(|(revision, _)| *revision);
        if known < Some(answer.revision) {
            self.held.push_back((answer.revision, answer.received));
        }
        if self.held.len() > MAX_REVISIONS_PER_PEER {
            self.held.pop_front();
        }
    }

    /// Returns the start and end of the time in which the peer provably held a revision without
    /// a restart.
    fn held_between(&self, revision: id::Revision) -> Option<(Moment, Moment)> {
        let first = self.held.iter().find(|(held, _)| *held >= revision)?;
        (first.1 <= self.latest.challenged).then_some((first.1, self.latest.challenged))
    }
}

/// The hosts of a roster, a majority of which is needed.
#[derive(Clone, Copy, Debug)]
pub struct Quorum<'a> {
    /// Hosts of the roster without this one.
    pub others: &'a [id::Host],
    /// Whether this host is on the roster.
    pub member: bool,
}

impl Quorum<'_> {
    /// Returns how many of the others are needed, or `None` if the roster is empty and no number
    /// is enough.
    fn needed(&self) -> Option<usize> {
        let own = usize::from(self.member);
        let size = self.others.len() + own;
        (size > 0).then(|| roster::majority(size) - own)
    }
}

/// Tracks what confirms that one host's state is complete.
#[derive(Clone, Debug)]
pub struct Tracker {
    window: Duration,
    /// Latest moment at which the platform held nothing that this host lacks.
    platform: Option<Moment>,
    peers: HashMap<id::Host, Peer>,
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

    /// Records a peer's answer unless it already answered a later challenge.
    pub fn record(&mut self, peer: id::Host, answer: Answer) {
        match self.peers.get_mut(&peer) {
            None => {
                self.peers.insert(peer, Peer::new(answer));
            }
            Some(known) if known.latest.challenged < answer.challenged => known.record(answer),
            Some(_) => {}
        }
    }

    /// Drops the answers of hosts for which `keep` returns false.
    pub fn retain<F: Fn(&id::Host) -> bool>(&mut self, keep: F) {
        self.peers.retain(|peer, _| keep(peer));
    }

    /// Returns a peer's answer to the latest challenge.
    pub fn latest(&self, peer: &id::Host) -> Option<&Answer> {
        self.peers.get(peer).map(|peer| &peer.latest)
    }

    /// Returns whether a peer answered a challenge that was sent within the last window.
    pub fn is_reachable(&self, peer: &id::Host, now: Moment) -> bool {
        self.latest(peer).is_some_and(|answer| now < answer.challenged.after(self.window))
    }

    /// Returns whether a majority answered challenges that were sent within the last window.
    pub fn reaches_majority(&self, quorum: Quorum<'_>, now: Moment) -> bool {
        let reachable = quorum.others.iter().filter(|peer| self.is_reachable(peer, now)).count();
        quorum.needed().is_some_and(|needed| reachable >= needed)
    }

    /// Returns the moment until which the host is fresh, or `None` if it never was.
    ///
    /// `revision` is the one up to which this host holds every object.
    pub fn fresh_until(&self, quorum: Quorum<'_>, revision: id::Revision) -> Option<Moment> {
        let confirmed = self.platform.max(self.majority(quorum, revision));
        confirmed.map(|moment| moment.after(self.window))
    }

    /// Returns the latest moment at which a majority held nothing that this host lacks.
    fn majority(&self, quorum: Quorum<'_>, revision: id::Revision) -> Option<Moment> {
        // A host alone on its roster can't confirm its own state.
        let needed = quorum.needed().filter(|needed| *needed > 0)?;
        let counts = |answer: &&Answer| answer.confirmed && answer.revision <= revision;
        let answers = quorum.others.iter().filter_map(|peer| self.latest(peer));
        let mut moments: Vec<_> = answers.filter(counts).map(|a| a.challenged).collect();
        moments.sort_by(|a, b| b.cmp(a));
        moments.get(needed - 1).copied()
    }

    /// Returns whether a majority provably held a revision at one and the same instant.
    ///
    /// Answers that show it at different instants are not enough: a peer could restart between
    /// its own answer and the last one, and lose the revision. So each peer that counts held the
    /// revision before the instant and answered a challenge sent after it, within one
    /// incarnation. `since` is the moment from which this host holds the revision, if it does.
    pub fn is_accepted(
        &self,
        quorum: Quorum<'_>,
        revision: id::Revision,
        since: Option<Moment>,
    ) -> bool {
        let Some(needed) = quorum.needed() else {
            return false;
        };
        let others = quorum.others.iter().filter_map(|peer| self.peers.get(peer));
        let held_by_peer: Vec<_> = others.filter_map(|peer| peer.held_between(revision)).collect();
        let own = quorum.member.then_some(since).flatten();
        let needed = needed + usize::from(quorum.member && own.is_none());
        let starts = held_by_peer.iter().map(|(start, _)| *start).chain(own);
        starts.into_iter().any(|instant| {
            let holds = |period: &&(Moment, Moment)| period.0 <= instant && instant <= period.1;
            let held = own.is_none_or(|own| own <= instant);
            held && held_by_peer.iter().filter(holds).count() >= needed
        })
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const WINDOW: Duration = Duration::from_secs(3);

    fn host(n: usize) -> id::Host {
        format!("host-{n}").parse().unwrap()
    }

    fn quorum(others: &[id::Host]) -> Quorum<'_> {
        Quorum { others, member: true }
    }

    fn answer(at_ms: u64, revision: u64) -> Answer {
        Answer {
            incarnation: id::Incarnation(1),
            challenged: Moment::from_millis(at_ms),
            received: Moment::from_millis(at_ms + 10),
            revision: id::Revision(revision),
            confirmed: true,
        }
    }

    #[test]
    fn majority_counts_from_its_oldest_challenge() {
        let others: Vec<_> = (1..5).map(host).collect();
        let mut tracker = Tracker::new(WINDOW);
        tracker.record(host(1), answer(300, 7));
        assert_eq!(tracker.fresh_until(quorum(&others), id::Revision(7)), None);
        tracker.record(host(2), answer(200, 6));
        let until = tracker.fresh_until(quorum(&others), id::Revision(7));
        assert_eq!(until, Some(Moment::from_millis(200).after(WINDOW)));
        let non_member = Quorum { others: &others, member: false };
        assert_eq!(tracker.fresh_until(non_member, id::Revision(7)), None);
    }

    #[test]
    fn peers_ahead_or_unconfirmed_do_not_count() {
        let others = [host(1), host(2)];
        let mut tracker = Tracker::new(WINDOW);
        tracker.record(host(1), answer(300, 8));
        tracker.record(host(2), Answer { confirmed: false, ..answer(300, 7) });
        assert_eq!(tracker.fresh_until(quorum(&others), id::Revision(7)), None);
        assert!(tracker.fresh_until(quorum(&others), id::Revision(8)).is_some());
    }

    #[test]
    fn platform_confirms_without_peers() {
        let mut tracker = Tracker::new(WINDOW);
        tracker.confirm(Moment::from_millis(10));
        let until = tracker.fresh_until(quorum(&[]), id::Revision(0));
        assert_eq!(until, Some(Moment::from_millis(3010)));
    }

    #[test]
    fn acceptance_needs_one_instant_for_all() {
        let others = [host(1), host(2)];
        let held = id::Revision(7);
        let mut tracker = Tracker::new(WINDOW);
        tracker.record(host(1), answer(100, 7));
        assert!(!tracker.is_accepted(quorum(&others), held, Some(Moment::from_millis(50))));
        // The restart between the two answers ends the time in which the revision was held.
        let restarted = Answer { incarnation: id::Incarnation(2), ..answer(200, 7) };
        tracker.record(host(1), restarted);
        assert!(!tracker.is_accepted(quorum(&others), held, Some(Moment::from_millis(50))));
        tracker.record(host(1), Answer { incarnation: id::Incarnation(2), ..answer(300, 8) });
        assert!(tracker.is_accepted(quorum(&others), held, Some(Moment::from_millis(50))));
        assert!(!tracker.is_accepted(quorum(&others), held, None));
    }
}
