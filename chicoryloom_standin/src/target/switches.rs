//! What a target can be switched to.

use serde::Deserialize;
use serde::Serialize;

/// What the health endpoint says.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Health {
    /// Healthy unless a fault is on.
    #[default]
    True,
    /// Always healthy.
    Well,
    /// Always sick.
    Sick,
}

/// What the load endpoint says.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Load {
    /// The free slots.
    #[default]
    True,
    /// Always that all slots are free.
    Idle,
    /// Always that no slot is free.
    Busy,
}

/// Size and faults of a target, switched under live traffic.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
#[serde(default)]
pub struct Switches {
    /// Requests that are worked on at once; read at the start only.
    pub slots: u32,
    /// Connections held at once; more are closed on arrival.
    pub connections: u32,
    /// Requests that wait for a slot before the target sheds.
    pub queue: u32,
    /// Time of one run, in milliseconds.
    pub service_ms: u64,
    /// Time for which a new connection holds a slot, if one is free, in milliseconds.
    pub connection_ms: u64,
    /// Time that a probe holds a slot, in milliseconds.
    pub probe_ms: u64,
    /// Factor on the time of a run while the fault is on.
    pub slow_factor: f64,
    /// Share of requests that fail with status 500 while the fault is on.
    pub fail_share: f64,
    /// Share of requests that get no answer while the fault is on.
    pub hang_share: f64,
    /// Share of answers cut in the middle while the fault is on.
    pub cut_share: f64,
    /// Share of answers that echo another request's identifier while the fault is on.
    pub cross_share: f64,
    /// Path prefix that the fault is limited to; empty means all paths.
    pub fault_prefix: String,
    /// Half a period of flapping, in milliseconds; 0 means the fault stays.
    pub flap_ms: u64,
    /// Text in a path that takes the target down; empty means none.
    pub die_on: String,
    /// Time that a target taken down stays away, in milliseconds.
    pub restart_ms: u64,
    /// Time after a start while runs take `cold_factor` as long, in milliseconds.
    pub cold_ms: u64,
    pub cold_factor: f64,
    pub health: Health,
    pub load: Load,
    /// Time by which the health endpoint is behind the switches, in milliseconds.
    pub lag_ms: u64,
    /// Whether requests are shed that can't end before the deadline in their headers.
    pub deadlines: bool,
    /// Whether all requests are shed with "not run".
    pub shed: bool,
    /// Whether the target says that it drains.
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
    /// Tells whether the fault covers a path at a time since the start, in milliseconds.
    pub(super) fn fault_is_active(&self, path: &str, at_ms: u64) -> bool {
        let flapped_off = self.flap_ms > 0 && (at_ms / self.flap_ms).is_multiple_of(2);
        path.starts_with(&self.fault_prefix) && !flapped_off
    }

    /// Tells whether any fault is set.
    pub(super) fn has_fault(&self) -> bool {
        let shares = [self.fail_share, self.hang_share, self.cut_share, self.cross_share];
        self.slow_factor > 1.0 || shares.iter().any(|share| *share > 0.0)
    }
}
