//! What this host and the others tell each other of targets and requests.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use chicoryloom_policy::Moment;
use chicoryloom_policy::gray::Notice;
use chicoryloom_policy::gray::Outcome;
use chicoryloom_policy::holdback::Fingerprint;
use chicoryloom_policy::id;
use serde_json::json;

use super::Dispatcher;
use super::Endpoint;
use super::PeerLoads;
use crate::gateway::message::Load;
use crate::gateway::message::Success;

impl Dispatcher {
    /// Takes in how a request at a target ended.
    pub(in crate::gateway) fn observe(&self, endpoint: &Endpoint, outcome: Outcome, sent: Moment) {
        let now = self.clock.now();
        let instance = &endpoint.target.instance;
        let mut state = self.lock();
        let news = state.board.observe(instance, outcome, sent, now);
        let risk = state.board.risk(instance, now);
        let prior = state.board.prior();
        if outcome == Outcome::Ok {
            state.successes.insert(instance.clone(), sent);
        }
        if let Some(news) = news {
            state.news.push((instance.clone(), news));
            drop(state);
            self.changed.notify_one();
            self.events.emit(
                "target",
                json!({
                    "target": instance.as_str(), "service": endpoint.target.service.as_str(),
                    "belief": state_name(news),
                    "by": "own request", "risk": risk, "prior": prior,
                }),
            );
        }
    }

    /// Takes in what another host found about a target.
    pub(in crate::gateway) fn apply_peer_target(
        &self,
        host: &id::Host,
        target: &id::Instance,
        news: Notice,
    ) {
        let now = self.clock.now();
        let risk = {
            let mut state = self.lock();
            state.board.apply_notice(target, news, now);
            state.board.risk(target, now)
        };
        self.events.emit(
            "target",
            json!({
                "target": target.as_str(), "by": host.as_str(),
                "belief": state_name(news), "risk": risk,
            }),
        );
        self.dispatch_all();
    }

    /// Takes in the requests that another host has in flight.
    pub(in crate::gateway) fn apply_peer_loads(
        &self,
        host: &id::Host,
        incarnation: id::Incarnation,
        sequence: u64,
        loads: Vec<Load>,
    ) {
        let now = self.clock.now();
        let mut state = self.lock();
        if let Some(known) = state.peer_loads.get(host)
            && known.incarnation == incarnation
            && known.sequence >= sequence
        {
            return;
        }
        let loads = loads.into_iter().map(|load| (load.target, load.in_flight.into())).collect();
        state
            .peer_loads
            .insert(host.clone(), PeerLoads { incarnation, sequence, received: now, loads });
        drop(state);
        self.dispatch_all();
    }

    /// Takes in which targets answered another host well.
    pub(in crate::gateway) fn apply_peer_successes(&self, successes: Vec<Success>) {
        let now = self.clock.now();
        let mut state = self.lock();
        for Success { target, age_ms } in successes {
            let sent = now.before(Duration::from_millis(age_ms.into()));
            state.board.apply_remote_success(&target, sent, now);
        }
    }

    /// Returns the targets that answered this host well with an answer that is not told yet.
    pub(in crate::gateway) fn take_successes(&self) -> Vec<Success> {
        let now = self.clock.now();
        let successes = std::mem::take(&mut self.lock().successes);
        let success = |(target, sent)| {
            let age_ms = u32::try_from(now.since(sent).as_millis()).unwrap_or(u32::MAX);
            Success { target, age_ms }
        };
        successes.into_iter().map(success).collect()
    }

    /// Forgets the requests in flight of a host that is lost.
    pub(in crate::gateway) fn forget_host(&self, host: &id::Host) {
        self.lock().peer_loads.remove(host);
        self.dispatch_all();
    }

    /// Returns the requests of this host that are in flight, by the data centre of their targets.
    pub(in crate::gateway) fn loads(&self) -> BTreeMap<id::DataCentre, Vec<Load>> {
        let state = self.lock();
        let targets = state.services.values().flat_map(|service| &service.targets);
        let mut loads: BTreeMap<id::DataCentre, Vec<Load>> = BTreeMap::new();
        for endpoint in targets {
            let target = &endpoint.target.instance;
            let count = state.own_in_flight.get(target).copied().unwrap_or_default();
            if count > 0 {
                let in_flight = u16::try_from(count).unwrap_or(u16::MAX);
                let centre = endpoint.target.data_centre.clone();
                loads.entry(centre).or_default().push(Load { target: target.clone(), in_flight });
            }
        }
        loads
    }

    /// Takes what the other hosts should know of targets.
    pub(in crate::gateway) fn take_news(&self) -> Vec<(id::Instance, Notice)> {
        std::mem::take(&mut self.lock().news)
    }

    /// Takes what the other hosts should know of requests that take targets down.
    pub(in crate::gateway) fn take_crash_reports(&self) -> Vec<(Fingerprint, SocketAddr, bool)> {
        std::mem::take(&mut self.lock().crash_reports)
    }

    /// Returns the time for which a request is held back since it took targets down.
    pub(in crate::gateway) fn held_for(&self, request: Fingerprint) -> Option<Duration> {
        self.lock().holdback.remaining_hold(request, self.clock.now())
    }

    /// Records that a target broke the connection on a request, or answered it.
    pub(in crate::gateway) fn record_crash(
        &self,
        request: Fingerprint,
        address: SocketAddr,
        answered: bool,
    ) {
        if self.apply_crash(request, address, answered) {
            self.lock().crash_reports.push((request, address, answered));
            self.changed.notify_one();
        }
    }

    /// Takes in such a record; tells whether it says something new.
    pub(in crate::gateway) fn apply_crash(
        &self,
        request: Fingerprint,
        address: SocketAddr,
        answered: bool,
    ) -> bool {
        let now = self.clock.now();
        let mut state = self.lock();
        if answered {
            return state.holdback.clear(request);
        }
        let held = state.holdback.record_loss(request, id::Target(address), now);
        drop(state);
        if held.is_some() {
            let request = format!("{:032x}", request.0);
            self.events.emit("held_back", json!({ "fingerprint": request }));
        }
        true
    }
}

/// Returns the name for logs of what news make of a target.
const fn state_name(news: Notice) -> &'static str {
    match news {
        Notice::Failed => "in doubt",
        Notice::Recovered => "in use",
    }
}
