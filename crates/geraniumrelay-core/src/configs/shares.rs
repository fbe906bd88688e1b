//! Settings of the teams' fair shares.

use std::time::Duration;

/// When a team counts as over its share, and what it then leaves to others.
#[derive(Debug, Clone)]
pub struct SharesConfig {
    /// Time over which use counts as recent.
    pub window: Duration,
    /// Recent use over the share from which a team is over its share.
    pub tolerance: f64,
    /// Slots that teams over their share leave free, in percent of this VM's.
    pub reserve_percent: u32,
    /// One start in so many goes to the lowest class that waits.
    pub ageing_period: u64,
}

impl Default for SharesConfig {
    fn default() -> Self {
        Self {
            window: Duration::from_secs(10),
            tolerance: 2.5,
            reserve_percent: 90,
            ageing_period: 16,
        }
    }
}
