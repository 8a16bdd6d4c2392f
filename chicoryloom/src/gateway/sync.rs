//! Keeps the mirror up to date: from the platform, or from a host that watches the platform.
//!
//! In each data centre one host watches and the others follow it. The order in which hosts take
//! over is the same everywhere. A host follows the first watcher before it in that order whose
//! copy is fresh, and watches the platform itself if there is none. A relay answers at each
//! confirmation of its copy, so that copies are about equally old along a chain of followers. One
//! silent watcher costs the time until its copy counts as old, and the platform gets a few calls
//! a second.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use chicoryloom_policy::Moment;
use chicoryloom_policy::entry;
use chicoryloom_policy::id;
use chicoryloom_policy::replica::Kind;
use rand::Rng;
use serde_json::json;
use tokio::sync::watch;

use super::events::Events;
use super::fleet::Fleet;
use super::mirror::MAX_FRESH_AGE;
use super::mirror::Mirror;
use super::mirror::Source;
use super::port;
use super::port::Store;
use super::relay::Follower;
use crate::clock::Clock;

/// Purpose under which the hosts of a data centre are ordered.
const PURPOSE: &str = "watch";
/// Wait of one watch at the platform. Its end confirms the copy, so that it is below [`MAX_FRESH_AGE`].
const WATCH_WAIT: Duration = Duration::from_millis(1000);
/// Pause after an answer with changes, so that the changes of a moment come in one answer. It adds
/// to the age at which a change becomes known, and is taken off the next wait.
const GATHER: Duration = Duration::from_millis(200);
/// Wait of a follower at its relay, which answers sooner when its copy is confirmed.
const FOLLOW_WAIT: Duration = Duration::from_millis(1100);
/// Shortest wait of a follower at its relay.
const LEAST_WAIT: Duration = Duration::from_millis(50);
/// Time beyond its wait after which a relay counts as lost.
const FOLLOW_SLACK: Duration = Duration::from_millis(200);
/// Time for which a relay that failed is passed over.
const AVOID: Duration = Duration::from_millis(400);
/// Hosts of a data centre that watch at once while the platform does not answer them.
const WATCHERS: usize = 2;
/// Additional age of the copy at which each further host starts to watch, and for how many of
/// them it grows.
const TURN: Duration = Duration::from_millis(100);
const TURNS: usize = 6;
/// Shortest and longest pause after a failed call.
const PAUSE: (Duration, Duration) = (Duration::from_millis(100), Duration::from_millis(800));
/// Time after the start in which other hosts are looked for before the platform is asked.
const LOOK_AROUND: Duration = Duration::from_millis(300);
/// How often the choice of a source is looked at.
const CHECK: Duration = Duration::from_millis(50);
/// Time without the platform after which it counts as having been away.
const AWAY: Duration = Duration::from_millis(1500);

/// A host that this one could follow.
#[derive(Clone, Debug)]
pub(super) struct Relay {
    pub(super) host: id::Host,
    pub(super) peer: SocketAddr,
    /// Requests a second that it can carry.
    pub(super) capacity: f32,
    /// Whether it watches the platform and its copy is fresh.
    pub(super) watches: bool,
}

/// Keeps a mirror up to date.
#[derive(Clone, Debug)]
pub(super) struct Replicator {
    pub(super) mirror: Arc<Mirror>,
    pub(super) store: Arc<dyn Store>,
    pub(super) fleet: Arc<Fleet>,
    pub(super) clock: Arc<dyn Clock>,
    pub(super) events: Events,
}

impl Replicator {
    /// Runs until the task is aborted.
    pub(super) async fn run(self) {
        let (direct, duty) = watch::channel(false);
        for kind in Kind::ALL {
            tokio::spawn(self.clone().watch(kind, duty.clone()));
        }
        let started = self.clock.now();
        let mut avoided: HashMap<id::Host, Moment> = HashMap::new();
        let mut follower: Option<Follower> = None;
        loop {
            self.mirror.expire();
            let now = self.clock.now();
            avoided.retain(|_, until| now < *until);
            let (before, rank, is_alone) = self.order(now);
            let is_usable = |relay: &&Relay| !avoided.contains_key(&relay.host);
            let watchers = before.iter().filter(|relay| relay.watches).find(is_usable);
            let first = before.iter().take(WATCHERS).find(is_usable);
            let Some(relay) = watchers.or(first) else {
                let looks = is_alone && now.since(started) < LOOK_AROUND;
                let turns = rank.saturating_sub(WATCHERS).min(TURNS);
                let patience = MAX_FRESH_AGE + TURN * u32::try_from(turns).unwrap_or_default();
                let age = self.mirror.age().min(now.since(started));
                self.set_direct(&direct, !looks && (rank < WATCHERS || age >= patience));
                tokio::time::sleep(CHECK).await;
                continue;
            };
            // The relay's silence must show before the copy is old.
            let wait =
                MAX_FRESH_AGE.saturating_sub(self.mirror.age()).clamp(LEAST_WAIT, FOLLOW_WAIT);
            if self.follow(&mut follower, relay.peer, wait).await {
                self.set_direct(&direct, false);
            } else {
                follower = None;
                avoided.insert(relay.host.clone(), self.clock.now().after(AVOID));
            }
        }
    }

