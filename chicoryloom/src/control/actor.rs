//! The actor that owns the control state.

use std::collections::HashMap;
use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use chicoryloom_policy::Moment;
use chicoryloom_policy::freshness::Quorum;
use chicoryloom_policy::freshness::Tracker;
use chicoryloom_policy::id;
use chicoryloom_wire::frame::Body;
use chicoryloom_wire::generated::frame::Heartbeat;
use chicoryloom_wire::generated::frame::Page;
use chicoryloom_wire::generated::frame::Pull;
use chicoryloom_wire::platform::Changes;
use chicoryloom_wire::platform::Host;
use chicoryloom_wire::platform::Kind;
use xtra::prelude::*;

use super::Published;
use super::accept::Acceptor;
use super::objects::Objects;
use super::peers::Peers;
use super::report::FleetState;
use super::report::HostState;
use super::roster::NAME;
use super::view::View;
use super::watch::WatchMode;
use crate::clock::Clock;
use crate::peer;
use crate::peer::Puller;
use crate::store::Store;

/// Maximum number of revisions whose arrival is recorded; the oldest are dropped.
const MAX_HELD_REVISIONS: usize = 64;

/// Settings and collaborators of the control actor.
#[derive(Clone, Debug)]
pub(crate) struct Setup {
    pub(crate) name: id::Host,
    pub(crate) window: Duration,
    pub(crate) heartbeat: Duration,
    pub(crate) clock: Arc<dyn Clock>,
    pub(crate) published: Arc<Published>,
    pub(crate) store: Arc<dyn Store>,
    pub(crate) sender: peer::Sender,
    pub(crate) puller: Puller,
}

/// Actor that owns the control state.
#[derive(xtra::Actor)]
pub(crate) struct Control {
    pub(super) setup: Setup,
    pub(super) objects: Objects,
    pub(super) view: View,
    pub(super) tracker: Tracker,
    pub(super) peers: Peers,
    /// The roster's hosts other than this one.
    pub(super) others: Vec<id::Host>,
    /// Whether this incarnation was ever fresh, and so has confirmed its state.
    pub(super) confirmed: bool,
    /// Whether objects are being pulled from a peer.
    pub(super) pulling: bool,
    /// The platform's list of hosts.
    pub(super) listed: Option<HashMap<id::Host, Host>>,
    pub(super) acceptor: Acceptor,
    /// Revisions with the moment since which this host holds them, both ascending.
    held: VecDeque<(id::Revision, Moment)>,
    /// Latest moment at which the platform confirmed this host's state.
    pub(super) platform_confirmed: Option<Moment>,
    /// Revision of the platform while its state is older than the fleet's.
    pub(super) reverted: Option<id::Revision>,
    /// Consecutive answers of the platform that are older than the fleet's state.
    pub(super) stale_answers: u32,
    /// Latest known version of the status object at the platform.
    pub(super) platform_status: id::Revision,
    /// When this host first received a roster.
    pub(super) joined: Option<Moment>,
}

impl Control {
    pub(crate) fn new(setup: Setup) -> Self {
        Self {
            tracker: Tracker::new(setup.window),
            setup,
            objects: Objects::default(),
            view: View::default(),
            peers: Peers::default(),
            others: Vec::new(),
            confirmed: false,
            pulling: false,
            listed: None,
            acceptor: Acceptor::default(),
            held: VecDeque::new(),
            platform_confirmed: None,
            reverted: None,
            stale_answers: 0,
            platform_status: id::Revision::default(),
            joined: None,
        }
    }

    pub(super) fn now(&self) -> Moment {
        self.setup.clock.now()
    }

