//! Settings of admission.

/// Bounds on what is taken in.
#[derive(Debug, Clone)]
pub struct AdmissionConfig {
    /// Most tasks in a job.
    pub max_tasks_per_job: usize,
    /// Most tasks that wait for a slot of one service.
    pub max_queued_tasks: usize,
}

impl Default for AdmissionConfig {
    fn default() -> Self {
        Self {
            max_tasks_per_job: 130,
            max_queued_tasks: 20_000,
        }
    }
}