    fn set_direct(&self, direct: &watch::Sender<bool>, wanted: bool) {
        let changed = direct.send_if_modified(|present| {
            let differs = *present != wanted;
            *present = wanted;
            differs
        });
        self.fleet.set_watches(wanted);
        if changed {
            let source = if wanted { "platform" } else { "peer" };
            let age = self.mirror.age().as_millis().min(u128::from(u32::MAX)) as u64;
            self.events.emit("source", json!({ "source": source, "age_ms": age }));
        }
    }

    /// Returns the hosts that come before this one, this one's rank, and whether no other host of
    /// the data centre is known.
    fn order(&self, now: Moment) -> (Vec<Relay>, usize, bool) {
        let mut near = self.fleet.relays(now);
        let is_alone = near.is_empty();
        let me = self.fleet.name();
        let own = (me, self.fleet.capacity());
        let hosts = near.iter().map(|relay| (&relay.host, relay.capacity)).chain([own]);
        let order: Vec<_> = entry::failover_order(PURPOSE, hosts).into_iter().cloned().collect();
        let place = |host: &id::Host| order.iter().position(|name| name == host);
        let rank = place(me).unwrap_or_default();
        near.retain(|relay| place(&relay.host) < Some(rank));
        near.sort_by_key(|relay| place(&relay.host));
        (near, rank, is_alone)
    }

    /// Asks a relay once; tells whether its copy is fresh.
    async fn follow(
        &self,
        follower: &mut Option<Follower>,
        relay: SocketAddr,
        wait: Duration,
    ) -> bool {
        if follower.as_ref().is_none_or(|follower| follower.relay != relay) {
            let connected = tokio::time::timeout(FOLLOW_SLACK, Follower::connect(relay)).await;
            *follower = connected.ok().and_then(Result::ok);
        }
        let Some(connected) = follower else {
            return false;
        };
        // Changes of a relay add up only to what came from it alone.
        if !self.mirror.is_from(Source::Host(relay)) {
            connected.acknowledge(0);
        }
        let asked = self.clock.now();
        let polled = connected.poll(self.mirror.reached(), wait);
        let polled = tokio::time::timeout(wait + FOLLOW_SLACK, polled);
        let Ok(Ok(told)) = polled.await else {
            return false;
        };
        // The relay's age is as of its answer, which left after the call did.
        let lag = self.clock.now().since(asked).saturating_sub(wait);
        let age = Duration::from_millis(told.age_ms).saturating_add(lag);
        let mut accepted = true;
        for update in told.updates {
            accepted &= self.mirror.apply(update, age, Source::Host(relay));
        }
        connected.acknowledge(if accepted { told.latest } else { 0 });
        age < MAX_FRESH_AGE
    }

    /// Makes up for a gap of this host's copy: from another host that had none, or else by
    /// keeping what lapsed with the platform. Tells whether another host's copy was taken.
    async fn catch_up(&self) -> bool {
        let (is_in_touch, fresh) = self.fleet.reachability();
        self.events.emit("gap", json!({ "hosts_heard": is_in_touch, "fresh_hosts": fresh }));
        for peer in fresh {
            let mut follower = None;
            if self.follow(&mut follower, peer, Duration::ZERO).await {
                return true;
            }
        }
        // A host that starts has missed nothing: what is not listed was never there for it.
        let is_first = self.mirror.age() == Duration::MAX;
        if is_in_touch && !is_first {
            self.mirror.platform_returned();
        }
        false
    }

    /// Watches one kind of objects while this is the host's duty.
    async fn watch(self, kind: Kind, mut duty: watch::Receiver<bool>) {
        let mut pause = PAUSE.0;
        let mut is_listed = false;
        let mut is_lost = false;
        let mut gather = Duration::ZERO;
        loop {
            if !*duty.borrow_and_update() {
                is_listed = self.mirror.revision(kind) > 0;
                if duty.changed().await.is_err() {
                    return;
                }
                continue;
            }
            let after = self.mirror.revision(kind);
            let called = if is_listed && after > 0 {
                tokio::time::sleep(gather).await;
                self.store.watch(kind, after, WATCH_WAIT - gather).await
            } else {
                self.store.list(kind).await
            };
            match called {
                Ok(update) => {
                    gather = if update.records.is_empty() { Duration::ZERO } else { GATHER };
                    if is_lost {
                        is_lost = false;
                        self.events.emit("store_regained", json!({ "kind": format!("{kind:?}") }));
                    }
                    is_listed = true;
                    if self.mirror.age() > AWAY && !self.catch_up().await {
                        // What lapsed meanwhile is missing in a listing, too.
                        is_listed = update.whole;
                    }
                    pause = PAUSE.0;
                    self.mirror.apply(update, Duration::ZERO, Source::Platform);
                }
                Err(port::Error::Compacted) => is_listed = false,
                Err(error) => {
                    if !is_lost {
                        is_lost = true;
                        let error = error.to_string();
                        let fields = json!({ "kind": format!("{kind:?}"), "error": error });
                        self.events.emit("store_lost", fields);
                    }
                    let jitter = rand::rng().random_range(0.7..1.3);
                    tokio::time::sleep(pause.mul_f64(jitter)).await;
                    pause = (pause * 2).min(PAUSE.1);
                }
            }
        }
    }
}
