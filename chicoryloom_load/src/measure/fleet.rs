//! What the fleet's own processes and the platform spent.

use serde::Deserialize;
use serde::Serialize;

use crate::sample::HostSample;
use crate::sample::Sample;

/// What the fleet used during a run.
#[derive(Clone, Copy, Debug, Default, PartialEq, Deserialize, Serialize)]
pub struct Usage {
    /// Bytes a second to peers, mean over hosts.
    pub peer_bytes_per_s: f64,
    /// Share of a core, mean over hosts, traffic included.
    pub core_share: f64,
    /// Largest resident memory of a host, in bytes.
    pub resident_max: u64,
    /// Reads and waiting watches at the platform, a second.
    pub platform_reads_per_s: f64,
    pub platform_writes_per_s: f64,
    /// Calls that the platform refused for its limits.
    pub platform_limited: u64,
    /// Share of the hosts' samples in which the host was fresh.
    pub fresh_share: f64,
    /// Times that a host showed an older revision than before.
    pub reverts: usize,
}

/// Works the usage out from the first to the last sample.
pub(crate) fn usage(samples: &[Sample]) -> Usage {
    let (Some(first), Some(last)) = (samples.first(), samples.last()) else {
        return Usage::default();
    };
    let span_s = ((last.at_ms - first.at_ms) / 1000.0).max(f64::MIN_POSITIVE);
    let shown: Vec<_> = samples.iter().flat_map(|sample| &sample.hosts).flatten().collect();
    let rate = |read: fn(&HostSample) -> f64| mean_growth(first, last, read) / span_s;
    let calls = |from: u64, to: u64| to.saturating_sub(from) as f64 / span_s;
    let (before, after) = (first.platform, last.platform);
    Usage {
        peer_bytes_per_s: rate(|host| host.peer_bytes),
        core_share: rate(|host| host.processor_s),
        resident_max: shown.iter().map(|host| host.resident).max().unwrap_or_default(),
        platform_reads_per_s: calls(before.reads + before.watches, after.reads + after.watches),
        platform_writes_per_s: calls(before.writes, after.writes),
        platform_limited: after.limited.saturating_sub(before.limited),
        fresh_share: shown.iter().filter(|host| host.fresh).count() as f64
            / shown.len().max(1) as f64,
        reverts: reverts(samples),
    }
}

/// Returns the growth of a count, mean over the hosts that were not restarted.
fn mean_growth(first: &Sample, last: &Sample, read: fn(&HostSample) -> f64) -> f64 {
    let pairs = first.hosts.iter().zip(&last.hosts);
    let growths = pairs.filter_map(|(first, last)| {
        Some(read(last.as_ref()?) - read(first.as_ref()?)).filter(|growth| *growth >= 0.0)
    });
    let growths: Vec<_> = growths.collect();
    growths.iter().sum::<f64>() / growths.len().max(1) as f64
}

fn reverts(samples: &[Sample]) -> usize {
    let pairs = samples.windows(2).flat_map(|pair| pair[0].hosts.iter().zip(&pair[1].hosts));
    let reverted = |(before, after): &(&Option<HostSample>, &Option<HostSample>)| {
        let (Some(before), Some(after)) = (before, after) else {
            return false;
        };
        // A smaller processor time shows a new process, which starts without state.
        after.revision < before.revision && after.processor_s >= before.processor_s
    };
    pairs.filter(reverted).count()
}
