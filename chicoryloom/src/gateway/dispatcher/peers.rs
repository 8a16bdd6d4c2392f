//! Load and health of targets that hosts report to each other, and requests that crash targets.

use std::collections::BTreeMap;
use std::time::Duration;

use chicoryloom_policy::Moment;
use chicoryloom_policy::gray::Notice;
use chicoryloom_policy::gray::Outcome;
use chicoryloom_policy::holdback::Crash;
use chicoryloom_policy::holdback::Fingerprint;
use chicoryloom_policy::id;
use chicoryloom_policy::loss::Loss;
use chicoryloom_policy::loss::Proof;
use chicoryloom_policy::loss::Stage;
use chicoryloom_policy::loss::Verdict;
use serde_json::json;

use super::Dispatcher;
use super::Endpoint;
use crate::gateway::message::Load;
use crate::gateway::message::Success;

/// `Retry-After` of a request that is held back until losses are judged, for which the links are checked.
const UNJUDGED_HOLD: Duration = Duration::from_millis(300);

/// Report on a request that is suspected of crashing targets.
#[derive(Clone, Copy, Debug)]
pub(in crate::gateway) struct CrashReport {
    pub(in crate::gateway) request: Fingerprint,
    pub(in crate::gateway) crash: Crash,
    /// Whether the target responded, so that it did not crash.
    pub(in crate::gateway) answered: bool,
}

impl Dispatcher {
    /// Records the outcome of this host's request at a target.
    pub(in crate::gateway) fn observe(&self, endpoint: &Endpoint, outcome: Outcome, sent: Moment) {
        let now = self.clock.now();
        let instance = &endpoint.target.instance;
        let mut state = self.lock();
        let notice = state.estimator.observe(instance, outcome, sent, now);
        let risk = state.estimator.risk(instance, now);
        let prior = state.estimator.prior();
        if outcome == Outcome::Shed {
            state.spread.count_shed();
        }
        if outcome == Outcome::Ok {
            state.successes.insert(instance.clone(), sent);
        }
        if let Some(notice) = notice {
            state.notices.push((instance.clone(), notice));
            drop(state);
            self.changed.notify_one();
            self.events.emit(
                "target",
                json!({
                    "target": endpoint.target.name.as_str(), "service": endpoint.target.service.as_str(),
                    "belief": state_name(notice),
                    "by": "own request", "risk": risk, "prior": prior,
                }),
            );
        }
    }

    /// Applies another host's report that a target failed or recovered.
    pub(in crate::gateway) fn apply_peer_target(
        &self,
        host: &id::Host,
        target: &id::Instance,
        notice: Notice,
    ) {
        let now = self.clock.now();
        let risk = {
            let mut state = self.lock();
            state.estimator.apply_notice(target, notice, now);
            state.estimator.risk(target, now)
        };
        self.events.emit(
            "target",
            json!({
                "target": target.as_str(), "by": host.as_str(),
                "belief": state_name(notice), "risk": risk,
            }),
        );
        self.dispatch_all();
    }

    /// Applies another host's report that it lost a request at a target.
    pub(in crate::gateway) fn apply_peer_suspicion(&self, host: &id::Host, target: &id::Instance) {
        let now = self.clock.now();
        let mut state = self.lock();
        if state.suspicions.record(host, target, now) {
            state.estimator.suspect(target, now);
        }
    }

    /// Applies another host's report of its requests in flight, unless it is outdated.
    pub(in crate::gateway) fn apply_peer_loads(
        &self,
        host: &id::Host,
        incarnation: id::Incarnation,
        sequence: u64,
        loads: Vec<Load>,
    ) {
        let now = self.clock.now();
        let mut state = self.lock();
        let loads = loads.into_iter().map(|load| (load.target, load.in_flight.into()));
        if !state.in_flight.report(host, incarnation, sequence, loads, now) {
            return;
        }
        drop(state);
        self.dispatch_all();
    }

