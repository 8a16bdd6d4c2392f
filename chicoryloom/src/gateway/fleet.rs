//! Messages between this host and the others: membership, requests in flight and admitted ones,
//! and the health of targets.

mod throttle;

use std::collections::BTreeMap;
use std::collections::BTreeSet;
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
use chicoryloom_policy::share;
use chicoryloom_policy::withdrawal::Process;
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

/// Time after which unchanged requests in flight are sent again, as datagrams get lost.
const LOADS_REPEAT_INTERVAL: Duration = Duration::from_secs(1);
/// Shortest interval between two rounds of messages on requests and targets.
const MIN_SHARE_INTERVAL: Duration = Duration::from_millis(5);
/// Interval between two messages on requests in flight and admitted ones to other data centres.
const REMOTE_SHARE_INTERVAL: Duration = Duration::from_millis(500);
/// Interval between two messages on admitted requests within the data centre.
const USAGE_INTERVAL: Duration = Duration::from_millis(100);
/// Interval at which the entry hosts are determined.
const ENTRIES_INTERVAL: Duration = Duration::from_millis(150);
/// Interval between two rounds of maintenance.
const MAINTENANCE_INTERVAL: Duration = Duration::from_millis(50);
/// Interval at which a starting host sends hellos to its seeds.
const HELLO_INTERVAL: Duration = Duration::from_millis(100);
/// Longest time for which a starting host sends hellos to its seeds.
const JOIN_TIMEOUT: Duration = Duration::from_secs(3);
/// Time after its start at which a host registers at the platform, so that hosts without live
/// seeds find it.
const REGISTER_DELAY: Duration = Duration::from_millis(600);
/// Interval at which the registered hosts are read from the platform.
const DISCOVERY_INTERVAL: Duration = Duration::from_secs(15);
/// Hosts of a data centre that register at the platform and look for unknown ones there.
const CONTACT_HOSTS: usize = 8;
/// Interval at which any other host checks whether it has become one of them.
const CONTACT_CHECK_INTERVAL: Duration = Duration::from_secs(1);
/// Longest delay before a host registers again at a restored store; all hosts do so.
const REGISTER_SPREAD: Duration = Duration::from_secs(1);
/// Delay before a failed registration is repeated.
const REGISTER_RETRY_DELAY: Duration = Duration::from_secs(1);
/// Time for which a host tells all others that it lost its links to targets, or got them back, as
/// datagrams get lost.
const ANNOUNCE_TIME: Duration = Duration::from_secs(1);
/// Silence of all hosts after which this one counts itself as cut off; four heartbeats of an entry
/// host.
const ISOLATION_TIMEOUT: Duration = Duration::from_secs(1);
/// Most hosts that are asked for a fresh copy after a gap.
const MAX_CATCH_UP_HOSTS: usize = 3;
/// Most members in one datagram.
const MEMBERS_PER_DATAGRAM: usize = 8;
/// Most loads, successes or usages in one datagram; each takes about 20 bytes.
const RECORDS_PER_DATAGRAM: usize = 50;

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
        let mut fresh = members.fresh(now);
        fresh.truncate(MAX_CATCH_UP_HOSTS);
        (is_alone || heard, fresh)
    }

    /// Announces to all other hosts at once that this one stops.
    pub(super) async fn leave(&self) {
        self.me.lock().expect("no holder of the lock panics").leaving = true;
        self.send_heartbeat(true, true).await;
    }

    /// Introduces this host to others.
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

    async fn send_heartbeat(&self, remote: bool, fleet: bool) {
        let recipients = self.members().recipients(remote, fleet, self.clock.now());
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
                Ok(envelope) => self.handle(envelope, source).await,
                Err(error) => log::debug!("fleet: {source}: malformed datagram: {error}"),
            }
        }
    }

    async fn handle(&self, envelope: Envelope, source: SocketAddr) {
        let Envelope { sender, incarnation, sequence, body } = envelope;
        let now = self.clock.now();
        match body {
            Body::Hello { member, known } => {
                self.update_member(member, now);
                if self.peer_count() > known {
                    self.send_members(source).await;
                }
            }
            Body::Heartbeat(member) => self.update_member(member, now),
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
            Body::Leaving { target, born } => {
                let process = Process { instance: target, born };
                self.dispatcher.apply_peer_departure(&sender, process);
            }
            Body::Limits(ceilings) => self.apply_limits(&sender, ceilings),
            Body::Ask { .. } | Body::Grant { .. } | Body::Turn { .. } => {
                self.apply_permit_body(&sender, body);
            }
            Body::Crash { fingerprint, target, answered } => {
                let request = Fingerprint(fingerprint);
                self.dispatcher.apply_crash(request, target, answered, Some(&sender));
            }
        }
    }

    fn update_member(&self, member: Member, now: Moment) {
        let host = member.host.clone();
        let (is_ready, is_leaving) = (member.ready, member.leaving);
        let is_local = member.data_centre == self.me().data_centre;
        let (was_ready, change) = {
            let mut members = self.members();
            (members.is_ready(&host), members.update(member, now))
        };
        if is_local && was_ready && !is_ready && !is_leaving && change.is_none() {
            self.dispatcher.question_links();
        }
        if let Some(change) = change {
            self.apply_change(&host, change);
        }
    }

    fn apply_change(&self, host: &id::Host, change: Change) {
        if matches!(change, Change::Lost | Change::Restarted) {
            self.dispatcher.forget_host(host);
        }
        let change = format!("{change:?}").to_lowercase();
        self.events.emit("peer", json!({ "peer": host.as_str(), "change": change }));
    }

    /// Returns how many other hosts are known.
    fn peer_count(&self) -> u32 {
        u32::try_from(self.members().all().count()).unwrap_or(u32::MAX)
    }

    fn hello(&self) -> Body {
        Body::Hello { member: self.me(), known: self.peer_count() }
    }

    /// Sends all known members to a host.
    async fn send_members(&self, host: SocketAddr) {
        let mut all: Vec<_> = self.members().all().cloned().collect();
        all.push(self.me());
        for members in all.chunks(MEMBERS_PER_DATAGRAM) {
            self.send(&[host], Body::Members(members.to_vec())).await;
        }
    }

    /// Sends hellos to the seeds until another host is known.
    pub(super) async fn join(self: Arc<Self>) {
        let end = self.clock.now().after(JOIN_TIMEOUT);
        let own = self.me().peer;
        let seeds: Vec<_> = self.seeds.iter().filter(|seed| **seed != own).copied().collect();
        let mut rounds = 0;
        while self.clock.now() < end && rounds < 3 {
            self.send(&seeds, self.hello()).await;
            tokio::time::sleep(HELLO_INTERVAL).await;
            // Two further rounds reach seeds that started later than this host.
            rounds += usize::from(self.members().all().next().is_some());
            self.send_heartbeat(true, true).await;
        }
    }

    /// Registers this host at the platform, and introduces it to the hosts registered there that it
    /// does not know; runs until the task is aborted.
    ///
    /// Some hosts of a data centre are enough for others to find the fleet by, so that the calls don't
    /// grow with its size. A store that was restored from a copy may lack the registration, which is
    /// therefore written in each era of the store.
    pub(super) async fn register(self: Arc<Self>, store: Arc<dyn Store>, mirror: Arc<Mirror>) {
        tokio::time::sleep(REGISTER_DELAY).await;
        let me = self.me();
        let entry =
            Registration { host: me.host, data_centre: me.data_centre.clone(), peer: me.peer };
        let mut era = None;
        loop {
            let is_contact = {
                let members = self.members();
                members.is_among_first(CONTACT_HOSTS, &self.me(), self.clock.now())
            };
            let knows_others = self.peer_count() > 0;
            if !is_contact && knows_others {
                tokio::time::sleep(CONTACT_CHECK_INTERVAL).await;
                continue;
            }
            let present = mirror.era();
            if era != Some(present) {
                if era.is_some() {
                    let delay = REGISTER_SPREAD.mul_f64(rand::random());
                    tokio::time::sleep(delay).await;
                }
                while let Err(error) = store.register(&entry).await {
                    log::info!("fleet: registration at the platform failed: {error}");
                    tokio::time::sleep(REGISTER_RETRY_DELAY).await;
                }
                log::debug!("fleet: registered at the platform in era {present} of its store");
                era = Some(present);
            }
            match store.hosts().await {
                Ok(hosts) => {
                    let hosts = hosts.iter().filter(|host| host.host != self.name);
                    let known: HashMap<_, _> =
                        self.members().all().map(|one| (one.host.clone(), one.peer)).collect();
                    let new = hosts.filter(|host| known.get(&host.host) != Some(&host.peer));
                    let new: Vec<_> = new.map(|host| host.peer).collect();
                    self.send(&new, self.hello()).await;
                }
                Err(error) => log::debug!("fleet: registered hosts can't be read: {error}"),
            }
            // A new era needs the registration at once, and the interval is no error.
            let _ = tokio::time::timeout(DISCOVERY_INTERVAL, mirror.later_era(present)).await;
        }
    }

    /// Sends heartbeats, updates the entry hosts and does periodic work until the task is aborted.
    pub(super) async fn maintain(self: Arc<Self>, mirror: Arc<Mirror>) {
        let mut ticks = tokio::time::interval(MAINTENANCE_INTERVAL);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let (mut local_at, mut remote_at, mut fleet_at) =
            (Moment::ZERO, Moment::ZERO, Moment::ZERO);
        let (mut entries_at, mut swept_at) = (Moment::ZERO, Moment::ZERO);
        let (mut was_entry, mut was_cut) = (false, false);
        let mut announce_until = Moment::ZERO;
        loop {
            tokio::select! {
                _ = ticks.tick() => {}
                () = self.dispatcher.links_changed.notified() => {}
            }
            let now = self.clock.now();
            let is_cut = self.dispatcher.is_cut();
            if is_cut != was_cut {
                was_cut = is_cut;
                announce_until = now.after(ANNOUNCE_TIME);
                (entries_at, local_at) = (Moment::ZERO, Moment::ZERO);
                if !is_cut {
                    // Others sent no reports to this host while it was no entry host.
                    self.allowance.lock().expect("no holder of the lock panics").restart(now);
                }
            }
            let announces = now < announce_until;
            self.allowance.lock().expect("no holder of the lock panics").tick(now);
            if now.since(entries_at) >= ENTRIES_INTERVAL {
                entries_at = now;
                self.update_entries(&mirror, now);
            }
            let is_entry = self.me().entry;
            let is_frequent = is_entry || announces;
            let interval = if is_frequent { ENTRY_HEARTBEAT_INTERVAL } else { HEARTBEAT_INTERVAL };
            // Others send admitted requests only to hosts that they know as entry hosts, so a new
            // one announces itself at once.
            let is_new = is_entry && !was_entry;
            was_entry = is_entry;
            if now.since(local_at) >= interval || is_new {
                local_at = now;
                let to_remote = is_entry && now.since(remote_at) >= REMOTE_HEARTBEAT_INTERVAL;
                let is_fleet_due = is_new || now.since(fleet_at) >= FLEET_HEARTBEAT_INTERVAL;
                let to_fleet = announces || (is_entry && is_fleet_due);
                remote_at = if to_remote { now } else { remote_at };
                fleet_at = if to_fleet { now } else { fleet_at };
                self.send_heartbeat(to_remote, to_fleet).await;
            }
            if now.since(swept_at) >= Duration::from_secs(1) {
                swept_at = now;
                self.dispatcher.sweep();
            }
            self.dispatcher.dispatch_all();
            self.dispatcher.check_links();
        }
    }

    /// Determines the entry hosts, and reports hosts as lost that have fallen silent.
    fn update_entries(&self, mirror: &Mirror, now: Moment) {
        let catalog = mirror.catalog();
        let lost = self.members().expire(now);
        for host in &lost {
            self.apply_change(host, Change::Lost);
        }
        let mut members = self.members();
        let mut me = self.me.lock().expect("no holder of the lock panics");
        me.ready = catalog.is_some() && !self.dispatcher.is_cut();
        me.fresh = mirror.age() < MAX_FRESH_AGE;
        let mut centres: BTreeSet<_> =
            members.all_alive(now).map(|member| &member.data_centre).collect();
        centres.insert(&me.data_centre);
        let granted = catalog.and_then(|catalog| catalog.total_rate()).unwrap_or_default();
        let demand = granted / centres.len() as f64;
        drop(centres);
        *self.demand.lock().expect("no holder of the lock panics") = demand;
        let capacity = f64::from(me.capacity);
        let own = members.entries(&me.data_centre, &me, demand, now);
        let is_entry = own.iter().any(|member| member.host == self.name);
        let mut entries: Vec<_> =
            own.iter().map(|one| (one.host.clone(), one.data_centre.clone())).collect();
        let others = members.all_alive(now).filter(|one| one.data_centre != me.data_centre);
        let others = others.filter(|one| one.entry && !one.leaving);
        entries.extend(others.map(|one| (one.host.clone(), one.data_centre.clone())));
        entries.sort();
        let hosts = members.all_alive(now).count() + 1;
        let known = members.all().filter(|member| !member.leaving).count() + 1;
        me.entry = is_entry;
        drop(me);
        members.set_entry(is_entry);
        drop(members);
        // A host that has just started knows few others, but can tell how many the grants need.
        let needed = (granted / capacity.max(1.0)).ceil() as usize;
        let mut allowance = self.allowance.lock().expect("no holder of the lock panics");
        allowance.set_hosts(entries.len().max(needed));
        drop(allowance);
        self.dispatcher.set_fleet(entries, hosts, known);
    }

    /// Sends the requests in flight, the admitted ones and changes in the health of targets to the
    /// entry hosts until the task is aborted.
    pub(super) async fn share(self: Arc<Self>) {
        let mut sent = LastSent::default();
        let own = self.me().data_centre;
        let mut entries_at = Moment::ZERO;
        let (mut entries, mut local) = (BTreeMap::new(), Vec::new());
        loop {
            // Wakes up without a change as well, for what is sent at longer intervals.
            let _ = tokio::time::timeout(MAINTENANCE_INTERVAL, self.dispatcher.changed.notified())
                .await;
            let now = self.clock.now();
            if now.since(entries_at) >= ENTRIES_INTERVAL {
                entries_at = now;
                entries = self.members().entries_by_data_centre(now);
                local = entries.remove(&own).unwrap_or_default();
            }
            let remote: Vec<_> = entries.values().flatten().copied().collect();
            let all: Vec<_> = local.iter().chain(&remote).copied().collect();
            for Process { instance, born } in self.dispatcher.take_departures() {
                self.send(&all, Body::Leaving { target: instance, born }).await;
            }
            self.send_limits(&all).await;
            for (target, notice) in self.dispatcher.take_notices() {
                let recovered = notice == Notice::Recovered;
                self.send(&all, Body::Health { target, recovered }).await;
            }
            for (fingerprint, target, answered) in self.dispatcher.take_crash_reports() {
                let crash = Body::Crash { fingerprint: fingerprint.0, target, answered };
                self.send(&all, crash).await;
            }
            let loads = self.dispatcher.loads();
            // Loads change with each request, and take half of the messages that usages may.
            let loads_interval = share::min_interval(2 * local.len());
            let is_old =
                !loads.is_empty() && now.since(sent.local_loads_at) >= LOADS_REPEAT_INTERVAL;
            if (loads != sent.local_loads || is_old)
                && now.since(sent.local_loads_at) >= loads_interval
            {
                sent.local_loads_at = now;
                let all: Vec<_> = loads.values().flatten().cloned().collect();
                self.send_loads(&local, &all).await;
                sent.local_loads = loads.clone();
                let successes = self.dispatcher.take_successes();
                if !successes.is_empty() && !local.is_empty() {
                    let successes = successes.into_iter().take(RECORDS_PER_DATAGRAM).collect();
                    self.send(&local, Body::Successes(successes)).await;
                }
            }
            if now.since(sent.remote_loads_at) >= REMOTE_SHARE_INTERVAL {
                sent.remote_loads_at = now;
                // A data centre mostly uses its own targets, so it gets only the loads of those.
                for (centre, peers) in &entries {
                    if loads.get(centre) != sent.remote_loads.get(centre) {
                        let loads = loads.get(centre).map_or(&[][..], Vec::as_slice);
                        self.send_loads(peers, loads).await;
                    }
                }
                sent.remote_loads = loads;
            }
            let hosts = all.len() + 1;
            let remote_age = now.since(sent.remote_usage_at);
            if !remote.is_empty() && remote_age >= share::min_interval(remote.len()) {
                let (usage, urgent) = self.usage(&sent.remote_usage, hosts);
                if urgent || remote_age >= REMOTE_SHARE_INTERVAL {
                    sent.remote_usage_at = now;
                    self.send_usage(&remote, &usage, &sent.remote_usage).await;
                    sent.remote_usage = usage;
                }
            }
            let local_age = now.since(sent.local_usage_at);
            if !local.is_empty() && local_age >= share::min_interval(local.len()) {
                let (usage, urgent) = self.usage(&sent.local_usage, hosts);
                if urgent || local_age >= USAGE_INTERVAL {
                    sent.local_usage_at = now;
                    self.send_usage(&local, &usage, &sent.local_usage).await;
                    sent.local_usage = usage;
                }
            }
            tokio::time::sleep(MIN_SHARE_INTERVAL).await;
        }
    }

    async fn send_loads(&self, peers: &[SocketAddr], loads: &[Load]) {
        if peers.is_empty() {
            return;
        }
        let loads = loads.iter().take(RECORDS_PER_DATAGRAM).cloned().collect();
        self.send(peers, Body::Loads(loads)).await;
    }

    /// Returns what this host admitted by workspace, and whether it should be sent at once, given
    /// what was sent last and the number of hosts.
    fn usage(&self, sent: &UsageByWorkspace, hosts: usize) -> (UsageByWorkspace, bool) {
        let allowance = self.allowance.lock().expect("no holder of the lock panics");
        let mut urgent = false;
        let usage = allowance.statuses(self.clock.now()).map(|(name, status)| {
            let before = sent.get(name).map_or(0, |sent| sent.total);
            let unsent = status.total.saturating_sub(before);
            urgent |= Limiter::is_urgent(unsent, &status, hosts);
            (name.clone(), status)
        });
        let usage = usage.collect();
        (usage, urgent)
    }

    /// Sends the usage of workspaces whose total differs from the one sent last.
    async fn send_usage(
        &self,
        peers: &[SocketAddr],
        usage: &UsageByWorkspace,
        sent: &UsageByWorkspace,
    ) {
        if peers.is_empty() {
            return;
        }
        let has_full_window = {
            let allowance = self.allowance.lock().expect("no holder of the lock panics");
            allowance.has_full_window(self.clock.now())
        };
        let differs = |(name, status): &(&id::Workspace, &Status)| {
            sent.get(*name).is_none_or(|sent| sent.total != status.total)
        };
        let changed: Vec<_> = usage
            .iter()
            .filter(differs)
            .map(|(name, status)| Usage {
                workspace: name.clone(),
                admitted: status.total,
                recent: u32::try_from(status.recent).unwrap_or(u32::MAX),
                level: has_full_window.then_some(status.level as f32),
            })
            .collect();
        for usages in changed.chunks(RECORDS_PER_DATAGRAM) {
            self.send(peers, Body::Usages(usages.to_vec())).await;
        }
    }
}

/// Admitted requests of this host by workspace.
type UsageByWorkspace = HashMap<id::Workspace, Status>;

/// What was sent last, and when.
#[derive(Debug, Default)]
struct LastSent {
    local_loads: BTreeMap<id::DataCentre, Vec<Load>>,
    local_loads_at: Moment,
    remote_loads: BTreeMap<id::DataCentre, Vec<Load>>,
    remote_loads_at: Moment,
    local_usage: UsageByWorkspace,
    local_usage_at: Moment,
    remote_usage: UsageByWorkspace,
    remote_usage_at: Moment,
}
