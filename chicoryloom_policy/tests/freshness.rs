//! Property test of freshness on a simulated fleet with lost and late messages, restarts and
//! changing rosters: no fresh host lacks a change that was accepted longer ago than the window.

use std::collections::BTreeSet;
use std::time::Duration;

use chicoryloom_policy::Moment;
use chicoryloom_policy::freshness::Answer;
use chicoryloom_policy::freshness::Quorum;
use chicoryloom_policy::freshness::Tracker;
use chicoryloom_policy::id;
use chicoryloom_policy::roster;
use proptest::prelude::*;
use proptest::strategy::ValueTree;
use proptest::test_runner::Config;

const HOSTS: usize = 6;
const WINDOW: Duration = Duration::from_millis(20);

/// Event of one simulated millisecond.
#[derive(Clone, Debug)]
enum Event {
    /// The platform stores a change; some changes move the roster towards a set of hosts.
    Write {
        wanted: Option<u8>,
    },
    /// A host reads the platform; the answer arrives some time later.
    Read {
        host: usize,
    },
    /// A host sends a challenge to another.
    Challenge {
        from: usize,
        to: usize,
    },
    /// A host challenges the others in a bit set and gets their answers at once.
    Round {
        host: usize,
        reachable: u8,
    },
    /// One message in transit arrives; the order is arbitrary, and some never arrive.
    Arrive {
        pick: usize,
    },
    /// A host copies all changes that another holds.
    Pull {
        from: usize,
        to: usize,
    },
    Restart {
        host: usize,
    },
}

fn event() -> impl Strategy<Value = Event> {
    let host = || 0..HOSTS;
    prop_oneof![
        1 => proptest::option::of(1u8..64).prop_map(|wanted| Event::Write { wanted }),
        2 => host().prop_map(|host| Event::Read { host }),
        6 => (host(), any::<u8>()).prop_map(|(host, reachable)| Event::Round { host, reachable }),
        4 => (host(), host()).prop_map(|(from, to)| Event::Challenge { from, to }),
        8 => any::<usize>().prop_map(|pick| Event::Arrive { pick }),
        4 => (host(), host()).prop_map(|(from, to)| Event::Pull { from, to }),
        1 => host().prop_map(|host| Event::Restart { host }),
    ]
}

/// A message in transit.
#[derive(Clone, Debug)]
enum Message {
    Challenge { from: usize, incarnation: u64, to: usize, at: Moment },
    Answer { from: usize, to: usize, incarnation: u64, answer: Answer },
    Platform { to: usize, incarnation: u64, asked: Moment, revision: usize },
}

struct Host {
    incarnation: u64,
    /// Number of changes held; every host holds a prefix of them.
    revision: usize,
    held: Vec<(usize, Moment)>,
    confirmed: bool,
    tracker: Tracker,
}

impl Host {
    fn new(incarnation: u64) -> Self {
        let tracker = Tracker::new(WINDOW);
        Self { incarnation, revision: 0, held: Vec::new(), confirmed: false, tracker }
    }

    fn advance_to(&mut self, revision: usize, now: Moment) {
        if revision > self.revision {
            self.revision = revision;
            self.held.push((revision, now));
        }
    }
}

/// A simulated platform and its hosts.
struct Simulation {
    now: Moment,
    /// Roster after each change on the platform.
    rosters: Vec<BTreeSet<id::Host>>,
    /// Revision of the latest change of the roster.
    roster_changed: usize,
    /// Accepted revisions and the moment at which a host detected each; both increase.
    accepted: Vec<(usize, Moment)>,
    hosts: Vec<Host>,
    messages: Vec<Message>,
}

fn name(host: usize) -> id::Host {
    format!("host-{host}").parse().unwrap()
}

fn revision(revision: usize) -> id::Revision {
    id::Revision(revision as u64)
}

impl Simulation {
    fn new() -> Self {
        let all = (0..HOSTS).map(name).collect();
        Self {
            now: Moment::from_millis(100),
            rosters: vec![all],
            roster_changed: 0,
            accepted: vec![(0, Moment::ZERO)],
            hosts: (0..HOSTS).map(|host| Host::new(host as u64)).collect(),
            messages: Vec::new(),
        }
    }

    fn others(&self, host: usize) -> (Vec<id::Host>, bool) {
        let roster = &self.rosters[self.hosts[host].revision];
        let own = name(host);
        (roster.iter().filter(|other| **other != own).cloned().collect(), roster.contains(&own))
    }

    fn fresh_until(&self, host: usize) -> Option<Moment> {
        let (others, member) = self.others(host);
        let held = revision(self.hosts[host].revision);
        self.hosts[host].tracker.fresh_until(Quorum { others: &others, member }, held)
    }

    /// Returns whether a host is fresh and would not be by the platform's confirmation alone.
    fn is_fresh_by_majority(&self, host: usize) -> bool {
        let no_peers = Quorum { others: &[], member: true };
        let held = revision(self.hosts[host].revision);
        let platform = self.hosts[host].tracker.fresh_until(no_peers, held);
        let fresh = |until: Option<Moment>| until.is_some_and(|until| self.now < until);
        fresh(self.fresh_until(host)) && !fresh(platform)
    }

