//! Every short path of one booking through the run state machine.
//!
//! A caller sends one numbered request up to four times, to its issuer or to another host. On
//! the way the request may be delivered late, the target may run it or not, its answer may be
//! lost, and the issuer may die and come back. Each step of each path is tried.

use chicoryloom_policy::Moment;
use chicoryloom_policy::id::Digest;
use chicoryloom_policy::id::Incarnation;
use chicoryloom_policy::id::Service;
use chicoryloom_policy::id::Workspace;
use chicoryloom_policy::ledger::Holder;
use chicoryloom_policy::run::Fingerprint;
use chicoryloom_policy::run::Key;
use chicoryloom_policy::run::Registry;
use chicoryloom_policy::run::Verdict;

/// Steps of one path.
const DEPTH: usize = 14;
const SENDS: usize = 4;

/// What a caller is told.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Answer {
    Ran,
    NotRun,
    Unknown,
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Step {
    /// The caller sends; the request is then on its way.
    Send,
    /// A request reaches the issuer's host, itself or through another host.
    Arrive,
    /// A request reaches another host, which can't reach the issuer.
    Stray,
    /// The target runs the request in flight, and its answer comes back.
    RunAndAnswer,
    /// The target runs the request in flight, and its answer is lost.
    RunAndLose,
    /// The request in flight surely runs nowhere.
    Refuse,
    /// The issuer's host restarts with another incarnation; what it had sent may still run.
    Die { after_run: bool },
}

const STEPS: [Step; 8] = [
    Step::Send,
    Step::Arrive,
    Step::Stray,
    Step::RunAndAnswer,
    Step::RunAndLose,
    Step::Refuse,
    Step::Die { after_run: false },
    Step::Die { after_run: true },
];

#[derive(Clone)]
struct World {
    registry: Registry<Answer>,
    incarnation: u64,
    key: Key,
    sent: usize,
    on_the_way: usize,
    in_flight: bool,
    waiting: usize,
    runs: usize,
    answers: Vec<Answer>,
}

fn workspace() -> Workspace {
    "prairie".parse().unwrap()
}

fn service() -> Service {
    "calendar".parse().unwrap()
}

fn holder(incarnation: u64) -> Holder {
    Holder { host: "host-1".parse().unwrap(), incarnation: Incarnation(incarnation) }
}

impl World {
    fn new() -> Self {
        let mut registry = Registry::new(holder(1));
        let series = registry.issue(&workspace(), Digest::of("k"), &service(), Moment::ZERO);
        Self {
            registry,
            incarnation: 1,
            key: Key { series, number: 1 },
            sent: 0,
            on_the_way: 0,
            in_flight: false,
            waiting: 0,
            runs: 0,
            answers: Vec::new(),
        }
    }

    /// Applies a step, or returns `None` if it can't happen now.
    fn step(mut self, step: Step) -> Option<Self> {
        match step {
            Step::Send if self.sent < SENDS => {
                self.sent += 1;
                self.on_the_way += 1;
            }
            Step::Arrive if self.on_the_way > 0 => {
                self.on_the_way -= 1;
                self.arrive();
            }
            Step::Stray if self.on_the_way > 0 => {
                self.on_the_way -= 1;
                self.answers.push(Answer::Unknown);
            }
            Step::RunAndAnswer if self.in_flight => self.end(true, Answer::Ran),
            Step::RunAndLose if self.in_flight => self.end(true, Answer::Unknown),
            Step::Refuse if self.in_flight => self.end(false, Answer::NotRun),
            Step::Die { after_run } if self.incarnation == 1 && (self.in_flight || !after_run) => {
                self.runs += usize::from(after_run);
                self.in_flight = false;
                // Callers whose connections break are told nothing.
                self.waiting = 0;
                self.incarnation += 1;
                self.registry = Registry::new(holder(self.incarnation));
            }
            _ => return None,
        }
        Some(self)
    }

    fn arrive(&mut self) {
        let print = Fingerprint::of("POST", "/seats", b"1");
        let verdict = self.registry.begin(&workspace(), &service(), &self.key, print, Moment::ZERO);
        match verdict {
            Verdict::Run => {
                assert!(!self.in_flight);
                self.in_flight = true;
                self.waiting += 1;
            }
            Verdict::Wait => self.waiting += 1,
            Verdict::Repeat(answer) => self.answers.push(answer),
            Verdict::Forgotten | Verdict::Reused | Verdict::Unknown | Verdict::Busy => {
                self.answers.push(Answer::Unknown);
            }
        }
    }

    fn end(&mut self, ran: bool, answer: Answer) {
        self.runs += usize::from(ran);
        self.in_flight = false;
        self.registry.end(&workspace(), &self.key, answer, 1);
        let told = std::mem::take(&mut self.waiting);
        self.answers.extend(std::iter::repeat_n(answer, told));
    }

    fn check(&self, path: &[Step]) {
        assert!(self.runs <= 1, "ran twice: {path:?}");
        let denied = self.answers.contains(&Answer::NotRun);
        assert!(!(denied && self.runs > 0), "\"not run\" lied: {path:?}");
        let claimed = self.answers.contains(&Answer::Ran);
        assert!(!(claimed && self.runs == 0), "claimed a run: {path:?}");
    }
}

fn walk(world: &World, path: &mut Vec<Step>, paths: &mut usize) {
    world.check(path);
    *paths += 1;
    if path.len() == DEPTH {
        return;
    }
    for step in STEPS {
        if let Some(next) = world.clone().step(step) {
            path.push(step);
            walk(&next, path, paths);
            path.pop();
        }
    }
}

#[test]
fn no_path_runs_twice_or_denies_a_run() {
    let mut paths = 0;
    walk(&World::new(), &mut Vec::new(), &mut paths);
    println!("{paths} paths");
    assert!(paths > 10_000, "only {paths} paths");
}
