//! Settings of retries.

/// Budget for starting a task again that did not start.
#[derive(Debug, Clone)]
pub struct RetryConfig {
    /// Retries earned by each first start, in tenths.
    pub earned_tenths: u32,
    /// Most retries that can be saved up, in tenths.
    pub max_saved_tenths: u32,
    /// Most attempts for one task.
    pub max_attempts: u32,
}

impl Default for RetryConfig {
    fn default() -> Self {
        Self {
            earned_tenths: 1,
            max_saved_tenths: 1_000,
            max_attempts: 8,
        }
    }
}