    fn step(&mut self, event: &Event) {
        self.now = self.now.after(Duration::from_millis(1));
        match *event {
            Event::Write { wanted } => self.write(wanted),
            Event::Read { host } => self.messages.push(Message::Platform {
                to: host,
                incarnation: self.hosts[host].incarnation,
                asked: self.now,
                revision: self.rosters.len() - 1,
            }),
            Event::Challenge { from, to } if from != to => {
                let incarnation = self.hosts[from].incarnation;
                self.messages.push(Message::Challenge { from, incarnation, to, at: self.now });
            }
            Event::Challenge { .. } => {}
            Event::Round { host, reachable } => self.round(host, reachable),
            Event::Arrive { pick } if !self.messages.is_empty() => {
                let message = self.messages.swap_remove(pick % self.messages.len());
                self.arrive(message);
            }
            Event::Arrive { .. } => {}
            Event::Pull { from, to } => {
                let (revision, now) = (self.hosts[from].revision, self.now);
                self.hosts[to].advance_to(revision, now);
            }
            Event::Restart { host } => {
                self.hosts[host] = Host::new(self.hosts[host].incarnation + HOSTS as u64);
            }
        }
        for host in 0..HOSTS {
            let fresh = self.fresh_until(host).is_some_and(|until| self.now < until);
            self.hosts[host].confirmed |= fresh;
            self.detect_accepted(host);
        }
    }

    fn round(&mut self, from: usize, reachable: u8) {
        let incarnation = self.hosts[from].incarnation;
        for to in (0..HOSTS).filter(|to| *to != from && reachable >> to & 1 == 1) {
            self.arrive(Message::Challenge { from, incarnation, to, at: self.now });
            let answer = self.messages.pop().unwrap();
            self.arrive(answer);
        }
    }

    fn write(&mut self, wanted: Option<u8>) {
        let present = self.rosters.last().unwrap().clone();
        let roster_accepted = self.accepted.last().unwrap().0 >= self.roster_changed;
        let next = match wanted {
            Some(bits) if roster_accepted => {
                let wanted = (0..HOSTS).filter(|host| bits >> host & 1 == 1).map(name).collect();
                roster::next_members(&present, &wanted)
            }
            _ => present.clone(),
        };
        if next != present {
            self.roster_changed = self.rosters.len();
        }
        self.rosters.push(next);
    }

    fn arrive(&mut self, message: Message) {
        match message {
            Message::Challenge { from, incarnation, to, at } => {
                let host = &self.hosts[to];
                let answer = Answer {
                    incarnation: id::Incarnation(host.incarnation),
                    challenged: at,
                    received: Moment::ZERO,
                    revision: revision(host.revision),
                    confirmed: host.confirmed,
                };
                self.messages.push(Message::Answer { from: to, to: from, incarnation, answer });
            }
            Message::Answer { from, to, incarnation, answer }
                if self.hosts[to].incarnation == incarnation =>
            {
                let answer = Answer { received: self.now, ..answer };
                self.hosts[to].tracker.record(name(from), answer);
            }
            Message::Platform { to, incarnation, asked, revision }
                if self.hosts[to].incarnation == incarnation =>
            {
                let now = self.now;
                self.hosts[to].advance_to(revision, now);
                self.hosts[to].tracker.confirm(asked);
            }
            Message::Answer { .. } | Message::Platform { .. } => {}
        }
    }

    /// Records the latest revision that a host can prove to be accepted.
    fn detect_accepted(&mut self, host: usize) {
        let (others, member) = self.others(host);
        let quorum = Quorum { others: &others, member };
        let known = self.accepted.last().unwrap().0;
        let found = (known + 1..=self.hosts[host].revision).rev().find(|wanted| {
            let since = self.hosts[host].held.iter().find(|(held, _)| held >= wanted);
            let since = since.map(|(_, since)| *since);
            self.hosts[host].tracker.is_accepted(quorum, revision(*wanted), since)
        });
        if let Some(found) = found {
            self.accepted.push((found, self.now));
        }
    }

    /// Returns a fresh host that lacks a revision accepted a window ago, and that revision.
    fn violation(&self) -> Option<(usize, usize)> {
        let old = |(_, at): &&(usize, Moment)| at.after(WINDOW) <= self.now;
        let needed = self.accepted.iter().rev().find(old)?.0;
        let lacks = |host: &usize| {
            let fresh = self.fresh_until(*host).is_some_and(|until| self.now < until);
            fresh && self.hosts[*host].revision < needed
        };
        (0..HOSTS).find(lacks).map(|host| (host, needed))
    }
}

proptest! {
    #![proptest_config(Config { cases: 600, failure_persistence: None, ..Config::default() })]

    #[test]
    fn no_fresh_host_lacks_an_old_accepted_change(
        events in proptest::collection::vec(event(), 1..300),
    ) {
        let mut simulation = Simulation::new();
        for event in &events {
            simulation.step(event);
            let violation = simulation.violation();
            prop_assert!(
                violation.is_none(),
                "fresh host and revision that it lacks: {violation:?} at {}",
                simulation.now
            );
        }
    }
}

/// Guards against a simulation that passes because nothing happens in it: changes must be
/// accepted, rosters must change, and hosts must become fresh by a majority.
#[test]
fn simulation_makes_progress() {
    let mut runner = proptest::test_runner::TestRunner::deterministic();
    let (mut accepted, mut roster_changed, mut fresh) = (0, 0, 0);
    for _ in 0..100 {
        let events = proptest::collection::vec(event(), 300);
        let events = events.new_tree(&mut runner).unwrap().current();
        let mut simulation = Simulation::new();
        for event in &events {
            simulation.step(event);
            fresh += (0..HOSTS).filter(|host| simulation.is_fresh_by_majority(*host)).count();
        }
        accepted += simulation.accepted.len() - 1;
        roster_changed += simulation.rosters.windows(2).filter(|pair| pair[0] != pair[1]).count();
    }
    assert!(
        accepted > 200 && roster_changed > 200 && fresh > 1000,
        "{accepted} accepted, {roster_changed} roster changes, {fresh} fresh"
    );
}
