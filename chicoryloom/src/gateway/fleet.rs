//! Messages with the other hosts: who is there, what is in flight, what targets do.

use std::collections::BTreeMap;
use std::collections::HashMap;
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
use chicoryloom_policy::allowance::Status;
use chicoryloom_policy::gray::Notice;
use chicoryloom_policy::holdback::Fingerprint;
use chicoryloom_policy::id;
use serde_json::json;
use tokio::net::UdpSocket;
use tokio::time::MissedTickBehavior;

use super::dispatcher::Dispatcher;
use super::events::Events;
use super::members::Change;
use super::members::ENTRY_HEARTBEAT_INTERVAL;
use super::members::FLEET_HEARTBEAT_INTERVAL;
use super::members::HEARTBEAT_INTERVAL;
use super::members::Members;
use super::members::REMOTE_HEARTBEAT_INTERVAL;
use super::message;
use super::message::Body;
use super::message::Envelope;
use super::message::Load;
use super::message::MAX_DATAGRAM;
use super::message::Member;
use super::message::Usage;
use super::mirror::MAX_FRESH_AGE;
use super::mirror::Mirror;
use super::port::Registration;
use super::port::Store;
use super::sync::Relay;
use crate::clock::Clock;

/// Shortest time between two messages on requests in flight within the data centre, for each
/// host that gets them; a host then sends at most 200 a second.
const NEAR_GAP: Duration = Duration::from_millis(5);
/// Time after which unchanged requests in flight are told again, as messages get lost.
const REPEAT: Duration = Duration::from_secs(1);
/// Shortest time between two rounds of messages.
const LEAST_GAP: Duration = Duration::from_millis(5);
/// Time between two messages on requests in flight and admitted ones to other data centres.
const FAR_GAP: Duration = Duration::from_millis(500);
/// Time between two messages on admitted requests within the data centre.
const TOTALS_GAP: Duration = Duration::from_millis(100);
/// Time between two looks at which hosts take callers.
const SETTLE_GAP: Duration = Duration::from_millis(150);
/// Time between two rounds of upkeep.
const TICK: Duration = Duration::from_millis(50);
/// Time between two calls of a starting host to its seeds.
const HELLO_GAP: Duration = Duration::from_millis(100);
/// Time for which a starting host calls its seeds.
const HELLO_TIME: Duration = Duration::from_secs(3);
/// Time after the start at which a host registers, so that hosts without live seeds find it.
const REGISTER_AFTER: Duration = Duration::from_millis(600);
/// Time between two looks at the registered hosts.
const REGISTERED_GAP: Duration = Duration::from_secs(15);
/// Pause after a failed registration.
const REGISTER_PAUSE: Duration = Duration::from_secs(1);
/// Silence of all hosts after which this one was cut off; four beats.
const LONELY: Duration = Duration::from_secs(1);
/// Hosts that are asked for a fresh copy after a gap.
const ASKED: usize = 3;
/// Members in one datagram.
const MEMBERS: usize = 8;
/// Entries of loads or totals in one datagram; about 20 bytes each.
const ENTRIES: usize = 50;

/// This host among the others.
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
    /// Requests a second that callers may ask for in one data centre.
    demand: Mutex<f64>,
}

/// What a fleet member is made of.
pub(super) struct Setup {
    pub(super) me: Member,
    pub(super) socket: UdpSocket,
    pub(super) seeds: Vec<SocketAddr>,
    pub(super) dispatcher: Arc<Dispatcher>,
    pub(super) allowance: Arc<Mutex<Limiter>>,
    pub(super) clock: Arc<dyn Clock>,
    pub(super) events: Events,
}

