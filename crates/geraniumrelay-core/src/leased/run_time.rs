//! Expected run time of a task on a given worker.
//!
//! Expected run time = expected work of the task x factor of the worker. Placement, start orders, pace checks and
//! learnt estimates use the same product, so that a property of the worker is not taken for one of the task.

use super::spec::StepSpec;
use super::speed::Speeds;
use super::worker::Worker;

/// What is known of the workers' effect on run times.
#[derive(Debug, Default)]
pub(super) struct RunTimes {
    pub(super) speeds: Speeds,
}

impl RunTimes {
    /// Factor for the run time of a task of `step` on `worker`: 1 on a nominal worker near the task's data.
    #[expect(
        clippy::unused_self,
        reason = "the factor of the data's place is to come"
    )]
    pub(super) fn factor(&self, worker: &Worker, _step: &StepSpec) -> f64 {
        worker.speed
    }
}
