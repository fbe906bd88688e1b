//! Retry settings.

/// Budget for retrying task starts that did not take effect.
#[derive(Debug, Clone)]
pub struct RetryConfig {
    /// Credit earned by each first start, in tenths of a retry.
    pub earned_tenths: u32,
    /// Maximum saved credit, in tenths of a retry.
    pub max_saved_tenths: u32,
    /// Maximum number of attempts for one task, the first start included.
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
