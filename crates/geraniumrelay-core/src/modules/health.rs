//! Outlier detection for targets: failure rate and slowness relative to the other targets of a
//! service, ejection, and trials that end an ejection.

use std::time::{Duration, Instant};

use crate::configs::health::HealthConfig;
use crate::modules::slots::Tier;

/// Upper bound of the ratio of measured to estimated run time in a sample.
const MAX_RATIO: f64 = 10.0;

/// Outcome of one task, as a health sample of its target.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Sample {
    /// The task completed; ratio of measured to estimated run time, `None` without an estimate.
    Completed(Option<f64>),
    /// The task failed on the target.
    Failed,
    /// The task still runs, far beyond its estimated run time; ratio so far.
    Overdue(f64),
}

/// Health of all targets of one service: sums from which the means are computed.
#[derive(Debug, Clone, Copy, Default)]
pub struct PoolHealth {
    /// Number of targets.
    targets: usize,
    /// Number of ejected targets.
    ejected: usize,
    failure_rate_sum: f64,
    overdue_sum: f64,
}

impl PoolHealth {
    /// Number of targets that are currently ejected.
    pub fn ejected(&self) -> usize {
        self.ejected
    }

    /// Adds the figures of one target.
    pub fn add(&mut self, health: &Health) {
        self.targets += 1;
        self.ejected += usize::from(health.is_ejected());
        self.failure_rate_sum += health.failure_rate;
        self.overdue_sum += health.overdue_share;
    }

    /// Subtracts the figures of one target.
    pub fn remove(&mut self, health: &Health) {
        self.targets -= 1;
        self.ejected -= usize::from(health.is_ejected());
        self.failure_rate_sum -= health.failure_rate;
        self.overdue_sum -= health.overdue_share;
    }

    #[expect(clippy::cast_precision_loss, reason = "counts of targets are small")]
    fn mean(&self, sum: f64) -> f64 {
        sum / self.targets.max(1) as f64
    }

    fn may_eject(&self, cfg: &HealthConfig) -> bool {
        (self.ejected + 1) * 100 <= (self.targets + 1) * cfg.max_ejected_percent
    }
}

/// Progress of an ejected target towards its return.
#[derive(Debug, Clone, Copy)]
struct Ejection {
    /// Time from a failure to the next trial; doubles with each failed trial.
    trial_delay: Duration,
    /// Trials completed in a row.
    completed_trials: u32,
}

/// Health of one target.
#[derive(Debug, Clone, Copy)]
pub struct Health {
    /// Moving average of failures, from 0 to 1.
    failure_rate: f64,
    /// Moving average of measured to estimated run time.
    ratio: f64,
    /// Moving average of overdue tasks, from 0 to 1.
    overdue_share: f64,
    is_slow: bool,
    ejection: Option<Ejection>,
}

impl Default for Health {
    fn default() -> Self {
        Self {
            failure_rate: 0.0,
            ratio: 1.0,
            overdue_share: 0.0,
            is_slow: false,
            ejection: None,
        }
    }
}

impl Health {
    /// Kind of work that the target may get.
    pub fn tier(&self) -> Tier {
        if self.is_ejected() {
            Tier::Trial
        } else if self.is_slow {
            Tier::Slow
        } else {
            Tier::Healthy
        }
    }

    /// Whether the target gets trial tasks only.
    pub fn is_ejected(&self) -> bool {
        self.ejection.is_some()
    }

