//! Settings of target health.

use std::time::Duration;

/// When a target gets less, or nothing.
#[derive(Debug, Clone)]
pub struct HealthConfig {
    /// Weight of the newest end in the failure rate, from 0 to 1.
    pub failure_weight: f64,
    /// Weight of the newest run time in the slowness, from 0 to 1.
    pub slowness_weight: f64,
    /// Failure rate from which a target may be ejected.
    pub min_failure_rate: f64,
    /// Failure rate over the mean of the service's targets from which a target may be ejected.
    pub failure_factor: f64,
    /// Share of overdue tasks over the mean of the service's targets from which one is slow.
    pub slowness_factor: f64,
    /// Share of overdue tasks from which a target may count as slow.
    pub min_overdue_share: f64,
    /// Run time over the learnt one from which a task is overdue.
    pub overdue_factor: u32,
    /// Most targets of a service that are ejected, in percent.
    pub max_ejected_percent: usize,
    /// Time until the first trial.
    pub first_trial_delay: Duration,
    /// Longest time until a trial; it doubles with each trial that fails.
    pub max_trial_delay: Duration,
    /// Trials in a row that must succeed.
    pub required_trials: u32,
    /// First pause of a target that refused or could not be reached; it doubles each time.
    pub first_pause: Duration,
    /// Longest pause.
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
