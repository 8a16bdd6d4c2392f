//! Detection time and false ejections of the three detection methods.
//!
//! Simulated home hosts send generated requests to targets with slots and queues, exchange
//! reports, and decide. Every method gets the same seeds. Run with
//! `cargo run --release -p chicoryloom_policy --example detection -- [seeds] [healthy-seconds]`.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::collections::HashMap;
use std::hint::black_box;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use chicoryloom_policy::Moment;
use chicoryloom_policy::document::Document;
use chicoryloom_policy::document::Route;
use chicoryloom_policy::document::Target;
use chicoryloom_policy::health::Detection;
use chicoryloom_policy::health::Detector;
use chicoryloom_policy::health::Failed;
use chicoryloom_policy::health::Outcome;
use chicoryloom_policy::health::Standing;
use chicoryloom_policy::id;
use chicoryloom_policy::pick;
use chicoryloom_policy::pick::Load;
use chicoryloom_policy::unit::Connections;
use chicoryloom_policy::unit::Share;
use chicoryloom_policy::unit::Slots;
use rand::Rng;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;

const HOMES: usize = 4;
const ROUTES: usize = 2;
/// Median time of a request on its slot, in microseconds.
const MEDIAN_SERVICE_US: f64 = 20_000.0;
/// Standard deviation of the logarithm of that time, in natural log units.
const SERVICE_SIGMA: f64 = 0.5;
/// Deadline of the routes, in microseconds.
const DEADLINE_US: u64 = 2_000_000;
/// Time between reports and decisions, in microseconds.
const TICK_US: u64 = 50_000;
/// Share of requests that fail, and share of those that take long, at healthy targets.
const NOISE_SHARE: f64 = 0.001;
/// Factor on the time of the requests that take long.
const OUTLIER_FACTOR: f64 = 20.0;
/// Share of the capacity in use in simulations with a fault.
const FAULT_LOAD: f64 = 0.4;
/// When the fault begins, in microseconds.
const FAULT_START_US: u64 = 10_000_000;
/// When a simulation with a fault ends, in microseconds.
const FAULT_RUN_US: u64 = 40_000_000;

#[derive(Clone, Copy, Debug, PartialEq)]
enum Fault {
    None,
    Slow,
    Errors,
    OneRoute,
    Hang,
    Refuse,
    Flap,
    HalfSlow,
}

#[derive(Clone, Copy, Debug)]
struct Size {
    name: &'static str,
    targets: usize,
    slots: u32,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrive,
    Late { attempt: usize, level: u32 },
    End { attempt: usize },
    Tick,
}

#[derive(Clone, Copy, Debug)]
struct Attempt {
    host: usize,
    target: usize,
    route: usize,
    started: u64,
    failed: Option<Failed>,
    late: bool,
    ended: bool,
}

#[derive(Debug, Default)]
struct Findings {
    /// Time from the fault to the first ejection of a faulty target by a host, in microseconds.
    first: Option<u64>,
    /// Time from the fault until all hosts had ejected all faulty targets, in microseconds.
    all: Option<u64>,
    /// Ejections of targets without a fault, counted for each host.
    wrong: u64,
}

struct Simulation {
    size: Size,
    fault: Fault,
    rng: Pcg64Mcg,
    detectors: Vec<Detector>,
    /// When each slot of each target becomes free, in microseconds.
    slot_free_at: Vec<Vec<u64>>,
    /// By host and target.
    in_flight: Vec<Vec<u32>>,
    /// Smoothed latency in microseconds, by host and target.
    latency: Vec<Vec<f64>>,
    /// Whether the target is out of use on some route, by host and target.
    out: Vec<Vec<bool>>,
    attempts: Vec<Attempt>,
    events: BinaryHeap<Reverse<(u64, Event)>>,
    /// Mean time between two requests, in microseconds.
    mean_gap: f64,
    sequence: u64,
    findings: Findings,
}

fn moment(micros: u64) -> Moment {
    Moment::from_start(Duration::from_micros(micros + 1_000_000))
}

fn document(size: Size) -> Document {
    let route = |n: usize| Route {
        name: format!("route-{n}").parse().unwrap(),
        path: format!("/{n}").into(),
        methods: Vec::new(),
        repeatable: n == 0,
        open: false,
        deadline: Duration::from_micros(DEADLINE_US),
        class: "default".parse().unwrap(),
    };
    let target = |n: usize| Target {
        id: format!("10.0.0.{}:80", n + 1).parse().unwrap(),
        data_centre: "regina".parse().unwrap(),
        slots: Slots(size.slots),
        connections: Connections(350),
        leaving: false,
    };
    Document {
        service: "service".parse().unwrap(),
        floor: Share::new(0.5).unwrap(),
        routes: (0..ROUTES).map(|n| Arc::new(route(n))).collect(),
        grants: HashMap::new(),
        targets: (0..size.targets).map(target).collect(),
    }
}

