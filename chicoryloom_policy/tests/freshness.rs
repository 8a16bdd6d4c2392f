//! A small fleet under lost and late messages, restarts and moving rosters: no fresh host misses
//! a change that was accepted longer ago than the window.

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

/// What happens in one millisecond.
#[derive(Clone, Debug)]
enum Event {
    /// The platform takes a change; some of them move the roster towards a set of hosts.
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
    /// A host challenges some of the others and hears them at once.
    Round {
        host: usize,
        reachable: u8,
    },
    /// One message or answer on its way arrives, in any order; others may never.
    Arrive {
        pick: usize,
    },
    /// A host takes over what another holds.
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

/// A message on its way.
#[derive(Clone, Debug)]
enum Message {
    Challenge { from: usize, life: u64, to: usize, at: Moment },
    Answer { from: usize, to: usize, life: u64, answer: Answer },
    Platform { to: usize, life: u64, asked: Moment, revision: usize },
}

struct Host {
    life: u64,
    /// Changes held; every host holds a prefix.
    revision: usize,
    held: Vec<(usize, Moment)>,
    confirmed: bool,
    tracker: Tracker,
}

impl Host {
    fn new(life: u64) -> Self {
        let tracker = Tracker::new(WINDOW);
        Self { life, revision: 0, held: Vec::new(), confirmed: false, tracker }
    }

    fn take(&mut self, revision: usize, now: Moment) {
        if revision > self.revision {
            self.revision = revision;
            self.held.push((revision, now));
        }
    }
}

/// The platform's changes: the roster after each of them.
struct World {
    now: Moment,
    rosters: Vec<BTreeSet<id::Host>>,
    /// Revision of the latest roster.
    moved: usize,
    /// Revision accepted and the moment at which a host found it out, both growing.
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

impl World {
    fn new() -> Self {
        let all = (0..HOSTS).map(name).collect();
        Self {
            now: Moment::from_millis(100),
            rosters: vec![all],
            moved: 0,
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

    fn until(&self, host: usize) -> Option<Moment> {
        let (others, member) = self.others(host);
        let held = revision(self.hosts[host].revision);
        self.hosts[host].tracker.fresh_until(Quorum { others: &others, member }, held)
    }

    /// Tells whether a host is fresh, and the platform alone would not make it so.
    fn is_fresh_by_majority(&self, host: usize) -> bool {
        let nobody = Quorum { others: &[], member: true };
        let held = revision(self.hosts[host].revision);
        let platform = self.hosts[host].tracker.fresh_until(nobody, held);
        let fresh = |until: Option<Moment>| until.is_some_and(|until| self.now < until);
        fresh(self.until(host)) && !fresh(platform)
    }

    fn step(&mut self, event: &Event) {
        self.now = self.now.after(Duration::from_millis(1));
        match *event {
            Event::Write { wanted } => self.write(wanted),
            Event::Read { host } => self.messages.push(Message::Platform {
                to: host,
                life: self.hosts[host].life,
                asked: self.now,
                revision: self.rosters.len() - 1,
            }),
            Event::Challenge { from, to } if from != to => {
                let life = self.hosts[from].life;
                self.messages.push(Message::Challenge { from, life, to, at: self.now });
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
                self.hosts[to].take(revision, now);
            }
            Event::Restart { host } => {
                self.hosts[host] = Host::new(self.hosts[host].life + HOSTS as u64);
            }
        }
        for host in 0..HOSTS {
            let fresh = self.until(host).is_some_and(|until| self.now < until);
            self.hosts[host].confirmed |= fresh;
            self.accept(host);
        }
    }

    fn round(&mut self, from: usize, reachable: u8) {
        let life = self.hosts[from].life;
        for to in (0..HOSTS).filter(|to| *to != from && reachable >> to & 1 == 1) {
            self.arrive(Message::Challenge { from, life, to, at: self.now });
            let answer = self.messages.pop().unwrap();
            self.arrive(answer);
        }
    }

    fn write(&mut self, wanted: Option<u8>) {
        let present = self.rosters.last().unwrap().clone();
        let settled = self.accepted.last().unwrap().0 >= self.moved;
        let next = match wanted {
            Some(bits) if settled => {
                let wanted = (0..HOSTS).filter(|host| bits >> host & 1 == 1).map(name).collect();
                roster::next_members(&present, &wanted)
            }
            _ => present.clone(),
        };
        if next != present {
            self.moved = self.rosters.len();
        }
        self.rosters.push(next);
    }

    fn arrive(&mut self, message: Message) {
        match message {
            Message::Challenge { from, life, to, at } => {
                let host = &self.hosts[to];
                let answer = Answer {
                    incarnation: id::Incarnation(host.life),
                    challenged: at,
                    received: Moment::ZERO,
                    revision: revision(host.revision),
                    confirmed: host.confirmed,
                };
                self.messages.push(Message::Answer { from: to, to: from, life, answer });
            }
            Message::Answer { from, to, life, answer } if self.hosts[to].life == life => {
                let answer = Answer { received: self.now, ..answer };
                self.hosts[to].tracker.record(name(from), answer);
            }
            Message::Platform { to, life, asked, revision } if self.hosts[to].life == life => {
                let now = self.now;
                self.hosts[to].take(revision, now);
                self.hosts[to].tracker.confirm(asked);
            }
            Message::Answer { .. } | Message::Platform { .. } => {}
        }
    }

    /// Lets a host find out what is accepted.
    fn accept(&mut self, host: usize) {
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

    /// Returns a host that is fresh and misses what was accepted a window ago.
    fn violation(&self) -> Option<(usize, usize)> {
        let old = |(_, at): &&(usize, Moment)| at.after(WINDOW) <= self.now;
        let needed = self.accepted.iter().rev().find(old)?.0;
        let misses = |host: &usize| {
            let fresh = self.until(*host).is_some_and(|until| self.now < until);
            fresh && self.hosts[*host].revision < needed
        };
        (0..HOSTS).find(misses).map(|host| (host, needed))
    }
}

proptest! {
    #![proptest_config(Config { cases: 600, failure_persistence: None, ..Config::default() })]

    #[test]
    fn no_fresh_host_misses_an_old_accepted_change(
        events in proptest::collection::vec(event(), 1..300),
    ) {
        let mut world = World::new();
        for event in &events {
            world.step(event);
            let violation = world.violation();
            prop_assert!(violation.is_none(), "{violation:?} at {}", world.now);
        }
    }
}

/// The model reaches what it is about: changes and rosters are accepted, and hosts are fresh.
#[test]
fn model_makes_progress() {
    let mut runner = proptest::test_runner::TestRunner::deterministic();
    let (mut accepted, mut moved, mut fresh) = (0, 0, 0);
    for _ in 0..100 {
        let events = proptest::collection::vec(event(), 300);
        let events = events.new_tree(&mut runner).unwrap().current();
        let mut world = World::new();
        for event in &events {
            world.step(event);
            fresh += (0..HOSTS).filter(|host| world.is_fresh_by_majority(*host)).count();
        }
        accepted += world.accepted.len() - 1;
        moved += world.rosters.windows(2).filter(|pair| pair[0] != pair[1]).count();
    }
    assert!(accepted > 200 && moved > 200 && fresh > 1000, "{accepted} {moved} {fresh}");
}
