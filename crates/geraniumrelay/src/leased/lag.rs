//! How much later than planned this process gets to its work.

use std::time::Duration;

use geraniumrelay_core::leased::election::ElectionConfig;
use log::info;

/// Longest delay that is counted: a process that was suspended is no slower afterwards.
const MAX_DELAY: Duration = Duration::from_millis(200);

/// Weight of the newest delay, as its inverse: about a fifth of a second at a delay each 25 ms.
const WEIGHT: u32 = 8;

/// Lag from which a line says that this process lags.
const LAGGING: Duration = ElectionConfig::LAG_LIMIT;

/// The delays of a process, smoothed.
#[derive(Debug, Default)]
pub(super) struct Lag {
    mean: Duration,
    is_lagging: bool,
}

impl Lag {
    /// Notes by how much something came later than planned.
    pub(super) fn add_sample(&mut self, delay: Duration) {
        self.mean = (self.mean * (WEIGHT - 1) + delay.min(MAX_DELAY)) / WEIGHT;
        let is_lagging = self.mean >= LAGGING;
        if is_lagging != self.is_lagging {
            self.is_lagging = is_lagging;
            let lag_us = u64::try_from(self.mean.as_micros()).unwrap_or(u64::MAX);
            info!(is_lagging, lag_us; "lag_changed");
        }
    }

    /// The smoothed delay.
    pub(super) fn mean(&self) -> Duration {
        self.mean
    }
}
