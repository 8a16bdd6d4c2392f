//! The other hosts.

use std::net::SocketAddr;

use chicoryloom_wire::frame::Secret;
use chicoryloom_wire::generated::settings as raw;

use super::Fault;
use super::secret;

/// What the host knows of the others before it has a roster.
#[derive(Clone, Debug)]
pub struct Peers {
    pub secret: Secret,
    /// Peer addresses to ask while the platform is away.
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
