//! Limits that targets name on the requests of all hosts together.
//!
//! The host that is responsible for a target's trials also gives out the permits for its limit.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use chicoryloom_policy::Moment;
use chicoryloom_policy::entry::Owners;
use chicoryloom_policy::id;
use chicoryloom_policy::throttle;
use chicoryloom_policy::throttle::Change;
use chicoryloom_policy::throttle::Grant;
use chicoryloom_policy::throttle::InvalidLimit;
use chicoryloom_policy::throttle::Issuer;
use chicoryloom_policy::throttle::Limit;
use chicoryloom_policy::throttle::Limits;
use chicoryloom_policy::throttle::Permits;
use chicoryloom_policy::throttle::Ration;
use chicoryloom_policy::throttle::Silence;
use chicoryloom_policy::warming::Warming;
use chicoryloom_policy::withdrawal::Process;
use serde_json::json;

use super::Dispatcher;
use super::Endpoint;
use super::State;

/// Most targets of a service that a host asks for permits at a time. It bounds the messages where
/// hundreds of targets name limits at once.
const MAX_ASKS: usize = 8;
/// Most hosts that have rations of a target's limit. Each may have saved up one request.
const MAX_RATIONS: usize = 6;
/// Most permits that a host asks for at a time.
const MAX_WANTED: u32 = 32;
/// Time for which a change of a limit is reported to the other hosts once a second, as datagrams get
/// lost.
const REPORT_TIME: Duration = Duration::from_secs(3);

/// That a target is cold: the rate that it takes, and for how much longer.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(in crate::gateway) struct Cold {
    pub(in crate::gateway) rate: Limit,
    pub(in crate::gateway) remaining: Duration,
}

/// Message about permits to another host.
#[derive(Clone, Debug, PartialEq)]
pub(in crate::gateway) enum Message {
    /// Asks the responsible host for permits. It carries the limit, which that host may not know yet.
    Ask { process: Process, change: Change, cold: Option<Cold>, asked: Moment, wanted: u32 },
    /// Answers an ask with permits.
    Grant { process: Process, asked: Moment, count: u32 },
    /// Answers an ask with the time after which a permit is expected.
    Turn { process: Process, wait: Duration },
}

/// What this host knows of limits, and its permits.
#[derive(Debug, Default)]
pub(super) struct Throttle {
    pub(super) limits: Limits,
    /// Targets that warm up. What they take holds like a limit that they name; the lower one binds.
    pub(super) warming: Warming,
    pub(super) permits: Permits,
    /// Hosts that give out no permits, and this host's part of the limits that they are responsible
    /// for.
    pub(super) silence: Silence,
    ration: Ration,
    /// Issuers for the targets that this host is responsible for.
    issuers: HashMap<Process, Issuer>,
    /// Changes that this host reports to the others, and since when.
    reported: Vec<(Process, Moment)>,
    /// Processes whose latest change is to be reported now.
    reports: Vec<Process>,
    messages: Vec<(id::Host, Message)>,
    /// Requests sent to targets that had named a limit.
    pub(super) sends: u64,
    /// Requests sent to targets that warmed up.
    pub(super) warming_sends: u64,
}

impl Throttle {
    /// Returns the limit of a target: the one that it names, or the rate that it takes while it is
    /// cold.
    pub(super) fn limit(&self, process: &Process, now: Moment) -> Option<Limit> {
        let cold = self.warming.limit(process, now);
        match (self.limits.get(process), cold) {
            (Some(named), Some(cold)) if cold < named => Some(cold),
            (named, cold) => named.or(cold),
        }
    }

    /// Returns whether any target has a limit.
    pub(super) fn is_any(&self, now: Moment) -> bool {
        self.limits.is_any() || self.warming.is_any(now)
    }

    /// Returns whether a request may be sent to a target now, as far as its limit is concerned.
    pub(super) fn allows(&self, process: &Process, now: Moment) -> bool {
        self.limit(process, now).is_none() || self.permits.is_valid(process, now)
    }

    /// Uses a permit if the target has a limit.
    pub(super) fn take(&mut self, process: &Process, now: Moment) {
        if self.limit(process, now).is_some() {
            self.permits.take(process, now);
        }
    }

    /// Returns when a target with a limit is expected to take a request of this host.
    pub(super) fn turn(&self, process: &Process, now: Moment) -> Option<Moment> {
        self.limit(process, now)?;
        self.permits.turn(process)
    }

