//! Measures wrongful refusals and traffic of the ways to divide a grant among hosts.
//!
//! Four holders of one grant get Poisson arrivals in simulated time; datagrams and handed-over
//! requests take a millisecond. A refusal is wrongful if one bucket for the whole fleet would
//! have admitted the request. Run with `cargo run --release -p chicoryloom_wire --example grants`.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Duration;

use chicoryloom_policy::Moment;
use chicoryloom_policy::account::Account;
use chicoryloom_policy::account::LoanOffer;
use chicoryloom_policy::account::LoanRequest;
use chicoryloom_policy::account::MAX_LOAN_TIME;
use chicoryloom_policy::id::Incarnation;
use chicoryloom_policy::limit::Bucket;
use chicoryloom_policy::limit::Flow;
use chicoryloom_policy::limit::Share;
use chicoryloom_policy::limit::Tokens;
use chicoryloom_wire::frame;
use chicoryloom_wire::frame::Body;
use chicoryloom_wire::frame::Frame;
use chicoryloom_wire::generated::frame as raw;
use rand::Rng;
use rand::SeedableRng;
use rand_pcg::Pcg64;

const HOSTS: usize = 4;
const RATE: f64 = 200.0;
const SPAN: Duration = Duration::from_secs(600);
/// Time in which buckets fill before refusals count.
const WARM_UP: Moment = Moment::from_millis(5000);
const DELAY: Duration = Duration::from_millis(1);
/// Time after which moving callers connect elsewhere.
const MOVE: u64 = 2;
const SEED: u64 = 5;

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
struct Way {
    name: &'static str,
    asks: bool,
    hands_over: bool,
    single: bool,
}

const WAYS: [Way; 5] = [
    Way { name: "equal", asks: false, hands_over: false, single: false },
    Way { name: "single", asks: false, hands_over: true, single: true },
    Way { name: "loans", asks: true, hands_over: false, single: false },
    Way { name: "hand-over", asks: false, hands_over: true, single: false },
    Way { name: "demand (loans and hand-over)", asks: true, hands_over: true, single: false },
];

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Callers {
    Even,
    OneHost,
    Moving,
}

#[derive(Clone, Copy, Debug)]
enum Event {
    Arrive,
    HandOver { from: usize, to: usize, wrongful: bool },
    Ask { from: usize, to: usize, want: LoanRequest },
    Gift { from: usize, to: usize, gift: LoanOffer, spare: Tokens },
}

struct Node {
    account: Account,
    others: Vec<(usize, Bucket)>,
}

#[derive(Default)]
struct Totals {
    requests: u64,
    within: u64,
    wrongful: u64,
    admitted: u64,
    handed_over: u64,
    bytes: usize,
}

struct World {
    way: Way,
    callers: Callers,
    load: f64,
    rng: Pcg64,
    now: Moment,
    nodes: Vec<Node>,
    /// One bucket for the whole fleet.
    whole: Bucket,
    /// Fails if the hosts admit more than the grant in some window.
    proof: Bucket,
    events: BinaryHeap<Reverse<(Moment, u64)>>,
    bodies: Vec<Event>,
    totals: Totals,
}

fn bucket(share: Share) -> Bucket {
    let mut bucket = Bucket::empty(share, Moment::ZERO);
    bucket.deposit(share.cap);
    bucket
}

impl World {
    fn new(way: Way, callers: Callers, load: f64, burst: u32) -> Self {
        let grant = Share { flow: Flow::from_estimate(RATE), cap: Tokens::whole(burst) };
        let part = |host: usize| {
            let burst = burst / HOSTS as u32 + u32::from(host < burst as usize % HOSTS);
            match (way.single, host) {
                (true, 0) => grant,
                (true, _) => Share::default(),
                (false, _) => {
                    Share { flow: Flow(grant.flow.0 / HOSTS as u64), cap: Tokens::whole(burst) }
                }
            }
        };
        let node = |host: usize| {
            let mut account = Account::new(Moment::ZERO);
            account.set_share(part(host), Moment::ZERO);
            let others = (0..HOSTS).filter(|other| *other != host);
            Node { account, others: others.map(|other| (other, bucket(part(other)))).collect() }
        };
        Self {
            way,
            callers,
            load,
            rng: Pcg64::seed_from_u64(SEED),
            now: Moment::ZERO,
            nodes: (0..HOSTS).map(node).collect(),
            whole: bucket(grant),
            proof: bucket(grant),
            events: BinaryHeap::new(),
            bodies: Vec::new(),
            totals: Totals::default(),
        }
    }

    fn at(&mut self, at: Moment, event: Event) {
        self.events.push(Reverse((at, self.bodies.len() as u64)));
        self.bodies.push(event);
    }

    fn run(mut self) -> Totals {
        self.at(self.now, Event::Arrive);
        while let Some(Reverse((now, event))) = self.events.pop() {
            self.now = now;
            if now.since_start() > SPAN {
                break;
            }
            match self.bodies[event as usize] {
                Event::Arrive => self.arrive(),
                Event::HandOver { from, to, wrongful } => self.receive(from, to, wrongful),
                Event::Ask { from, to, want } => self.give(from, to, want),
                Event::Gift { from, to, gift, spare } => self.accept(from, to, gift, spare),
            }
        }
        self.totals
    }

