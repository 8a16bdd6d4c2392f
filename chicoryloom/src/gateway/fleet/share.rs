//! Requests in flight, admitted requests and the health of targets, told to the entry hosts.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use chicoryloom_policy::Moment;
use chicoryloom_policy::allowance::Limiter;
use chicoryloom_policy::allowance::Status;
use chicoryloom_policy::gray::Notice;
use chicoryloom_policy::id;
use chicoryloom_policy::share;
use chicoryloom_policy::withdrawal::Process;

use super::Fleet;
use crate::gateway::dispatcher::CrashReport;
use crate::gateway::extension::Extension;
use crate::gateway::extension::Field;
use crate::gateway::message::Body;
use crate::gateway::message::Load;
use crate::gateway::message::Loss;
use crate::gateway::message::Usage;

/// Time after which unchanged requests in flight are sent again, as datagrams get lost.
const LOADS_REPEAT_INTERVAL: Duration = Duration::from_secs(1);
/// Shortest interval between two rounds of messages on requests and targets.
const MIN_SHARE_INTERVAL: Duration = Duration::from_millis(5);
/// Longest time without a change after which a round begins all the same.
const WAKE_INTERVAL: Duration = Duration::from_millis(50);
/// Interval at which the receivers are determined.
const RECEIVERS_INTERVAL: Duration = Duration::from_millis(150);
/// Interval between two messages on requests in flight and admitted ones to other data centres.
const REMOTE_SHARE_INTERVAL: Duration = Duration::from_millis(500);
/// Interval between two messages on admitted requests within the data centre.
const USAGE_INTERVAL: Duration = Duration::from_millis(100);
/// Most loads, successes or usages in one datagram; each takes about 20 bytes.
const RECORDS_PER_DATAGRAM: usize = 50;

impl Fleet {
    /// Sends the requests in flight, the admitted ones and changes in the health of targets to the
    /// entry hosts until the task is aborted.
    pub(in crate::gateway) async fn share(self: Arc<Self>) {
        let mut sent = LastSent::default();
        let own = self.me().data_centre;
        let mut entries_at = Moment::ZERO;
        let (mut entries, mut local) = (BTreeMap::new(), Vec::new());
        loop {
            // Wakes up without a change as well, for what is sent at longer intervals.
            let _ = tokio::time::timeout(WAKE_INTERVAL, self.dispatcher.changed.notified()).await;
            let now = self.clock.now();
            if now.since(entries_at) >= RECEIVERS_INTERVAL {
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
            for target in self.dispatcher.take_suspects() {
                self.send(&all, Body::Suspect { target }).await;
            }
            for (target, notice) in self.dispatcher.take_notices() {
                let recovered = notice == Notice::Recovered;
                self.send(&all, Body::Health { target, recovered }).await;
            }
            for CrashReport { request, crash, answered } in self.dispatcher.take_crash_reports() {
                let age = now.since(crash.at).as_millis();
                let age_ms = u32::try_from(age).unwrap_or(u32::MAX);
                let loss = Loss { born: crash.born, age_ms };
                let extension = Extension::new().with(Field::Loss, &loss);
                let body = Body::Crash { fingerprint: request.0, target: crash.target.0, answered };
                self.send_extended(&all, body, &extension).await;
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
