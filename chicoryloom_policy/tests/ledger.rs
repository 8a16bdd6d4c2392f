//! Randomised simulation of hosts that divide one grant under faults.
//!
//! The model keeps the guarantees of other parts of the system: an accepted ledger is known to a
//! majority, and a host that confirms its state knows every ledger accepted before. Everything else
//! is random: lost, duplicated and late datagrams, crashes, restarts, pauses, seats taken over and
//! released, outages of the platform and lost responses from it.

use std::collections::HashSet;
use std::time::Duration;

use chicoryloom_policy::Moment;
use chicoryloom_policy::account::Account;
use chicoryloom_policy::account::LoanOffer;
use chicoryloom_policy::account::LoanRequest;
use chicoryloom_policy::document::Grant;
use chicoryloom_policy::id::Host;
use chicoryloom_policy::id::Incarnation;
use chicoryloom_policy::ledger::Holder;
use chicoryloom_policy::ledger::Holdings;
use chicoryloom_policy::ledger::Ledger;
use chicoryloom_policy::limit::Bucket;
use chicoryloom_policy::limit::Flow;
use chicoryloom_policy::limit::Share;
use chicoryloom_policy::limit::Tokens;
use chicoryloom_policy::unit::Burst;
use chicoryloom_policy::unit::Rate;
use chicoryloom_policy::unit::Weight;
use rand::Rng;
use rand::SeedableRng;
use rand::seq::IteratorRandom;
use rand_pcg::Pcg64;
use rstest::rstest;

const HOSTS: usize = 5;
const HOMES: usize = 4;
const STEPS: usize = 400;
const FRESH_WINDOW: Duration = Duration::from_millis(900);
const CLOCK_MARGIN: Duration = Duration::from_millis(20);

struct Node {
    name: Host,
    alive: bool,
    paused: bool,
    stopping: bool,
    me: Holder,
    /// Index of the latest ledger that the node knows.
    known: usize,
    grant: Grant,
    fresh_until: Moment,
    holdings: Holdings,
    account: Account,
}

#[derive(Clone, Copy)]
enum Message {
    Request { from: usize, incarnation: Incarnation, to: usize, request: LoanRequest },
    Offer { lender: Incarnation, to: usize, incarnation: Incarnation, offer: LoanOffer },
}

struct World {
    rng: Pcg64,
    now: Moment,
    activation_delay: Duration,
    grant_changes: bool,
    /// Every version of the grant; hosts receive a new one only when they confirm their state.
    grants: Vec<Grant>,
    /// Every ledger that was written, and when it was accepted if it was.
    ledgers: Vec<(Ledger, Option<Moment>)>,
    platform_up: bool,
    homes: Vec<Host>,
    nodes: Vec<Node>,
    in_flight: Vec<Message>,
    admitted: Vec<Moment>,
    /// Whether two hosts could ever admit requests on the same seat at the same time.
    seat_active_twice: bool,
}

impl World {
    fn new(seed: u64, activation_delay: Duration, grant_changes: bool) -> Self {
        let mut rng = Pcg64::seed_from_u64(seed);
        let rate = [0.5, 7.0, 60.0, 700.0][rng.random_range(0..4)];
        let burst = [1, 3, 10, 24, 60][rng.random_range(0..5)];
        let names: Vec<Host> = (0..HOSTS).map(|n| format!("host-{n}").parse().unwrap()).collect();
        let first = grant(rate, burst);
        let node = |name: &Host| node(name.clone(), 1, activation_delay, first, Moment::ZERO);
        Self {
            now: Moment::ZERO,
            activation_delay,
            grant_changes,
            grants: vec![first],
            ledgers: vec![(Ledger::default(), Some(Moment::ZERO))],
            platform_up: true,
            homes: names[..HOMES].to_vec(),
            nodes: names.iter().map(node).collect(),
            in_flight: Vec::new(),
            admitted: Vec::new(),
            seat_active_twice: false,
            rng,
        }
    }

    fn run(&mut self) {
        for _ in 0..STEPS {
            let span = if self.rng.random_bool(0.03) { 300_000 } else { 15_000 };
            self.now = self.now.after(Duration::from_micros(self.rng.random_range(0..span)));
            self.accept_ledgers();
            let node = self.rng.random_range(0..HOSTS);
            match self.rng.random_range(0..1000) {
                0..4 => self.crash(node, false),
                4..30 => self.revive(node),
                30..40 => self.nodes[node].paused = true,
                40..80 => self.nodes[node].paused = false,
                80..83 => self.platform_up = false,
                83..100 => self.platform_up = true,
                100..104 => self.move_homes(),
                104 if self.grant_changes => self.change_grant(),
                105..107 => self.nodes[node].stopping = true,
                107..207 => self.propose(node),
                207..357 => self.confirm(node),
                357..500 => self.deliver(),
                _ => (0..HOSTS).for_each(|node| self.request(node)),
            }
            self.seat_active_twice |= self.has_seat_active_twice();
        }
    }