    pub(super) fn quorum(&self) -> Quorum<'_> {
        let member = self.view.roster.hosts.contains_key(&self.setup.name);
        Quorum { others: &self.others, member }
    }

    /// Returns the moment since which this host holds a revision, if it does.
    pub(super) fn held_since(&self, revision: id::Revision) -> Option<Moment> {
        let first = self.held.iter().find(|(held, _)| *held >= revision);
        first.map(|(_, since)| *since)
    }

    /// Returns whether the platform confirmed this host's state within the window.
    pub(super) fn reaches_platform(&self, now: Moment) -> bool {
        let recent = |moment: Moment| now < moment.after(self.setup.window);
        self.reverted.is_none() && self.platform_confirmed.is_some_and(recent)
    }

    /// Returns the version of the status object that this host holds.
    pub(super) fn status_held(&self) -> id::Revision {
        let status = self.objects.get(Kind::Status, NAME);
        status.map(|object| object.version).unwrap_or_default()
    }

    /// Drops all objects; used only while this host has never been fresh.
    fn reset_objects(&mut self) {
        self.objects = Objects::default();
        self.view = View { hosts: self.view.hosts.clone(), ..View::default() };
        self.held.clear();
    }

    /// Applies changes and publishes the resulting view; returns whether the revision grew.
    pub(super) fn apply(&mut self, changes: Changes) -> bool {
        let before = self.objects.revision();
        let roster = self.view.roster.version;
        let changed = self.objects.apply(changes, &mut self.view);
        if self.view.roster.version != roster {
            self.update_members();
        }
        if changed {
            self.publish_hosts();
        }
        let grew = self.objects.revision() > before;
        if grew {
            self.record_held();
            // The published view must carry the new revision even if no object changed.
            self.setup.published.set_view(self.view.clone());
        }
        grew
    }

    fn record_held(&mut self) {
        let now = self.now();
        self.held.push_back((self.objects.revision(), now));
        if self.held.len() > MAX_HELD_REVISIONS {
            self.held.pop_front();
        }
    }

    fn update_members(&mut self) {
        let hosts = &self.view.roster.hosts;
        self.others = hosts.keys().filter(|host| **host != self.setup.name).cloned().collect();
        self.tracker.retain(|host| hosts.contains_key(host));
        self.peers.retain(|host| hosts.contains_key(host));
        let now = self.now();
        self.joined.get_or_insert(now);
    }

    /// Applies what hosts report of themselves to the roster's hosts, recomputes the home hosts
    /// and publishes the view.
    pub(super) fn publish_hosts(&mut self) {
        let mut hosts = self.view.roster.hosts.clone();
        for host in hosts.values_mut() {
            self.peers.apply_reported(host);
            if host.name == self.setup.name {
                host.leaving |= self.setup.published.is_leaving();
            }
        }
        self.view.hosts = Arc::new(hosts);
        self.view.place();
        self.setup.published.set_view(self.view.clone());
    }

    pub(super) fn publish_freshness(&mut self) {
        let until = self.tracker.fresh_until(self.quorum(), self.objects.revision());
        if let Some(until) = until {
            self.confirmed |= self.now() < until;
            self.setup.published.set_fresh_until(until);
        }
    }

    fn publish_fleet_state(&self, now: Moment) {
        let own = &self.setup.name;
        let known = |name: &id::Host| {
            let (revision, serving) = self.peers.reported_state(name);
            (
                name.clone(),
                HostState { revision, serving, reachable: self.tracker.is_reachable(name, now) },
            )
        };
        let mut hosts: HashMap<_, _> = self.others.iter().map(known).collect();
        let revision = self.objects.revision();
        let serving = self.setup.published.is_serving(now);
        hosts.insert(own.clone(), HostState { revision, serving, reachable: true });
        let (platform_confirmed, reverted) = (self.platform_confirmed, self.reverted);
        self.setup.published.set_fleet_state(FleetState { hosts, platform_confirmed, reverted });
    }

    /// Returns how this host should watch the platform.
    fn watch_mode(&self, now: Moment) -> WatchMode {
        let roster = &self.view.roster;
        let others_watch = roster.hosts.contains_key(&self.setup.name)
            && !roster.watchers.contains(&self.setup.name);
        if !others_watch {
            return WatchMode::Watch;
        }
        if self.peers.is_vouched_for(now, self.setup.window) {
            return WatchMode::Standby;
        }
        if self.tracker.reaches_majority(self.quorum(), now) {
            WatchMode::Probe
        } else {
            WatchMode::Watch
        }
    }

    pub(super) fn heartbeat(&self, peer: &id::Host, now: Moment) -> Heartbeat {
        let (echo, vouched) = self.peers.echo(peer);
        let micros = now.since_start().as_micros();
        Heartbeat {
            challenge: u64::try_from(micros).unwrap_or(u64::MAX),
            echo,
            vouched: if self.reaches_platform(now) { vouched } else { 0 },
            revision: self.objects.revision().0,
            status: self.status_held().0,
            confirmed: self.confirmed,
            leaving: self.setup.published.is_leaving(),
            serving: self.setup.published.is_serving(now),
            caller: self.own_caller_address(now),
        }
    }

    /// Returns this host's address for callers if the roster has a different one, else an empty
    /// string.
    ///
    /// It is empty while the platform is reachable, since the roster then follows the platform's
    /// list.
    fn own_caller_address(&self, now: Moment) -> String {
        let own = self.setup.published.caller().filter(|own| !own.ip().is_unspecified());
        let listed = self.view.roster.hosts.get(&self.setup.name).map(|host| host.caller);
        match own {
            Some(own) if Some(own) != listed && !self.reaches_platform(now) => own.to_string(),
            _ => String::new(),
        }
    }

    /// Sends a heartbeat to every other host.
    pub(super) async fn send_heartbeats(&self) {
        let now = self.now();
        for peer in &self.others {
            let Some(host) = self.view.roster.hosts.get(peer) else {
                continue;
            };
            let heartbeat = self.heartbeat(peer, now);
            self.setup.sender.send(host.peer, Body::Heartbeat(heartbeat.clone())).await;
            // The address of a host may have changed while the platform is unreachable; its last
            // source address then still reaches it.
            let unreachable = !self.tracker.is_reachable(peer, now);
            let source = self.peers.source(peer, now, self.setup.window);
            if let Some(source) = source.filter(|source| unreachable && *source != host.peer) {
                self.setup.sender.send(source, Body::Heartbeat(heartbeat)).await;
            }
        }
    }
}

