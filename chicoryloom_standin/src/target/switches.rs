//! Capacity and fault switches of a target.

use serde::Deserialize;
use serde::Serialize;

/// What the health endpoint reports.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Health {
    /// Healthy unless a fault is active.
    #[default]
    True,
    /// Always healthy.
    Well,
    /// Always unhealthy.
    Sick,
}

/// What the load endpoint reports.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Load {
    /// The actual number of free slots.
    #[default]
    True,
    /// Always that all slots are free.
    Idle,
    /// Always that no slot is free.
    Busy,
}

/// Capacity and faults of a target; they can be changed under live traffic.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
#[serde(default)]
pub struct Switches {
    /// Limit on requests processed at once; read only at startup.
    pub slots: u32,
    /// Limit on open connections; any beyond it are closed on accept.
    pub connections: u32,
    /// Limit on requests that wait for a slot; any beyond it are shed.
    pub queue: u32,
    /// Time to process one request, in milliseconds.
    pub service_ms: u64,
    /// Time for which a new connection holds a slot, if one is free, in milliseconds.
    pub connection_ms: u64,
    /// Time that a probe holds a slot, in milliseconds.
    pub probe_ms: u64,
    /// Factor on `service_ms` while the fault is active.
    pub slow_factor: f64,
    /// Share of requests that fail with status 500 while the fault is active.
    pub fail_share: f64,
    /// Share of requests that get no response while the fault is active.
    pub hang_share: f64,
    /// Share of responses truncated halfway while the fault is active.
    pub cut_share: f64,
    /// Share of responses with another request's identifier while the fault is active.
    pub cross_share: f64,
    /// Path prefix to which the fault is limited; empty means all paths.
    pub fault_prefix: String,
    /// Half the period in which the fault turns off and on, in milliseconds; 0 keeps it on.
    pub flap_ms: u64,
    /// A request whose path contains this text takes the target down; empty means none does.
    pub die_on: String,
    /// Time for which a target that was taken down stays down, in milliseconds.
    pub restart_ms: u64,
    /// Time after a start during which requests take `cold_factor` times as long, in milliseconds.
    pub cold_ms: u64,
    pub cold_factor: f64,
    pub health: Health,
    pub load: Load,
    /// Time by which the health endpoint lags behind the switches, in milliseconds.
    pub lag_ms: u64,
    /// Whether to shed requests that can't end before the deadline in their headers.
    pub deadlines: bool,
    /// Whether to shed all requests, with the header that says they did not run.
    pub shed: bool,
    /// Whether responses carry the header that says the target is draining.
    pub draining: bool,
}

impl Default for Switches {
    fn default() -> Self {
        Self {
            slots: 2,
            connections: 350,
            queue: 64,
            service_ms: 5,
            connection_ms: 1,
            probe_ms: 25,
            slow_factor: 1.0,
            fail_share: 0.0,
            hang_share: 0.0,
            cut_share: 0.0,
            cross_share: 0.0,
            fault_prefix: String::new(),
            flap_ms: 0,
            die_on: String::new(),
            restart_ms: 1000,
            cold_ms: 0,
            cold_factor: 3.0,
            health: Health::True,
            load: Load::True,
            lag_ms: 0,
            deadlines: true,
            shed: false,
            draining: false,
        }
    }
}

impl Switches {
    /// Returns whether the fault applies to a path at a time since the start, in milliseconds.
    pub(super) fn fault_is_active(&self, path: &str, at_ms: u64) -> bool {
        let flapped_off = self.flap_ms > 0 && (at_ms / self.flap_ms).is_multiple_of(2);
        path.starts_with(&self.fault_prefix) && !flapped_off
    }

    /// Returns whether any fault is configured.
    pub(super) fn has_fault(&self) -> bool {
        let shares = [self.fail_share, self.hang_share, self.cut_share, self.cross_share];
        self.slow_factor > 1.0 || shares.iter().any(|share| *share > 0.0)
    }
}
