//! Expected run time of a task on a given worker.
//!
//! Expected run time = expected work of the task x factor of the worker. Placement, start orders, pace checks and
//! learnt estimates use the same product, so that a property of the worker is not taken for one of the task.

use super::spec::StepSpec;
use super::speed::Speeds;
use super::worker::Worker;

/// What is known of the workers' effect on run times.
#[derive(Debug)]
pub(super) struct RunTimes {
    pub(super) speeds: Speeds,
    /// Multiple of the run time away from the preferred rack, at least 1.
    pub(super) remote_factor: f64,
}

impl Default for RunTimes {
    fn default() -> Self {
        Self {
            speeds: Speeds::default(),
            remote_factor: 1.0,
        }
    }
}

impl RunTimes {
    /// Factor for the run time of a task of `step` on `worker`: 1 on a nominal worker near the task's data.
    pub(super) fn factor(&self, worker: &Worker, step: &StepSpec) -> f64 {
        worker.speed * self.locality_factor(worker, step)
    }

    fn locality_factor(&self, worker: &Worker, step: &StepSpec) -> f64 {
        if step.is_near(worker) {
            1.0
        } else {
            self.remote_factor
        }
    }
}
