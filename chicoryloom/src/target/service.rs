//! The targets of a service: health, choice of a target, retry budget and requests held back.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::time::Duration;

use arc_swap::ArcSwap;
use chicoryloom_policy::Moment;
use chicoryloom_policy::document;
use chicoryloom_policy::document::Document;
use chicoryloom_policy::health::Detection;
use chicoryloom_policy::health::Detector;
use chicoryloom_policy::health::Explanation;
use chicoryloom_policy::health::Outcome;
use chicoryloom_policy::health::Reports;
use chicoryloom_policy::health::Standing;
use chicoryloom_policy::holdback;
use chicoryloom_policy::holdback::Fingerprint;
use chicoryloom_policy::holdback::Holdback;
use chicoryloom_policy::id;
use chicoryloom_policy::pick;
use chicoryloom_policy::retry::Budget;
use rand::Rng;
use tokio::sync::Notify;

use super::Place;
use super::pool::Backend;

/// Multiple of a target's limit at which it gets no further attempts, even if no other target has
/// room.
const HARD_LIMIT_FACTOR: u32 = 4;

/// One target and this host's connections to it.
#[derive(Clone, Debug)]
pub(crate) struct Member {
    pub(crate) target: document::Target,
    pub(crate) backend: Arc<Backend>,
}

/// Health state of the targets at one moment.
#[derive(Debug, Default)]
pub(crate) struct Snapshot {
    document: Option<Arc<Document>>,
    members: Vec<Member>,
    routes: HashMap<id::Route, usize>,
    /// Health state by index of the route and of the member.
    standings: Vec<Vec<Standing>>,
    /// Age past which an attempt is late, by index of the route.
    latency_limits: Vec<Duration>,
}

/// A connection lost on a request, or an answer to a suspected request, to report to the other
/// home hosts.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Crash {
    pub(crate) request: Fingerprint,
    pub(crate) target: id::Target,
    pub(crate) answered: bool,
}

/// State of one service's targets on this host.
#[derive(Debug)]
pub(crate) struct Service {
    name: id::Service,
    detector: Mutex<Detector>,
    snapshot: ArcSwap<Snapshot>,
    budget: Mutex<Budget>,
    holdback: Mutex<Holdback>,
    crashes: Mutex<Vec<Crash>>,
    /// This host's place among the home hosts, by which its connections are limited.
    place: Mutex<Option<Place>>,
    /// Wakes the [`Monitor`](super::Monitor) when there is something to report to other hosts.
    report_due: Arc<Notify>,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().expect("no holder of the lock panics")
}

fn is_in_use(standing: Standing) -> bool {
    matches!(standing, Standing::In(_))
}

impl Service {
    pub(super) fn new(name: id::Service, detection: Detection, report_due: Arc<Notify>) -> Self {
        Self {
            name,
            detector: Mutex::new(Detector::new(detection)),
            snapshot: ArcSwap::default(),
            budget: Mutex::default(),
            holdback: Mutex::default(),
            crashes: Mutex::default(),
            place: Mutex::default(),
            report_due,
        }
    }

    pub(crate) fn name(&self) -> &id::Service {
        &self.name
    }

    /// Returns whether a document is the one in use.
    pub(super) fn uses(&self, document: &Arc<Document>) -> bool {
        let snapshot = self.snapshot.load();
        snapshot.document.as_ref().is_some_and(|held| Arc::ptr_eq(held, document))
    }

    /// Applies a document.
    pub(super) fn configure(&self, document: &Arc<Document>, members: Vec<Member>, now: Moment) {
        let mut detector = lock(&self.detector);
        detector.configure(document, now);
        *lock(&self.place) = None;
        self.publish_snapshot(&detector, Some(document.clone()), members, now);
    }

    /// Ejects unhealthy targets, readmits recovered ones, and updates the snapshot.
    pub(super) fn decide(&self, now: Moment) {
        let mut detector = lock(&self.detector);
        detector.decide(now);
        let old = self.snapshot.load_full();
        self.publish_snapshot(&detector, old.document.clone(), old.members.clone(), now);
        self.log_changes(&old, &self.snapshot.load());
    }

