//! Settings of the learnt speed factors of workers.

use std::time::Duration;

/// Noise of run times, and how certain a factor has to be before it counts.
#[derive(Debug, Clone)]
pub struct SpeedConfig {
    /// Interval at which the factors of labels and workers are computed from the runs so far.
    pub refresh: Duration,
    /// Factor by which a worker must differ from a nominal one, beyond the uncertainty.
    pub dead_band: f64,
    /// Number of standard deviations by which a factor must exceed the dead band to count.
    pub certain_deviations: f64,
    /// Same below which a factor that counts ceases to do so; lower, so that it does not alternate.
    pub uncertain_deviations: f64,
    /// Variance of the logarithm of run times in one job: tasks of a job differ by 0.15, and 3 % of them take
    /// several times as long.
    pub job_variance: f64,
    /// Variance of the logarithm of a run time around the estimate of its queue: callers' estimates are off by
    /// 40 %, and run times vary by as much.
    pub queue_variance: f64,
    /// Variance of the logarithm of a run time around its estimate, for the check of a running task: callers'
    /// estimates are off by 40 %, which the mean of the queue corrects in part.
    pub estimate_variance: f64,
    /// Latency of orders and reports that counts as an error of a run time.
    pub latency: Duration,
    /// Maximum difference of the logarithms of two run times that a sample counts with, so that a task that takes
    /// several times as long says little.
    pub max_deviation: f64,
    /// Maximum precision of a worker's factor, as the inverse of its variance. Corresponds to some 80 runs, so
    /// that a factor follows a lasting change of its worker.
    pub max_precision: f64,
    /// Bounds of a factor, as a logarithm either way; a worker beyond them is at fault.
    pub max_log: f64,
    /// Load of the usable workers in percent from which fast workers are kept for tasks that need them.
    pub near_full_percent: u64,
}

impl Default for SpeedConfig {
    fn default() -> Self {
        Self {
            refresh: Duration::from_millis(250),
            dead_band: 1.1,
            certain_deviations: 2.0,
            uncertain_deviations: 0.5,
            job_variance: 0.05,
            queue_variance: 0.4,
            estimate_variance: 0.1,
            latency: Duration::from_millis(5),
            max_deviation: 1.0,
            max_precision: 1_000.0,
            max_log: 1.4,
            near_full_percent: 75,
        }
    }
}