    fn issuer(&mut self, process: &Process, part: f64, now: Moment) -> Option<&mut Issuer> {
        let limit = self.limit(process, now)?;
        let issuer =
            self.issuers.entry(process.clone()).or_insert_with(|| Issuer::new(limit, part, now));
        issuer.set_limit(limit, part, now);
        Some(issuer)
    }

    /// Sends permits to the hosts whose turn it is, and keeps those of this host.
    fn give_out(&mut self, me: &id::Host, process: &Process, grants: Vec<Grant>, now: Moment) {
        for Grant { host, asked, count } in grants {
            if host == *me {
                self.permits.grant(process, asked, count, now);
            } else {
                let grant = Message::Grant { process: process.clone(), asked, count };
                self.messages.push((host, grant));
            }
        }
    }

    pub(super) fn sweep(&mut self, listed: Option<Moment>, now: Moment) {
        self.limits.sweep(now);
        self.warming.sweep(listed, now);
        self.permits.sweep(now);
        let mut issuers = std::mem::take(&mut self.issuers);
        issuers.retain(|process, _| self.limit(process, now).is_some());
        self.issuers = issuers;
        let mut ration = std::mem::take(&mut self.ration);
        ration.retain(|process| self.limit(process, now).is_some());
        self.ration = ration;
        self.reported.retain(|(_, at)| now.since(*at) < REPORT_TIME);
        self.reports.extend(self.reported.iter().map(|(process, _)| process.clone()));
    }
}

impl Dispatcher {
    /// Records the limit that an answer names, or that it names none.
    pub(super) fn observe_limit(
        &self,
        endpoint: &Endpoint,
        limit: Option<Result<Limit, InvalidLimit>>,
        sent: Moment,
    ) {
        let limit = match limit.transpose() {
            Ok(limit) => limit,
            Err(error) => {
                log::warn!(
                    "target: {} of {}: its limit is ignored: {error}",
                    endpoint.target.instance,
                    endpoint.target.service
                );
                return;
            }
        };
        let now = self.clock.now();
        let process = endpoint.process();
        let change = {
            let mut state = self.lock();
            let throttle = &mut state.throttle;
            let change = throttle.limits.observe(&process, limit, sent, now);
            if change.is_some() {
                throttle.reported.retain(|(reported, _)| *reported != process);
                throttle.reported.push((process.clone(), now));
                throttle.reports.push(process.clone());
                self.changed.notify_one();
            }
            change
        };
        if let Some(change) = change {
            self.log_limit(&process, change, "answer");
        }
    }

    /// Applies another host's report of a limit.
    pub(in crate::gateway) fn apply_peer_limit(
        &self,
        host: &id::Host,
        process: &Process,
        limit: Option<Limit>,
        age: Duration,
    ) {
        let change = Change { limit, at: self.clock.now().before(age) };
        let is_news = {
            let throttle = &mut self.lock().throttle;
            throttle.silence.hear(host);
            throttle.limits.apply(process, change)
        };
        if is_news {
            self.log_limit(process, change, host.as_str());
            self.dispatch_all();
        }
    }

    fn log_limit(&self, process: &Process, change: Change, by: &str) {
        self.events.emit(
            "target_limit",
            json!({
                "target": process.instance.as_str(), "born": process.born,
                "per_second": change.limit.map(Limit::per_second), "by": by,
            }),
        );
    }

    /// Takes the limits to report to the other hosts, with the age of each.
    pub(in crate::gateway) fn take_limit_reports(&self) -> Vec<(Process, Option<Limit>, Duration)> {
        let now = self.clock.now();
        let mut state = self.lock();
        let throttle = &mut state.throttle;
        let reports = std::mem::take(&mut throttle.reports);
        let report = |process: Process| {
            let latest = throttle.limits.latest(&process)?;
            Some((process, latest.limit, now.since(latest.at)))
        };
        reports.into_iter().filter_map(report).collect()
    }

    /// Takes the messages about permits, with their receivers.
    pub(in crate::gateway) fn take_permit_messages(&self) -> Vec<(id::Host, Message)> {
        std::mem::take(&mut self.lock().throttle.messages)
    }

