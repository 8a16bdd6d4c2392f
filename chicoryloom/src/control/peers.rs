//! State of the other hosts as known from their frames.

use std::collections::HashMap;
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::time::Duration;

use chicoryloom_policy::Moment;
use chicoryloom_policy::id;
use chicoryloom_wire::generated::frame::Heartbeat;
use chicoryloom_wire::platform::Host;

/// Maximum number of recent challenges kept per peer, until a confirmation by the platform lets
/// this host vouch for one of them.
const MAX_CHALLENGES: usize = 8;

/// State of one peer.
#[derive(Debug)]
pub(super) struct Peer {
    /// Address that its frames come from.
    source: SocketAddr,
    last_seen: Moment,
    /// Latest challenges with their time of arrival, oldest first.
    challenges: VecDeque<(u64, Moment)>,
    /// Latest challenge that arrived before the last confirming call to the platform; 0 for none.
    vouched: u64,
    revision: id::Revision,
    /// Version of the status object that it holds.
    status: id::Revision,
    leaving: bool,
    serving: bool,
    /// Address for callers, if it differs from the roster's.
    caller: Option<SocketAddr>,
    /// When this peer last vouched for this host.
    vouch: Option<Moment>,
}

/// Peers that sent a heartbeat, by name.
#[derive(Debug, Default)]
pub(super) struct Peers(HashMap<id::Host, Peer>);

impl Peers {
    /// Records a heartbeat; returns whether the peer's address for callers or its leaving state
    /// changed.
    pub(super) fn record_heartbeat(
        &mut self,
        name: &id::Host,
        source: SocketAddr,
        heartbeat: &Heartbeat,
        now: Moment,
    ) -> bool {
        let caller = heartbeat.caller.parse().ok();
        let peer = self.0.entry(name.clone()).or_insert_with(|| Peer {
            source,
            last_seen: now,
            challenges: VecDeque::new(),
            vouched: 0,
            revision: id::Revision::default(),
            status: id::Revision::default(),
            leaving: false,
            serving: false,
            caller: None,
            vouch: None,
        });
        peer.source = source;
        peer.last_seen = now;
        peer.challenges.push_back((heartbeat.challenge, now));
        if peer.challenges.len() > MAX_CHALLENGES {
            peer.challenges.pop_front();
        }
        peer.revision = id::Revision(heartbeat.revision);
        peer.status = id::Revision(heartbeat.status);
        if heartbeat.vouched > 0 {
            peer.vouch = Some(now);
        }
        peer.serving = heartbeat.serving;
        let changed = peer.leaving != heartbeat.leaving || peer.caller != caller;
        peer.leaving = heartbeat.leaving;
        peer.caller = caller;
        changed
    }

    /// Records that the platform, asked at a moment, held nothing that this host lacks.
    ///
    /// This host can then vouch for the challenges that arrived before that moment.
    pub(super) fn vouch(&mut self, asked: Moment) {
        for peer in self.0.values_mut() {
            let before = peer.challenges.iter().rev().find(|(_, arrived)| *arrived <= asked);
            peer.vouched = before.map_or(peer.vouched, |(challenge, _)| *challenge);
        }
    }

    /// Returns the challenge to echo to a peer and the one that this host can vouch for; 0 for
    /// none.
    pub(super) fn echo(&self, name: &id::Host) -> (u64, u64) {
        let peer = self.0.get(name);
        let latest = peer.and_then(|peer| peer.challenges.back());
        (latest.map_or(0, |(challenge, _)| *challenge), peer.map_or(0, |peer| peer.vouched))
    }

    /// Returns the source address of a peer that sent a heartbeat within a window.
    pub(super) fn source(
        &self,
        name: &id::Host,
        now: Moment,
        window: Duration,
    ) -> Option<SocketAddr> {
        let peer = self.0.get(name).filter(|peer| now < peer.last_seen.after(window))?;
        Some(peer.source)
    }

    /// Returns the latest revision that any peer holds.
    pub(super) fn max_revision(&self) -> id::Revision {
        self.0.values().map(|peer| peer.revision).max().unwrap_or_default()
    }

    /// Returns the latest version of the status object that any peer holds.
    pub(super) fn max_status(&self) -> id::Revision {
        self.0.values().map(|peer| peer.status).max().unwrap_or_default()
    }

    /// Returns whether a peer vouched for this host within a window.
    pub(super) fn is_vouched_for(&self, now: Moment, window: Duration) -> bool {
        self.0.values().any(|peer| peer.vouch.is_some_and(|vouch| now < vouch.after(window)))
    }

    /// Returns a peer's revision and whether it serves callers.
    pub(super) fn reported_state(&self, name: &id::Host) -> (id::Revision, bool) {
        let peer = self.0.get(name);
        peer.map_or((id::Revision::default(), false), |peer| (peer.revision, peer.serving))
    }

    /// Updates a host of the roster with what the peer reports of itself.
    pub(super) fn apply_reported(&self, host: &mut Host) {
        if let Some(peer) = self.0.get(&host.name) {
            host.leaving |= peer.leaving;
            host.caller = peer.caller.unwrap_or(host.caller);
        }
    }

    pub(super) fn retain<F: Fn(&id::Host) -> bool>(&mut self, keep: F) {
        self.0.retain(|name, _| keep(name));
    }
}