    fn counts(&self) -> bool {
        self.now > WARM_UP
    }

    fn arrive(&mut self) {
        let gap = -self.rng.random::<f64>().ln() / (RATE * self.load);
        self.at(self.now.after(Duration::from_secs_f64(gap)), Event::Arrive);
        let host = match self.callers {
            Callers::Even => self.rng.random_range(0..HOSTS),
            Callers::OneHost => HOSTS - 1,
            Callers::Moving => (self.now.since_start().as_secs() / MOVE) as usize % HOSTS,
        };
        let within = self.whole.take(self.now).is_ok();
        self.totals.requests += u64::from(self.counts());
        self.totals.within += u64::from(self.counts() && within);
        let admitted = self.nodes[host].account.admit(self.now).is_ok();
        self.ask(host);
        if admitted {
            return self.admitted();
        }
        let single = self.way.single;
        let others = self.nodes[host].others.iter_mut();
        let best = others
            .map(|(other, bucket)| {
                bucket.refill(self.now);
                (*other, bucket)
            })
            .max_by_key(|(other, bucket)| (single && *other == 0, bucket.level()));
        if let Some((other, bucket)) = best
            && self.way.hands_over
            && (single && host != 0 || bucket.level() >= Tokens::ONE)
        {
            bucket.withdraw(Tokens::ONE);
            self.totals.handed_over += u64::from(self.counts());
            let event = Event::HandOver { from: host, to: other, wrongful: within };
            return self.at(self.now.after(DELAY), event);
        }
        self.totals.wrongful += u64::from(self.counts() && within);
    }

    fn receive(&mut self, from: usize, to: usize, wrongful: bool) {
        let admitted = self.nodes[to].account.admit(self.now).is_ok();
        self.ask(to);
        if admitted {
            return self.admitted();
        }
        self.note(from, to, Tokens::ZERO);
        self.totals.wrongful += u64::from(self.counts() && wrongful);
    }

    fn admitted(&mut self) {
        assert!(self.proof.take(self.now).is_ok(), "more was admitted than granted");
        self.totals.admitted += u64::from(self.counts());
    }

    fn note(&mut self, host: usize, other: usize, level: Tokens) {
        let others = &mut self.nodes[host].others;
        let (_, bucket) = others.iter_mut().find(|(name, _)| *name == other).unwrap();
        bucket.refill(self.now);
        bucket.withdraw(bucket.level());
        bucket.deposit(level);
    }

    fn ask(&mut self, from: usize) {
        let Some(want) =
            self.way.asks.then(|| self.nodes[from].account.request_loan(self.now)).flatten()
        else {
            return;
        };
        for to in (0..HOSTS).filter(|to| *to != from) {
            self.send(Body::Ask(raw::Ask {
                service: "calendar".to_owned(),
                workspace: "prairie".to_owned(),
                round: want.round,
                flow: want.flow.0,
            }));
            self.at(self.now.after(DELAY), Event::Ask { from, to, want });
        }
    }

    fn give(&mut self, taker: usize, giver: usize, want: LoanRequest) {
        let gift = self.nodes[giver].account.lend(want, MAX_LOAN_TIME, self.now);
        let spare = self.nodes[giver].account.level(self.now);
        self.send(Body::Gift(raw::Gift {
            service: "calendar".to_owned(),
            workspace: "prairie".to_owned(),
            taker: u64::MAX,
            round: gift.round,
            flow: gift.flow.0,
            lasting: MAX_LOAN_TIME.as_micros() as u64,
            spare: spare.millis(),
        }));
        let event = Event::Gift { from: giver, to: taker, gift, spare };
        self.at(self.now.after(DELAY), event);
    }

    fn accept(&mut self, giver: usize, taker: usize, gift: LoanOffer, spare: Tokens) {
        self.note(taker, giver, spare);
        self.nodes[taker].account.accept(gift, Incarnation(giver as u64), self.now);
    }

    fn send(&mut self, body: Body) {
        let frame = Frame {
            sender: "host-1".parse().unwrap(),
            incarnation: Incarnation(u64::MAX),
            sequence: 1_000_000,
            body,
        };
        let bytes = frame::encode(&frame, &frame::Secret::derive("s")).unwrap().len();
        self.totals.bytes += if self.counts() { bytes } else { 0 };
    }
}

fn main() {
    println!("rate {RATE}/s, {} s a line, wrongful refusals per million requests", SPAN.as_secs());
    for burst in [40, 8] {
        for callers in [Callers::Even, Callers::OneHost, Callers::Moving] {
            for way in WAYS {
                for load in [0.5, 0.9, 1.0, 4.0] {
                    let totals = World::new(way, callers, load, burst).run();
                    let million = 1e6 / totals.requests as f64;
                    println!(
                        "burst {burst:3} {callers:8?} {:28} load {load:3}: wrongful {:7.0}, admitted {:.3} of one bucket, handed over {:.3}, {:5.0} bytes/s a host",
                        way.name,
                        totals.wrongful as f64 * million,
                        totals.admitted as f64 / totals.within as f64,
                        totals.handed_over as f64 / totals.requests as f64,
                        totals.bytes as f64 / SPAN.as_secs_f64() / HOSTS as f64,
                    );
                }
            }
        }
    }
}