    /// Logs each target that was taken out of use on a route or is back in use.
    fn log_changes(&self, old: &Snapshot, new: &Snapshot) {
        for (route, index) in &new.routes {
            let standings = old.standings[*index].iter().zip(&new.standings[*index]);
            for ((before, after), member) in standings.zip(&new.members) {
                let target = member.target.id;
                match (is_in_use(*before), is_in_use(*after)) {
                    (true, false) => {
                        log::warn!(
                            "target: {target} of {} is out of use on route {route}",
                            self.name
                        );
                    }
                    (false, true) => {
                        log::info!(
                            "target: {target} of {} is back in use on route {route}",
                            self.name
                        );
                    }
                    _ => {}
                }
            }
        }
    }

    fn publish_snapshot(
        &self,
        detector: &Detector,
        document: Option<Arc<Document>>,
        members: Vec<Member>,
        now: Moment,
    ) {
        let names = document.iter().flat_map(|document| &document.routes);
        let routes: HashMap<_, _> =
            names.enumerate().map(|(index, route)| (route.name.clone(), index)).collect();
        let by_member = |route: usize| {
            let indices = 0..members.len();
            indices.map(|member| detector.standing(member, route, now)).collect()
        };
        let standings = (0..routes.len()).map(by_member).collect();
        let latency_limits = (0..routes.len()).map(|route| detector.latency_limit(route)).collect();
        self.snapshot.store(Arc::new(Snapshot {
            document,
            members,
            routes,
            standings,
            latency_limits,
        }));
    }

    /// Applies this host's place among the home hosts, if it changed.
    pub(super) fn set_place(&self, place: Place) {
        let mut placed = lock(&self.place);
        if *placed == Some(place) {
            return;
        }
        let snapshot = self.snapshot.load();
        snapshot.members.iter().for_each(|member| place.apply(member));
        *placed = Some(place);
    }

    /// Returns the age after which an attempt on a route is late.
    pub(crate) fn latency_limit(&self, route: &id::Route) -> Duration {
        let snapshot = self.snapshot.load();
        let index = snapshot.routes.get(route);
        index
            .and_then(|index| snapshot.latency_limits.get(*index))
            .copied()
            .unwrap_or(Duration::MAX)
    }

    /// Chooses a target for one attempt, other than those already tried.
    pub(crate) fn pick(
        &self,
        route: &document::Route,
        tried: &[id::Target],
        now: Moment,
    ) -> Option<Member> {
        let snapshot = self.snapshot.load();
        let index = *snapshot.routes.get(&route.name)?;
        let standings = &snapshot.standings[index];
        let mut rng = rand::rng();
        let mut usable = Vec::with_capacity(standings.len());
        for (member, standing) in snapshot.members.iter().zip(standings) {
            if member.target.leaving || tried.contains(&member.target.id) {
                continue;
            }
            match standing {
                Standing::In(weight) => usable.push((member, *weight)),
                Standing::Trial if route.repeatable && tried.is_empty() => {
                    if self.take_trial(member.target.id, index, now) {
                        return Some(member.clone());
                    }
                }
                Standing::Trial | Standing::Out => {}
            }
        }
        let roomy: Vec<_> = usable
            .iter()
            .filter(|(member, _)| member.backend.gauge().has_room(now))
            .filter(|(_, weight)| *weight >= 1.0 || rng.random_bool(*weight))
            .map(|(member, _)| *member)
            .collect();
        let hard = |member: &&Member| {
            let gauge = member.backend.gauge();
            gauge.in_flight() < gauge.limit().saturating_mul(HARD_LIMIT_FACTOR)
        };
        let candidates = if roomy.is_empty() {
            usable.into_iter().map(|(member, _)| member).filter(hard).collect()
        } else {
            roomy
        };
        let loads: Vec<_> =
            candidates.iter().map(|member| member.backend.load(member.target.slots.0)).collect();
        pick::choose(&loads, &mut rng).map(|chosen| candidates[chosen].clone())
    }

    fn take_trial(&self, target: id::Target, route: usize, now: Moment) -> bool {
        let mut detector = lock(&self.detector);
        let index = detector.target(target);
        index.is_some_and(|index| detector.take_trial(index, route, now))
    }

