//! Target health settings.

use std::time::Duration;

/// Thresholds and delays at which a target receives fewer tasks or is ejected.
#[derive(Debug, Clone)]
pub struct HealthConfig {
    /// Weight of the latest result in the moving failure rate, from 0 to 1.
    pub failure_weight: f64,
    /// Weight of the latest run time in the moving averages of slowness, from 0 to 1.
    pub slowness_weight: f64,
    /// Minimum failure rate at which a target may be ejected, from 0 to 1.
    pub min_failure_rate: f64,
    /// Ratio of a target's failure rate to the mean of the service's targets at which the target
    /// may be ejected.
    pub failure_factor: f64,
    /// Ratio of a target's share of overdue tasks to the mean of the service's targets at which the
    /// target counts as slow.
    pub slowness_factor: f64,
    /// Minimum share of overdue tasks at which a target may count as slow, from 0 to 1.
    pub min_overdue_share: f64,
    /// Multiple of the estimated run time after which a task is overdue.
    pub overdue_factor: u32,
    /// Maximum share of a service's targets that may be ejected, in percent.
    pub max_ejected_percent: usize,
    /// Delay from the ejection to the first trial.
    pub first_trial_delay: Duration,
    /// Maximum delay before a trial; the delay doubles with each failed trial.
    pub max_trial_delay: Duration,
    /// Consecutive successful trials that end an ejection.
    pub required_trials: u32,
    /// First pause after a target refused a start or was unreachable; the pause doubles with each
    /// further refusal.
    pub first_pause: Duration,
    /// Maximum pause after a refusal.
    pub max_pause: Duration,
}

impl Default for HealthConfig {
    fn default() -> Self {
        Self {
            failure_weight: 0.25,
            slowness_weight: 0.2,
            min_failure_rate: 0.5,
            failure_factor: 3.0,
            slowness_factor: 2.0,
            min_overdue_share: 0.4,
            overdue_factor: 3,
            max_ejected_percent: 30,
            first_trial_delay: Duration::from_secs(1),
            max_trial_delay: Duration::from_mins(1),
            required_trials: 3,
            first_pause: Duration::from_millis(20),
            max_pause: Duration::from_secs(2),
        }
    }
}
