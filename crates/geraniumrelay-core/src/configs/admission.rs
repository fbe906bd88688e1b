//! Admission settings.

/// Limits on accepted jobs and on queue length.
#[derive(Debug, Clone)]
pub struct AdmissionConfig {
    /// Maximum number of tasks in one job.
    pub max_tasks_per_job: usize,
    /// Maximum number of tasks of one service that wait for a slot on this VM.
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
