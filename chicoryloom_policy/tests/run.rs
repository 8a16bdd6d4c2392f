//! Explores every short sequence of events that one request with a run key can go through.
//!
//! A caller sends the request up to four times, to the issuer of its key or to another host. The
//! request may arrive late, the target may run it or not, its answer may be lost, and the issuer
//! may restart. No sequence may run the request twice or report a wrong outcome.

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

/// Most steps of a sequence.
const MAX_STEPS: usize = 14;
/// Most times that the caller sends the request.
const MAX_SENDS: usize = 4;

/// Outcome that is reported to a caller.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Answer {
    Ran,
    NotRun,
    Unknown,
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Step {
    /// The caller sends the request; it is then in transit.
    Send,
    /// A request in transit reaches the issuer's host, directly or through another host.
    Arrive,
    /// A request in transit reaches another host, which can't reach the issuer.
    ArriveElsewhere,
    /// The target runs the request in flight, and its answer comes back.
    RunAndAnswer,
    /// The target runs the request in flight, and its answer is lost.
    RunAndLose,
    /// The request in flight is refused and certainly never runs.
    Refuse,
    /// The issuer's host restarts with another incarnation; a request that it had sent to a
    /// target may still have run.
    Restart { after_run: bool },
}

const STEPS: [Step; 8] = [
    Step::Send,
    Step::Arrive,
    Step::ArriveElsewhere,
    Step::RunAndAnswer,
    Step::RunAndLose,
    Step::Refuse,
    Step::Restart { after_run: false },
    Step::Restart { after_run: true },
];

#[derive(Clone)]
struct Model {
    registry: Registry<Answer>,
    incarnation: u64,
    key: Key,
    sent: usize,
    in_transit: usize,
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

impl Model {
    fn new() -> Self {
        let mut registry = Registry::new(holder(1));
        let series = registry.issue(&workspace(), Digest::of("k"), &service(), Moment::ZERO);
        Self {
            registry,
            incarnation: 1,
            key: Key { series, number: 1 },
            sent: 0,
            in_transit: 0,
            in_flight: false,
            waiting: 0,
            runs: 0,
            answers: Vec::new(),
        }
    }

    /// Applies a step, or returns `None` if it can't happen now.
    fn step(mut self, step: Step) -> Option<Self> {
        match step {
            Step::Send if self.sent < MAX_SENDS => {
                self.sent += 1;
                self.in_transit += 1;
            }
            Step::Arrive if self.in_transit > 0 => {
                self.in_transit -= 1;
                self.arrive();
            }
            Step::ArriveElsewhere if self.in_transit > 0 => {
                self.in_transit -= 1;
                self.answers.push(Answer::Unknown);
            }
            Step::RunAndAnswer if self.in_flight => self.end(true, Answer::Ran),
            Step::RunAndLose if self.in_flight => self.end(true, Answer::Unknown),
            Step::Refuse if self.in_flight => self.end(false, Answer::NotRun),
            Step::Restart { after_run }
                if self.incarnation == 1 && (self.in_flight || !after_run) =>
            {
                self.runs += usize::from(after_run);
                self.in_flight = false;
                // Callers whose connections break get no outcome.
                self.waiting = 0;
                self.incarnation += 1;
                self.registry = Registry::new(holder(self.incarnation));
            }
            _ => return None,
        }
        Some(self)
    }

    fn arrive(&mut self) {
        let fingerprint = Fingerprint::of("POST", "/seats", b"1");
        let verdict =
            self.registry.begin(&workspace(), &service(), &self.key, fingerprint, Moment::ZERO);
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
        let waiters = std::mem::take(&mut self.waiting);
        self.answers.extend(std::iter::repeat_n(answer, waiters));
    }

    fn check(&self, path: &[Step]) {
        assert!(self.runs <= 1, "ran twice: {path:?}");
        let reported_not_run = self.answers.contains(&Answer::NotRun);
        assert!(!(reported_not_run && self.runs > 0), "reported \"not run\" for a run: {path:?}");
        let reported_run = self.answers.contains(&Answer::Ran);
        assert!(!(reported_run && self.runs == 0), "reported a run that never happened: {path:?}");
    }
}

fn explore(model: &Model, path: &mut Vec<Step>, paths: &mut usize) {
    model.check(path);
    *paths += 1;
    if path.len() == MAX_STEPS {
        return;
    }
    for step in STEPS {
        if let Some(next) = model.clone().step(step) {
            path.push(step);
            explore(&next, path, paths);
            path.pop();
        }
    }
}

#[test]
fn no_sequence_runs_twice_or_reports_a_wrong_outcome() {
    let mut paths = 0;
    explore(&Model::new(), &mut Vec::new(), &mut paths);
    println!("{paths} paths");
    assert!(paths > 10_000, "only {paths} paths");
}