    /// Applies another host's report of targets that served its requests successfully.
    pub(in crate::gateway) fn apply_peer_successes(&self, successes: Vec<Success>) {
        let now = self.clock.now();
        let mut state = self.lock();
        for Success { target, age_ms } in successes {
            let sent = now.before(Duration::from_millis(age_ms.into()));
            state.estimator.apply_remote_success(&target, sent, now);
        }
    }

    /// Takes the targets' successful responses that are not yet reported to the other hosts.
    pub(in crate::gateway) fn take_successes(&self) -> Vec<Success> {
        let now = self.clock.now();
        let successes = std::mem::take(&mut self.lock().successes);
        let success = |(target, sent)| {
            let age_ms = u32::try_from(now.since(sent).as_millis()).unwrap_or(u32::MAX);
            Success { target, age_ms }
        };
        successes.into_iter().map(success).collect()
    }

    /// Drops the requests in flight of a host that was lost or restarted.
    pub(in crate::gateway) fn forget_host(&self, host: &id::Host) {
        {
            let mut state = self.lock();
            state.in_flight.forget(host);
            state.throttle.silence.forget(host);
        }
        self.dispatch_all();
    }

    /// Returns the requests of this host that are in flight, by the data centre of their targets.
    pub(in crate::gateway) fn loads(&self) -> BTreeMap<id::DataCentre, Vec<Load>> {
        let state = self.lock();
        let mut loads: BTreeMap<id::DataCentre, Vec<Load>> = BTreeMap::new();
        for (target, count) in state.in_flight.own() {
            let Some(centre) = state.data_centres.get(target) else { continue };
            let in_flight = u16::try_from(count).unwrap_or(u16::MAX);
            let load = Load { target: target.clone(), in_flight };
            loads.entry(centre.clone()).or_default().push(load);
        }
        for loads in loads.values_mut() {
            // Equal loads compare as equal, whatever order the map has.
            loads.sort_by(|one, two| one.target.cmp(&two.target));
        }
        loads
    }

    /// Takes the changes of targets that are not yet reported to the other hosts.
    pub(in crate::gateway) fn take_notices(&self) -> Vec<(id::Instance, Notice)> {
        std::mem::take(&mut self.lock().notices)
    }

    /// Takes the targets that this host suspects and did not yet report to the other hosts.
    pub(in crate::gateway) fn take_suspects(&self) -> Vec<id::Instance> {
        std::mem::take(&mut self.lock().suspects)
    }

    /// Takes the reports for the other hosts of requests that crash targets.
    pub(in crate::gateway) fn take_crash_reports(&self) -> Vec<CrashReport> {
        std::mem::take(&mut self.lock().crash_reports)
    }

    /// Returns the time for which a request that arrived is held back because equal ones crashed targets;
    /// once a hold is over, one request is let through on trial.
    pub(in crate::gateway) fn try_pass(&self, request: Fingerprint) -> Option<Duration> {
        self.held_for(request).or_else(|| {
            let (mut state, now) = (self.lock(), self.clock.now());
            let own = state.own_holdback.try_pass(request, now);
            own.or_else(|| state.holdback.try_pass(request, now))
        })
    }

    /// Returns the time for which a request is still held back because equal ones crashed targets.
    ///
    /// While losses of this host are not judged yet, a request that they may speak against waits for
    /// that at this host alone: sending it on could take another target down.
    pub(in crate::gateway) fn held_for(&self, request: Fingerprint) -> Option<Duration> {
        let state = self.lock();
        let now = self.clock.now();
        let hold = state.holdback.remaining_hold(request, now);
        let hold = hold.max(state.own_holdback.remaining_hold(request, now));
        let unproved = || state.own_holdback.lost_on(request).chain(state.losses.lost_on(request));
        let may_hold = || state.holdback.would_hold(request, unproved());
        hold.or_else(|| may_hold().then_some(UNJUDGED_HOLD))
    }

    /// Records that a connection to a target broke without a whole answer, to be judged later.
    pub(in crate::gateway) fn record_loss(
        &self,
        endpoint: &Endpoint,
        stage: Stage,
        opened: Moment,
        now: Moment,
    ) {
        let target = endpoint.target.instance.clone();
        let address = id::Target(endpoint.target.address);
        let born = endpoint.target.born;
        let mut state = self.lock();
        if state.suspicions.record(&self.me, &target, now) {
            state.suspects.push(target.clone());
        }
        state.losses.add(Loss { target, address, born, stage, opened, at: now });
        drop(state);
        self.changed.notify_one();
    }

