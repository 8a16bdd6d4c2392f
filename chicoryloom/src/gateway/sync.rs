//! Keeps the mirror up to date, from the platform or from another host that watches the platform.
//!
//! In each data centre one host watches and the others follow it; [`takeover`] decides which. A relay
//! responds whenever its copy is confirmed, so that copies are about equally old along a chain of
//! followers, and the platform gets a few calls a second.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

use chicoryloom_policy::Moment;
use chicoryloom_policy::entry;
use chicoryloom_policy::id;
use chicoryloom_policy::outage;
use chicoryloom_policy::outage::Outage;
use chicoryloom_policy::replica::Kind;
use chicoryloom_policy::takeover;
use chicoryloom_policy::takeover::Candidate;
use chicoryloom_policy::takeover::MAX_FRESH_AGE;
use chicoryloom_policy::takeover::Standing;
use futures::StreamExt;
use futures::stream::FuturesUnordered;
use serde_json::json;
use tokio::sync::watch;
use tokio::time::Instant;

use super::events::Events;
use super::fleet::Fleet;
use super::members::Relay;
use super::message::Fault;
use super::mirror::Mirror;
use super::mirror::Source;
use super::port::Store;
use super::pulse::Monitor;
use super::relay;
use super::relay::Follower;
use super::relay::RESPONSE_SLACK;
use super::relay::Remarks;
use super::watch::Watcher;
use crate::clock::Clock;

/// Purpose that keys the order in which the hosts of a data centre watch the platform.
const PURPOSE: &str = "watch";
/// Longest time that a follower lets its relay hold a response; the relay responds sooner when its
/// copy is confirmed.
const FOLLOW_WAIT: Duration = Duration::from_millis(1100);
/// Shortest time that a follower lets its relay hold a response.
const MIN_FOLLOW_WAIT: Duration = Duration::from_millis(50);
/// Time before the end of freshness at which a relay responds.
const FOLLOW_MARGIN: Duration = Duration::from_millis(100);
/// Time for which a relay that failed or whose copy is not fresh is not followed.
const RELAY_BACKOFF: Duration = Duration::from_millis(400);
/// Time after its start in which a host that knows no other one waits for others before it calls
/// the platform. Hosts that start together find each other within this time; if each of them listed
/// all objects instead, the calls would grow with the fleet.
const DISCOVERY_TIME: Duration = Duration::from_millis(600);
/// Time after a stop in which the platform usually answers, and interval at which other hosts are asked
/// if it doesn't.
const ASK_OTHERS_INTERVAL: Duration = Duration::from_millis(250);
/// Interval at which a host that follows no other one chooses its source anew.
const SOURCE_CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Whether this host watches the platform: for the kinds that all builds relay, and for evacuations.
#[derive(Debug)]
struct Sources {
    common: watch::Sender<bool>,
    evacuations: watch::Sender<bool>,
}

impl Default for Sources {
    fn default() -> Self {
        Self { common: watch::Sender::new(false), evacuations: watch::Sender::new(false) }
    }
}

/// Outcome of polling a relay.
#[derive(Clone, Copy, Debug, Default)]
struct Followed {
    /// Age of the relay's copy; `None` if it did not respond.
    age: Option<Duration>,
    /// Whether the relay said nothing of evacuations, although they were asked for.
    has_no_evacuations: bool,
}

impl Followed {
    /// Returns whether the relay's copy is fresh.
    fn is_fresh(&self) -> bool {
        self.age.is_some_and(|age| age < MAX_FRESH_AGE)
    }
}

/// Replicates the platform's objects into the mirror.
#[derive(Clone, Debug)]
pub(super) struct Replicator {
    pub(super) mirror: Arc<Mirror>,
    pub(super) store: Arc<dyn Store>,
    pub(super) fleet: Arc<Fleet>,
    pub(super) clock: Arc<dyn Clock>,
    pub(super) events: Events,
    pub(super) pulse: Arc<Monitor>,
    /// Whether the latest call to the platform failed.
    pub(super) is_failing: Arc<AtomicBool>,
}

