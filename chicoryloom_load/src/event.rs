//! What was brought about in a run, and when.

use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;

/// Something that was brought about, with the time at which it was asked for and confirmed.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
pub(crate) struct Event {
    pub(crate) asked_ms: f64,
    pub(crate) done_ms: f64,
    pub(crate) what: What,
}

/// What was brought about.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum What {
    /// Targets got faults, or lost them.
    Targets {
        indices: Vec<usize>,
        faulty: bool,
    },
    /// A caller's key was withdrawn.
    Withdrawn {
        workspace: usize,
        caller: usize,
    },
    /// A target is leaving.
    Leaving {
        target: usize,
    },
    /// A host got a signal, or came back.
    Host {
        address: SocketAddr,
        change: Change,
    },
    Link {
        on: bool,
    },
    Platform {
        on: bool,
    },
    Poison {
        on: bool,
    },
}

/// What happened to a host.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum Change {
    Paused,
    Killed,
    Terminated,
    /// A terminated host's process ended, between the event's two times.
    Ended,
    Back,
}
