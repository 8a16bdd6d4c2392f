//! Load of a workspace that asks for far more than its grant, over hosts that report to each other
//! as often as their number allows: how much of the grant is served, and to which requests.

use std::time::Duration;

use chicoryloom_policy::Moment;
use chicoryloom_policy::admission::Order;
use chicoryloom_policy::allowance::Excess;
use chicoryloom_policy::allowance::Limiter;
use chicoryloom_policy::allowance::Report;
use chicoryloom_policy::allowance::Status;
use chicoryloom_policy::catalog::Workspace;
use chicoryloom_policy::id;
use chicoryloom_policy::share;
use chicoryloom_policy::unit::Burst;
use chicoryloom_policy::unit::Priority;
use chicoryloom_policy::unit::Rate;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::StdRng;
use rstest::rstest;

const WINDOW: Duration = Duration::from_secs(5);
const STEP: Duration = Duration::from_millis(5);
const RATE: f64 = 260.0;
const BURST: u32 = 260;
const CENTRES: usize = 4;
/// Longest time between two reports of a change, within a data centre and to the others.
const REPORT_INTERVALS: [Duration; 2] = [Duration::from_millis(100), Duration::from_millis(500)];
/// Time that a report takes to the others.
const DELAY: Duration = Duration::from_millis(5);
/// Share of all requests by priority, as the callers send them.
const MIX: [f64; 3] = [0.07, 0.69, 0.24];

fn workspace() -> Workspace {
    Workspace {
        id: "prairie".parse().unwrap(),
        name: "prairie".into(),
        priority: None,
        rate: Rate::new(RATE),
        burst: Burst(BURST),
    }
}

struct Host {
    limiter: Limiter,
    order: Order,
    /// Total reported last and when, to its data centre and to the others.
    reported: [(u64, Moment); 2],
}

/// What the callers got: when requests were admitted, and counts by priority.
#[derive(Default)]
struct Served {
    admitted: Vec<Moment>,
    asked: [usize; 3],
    served: [usize; 3],
}

impl Served {
    /// Returns the largest number of requests admitted in any window.
    fn worst(&self) -> usize {
        let end =
            |at: usize| self.admitted.partition_point(|m| *m < self.admitted[at].after(WINDOW));
        (0..self.admitted.len()).map(|at| end(at) - at).max().unwrap_or_default()
    }

    fn share(&self, priority: usize) -> f64 {
        self.served[priority] as f64 / self.asked[priority] as f64
    }
}

struct Fleet {
    hosts: Vec<Host>,
    now: Moment,
    sent: Vec<(Moment, usize, bool, Report)>,
    rng: StdRng,
}

impl Fleet {
    fn new(count: usize, seed: u64) -> Self {
        let now = Moment::from_millis(1000);
        let host = || {
            let mut limiter = Limiter::new(WINDOW, now);
            limiter.set_hosts(count);
            Host { limiter, order: Order::default(), reported: [(0, now); 2] }
        };
        let hosts = (0..count).map(|_| host()).collect();
        Self { hosts, now, sent: Vec::new(), rng: StdRng::seed_from_u64(seed) }
    }

    fn report(&mut self, index: usize, far: bool) {
        let (count, now) = (self.hosts.len(), self.now);
        let near_count = count.div_ceil(CENTRES) - 1;
        let recipients = if far { count - 1 - near_count } else { near_count };
        let host = &mut self.hosts[index];
        let Some((_, status)) = host.limiter.statuses(now).next() else { return };
        let Status { total, recent, level, .. } = status;
        let (reported, reported_at) = host.reported[usize::from(far)];
        let age = now.since(reported_at);
        let unreported = total - reported;
        let is_due = age >= REPORT_INTERVALS[usize::from(far)]
            || Limiter::is_urgent(unreported, &status, count);
        if unreported == 0 || age < share::min_interval(recipients) || !is_due {
            return;
        }
        host.reported[usize::from(far)] = (total, now);
        let level = host.limiter.has_full_window(now).then_some(level);
        let report = Report { incarnation: id::Incarnation(1), total, recent, level };
        self.sent.push((now.after(DELAY), index, far, report));
    }