impl Replicator {
    /// Runs until the task is aborted.
    pub(super) async fn run(self) {
        tokio::spawn(self.pulse.clone().run());
        let sources = Arc::new(Sources::default());
        for kind in self.mirror.kinds() {
            let should_watch = match kind {
                Kind::Evacuation => &sources.evacuations,
                Kind::Catalog | Kind::Target => &sources.common,
            };
            let watcher = Watcher::new(self.clone(), *kind);
            tokio::spawn(watcher.run(should_watch.subscribe()));
        }
        tokio::spawn(self.clone().watch_after_stops(sources.clone()));
        let started = self.clock.now();
        let mut avoided: HashMap<id::Host, Moment> = HashMap::new();
        let mut follower: Option<Follower> = None;
        let mut source: Option<id::Host> = None;
        loop {
            self.mirror.expire();
            let now = self.clock.now();
            avoided.retain(|_, until| now < *until);
            let (others, place) = self.order(now);
            let is_watching = *sources.common.borrow();
            let is_failing = is_watching && self.is_failing.load(Ordering::Relaxed);
            self.fleet.set_watches(is_watching && !is_failing);
            let age = self.mirror.age().min(now.since(started));
            let has_copy = self.has_copy();
            let standing = Standing { place, age, has_copy, is_watching, is_failing };
            let candidate = |relay: &Relay| Candidate {
                watches: relay.watches,
                is_usable: !avoided.contains_key(&relay.host),
            };
            let candidates: Vec<_> = others.iter().map(candidate).collect();
            let Some(takeover::Relay { index, replaces_watch }) = standing.relay(&candidates)
            else {
                let is_discovering = others.is_empty() && now.since(started) < DISCOVERY_TIME;
                let wanted = !is_discovering && standing.watches();
                if self.set_watching(&sources, wanted, wanted) {
                    source = None;
                    self.emit_source(None, None);
                }
                tokio::time::sleep(SOURCE_CHECK_INTERVAL).await;
                continue;
            };
            let relay = &others[index];
            // A relay responds before the copy is no longer fresh, unless it is silent.
            let wait = MAX_FRESH_AGE
                .saturating_sub(self.mirror.age().saturating_add(FOLLOW_MARGIN))
                .clamp(MIN_FOLLOW_WAIT, FOLLOW_WAIT);
            let until_due = takeover::due_age(place).saturating_sub(age);
            let is_receiving = AtomicBool::new(false);
            let followed = tokio::select! {
                followed = self.follow(&mut follower, relay.peer, wait, &is_receiving) => followed,
                // A relay that does not respond must not delay the takeover.
                () = wait_until_due(until_due, &is_receiving), if !is_watching => {
                    self.set_watching(&sources, true, true);
                    source = None;
                    self.emit_source(None, None);
                    Followed::default()
                }
            };
            if !followed.is_fresh() {
                follower = None;
                avoided.insert(relay.host.clone(), self.clock.now().after(RELAY_BACKOFF));
                continue;
            }
            // Hosts of builds that know no evacuations relay none.
            let changed =
                replaces_watch && self.set_watching(&sources, false, followed.has_no_evacuations);
            if changed || source.as_ref() != Some(&relay.host) {
                source = Some(relay.host.clone());
                self.emit_source(Some(&relay.host), followed.age);
            }
        }
    }

    /// Sets whether this host watches the platform; returns whether that changed.
    fn set_watching(&self, sources: &Sources, wanted: bool, evacuations: bool) -> bool {
        let set = |source: &watch::Sender<bool>, wanted| {
            source.send_if_modified(|present| std::mem::replace(present, wanted) != wanted)
        };
        set(&sources.evacuations, evacuations);
        self.fleet.set_watches(wanted && !self.is_failing.load(Ordering::Relaxed));
        set(&sources.common, wanted)
    }

    /// Writes an event on where the copy comes from: a relay, or the platform.
    fn emit_source(&self, relay: Option<&id::Host>, relay_age: Option<Duration>) {
        let millis = |age: Duration| age.as_millis().min(u128::from(u32::MAX)) as u64;
        let fields = json!({
            "source": relay.map_or("platform", |_| "peer"), "relay": relay.map(id::Host::as_str),
            "relay_age_ms": relay_age.map(millis), "age_ms": millis(self.mirror.age()),
        });
        self.events.emit("source", fields);
    }

