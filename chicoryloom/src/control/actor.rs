//! The actor that owns the control state.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use chicoryloom_policy::Moment;
use chicoryloom_policy::freshness::Answer;
use chicoryloom_policy::freshness::Tracker;
use chicoryloom_policy::id;
use chicoryloom_wire::frame::Body;
use chicoryloom_wire::frame::Frame;
use chicoryloom_wire::generated::frame::Heartbeat;
use chicoryloom_wire::platform::Changes;
use chicoryloom_wire::platform::Host;
use xtra::prelude::*;

use super::Published;
use super::objects::Objects;
use super::view::View;
use crate::clock::Clock;
use crate::peer;

/// Owner of the control state.
#[derive(xtra::Actor)]
pub(crate) struct Control {
    name: id::Host,
    clock: Arc<dyn Clock>,
    published: Arc<Published>,
    sender: peer::Sender,
    objects: Objects,
    view: View,
    tracker: Tracker,
    /// Latest challenge of each peer, to be echoed, in microseconds of the peer's clock.
    challenges: HashMap<id::Host, u64>,
    /// Whether this incarnation has confirmed its state.
    confirmed: bool,
}

impl Control {
    pub(crate) fn new(
        name: id::Host,
        window: Duration,
        clock: Arc<dyn Clock>,
        published: Arc<Published>,
        sender: peer::Sender,
    ) -> Self {
        Self {
            name,
            clock,
            published,
            sender,
            objects: Objects::default(),
            view: View::default(),
            tracker: Tracker::new(window),
            challenges: HashMap::new(),
            confirmed: false,
        }
    }

    fn others(&self) -> Vec<id::Host> {
        self.view.hosts.keys().filter(|host| **host != self.name).cloned().collect()
    }

    fn publish_view(&self) {
        self.published.set_view(self.view.clone());
    }

    fn publish_freshness(&mut self) {
        let until = self.tracker.fresh_until(&self.others(), self.objects.revision());
        if let Some(until) = until {
            self.confirmed |= self.clock.now() < until;
            self.published.set_fresh_until(until);
        }
    }

    fn hear_heartbeat(&mut self, frame: &Frame, heartbeat: &Heartbeat) {
        self.challenges.insert(frame.sender.clone(), heartbeat.challenge);
        if heartbeat.echo == 0 {
            return;
        }
        let answer = Answer {
            incarnation: frame.incarnation,
            challenged: Moment::from_start(Duration::from_micros(heartbeat.echo)),
            revision: id::Revision(heartbeat.revision),
            confirmed: heartbeat.confirmed,
        };
        self.tracker.hear(frame.sender.clone(), answer);
        self.publish_freshness();
    }

    fn heartbeat(&self, peer: &id::Host) -> Heartbeat {
        let now = self.clock.now().since_start().as_micros();
        Heartbeat {
            challenge: u64::try_from(now).unwrap_or(u64::MAX),
            echo: self.challenges.get(peer).copied().unwrap_or_default(),
            revision: self.objects.revision().0,
            confirmed: self.confirmed,
            leaving: self.published.is_leaving(),
        }
    }
}

/// Changes that the platform gave out.
#[derive(Debug)]
pub(crate) struct Learned {
    pub(crate) changes: Changes,
    /// When the platform was asked.
    pub(crate) asked: Moment,
}

impl Handler<Learned> for Control {
    type Return = id::Revision;

    async fn handle(&mut self, learned: Learned, _: &mut Context<Self>) -> id::Revision {
        let complete = learned.changes.revision >= self.objects.revision();
        if self.objects.apply(learned.changes, &mut self.view) {
            self.view.place();
            self.publish_view();
        }
        if complete {
            self.tracker.confirm(learned.asked);
        } else {
            log::warn!("control: the platform shows an older state than this host holds");
        }
        self.publish_freshness();
        self.objects.revision()
    }
}

/// The platform's list of hosts.
#[derive(Debug)]
pub(crate) struct Listed(pub(crate) Vec<Host>);

impl Handler<Listed> for Control {
    type Return = ();

    async fn handle(&mut self, listed: Listed, _: &mut Context<Self>) {
        let hosts: HashMap<_, _> =
            listed.0.into_iter().map(|host| (host.name.clone(), host)).collect();
        if hosts == *self.view.hosts {
            return;
        }
        self.view.hosts = Arc::new(hosts);
        self.view.place();
        self.publish_view();
    }
}

/// A frame from a peer.
#[derive(Debug)]
pub(crate) struct Heard(pub(crate) Frame);

impl Handler<Heard> for Control {
    type Return = ();

    async fn handle(&mut self, Heard(frame): Heard, _: &mut Context<Self>) {
        match &frame.body {
            Body::Heartbeat(heartbeat) => self.hear_heartbeat(&frame, heartbeat),
            Body::Evidence(_) | Body::Ask(_) | Body::Gift(_) => {}
        }
    }
}

/// Time for the next heartbeat.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Tick;

impl Handler<Tick> for Control {
    type Return = ();

    async fn handle(&mut self, _: Tick, _: &mut Context<Self>) {
        for peer in self.others() {
            let Some(host) = self.view.hosts.get(&peer) else {
                continue;
            };
            self.sender.send(host.peer, Body::Heartbeat(self.heartbeat(&peer))).await;
        }
        self.publish_freshness();
    }
}
