//! Estimated run times of each queue.
//!
//! Load pattern: callers' estimates are wrong by a factor that differs by queue and by job. The
//! queue's mean corrects the factor of the queue, and halves that of the job.

use std::sync::Arc;
use std::time::Duration;

use crate::collections::Map;
use crate::configs::leased::LeasedConfig;

/// Means of declared and actual run times, by queue.
#[derive(Debug, Clone, Default)]
pub struct Estimates {
    queues: Map<Arc<str>, Means>,
}

/// Exponentially weighted means of the logarithms of run times in seconds.
#[derive(Debug, Clone, Copy)]
struct Means {
    declared: f64,
    actual: f64,
}

/// Weight of the caller's estimate in the expected run time; the queue's mean has the rest.
const DECLARED_SHARE: f64 = 0.5;

/// Lower bound of run times; a logarithm needs a positive number.
const MIN_RUN: Duration = Duration::from_millis(1);

impl Estimates {
    /// Expected run time of a task of `queue` whose caller estimated `declared`. Without samples of
    /// the queue, this is the caller's estimate.
    pub fn expected(&self, queue: &str, declared: Duration) -> Duration {
        let declared = declared.max(MIN_RUN);
        let Some(means) = self.queues.get(queue) else {
            return declared;
        };
        let deviation = declared.as_secs_f64().ln() - means.declared;
        let log = means.actual + DECLARED_SHARE * deviation;
        Duration::try_from_secs_f64(log.exp()).unwrap_or(declared)
    }

    /// Adds the run time of a task that was estimated at `declared` and took `actual`.
    pub fn add_sample(
        &mut self,
        cfg: &LeasedConfig,
        queue: &Arc<str>,
        declared: Duration,
        actual: Duration,
    ) {
        let log = |d: Duration| d.max(MIN_RUN).as_secs_f64().ln();
        let (declared, actual) = (log(declared), log(actual));
        let Some(means) = self.queues.get_mut(queue) else {
            // A single run says little about the ratio.
            let means = Means {
                declared,
                actual: declared,
            };
            self.queues.insert(Arc::clone(queue), means);
            return;
        };
        means.declared += cfg.estimate_weight * (declared - means.declared);
        means.actual += cfg.estimate_weight * (actual - means.actual);
    }
}