    /// Applies another host's message about permits.
    pub(in crate::gateway) fn apply_permit_message(&self, host: &id::Host, message: Message) {
        let now = self.clock.now();
        let mut state = self.lock();
        state.throttle.silence.hear(host);
        match message {
            Message::Ask { process, change, cold, asked, wanted } => {
                self.apply_listing(&mut state);
                if let Some(Cold { rate, remaining }) = cold {
                    let remaining = remaining.min(self.longest_warmup(&state));
                    Self::assert_cold(&mut state, &process, rate, remaining, now);
                }
                if state.trial_targets.contains(&process.instance) {
                    self.answer_ask(&mut state, host, process, change, (asked, wanted), now);
                    self.changed.notify_one();
                }
            }
            Message::Grant { process, asked, count } => {
                if state.throttle.permits.grant(&process, asked, count, now) {
                    drop(state);
                    self.dispatch_all();
                }
            }
            Message::Turn { process, wait } => {
                state.throttle.permits.announce(&process, wait, now);
                self.refuse_unservable(&mut state, now);
            }
        }
    }

    fn answer_ask(
        &self,
        state: &mut State,
        host: &id::Host,
        process: Process,
        change: Change,
        (asked, wanted): (Moment, u32),
        now: Moment,
    ) {
        let part = state.visible_part;
        let throttle = &mut state.throttle;
        if change.at > Moment::ZERO {
            throttle.limits.apply(&process, change);
        }
        let Some(issuer) = throttle.issuer(&process, part, now) else {
            // The limit has ended, which the asking host learns from the next answer.
            let grant = Message::Grant { process, asked, count: 1 };
            throttle.messages.push((host.clone(), grant));
            return;
        };
        issuer.ask(host, asked, wanted, now);
        let grants = issuer.poll(now);
        match issuer.expected_wait(host) {
            Some(wait) if *host == self.me => throttle.permits.announce(&process, wait, now),
            Some(wait) => {
                let turn = Message::Turn { process: process.clone(), wait };
                throttle.messages.push((host.clone(), turn));
            }
            None => {}
        }
        throttle.give_out(&self.me, &process, grants, now);
    }

    /// Gives out what the limits allow by now to the hosts that wait for it.
    pub(super) fn poll_issuers(&self, state: &mut State, now: Moment) {
        let throttle = &mut state.throttle;
        let mut all = Vec::new();
        for (process, issuer) in &mut throttle.issuers {
            let grants = issuer.poll(now);
            if !grants.is_empty() {
                all.push((process.clone(), grants));
            }
        }
        for (process, grants) in all {
            throttle.give_out(&self.me, &process, grants, now);
            self.changed.notify_one();
        }
    }

    /// Drops the issuers for targets that another host is now responsible for. A host that becomes
    /// responsible again begins with nothing to give out.
    pub(super) fn drop_foreign_issuers(state: &mut State) {
        let own = &state.trial_targets;
        state.throttle.issuers.retain(|process, _| own.contains(&process.instance));
    }

    /// Takes permits for the targets of a service that this host is responsible for, as far as no
    /// other host waits for them.
    pub(super) fn take_own_permits(&self, state: &mut State, service: &id::Service, now: Moment) {
        if !state.throttle.is_any(now) {
            return;
        }
        let Some(service) = state.services.get(service) else { return };
        for endpoint in &service.targets {
            let process = endpoint.process();
            let Some(limit) = state.throttle.limit(&process, now) else { continue };
            if state.throttle.permits.is_valid(&process, now) {
                continue;
            }
            let is_own = state.trial_targets.contains(&process.instance);
            let is_taken = if is_own {
                let issuer = state.throttle.issuer(&process, state.visible_part, now);
                issuer.is_some_and(|issuer| issuer.take(now))
            } else if self.is_rationed(state, endpoint) {
                let hosts = state.entry_hosts.len().min(MAX_RATIONS);
                let part = state.visible_part;
                state.throttle.ration.take(&process, limit, hosts, part, now)
            } else {
                false
            };
            if is_taken {
                state.throttle.permits.add_own(&process, now);
            }
        }
    }

    /// Returns whether this host uses its ration of a target's limit, as the responsible host gives out
    /// no permits. Some entry hosts have rations, the same ones on all hosts.
    fn is_rationed(&self, state: &State, endpoint: &Endpoint) -> bool {
        if state.throttle.silence.count() == 0 {
            return false;
        }
        let owner = self.owner(state, endpoint);
        let entry_hosts = Owners::new(state.entry_hosts.iter().map(|(host, _)| host));
        let has_ration = || entry_hosts.first(endpoint.trial_key, MAX_RATIONS).contains(&&self.me);
        owner.is_some_and(|owner| state.throttle.silence.is_silent(&owner)) && has_ration()
    }

