//! Settings of how sheets spread.

use std::time::Duration;

/// Spread of sheets between entry VMs.
#[derive(Debug, Clone)]
pub struct SheetConfig {
    /// Time for which a VM without a sheet hears its peers before it takes the newest of theirs.
    pub initial_wait: Duration,
    /// Time between two questions for a newer sheet.
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