    /// Slots usable out of `allowed`: fewer on a slow target, one on an ejected target.
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "a number of slots is never negative and fits u32"
    )]
    pub fn usable(&self, allowed: u32) -> u32 {
        match self.tier() {
            Tier::Healthy => allowed,
            Tier::Slow => ((f64::from(allowed) / self.ratio) as u32).clamp(allowed.min(1), allowed),
            Tier::Trial => allowed.min(1),
        }
    }

    /// Adds a sample; `pool` has the other targets of the service. Returns the time until which
    /// the target gets no task, if the sample ejects it or fails a trial.
    pub fn add_sample(
        &mut self,
        now: Instant,
        cfg: &HealthConfig,
        pool: &PoolHealth,
        sample: Sample,
    ) -> Option<Instant> {
        let failed = f64::from(u8::from(sample == Sample::Failed));
        self.failure_rate += (failed - self.failure_rate) * cfg.failure_weight;
        if let Sample::Completed(Some(ratio)) | Sample::Overdue(ratio) = sample {
            self.add_ratio_sample(cfg, pool, ratio);
        }
        if self.is_ejected() {
            return self.end_trial(now, cfg, sample);
        }
        let limit = cfg.failure_factor * pool.mean(pool.failure_rate_sum);
        let is_bad = self.failure_rate >= cfg.min_failure_rate && self.failure_rate >= limit;
        if sample != Sample::Failed || !is_bad || !pool.may_eject(cfg) {
            return None;
        }
        self.ejection = Some(Ejection {
            trial_delay: cfg.first_trial_delay,
            completed_trials: 0,
        });
        Some(now + cfg.first_trial_delay)
    }

    /// Updates the slowness. Single long tasks are common, so a target counts as slow by its share
    /// of overdue tasks.
    fn add_ratio_sample(&mut self, cfg: &HealthConfig, pool: &PoolHealth, ratio: f64) {
        self.ratio += (ratio.min(MAX_RATIO) - self.ratio) * cfg.slowness_weight;
        let is_overdue = ratio >= f64::from(cfg.overdue_factor);
        let overdue = f64::from(u8::from(is_overdue));
        self.overdue_share += (overdue - self.overdue_share) * cfg.slowness_weight;
        let limit = (cfg.slowness_factor * pool.mean(pool.overdue_sum)).max(cfg.min_overdue_share);
        // Hysteresis: a few short tasks must not make a slow target eligible for urgent ones.
        let limit = if self.is_slow { limit / 4.0 } else { limit };
        self.is_slow = self.overdue_share > limit;
    }

    fn end_trial(&mut self, now: Instant, cfg: &HealthConfig, sample: Sample) -> Option<Instant> {
        let ejection = self.ejection.as_mut()?;
        match sample {
            Sample::Overdue(_) => None,
            Sample::Failed => {
                ejection.completed_trials = 0;
                ejection.trial_delay = (ejection.trial_delay * 2).min(cfg.max_trial_delay);
                Some(now + ejection.trial_delay)
            }
            Sample::Completed(_) => {
                ejection.completed_trials += 1;
                if ejection.completed_trials >= cfg.required_trials {
                    self.ejection = None;
                    self.failure_rate = 0.0;
                }
                None
            }
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn pool(targets: usize) -> PoolHealth {
        let mut pool = PoolHealth::default();
        (0..targets).for_each(|_| pool.add(&Health::default()));
        pool
    }

    #[test]
    fn a_failing_target_is_ejected_and_returns_after_trials() {
        let cfg = HealthConfig::default();
        let (now, pool) = (Instant::now(), pool(8));
        let mut health = Health::default();
        assert_eq!(health.add_sample(now, &cfg, &pool, Sample::Failed), None);
        assert_eq!(health.add_sample(now, &cfg, &pool, Sample::Failed), None);
        let until = health.add_sample(now, &cfg, &pool, Sample::Failed);
        assert_eq!(until, Some(now + cfg.first_trial_delay));
        assert_eq!((health.tier(), health.usable(8)), (Tier::Trial, 1));
        let again = health.add_sample(now, &cfg, &pool, Sample::Failed);
        assert_eq!(again, Some(now + 2 * cfg.first_trial_delay));
        for _ in 0..cfg.required_trials {
            health.add_sample(now, &cfg, &pool, Sample::Completed(None));
        }
        assert_eq!(health.tier(), Tier::Healthy);
    }

    #[test]
    fn no_target_is_ejected_when_all_fail() {
        let cfg = HealthConfig::default();
        let now = Instant::now();
        let failing = Health {
            failure_rate: 0.9,
            ..Health::default()
        };
        let mut pool = PoolHealth::default();
        (0..8).for_each(|_| pool.add(&failing));
        let mut health = failing;
        assert_eq!(health.add_sample(now, &cfg, &pool, Sample::Failed), None);
    }

    #[test]
    fn ejected_targets_are_limited_to_a_share() {
        let cfg = HealthConfig::default();
        let now = Instant::now();
        let mut health = Health::default();
        for _ in 0..20 {
            health.add_sample(now, &cfg, &pool(2), Sample::Failed);
        }
        assert!(!health.is_ejected());
    }

    #[test]
    fn a_slow_target_keeps_one_slot() {
        let cfg = HealthConfig::default();
        let mut health = Health::default();
        for _ in 0..20 {
            health.add_sample(Instant::now(), &cfg, &pool(8), Sample::Completed(Some(5.0)));
        }
        assert_eq!(health.tier(), Tier::Slow);
        assert_eq!(health.usable(8), 1);
    }
}
