//! Fetches the configurations that other hosts hold and this one lacks.

use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use chicoryloom_policy::Moment;
use chicoryloom_policy::catalog::Version;
use chicoryloom_policy::id;
use chicoryloom_policy::replica::Kind;
use futures::StreamExt;
use futures::stream::FuturesUnordered;
use rand::seq::SliceRandom;
use serde_json::json;

use super::mirror::Source;
use super::relay::Follower;
use super::relay::RESPONSE_SLACK;
use super::sync::Replicator;
use super::versions::Lack;

/// Time for which a holder that failed is not asked again.
const HOLDER_BACKOFF: Duration = Duration::from_millis(400);
/// Time after which a further holder is asked while the others asked before go on.
const FURTHER_HOLDER_AFTER: Duration = Duration::from_millis(500);
/// Most holders that are asked at a time.
const MAX_HOLDERS: usize = 3;
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
                    tokio::select! {
                        fetched = self.fetch_from(relay) => {
                            if let Err(error) = fetched {
                                log::debug!("fetch: {relay}: {error}");
                            }
                        }
                        // A slow relay must not delay a version that other hosts hold as well.
                        () = self.mirror.versions().wait_for_missing() => {}
                    }
                    continue;
                }
            };
            let now = self.clock.now();
            avoided.retain(|_, until| now < *until);
            let mut holders = self.fleet.holders(version);
            holders.retain(|(host, _)| !avoided.contains_key(host));
            if holders.is_empty() {
                tokio::time::sleep(HOLDER_CHECK_INTERVAL).await;
                continue;
            }
            holders.shuffle(&mut rand::rng());
            let attempts = holders.iter().map(|holder| self.fetch_version(version, holder));
            let fetched = tokio::select! {
                fetched = stagger(attempts, FURTHER_HOLDER_AFTER, MAX_HOLDERS) => fetched,
                () = self.mirror.versions().wait_for(version) => Some(()),
            };
            if fetched.is_none() {
                let until = self.clock.now().after(HOLDER_BACKOFF);
                avoided.extend(holders.into_iter().map(|(host, _)| (host, until)));
            }
        }
    }

    /// Fetches a version from a holder, and writes an event on the outcome; `None` if this host lacks the
    /// version afterwards.
    async fn fetch_version(
        &self,
        version: Version,
        (host, address): &(id::Host, SocketAddr),
    ) -> Option<()> {
        let begun = self.clock.now();
        let fetched = self.fetch_from(*address).await;
        let is_missing = !self.mirror.versions().holds(version);
        let took_ms = self.clock.now().since(begun).as_millis() as u64;
        let mut fields = json!({
            "version": version.0, "holder": host.as_str(), "took_ms": took_ms,
            "is_missing": is_missing,
        });
        match fetched {
            Ok(size) => fields["bytes"] = size.into(),
            Err(error) => fields["error"] = error.to_string().into(),
        }
        self.events.emit("fetched", fields);
        (!is_missing).then_some(())
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
        let age = age.saturating_add(self.pulse.answer_age(sent, self.clock.now().since(sent)));
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

/// Returns the result of the first attempt that has one.
///
/// The next attempt begins when one fails, or when those under way have taken `pause`, as long as fewer
/// than `limit` are under way. None is given up because it takes long: a slow one may be the only one to
/// succeed.
async fn stagger<T, F>(
    mut attempts: impl Iterator<Item = F>,
    pause: Duration,
    limit: usize,
) -> Option<T>
where
    F: Future<Output = Option<T>>,
{
    let mut running = FuturesUnordered::new();
    running.extend(attempts.next());
    while !running.is_empty() {
        tokio::select! {
            Some(result) = running.next() => match result {
                Some(result) => return Some(result),
                None => running.extend(attempts.next()),
            },
            () = tokio::time::sleep(pause), if running.len() < limit => {
                running.extend(attempts.next());
            }
        }
    }
    None
}

#[cfg(test)]
mod tests;