impl Fleet {
    pub(super) fn new(setup: Setup) -> Self {
        let Setup { me, socket, seeds, dispatcher, allowance, clock, events } = setup;
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

    /// Returns the live hosts of this host's data centre that are not leaving.
    pub(super) fn relays(&self, now: Moment) -> Vec<Relay> {
        let me = self.me();
        let members = self.members();
        let near = members.alive(&me.data_centre, now).filter(|member| !member.leaving);
        near.map(|member| Relay {
            host: member.host.clone(),
            peer: member.peer,
            capacity: member.capacity,
            watches: member.watches && member.fresh,
        })
        .collect()
    }

    /// Returns the requests a second that this host can carry.
    pub(super) fn capacity(&self) -> f32 {
        self.me().capacity
    }

    /// Tells the others with the next beat whether this host watches the platform.
    pub(super) fn set_watches(&self, watches: bool) {
        self.me.lock().expect("no holder of the lock panics").watches = watches;
    }

    /// Returns the addresses that callers of a data centre should use.
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
        if found.is_empty() {
            let takes = |member: &&Member| member.ready && !member.leaving;
            found = members.all_alive(now).filter(takes).collect();
        }
        if found.is_empty() {
            found = members.alive(&own, now).filter(|member| !member.leaving).collect();
            if !me.leaving {
                found.push(&me);
            }
        }
        found.iter().map(|member| member.caller).collect()
    }

    /// Tells whether other hosts could be heard while this host's copy was old, and which of them
    /// had a fresh copy when they were heard last.
    ///
    /// A host that heard nobody was cut off itself, as far as there are other hosts.
    pub(super) fn reachability(&self) -> (bool, Vec<SocketAddr>) {
        let now = self.clock.now();
        let members = self.members();
        let is_alone = members.all().next().is_none();
        let heard = members.last_heard().is_some_and(|heard| now.since(heard) < LONELY);
        let mut fresh = members.fresh(now);
        fresh.truncate(ASKED);
        (is_alone || heard, fresh)
    }

    /// Has the other hosts know at once that this one stops.
    pub(super) async fn leave(&self) {
        self.me.lock().expect("no holder of the lock panics").leaving = true;
        self.beat(true, true).await;
    }

    /// Makes itself known to hosts.
    pub(super) async fn send_hello(&self, hosts: &[SocketAddr]) {
        self.send(hosts, self.hello()).await;
    }

    async fn send(&self, peers: &[SocketAddr], body: Body) {
        let envelope = Envelope {
            sender: self.name.clone(),
            incarnation: self.incarnation,
            sequence: self.sequence.fetch_add(1, Ordering::Relaxed) + 1,
            body,
        };
        let bytes = message::encode(&envelope);
        for peer in peers {
            if let Err(error) = self.socket.send_to(&bytes, peer).await {
                log::debug!("fleet: {peer}: send: {error}");
            }
        }
    }

