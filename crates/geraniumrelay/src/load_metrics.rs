//! Metrics of decisions under load and faults.

use geraniumrelay_core::query::Load;
use prometheus::{IntCounter, IntGauge, IntGaugeVec};

use crate::registrar::Registrar;

/// Metrics of decisions under load and faults.
#[derive(Debug)]
pub struct LoadMetrics {
    queued: IntGaugeVec,
    running: IntGauge,
    slots: IntGaugeVec,
    ejected: IntGauge,
    limited_teams: IntGauge,
    borrows: IntCounter,
    ejections: IntCounter,
}

impl LoadMetrics {
    /// Registers all of them.
    ///
    /// # Errors
    /// A name that is registered twice.
    pub fn new(make: Registrar<'_>) -> Result<Self, prometheus::Error> {
        Ok(Self {
            queued: make.gauges(
                "geraniumrelay_queued_tasks",
                "Tasks that wait, by urgency",
                "urgency",
            )?,
            running: make.gauge("geraniumrelay_running_tasks", "Tasks sent to targets")?,
            slots: make.gauges(
                "geraniumrelay_slots",
                "Slots here: own, usable or free",
                "state",
            )?,
            ejected: make.gauge(
                "geraniumrelay_targets_ejected",
                "Targets that get trials only",
            )?,
            limited_teams: make.gauge(
                "geraniumrelay_limited_teams",
                "Teams that are kept to their share",
            )?,
            borrows: make.counter(
                "geraniumrelay_borrow_requests_total",
                "Requests to peers for slots",
            )?,
            ejections: make.counter(
                "geraniumrelay_target_ejections_total",
                "Targets that were ejected",
            )?,
        })
    }

    /// Counts a request to a peer for slots.
    pub fn count_borrow_request(&self) {
        self.borrows.inc();
    }

    /// Counts a target that was ejected.
    pub fn count_ejection(&self) {
        self.ejections.inc();
    }

    /// Sets what is a state.
    pub fn set(&self, load: &Load) {
        for (urgency, tasks) in &load.queued {
            let label = urgency.to_string();
            self.queued.with_label_values(&[&label]).set(gauge(*tasks));
        }
        self.running.set(gauge(load.running));
        self.ejected.set(gauge(load.ejected));
        self.limited_teams.set(gauge(load.limited_teams));
        let slots = [
            ("own", load.assigned_slots),
            ("usable", load.usable_slots),
            ("free", load.free_slots),
        ];
        for (state, count) in slots {
            self.slots.with_label_values(&[state]).set(i64::from(count));
        }
    }
}

fn gauge(count: usize) -> i64 {
    i64::try_from(count).unwrap_or(i64::MAX)
}
