//! Prometheus metrics of an entry.

use std::time::Duration;

use hoisthitch_core::{
    PaidPriority,
    RequestOutcome, //
};
use hoisthitch_store::CallCounts;
use prometheus::{
    HistogramOpts,
    HistogramVec,
    IntCounterVec,
    IntGauge,
    Opts,
    Registry, //
};

/// Bounds of the wait histogram, in seconds.
const WAIT_BUCKETS: [f64; 10] = [0.0005, 0.002, 0.01, 0.05, 0.1, 0.25, 0.5, 1.0, 2.8, 10.0];

/// Metrics of an entry, shared by all its threads.
pub struct EntryMetrics {
    /// Registry of the metrics.
    pub registry: Registry,
    requests: IntCounterVec,
    retries: IntCounterVec,
    wait: HistogramVec,
    mesh_bytes: IntCounterVec,
    mesh_links: IntGauge,
    store_calls: IntCounterVec,
}

impl EntryMetrics {
    /// Creates and registers the metrics.
    ///
    /// # Errors
    ///
    /// Fails if the library rejects a metric.
    pub fn new() -> Result<Self, prometheus::Error> {
        let registry = Registry::new();
        let requests = IntCounterVec::new(
            Opts::new("hoisthitch_requests_total", "Requests answered."),
            &["pool", "priority", "outcome"],
        )?;
        let retries = IntCounterVec::new(
            Opts::new("hoisthitch_retries_total", "Requests sent another time."),
            &["pool"],
        )?;
        let wait = HistogramVec::new(
            HistogramOpts::new(
                "hoisthitch_slot_wait_seconds",
                "Time that requests waited for a slot.",
            )
            .buckets(WAIT_BUCKETS.to_vec()),
            &["pool", "priority"],
        )?;
        let mesh_bytes = IntCounterVec::new(
            Opts::new("hoisthitch_mesh_bytes_total", "Bytes of mesh frames."),
            &["direction"],
        )?;
        let store_calls = IntCounterVec::new(
            Opts::new(
                "hoisthitch_store_calls_total",
                "Calls to the platform's store.",
            ),
            &["kind"],
        )?;
        let mesh_links = IntGauge::new("hoisthitch_mesh_links", "Mesh connections, both ways.")?;
        registry.register(Box::new(mesh_links.clone()))?;
        registry.register(Box::new(mesh_bytes.clone()))?;
        registry.register(Box::new(store_calls.clone()))?;
        registry.register(Box::new(requests.clone()))?;
        registry.register(Box::new(retries.clone()))?;
        registry.register(Box::new(wait.clone()))?;
        Ok(Self {
            registry,
            requests,
            retries,
            wait,
            mesh_bytes,
            mesh_links,
            store_calls,
        })
    }

    /// Counts a request by its outcome.
    pub fn count_request(&self, pool: &str, priority: PaidPriority, outcome: RequestOutcome) {
        self.requests
            .with_label_values(&[pool, priority.as_str(), outcome.as_str()])
            .inc();
    }

    /// Sets the number of mesh connections.
    pub fn set_mesh_links(&self, links: usize) {
        self.mesh_links
            .set(i64::try_from(links).unwrap_or(i64::MAX));
    }

    /// Counts bytes of frames sent on the mesh.
    pub fn count_mesh_sent(&self, bytes: usize) {
        let bytes = u64::try_from(bytes).unwrap_or(u64::MAX);
        self.mesh_bytes.with_label_values(&["sent"]).inc_by(bytes);
    }

    /// Counts bytes of frames received on the mesh.
    pub fn count_mesh_received(&self, bytes: usize) {
        let bytes = u64::try_from(bytes).unwrap_or(u64::MAX);
        self.mesh_bytes
            .with_label_values(&["received"])
            .inc_by(bytes);
    }

    /// Raises the counters of store calls to `counts`.
    pub fn set_store_calls(&self, counts: CallCounts) {
        let kinds = [
            ("read", counts.reads),
            ("write", counts.writes),
            ("watch", counts.watches),
        ];
        for (kind, count) in kinds {
            let counter = self.store_calls.with_label_values(&[kind]);
            counter.inc_by(count.saturating_sub(counter.get()));
        }
    }

    /// Counts a retry.
    pub fn count_retry(&self, pool: &str) {
        self.retries.with_label_values(&[pool]).inc();
    }

    /// Records how long a request waited for a slot.
    pub fn observe_wait(&self, pool: &str, priority: PaidPriority, wait: Duration) {
        self.wait
            .with_label_values(&[pool, priority.as_str()])
            .observe(wait.as_secs_f64());
    }
}
