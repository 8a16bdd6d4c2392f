//! What the platform gave out.

use chicoryloom_policy::Moment;
use chicoryloom_policy::id;
use chicoryloom_wire::platform::Changes;
use chicoryloom_wire::platform::Host;
use chicoryloom_wire::platform::Kind;
use xtra::prelude::*;

use super::Control;

/// Older answers in a row that show more than a change on its way.
const STALE_ANSWERS_TO_REVERT: u32 = 3;
/// Heartbeats that a new host waits for others before the platform alone confirms its state.
const HEARTBEATS_TO_JOIN: u32 = 2;

/// Changes that the platform gave out.
#[derive(Debug)]
pub(crate) struct Fetched {
    pub(crate) changes: Changes,
    /// When the platform was asked.
    pub(crate) asked: Moment,
}

impl Handler<Fetched> for Control {
    /// Whether the answer was usable.
    type Return = bool;

    async fn handle(&mut self, fetched: Fetched, _: &mut Context<Self>) -> bool {
        let Fetched { changes, asked } = fetched;
        if self.has_reverted(&changes) {
            self.stale_answers += 1;
            if self.stale_answers == STALE_ANSWERS_TO_REVERT {
                log::warn!("control: the platform shows an older state than the fleet holds");
            }
            self.reverted =
                (self.stale_answers >= STALE_ANSWERS_TO_REVERT).then_some(changes.revision);
            return false;
        }
        self.stale_answers = 0;
        self.reverted = None;
        let complete = !changes.more;
        let grew = self.apply(changes);
        if complete && self.may_trust_platform() {
            self.tracker.confirm(asked);
            self.platform_confirmed = self.platform_confirmed.max(Some(asked));
            self.peers.vouch(asked);
        }
        self.publish_freshness();
        if grew {
            self.send_heartbeats().await;
        }
        true
    }
}

impl Control {
    /// Tells whether the platform lacks what this host or any peer holds.
    ///
    /// A platform that went back and grew again shows it by its status, which the fleet writes
    /// only on top of the version that it holds.
    fn has_reverted(&mut self, changes: &Changes) -> bool {
        let statuses = changes.objects.iter().filter(|object| object.kind == Kind::Status);
        let shown = statuses.map(|object| object.version).max().unwrap_or_default();
        self.platform_status = self.platform_status.max(shown);
        let status = self.status_held().max(self.peers.max_status());
        let revision = self.objects.revision().max(self.peers.max_revision());
        // All up to the own revision is held, so another status there is another history.
        let held = self.platform_status <= self.objects.revision();
        let foreign = held && self.platform_status != self.status_held();
        let behind = changes.revision < revision && !changes.more;
        foreign || behind || self.platform_status < status
    }

    /// Tells whether the platform alone may confirm this host's state.
    ///
    /// A new host first gives the others time to show that the platform has gone back.
    fn may_trust_platform(&self) -> bool {
        let pause = self.setup.heartbeat * HEARTBEATS_TO_JOIN;
        let over = |joined: Moment| self.now() >= joined.after(pause);
        let alone = self.joined.is_some() && self.others.is_empty();
        self.confirmed || alone || self.joined.is_some_and(over)
    }
}

/// The version of the status at the platform.
#[derive(Clone, Copy, Debug)]
pub(crate) struct StatusVersion(pub(crate) id::Revision);

impl Handler<StatusVersion> for Control {
    type Return = ();

    async fn handle(&mut self, StatusVersion(version): StatusVersion, _: &mut Context<Self>) {
        self.platform_status = version;
    }
}

/// The platform's list of hosts.
#[derive(Debug)]
pub(crate) struct Listed(pub(crate) Vec<Host>);

impl Handler<Listed> for Control {
    type Return = ();

    async fn handle(&mut self, listed: Listed, _: &mut Context<Self>) {
        let hosts = listed.0.into_iter().map(|host| (host.name.clone(), host)).collect();
        self.listed = Some(hosts);
        self.write_roster();
    }
}
