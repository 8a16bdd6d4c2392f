//! Heartbeats, the choice of the entry hosts, and periodic work.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use chicoryloom_policy::Moment;
use chicoryloom_policy::takeover::MAX_FRESH_AGE;
use serde_json::json;
use tokio::time::MissedTickBehavior;

use super::Fleet;
use crate::gateway::members::Change;
use crate::gateway::members::ENTRY_HEARTBEAT_INTERVAL;
use crate::gateway::members::FLEET_HEARTBEAT_INTERVAL;
use crate::gateway::members::HEARTBEAT_INTERVAL;
use crate::gateway::members::REMOTE_HEARTBEAT_INTERVAL;
use crate::gateway::message::Body;
use crate::gateway::mirror::Mirror;

/// Interval between two rounds of maintenance.
const MAINTENANCE_INTERVAL: Duration = Duration::from_millis(50);
/// Interval at which the entry hosts are determined.
const ENTRIES_INTERVAL: Duration = Duration::from_millis(150);
/// Time for which a host tells all others that it lost its links to targets, or got them back, as
/// datagrams get lost.
const ANNOUNCE_TIME: Duration = Duration::from_secs(1);

impl Fleet {
    pub(super) async fn send_heartbeat(&self, remote: bool, fleet: bool) {
        let recipients = self.members().recipients(remote, fleet, self.clock.now());
        let heartbeat = Body::Heartbeat(self.me());
        self.send_extended(&recipients, heartbeat, &self.announcement()).await;
    }

    /// Sends heartbeats, updates the entry hosts and does periodic work until the task is aborted.
    pub(in crate::gateway) async fn maintain(self: Arc<Self>, mirror: Arc<Mirror>) {
        let mut ticks = tokio::time::interval(MAINTENANCE_INTERVAL);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let (mut local_at, mut remote_at, mut fleet_at) =
            (Moment::ZERO, Moment::ZERO, Moment::ZERO);
        let (mut entries_at, mut swept_at) = (Moment::ZERO, Moment::ZERO);
        let (mut was_entry, mut was_watcher, mut was_cut) = (false, false, false);
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
            let me = self.me();
            let is_entry = me.entry;
            let is_frequent = is_entry || announces;
            let interval = if is_frequent { ENTRY_HEARTBEAT_INTERVAL } else { HEARTBEAT_INTERVAL };
            // Others send admitted requests only to hosts that they know as entry hosts, so a new
            // one announces itself at once.
            let is_new = is_entry && !was_entry;
            was_entry = is_entry;
            // Others follow a host, and stop watching, as long as they take it for a watcher.
            let is_watcher = me.watches && me.fresh;
            let has_changed = std::mem::replace(&mut was_watcher, is_watcher) != is_watcher;
            // The others learn of a version in time also where their data centre has lost its watchers.
            let has_news = self.versions.take_news();
            if now.since(local_at) >= interval || is_new || has_changed || has_news {
                local_at = now;
                let to_remote = is_entry && now.since(remote_at) >= REMOTE_HEARTBEAT_INTERVAL;
                let is_fleet_due = is_new || now.since(fleet_at) >= FLEET_HEARTBEAT_INTERVAL;
                let to_fleet = announces || has_news || (is_entry && is_fleet_due);
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
        me.ready = catalog.is_some() && !self.dispatcher.is_cut() && !self.versions.is_behind();
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
        let lost = members.lost_entries(now);
        let island = members.neighbours(now).island(mirror.age());
        me.entry = is_entry;
        drop(me);
        members.set_entry(is_entry);
        drop(members);
        // A host that has just started knows few others, but can tell how many the grants need.
        let needed = (granted / capacity.max(1.0)).ceil() as usize;
        let mut allowance = self.allowance.lock().expect("no holder of the lock panics");
        let admitting = entries.len() + if island.is_some() { lost } else { 0 };
        allowance.set_hosts(admitting.max(needed));
        let is_news = allowance.set_island(island, now);
        drop(allowance);
        if is_news {
            let fields = json!({ "heard": island, "hosts": admitting });
            self.events.emit("island", fields);
        }
        self.dispatcher.set_fleet(entries, lost, hosts, known);
    }
}
