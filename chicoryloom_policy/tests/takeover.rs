//! Who watches the platform in a data centre whose hosts fail, and when changes reach the others.

use std::time::Duration;

use chicoryloom_policy::takeover;
use chicoryloom_policy::takeover::Candidate;
use chicoryloom_policy::takeover::MAX_FRESH_AGE;
use chicoryloom_policy::takeover::Relay;
use chicoryloom_policy::takeover::Standing;
use chicoryloom_policy::takeover::due_age;
use rstest::rstest;

/// Time within which a change must be in force.
const PROPAGATION_LIMIT: Duration = Duration::from_secs(2);
const STEP: Duration = Duration::from_millis(50);
/// Steps after which a host that watches is known as a watcher to the others.
const NEWS_DELAY: usize = 4;
/// Steps until a call to the platform is answered.
const CALL: usize = 2;
/// Steps until a call fails that is not answered.
const CALL_TIMEOUT: usize = 38;
/// Time after which a host that is cut from the platform follows one that isn't.
const CUT_LIMIT: Duration = Duration::from_secs(4);
/// Steps until it is clear that a relay does not respond, and for which it is not followed then.
const RELAY_TIMEOUT: usize = 8;
const RELAY_BACKOFF: usize = 8;

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum State {
    Well,
    Stopped,
    CutFromPlatform,
}

#[derive(Clone, Debug)]
struct Host {
    state: State,
    /// Step as of which its copy is the platform's state.
    confirmed: usize,
    /// Step at which it began to watch.
    watches_since: Option<usize>,
    /// Step at which it is known that its relay does not respond, and which one that is.
    silent_relay: Option<(usize, usize)>,
    avoided: Vec<usize>,
}

/// A data centre whose hosts are in order.
struct Centre {
    hosts: Vec<Host>,
    now: usize,
}

impl Centre {
    /// Returns hosts that follow the first one, of which the first `lost` are lost at step 0.
    fn new(count: usize, lost: usize, state: State) -> Self {
        let host = |place| Host {
            state: if place < lost { state } else { State::Well },
            confirmed: 0,
            watches_since: (place == 0).then_some(0),
            silent_relay: None,
            avoided: vec![0; count],
        };
        Self { hosts: (0..count).map(host).collect(), now: 0 }
    }

    fn age(&self, place: usize) -> Duration {
        STEP * u32::try_from(self.now - self.hosts[place].confirmed).unwrap()
    }

    fn watches(&self, place: usize, delay: usize) -> bool {
        self.hosts[place].watches_since.is_some_and(|since| since + delay <= self.now)
    }

    /// Returns the place of another host by its index in the order without the host at `me`.
    fn place(me: usize, index: usize) -> usize {
        if index < me { index } else { index + 1 }
    }

    fn is_failing(&self, place: usize) -> bool {
        self.hosts[place].state == State::CutFromPlatform && self.watches(place, CALL_TIMEOUT)
    }

    fn standing(&self, me: usize) -> Standing {
        let host = &self.hosts[me];
        let is_watching = host.watches_since.is_some();
        let is_failing = is_watching && self.is_failing(me);
        Standing { place: me, age: self.age(me), has_copy: true, is_watching, is_failing }
    }

    fn relay(&self, me: usize) -> Option<Relay> {
        let candidate = |place: usize| Candidate {
            // Hosts learn late that a watcher is lost.
            watches: self.watches(place, NEWS_DELAY)
                && !self.is_failing(place)
                && self.age(place) < MAX_FRESH_AGE,
            is_usable: self.hosts[me].avoided[place] <= self.now,
        };
        let others = (0..self.hosts.len()).filter(|place| *place != me);
        self.standing(me).relay(&others.map(candidate).collect::<Vec<_>>())
    }

    fn set_watching(&mut self, me: usize, watches: bool) {
        let (now, since) = (self.now, self.hosts[me].watches_since);
        self.hosts[me].watches_since = watches.then(|| since.unwrap_or(now));
    }

