//! Handles frames from peers.

use std::net::SocketAddr;
use std::time::Duration;

use chicoryloom_policy::Moment;
use chicoryloom_policy::freshness::Answer;
use chicoryloom_policy::id;
use chicoryloom_wire::frame::Body;
use chicoryloom_wire::frame::Frame;
use chicoryloom_wire::generated::frame::Heartbeat;
use xtra::prelude::*;

use super::Control;

/// A frame received from a peer.
#[derive(Debug)]
pub(crate) struct Received {
    pub(crate) frame: Frame,
    pub(crate) source: SocketAddr,
    /// Whether the frame is proven to come from the sender's current incarnation.
    pub(crate) proven: bool,
}

impl Handler<Received> for Control {
    type Return = ();

    async fn handle(&mut self, received: Received, context: &mut Context<Self>) {
        let frame = received.frame;
        if !self.view.roster.hosts.contains_key(&frame.sender) {
            return self.answer_non_member(&frame, received.source).await;
        }
        match &frame.body {
            Body::Heartbeat(heartbeat) if received.proven => {
                self.handle_heartbeat(&frame, heartbeat, received.source, context);
            }
            Body::Heartbeat(heartbeat) => {
                self.echo_challenge(&frame.sender, heartbeat.challenge, received.source).await;
            }
            Body::Evidence(_)
            | Body::Crash(_)
            | Body::Ask(_)
            | Body::Gift(_)
            | Body::Pull(_)
            | Body::Page(_) => {}
        }
    }
}

impl Control {
    /// Answers a host that is not in the roster, so that it can become fresh while it joins.
    async fn answer_non_member(&self, frame: &Frame, source: SocketAddr) {
        if let Body::Heartbeat(heartbeat) = &frame.body {
            self.echo_challenge(&frame.sender, heartbeat.challenge, source).await;
        }
    }

    /// Echoes a challenge immediately to the address that it came from.
    async fn echo_challenge(&self, peer: &id::Host, echo: u64, source: SocketAddr) {
        let heartbeat = Heartbeat { echo, vouched: 0, ..self.heartbeat(peer, self.now()) };
        self.setup.sender.send(source, Body::Heartbeat(heartbeat)).await;
    }

    fn handle_heartbeat(
        &mut self,
        frame: &Frame,
        heartbeat: &Heartbeat,
        source: SocketAddr,
        context: &mut Context<Self>,
    ) {
        let now = self.now();
        let changed = self.peers.record_heartbeat(&frame.sender, source, heartbeat, now);
        let revision = id::Revision(heartbeat.revision);
        // A platform that lost changes and then accepted new ones may reach the same revisions
        // again with other content. Nobody can write the status of such a platform, so
        // the status versions tell the histories apart where revisions can't: the peer with the
        // later status has the longer history.
        let same_history = id::Revision(heartbeat.status) <= self.status_held();
        if heartbeat.echo > 0 {
            let answer = Answer {
                incarnation: frame.incarnation,
                challenged: moment(heartbeat.echo),
                received: now,
                revision,
                confirmed: heartbeat.confirmed && same_history,
            };
            self.tracker.record(frame.sender.clone(), answer);
        }
        let covered = revision <= self.objects.revision() && same_history;
        if heartbeat.vouched > 0 && covered {
            self.tracker.confirm(moment(heartbeat.vouched));
        }
        if changed {
            self.publish_hosts();
        }
        self.publish_freshness();
        if !covered {
            self.pull(&frame.sender, revision, context);
        }
    }

    /// Starts to pull the changes that a peer holds and this host lacks, unless a pull is running.
    fn pull(&mut self, peer: &id::Host, revision: id::Revision, context: &mut Context<Self>) {
        let Some(host) = self.view.roster.hosts.get(peer).filter(|_| !self.pulling) else {
            return;
        };
        let Some(control) = context.mailbox().address().try_upgrade() else {
            return;
        };
        self.pulling = true;
        let puller = self.setup.puller.clone();
        let held = self.objects.revision();
        // If the histories differ, objects of any version may be wrong, so all are pulled.
        let since = if revision > held { held } else { id::Revision::default() };
        let address = host.peer;
        tokio::spawn(async move { puller.pull(address, since, &control).await });
    }
}

/// Converts an echoed challenge back to the moment of this host's clock.
pub(crate) fn moment(micros: u64) -> Moment {
    Moment::from_start(Duration::from_micros(micros))
}
