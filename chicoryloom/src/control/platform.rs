//! Handles answers of the platform.

use chicoryloom_policy::Moment;
use chicoryloom_policy::id;
use chicoryloom_wire::platform::Changes;
use chicoryloom_wire::platform::Host;
use chicoryloom_wire::platform::Kind;
use xtra::prelude::*;

use super::Control;

/// Consecutive stale answers that count as a reverted platform; fewer may come from a change that
/// is still propagating.
const STALE_ANSWERS_TO_REVERT: u32 = 3;
/// Heartbeat intervals that a new host waits for its peers before the platform alone confirms its
/// state.
const HEARTBEATS_TO_JOIN: u32 = 2;

/// Changes fetched from the platform.
#[derive(Debug)]
pub(crate) struct Fetched {
    pub(crate) changes: Changes,
    /// When the platform was asked.
    pub(crate) asked: Moment,
}

impl Handler<Fetched> for Control {
    /// Whether the answer was used; false if it was older than the fleet's state.
    type Return = bool;

    async fn handle(&mut self, fetched: Fetched, _: &mut Context<Self>) -> bool {
        let Fetched { changes, asked } = fetched;
        if self.has_reverted(&changes) {
            self.stale_answers += 1;
            if self.stale_answers == STALE_ANSWERS_TO_REVERT {
                log::warn!(
                    "control: the state of the platform is older than the state of the fleet"
                );
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
    /// Returns whether the platform lacks changes that this host or any peer holds.
    ///
    /// A platform that lost changes and then accepted new ones is recognised by its status object,
    /// which the fleet writes only on top of the version that it holds.
    fn has_reverted(&mut self, changes: &Changes) -> bool {
        let statuses = changes.objects.iter().filter(|object| object.kind == Kind::Status);
        let shown = statuses.map(|object| object.version).max().unwrap_or_default();
        self.platform_status = self.platform_status.max(shown);
        let status = self.status_held().max(self.peers.max_status());
        let revision = self.objects.revision().max(self.peers.max_revision());
        // This host holds every object up to its own revision, so a different status version in
        // that range means a different history.
        let held = self.platform_status <= self.objects.revision();
        let foreign = held && self.platform_status != self.status_held();
        let behind = changes.revision < revision && !changes.more;
        foreign || behind || self.platform_status < status
    }

    /// Returns whether the platform alone may confirm this host's state.
    ///
    /// A new host first gives its peers time to show that the platform has lost changes.
    fn may_trust_platform(&self) -> bool {
        let pause = self.setup.heartbeat * HEARTBEATS_TO_JOIN;
        let over = |joined: Moment| self.now() >= joined.after(pause);
        let alone = self.joined.is_some() && self.others.is_empty();
        self.confirmed || alone || self.joined.is_some_and(over)
    }
}

/// Version of the status object at the platform.
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
