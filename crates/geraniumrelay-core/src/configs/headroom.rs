//! Settings of the slots reserved for urgent request kinds.

use std::time::Duration;

/// Sizing of the reserve for urgent tasks.
#[derive(Debug, Clone)]
pub struct HeadroomConfig {
    /// Window over which recent arrivals are averaged.
    pub window: Duration,
    /// Number of standard deviations, above the mean number of slots that urgent tasks use, that
    /// stay free.
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
