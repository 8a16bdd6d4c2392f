//! Metrics of the host.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::RwLock;
use std::time::Duration;

use chicoryloom_policy::id;
use chicoryloom_wire::caller::Code;
use chicoryloom_wire::frame;
use opentelemetry::KeyValue;
use opentelemetry::metrics::Counter;
use opentelemetry::metrics::Histogram;
use opentelemetry::metrics::Meter;
use opentelemetry::metrics::MeterProvider;
use opentelemetry_sdk::metrics::Instrument;
use opentelemetry_sdk::metrics::SdkMeterProvider;
use opentelemetry_sdk::metrics::Stream;
use prometheus::Encoder;
use prometheus::Registry;
use prometheus::TextEncoder;
use prometheus::proto::MetricFamily;
use smol_str::SmolStr;

/// Upper bounds of the latency buckets, in seconds.
const LATENCY_BUCKETS: [f64; 14] =
    [0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0, 10.0, 60.0];

/// Name of the latency histogram.
pub(crate) const REQUEST_SECONDS: &str = "chicory_request_seconds";

/// Maximum number of label sets with their own workspace label; later ones share
/// [`OTHER_WORKSPACES`].
const MAX_SERIES: usize = 1024;
/// Workspace label of label sets above [`MAX_SERIES`]; no workspace has it.
const OTHER_WORKSPACES: &str = "_other";
/// Maximum number of attribute sets of one instrument; more than [`MAX_SERIES`] times the statuses.
const CARDINALITY_LIMIT: usize = 8 * MAX_SERIES;
/// Values of the status label, indexed by the first digit of the status code.
const STATUS_CLASSES: [&str; 6] = ["other", "1xx", "2xx", "3xx", "4xx", "5xx"];

/// Metrics of one host.
#[derive(Debug)]
pub(crate) struct Metrics {
    registry: Registry,
    /// Keeps the instruments alive.
    _provider: SdkMeterProvider,
    meter: Meter,
    series: RwLock<HashMap<Labels, Arc<Series>>>,
    requests: Histogram<f64>,
    refusals: Counter<u64>,
    handed_over: Counter<u64>,
    frames_dropped: Counter<u64>,
    peer_bytes: Counter<u64>,
}

/// Attributes of one label set, by status.
type Series = [[KeyValue; 4]; STATUS_CLASSES.len()];

/// Labels that a request is counted under.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub(crate) struct Labels {
    pub(crate) service: id::Service,
    pub(crate) workspace: Option<SmolStr>,
    pub(crate) class: id::Class,
}

impl Metrics {
    pub(crate) fn new() -> Self {
        let registry = Registry::new();
        let exporter = opentelemetry_prometheus::exporter()
            .with_registry(registry.clone())
            .build()
            .expect("an empty registry accepts the exporter");
        let limit_cardinality = |_: &Instrument| {
            Stream::builder().with_cardinality_limit(CARDINALITY_LIMIT).build().ok()
        };
        let provider =
            SdkMeterProvider::builder().with_reader(exporter).with_view(limit_cardinality).build();
        let meter = provider.meter("chicoryloom");
        Self {
            requests: meter
                .f64_histogram(REQUEST_SECONDS)
                .with_description("Time to the head of the answer.")
                .with_boundaries(LATENCY_BUCKETS.to_vec())
                .build(),
            refusals: meter.u64_counter("chicory_refusals").build(),
            handed_over: meter.u64_counter("chicory_handed_over").build(),
            frames_dropped: meter.u64_counter("chicory_frames_dropped").build(),
            peer_bytes: meter.u64_counter("chicory_peer_bytes_sent").build(),
            registry,
            series: RwLock::default(),
            meter,
            _provider: provider,
        }
    }

    /// Records the latency of an answered request.
    pub(crate) fn request(&self, labels: &Labels, status: u16, took: Duration) {
        let series = self.series(labels);
        let status = usize::from(status / 100);
        let attributes = series.get(status).unwrap_or(&series[0]);
        self.requests.record(took.as_secs_f64(), attributes);
    }

    fn series(&self, labels: &Labels) -> Arc<Series> {
        let known = self.series.read().expect("no holder of the lock panics").get(labels).cloned();
        known.unwrap_or_else(|| self.add_series(labels))
    }

