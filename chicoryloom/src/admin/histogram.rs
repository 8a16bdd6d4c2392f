//! Latency histograms by service, workspace, class and status.

use std::collections::BTreeMap;

use prometheus::proto::Metric;
use serde::Serialize;

use crate::metrics::Metrics;
use crate::metrics::REQUEST_SECONDS;

/// Latencies of one service, workspace, class and status.
#[derive(Clone, Debug, Serialize)]
pub(super) struct Histogram {
    labels: BTreeMap<String, String>,
    count: u64,
    /// Sum of all latencies, in seconds.
    sum_s: f64,
    /// Cumulative buckets; the one without an upper bound is left out.
    buckets: Vec<Bucket>,
    /// Upper bound of the bucket that holds the median, in seconds; none above the last bound.
    p50_s: Option<f64>,
    p99_s: Option<f64>,
}

/// Number of requests up to an upper bound.
#[derive(Clone, Debug, Serialize)]
struct Bucket {
    up_to_s: f64,
    count: u64,
}

/// Returns all histograms of this host.
pub(super) fn all(metrics: &Metrics) -> Vec<Histogram> {
    let families = metrics.gather();
    let family = families.iter().find(|family| family.name() == REQUEST_SECONDS);
    family.map_or(Vec::new(), |family| family.get_metric().iter().map(histogram).collect())
}

fn histogram(metric: &Metric) -> Histogram {
    let histogram = metric.get_histogram();
    let labels = metric.get_label().iter();
    let labels = labels.map(|pair| (pair.name().to_owned(), pair.value().to_owned()));
    let buckets = histogram.get_bucket().iter();
    let buckets: Vec<_> = buckets
        .map(|bucket| Bucket { up_to_s: bucket.upper_bound(), count: bucket.cumulative_count() })
        .filter(|bucket| bucket.up_to_s.is_finite())
        .collect();
    let count = histogram.get_sample_count();
    Histogram {
        labels: labels.filter(|(name, _)| !name.starts_with("otel_")).collect(),
        count,
        sum_s: histogram.get_sample_sum(),
        p50_s: quantile(&buckets, count, 0.5),
        p99_s: quantile(&buckets, count, 0.99),
        buckets,
    }
}

fn quantile(buckets: &[Bucket], count: u64, quantile: f64) -> Option<f64> {
    let rank = (count as f64 * quantile).ceil() as u64;
    buckets.iter().find(|bucket| bucket.count >= rank).map(|bucket| bucket.up_to_s)
}
