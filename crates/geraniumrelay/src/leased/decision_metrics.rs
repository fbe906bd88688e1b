//! Metrics of decisions on placement and load: evacuations, worker speeds, shares of queues, waits for data.

use geraniumrelay_core::leased::LogEvent;
use prometheus::{IntCounterVec, IntGauge, Opts, Registry};

/// Counters and gauges of these decisions.
#[derive(Debug)]
pub(super) struct DecisionMetrics {
    evacuated: IntGauge,
    decisions: IntCounterVec,
}

impl DecisionMetrics {
    pub(super) fn new(registry: &Registry) -> prometheus::Result<Self> {
        let evacuated = IntGauge::new(
            "evacuated_data_centres",
            "Data centres in which nothing more may start",
        )?;
        registry.register(Box::new(evacuated.clone()))?;
        let opts = Opts::new("decisions_total", "Decisions on placement and load");
        let decisions = IntCounterVec::new(opts, &["decision"])?;
        registry.register(Box::new(decisions.clone()))?;
        Ok(Self {
            evacuated,
            decisions,
        })
    }

    pub(super) fn set_evacuated(&self, data_centres: usize) {
        self.evacuated
            .set(i64::try_from(data_centres).unwrap_or(i64::MAX));
    }

    /// Counts the decision that a log event tells of, if it is one of these.
    pub(super) fn count_event(&self, event: &LogEvent) {
        let (decision, count) = match event {
            LogEvent::JobsEvacuated { jobs, .. } => ("job-leaves-evacuated-workers", *jobs),
            LogEvent::ShareChanged(change) if change.exceeds => ("queue-exceeds-share", 1),
            LogEvent::ShareChanged(_) => ("queue-returns-to-share", 1),
            _ => return,
        };
        let count = u64::try_from(count).unwrap_or(u64::MAX);
        self.decisions.with_label_values(&[decision]).inc_by(count);
    }
}
