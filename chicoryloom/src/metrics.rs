//! Metrics of the host.

use std::time::Duration;

use chicoryloom_policy::id;
use chicoryloom_wire::caller::Code;
use chicoryloom_wire::frame;
use opentelemetry::KeyValue;
use opentelemetry::metrics::Counter;
use opentelemetry::metrics::Histogram;
use opentelemetry::metrics::MeterProvider;
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::Encoder;
use prometheus::Registry;
use prometheus::TextEncoder;
use prometheus::proto::MetricFamily;

/// Bounds of the latency histograms, in seconds.
const LATENCY_BOUNDS: [f64; 14] =
    [0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0, 10.0, 60.0];

/// Name of the latency histograms.
pub(crate) const REQUESTS: &str = "chicory_request_seconds";

/// Metrics of one host.
#[derive(Debug)]
pub(crate) struct Metrics {
    registry: Registry,
    /// Keeps the instruments alive.
    _provider: SdkMeterProvider,
    requests: Histogram<f64>,
    refusals: Counter<u64>,
    frames_dropped: Counter<u64>,
    peer_bytes: Counter<u64>,
}

/// What a request is counted under.
#[derive(Clone, Debug)]
pub(crate) struct Labels {
    pub(crate) service: id::Service,
    pub(crate) workspace: Option<id::Workspace>,
    pub(crate) class: id::Class,
}

impl Metrics {
    pub(crate) fn new() -> Self {
        let registry = Registry::new();
        let exporter = opentelemetry_prometheus::exporter()
            .with_registry(registry.clone())
            .build()
            .expect("an empty registry takes the exporter");
        let provider = SdkMeterProvider::builder().with_reader(exporter).build();
        let meter = provider.meter("chicoryloom");
        Self {
            requests: meter
                .f64_histogram(REQUESTS)
                .with_description("Time to the head of the answer.")
                .with_boundaries(LATENCY_BOUNDS.to_vec())
                .build(),
            refusals: meter.u64_counter("chicory_refusals").build(),
            frames_dropped: meter.u64_counter("chicory_frames_dropped").build(),
            peer_bytes: meter.u64_counter("chicory_peer_bytes_sent").build(),
            registry,
            _provider: provider,
        }
    }

    /// Counts an answered request.
    pub(crate) fn request(&self, labels: &Labels, status: u16, took: Duration) {
        let workspace = labels.workspace.as_ref().map_or("", id::Workspace::as_str).to_owned();
        let values = [
            KeyValue::new("service", labels.service.to_string()),
            KeyValue::new("workspace", workspace),
            KeyValue::new("class", labels.class.to_string()),
            KeyValue::new("status", i64::from(status)),
        ];
        self.requests.record(took.as_secs_f64(), &values);
    }

    /// Counts a refusal.
    pub(crate) fn refusal(&self, code: Code) {
        self.refusals.add(1, &[KeyValue::new("code", code.as_str())]);
    }

    /// Counts a datagram that is no genuine frame.
    pub(crate) fn frame_dropped(&self, error: frame::Error) {
        self.frames_dropped.add(1, &[KeyValue::new("reason", error.to_string())]);
    }

    /// Counts bytes sent to peers.
    pub(crate) fn peer_bytes(&self, bytes: usize) {
        self.peer_bytes.add(bytes as u64, &[]);
    }

    /// Returns all metrics as they are now.
    pub(crate) fn gather(&self) -> Vec<MetricFamily> {
        self.registry.gather()
    }

    /// Returns all metrics in Prometheus' text format.
    pub(crate) fn page(&self) -> String {
        let mut page = Vec::new();
        match TextEncoder::new().encode(&self.registry.gather(), &mut page) {
            Ok(()) => String::from_utf8_lossy(&page).into_owned(),
            Err(error) => format!("# {error}\n"),
        }
    }
}
