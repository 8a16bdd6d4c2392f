//! How a host finds the others, and they find it.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use super::Fleet;
use crate::gateway::message::Body;
use crate::gateway::mirror::Mirror;
use crate::gateway::port::Registration;
use crate::gateway::port::Store;

/// Interval at which a starting host sends hellos to its seeds.
const HELLO_INTERVAL: Duration = Duration::from_millis(100);
/// Longest time for which a starting host sends hellos to its seeds.
const JOIN_TIMEOUT: Duration = Duration::from_secs(3);
/// Time after its start at which a host registers at the platform, so that hosts without live
/// seeds find it.
const REGISTER_DELAY: Duration = Duration::from_millis(600);
/// Interval at which the registered hosts are read from the platform.
const DISCOVERY_INTERVAL: Duration = Duration::from_secs(15);
/// Hosts of a data centre that register at the platform and look for unknown ones there.
const CONTACT_HOSTS: usize = 8;
/// Interval at which any other host checks whether it has become one of them.
const CONTACT_CHECK_INTERVAL: Duration = Duration::from_secs(1);
/// Longest delay before a host registers again at a restored store; all hosts do so.
const REGISTER_SPREAD: Duration = Duration::from_secs(1);
/// Delay before a failed registration is repeated.
const REGISTER_RETRY_DELAY: Duration = Duration::from_secs(1);
/// Most members in one datagram.
const MEMBERS_PER_DATAGRAM: usize = 8;

impl Fleet {
    /// Introduces this host to others.
    pub(in crate::gateway) async fn send_hello(&self, hosts: &[SocketAddr]) {
        self.send_extended(hosts, self.hello(), &self.announcement()).await;
    }

    fn hello(&self) -> Body {
        Body::Hello { member: self.me(), known: self.peer_count() }
    }

    /// Sends all known members to a host.
    pub(super) async fn send_members(&self, host: SocketAddr) {
        let mut all: Vec<_> = self.members().all().cloned().collect();
        all.push(self.me());
        for members in all.chunks(MEMBERS_PER_DATAGRAM) {
            self.send(&[host], Body::Members(members.to_vec())).await;
        }
    }

    /// Sends hellos to the seeds until another host is known.
    pub(in crate::gateway) async fn join(self: Arc<Self>) {
        let end = self.clock.now().after(JOIN_TIMEOUT);
        let own = self.me().peer;
        let seeds: Vec<_> = self.seeds.iter().filter(|seed| **seed != own).copied().collect();
        let mut rounds = 0;
        while self.clock.now() < end && rounds < 3 {
            self.send_hello(&seeds).await;
            tokio::time::sleep(HELLO_INTERVAL).await;
            // Two further rounds reach seeds that started later than this host.
            rounds += usize::from(self.members().all().next().is_some());
            self.send_heartbeat(true, true).await;
        }
    }

    /// Registers this host at the platform, and introduces it to the hosts registered there that it
    /// does not know; runs until the task is aborted.
    ///
    /// Some hosts of a data centre are enough for others to find the fleet by, so that the calls don't
    /// grow with its size. A store that was restored from a copy may lack the registration, which is
    /// therefore written in each era of the store.
    pub(in crate::gateway) async fn register(
        self: Arc<Self>,
        store: Arc<dyn Store>,
        mirror: Arc<Mirror>,
    ) {
        tokio::time::sleep(REGISTER_DELAY).await;
        let me = self.me();
        let entry =
            Registration { host: me.host, data_centre: me.data_centre.clone(), peer: me.peer };
        let mut era = None;
        loop {
            let is_contact = {
                let members = self.members();
                members.is_among_first(CONTACT_HOSTS, &self.me(), self.clock.now())
            };
            let knows_others = self.peer_count() > 0;
            if !is_contact && knows_others {
                tokio::time::sleep(CONTACT_CHECK_INTERVAL).await;
                continue;
            }
            let present = mirror.era();
            if era != Some(present) {
                if era.is_some() {
                    let delay = REGISTER_SPREAD.mul_f64(rand::random());
                    tokio::time::sleep(delay).await;
                }
                while let Err(error) = store.register(&entry).await {
                    log::info!("fleet: registration at the platform failed: {error}");
                    tokio::time::sleep(REGISTER_RETRY_DELAY).await;
                }
                log::debug!("fleet: registered at the platform in era {present} of its store");
                era = Some(present);
            }
            match store.hosts().await {
                Ok(hosts) => {
                    let hosts = hosts.iter().filter(|host| host.host != self.name);
                    let known: HashMap<_, _> =
                        self.members().all().map(|one| (one.host.clone(), one.peer)).collect();
                    let new = hosts.filter(|host| known.get(&host.host) != Some(&host.peer));
                    let new: Vec<_> = new.map(|host| host.peer).collect();
                    self.send_hello(&new).await;
                }
                Err(error) => log::debug!("fleet: registered hosts can't be read: {error}"),
            }
            // A new era needs the registration at once, and the interval is no error.
            let _ = tokio::time::timeout(DISCOVERY_INTERVAL, mirror.later_era(present)).await;
        }
    }
}
