//! Messages between gateway hosts, encoded with postcard.
//!
//! Hosts of different builds exchange them. So the layout of what is here stays as it is; fields are
//! added in the [`Extension`] behind each message, and kinds of messages at the end of [`Body`].

#[cfg(test)]
mod landed;
#[cfg(test)]
mod tests;

use std::fmt;
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

/// Number of kinds in [`Body`].
const KINDS: u32 = 14;

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

/// Which process of a target was lost on a request; the value of
/// [`Field::Loss`](super::extension::Field::Loss).
#[derive(Clone, Copy, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub(super) struct Loss {
    /// Start time of the process.
    pub(super) born: u64,
    /// Time since the loss.
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
    /// A target broke the connection on a request; why is not known yet.
    Suspect {
        target: id::Instance,
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

/// The fields of an [`Envelope`] before its body; other builds have the same ones.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize)]
pub(super) struct Head {
    pub(super) sender: id::Host,
    pub(super) incarnation: id::Incarnation,
    pub(super) sequence: u64,
}

/// Why a message can't be read.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(super) enum Fault {
    /// It is longer than a host may send.
    Length,
    /// It does not begin with a sender.
    Head,
    /// Its kind, by number, is not known to this build.
    Kind(u32),
    /// Its contents don't have the layout of their kind, or values that no host sends.
    Body,
    /// The extension is malformed.
    Extension,
    /// A request or response of the replication is malformed.
    Sync,
}

impl Fault {
    /// Returns the label in metrics and events.
    pub(super) const fn label(self) -> &'static str {
        match self {
            Self::Length => "length",
            Self::Head => "head",
            Self::Kind(_) => "kind",
            Self::Body => "body",
            Self::Extension => "extension",
            Self::Sync => "sync",
        }
    }
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Kind(number) => write!(f, "kind {number}"),
            _ => f.write_str(self.label()),
        }
    }
}

/// A datagram that can't be read.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(super) struct Unreadable {
    /// Sender that the datagram names, if that much can be read.
    pub(super) head: Option<Head>,
    pub(super) fault: Fault,
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

impl Envelope {
    /// Returns whether the contents are such that a host of any build sends them.
    fn is_sound(&self) -> bool {
        let is_sound = |limit: &Option<Limit>| {
            limit.is_none_or(|limit| Limit::try_from(limit.per_second()) == Ok(limit))
        };
        match &self.body {
            Body::Hello { member, .. } | Body::Heartbeat(member) => {
                member.host == self.sender
                    && member.incarnation == self.incarnation
                    && member.is_sound()
            }
            Body::Members(members) => members.iter().all(Member::is_sound),
            Body::Usages(usages) => {
                usages.iter().all(|usage| usage.level.is_none_or(f32::is_finite))
            }
            Body::Limits(ceilings) => ceilings.iter().all(|ceiling| is_sound(&ceiling.limit)),
            Body::Ask { ceiling, .. } => is_sound(&ceiling.limit),
            Body::Loads(_)
            | Body::Successes(_)
            | Body::Health { .. }
            | Body::Crash { .. }
            | Body::Leaving { .. }
            | Body::Grant { .. }
            | Body::Turn { .. }
            | Body::Suspect { .. } => true,
        }
    }
}

impl Member {
    fn is_sound(&self) -> bool {
        self.capacity.is_finite() && self.capacity >= 0.0
    }
}

/// Encodes a datagram; returns `None` if it would be too long for its receivers to read.
///
/// The extension is left out where it alone makes the datagram too long: what it says is then
/// unknown to the receivers, as with a sender of an earlier build.
pub(super) fn encode_datagram(envelope: &Envelope, extension: &Extension) -> Option<Bytes> {
    let with_extension = encode(envelope, extension);
    if with_extension.len() <= MAX_DATAGRAM {
        return Some(with_extension);
    }
    let bytes = postcard::to_stdvec(envelope).ok()?;
    (bytes.len() <= MAX_DATAGRAM).then(|| Bytes::from(bytes))
}

/// Decodes a datagram. It is read as a whole before any of it is used.
pub(super) fn decode_datagram(bytes: &[u8]) -> Result<(Envelope, Extension), Unreadable> {
    if bytes.len() > MAX_DATAGRAM {
        let head = postcard::take_from_bytes(bytes).ok().map(|(head, _)| head);
        return Err(Unreadable { head, fault: Fault::Length });
    }
    let (head, body) = postcard::take_from_bytes::<Head>(bytes)
        .map_err(|_| Unreadable { head: None, fault: Fault::Head })?;
    let unreadable = |fault| Unreadable { head: Some(head.clone()), fault };
    let (envelope, rest) = postcard::take_from_bytes::<Envelope>(bytes).map_err(|_| {
        let kind = postcard::from_bytes(body).unwrap_or_default();
        unreadable(if kind < KINDS { Fault::Body } else { Fault::Kind(kind) })
    })?;
    if !envelope.is_sound() {
        return Err(unreadable(Fault::Body));
    }
    let extension = decode_extension(rest).map_err(|_| unreadable(Fault::Extension))?;
    Ok((envelope, extension))
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
    let extension = decode_extension(rest).map_err(malformed)?;
    Ok((value, extension))
}

fn decode_extension(bytes: &[u8]) -> Result<Extension, postcard::Error> {
    if bytes.is_empty() { Ok(Extension::default()) } else { postcard::from_bytes(bytes) }
}