/// Changes pulled from a peer.
#[derive(Debug)]
pub(crate) struct Pulled {
    pub(crate) changes: Changes,
    /// Whether this is the first page of a full copy.
    pub(crate) first: bool,
    /// Whether the pull has ended.
    pub(crate) last: bool,
}

impl Handler<Pulled> for Control {
    type Return = ();

    async fn handle(&mut self, pulled: Pulled, _: &mut Context<Self>) {
        self.pulling &= !pulled.last;
        if pulled.first && !self.confirmed {
            // Objects that came from the platform earlier may belong to a history that was lost.
            self.reset_objects();
        }
        self.apply(pulled.changes);
        self.publish_freshness();
    }
}

/// A peer's request for a page of objects.
#[derive(Debug)]
pub(crate) struct PageRequest(pub(crate) Pull);

impl Handler<PageRequest> for Control {
    type Return = Page;

    async fn handle(&mut self, PageRequest(pull): PageRequest, _: &mut Context<Self>) -> Page {
        self.objects.page(pull.nonce, id::Revision(pull.since))
    }
}

/// Triggers the next round of heartbeats.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Tick;

impl Handler<Tick> for Control {
    type Return = ();

    async fn handle(&mut self, _: Tick, _: &mut Context<Self>) {
        let now = self.now();
        let own = self.view.hosts.get(&self.setup.name);
        if own.is_some_and(|own| !own.leaving) && self.setup.published.is_leaving() {
            self.publish_hosts();
        }
        self.send_heartbeats().await;
        self.publish_freshness();
        self.publish_fleet_state(now);
        self.setup.published.set_watch_mode(self.watch_mode(now));
        self.write_roster();
        self.write_accepted();
    }
}
