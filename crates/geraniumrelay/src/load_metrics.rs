//! Metrics of load: queued and running tasks, slots, ejected targets and limited teams.

use geraniumrelay_core::query::Load;
use prometheus::{IntCounter, IntGauge, IntGaugeVec};

use crate::registrar::Registrar;

/// Metrics of load, slot loans and target ejections on this entry VM.
#[derive(Debug)]
pub struct LoadMetrics {
    queued: IntGaugeVec,
    running: IntGauge,
    slots: IntGaugeVec,
    ejected_targets: IntGauge,
    limited_teams: IntGauge,
    borrow_requests: IntCounter,
    ejections: IntCounter,
}

impl LoadMetrics {
    /// Registers the metrics.
    ///
    /// # Errors
    /// A metric of the same name is registered already.
    pub fn new(registrar: Registrar<'_>) -> Result<Self, prometheus::Error> {
        Ok(Self {
            queued: registrar.gauges(
                "geraniumrelay_queued_tasks",
                "Tasks that wait, by urgency",
                "urgency",
            )?,
            running: registrar.gauge("geraniumrelay_running_tasks", "Tasks sent to targets")?,
            slots: registrar.gauges(
                "geraniumrelay_slots",
                "Slots here: own, usable or free",
                "state",
            )?,
            ejected_targets: registrar.gauge(
                "geraniumrelay_targets_ejected",
                "Targets that get trials only",
            )?,
            limited_teams: registrar.gauge(
                "geraniumrelay_limited_teams",
                "Teams that are kept to their share",
            )?,
            borrow_requests: registrar.counter(
                "geraniumrelay_borrow_requests_total",
                "Requests to peers for slots",
            )?,
            ejections: registrar.counter(
                "geraniumrelay_target_ejections_total",
                "Targets that were ejected",
            )?,
        })
    }

    /// Counts a borrow request to a peer.
    pub fn count_borrow_request(&self) {
        self.borrow_requests.inc();
    }

    /// Counts the ejection of a target.
    pub fn count_ejection(&self) {
        self.ejections.inc();
    }

    /// Sets the gauges from a snapshot of the load.
    pub fn set(&self, load: &Load) {
        for (urgency, tasks) in &load.queued {
            let label = urgency.to_string();
            self.queued.with_label_values(&[&label]).set(gauge(*tasks));
        }
        self.running.set(gauge(load.running));
        self.ejected_targets.set(gauge(load.ejected));
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