    /// Returns the other hosts of the data centre in the order, and this host's place in it.
    fn order(&self, now: Moment) -> (Vec<Relay>, usize) {
        let mut others = self.fleet.relays(now);
        let me = self.fleet.name();
        let own = (me, self.fleet.capacity());
        let hosts = others.iter().map(|relay| (&relay.host, relay.capacity)).chain([own]);
        let order: Vec<_> = entry::failover_order(PURPOSE, hosts).into_iter().cloned().collect();
        let place = |host: &id::Host| order.iter().position(|name| name == host);
        let own_place = place(me).unwrap_or_default();
        others.sort_by_key(|relay| place(&relay.host));
        (others, own_place)
    }

    /// Polls a relay once, and applies its updates. `is_receiving` is set while its response arrives.
    async fn follow(
        &self,
        follower: &mut Option<Follower>,
        relay: SocketAddr,
        wait: Duration,
        is_receiving: &AtomicBool,
    ) -> Followed {
        if follower.as_ref().is_none_or(|follower| follower.relay != relay) {
            let connected = tokio::time::timeout(RESPONSE_SLACK, Follower::connect(relay)).await;
            *follower = connected.ok().and_then(Result::ok);
        }
        let Some(connected) = follower else {
            return Followed::default();
        };
        // The relay's changes can be added only to a copy whose latest update came from it; any
        // other copy needs all objects.
        if !self.mirror.is_from(Source::Host(relay)) {
            connected.acknowledge(0);
        }
        let sent = self.clock.now();
        let wants_evacuations = self.mirror.kinds().contains(&Kind::Evacuation);
        let evacuations = wants_evacuations.then(|| self.mirror.position(Kind::Evacuation));
        let polled = connected.poll(self.mirror.reached(), evacuations, wait, is_receiving);
        let (response, remarks) = match polled.await {
            Ok(polled) => polled,
            Err(error) => {
                if relay::is_malformed(&error) {
                    self.fleet.unreadable().record(relay, None, Fault::Sync);
                }
                self.emit_relay_failed(connected, sent, &error.to_string());
                return Followed::default();
            }
        };
        let Remarks { evacuations, holding, is_omitted } = remarks;
        // The relay reports its age as of its response, which it sent after this request was sent;
        // time past the wait counts as transit.
        let lag = self.clock.now().since(sent).saturating_sub(wait);
        let lag = self.pulse.answer_age(sent, lag);
        let age = Duration::from_millis(response.age_ms).saturating_add(lag);
        if !self.takes(age) {
            connected.acknowledge(0);
            return Followed { age: Some(age), ..Followed::default() };
        }
        let mut accepted = true;
        for update in response.updates {
            accepted &= self.mirror.apply(update, age, Source::Host(relay));
        }
        connected.acknowledge(if accepted { response.latest } else { 0 });
        if let Some(holding) = holding {
            self.mirror.versions().announce(holding);
            self.mirror.confirm_newest(age);
            if is_omitted {
                self.mirror.versions().note_omitted(relay);
            }
        }
        let has_no_evacuations = wants_evacuations && evacuations.is_none();
        if let Some(update) = evacuations {
            self.mirror.apply(update, age, Source::Host(relay));
        }
        if accepted {
            // A relay that was stopped itself answers only once its copy counts again.
            let asked = self.mirror.kinds().iter();
            let answered = asked.filter(|kind| **kind != Kind::Evacuation || !has_no_evacuations);
            answered.for_each(|kind| self.mirror.vouch(*kind, sent));
        }
        Followed { age: Some(age), has_no_evacuations }
    }

    /// Returns whether this host has a copy of what it needs to serve.
    fn has_copy(&self) -> bool {
        Kind::COMMON.iter().all(|kind| !self.mirror.position(*kind).is_start())
    }