    /// Records the outcome of an attempt.
    pub(crate) fn observe(
        &self,
        target: id::Target,
        route: &id::Route,
        outcome: Outcome,
        now: Moment,
    ) {
        let mut detector = lock(&self.detector);
        let (Some(target), Some(route)) = (detector.target(target), detector.route(route)) else {
            return;
        };
        let due = detector.observe(target, route, outcome, now);
        drop(detector);
        if due {
            self.decide(now);
            self.report_due.notify_one();
        }
    }

    /// Records that a target reported that it is draining.
    pub(crate) fn mark_draining(&self, target: id::Target, now: Moment) {
        if lock(&self.detector).mark_draining(target, now) {
            log::info!("target: {target} of {} reports that it is draining", self.name);
            self.decide(now);
            self.report_due.notify_one();
        }
    }

    /// Counts the first attempt of a request towards the retry budget.
    pub(crate) fn deposit(&self) {
        lock(&self.budget).deposit();
    }

    /// Takes one retry or hedge from the budget; returns whether there was one left.
    pub(crate) fn take_retry(&self) -> bool {
        lock(&self.budget).take()
    }

    /// Returns the time for which a request that arrived is held back; once a hold is over, one request is
    /// let through on trial.
    pub(crate) fn try_pass(&self, request: Fingerprint, now: Moment) -> Option<Duration> {
        lock(&self.holdback).try_pass(request, now)
    }

    /// Returns the remaining time for which a request is held back.
    pub(crate) fn remaining_hold(&self, request: Fingerprint, now: Moment) -> Option<Duration> {
        lock(&self.holdback).remaining_hold(request, now)
    }

    /// Records that a target broke the connection on a request without an answer.
    pub(crate) fn record_loss(&self, request: Fingerprint, target: id::Target, now: Moment) {
        self.record_crash(Crash { request, target, answered: false }, now);
        self.queue_crash(Crash { request, target, answered: false });
    }

    /// Records that a target answered a request.
    pub(crate) fn record_answer(&self, request: Fingerprint, target: id::Target, now: Moment) {
        if lock(&self.holdback).clear(request, now) {
            self.queue_crash(Crash { request, target, answered: true });
        }
    }

    fn queue_crash(&self, crash: Crash) {
        lock(&self.crashes).push(crash);
        self.report_due.notify_one();
    }

    /// Records what this or another home host reports of a suspected request.
    pub(super) fn record_crash(&self, crash: Crash, now: Moment) {
        let mut holdback = lock(&self.holdback);
        if crash.answered {
            holdback.clear(crash.request, now);
            return;
        }
        let loss = holdback::Crash { target: crash.target, born: 0, at: now };
        let cleared = holdback.record_loss(crash.request, loss, now);
        drop(holdback);
        let Some(cleared) = cleared else {
            return;
        };
        log::warn!(
            "target: a request lost the connections to {} targets of {}; it is held back",
            cleared.len(),
            self.name
        );
        let mut detector = lock(&self.detector);
        for target in cleared {
            detector.discard_evidence(target, now);
        }
    }

    /// Records reports of another home host.
    pub(super) fn receive(
        &self,
        host: id::Host,
        sequence: (id::Incarnation, u64),
        reports: &Reports,
        now: Moment,
    ) {
        lock(&self.detector).receive(host, sequence, reports, now);
        if !reports.reports.is_empty() {
            self.decide(now);
        }
    }

    /// Returns the reports for the other home hosts.
    pub(super) fn reports(&self, now: Moment) -> Reports {
        lock(&self.detector).reports(now)
    }

    /// Takes the crashes that have not been sent to the other home hosts yet.
    pub(super) fn take_crashes(&self) -> Vec<Crash> {
        std::mem::take(&mut lock(&self.crashes))
    }

    pub(super) fn suspects_itself(&self) -> bool {
        lock(&self.detector).suspects_itself()
    }

    /// Explains the health state of each target.
    pub(crate) fn explain(&self, now: Moment) -> Vec<Explanation> {
        lock(&self.detector).explain(now)
    }
}
