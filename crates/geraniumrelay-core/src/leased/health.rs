//! Health of a worker whose tasks fail, hang or are refused.
//!
//! Load pattern: a worker that fails its tasks at once is always free, so it attracts every waiting
//! task. Such a worker is paused for a time that doubles, then tried with one task at a time.

use std::time::{Duration, Instant};

use crate::configs::leased::LeasedConfig;

/// Weight of the latest run in the mean slowness of a worker.
const SLOWNESS_WEIGHT: f64 = 0.4;

/// Maximum number of doublings of a pause.
const MAX_DOUBLINGS: u32 = 6;

/// Faults and pace of a worker.
#[derive(Debug, Clone, Copy)]
pub(super) struct Health {
    /// Faults since the last success.
    consecutive_faults: u32,
    paused_until: Option<Instant>,
    /// Exponentially weighted mean of actual over expected run time.
    slowness: f64,
    /// Since when `slowness` has been at or above the limit.
    slow_since: Option<Instant>,
}

impl Default for Health {
    fn default() -> Self {
        Self {
            consecutive_faults: 0,
            paused_until: None,
            slowness: 1.0,
            slow_since: None,
        }
    }
}

impl Health {
    /// Adds a fault and pauses the worker; returns the pause.
    pub(super) fn add_fault(&mut self, now: Instant, cfg: &LeasedConfig) -> Duration {
        let pause = exponential_backoff(cfg.failure_pause, self.consecutive_faults, cfg.max_pause);
        self.consecutive_faults += 1;
        self.paused_until = Some(now + pause);
        pause
    }

    /// Takes the last fault back, as it was a fault of the task; without other faults the pause ends.
    pub(super) fn retract_last_fault(&mut self) {
        self.consecutive_faults = self.consecutive_faults.saturating_sub(1);
        if self.consecutive_faults == 0 {
            self.paused_until = None;
        }
    }

    /// Clears all faults and the pause.
    pub(super) fn add_success(&mut self) {
        self.consecutive_faults = 0;
        self.paused_until = None;
    }

    /// Adds the ratio of actual to expected run time of a task; for a running task, the ratio that its
    /// present pace leads to.
    pub(super) fn add_pace_sample(&mut self, ratio: f64, now: Instant, cfg: &LeasedConfig) {
        self.slowness += SLOWNESS_WEIGHT * (ratio.clamp(0.1, 20.0) - self.slowness);
        if self.slowness < cfg.slow_factor {
            self.slow_since = None;
        } else if self.slow_since.is_none() {
            self.slow_since = Some(now);
        }
    }

    /// Factor for run times on this worker; 1 if the worker does not count as slow.
    pub(super) fn slowness(&self, cfg: &LeasedConfig) -> f64 {
        if self.slowness < cfg.slow_factor {
            1.0
        } else {
            self.slowness
        }
    }

    /// Whether the worker may get another task beside `running` ones.
    pub(super) fn may_start(&self, now: Instant, running: usize) -> bool {
        match self.paused_until {
            None => true,
            Some(until) => now >= until && running == 0,
        }
    }

    pub(super) fn is_paused(&self, now: Instant) -> bool {
        self.paused_until.is_some_and(|until| now < until)
    }

    /// Lets a slow worker be tried again after `period`, with a slowness just below the limit.
    pub(super) fn refresh(&mut self, now: Instant, period: Duration, cfg: &LeasedConfig) {
        let is_due = |since: Instant| now.saturating_duration_since(since) >= period;
        if self.slow_since.is_some_and(is_due) {
            self.slow_since = None;
            self.slowness = cfg.slow_factor * 0.99;
        }
    }
}

/// Pause after `times` earlier failures: `first`, doubled each time, at most `max`.
pub(super) fn exponential_backoff(first: Duration, times: u32, max: Duration) -> Duration {
    first.saturating_mul(1 << times.min(MAX_DOUBLINGS)).min(max)
}
