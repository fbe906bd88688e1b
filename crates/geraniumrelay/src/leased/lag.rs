//! Event loop lag: by how much timers run later than scheduled.

use std::time::Duration;

use geraniumrelay_core::leased::election::ElectionConfig;
use log::info;

/// Upper bound of a sample: a process that was suspended is not slower after it resumes.
const MAX_DELAY: Duration = Duration::from_millis(200);

/// Inverse of the weight of a new sample: with a sample every 25 ms, the time constant is about
/// 200 ms.
const INVERSE_WEIGHT: u32 = 8;

/// Mean lag from which the process is logged as lagging.
const LAGGING_THRESHOLD: Duration = ElectionConfig::LAG_LIMIT;

/// Exponential moving average of the lag.
#[derive(Debug, Default)]
pub(super) struct Lag {
    mean: Duration,
    is_lagging: bool,
}

impl Lag {
    /// Adds a sample; logs when the process starts or stops lagging.
    pub(super) fn add_sample(&mut self, delay: Duration) {
        self.mean = (self.mean * (INVERSE_WEIGHT - 1) + delay.min(MAX_DELAY)) / INVERSE_WEIGHT;
        let is_lagging = self.mean >= LAGGING_THRESHOLD;
        if is_lagging != self.is_lagging {
            self.is_lagging = is_lagging;
            let lag_us = u64::try_from(self.mean.as_micros()).unwrap_or(u64::MAX);
            info!(is_lagging, lag_us; "lag_changed");
        }
    }

    /// Mean lag.
    pub(super) fn mean(&self) -> Duration {
        self.mean
    }
}
