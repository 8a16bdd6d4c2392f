//! Listen addresses of the host.

use std::net::SocketAddr;

use chicoryloom_wire::generated::settings as raw;

use super::Fault;

/// Listen addresses of the host; port 0 picks a free port.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Listen {
    /// For callers; TCP.
    pub caller: SocketAddr,
    /// For other hosts; UDP and TCP. Outgoing connections use its IP address as their source.
    pub peer: SocketAddr,
    /// For operators; TCP. None turns the administration API off.
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