impl Simulation {
    fn new(size: Size, fault: Fault, detection: Detection, load: f64, seed: u64) -> Self {
        let document = document(size);
        let detectors = (0..HOMES).map(|_| {
            let mut detector = Detector::new(detection);
            detector.configure(&document, moment(0));
            detector
        });
        let mean = MEDIAN_SERVICE_US * (SERVICE_SIGMA * SERVICE_SIGMA / 2.0).exp();
        let capacity = size.targets as f64 * f64::from(size.slots) / mean;
        Self {
            size,
            fault,
            rng: Pcg64Mcg::seed_from_u64(seed),
            detectors: detectors.collect(),
            slot_free_at: vec![vec![0; size.slots as usize]; size.targets],
            in_flight: vec![vec![0; size.targets]; HOMES],
            latency: vec![vec![MEDIAN_SERVICE_US; size.targets]; HOMES],
            out: vec![vec![false; size.targets]; HOMES],
            attempts: Vec::new(),
            events: BinaryHeap::new(),
            mean_gap: 1.0 / (load * capacity),
            sequence: 0,
            findings: Findings::default(),
        }
    }

    fn is_faulty_at(&self, target: usize, at: u64) -> bool {
        let one = target == 0;
        at >= FAULT_START_US
            && match self.fault {
                Fault::None => false,
                Fault::HalfSlow => target < self.size.targets / 2,
                Fault::Flap => one && (at / 2_000_000).is_multiple_of(2),
                _ => one,
            }
    }

    fn is_faulty(&self, target: usize) -> bool {
        match self.fault {
            Fault::None => false,
            Fault::HalfSlow => target < self.size.targets / 2,
            _ => target == 0,
        }
    }

    fn push(&mut self, at: u64, event: Event) {
        self.events.push(Reverse((at, event)));
    }

    fn run(mut self, end: u64) -> Findings {
        self.push(0, Event::Arrive);
        self.push(TICK_US, Event::Tick);
        while let Some(Reverse((at, event))) = self.events.pop() {
            if at > end {
                break;
            }
            match event {
                Event::Arrive => self.arrive(at),
                Event::Late { attempt, level } => self.late(at, attempt, level),
                Event::End { attempt } => self.end(at, attempt),
                Event::Tick => self.tick(at),
            }
        }
        self.findings
    }

    fn arrive(&mut self, at: u64) {
        let draw: f64 = self.rng.random_range(f64::MIN_POSITIVE..1.0);
        self.push(at + (-draw.ln() * self.mean_gap) as u64 + 1, Event::Arrive);
        let host = self.rng.random_range(0..HOMES);
        let route = self.rng.random_range(0..ROUTES);
        let Some(target) = self.pick(at, host, route) else {
            return;
        };
        let (end, failed) = self.serve(at, target, route);
        let attempt = self.attempts.len();
        self.in_flight[host][target] += 1;
        let limit = self.detectors[host].latency_limit(route);
        let entry = Attempt { host, target, route, started: at, failed, late: false, ended: false };
        self.attempts.push(entry);
        self.push(end, Event::End { attempt });
        let limit = u64::try_from(limit.as_micros()).unwrap_or(u64::MAX);
        if limit < end - at {
            self.push(at + limit, Event::Late { attempt, level: 1 });
        }
    }

    fn pick(&mut self, at: u64, host: usize, route: usize) -> Option<usize> {
        let now = moment(at);
        let mut usable = Vec::new();
        let mut loads = Vec::new();
        for target in 0..self.size.targets {
            let weight = match self.detectors[host].standing(target, route, now) {
                Standing::In(weight) => weight,
                Standing::Trial if route == 0 => {
                    if self.detectors[host].take_trial(target, route, now) {
                        return Some(target);
                    }
                    continue;
                }
                Standing::Trial | Standing::Out => continue,
            };
            if weight < 1.0 && !self.rng.random_bool(weight) {
                continue;
            }
            usable.push(target);
            loads.push(Load {
                in_flight: self.in_flight[host][target],
                slots: self.size.slots,
                latency: self.latency[host][target],
            });
        }
        pick::choose(&loads, &mut self.rng).map(|chosen| usable[chosen])
    }