    async fn beat(&self, far: bool, wide: bool) {
        let recipients = self.members().recipients(far, wide, self.clock.now());
        self.send(&recipients, Body::Heartbeat(self.me())).await;
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
            match message::decode::<Envelope>(&buffer[..length]) {
                Ok(envelope) if envelope.sender == self.name => {}
                Ok(envelope) => self.take(envelope, source).await,
                Err(error) => log::debug!("fleet: {source}: malformed datagram: {error}"),
            }
        }
    }

    async fn take(&self, envelope: Envelope, source: SocketAddr) {
        let Envelope { sender, incarnation, sequence, body } = envelope;
        let now = self.clock.now();
        match body {
            Body::Hello { member, known } => {
                self.hear(member, now);
                if self.known() > known {
                    self.introduce(source).await;
                }
            }
            Body::Heartbeat(member) => self.hear(member, now),
            Body::Members(members) => {
                let mut known = self.members();
                for member in members.into_iter().filter(|member| member.host != self.name) {
                    known.add(member, now);
                }
            }
            Body::Loads(loads) => {
                self.dispatcher.apply_peer_loads(&sender, incarnation, sequence, loads);
            }
            Body::Successes(proofs) => self.dispatcher.apply_peer_successes(proofs),
            Body::Usages(totals) => {
                let mut allowance = self.allowance.lock().expect("no holder of the lock panics");
                for Usage { workspace, admitted, recent, level } in totals {
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
                let news = if recovered { Notice::Recovered } else { Notice::Failed };
                self.dispatcher.apply_peer_target(&sender, &target, news);
            }
            Body::Crash { fingerprint, target, answered } => {
                self.dispatcher.apply_crash(Fingerprint(fingerprint), target, answered);
            }
        }
    }

    fn hear(&self, member: Member, now: Moment) {
        let host = member.host.clone();
        let change = self.members().update(member, now);
        if let Some(change) = change {
            self.note(&host, change);
        }
    }

    fn note(&self, host: &id::Host, change: Change) {
        if matches!(change, Change::Lost | Change::Restarted) {
            self.dispatcher.forget_host(host);
        }
        let change = format!("{change:?}").to_lowercase();
        self.events.emit("peer", json!({ "peer": host.as_str(), "change": change }));
    }

    /// Returns how many other hosts this one knows.
    fn known(&self) -> u32 {
        u32::try_from(self.members().all().count()).unwrap_or(u32::MAX)
    }

    fn hello(&self) -> Body {
        Body::Hello { member: self.me(), known: self.known() }
    }

    /// Tells a starting host of all members.
    async fn introduce(&self, host: SocketAddr) {
        let mut all: Vec<_> = self.members().all().cloned().collect();
        all.push(self.me());
        for members in all.chunks(MEMBERS) {
            self.send(&[host], Body::Members(members.to_vec())).await;
        }
    }

    /// Calls the seeds until some other host is known.
    pub(super) async fn join(self: Arc<Self>) {
        let end = self.clock.now().after(HELLO_TIME);
        let own = self.me().peer;
        let seeds: Vec<_> = self.seeds.iter().filter(|seed| **seed != own).copied().collect();
        let mut heard = 0;
        while self.clock.now() < end && heard < 3 {
            self.send(&seeds, self.hello()).await;
            tokio::time::sleep(HELLO_GAP).await;
            // Two further rounds reach seeds that started later than this host.
            heard += usize::from(self.members().all().next().is_some());
            self.beat(true, true).await;
        }
    }

    /// Registers this host at the platform, and looks for others there.
    pub(super) async fn register(self: Arc<Self>, store: Arc<dyn Store>) {
        tokio::time::sleep(REGISTER_AFTER).await;
        let me = self.me();
        let entry =
            Registration { host: me.host, data_centre: me.data_centre.clone(), peer: me.peer };
        while let Err(error) = store.register(&entry).await {
            log::info!("fleet: registration: {error}");
            tokio::time::sleep(REGISTER_PAUSE).await;
        }
        loop {
            match store.hosts().await {
                Ok(hosts) => {
                    let hosts = hosts.iter().filter(|host| host.host != self.name);
                    let known: HashMap<_, _> =
                        self.members().all().map(|one| (one.host.clone(), one.peer)).collect();
                    let new = hosts.filter(|host| known.get(&host.host) != Some(&host.peer));
                    let new: Vec<_> = new.map(|host| host.peer).collect();
                    self.send(&new, self.hello()).await;
                }
                Err(error) => log::debug!("fleet: registered hosts: {error}"),
            }
            tokio::time::sleep(REGISTERED_GAP).await;
        }
    }

    /// Sends beats and looks after the members until the task is aborted.
    pub(super) async fn maintain(self: Arc<Self>, mirror: Arc<Mirror>) {
        let mut interval = tokio::time::interval(TICK);
        interval.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let (mut near, mut far, mut wide) = (Moment::ZERO, Moment::ZERO, Moment::ZERO);
        let (mut settled, mut swept) = (Moment::ZERO, Moment::ZERO);
        let mut was_entry = false;
        loop {
            interval.tick().await;
            let now = self.clock.now();
            self.allowance.lock().expect("no holder of the lock panics").tick(now);
            if now.since(settled) >= SETTLE_GAP {
                settled = now;
                self.settle(&mirror, now);
            }
            let is_entry = self.me().entry;
            let gap = if is_entry { ENTRY_HEARTBEAT_INTERVAL } else { HEARTBEAT_INTERVAL };
            // Others tell of admitted requests only whom they know to take callers.
            let is_new = is_entry && !was_entry;
            was_entry = is_entry;
            if now.since(near) >= gap || is_new {
                near = now;
                let is_far = is_entry && now.since(far) >= REMOTE_HEARTBEAT_INTERVAL;
                let is_wide = is_entry && (is_new || now.since(wide) >= FLEET_HEARTBEAT_INTERVAL);
                far = if is_far { now } else { far };
                wide = if is_wide { now } else { wide };
                self.beat(is_far, is_wide).await;
            }
            if now.since(swept) >= Duration::from_secs(1) {
                swept = now;
                self.dispatcher.sweep();
            }
            self.dispatcher.dispatch_all();
        }
    }

    /// Works out which hosts take callers, and drops hosts that fell silent.
    fn settle(&self, mirror: &Mirror, now: Moment) {
        let catalog = mirror.catalog();
        let lost = self.members().expire(now);
        for host in &lost {
            self.note(host, Change::Lost);
        }
        let mut members = self.members();
        let mut me = self.me.lock().expect("no holder of the lock panics");
        me.ready = catalog.is_some();
        me.fresh = mirror.age() < MAX_FRESH_AGE;
        let mut centres: Vec<_> =
            members.all_alive(now).map(|member| member.data_centre.clone()).collect();
        centres.push(me.data_centre.clone());
        centres.sort();
        centres.dedup();
        let granted = catalog.and_then(|catalog| catalog.total_rate()).unwrap_or_default();
        let share = granted / centres.len().max(1) as f64;
        *self.demand.lock().expect("no holder of the lock panics") = share;
        let own = members.entries(&me.data_centre, &me, share, now);
        let is_entry = own.iter().any(|member| member.host == self.name);
        let mut entries: Vec<_> =
            own.iter().map(|one| (one.host.clone(), one.data_centre.clone())).collect();
        let others = members.all_alive(now).filter(|one| one.data_centre != me.data_centre);
        let others = others.filter(|one| one.entry && !one.leaving);
        entries.extend(others.map(|one| (one.host.clone(), one.data_centre.clone())));
        entries.sort();
        let hosts = members.all_alive(now).count() + 1;
        me.entry = is_entry;
        drop(me);
        members.set_entry(is_entry);
        drop(members);
        self.dispatcher.set_fleet(entries, hosts);
    }

    /// Tells the others of requests in flight, admitted ones and targets that fail.
    pub(super) async fn share(self: Arc<Self>) {
        let mut sent = Sent::default();
        let own = self.me().data_centre;
        loop {
            // Upkeep of what is told at longer gaps needs a wake-up now and then.
            let _ = tokio::time::timeout(TICK, self.dispatcher.changed.notified()).await;
            let now = self.clock.now();
            let mut sharers = self.members().entries_by_data_centre(now);
            let near = sharers.remove(&own).unwrap_or_default();
            let far: Vec<_> = sharers.values().flatten().copied().collect();
            let all: Vec<_> = near.iter().chain(&far).copied().collect();
            for (target, news) in self.dispatcher.take_notices() {
                let recovered = news == Notice::Recovered;
                self.send(&all, Body::Health { target, recovered }).await;
            }
            for (request, target, answered) in self.dispatcher.take_crash_reports() {
                let crash = Body::Crash { fingerprint: request.0, target, answered };
                self.send(&all, crash).await;
            }
            let loads = self.dispatcher.loads();
            let near_gap = NEAR_GAP * u32::try_from(near.len()).unwrap_or(u32::MAX);
            let is_old = !loads.is_empty() && now.since(sent.near_at) >= REPEAT;
            if (loads != sent.near || is_old) && now.since(sent.near_at) >= near_gap {
                sent.near_at = now;
                let all: Vec<_> = loads.values().flatten().cloned().collect();
                self.send_loads(&near, &all).await;
                sent.near = loads.clone();
                let proofs = self.dispatcher.take_successes();
                if !proofs.is_empty() && !near.is_empty() {
                    let proofs = proofs.into_iter().take(ENTRIES).collect();
                    self.send(&near, Body::Successes(proofs)).await;
                }
            }
            if now.since(sent.far_at) >= FAR_GAP {
                sent.far_at = now;
                // Other data centres mostly use their own targets, so that these matter there.
                for (centre, peers) in &sharers {
                    if loads.get(centre) != sent.far.get(centre) {
                        let loads = loads.get(centre).map_or(&[][..], Vec::as_slice);
                        self.send_loads(peers, loads).await;
                    }
                }
                sent.far = loads;
            }
            let hosts = all.len() + 1;
            let (totals, urgent) = self.reports(&sent.far_totals, hosts);
            if urgent || now.since(sent.far_totals_at) >= FAR_GAP {
                sent.far_totals_at = now;
                self.send_totals(&far, &totals, &sent.far_totals).await;
                sent.far_totals = totals.clone();
            }
            let (_, urgent) = self.reports(&sent.near_totals, hosts);
            if urgent || now.since(sent.near_totals_at) >= TOTALS_GAP {
                sent.near_totals_at = now;
                self.send_totals(&near, &totals, &sent.near_totals).await;
                sent.near_totals = totals;
            }
            tokio::time::sleep(LEAST_GAP).await;
        }
    }

    async fn send_loads(&self, peers: &[SocketAddr], loads: &[Load]) {
        if peers.is_empty() {
            return;
        }
        let loads = loads.iter().take(ENTRIES).cloned().collect();
        self.send(peers, Body::Loads(loads)).await;
    }

    /// Returns what this host admitted, and whether the others should hear of it at once.
    fn reports(&self, told: &Totals, hosts: usize) -> (Totals, bool) {
        let allowance = self.allowance.lock().expect("no holder of the lock panics");
        let mut urgent = false;
        let totals = allowance.statuses(self.clock.now()).map(|(name, standing)| {
            let before = told.get(name).map_or(0, |told| told.total);
            let untold = standing.total.saturating_sub(before);
            urgent |= Limiter::is_urgent(untold, &standing, hosts);
            (name.clone(), standing)
        });
        let totals = totals.collect();
        (totals, urgent)
    }

    /// Sends the totals that differ from the last ones told.
    async fn send_totals(&self, peers: &[SocketAddr], totals: &Totals, told: &Totals) {
        if peers.is_empty() {
            return;
        }
        let is_settled = {
            let allowance = self.allowance.lock().expect("no holder of the lock panics");
            allowance.has_full_window(self.clock.now())
        };
        let differs = |(name, standing): &(&id::Workspace, &Status)| {
            told.get(*name).is_none_or(|told| told.total != standing.total)
        };
        let changed: Vec<_> = totals
            .iter()
            .filter(differs)
            .map(|(name, standing)| Usage {
                workspace: name.clone(),
                admitted: standing.total,
                recent: u32::try_from(standing.recent).unwrap_or(u32::MAX),
                level: is_settled.then_some(standing.level as f32),
            })
            .collect();
        for totals in changed.chunks(ENTRIES) {
            self.send(peers, Body::Usages(totals.to_vec())).await;
        }
    }
}

/// What a host tells of each workspace.
type Totals = HashMap<id::Workspace, Status>;

/// What was told last.
#[derive(Debug, Default)]
struct Sent {
    near: BTreeMap<id::DataCentre, Vec<Load>>,
    near_at: Moment,
    far: BTreeMap<id::DataCentre, Vec<Load>>,
    far_at: Moment,
    near_totals: Totals,
    near_totals_at: Moment,
    far_totals: Totals,
    far_totals_at: Moment,
}
