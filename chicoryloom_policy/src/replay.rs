//! Replay protection: rejects frames that are old, repeated or from an ended incarnation.

use std::collections::HashMap;
use std::time::Duration;

use crate::Moment;
use crate::id;

/// Number of latest frames of a sender among which reordering is tolerated.
const REORDER_WINDOW: u64 = 64;

/// Result of the check of a frame.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Verdict {
    /// The frame is new and from the sender's current incarnation.
    Accept,
    /// The frame's incarnation has not echoed a recent challenge yet, so it may be a replayed
    /// datagram.
    Unproven,
    /// The frame was seen before, or is too old to tell whether it was.
    Replay,
}

/// Sender and number of a frame.
#[derive(Clone, Copy, Debug)]
pub struct Stamp<'a> {
    pub sender: &'a id::Host,
    pub incarnation: id::Incarnation,
    pub sequence: u64,
    /// Challenge of this host that the frame echoes.
    pub echo: Option<Moment>,
}

/// State of one sender's current incarnation.
#[derive(Clone, Copy, Debug)]
struct Sender {
    incarnation: id::Incarnation,
    highest: u64,
    /// Bit n is set if the frame `highest - n` was seen.
    mask: u64,
    /// Latest challenge echoed.
    last_echo: Moment,
}

impl Sender {
    fn is_new(&mut self, sequence: u64) -> bool {
        if sequence > self.highest {
            let ahead = sequence - self.highest;
            self.mask = if ahead < REORDER_WINDOW { self.mask << ahead | 1 } else { 1 };
            self.highest = sequence;
            return true;
        }
        let behind = self.highest - sequence;
        if behind >= REORDER_WINDOW || self.mask >> behind & 1 == 1 {
            return false;
        }
        self.mask |= 1 << behind;
        true
    }
}

/// Replay filter for frames of all senders.
///
/// Incarnations have no order, so a new one is accepted only once it echoes a challenge that is
/// recent and later than any that the known one echoed. No old datagram can do so.
#[derive(Clone, Debug)]
pub struct Guard {
    window: Duration,
    senders: HashMap<id::Host, Sender>,
}

impl Guard {
    /// Returns a guard for which challenges are recent within a window.
    pub fn new(window: Duration) -> Self {
        Self { window, senders: HashMap::new() }
    }

    /// Checks a frame whose MAC has been verified.
    pub fn check(&mut self, stamp: Stamp<'_>, now: Moment) -> Verdict {
        let recent = stamp.echo.filter(|echo| *echo <= now && now < echo.after(self.window));
        let seen = self.senders.get_mut(stamp.sender);
        if let Some(seen) = seen.filter(|seen| seen.incarnation == stamp.incarnation) {
            if !seen.is_new(stamp.sequence) {
                return Verdict::Replay;
            }
            seen.last_echo = seen.last_echo.max(recent.unwrap_or_default());
            return Verdict::Accept;
        }
        let known = self.senders.get(stamp.sender).map(|seen| seen.last_echo);
        let Some(echo) = recent.filter(|echo| known < Some(*echo)) else {
            return Verdict::Unproven;
        };
        let Stamp { incarnation, sequence, .. } = stamp;
        let seen = Sender { incarnation, highest: sequence, mask: 1, last_echo: echo };
        self.senders.insert(stamp.sender.clone(), seen);
        Verdict::Accept
    }
}

#[cfg(test)]
mod tests {
    use std::collections::HashSet;

    use proptest::prelude::*;

    use super::*;

    const WINDOW: Duration = Duration::from_secs(3);

    fn check(guard: &mut Guard, incarnation: u64, sequence: u64, echo: u64, now: u64) -> Verdict {
        let sender = "host-1".parse().unwrap();
        let incarnation = id::Incarnation(incarnation);
        let echo = (echo > 0).then(|| Moment::from_millis(echo));
        let stamp = Stamp { sender: &sender, incarnation, sequence, echo };
        guard.check(stamp, Moment::from_millis(now))
    }

    #[test]
    fn ended_incarnation_does_not_come_back() {
        let mut guard = Guard::new(WINDOW);
        assert_eq!(check(&mut guard, 1, 1, 0, 1000), Verdict::Unproven);
        assert_eq!(check(&mut guard, 1, 2, 900, 1000), Verdict::Accept);
        assert_eq!(check(&mut guard, 2, 1, 950, 1100), Verdict::Accept);
        assert_eq!(check(&mut guard, 1, 3, 940, 1100), Verdict::Unproven);
        assert_eq!(check(&mut guard, 1, 4, 950, 5000), Verdict::Unproven);
    }

    proptest! {
        /// No frame is accepted twice, in whatever order copies arrive.
        #[test]
        fn no_frame_is_accepted_twice(order in proptest::collection::vec(1u64..200, 1..400)) {
            let mut guard = Guard::new(WINDOW);
            let mut accepted = HashSet::new();
            for sequence in order {
                if check(&mut guard, 1, sequence, 900, 1000) == Verdict::Accept {
                    prop_assert!(accepted.insert(sequence));
                }
            }
        }
    }
}