    /// Returns when an attempt ends, and how it failed if it did.
    fn serve(&mut self, at: u64, target: usize, route: usize) -> (u64, Option<Failed>) {
        let faulty = self.is_faulty_at(target, at);
        if faulty && self.fault == Fault::Refuse {
            return (at + 1000, Some(Failed::Refused));
        }
        if faulty && self.fault == Fault::Hang {
            return (at + DEADLINE_US, Some(Failed::Timeout));
        }
        let normal: f64 = (0..12).map(|_| self.rng.random::<f64>()).sum::<f64>() - 6.0;
        let mut took = MEDIAN_SERVICE_US * (SERVICE_SIGMA * normal).exp();
        if faulty && matches!(self.fault, Fault::Slow | Fault::HalfSlow | Fault::Flap) {
            took *= 10.0;
        }
        if self.rng.random_bool(NOISE_SHARE) {
            took *= OUTLIER_FACTOR;
        }
        let share = match self.fault {
            Fault::Errors if faulty => 0.5,
            Fault::OneRoute if faulty && route == 1 => 1.0,
            _ => NOISE_SHARE,
        };
        let failed = self.rng.random_bool(share).then_some(Failed::Error);
        let slot = self.slot_free_at[target].iter_mut().min().expect("a target has slots");
        *slot = (*slot).max(at) + took as u64;
        match *slot - at {
            took if took < DEADLINE_US => (at + took, failed),
            _ => (at + DEADLINE_US, Some(Failed::Timeout)),
        }
    }

    fn observe(&mut self, at: u64, attempt: usize, outcome: Outcome) {
        let Attempt { host, target, route, .. } = self.attempts[attempt];
        if self.detectors[host].observe(target, route, outcome, moment(at)) {
            self.decide(at, host);
        }
    }

    fn late(&mut self, at: u64, attempt: usize, level: u32) {
        let Attempt { started, ended, .. } = self.attempts[attempt];
        if ended {
            return;
        }
        self.attempts[attempt].late = true;
        self.observe(at, attempt, Outcome::Late);
        if level < 3 {
            self.push(at + (at - started), Event::Late { attempt, level: level + 1 });
        }
    }

    fn end(&mut self, at: u64, attempt: usize) {
        let Attempt { host, target, started, failed, late, .. } = self.attempts[attempt];
        self.attempts[attempt].ended = true;
        self.in_flight[host][target] -= 1;
        let latency = &mut self.latency[host][target];
        *latency += 0.2 * ((at - started) as f64 - *latency);
        let took = Duration::from_micros(at - started);
        let outcome = failed.map_or(Outcome::Ok { took, late }, Outcome::Failed);
        self.observe(at, attempt, outcome);
    }

    fn tick(&mut self, at: u64) {
        self.push(at + TICK_US, Event::Tick);
        self.sequence += 1;
        let now = moment(at);
        let reports: Vec<_> =
            self.detectors.iter_mut().map(|detector| detector.reports(now)).collect();
        for host in 0..HOMES {
            for (peer, reports) in reports.iter().enumerate().filter(|(peer, _)| *peer != host) {
                let name = format!("host-{peer}").parse().unwrap();
                let sequence = (id::Incarnation(1), self.sequence);
                self.detectors[host].receive(name, sequence, reports, now);
            }
            self.decide(at, host);
        }
    }

    fn decide(&mut self, at: u64, host: usize) {
        let now = moment(at);
        if !self.detectors[host].decide(now) {
            return;
        }
        for target in 0..self.size.targets {
            let out = (0..ROUTES).any(|route| {
                !matches!(self.detectors[host].standing(target, route, now), Standing::In(_))
            });
            let newly = out && !self.out[host][target];
            self.out[host][target] = out;
            if newly && (!self.is_faulty(target) || at < FAULT_START_US) {
                self.findings.wrong += 1;
            }
            if newly && self.is_faulty(target) && at >= FAULT_START_US {
                self.findings.first.get_or_insert(at - FAULT_START_US);
            }
        }
        let faulty: Vec<_> = (0..self.size.targets).filter(|t| self.is_faulty(*t)).collect();
        let all = self.out.iter().all(|out| faulty.iter().all(|target| out[*target]));
        if all && !faulty.is_empty() && at >= FAULT_START_US {
            self.findings.all.get_or_insert(at - FAULT_START_US);
        }
    }
}

