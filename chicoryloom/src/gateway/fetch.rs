//! Fetches the configurations that other hosts hold and this one lacks.

use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use chicoryloom_policy::Moment;
use chicoryloom_policy::id;
use chicoryloom_policy::replica::Kind;
use rand::seq::IndexedRandom;
use serde_json::json;

use super::mirror::Source;
use super::relay::Follower;
use super::relay::RESPONSE_SLACK;
use super::sync::Replicator;
use super::versions::Lack;

/// Time for which a holder that failed is not asked again.
const HOLDER_BACKOFF: Duration = Duration::from_millis(400);
/// Pause while no holder can be asked.
const HOLDER_CHECK_INTERVAL: Duration = Duration::from_millis(50);

impl Replicator {
    /// Runs until the task is aborted.
    ///
    /// Any holder will do, so that a new version spreads from the hosts that have it to more and more
    /// others, and the link of none of them has to carry it for all.
    pub(super) async fn fetch(self) {
        let mut avoided: HashMap<id::Host, Moment> = HashMap::new();
        loop {
            let version = match self.mirror.versions().wait_for_lack().await {
                Lack::Version(version) => version,
                Lack::Position(relay) => {
                    if let Err(error) = self.fetch_from(relay).await {
                        log::debug!("fetch: {relay}: {error}");
                    }
                    continue;
                }
            };
            let now = self.clock.now();
            avoided.retain(|_, until| now < *until);
            let holders = self.fleet.holders(version);
            let usable: Vec<_> =
                holders.iter().filter(|(host, _)| !avoided.contains_key(host)).collect();
            let Some((host, holder)) = usable.choose(&mut rand::rng()) else {
                tokio::time::sleep(HOLDER_CHECK_INTERVAL).await;
                continue;
            };
            let fetched = self.fetch_from(*holder).await;
            let is_missing = self.mirror.versions().missing() >= Some(version);
            let took_ms = self.clock.now().since(now).as_millis() as u64;
            let mut fields = json!({
                "version": version.0, "holder": host.as_str(), "took_ms": took_ms,
                "is_missing": is_missing,
            });
            match fetched {
                Ok(size) => fields["bytes"] = size.into(),
                Err(error) => fields["error"] = error.to_string().into(),
            }
            self.events.emit("fetched", fields);
            if is_missing {
                avoided.insert(host.clone(), self.clock.now().after(HOLDER_BACKOFF));
            }
        }
    }

    /// Fetches a holder's configuration and applies it; returns its size on the way.
    async fn fetch_from(&self, holder: SocketAddr) -> io::Result<usize> {
        let sent = self.clock.now();
        let connected = tokio::time::timeout(RESPONSE_SLACK, Follower::connect(holder));
        let mut connection = connected.await??;
        let present = self.mirror.contents();
        let base = present.as_ref().map(|(digest, contents)| (*digest, &contents[..]));
        let fetched = connection.fetch(base.map(|(digest, _)| digest)).await?;
        let Some((package, age)) = fetched else { return Err(io::ErrorKind::NotFound.into()) };
        let age = age.saturating_add(self.answer_age(sent, self.clock.now().since(sent)));
        if !self.takes(age) {
            return Err(io::Error::other("the holder's copy is not fresh"));
        }
        let update = package.unpack(base)?;
        if update.kind != Kind::Catalog {
            return Err(io::ErrorKind::InvalidData.into());
        }
        self.mirror.apply(update, age, Source::Host(holder));
        Ok(package.size())
    }
}