    /// Adds a label set; above [`MAX_SERIES`], returns the shared one of its service and class.
    fn add_series(&self, labels: &Labels) -> Arc<Series> {
        let mut series = self.series.write().expect("no holder of the lock panics");
        if series.len() < MAX_SERIES {
            let workspace = labels.workspace.as_deref().unwrap_or_default();
            return series
                .entry(labels.clone())
                .or_insert_with(|| attributes(labels, workspace))
                .clone();
        }
        drop(series);
        attributes(labels, OTHER_WORKSPACES)
    }

    /// Registers a gauge whose value is read at each scrape.
    pub(crate) fn register_gauge<F>(&self, name: &'static str, description: &'static str, read: F)
    where
        F: Fn() -> u64 + Send + Sync + 'static,
    {
        self.meter
            .u64_observable_gauge(name)
            .with_description(description)
            .with_callback(move |observer| observer.observe(read(), &[]))
            .build();
    }

    /// Registers a gauge with one value for each value of a label, read at each scrape.
    pub(crate) fn register_labelled_gauge<F>(
        &self,
        name: &'static str,
        description: &'static str,
        label: &'static str,
        read: F,
    ) where
        F: Fn() -> Vec<(String, u64)> + Send + Sync + 'static,
    {
        self.meter
            .u64_observable_gauge(name)
            .with_description(description)
            .with_callback(move |observer| {
                for (of, value) in read() {
                    observer.observe(value, &[KeyValue::new(label, of)]);
                }
            })
            .build();
    }

    /// Counts a request that was handed over to another holder of the grant.
    pub(crate) fn handed_over(&self) {
        self.handed_over.add(1, &[]);
    }

    /// Counts a refusal.
    pub(crate) fn refusal(&self, code: Code) {
        self.refusals.add(1, &[KeyValue::new("code", code.as_str())]);
    }

    /// Counts a refusal that a gateway generated itself.
    pub(crate) fn gateway_refusal(&self, reason: &'static str) {
        self.refusals.add(1, &[KeyValue::new("code", reason)]);
    }

    /// Counts a datagram that was dropped because it is no genuine frame.
    pub(crate) fn frame_dropped(&self, error: frame::Error) {
        self.frames_dropped.add(1, &[KeyValue::new("reason", error.to_string())]);
    }

    /// Counts bytes sent to peers.
    pub(crate) fn peer_bytes(&self, bytes: usize) {
        self.peer_bytes.add(bytes as u64, &[]);
    }

    /// Returns the current metrics.
    pub(crate) fn gather(&self) -> Vec<MetricFamily> {
        self.registry.gather()
    }

    /// Returns the current metrics in the text format of Prometheus.
    pub(crate) fn render(&self) -> String {
        let mut page = Vec::new();
        match TextEncoder::new().encode(&self.registry.gather(), &mut page) {
            Ok(()) => String::from_utf8_lossy(&page).into_owned(),
            Err(error) => format!("# {error}\n"),
        }
    }
}

/// Returns the label of a workspace: its name, or its id where the label has another meaning.
pub(crate) fn workspace_label(id: &id::Workspace, name: &SmolStr) -> SmolStr {
    if name.is_empty() || name == OTHER_WORKSPACES {
        SmolStr::from(id.clone())
    } else {
        name.clone()
    }
}

fn attributes(labels: &Labels, workspace: &str) -> Arc<Series> {
    Arc::new(STATUS_CLASSES.map(|status| {
        [
            KeyValue::new("service", labels.service.to_string()),
            KeyValue::new("workspace", workspace.to_owned()),
            KeyValue::new("class", labels.class.to_string()),
            KeyValue::new("status", status),
        ]
    }))
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Number of workspaces that the system is designed for.
    const WORKSPACES: usize = 29_000;

    #[test]
    fn workspaces_above_the_limit_share_a_series_and_stay_counted() {
        let metrics = Metrics::new();
        for index in 0..WORKSPACES {
            let labels = Labels {
                service: "calendar".parse().unwrap(),
                workspace: Some(format!("w{index}").into()),
                class: "default".parse().unwrap(),
            };
            metrics.request(&labels, 200, Duration::from_millis(1));
        }
        let families = metrics.gather();
        let family = families.iter().find(|family| family.name() == REQUEST_SECONDS).unwrap();
        let counts =
            family.get_metric().iter().map(|metric| metric.get_histogram().get_sample_count());
        assert_eq!(family.get_metric().len(), MAX_SERIES + 1);
        assert_eq!(counts.sum::<u64>(), WORKSPACES as u64);
    }
}
