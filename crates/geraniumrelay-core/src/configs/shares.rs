//! Fair share settings.

use std::time::Duration;

/// Thresholds at which a team is limited to its share, and the slots it then leaves to others.
#[derive(Debug, Clone)]
pub struct SharesConfig {
    /// Window over which recent demand is summed.
    pub window: Duration,
    /// Ratio of recent demand to the share above which a team is limited.
    pub tolerance: f64,
    /// Slots that teams over their share leave free, in percent of the slots assigned to
    /// this VM.
    pub reserve_percent: u32,
    /// Number of starts of which one goes to the least urgent waiting class, so that this class
    /// does not starve.
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
