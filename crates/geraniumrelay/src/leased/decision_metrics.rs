//! Metrics of decisions on placement and load: evacuations, worker speeds, shares of queues, waits for data.

use geraniumrelay_core::leased::{LogEvent, NoRunsEvidence};
use prometheus::{IntCounterVec, IntGauge, Opts, Registry};

use super::crossing_reason::CrossingReason;

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

    /// Counts a job that leaves its data centre.
    pub(super) fn count_crossing(&self, reason: CrossingReason) {
        let decision = match reason {
            CrossingReason::Data => "job-goes-to-data",
            CrossingReason::NoNearCell => "job-leaves-without-near-cell",
            CrossingReason::Excess => "job-leaves-full-cells",
            CrossingReason::Declined => "job-leaves-instead-of-waiting",
            CrossingReason::Refused => "job-leaves-after-refusal",
        };
        self.decisions.with_label_values(&[decision]).inc();
    }

    /// Counts the decision that a log event tells of, if it is one of these.
    pub(super) fn count_event(&self, event: &LogEvent) {
        match event {
            LogEvent::JobsEvacuated { jobs, .. } => {
                self.count("job-leaves-evacuated-workers", *jobs);
            }
            LogEvent::TasksStarted { near, far, .. } => {
                self.count("task-starts-near-data", *near);
                self.count("task-starts-far-from-data", *far);
            }
            LogEvent::EarlierRunsExcluded { evidence, .. } => {
                let decision = match evidence {
                    NoRunsEvidence::Reports => "earlier-runs-excluded-by-reports",
                    NoRunsEvidence::Bound => "earlier-runs-excluded-by-bound",
                };
                self.count(decision, 1);
            }
            LogEvent::WorkerDropped {
                has_reported: false,
                ..
            } => self.count("worker-dropped-without-report", 1),
            LogEvent::NearWaitBegun { .. } => self.count("job-waits-for-near-place", 1),
            LogEvent::LabelSpeedChanged {
                is_certain: true, ..
            } => self.count("label-speed-certain", 1),
            LogEvent::LabelSpeedChanged { .. } => self.count("label-speed-uncertain", 1),
            LogEvent::WorkerSpeedsChanged {
                workers,
                others,
                is_certain,
            } => {
                let decision = if *is_certain {
                    "worker-speed-certain"
                } else {
                    "worker-speed-uncertain"
                };
                self.count(decision, workers.len() + others);
            }
            LogEvent::ShareChanged(change) if change.exceeds => {
                self.count("queue-exceeds-share", 1);
            }
            LogEvent::ShareChanged(_) => self.count("queue-returns-to-share", 1),
            _ => {}
        }
    }

    fn count(&self, decision: &str, count: usize) {
        if count > 0 {
            let count = u64::try_from(count).unwrap_or(u64::MAX);
            self.decisions.with_label_values(&[decision]).inc_by(count);
        }
    }
}
