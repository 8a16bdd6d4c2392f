//! Samples of what the fleet uses, for figures beside the verdicts.

use std::time::Duration;

use chicoryloom_harness::Fleet;
use chicoryloom_standin::platform;
use futures::future::join_all;
use serde::Deserialize;
use serde::Serialize;

/// Longest wait for one host's answer; a paused one gives none.
const HOST_TIMEOUT: Duration = Duration::from_millis(700);
/// Metric with the bytes that a host sent to peers.
const PEER_BYTES: &str = "chicory_peer_bytes_sent";

/// The state of one host at one time.
#[derive(Clone, Debug, Default, PartialEq, Deserialize, Serialize)]
pub(crate) struct HostSample {
    pub(crate) fresh: bool,
    pub(crate) revision: u64,
    pub(crate) peer_bytes: f64,
    pub(crate) processor_s: f64,
    pub(crate) resident: u64,
}

/// The state of the fleet at one time.
#[derive(Clone, Debug, Default, PartialEq, Deserialize, Serialize)]
pub(crate) struct Sample {
    pub(crate) at_ms: f64,
    /// Hosts in order; none for one that gave no answer.
    pub(crate) hosts: Vec<Option<HostSample>>,
    pub(crate) platform: platform::Counts,
}

/// Takes a sample of all hosts at once.
pub(crate) async fn take(fleet: &Fleet, at_ms: f64) -> Sample {
    let hosts = (0..fleet.hosts.len()).map(|index| host(fleet, index));
    let hosts = join_all(hosts).await;
    let platform = fleet.platform_counts().await.unwrap_or_default();
    Sample { at_ms, hosts, platform }
}

async fn host(fleet: &Fleet, index: usize) -> Option<HostSample> {
    let usage = fleet.hosts[index].process.usage()?;
    let calls = async { tokio::join!(fleet.status(index), fleet.metrics(index)) };
    let (status, page) = tokio::time::timeout(HOST_TIMEOUT, calls).await.ok()?;
    let (status, page) = (status.ok()?, page.ok()?);
    Some(HostSample {
        fresh: status["fresh"] == true,
        revision: status["revision"].as_u64().unwrap_or_default(),
        peer_bytes: metric(&page, PEER_BYTES),
        processor_s: usage.processor.as_secs_f64(),
        resident: usage.resident,
    })
}

/// Sums the values of all series of a metric.
pub(crate) fn metric(page: &str, name: &str) -> f64 {
    let lines = page.lines().filter(|line| line.starts_with(name));
    lines.filter_map(|line| line.rsplit_once(' ')?.1.parse::<f64>().ok()).sum()
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn series_of_a_metric_are_summed() {
        let page = "# HELP chicory_x_total\nchicory_x_total{a=\"1\"} 2\nchicory_x_total 3\n";
        assert!((metric(page, "chicory_x") - 5.0).abs() < 1e-9);
    }
}