    /// Plays `span` with `per_second` requests at random hosts. Each is admitted by order of
    /// priority, or by arrival alone.
    fn run(&mut self, span: Duration, per_second: f64, by_priority: bool, result: &mut Served) {
        let mut due = 0.0;
        let end = self.now.after(span);
        while self.now < end {
            self.now = self.now.after(STEP);
            let now = self.now;
            self.hosts.iter_mut().for_each(|host| host.limiter.tick(now));
            let (arrived, later): (Vec<_>, Vec<_>) =
                self.sent.drain(..).partition(|(at, ..)| *at <= now);
            self.sent = later;
            for (_, sender, far, report) in arrived {
                let name = format!("host-{sender}").parse().unwrap();
                for index in (0..self.hosts.len()).filter(|index| *index != sender) {
                    if (index % CENTRES != sender % CENTRES) == far {
                        let limiter = &mut self.hosts[index].limiter;
                        limiter.apply_report(&name, &workspace().id, report, now);
                    }
                }
            }
            for index in 0..self.hosts.len() {
                self.report(index, false);
                self.report(index, true);
            }
            due += per_second * STEP.as_secs_f64();
            while due >= 1.0 {
                due -= 1.0;
                self.ask(by_priority, result);
            }
        }
    }

    fn ask(&mut self, by_priority: bool, result: &mut Served) {
        let at = self.rng.random_range(0.0..1.0);
        let priority = if at < MIX[0] { 0 } else { 1 + usize::from(at >= MIX[0] + MIX[1]) };
        let index = self.rng.random_range(0..self.hosts.len());
        let (host, now) = (&mut self.hosts[index], self.now);
        host.order.record(Priority(priority as u64), now);
        let reserve = if by_priority {
            host.order.reserve(Priority(priority as u64), now)
        } else {
            Duration::ZERO
        };
        result.asked[priority] += 1;
        if host.limiter.check_beyond(&workspace(), reserve, now).is_ok()
            && host.limiter.admit(&workspace(), now).is_ok()
        {
            result.served[priority] += 1;
            result.admitted.push(now);
        }
    }
}

/// A workspace that has asked for less than half of its rate asks for 2.2 times its rate.
fn play(hosts: usize, by_priority: bool, seed: u64) -> Served {
    let mut fleet = Fleet::new(hosts, seed);
    fleet.run(WINDOW * 2, RATE * 0.42, by_priority, &mut Served::default());
    let mut result = Served::default();
    fleet.run(WINDOW, RATE * 2.2, by_priority, &mut result);
    result
}

#[rstest]
#[case(6)]
#[case(20)]
#[case(60)]
#[case(90)]
fn nearly_all_of_the_grant_is_served_and_no_more(
    #[case] hosts: usize,
    #[values(false, true)] by_priority: bool,
    #[values(1, 2, 3)] seed: u64,
) {
    let result = play(hosts, by_priority, seed);
    let grant = RATE * WINDOW.as_secs_f64() + f64::from(BURST);
    let served = result.admitted.len() as f64;
    assert!(served >= 0.95 * grant, "{served} of {grant}");
    let tolerated = 1.1 * grant + 20.0;
    assert!(result.worst() as f64 <= tolerated, "{} of {tolerated}", result.worst());
}

/// By arrival alone, requests of each priority get the same share of the grant.
#[rstest]
#[case(6)]
#[case(20)]
#[case(60)]
#[case(90)]
fn more_urgent_requests_get_more_of_a_short_grant(
    #[case] hosts: usize,
    #[values(1, 2, 3)] seed: u64,
) {
    let (result, before) = (play(hosts, true, seed), play(hosts, false, seed));
    assert!(result.share(0) >= result.share(1), "{:?} of {:?}", result.served, result.asked);
    assert!(result.share(1) > result.share(2), "{:?} of {:?}", result.served, result.asked);
    assert!(result.share(0) > before.share(0) && result.share(1) > before.share(1));
}

/// Requests that are refused at the same time return one after the other, at the host's share of the
/// grant's rate.
#[test]
fn refused_requests_return_one_after_the_other() {
    let interval = Duration::from_secs_f64(1.0 / RATE);
    let excess = Excess { remaining: 0.0, wait: Duration::from_millis(200), interval };
    let (mut order, now) = (Order::default(), Moment::from_millis(1000));
    let waits: Vec<_> = (0..4).map(|_| order.place(&excess, 10, now)).collect();
    assert_eq!(waits[0], excess.wait);
    assert!(waits.windows(2).all(|pair| pair[1] - pair[0] == interval * 10), "{waits:?}");
}
