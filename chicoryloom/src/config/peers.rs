//! Access to the other hosts.

use std::net::SocketAddr;

use chicoryloom_wire::frame::Secret;
use chicoryloom_wire::generated::settings as raw;

use super::Fault;
use super::secret;

/// What a host knows of the others from its settings, before it has a roster.
#[derive(Clone, Debug)]
pub struct Peers {
    pub secret: Secret,
    /// Peer addresses to contact while the platform is unreachable.
    pub seeds: Vec<SocketAddr>,
}

impl TryFrom<raw::Peers> for Peers {
    type Error = Fault;

    fn try_from(raw: raw::Peers) -> Result<Self, Self::Error> {
        let secret = Secret::derive(&secret::read("peers.secret", &raw.secret)?);
        let parse = |text: &String| {
            text.parse().map_err(|_| Fault::new("peers.seeds", format!("{text:?} is no address")))
        };
        Ok(Self { secret, seeds: raw.seeds.iter().map(parse).collect::<Result<_, _>>()? })
    }
}