    fn step_host(&mut self, me: usize) {
        if self.hosts[me].state == State::Stopped {
            return;
        }
        if self.watches(me, CALL) && self.hosts[me].state == State::Well {
            self.hosts[me].confirmed = self.now;
        }
        if self.age(me) >= due_age(me) {
            self.set_watching(me, true);
        }
        if let Some((until, place)) = self.hosts[me].silent_relay {
            if until > self.now {
                return;
            }
            self.hosts[me].silent_relay = None;
            self.hosts[me].avoided[place] = self.now + RELAY_BACKOFF;
        }
        let Some(relay) = self.relay(me) else {
            let watches = self.standing(me).watches();
            return self.set_watching(me, watches);
        };
        let place = Self::place(me, relay.index);
        if self.hosts[place].state == State::Stopped {
            self.hosts[me].silent_relay = Some((self.now + RELAY_TIMEOUT, place));
        } else if self.age(place) >= MAX_FRESH_AGE {
            self.hosts[me].avoided[place] = self.now + RELAY_BACKOFF;
        } else {
            self.hosts[me].confirmed = self.hosts[me].confirmed.max(self.hosts[place].confirmed);
            if relay.replaces_watch {
                self.set_watching(me, false);
            }
        }
    }

    /// Plays some time; returns the largest age of any copy of a host that is well.
    fn run(&mut self, time: Duration) -> Duration {
        let mut oldest = Duration::ZERO;
        for _ in 0..time.as_millis() / STEP.as_millis() {
            self.now += 1;
            for me in 0..self.hosts.len() {
                self.step_host(me);
                if self.hosts[me].state == State::Well {
                    oldest = oldest.max(self.age(me));
                }
            }
        }
        oldest
    }

    fn watchers(&self) -> Vec<usize> {
        (0..self.hosts.len()).filter(|place| self.watches(*place, 0)).collect()
    }
}

#[rstest]
fn copies_stay_young_enough_whoever_is_lost(
    #[values(3, 12, 40, 100)] count: usize,
    #[values(1, 2, 5, 11)] lost: usize,
    #[values(State::Stopped, State::CutFromPlatform)] state: State,
) {
    if lost >= count {
        return;
    }
    let mut centre = Centre::new(count, lost, state);
    let oldest = centre.run(Duration::from_secs(20));
    assert!(oldest < PROPAGATION_LIMIT, "{oldest:?}");
}

#[rstest]
fn hosts_cut_from_the_platform_follow_others(#[values(3, 12, 100)] count: usize) {
    let mut centre = Centre::new(count, 2, State::CutFromPlatform);
    centre.run(CUT_LIMIT);
    for _ in 0..20 {
        centre.run(Duration::from_secs(1));
        let oldest = (0..count).map(|place| centre.age(place)).max();
        assert!(oldest < Some(PROPAGATION_LIMIT), "{oldest:?}");
    }
}

#[rstest]
fn few_hosts_watch_once_one_has_taken_over(
    #[values(12, 100)] count: usize,
    #[values(State::Stopped, State::CutFromPlatform)] state: State,
) {
    let mut centre = Centre::new(count, 2, state);
    centre.run(Duration::from_secs(5));
    let well = |centre: &Centre| centre.watchers().iter().filter(|place| **place >= 2).count();
    assert_eq!(well(&centre), 1);
    let oldest = centre.run(Duration::from_secs(20));
    assert_eq!(well(&centre), 1);
    assert!(oldest < Duration::from_millis(400), "{oldest:?} long after the takeover");
}

#[test]
fn host_stops_watching_once_an_earlier_one_is_back() {
    let mut centre = Centre::new(12, 2, State::CutFromPlatform);
    centre.run(Duration::from_secs(5));
    centre.hosts.iter_mut().for_each(|host| host.state = State::Well);
    centre.run(Duration::from_secs(3));
    assert_eq!(centre.watchers(), [0]);
}

#[rstest]
#[case::first(0)]
#[case::last(2)]
fn host_that_starts_in_an_outage_takes_any_copy(#[case] place: usize) {
    let others = [Candidate { watches: false, is_usable: true }; 2];
    let age = Duration::from_millis(10);
    let standing = Standing { place, age, has_copy: false, is_watching: true, is_failing: true };
    assert_eq!(standing.relay(&others), Some(Relay { index: 0, replaces_watch: false }));
    assert_eq!(Standing { has_copy: true, ..standing }.relay(&others), None);
    assert_eq!(Standing { is_failing: false, ..standing }.relay(&others), None);
}

/// What was withdrawn while a host was down must not come back by an old copy of another host.
#[rstest]
#[case::fresh(1300, false, false, true)]
#[case::old(1400, false, false, false)]
#[case::old_in_an_outage(9000, false, true, true)]
#[case::old_for_a_host_with_a_copy(9000, true, false, true)]
fn host_without_a_copy_takes_a_fresh_one(
    #[case] age_ms: u64,
    #[case] has_copy: bool,
    #[case] is_failing: bool,
    #[case] takes: bool,
) {
    assert_eq!(takeover::takes(Duration::from_millis(age_ms), has_copy, is_failing), takes);
}