    /// Returns whether this host takes over what another one has whose copy is `age` old.
    pub(super) fn takes(&self, age: Duration) -> bool {
        takeover::takes(age, self.has_copy(), self.is_failing.load(Ordering::Relaxed))
    }

    /// Writes an event on a response of a relay that did not come whole.
    fn emit_relay_failed(&self, follower: &Follower, sent: Moment, reason: &str) {
        let (received, length) = follower.received();
        let waited = self.clock.now().since(sent);
        let fields = json!({
            "relay": follower.relay.to_string(), "reason": reason, "received": received,
            "length": length, "waited_ms": waited.as_millis() as u64,
        });
        self.events.emit("relay_failed", fields);
    }

    /// Watches the platform whenever the process goes on with an old copy after a stop, until the task is
    /// aborted: requests wait until the copy is confirmed.
    async fn watch_after_stops(self, sources: Arc<Sources>) {
        let mut resumed = self.pulse.subscribe();
        while wait_for_old_copy(&mut resumed, &self.mirror).await {
            self.set_watching(&sources, true, true);
            tokio::select! {
                () = self.ask_others() => {}
                _ = resumed.changed() => resumed.mark_changed(),
            }
        }
    }

    /// Asks other hosts what they know until this host may decide by its copy, if the platform doesn't
    /// answer at once.
    async fn ask_others(&self) {
        tokio::time::sleep(ASK_OTHERS_INTERVAL).await;
        while !self.mirror.is_reliable() {
            let hosts = self.fleet.neighbours();
            self.copy_from(&hosts).await;
            tokio::time::sleep(ASK_OTHERS_INTERVAL).await;
        }
    }

    /// Copies the objects from the first host that turns out to be fresh, and returns its address.
    async fn copy_from(&self, hosts: &[SocketAddr]) -> Option<SocketAddr> {
        let asked = hosts.iter().map(|host| async move {
            let mut follower = None;
            let is_receiving = AtomicBool::new(false);
            let followed = self.follow(&mut follower, *host, Duration::ZERO, &is_receiving).await;
            followed.is_fresh().then_some(*host)
        });
        let mut asked: FuturesUnordered<_> = asked.collect();
        while let Some(copied) = asked.next().await {
            if copied.is_some() {
                return copied;
            }
        }
        None
    }

    /// Repairs this host's copy after an outage of the platform or at the start: copies it from
    /// another host that has been in touch with the platform, or else starts the grace period for
    /// entries that lapsed in the outage. Returns whether another host's copy was used.
    pub(super) async fn catch_up(&self, has_failed: bool) -> bool {
        let (in_touch, fresh) = self.fleet.reachability();
        let copied_from = self.copy_from(&fresh).await;
        let others = outage::Others { in_touch, any_fresh: copied_from.is_some() };
        let has_grace = has_failed && Outage::may_have_lapsed(others);
        self.events.emit(
            "gap",
            json!({
                "hosts_heard": in_touch, "fresh_hosts": fresh, "copied_from": copied_from,
                "keeps_lapsed": has_grace,
            }),
        );
        if has_grace {
            self.mirror.platform_returned();
        }
        copied_from.is_some()
    }
}

/// Waits until the process goes on with an old copy after a stop; returns false if that is known never to
/// happen again.
pub(super) async fn wait_for_old_copy(
    resumed: &mut watch::Receiver<Option<Moment>>,
    mirror: &Mirror,
) -> bool {
    while resumed.changed().await.is_ok() {
        if mirror.age() >= MAX_FRESH_AGE {
            return true;
        }
    }
    false
}

/// Waits until this host is due to watch the platform; while a response of its relay arrives, it waits
/// longer, but not for good.
async fn wait_until_due(until_due: Duration, is_receiving: &AtomicBool) {
    tokio::time::sleep(until_due).await;
    let latest = Instant::now() + takeover::MAX_RECEIVING;
    while is_receiving.load(Ordering::Relaxed) && Instant::now() < latest {
        tokio::time::sleep(SOURCE_CHECK_INTERVAL).await;
    }
}

#[cfg(test)]
mod tests;
