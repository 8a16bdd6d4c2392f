//! Addresses of the host.

use std::net::SocketAddr;

use chicoryloom_wire::generated::settings as raw;

use super::Fault;

/// Addresses of the host; port 0 takes a free one.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Listen {
    /// For callers, over TCP.
    pub caller: SocketAddr,
    /// For other hosts, over UDP and TCP; outgoing connections come from its IP address.
    pub peer: SocketAddr,
    /// For operators, over TCP.
    pub admin: Option<SocketAddr>,
}

impl TryFrom<raw::Listen> for Listen {
    type Error = Fault;

    fn try_from(raw: raw::Listen) -> Result<Self, Self::Error> {
        let admin = match raw.admin.as_str() {
            "" => None,
            text => Some(address("listen.admin", text)?),
        };
        Ok(Self {
            caller: address("listen.caller", &raw.caller)?,
            peer: address("listen.peer", &raw.peer)?,
            admin,
        })
    }
}

fn address(field: &'static str, text: &str) -> Result<SocketAddr, Fault> {
    text.parse().map_err(|_| Fault::new(field, format!("{text:?} is not an IP address and port")))
}