    /// Records that a host knows limits, as the version of its messages has them.
    pub(in crate::gateway) fn note_limits_known(&self, host: &id::Host) {
        self.lock().throttle.silence.hear(host);
    }

    /// Returns how many hosts count as ones that know no limits.
    pub(in crate::gateway) fn silent_hosts(&self) -> u64 {
        self.lock().throttle.silence.count() as u64
    }

    /// Asks for permits for the requests of a service that wait.
    pub(super) fn ask_for_permits(&self, state: &mut State, name: &id::Service, now: Moment) {
        if !state.throttle.is_any(now) {
            return;
        }
        let Some(service) = state.services.get(name).filter(|service| !service.queue.is_empty())
        else {
            return;
        };
        let waiting = service.queue.len();
        let limited = service.targets.iter().filter(|endpoint| {
            !endpoint.target.leaving
                && !Self::is_evacuated(state, endpoint)
                && state.throttle.limit(&endpoint.process(), now).is_some()
        });
        let (mut asked, mut rest): (Vec<_>, Vec<_>) = limited
            .cloned()
            .partition(|endpoint| state.throttle.permits.is_pending(&endpoint.process(), now));
        // The order differs by host, so that not all hosts ask for the same targets.
        rest.sort_by_key(|endpoint| {
            let is_near = endpoint.target.data_centre == self.data_centre;
            (!is_near, endpoint.trial_key ^ self.key)
        });
        let room = MAX_ASKS.min(waiting).saturating_sub(asked.len());
        asked.extend(rest.into_iter().take(room));
        let wanted = u32::try_from(waiting.div_ceil(asked.len().max(1))).unwrap_or(MAX_WANTED);
        for endpoint in asked {
            self.ask_for_permit(state, &endpoint, wanted.min(MAX_WANTED), now);
        }
        self.poll_issuers(state, now);
    }

    fn ask_for_permit(
        &self,
        state: &mut State,
        endpoint: &Arc<Endpoint>,
        wanted: u32,
        now: Moment,
    ) {
        let process = endpoint.process();
        let throttle = &state.throttle;
        if throttle.limit(&process, now).is_none() {
            return;
        }
        let none = Change { limit: None, at: Moment::ZERO };
        let change = throttle.limits.latest(&process).unwrap_or(none);
        let cold = throttle
            .warming
            .limit(&process, now)
            .map(|rate| Cold { rate, remaining: throttle.warming.remaining(&process, now) });
        if !state.throttle.permits.ask(&process, now) {
            return;
        }
        let Some(owner) = self.owner(state, endpoint) else {
            return self.answer_ask(state, &self.me, process, change, (now, wanted), now);
        };
        let was_silent = state.throttle.silence.is_silent(&owner);
        state.throttle.silence.ask(&owner, now);
        if !was_silent && state.throttle.silence.is_silent(&owner) {
            self.events.emit("duty_vacant", json!({ "peer": owner.as_str(), "duty": "permits" }));
        }
        let ask = Message::Ask { process, change, cold, asked: now, wanted };
        state.throttle.messages.push((owner, ask));
        self.changed.notify_one();
    }

    /// Returns the shortest time in which the limits of a service's targets allow `ahead` requests.
    pub(super) fn min_wait(&self, state: &State, name: &id::Service, ahead: usize) -> Duration {
        let now = self.clock.now();
        if !state.throttle.is_any(now) {
            return Duration::ZERO;
        }
        let targets = state.services.get(name).map_or(&[][..], |service| &service.targets);
        let in_use = targets
            .iter()
            .filter(|endpoint| !endpoint.target.leaving && !Self::is_evacuated(state, endpoint));
        let limit = |endpoint: &Arc<Endpoint>| state.throttle.limit(&endpoint.process(), now);
        throttle::min_wait(in_use.map(limit), ahead)
    }

    /// Returns the host that is responsible for a target, or `None` if it is this one.
    fn owner(&self, state: &State, endpoint: &Endpoint) -> Option<id::Host> {
        let centre = &endpoint.target.data_centre;
        let near = state.entry_hosts.iter().filter(|(_, of)| of == centre);
        let near = Owners::new(near.map(|(host, _)| host));
        let all = Owners::new(state.entry_hosts.iter().map(|(host, _)| host));
        let owners = if near.is_empty() { all } else { near };
        owners.owner(endpoint.trial_key).filter(|host| **host != self.me).cloned()
    }
}
