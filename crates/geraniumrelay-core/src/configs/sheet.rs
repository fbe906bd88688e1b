//! Settings of sheet distribution.

use std::time::Duration;

/// Intervals of sheet distribution between entry VMs.
#[derive(Debug, Clone)]
pub struct SheetConfig {
    /// Time for which a VM without a sheet collects the revisions of its peers before it fetches
    /// the newest one.
    pub initial_wait: Duration,
    /// Minimum interval between requests to peers for a newer sheet or for the target list.
    pub fetch_interval: Duration,
}

impl Default for SheetConfig {
    fn default() -> Self {
        Self {
            initial_wait: Duration::from_millis(1_500),
            fetch_interval: Duration::from_millis(500),
        }
    }
}
