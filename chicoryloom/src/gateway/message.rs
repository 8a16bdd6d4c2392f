//! Messages between gateway hosts, in postcard.

use std::net::SocketAddr;

use bytes::Bytes;
use chicoryloom_policy::id;
use chicoryloom_policy::replica::Revisions;
use chicoryloom_policy::replica::Update;
use serde::Deserialize;
use serde::Serialize;
use smol_str::SmolStr;

/// Longest datagram, within one Ethernet frame.
pub(super) const MAX_DATAGRAM: usize = 1400;
/// Longest answer of a relay; more than all objects of a platform within two years' size.
pub(super) const MAX_RESPONSE: u32 = 64 * 1024 * 1024;

/// A host as it tells of itself.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
pub(super) struct Member {
    pub(super) host: id::Host,
    pub(super) incarnation: id::Incarnation,
    pub(super) data_centre: id::DataCentre,
    /// Address for messages.
    pub(super) peer: SocketAddr,
    /// Address for callers.
    pub(super) caller: SocketAddr,
    /// Requests a second that the host can carry.
    pub(super) capacity: f32,
    /// Whether it knows a configuration.
    pub(super) ready: bool,
    pub(super) leaving: bool,
    /// Whether callers are sent to it.
    pub(super) entry: bool,
    /// Whether its copy of the platform's objects is fresh.
    pub(super) fresh: bool,
    /// Whether it watches the platform itself.
    pub(super) watches: bool,
}

/// Requests in flight at one target.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub(super) struct Load {
    pub(super) target: id::Instance,
    pub(super) in_flight: u16,
}

/// A good answer of a target.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub(super) struct Success {
    pub(super) target: id::Instance,
    /// Time since the request left that was answered.
    pub(super) age_ms: u32,
}

/// Requests of one workspace that a host admitted since its start.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
pub(super) struct Usage {
    pub(super) workspace: id::Workspace,
    pub(super) admitted: u64,
    /// Those of them that it admitted in the last window.
    pub(super) recent: u32,
    /// Tokens in the sender's bucket, if it has run for longer than a window.
    pub(super) level: Option<f32>,
}

/// What a datagram says.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
pub(super) enum Body {
    /// A host that starts; a receiver that knows more members answers with them.
    Hello {
        member: Member,
        known: u32,
    },
    /// Members that the sender has heard of lately.
    Members(Vec<Member>),
    Heartbeat(Member),
    /// Requests of the sender that are in flight; targets that are not listed have none.
    Loads(Vec<Load>),
    /// Targets that answered the sender well since it last told.
    Successes(Vec<Success>),
    Usages(Vec<Usage>),
    /// A target fails requests, or recovered.
    Health {
        target: id::Instance,
        recovered: bool,
    },
    /// A target broke the connection on a request, or answered a suspected one.
    Crash {
        fingerprint: u128,
        target: SocketAddr,
        answered: bool,
    },
}

/// A datagram.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
pub(super) struct Envelope {
    pub(super) sender: id::Host,
    pub(super) incarnation: id::Incarnation,
    /// Grows with each datagram of an incarnation.
    pub(super) sequence: u64,
    pub(super) body: Body,
}

/// A follower's call to a relay.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub(super) struct SyncRequest {
    /// Incarnation of the relay whose numbering `after` belongs to.
    pub(super) incarnation: id::Incarnation,
    /// Number of the relay's latest change that the follower has.
    pub(super) after: u64,
    /// What the follower's copies reach.
    pub(super) reached: Revisions,
    /// Time for which the relay may wait for a change.
    pub(super) wait_ms: u32,
}

/// A relay's answer.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
pub(super) struct SyncResponse {
    pub(super) incarnation: id::Incarnation,
    pub(super) latest: u64,
    /// Time since the relay's copy was surely the platform's state.
    pub(super) age_ms: u64,
    pub(super) updates: Vec<Update>,
}

/// Encodes a value. An error would be a fault of the types above; the empty message that takes the
/// place of the value is malformed for its receiver.
pub(super) fn encode<T: Serialize>(value: &T) -> Bytes {
    postcard::to_stdvec(value).map(Bytes::from).unwrap_or_else(|error| {
        log::error!("message: can't be encoded: {error}");
        Bytes::new()
    })
}

/// Decodes a value.
pub(super) fn decode<T: for<'a> Deserialize<'a>>(bytes: &[u8]) -> Result<T, SmolStr> {
    postcard::from_bytes(bytes).map_err(|error| SmolStr::from(error.to_string()))
}
