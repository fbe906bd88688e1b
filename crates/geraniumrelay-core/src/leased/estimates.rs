//! Learnt run times of each queue.
//!
//! Load pattern: callers' estimates are wrong by a factor that differs by queue and by job. The
//! mean of the queue corrects the first, and halves the error of the second.

use std::sync::Arc;
use std::time::Duration;

use crate::collections::Map;
use crate::configs::leased::LeasedConfig;

/// Run times learnt so far.
#[derive(Debug, Clone, Default)]
pub struct Estimates {
    queues: Map<Arc<str>, Means>,
}

/// Means of the logarithms of seconds.
#[derive(Debug, Clone, Copy)]
struct Means {
    declared: f64,
    actual: f64,
}

/// Share of a caller's estimate in the expected run time; the queue's mean has the rest.
const DECLARED_SHARE: f64 = 0.5;

/// Shortest run time that is expected.
const MIN_RUN: Duration = Duration::from_millis(1);

impl Estimates {
    /// Expected run time of a task of `queue` whose caller estimated `declared`.
    pub fn expected(&self, queue: &str, declared: Duration) -> Duration {
        let declared = declared.max(MIN_RUN);
        let Some(means) = self.queues.get(queue) else {
            return declared;
        };
        let own = declared.as_secs_f64().ln() - means.declared;
        let log = means.actual + DECLARED_SHARE * own;
        Duration::try_from_secs_f64(log.exp()).unwrap_or(declared)
    }

    /// Notes that a task estimated at `declared` took `actual`.
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
            // The first run alone says little of the ratio.
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
