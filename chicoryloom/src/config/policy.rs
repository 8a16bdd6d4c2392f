//! Selection of the algorithms and timings that experiments compare.

use std::time::Duration;

use chicoryloom_wire::generated::settings as raw;

use super::Fault;

/// How a grant is divided among the home hosts.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Division {
    /// Shares and transfers follow where callers connect.
    Demand,
    /// Every home host gets the same share.
    Equal,
    /// A single home host gets the whole grant.
    Single,
}

/// How gray failures of targets are detected.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Detection {
    /// A sequential test on log-likelihoods.
    Sequential,
    /// A count of consecutive failures.
    Consecutive,
    /// An error rate over a fixed window.
    Window,
}

/// Algorithms and timings.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Policy {
    /// How long a confirmation keeps a host fresh, so that it may serve.
    pub fresh_window: Duration,
    /// Interval of heartbeats; at most a third of the fresh window.
    pub heartbeat: Duration,
    pub division: Division,
    pub detection: Detection,
}

impl TryFrom<raw::Policy> for Policy {
    type Error = Fault;

    fn try_from(raw: raw::Policy) -> Result<Self, Self::Error> {
        if raw.heartbeat_ms == 0 || raw.heartbeat_ms.saturating_mul(3) > raw.fresh_window_ms {
            let reason = "must be above 0 and at most a third of policy.fresh_window_ms";
            return Err(Fault::new("policy.heartbeat_ms", reason));
        }
        Ok(Self {
            fresh_window: Duration::from_millis(raw.fresh_window_ms.into()),
            heartbeat: Duration::from_millis(raw.heartbeat_ms.into()),
            division: division(&raw.division)?,
            detection: detection(&raw.detection)?,
        })
    }
}

fn division(text: &str) -> Result<Division, Fault> {
    match text {
        "demand" => Ok(Division::Demand),
        "equal" => Ok(Division::Equal),
        "single" => Ok(Division::Single),
        _ => Err(Fault::new("policy.division", "must be demand, equal or single")),
    }
}

fn detection(text: &str) -> Result<Detection, Fault> {
    match text {
        "sequential" => Ok(Detection::Sequential),
        "consecutive" => Ok(Detection::Consecutive),
        "window" => Ok(Detection::Window),
        _ => Err(Fault::new("policy.detection", "must be sequential, consecutive or window")),
    }
}
