//! Metrics that tell why runs ended, or what may let them go on without a caller.

use geraniumrelay_core::leased::LogEvent;
use prometheus::{IntCounter, IntCounterVec, Opts, Registry};

/// Counters of the ends of runs, and of what precedes them.
#[derive(Debug)]
pub(super) struct RunMetrics {
    unsuccessful_runs: IntCounterVec,
    instance_changes: IntCounterVec,
    unclaimed_runs: IntCounter,
    unanswered_stops: IntCounter,
    entry_jobs_dropped: IntCounterVec,
    unsent_withdrawals: IntCounterVec,
}

impl RunMetrics {
    pub(super) fn new(registry: &Registry) -> prometheus::Result<Self> {
        let counters =
            |name: &str, help: &str, labels: &[&str]| -> prometheus::Result<IntCounterVec> {
                let counter = IntCounterVec::new(Opts::new(name, help), labels)?;
                registry.register(Box::new(counter.clone()))?;
                Ok(counter)
            };
        let counter = |name: &str, help: &str| -> prometheus::Result<IntCounter> {
            let counter = IntCounter::new(name, help)?;
            registry.register(Box::new(counter.clone()))?;
            Ok(counter)
        };
        Ok(Self {
            unsuccessful_runs: counters(
                "unsuccessful_runs_total",
                "Runs that ended without success, by kind of the end and why they count as ended",
                &["kind", "evidence"],
            )?,
            instance_changes: counters(
                "worker_instance_changes_total",
                "Messages that named an instance of a worker other than the known one",
                &["source"],
            )?,
            unclaimed_runs: counter(
                "unclaimed_runs_total",
                "Runs listed by a worker that the scheduler did not know",
            )?,
            unanswered_stops: counter(
                "unanswered_stops_total",
                "Lines on orders to stop a run that have got no answer",
            )?,
            entry_jobs_dropped: counters(
                "entry_jobs_dropped_total",
                "Jobs of entry VMs that are taken for gone, by cause",
                &["cause"],
            )?,
            unsent_withdrawals: counters(
                "withdrawals_not_sent_total",
                "Jobs without a caller of which no scheduler is told, by reason",
                &["reason"],
            )?,
        })
    }

    /// Counts what a log event tells of the ends of runs, if it tells of any.
    pub(super) fn count_event(&self, event: &LogEvent) {
        match event {
            LogEvent::RunEnded { kind, evidence, .. } => {
                let labels = [kind.to_string(), evidence.to_string()];
                let labels = labels.each_ref().map(String::as_str);
                self.unsuccessful_runs.with_label_values(&labels).inc();
            }
            LogEvent::InstanceChanged { source, .. } => {
                let changes = &self.instance_changes;
                changes.with_label_values(&[&source.to_string()]).inc();
            }
            LogEvent::RunUnclaimed { .. } => self.unclaimed_runs.inc(),
            LogEvent::StopUnanswered { .. } => self.unanswered_stops.inc(),
            LogEvent::EntryJobsDropped { cause, jobs, .. } => {
                let dropped = &self.entry_jobs_dropped;
                let jobs = u64::try_from(*jobs).unwrap_or(u64::MAX);
                dropped
                    .with_label_values(&[&cause.to_string()])
                    .inc_by(jobs);
            }
            _ => {}
        }
    }

    /// Counts a withdrawal that no scheduler gets, by the reason.
    pub(super) fn count_unsent_withdrawal(&self, reason: &str) {
        self.unsent_withdrawals.with_label_values(&[reason]).inc();
    }
}