    /// Counts losses against their targets and requests, and queues reports to the other hosts of those
    /// that are proved.
    pub(super) fn apply_verdicts(&self, verdicts: Vec<Verdict>, now: Moment) {
        for Verdict { loss, proof } in verdicts {
            let (request, crash) = (loss.request(), loss.crash());
            let Loss { target, at, .. } = loss;
            self.events.emit(
                "connection_lost",
                json!({
                    "target": target.as_str(), "age_ms": now.since(at).as_millis() as u64,
                    "fingerprint": request.map(|one| format!("{:032x}", one.0)),
                    "proof": proof_name(proof),
                }),
            );
            if proof == Proof::Missing {
                if let Some(request) = request {
                    self.lock().own_holdback.record_loss(request, crash, now);
                }
                continue;
            }
            let endpoint = {
                let state = self.lock();
                let all = state.services.values().flat_map(|service| &service.targets);
                all.clone().find(|endpoint| endpoint.target.instance == target).cloned()
            };
            if let Some(endpoint) = endpoint {
                self.observe(&endpoint, Outcome::Failed, at);
            }
            if let Some(request) = request {
                self.record_crash(CrashReport { request, crash, answered: false });
            }
        }
    }

    /// Records that a target responded to a request, and queues a report to the other hosts if the
    /// request was suspected of crashing targets.
    pub(in crate::gateway) fn record_response(&self, request: Fingerprint, endpoint: &Endpoint) {
        let target = id::Target(endpoint.target.address);
        let crash = Crash { target, born: endpoint.target.born, at: self.clock.now() };
        self.record_crash(CrashReport { request, crash, answered: true });
    }

    /// Applies a record of this host, and queues it for the others if it is new.
    fn record_crash(&self, report: CrashReport) {
        if self.apply_crash(report, None) {
            self.lock().crash_reports.push(report);
            self.changed.notify_one();
        }
    }

    /// Applies another host's report. Earlier builds don't tell when a target was lost: they repeat their
    /// reports while a request is held back, which must not hold it back again.
    pub(in crate::gateway) fn apply_peer_crash(
        &self,
        host: &id::Host,
        report: CrashReport,
        is_dated: bool,
    ) {
        let is_repeated =
            || !is_dated && !report.answered && self.lock().holdback.was_held(report.request);
        if !is_repeated() {
            self.apply_crash(report, Some(host));
        }
    }

    /// Applies such a record of this host, or of another one; returns whether it is new.
    ///
    /// A response is new if the request was suspected, a broken connection always.
    fn apply_crash(&self, report: CrashReport, by: Option<&id::Host>) -> bool {
        let CrashReport { request, crash, answered } = report;
        let now = self.clock.now();
        let mut state = self.lock();
        if answered {
            let was_own = state.own_holdback.clear(request, crash.at);
            return state.holdback.clear(request, crash.at) || was_own;
        }
        let held = state.holdback.record_loss(request, crash, now);
        drop(state);
        if let Some(lost) = held {
            let lost: Vec<_> = lost.iter().map(id::Target::to_string).collect();
            let fields = json!({
                "fingerprint": format!("{:032x}", request.0), "addresses": lost,
                "by": by.map_or("own request", id::Host::as_str),
            });
            self.events.emit("held_back", fields);
        }
        true
    }
}

/// Returns the name, in events, of the state that a target changes to.
const fn state_name(notice: Notice) -> &'static str {
    match notice {
        Notice::Failed => "in doubt",
        Notice::Recovered => "in use",
    }
}

/// Returns the name, in events, of the reason why a loss counts.
const fn proof_name(proof: Proof) -> &'static str {
    match proof {
        Proof::Link => "older connections work",
        Proof::Absence => "target is gone",
        Proof::Missing => "none, counts here only",
    }
}
