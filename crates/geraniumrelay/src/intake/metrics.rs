//! Metrics of what clients' connections hold.

use prometheus::{IntCounter, IntCounterVec, IntGauge, Opts, Registry};

/// Gauges of what clients' connections hold, and counters of those that were closed to make room.
#[derive(Debug, Clone)]
pub(crate) struct IntakeMetrics {
    bytes: IntGauge,
    connections: IntGauge,
    closed: IntCounterVec,
    refused: IntCounter,
}

impl IntakeMetrics {
    /// Registers the metrics; their names begin with `prefix`.
    ///
    /// # Errors
    /// A metric of the same name is registered already.
    pub(crate) fn new(registry: &Registry, prefix: &str) -> prometheus::Result<Self> {
        let name = |name: &str| format!("{prefix}client_{name}");
        let metrics = Self {
            bytes: IntGauge::new(name("held_bytes"), "Memory that clients' connections hold")?,
            connections: IntGauge::new(name("connections"), "Open connections of clients")?,
            closed: IntCounterVec::new(
                Opts::new(
                    name("connections_evicted_total"),
                    "Connections of clients closed or refused to make room, by what was used up",
                ),
                &["reason"],
            )?,
            refused: IntCounter::new(
                name("requests_without_memory_total"),
                "Requests refused as there was no memory for them",
            )?,
        };
        registry.register(Box::new(metrics.bytes.clone()))?;
        registry.register(Box::new(metrics.connections.clone()))?;
        registry.register(Box::new(metrics.closed.clone()))?;
        registry.register(Box::new(metrics.refused.clone()))?;
        Ok(metrics)
    }

    pub(super) fn set_held(&self, bytes: usize, connections: usize) {
        self.bytes.set(i64::try_from(bytes).unwrap_or(i64::MAX));
        self.connections
            .set(i64::try_from(connections).unwrap_or(i64::MAX));
    }

    pub(super) fn count_closed(&self, reason: &str) {
        self.closed.with_label_values(&[reason]).inc();
    }

    pub(super) fn count_refused(&self) {
        self.refused.inc();
    }
}
