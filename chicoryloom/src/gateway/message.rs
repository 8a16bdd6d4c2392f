//! Messages between gateway hosts, encoded with postcard.
//!
//! Hosts of different builds exchange them. So the layout of what is here stays as it is; fields are
//! added in the [`Extension`] behind each message, and kinds of messages at the end of [`Body`].

use std::net::SocketAddr;

use bytes::Bytes;
use chicoryloom_policy::id;
use chicoryloom_policy::replica::Positions;
use chicoryloom_policy::replica::Update;
use chicoryloom_policy::throttle::Limit;
use chicoryloom_policy::withdrawal::Process;
use serde::Deserialize;
use serde::Serialize;
use smol_str::SmolStr;

use super::extension::Extension;

/// Largest datagram, in bytes; it fits into one Ethernet frame.
pub(super) const MAX_DATAGRAM: usize = 1400;
/// Largest response of a relay, in bytes; more than all objects of the platform will take in two
/// years.
pub(super) const MAX_RESPONSE: u32 = 64 * 1024 * 1024;

/// What a host advertises about itself.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
pub(super) struct Member {
    pub(super) host: id::Host,
    pub(super) incarnation: id::Incarnation,
    pub(super) data_centre: id::DataCentre,
    /// Address for messages from other hosts.
    pub(super) peer: SocketAddr,
    /// Address for requests of callers.
    pub(super) caller: SocketAddr,
    /// Requests per second that the host can serve.
    pub(super) capacity: f32,
    /// Whether it has a configuration and reaches targets.
    pub(super) ready: bool,
    pub(super) leaving: bool,
    /// Whether callers of its data centre are directed to it.
    pub(super) entry: bool,
    /// Whether its copy of the platform's objects is fresh.
    pub(super) fresh: bool,
    /// Whether it watches the platform itself.
    pub(super) watches: bool,
}

/// Requests in flight from the sender to one target.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub(super) struct Load {
    pub(super) target: id::Instance,
    pub(super) in_flight: u16,
}

/// A successful response of a target.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub(super) struct Success {
    pub(super) target: id::Instance,
    /// Time since the request was sent that the target answered.
    pub(super) age_ms: u32,
}

/// Requests of one workspace that a host admitted since its start.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
pub(super) struct Usage {
    pub(super) workspace: id::Workspace,
    pub(super) admitted: u64,
    /// How many of them it admitted in the last window.
    pub(super) recent: u32,
    /// Tokens in the sender's bucket; `None` until the sender has run for longer than a window.
    pub(super) level: Option<f32>,
}

/// One process of a target.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub(super) struct Instance {
    target: id::Instance,
    /// Start time of the process.
    born: u64,
}

impl From<Process> for Instance {
    fn from(process: Process) -> Self {
        Self { target: process.instance, born: process.born }
    }
}

impl From<Instance> for Process {
    fn from(instance: Instance) -> Self {
        Self { instance: instance.target, born: instance.born }
    }
}

/// Limit that a target named, or that it names none any more.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
pub(super) struct Ceiling {
    pub(super) process: Instance,
    pub(super) limit: Option<Limit>,
    /// Time since the answer that named the limit, or since the request whose answer named none.
    pub(super) age_ms: u32,
}

/// That a target is cold; the value of [`Field::Cold`](super::extension::Field::Cold).
#[derive(Clone, Copy, Debug, PartialEq, Deserialize, Serialize)]
pub(super) struct Cold {
    /// Requests per second that it takes from all hosts together.
    pub(super) rate: Limit,
    /// Time for which it may remain cold.
    pub(super) remaining_ms: u32,
}

/// Contents of a datagram.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
pub(super) enum Body {
    /// Introduces the sender; a receiver that knows more hosts answers with [`Body::Members`].
    Hello {
        member: Member,
        /// How many other hosts the sender knows.
        known: u32,
    },
    /// Hosts that the sender knows, itself included; one of several datagrams if there are many.
    Members(Vec<Member>),
    Heartbeat(Member),
    /// Requests of the sender that are in flight; a target that is not listed has none.
    Loads(Vec<Load>),
    /// Targets that answered the sender successfully since its last message of this kind.
    Successes(Vec<Success>),
    Usages(Vec<Usage>),
    /// A target fails requests or has recovered.
    Health {
        target: id::Instance,
        recovered: bool,
    },
    /// A target broke the connection on a request, or answered a request that was suspected of
    /// crashing targets.
    Crash {
        /// Fingerprint of the request.
        fingerprint: u128,
        target: SocketAddr,
        answered: bool,
    },
    /// A target said in an answer that it is leaving.
    Leaving {
        target: id::Instance,
        /// Start time of the target's process.
        born: u64,
    },
    /// Limits that began, changed or ended.
    Limits(Vec<Ceiling>),
    /// Asks the host that is responsible for a target with a limit for permits.
    Ask {
        ceiling: Ceiling,
        /// When the sender asks, in nanoseconds on its clock.
        asked_ns: u64,
        wanted: u32,
    },
    /// Answers [`Body::Ask`] with permits.
    Grant {
        process: Instance,
        asked_ns: u64,
        count: u32,
    },
    /// Answers [`Body::Ask`] with the time after which a permit is expected.
    Turn {
        process: Instance,
        wait_ms: u32,
    },
}

/// A datagram with its sender.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
pub(super) struct Envelope {
    pub(super) sender: id::Host,
    pub(super) incarnation: id::Incarnation,
    /// Increases with each datagram of an incarnation.
    pub(super) sequence: u64,
    pub(super) body: Body,
}

/// A follower's request to its relay.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub(super) struct SyncRequest {
    /// Incarnation of the relay that numbered the change `after`.
    pub(super) incarnation: id::Incarnation,
    /// Number of the relay's latest change that the follower has applied; 0 asks for everything.
    pub(super) after: u64,
    /// Platform positions that the follower's copies have reached.
    pub(super) reached: Positions,
    /// Longest time that the relay may wait for a change before it responds.
    pub(super) wait_ms: u32,
}

/// A relay's response to a [`SyncRequest`].
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
pub(super) struct SyncResponse {
    pub(super) incarnation: id::Incarnation,
    /// Number of the relay's latest change.
    pub(super) latest: u64,
    /// Time since the relay's copy was last confirmed to be the platform's state.
    pub(super) age_ms: u64,
    pub(super) updates: Vec<Update>,
}

/// Encodes a message. Only a fault in the types above can make this fail; an empty message is
/// returned then, which the receiver rejects as malformed.
pub(super) fn encode<T: Serialize>(value: &T, extension: &Extension) -> Bytes {
    let encoded = postcard::to_stdvec(value)
        .and_then(|bytes| postcard::to_extend(extension, bytes))
        .map(Bytes::from);
    encoded.unwrap_or_else(|error| {
        log::error!("message: the value can't be encoded: {error}");
        Bytes::new()
    })
}

/// Decodes a message. One of a build that knows no extensions has an empty one.
pub(super) fn decode<T: for<'a> Deserialize<'a>>(bytes: &[u8]) -> Result<(T, Extension), SmolStr> {
    let malformed = |error: postcard::Error| SmolStr::from(error.to_string());
    let (value, rest) = postcard::take_from_bytes(bytes).map_err(malformed)?;
    if rest.is_empty() {
        return Ok((value, Extension::default()));
    }
    let extension = postcard::from_bytes(rest).map_err(malformed)?;
    Ok((value, extension))
}
