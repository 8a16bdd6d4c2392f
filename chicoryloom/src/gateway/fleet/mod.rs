//! Messages between this host and the others: membership, requests in flight and admitted ones,
//! and the health of targets.

mod maintenance;
mod registration;
mod share;
mod throttle;
mod unreadable;

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use chicoryloom_policy::Moment;
use chicoryloom_policy::allowance::Limiter;
use chicoryloom_policy::allowance::Report;
use chicoryloom_policy::catalog::Version;
use chicoryloom_policy::gray::Notice;
use chicoryloom_policy::holdback::Crash;
use chicoryloom_policy::holdback::Fingerprint;
use chicoryloom_policy::id;
use chicoryloom_policy::stop::Others;
use chicoryloom_policy::withdrawal::Process;
use rand::seq::SliceRandom;
use serde_json::json;
use tokio::net::UdpSocket;

pub(super) use self::unreadable::Unreadable;
use super::dispatcher::CrashReport;
use super::dispatcher::Dispatcher;
use super::events::Events;
use super::extension::Extension;
use super::extension::Field;
use super::extension::PROTOCOL;
use super::members::Change;
use super::members::Members;
use super::members::Relay;
use super::message;
use super::message::Body;
use super::message::Envelope;
use super::message::Loss;
use super::message::MAX_DATAGRAM;
use super::message::Member;
use super::message::Usage;
use super::versions::Holding;
use super::versions::Versions;
use crate::clock::Clock;

/// Silence of all hosts after which this one counts itself as cut off; four heartbeats of an entry
/// host.
const ISOLATION_TIMEOUT: Duration = Duration::from_secs(1);
/// Most hosts that are asked at a time what they know after a stop of this process.
const MAX_NEIGHBOURS: usize = 2;
/// Most hosts that are asked for a fresh copy after a gap.
const MAX_CATCH_UP_HOSTS: usize = 4;

/// This host as a member of the fleet.
#[derive(Debug)]
pub(super) struct Fleet {
    me: Mutex<Member>,
    name: id::Host,
    incarnation: id::Incarnation,
    members: Mutex<Members>,
    socket: UdpSocket,
    sequence: AtomicU64,
    seeds: Vec<SocketAddr>,
    dispatcher: Arc<Dispatcher>,
    allowance: Arc<Mutex<Limiter>>,
    clock: Arc<dyn Clock>,
    events: Events,
    unreadable: Arc<Unreadable>,
    versions: Arc<Versions>,
    /// Share of one data centre in the requests per second that are granted to callers.
    demand: Mutex<f64>,
}

/// What a [`Fleet`] is created from.
pub(super) struct Setup {
    pub(super) me: Member,
    pub(super) socket: UdpSocket,
    pub(super) seeds: Vec<SocketAddr>,
    pub(super) dispatcher: Arc<Dispatcher>,
    pub(super) allowance: Arc<Mutex<Limiter>>,
    pub(super) versions: Arc<Versions>,
    pub(super) clock: Arc<dyn Clock>,
    pub(super) events: Events,
}

impl Fleet {
    pub(super) fn new(setup: Setup) -> Self {
        let Setup { me, socket, seeds, dispatcher, allowance, versions, clock, events } = setup;
        Self {
            name: me.host.clone(),
            incarnation: me.incarnation,
            members: Mutex::new(Members::new(&me)),
            me: Mutex::new(me),
            socket,
            sequence: AtomicU64::new(0),
            seeds,
            dispatcher,
            allowance,
            versions,
            unreadable: Arc::new(Unreadable::new(events.clone(), clock.clone())),
            clock,
            events,
            demand: Mutex::new(0.0),
        }
    }

    pub(super) fn name(&self) -> &id::Host {
        &self.name
    }

    fn me(&self) -> Member {
        self.me.lock().expect("no holder of the lock panics").clone()
    }