    fn has_seat_active_twice(&self) -> bool {
        let admitting =
            (0..HOSTS).filter(|node| self.is_fresh(*node) && !self.nodes[*node].stopping);
        let seats = admitting.flat_map(|node| self.nodes[node].holdings.active(self.now));
        let mut seen = HashSet::new();
        !seats.into_iter().all(|seat| seen.insert(seat))
    }

    fn is_running(&self, node: usize) -> bool {
        self.nodes[node].alive && !self.nodes[node].paused
    }

    fn is_fresh(&self, node: usize) -> bool {
        self.is_running(node) && self.now < self.nodes[node].fresh_until
    }

    /// At random, makes a majority of hosts learn the next ledger and then accepts it.
    fn accept_ledgers(&mut self) {
        let Some(next) = self.ledgers.iter().position(|(_, accepted)| accepted.is_none()) else {
            return;
        };
        let running: Vec<_> = (0..HOSTS).filter(|node| self.is_running(*node)).collect();
        if running.len() <= HOSTS / 2 || self.rng.random_bool(0.8) {
            return;
        }
        for node in running.into_iter().choose_multiple(&mut self.rng, HOSTS / 2 + 1) {
            self.learn(node, next);
        }
        self.ledgers[next].1 = Some(self.now);
    }

    fn learn(&mut self, node: usize, version: usize) {
        let node = &mut self.nodes[node];
        node.known = node.known.max(version);
        node.holdings.update(&self.ledgers[node.known].0, self.now);
        node.apply_share(self.now);
    }

    /// Confirms a node's state, through the platform if it is up, otherwise through a majority.
    fn confirm(&mut self, node: usize) {
        if !self.is_running(node) {
            return;
        }
        let accepted = self.ledgers.iter().rposition(|(_, accepted)| accepted.is_some()).unwrap();
        let latest = if self.platform_up { self.ledgers.len() - 1 } else { accepted };
        self.learn(node, latest);
        let generation = self.ledgers[accepted].0.generation;
        let now = self.now;
        let node = &mut self.nodes[node];
        node.fresh_until = now.after(FRESH_WINDOW);
        node.grant = *self.grants.last().unwrap();
        node.holdings.accept(generation, now);
        node.apply_share(now);
    }

    fn propose(&mut self, node: usize) {
        if !self.is_running(node) || !self.platform_up {
            return;
        }
        let claim_all = self.rng.random_bool(0.2);
        let member = &mut self.nodes[node];
        let ledger = &self.ledgers[member.known].0;
        let next = if member.stopping {
            member.account.set_share(Share::default(), self.now);
            member.account.level(self.now);
            let pending = member.holdings.pending(self.now);
            let settled = member.account.lent_until().is_none();
            settled.then(|| ledger.release(&member.me, &pending)).flatten()
        } else {
            ledger.propose(&member.me, &self.homes, claim_all)
        };
        let is_latest = member.known + 1 == self.ledgers.len();
        let Some(next) = next.filter(|_| is_latest) else {
            return;
        };
        self.ledgers.push((next, None));
        // If the platform's response is lost, the writer doesn't know that its write succeeded.
        if self.rng.random_bool(0.7) {
            self.learn(node, self.ledgers.len() - 1);
        }
    }

    fn change_grant(&mut self) {
        let first = self.grants[0];
        let factor = self.rng.random_range(1..=3);
        let rate = first.rate.per_second() / f64::from(factor);
        self.grants.push(grant(rate, first.burst.0.div_ceil(factor)));
    }

    fn move_homes(&mut self) {
        let names: Vec<_> = self.nodes.iter().map(|node| node.name.clone()).collect();
        self.homes = names.into_iter().choose_multiple(&mut self.rng, HOMES);
    }

    fn revive(&mut self, index: usize) {
        if !self.nodes[index].alive || self.nodes[index].stopping {
            self.crash(index, true);
        }
    }

    /// Crashes a node. Its next incarnation, which starts at once if `alive`, has no state.
    fn crash(&mut self, index: usize, alive: bool) {
        let old = &self.nodes[index];
        let incarnation = old.me.incarnation.0 + 1;
        let new =
            node(old.name.clone(), incarnation, self.activation_delay, self.grants[0], self.now);
        self.nodes[index] = Node { alive, ..new };
    }

