//! Metrics of the listeners, and the log line of their limits.

use std::{
    cell::RefCell,
    collections::BTreeMap,
    time::Duration, //
};

use hoisthitch_telemetry::event;
use prometheus::{
    IntCounterVec,
    IntGauge,
    IntGaugeVec,
    Opts,
    Registry, //
};
use tokio::time::Instant;

use crate::ledger::CloseReason;

/// Time between two log lines of one thread of a listener.
const LOG_INTERVAL: Duration = Duration::from_secs(1);

/// Gauges and counters of all listeners of a process.
#[derive(Clone, Debug)]
pub struct ListenerMetrics {
    connections: IntGaugeVec,
    body_bytes: IntGaugeVec,
    given_up: IntCounterVec,
}

impl ListenerMetrics {
    /// Registers the metrics.
    ///
    /// # Errors
    ///
    /// Fails when they are registered already.
    pub fn new(registry: &Registry) -> prometheus::Result<Self> {
        let gauge = |name: &str, help: &str| IntGaugeVec::new(Opts::new(name, help), &["listener"]);
        let metrics = Self {
            connections: gauge(
                "hoisthitch_client_connections",
                "Open connections of clients.",
            )?,
            body_bytes: gauge(
                "hoisthitch_client_body_bytes",
                "Memory that bodies of requests count, in bytes.",
            )?,
            given_up: IntCounterVec::new(
                Opts::new(
                    "hoisthitch_clients_given_up_total",
                    "Connections and requests of clients that were ended at a limit.",
                ),
                &["listener", "reason"],
            )?,
        };
        registry.register(Box::new(metrics.connections.clone()))?;
        registry.register(Box::new(metrics.body_bytes.clone()))?;
        registry.register(Box::new(metrics.given_up.clone()))?;
        Ok(metrics)
    }

    /// The metrics of one thread of a listener.
    pub(crate) fn meter(&self, listener: &'static str) -> ListenerMeter {
        ListenerMeter {
            listener,
            connections: self.connections.with_label_values(&[listener]),
            body_bytes: self.body_bytes.with_label_values(&[listener]),
            given_up: self.given_up.clone(),
            unlogged: RefCell::default(),
        }
    }
}

/// Clients that were given up since the last log line.
#[derive(Debug, Default)]
struct UnloggedClients {
    counts: BTreeMap<&'static str, u64>,
    logged_at: Option<Instant>,
}

/// Counts and logs what one thread of a listener holds and whom it gives up.
#[derive(Debug)]
pub(crate) struct ListenerMeter {
    listener: &'static str,
    connections: IntGauge,
    body_bytes: IntGauge,
    given_up: IntCounterVec,
    unlogged: RefCell<UnloggedClients>,
}

impl ListenerMeter {
    pub(crate) fn add_connection(&self) {
        self.connections.inc();
    }

    pub(crate) fn remove_connection(&self) {
        self.connections.dec();
    }

    pub(crate) fn add_body_bytes(&self, bytes: usize) {
        self.body_bytes
            .add(i64::try_from(bytes).unwrap_or(i64::MAX));
    }

    pub(crate) fn remove_body_bytes(&self, bytes: usize) {
        self.body_bytes
            .sub(i64::try_from(bytes).unwrap_or(i64::MAX));
    }

    /// Counts a client that is given up. A flood of them makes one log line a second.
    pub(crate) fn record_given_up(&self, reason: CloseReason, connections: usize, bytes: usize) {
        let name = reason.as_str();
        self.given_up
            .with_label_values(&[self.listener, name])
            .inc();
        let mut unlogged = self.unlogged.borrow_mut();
        *unlogged.counts.entry(name).or_default() += 1;
        let now = Instant::now();
        let is_due = unlogged
            .logged_at
            .is_none_or(|at| now.duration_since(at) >= LOG_INTERVAL);
        if !is_due {
            return;
        }
        unlogged.logged_at = Some(now);
        for (reason, clients) in std::mem::take(&mut unlogged.counts) {
            event!(
                Warn,
                "clients_given_up",
                listener = self.listener,
                reason = reason,
                clients = clients,
                connections = connections,
                body_bytes = bytes
            );
        }
    }
}
