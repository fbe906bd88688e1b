//! Settings of the slots that stay free for urgent kinds.

use std::time::Duration;

/// How many slots stay free.
#[derive(Debug, Clone)]
pub struct HeadroomConfig {
    /// Time over which arrivals count as recent.
    pub window: Duration,
    /// Standard deviations of the slots in use by urgent tasks that are kept beyond their mean.
    pub deviations: f64,
}

impl Default for HeadroomConfig {
    fn default() -> Self {
        Self {
            window: Duration::from_secs(10),
            deviations: 2.0,
        }
    }
}
