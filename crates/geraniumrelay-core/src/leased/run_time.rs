//! Expected run time of a task on a given worker.
//!
//! Expected run time = expected work of the task x factor of the worker. Placement, start orders, pace checks and
//! learnt estimates use the same product, so that a property of the worker is not taken for one of the task.

use super::spec::StepSpec;
use super::worker::Worker;

/// What is known of the workers' effect on run times.
#[derive(Debug, Default)]
pub(super) struct RunTimes {}

impl RunTimes {
    /// Factor for the run time of a task of `step` on `worker`: 1 on a nominal worker near the task's data.
    #[expect(clippy::unused_self, reason = "no property of a worker is learnt yet")]
    pub(super) fn factor(&self, _worker: &Worker, _step: &StepSpec) -> f64 {
        1.0
    }
}