    fn members(&self) -> MutexGuard<'_, Members> {
        self.members.lock().expect("no holder of the lock panics")
    }

    /// Returns the count of messages that could not be read.
    pub(super) fn unreadable(&self) -> &Arc<Unreadable> {
        &self.unreadable
    }

    /// Returns how many live hosts, this one included, speak each version of the messages.
    pub(super) fn protocols(&self) -> Vec<(String, u64)> {
        let mut counts = self.members().protocols(self.clock.now());
        *counts.entry(PROTOCOL).or_default() += 1;
        counts.into_iter().map(|(protocol, hosts)| (protocol.to_string(), hosts)).collect()
    }

    /// Returns the live hosts of this host's data centre that are not leaving.
    pub(super) fn relays(&self, now: Moment) -> Vec<Relay> {
        let me = self.me();
        let members = self.members();
        let local = members.alive(&me.data_centre, now).filter(|member| !member.leaving);
        local
            .map(|member| Relay {
                host: member.host.clone(),
                peer: member.peer,
                capacity: member.capacity,
                watches: member.watches && member.fresh,
            })
            .collect()
    }

    /// Returns the requests per second that this host can serve.
    pub(super) fn capacity(&self) -> f32 {
        self.me().capacity
    }

    /// Sets whether this host watches the platform, which its next heartbeat advertises.
    pub(super) fn set_watches(&self, watches: bool) {
        self.me.lock().expect("no holder of the lock panics").watches = watches;
    }

    /// Returns the addresses that callers of a data centre should use.
    ///
    /// If the data centre has no entry host, these are the entry hosts of this host's data centre, else
    /// those of all others, else all ready hosts, else all hosts of this host's data centre. Hosts that are leaving are
    /// left out.
    pub(super) fn locate(&self, data_centre: Option<&id::DataCentre>) -> Vec<SocketAddr> {
        let now = self.clock.now();
        let me = self.me();
        let members = self.members();
        let own = me.data_centre.clone();
        let demand = *self.demand.lock().expect("no holder of the lock panics");
        let mut found = members.entries(data_centre.unwrap_or(&own), &me, demand, now);
        if found.is_empty() {
            found = members.entries(&own, &me, demand, now);
        }
        let can_serve = |member: &&Member| member.ready && !member.leaving;
        if found.is_empty() {
            found = members.all_alive(now).filter(can_serve).filter(|one| one.entry).collect();
        }
        if found.is_empty() {
            found = members.all_alive(now).filter(can_serve).collect();
        }
        if found.is_empty() {
            found = members.alive(&own, now).filter(|member| !member.leaving).collect();
            if !me.leaving {
                found.push(&me);
            }
        }
        found.iter().map(|member| member.caller).collect()
    }

    /// Returns the other hosts that callers may turn to.
    pub(super) fn others(&self) -> Others {
        self.members().others(self.clock.now())
    }

    /// Returns whether this host still got heartbeats of others while its copy was old, and some
    /// hosts whose latest heartbeat advertised a fresh copy.
    ///
    /// A host that got no heartbeat was cut off itself, unless there are no other hosts.
    pub(super) fn reachability(&self) -> (bool, Vec<SocketAddr>) {
        let now = self.clock.now();
        let members = self.members();
        let is_alone = members.all().next().is_none();
        let heard =
            members.last_heartbeat().is_some_and(|heard| now.since(heard) < ISOLATION_TIMEOUT);
        (is_alone || heard, members.fresh(MAX_CATCH_UP_HOSTS, now))
    }

    /// Returns some live hosts that can be asked what they know, those of this host's data centre first.
    pub(super) fn neighbours(&self) -> Vec<SocketAddr> {
        let now = self.clock.now();
        let mut local: Vec<_> = self.relays(now).into_iter().map(|relay| relay.peer).collect();
        local.shuffle(&mut rand::rng());
        let members = self.members();
        let remote = members.all_alive(now).filter(|member| !member.leaving);
        let remote = remote.map(|member| member.peer).filter(|peer| !local.contains(peer));
        local.iter().copied().chain(remote).take(MAX_NEIGHBOURS).collect()
    }

    /// Announces to all other hosts at once that this one stops.
    pub(super) async fn leave(&self) {
        self.me.lock().expect("no holder of the lock panics").leaving = true;
        self.send_heartbeat(true, true).await;
    }

    async fn send(&self, peers: &[SocketAddr], body: Body) {
        self.send_extended(peers, body, &Extension::new()).await;
    }

    async fn send_extended(&self, peers: &[SocketAddr], body: Body, extension: &Extension) {
        let envelope = Envelope {
            sender: self.name.clone(),
            incarnation: self.incarnation,
            sequence: self.sequence.fetch_add(1, Ordering::Relaxed) + 1,
            body,
        };
        let Some(bytes) = message::encode_datagram(&envelope, extension) else {
            log::error!("fleet: a message is too long for a datagram and is not sent");
            return;
        };
        for peer in peers {
            if let Err(error) = self.socket.send_to(&bytes, peer).await {
                log::debug!("fleet: {peer}: send: {error}");
            }
        }
    }

    /// Receives messages until the task is aborted.
    pub(super) async fn receive(self: Arc<Self>) {
        let mut buffer = vec![0; MAX_DATAGRAM + 1];
        loop {
            let (length, source) = match self.socket.recv_from(&mut buffer).await {
                Ok(received) => received,
                Err(error) => {
                    log::debug!("fleet: receive: {error}");
                    continue;
                }
            };
            match message::decode_datagram(&buffer[..length]) {
                Ok((envelope, _)) if envelope.sender == self.name => {}
                Ok((envelope, extension)) => self.handle(envelope, &extension, source).await,
                Err(message::Unreadable { head, fault }) => {
                    let host = head.as_ref().map(|head| &head.sender);
                    self.unreadable.record(source, host, fault);
                }
            }
        }
    }

    async fn handle(&self, envelope: Envelope, extension: &Extension, source: SocketAddr) {
        let Envelope { sender, incarnation, sequence, body } = envelope;
        let now = self.clock.now();
        // A field that can't be read is as good as none.
        let protocol = extension.get(Field::Protocol).unwrap_or_else(|_| {
            self.unreadable.record(source, Some(&sender), message::Fault::Extension);
            None
        });
        let protocol = protocol.unwrap_or_default();
        match body {
            Body::Hello { member, known } => {
                self.update_member(member, protocol, now);
                self.apply_holding(&sender, extension, source);
                if self.peer_count() > known {
                    self.send_members(source).await;
                }
            }
            Body::Heartbeat(member) => {
                self.dispatcher.hear();
                self.update_member(member, protocol, now);
                self.apply_holding(&sender, extension, source);
            }
            Body::Members(members) => {
                let mut known = self.members();
                for member in members.into_iter().filter(|member| member.host != self.name) {
                    known.add(member, now);
                }
            }
            Body::Loads(loads) => {
                self.dispatcher.apply_peer_loads(&sender, incarnation, sequence, loads);
            }
            Body::Successes(successes) => self.dispatcher.apply_peer_successes(successes),
            Body::Usages(usages) => {
                let mut allowance = self.allowance.lock().expect("no holder of the lock panics");
                for Usage { workspace, admitted, recent, level } in usages {
                    let report = Report {
                        incarnation,
                        total: admitted,
                        recent: recent.into(),
                        level: level.map(f64::from),
                    };
                    allowance.apply_report(&sender, &workspace, report, now);
                }
            }
            Body::Health { target, recovered } => {
                let notice = if recovered { Notice::Recovered } else { Notice::Failed };
                self.dispatcher.apply_peer_target(&sender, &target, notice);
            }
            Body::Suspect { target } => self.dispatcher.apply_peer_suspicion(&sender, &target),
            Body::Leaving { target, born } => {
                let process = Process { instance: target, born };
                self.dispatcher.apply_peer_departure(&sender, process);
            }
            Body::Limits(ceilings) => self.apply_limits(&sender, ceilings),
            Body::Ask { .. } | Body::Grant { .. } | Body::Turn { .. } => {
                self.apply_permit_body(&sender, body, extension);
            }
            Body::Crash { fingerprint, target, answered } => {
                let loss = extension.get::<Loss>(Field::Loss).ok().flatten();
                let crash = Crash {
                    target: id::Target(target),
                    born: loss.map_or(0, |loss| loss.born),
                    at: loss
                        .map_or(now, |loss| now.before(Duration::from_millis(loss.age_ms.into()))),
                };
                let report = CrashReport { request: Fingerprint(fingerprint), crash, answered };
                self.dispatcher.apply_peer_crash(&sender, report, loss.is_some());
            }
        }
    }

    /// Applies the version of the configuration that a host announces.
    fn apply_holding(&self, host: &id::Host, extension: &Extension, source: SocketAddr) {
        match extension.get::<Holding>(Field::Holding) {
            Ok(Some(holding)) => {
                self.members().set_holding(host, holding.version());
                self.versions.announce(holding);
            }
            Ok(None) => {}
            Err(_) => self.unreadable.record(source, Some(host), message::Fault::Extension),
        }
    }

    /// Returns the hosts that hold a version of the configuration or a later one, the nearer ones if
    /// there are any.
    pub(super) fn holders(&self, version: Version) -> Vec<(id::Host, SocketAddr)> {
        self.members().holders(version, self.clock.now())
    }

    /// Returns the extension of a message with which this host announces its version.
    fn announcement(&self) -> Extension {
        let extension = Extension::new();
        match self.versions.holding() {
            Some(holding) => extension.with(Field::Holding, &holding),
            None => extension,
        }
    }

    fn update_member(&self, member: Member, protocol: u16, now: Moment) {
        let host = member.host.clone();
        let (is_ready, is_leaving) = (member.ready, member.leaving);
        let is_local = member.data_centre == self.me().data_centre;
        let (was_ready, change) = {
            let mut members = self.members();
            (members.is_ready(&host), members.update(member, protocol, now))
        };
        if is_local && was_ready && !is_ready && !is_leaving && change.is_none() {
            self.dispatcher.question_links();
        }
        if let Some(change) = change {
            self.apply_change(&host, change);
        }
        if protocol > 0 {
            self.dispatcher.note_limits_known(&host);
        }
    }

    fn apply_change(&self, host: &id::Host, change: Change) {
        if matches!(change, Change::Lost | Change::Restarted | Change::Joined) {
            self.dispatcher.forget_host(host);
        }
        let change = format!("{change:?}").to_lowercase();
        let protocol = self.members().protocol(host);
        let fields = json!({ "peer": host.as_str(), "change": change, "protocol": protocol });
        self.events.emit("peer", fields);
    }

    /// Returns how many other hosts are known.
    fn peer_count(&self) -> u32 {
        u32::try_from(self.members().all().count()).unwrap_or(u32::MAX)
    }
}