/// Returns a quantile in milliseconds, with simulations without an ejection sorted last.
fn quantile(values: &mut [Option<u64>], q: f64) -> String {
    values.sort_by_key(|value| value.unwrap_or(u64::MAX));
    let index = ((values.len() as f64 * q).ceil() as usize).clamp(1, values.len()) - 1;
    values[index].map_or("never".to_owned(), |micros| format!("{}", micros / 1000))
}

fn measure_faults(size: Size, seeds: u64) {
    let kinds = [
        Fault::Slow,
        Fault::Errors,
        Fault::OneRoute,
        Fault::Hang,
        Fault::Refuse,
        Fault::Flap,
        Fault::HalfSlow,
    ];
    for fault in kinds {
        for detection in [Detection::Sequential, Detection::Consecutive, Detection::Window] {
            let runs: Vec<_> = (0..seeds)
                .map(|seed| {
                    Simulation::new(size, fault, detection, FAULT_LOAD, seed).run(FAULT_RUN_US)
                })
                .collect();
            let mut first: Vec<_> = runs.iter().map(|run| run.first).collect();
            let mut all: Vec<_> = runs.iter().map(|run| run.all).collect();
            let wrong: u64 = runs.iter().map(|run| run.wrong).sum();
            println!(
                "{:<10} {:<9} {:<11} first p50 {:>6} p99 {:>6}  all p50 {:>6} p99 {:>6}  wrong {wrong}",
                size.name,
                format!("{fault:?}"),
                format!("{detection:?}"),
                quantile(&mut first, 0.5),
                quantile(&mut first, 0.99),
                quantile(&mut all, 0.5),
                quantile(&mut all, 0.99),
            );
        }
    }
}

fn measure_healthy(size: Size, seeds: u64, seconds: u64) {
    for load in [0.2, 0.6, 0.9] {
        for detection in [Detection::Sequential, Detection::Consecutive, Detection::Window] {
            let wrong: u64 = (0..seeds)
                .map(|seed| Simulation::new(size, Fault::None, detection, load, seed))
                .map(|run| run.run(seconds * 1_000_000).wrong)
                .sum();
            let days = seeds as f64 * seconds as f64 * size.targets as f64 / 86_400.0;
            // Hosts decide separately, so each of them can eject the same target.
            let rate = wrong as f64 / HOMES as f64 / days;
            println!(
                "{:<10} healthy at {load:.1} {:<11} {wrong} ejections by a host in {days:.2} target-days: {rate:.2} a target-day",
                size.name,
                format!("{detection:?}"),
            );
        }
    }
}

fn measure_costs(size: Size) {
    const ROUNDS: u32 = 1_000_000;
    let mut detector = Detector::new(Detection::Sequential);
    detector.configure(&document(size), moment(0));
    let mut rng = Pcg64Mcg::seed_from_u64(1);
    let outcome = Outcome::Ok { took: Duration::from_millis(5), late: false };
    let start = Instant::now();
    for round in 0..ROUNDS {
        let target = round as usize % size.targets;
        let now = moment(u64::from(round));
        black_box(detector.observe(target, 0, black_box(outcome), now));
    }
    let update = start.elapsed().as_nanos() / u128::from(ROUNDS);
    let loads: Vec<_> = (0..size.targets)
        .map(|n| Load { in_flight: n as u32 % 3, slots: size.slots, latency: 0.01 })
        .collect();
    let start = Instant::now();
    for _ in 0..ROUNDS {
        black_box(pick::choose(black_box(&loads), &mut rng));
    }
    let choice = start.elapsed().as_nanos() / u128::from(ROUNDS);
    let start = Instant::now();
    for round in 0..ROUNDS / 100 {
        black_box(detector.decide(moment(2_000_000 + u64::from(round) * TICK_US)));
    }
    let decision = start.elapsed().as_nanos() / u128::from(ROUNDS / 100);
    println!(
        "{:<10} evidence update {update} ns, choice {choice} ns, decision {decision} ns",
        size.name
    );
}

fn main() {
    let mut arguments = std::env::args().skip(1).map(|text| text.parse::<u64>());
    let seeds = arguments.next().and_then(Result::ok).unwrap_or(20);
    let seconds = arguments.next().and_then(Result::ok).unwrap_or(600);
    let sizes = [
        Size { name: "highline", targets: 10, slots: 2 },
        Size { name: "servicio", targets: 13, slots: 6 },
    ];
    for size in sizes {
        measure_costs(size);
        measure_faults(size, seeds);
        measure_healthy(size, seeds, seconds);
    }
}
