//! Health of targets: failure rate and slowness against their peers, ejection and trials.

use std::time::{Duration, Instant};

use crate::configs::health::HealthConfig;
use crate::modules::slots::Tier;

/// Run time over the learnt one beyond which a sample counts no further.
const MAX_RATIO: f64 = 10.0;

/// What one ended task says of its target.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Sample {
    /// It completed; run time over the learnt one, where that is known.
    Completed(Option<f64>),
    /// It failed there.
    Failed,
    /// It runs far longer than the learnt time.
    Overdue(f64),
}

/// Means over the targets of one service.
#[derive(Debug, Clone, Copy, Default)]
pub struct PoolHealth {
    targets: usize,
    ejected: usize,
    failures: f64,
    overdue: f64,
}

impl PoolHealth {
    /// Number of targets that are ejected now.
    pub fn ejected(&self) -> usize {
        self.ejected
    }

    /// Adds a target's figures.
    pub fn add(&mut self, health: &Health) {
        self.targets += 1;
        self.ejected += usize::from(health.is_ejected());
        self.failures += health.failures;
        self.overdue += health.overdue;
    }

    /// Takes a target's figures out.
    pub fn remove(&mut self, health: &Health) {
        self.targets -= 1;
        self.ejected -= usize::from(health.is_ejected());
        self.failures -= health.failures;
        self.overdue -= health.overdue;
    }

    #[expect(clippy::cast_precision_loss, reason = "counts of targets are small")]
    fn mean(&self, sum: f64) -> f64 {
        sum / self.targets.max(1) as f64
    }

    fn may_eject(&self, cfg: &HealthConfig) -> bool {
        (self.ejected + 1) * 100 <= (self.targets + 1) * cfg.max_ejected_percent
    }
}

#[derive(Debug, Clone, Copy)]
struct Ejection {
    wait: Duration,
    passed: u32,
}

/// Health of one target.
#[derive(Debug, Clone, Copy)]
pub struct Health {
    failures: f64,
    ratio: f64,
    /// Share of recent tasks that were overdue.
    overdue: f64,
    is_slow: bool,
    ejection: Option<Ejection>,
}

impl Default for Health {
    fn default() -> Self {
        Self {
            failures: 0.0,
            ratio: 1.0,
            overdue: 0.0,
            is_slow: false,
            ejection: None,
        }
    }
}

impl Health {
    /// What the target is trusted with.
    pub fn tier(&self) -> Tier {
        if self.is_ejected() {
            Tier::Trial
        } else if self.is_slow {
            Tier::Slow
        } else {
            Tier::Healthy
        }
    }

    /// Whether it gets trials only.
    pub fn is_ejected(&self) -> bool {
        self.ejection.is_some()
    }