    fn request(&mut self, node: usize) {
        if !self.is_fresh(node) || self.nodes[node].stopping {
            return;
        }
        self.nodes[node].apply_share(self.now);
        for _ in 0..self.rng.random_range(0..50) {
            if self.nodes[node].account.admit(self.now).is_err() {
                break;
            }
            self.admitted.push(self.now);
        }
        let Some(request) = self.nodes[node].account.request_loan(self.now) else {
            return;
        };
        let incarnation = self.nodes[node].me.incarnation;
        for to in (0..HOSTS).filter(|to| *to != node) {
            self.in_flight.push(Message::Request { from: node, incarnation, to, request });
        }
    }

    fn deliver(&mut self) {
        for _ in 0..3 {
            if self.in_flight.is_empty() {
                return;
            }
            let index = self.rng.random_range(0..self.in_flight.len());
            let message = self.in_flight[index];
            if self.rng.random_bool(0.85) {
                self.in_flight.swap_remove(index);
            }
            if self.rng.random_bool(0.85) {
                self.receive(message);
            }
        }
    }

    fn receive(&mut self, message: Message) {
        let now = self.now;
        match message {
            Message::Request { from, incarnation, to, request } => {
                if !self.is_fresh(to) || self.nodes[to].stopping {
                    return;
                }
                let node = &mut self.nodes[to];
                node.apply_share(now);
                let offer = node.account.lend(request, node.fresh_until.since(now), now);
                // Makes the lender's incarnation unique among hosts.
                let lender = Incarnation(node.me.incarnation.0 * HOSTS as u64 + to as u64);
                self.in_flight.push(Message::Offer { lender, to: from, incarnation, offer });
            }
            Message::Offer { lender, to, incarnation, offer } => {
                if self.is_running(to) && self.nodes[to].me.incarnation == incarnation {
                    self.nodes[to].account.accept(offer, lender, now);
                }
            }
        }
    }

    /// Returns the index of the first admission that exceeds the grant over some window.
    ///
    /// Checks against the first version of the grant; later ones are never larger.
    fn violation(&self) -> Option<usize> {
        let grant = self.grants[0];
        let share = Share { flow: Flow::from(grant.rate), cap: Tokens::whole(grant.burst.0) };
        let mut bucket = Bucket::empty(share, Moment::ZERO);
        bucket.deposit(share.cap);
        self.admitted.iter().position(|at| bucket.take(*at).is_err())
    }
}

impl Node {
    fn apply_share(&mut self, now: Moment) {
        let share = self.holdings.share(&self.grant, 3, now);
        let share = if self.stopping { Share::default() } else { share };
        self.account.set_share(share, now);
    }
}

fn grant(rate: f64, burst: u32) -> Grant {
    Grant { rate: Rate::new(rate).unwrap(), burst: Burst(burst), weight: Weight(1) }
}

fn node(
    name: Host,
    incarnation: u64,
    activation_delay: Duration,
    grant: Grant,
    now: Moment,
) -> Node {
    let me = Holder { host: name.clone(), incarnation: Incarnation(incarnation) };
    Node {
        name,
        alive: true,
        paused: false,
        stopping: false,
        holdings: Holdings::new(me.clone(), activation_delay),
        me,
        known: 0,
        grant,
        fresh_until: Moment::ZERO,
        account: Account::new(now),
    }
}

/// Runs the admissions of all hosts, in order, through one token bucket. It runs empty exactly if
/// some window has more admissions than burst + rate × window.
#[rstest]
fn no_simulated_run_exceeds_the_grant(
    #[values(0, 1, 2, 3)] seed_block: u64,
    #[values(false, true)] grant_changes: bool,
) {
    let mut admitted = 0;
    for seed in seed_block * 1500..(seed_block + 1) * 1500 {
        let mut world = World::new(seed, FRESH_WINDOW + CLOCK_MARGIN, grant_changes);
        world.run();
        assert!(!world.seat_active_twice, "seed {seed}");
        assert_eq!(world.violation(), None, "seed {seed}");
        admitted += world.admitted.len();
    }
    assert!(admitted > 1500, "only {admitted} requests were admitted, too few to test the grant");
}

#[test]
fn simulated_runs_detect_seats_that_are_active_too_early() {
    let violated = |seed: &u64| {
        let mut world = World::new(*seed, Duration::ZERO, false);
        world.run();
        world.seat_active_twice && world.violation().is_some()
    };
    assert!((0..2500).any(|seed| violated(&seed)));
}
