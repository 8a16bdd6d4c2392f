//! Processor time and memory of a process.

use std::fs;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

/// What a process has used so far.
#[derive(Clone, Copy, Debug, Default, PartialEq, Deserialize, Serialize)]
pub struct Usage {
    /// Processor time since its start, user and system.
    pub processor: Duration,
    /// Resident memory, in bytes.
    pub resident: u64,
    /// Highest resident memory, in bytes.
    pub resident_peak: u64,
}

impl Usage {
    /// Reads the usage of a process, or returns `None` once it has ended.
    pub(crate) fn of(pid: u32) -> Option<Self> {
        let stat = fs::read_to_string(format!("/proc/{pid}/stat")).ok()?;
        let status = fs::read_to_string(format!("/proc/{pid}/status")).ok()?;
        Some(Self {
            processor: processor(&stat)?,
            resident: kilobytes(&status, "VmRSS:")?,
            resident_peak: kilobytes(&status, "VmHWM:")?,
        })
    }
}

/// Reads the user and system time, which stand 12 and 13 fields behind the program's name.
fn processor(stat: &str) -> Option<Duration> {
    let (_, fields) = stat.rsplit_once(") ")?;
    let mut fields = fields.split(' ').skip(11);
    let user: u64 = fields.next()?.parse().ok()?;
    let system: u64 = fields.next()?.parse().ok()?;
    let ticks = rustix::param::clock_ticks_per_second();
    Some(Duration::from_millis((user + system) * 1000 / ticks))
}

fn kilobytes(status: &str, name: &str) -> Option<u64> {
    let line = status.lines().find(|line| line.starts_with(name))?;
    let number: u64 = line.split_whitespace().nth(1)?.parse().ok()?;
    Some(number * 1024)
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn own_usage_is_read() {
        let usage = Usage::of(std::process::id()).unwrap();
        assert!(usage.resident > 0);
        assert!(usage.resident_peak >= usage.resident);
    }
}