    /// Slots that it gets out of `allowed`.
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "a count of slots, and never negative"
    )]
    pub fn usable(&self, allowed: u32) -> u32 {
        match self.tier() {
            Tier::Healthy => allowed,
            Tier::Slow => ((f64::from(allowed) / self.ratio) as u32).clamp(allowed.min(1), allowed),
            Tier::Trial => allowed.min(1),
        }
    }

    /// Takes in a sample, where `peers` are the other targets; returns until when the target gets
    /// nothing, where that is so.
    pub fn add_sample(
        &mut self,
        now: Instant,
        cfg: &HealthConfig,
        peers: &PoolHealth,
        sample: Sample,
    ) -> Option<Instant> {
        let failed = f64::from(u8::from(sample == Sample::Failed));
        self.failures += (failed - self.failures) * cfg.weight;
        if let Sample::Completed(Some(ratio)) | Sample::Overdue(ratio) = sample {
            self.note_ratio(cfg, peers, ratio);
        }
        if self.is_ejected() {
            return self.end_trial(now, cfg, sample);
        }
        let limit = cfg.failure_factor * peers.mean(peers.failures);
        let is_bad = self.failures >= cfg.min_failure_rate && self.failures >= limit;
        if sample != Sample::Failed || !is_bad || !peers.may_eject(cfg) {
            return None;
        }
        self.ejection = Some(Ejection {
            wait: cfg.first_trial,
            passed: 0,
        });
        Some(now + cfg.first_trial)
    }

    /// Single long tasks are common, so that only a share of them says that a target is slow.
    fn note_ratio(&mut self, cfg: &HealthConfig, peers: &PoolHealth, ratio: f64) {
        self.ratio += (ratio.min(MAX_RATIO) - self.ratio) * cfg.slow_weight;
        let is_overdue = ratio >= f64::from(cfg.overdue_factor);
        let overdue = f64::from(u8::from(is_overdue));
        self.overdue += (overdue - self.overdue) * cfg.slow_weight;
        let limit = (cfg.slow_factor * peers.mean(peers.overdue)).max(cfg.min_overdue_share);
        // Hysteresis keeps a slow target from getting urgent tasks on a few short ones.
        let limit = if self.is_slow { limit / 4.0 } else { limit };
        self.is_slow = self.overdue > limit;
    }

    fn end_trial(&mut self, now: Instant, cfg: &HealthConfig, sample: Sample) -> Option<Instant> {
        let ejection = self.ejection.as_mut()?;
        match sample {
            Sample::Overdue(_) => None,
            Sample::Failed => {
                ejection.passed = 0;
                ejection.wait = (ejection.wait * 2).min(cfg.max_trial);
                Some(now + ejection.wait)
            }
            Sample::Completed(_) => {
                ejection.passed += 1;
                if ejection.passed >= cfg.trials {
                    self.ejection = None;
                    self.failures = 0.0;
                }
                None
            }
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn peers(targets: usize) -> PoolHealth {
        let mut peers = PoolHealth::default();
        (0..targets).for_each(|_| peers.add(&Health::default()));
        peers
    }

    #[test]
    fn a_target_that_fails_all_is_ejected_and_comes_back_by_trials() {
        let cfg = HealthConfig::default();
        let (now, peers) = (Instant::now(), peers(8));
        let mut health = Health::default();
        assert_eq!(health.add_sample(now, &cfg, &peers, Sample::Failed), None);
        assert_eq!(health.add_sample(now, &cfg, &peers, Sample::Failed), None);
        let until = health.add_sample(now, &cfg, &peers, Sample::Failed);
        assert_eq!(until, Some(now + cfg.first_trial));
        assert_eq!((health.tier(), health.usable(8)), (Tier::Trial, 1));
        let again = health.add_sample(now, &cfg, &peers, Sample::Failed);
        assert_eq!(again, Some(now + 2 * cfg.first_trial));
        for _ in 0..cfg.trials {
            health.add_sample(now, &cfg, &peers, Sample::Completed(None));
        }
        assert_eq!(health.tier(), Tier::Healthy);
    }

    #[test]
    fn where_all_fail_none_is_ejected() {
        let cfg = HealthConfig::default();
        let now = Instant::now();
        let failing = Health {
            failures: 0.9,
            ..Health::default()
        };
        let mut peers = PoolHealth::default();
        (0..8).for_each(|_| peers.add(&failing));
        let mut health = failing;
        assert_eq!(health.add_sample(now, &cfg, &peers, Sample::Failed), None);
    }

    #[test]
    fn no_more_than_a_share_is_ejected() {
        let cfg = HealthConfig::default();
        let now = Instant::now();
        let mut health = Health::default();
        for _ in 0..20 {
            health.add_sample(now, &cfg, &peers(2), Sample::Failed);
        }
        assert!(!health.is_ejected());
    }

    #[test]
    fn a_slow_target_gets_fewer_tasks_not_none() {
        let cfg = HealthConfig::default();
        let mut health = Health::default();
        for _ in 0..20 {
            health.add_sample(
                Instant::now(),
                &cfg,
                &peers(8),
                Sample::Completed(Some(5.0)),
            );
        }
        assert_eq!(health.tier(), Tier::Slow);
        assert_eq!(health.usable(8), 1);
    }
}
