//! The messages of build 82b259a, as that build decodes them. Build 8dcadc6 has the same ones but for
//! the last four kinds.

use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;
use serde::de::DeserializeOwned;

#[derive(Debug, PartialEq, Deserialize, Serialize)]
pub(super) struct Member {
    host: String,
    incarnation: u64,
    data_centre: String,
    peer: SocketAddr,
    caller: SocketAddr,
    capacity: f32,
    ready: bool,
    leaving: bool,
    entry: bool,
    fresh: bool,
    watches: bool,
}

#[derive(Debug, PartialEq, Deserialize, Serialize)]
pub(super) struct Load {
    target: String,
    in_flight: u16,
}

#[derive(Debug, PartialEq, Deserialize, Serialize)]
pub(super) struct Success {
    target: String,
    age_ms: u32,
}

#[derive(Debug, PartialEq, Deserialize, Serialize)]
pub(super) struct Usage {
    workspace: String,
    admitted: u64,
    recent: u32,
    level: Option<f32>,
}

#[derive(Debug, PartialEq, Deserialize, Serialize)]
pub(super) struct Instance {
    target: String,
    born: u64,
}

#[derive(Debug, PartialEq, Deserialize, Serialize)]
pub(super) struct Ceiling {
    process: Instance,
    limit: Option<f64>,
    age_ms: u32,
}

#[derive(Debug, PartialEq, Deserialize, Serialize)]
pub(super) enum Body {
    Hello { member: Member, known: u32 },
    Members(Vec<Member>),
    Heartbeat(Member),
    Loads(Vec<Load>),
    Successes(Vec<Success>),
    Usages(Vec<Usage>),
    Health { target: String, recovered: bool },
    Crash { fingerprint: u128, target: SocketAddr, answered: bool },
    Leaving { target: String, born: u64 },
    Limits(Vec<Ceiling>),
    Ask { ceiling: Ceiling, asked_ns: u64, wanted: u32 },
    Grant { process: Instance, asked_ns: u64, count: u32 },
    Turn { process: Instance, wait_ms: u32 },
}

#[derive(Debug, PartialEq, Deserialize, Serialize)]
pub(super) struct Envelope {
    sender: String,
    incarnation: u64,
    sequence: u64,
    body: Body,
}

#[derive(Debug, PartialEq, Deserialize, Serialize)]
pub(super) struct Position {
    era: u64,
    revision: u64,
}

#[derive(Debug, PartialEq, Deserialize, Serialize)]
pub(super) struct Positions {
    catalog: Position,
    targets: Position,
}

#[derive(Debug, PartialEq, Deserialize, Serialize)]
pub(super) enum Kind {
    Catalog,
    Target,
}

#[derive(Debug, PartialEq, Deserialize, Serialize)]
pub(super) struct Generation {
    number: u64,
    is_leaving: bool,
}

#[derive(Debug, PartialEq, Deserialize, Serialize)]
pub(super) struct Record {
    kind: Kind,
    name: String,
    position: Position,
    generation: Generation,
    value: Option<Vec<u8>>,
}

#[derive(Debug, PartialEq, Deserialize, Serialize)]
pub(super) struct Update {
    kind: Kind,
    records: Vec<Record>,
    kept: Vec<String>,
    lapsed: Vec<String>,
    whole: bool,
    position: Position,
}

#[derive(Debug, PartialEq, Deserialize, Serialize)]
pub(super) struct SyncRequest {
    incarnation: u64,
    after: u64,
    reached: Positions,
    wait_ms: u32,
}

#[derive(Debug, PartialEq, Deserialize, Serialize)]
pub(super) struct SyncResponse {
    incarnation: u64,
    latest: u64,
    age_ms: u64,
    updates: Vec<Update>,
}

/// Decodes a message like the landed builds do.
pub(super) fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, postcard::Error> {
    postcard::from_bytes(bytes)
}
