//! Workers that fail, hang or refuse their tasks.
//!
//! Load pattern: a worker that fails at once is always free, so it draws every task that waits. It
//! is set aside for a while that doubles, then tried with one task at a time.

use std::time::{Duration, Instant};

use crate::configs::leased::LeasedConfig;

/// Weight of the newest run time in a worker's slowness.
const SLOWNESS_WEIGHT: f64 = 0.4;

/// Doublings of a pause at most.
const MAX_DOUBLINGS: u32 = 6;

/// What is known of a worker's health.
#[derive(Debug, Clone, Copy)]
pub(super) struct Health {
    /// Faults in a row, without a success.
    strikes: u32,
    paused_until: Option<Instant>,
    /// Run time over the expected one, averaged.
    slowness: f64,
    slow_since: Option<Instant>,
}

impl Default for Health {
    fn default() -> Self {
        Self {
            strikes: 0,
            paused_until: None,
            slowness: 1.0,
            slow_since: None,
        }
    }
}

impl Health {
    pub(super) fn add_fault(&mut self, now: Instant, cfg: &LeasedConfig) -> Duration {
        let pause = exponential_backoff(cfg.failure_pause, self.strikes, cfg.max_pause);
        self.strikes += 1;
        self.paused_until = Some(now + pause);
        pause
    }

    /// Takes back the last fault: it was the task's.
    pub(super) fn clear_faults(&mut self) {
        self.strikes = self.strikes.saturating_sub(1);
        if self.strikes == 0 {
            self.paused_until = None;
        }
    }

    pub(super) fn add_success(&mut self) {
        self.strikes = 0;
        self.paused_until = None;
    }

    /// Notes how many times the expected run time a task took, or will take at its present pace.
    pub(super) fn add_pace_sample(&mut self, ratio: f64, now: Instant, cfg: &LeasedConfig) {
        self.slowness += SLOWNESS_WEIGHT * (ratio.clamp(0.1, 20.0) - self.slowness);
        if self.slowness < cfg.slow_factor {
            self.slow_since = None;
        } else if self.slow_since.is_none() {
            self.slow_since = Some(now);
        }
    }

    /// Factor by which run times there are longer.
    pub(super) fn slowness(&self, cfg: &LeasedConfig) -> f64 {
        if self.slowness < cfg.slow_factor {
            1.0
        } else {
            self.slowness
        }
    }

    /// Whether it may get a task while it runs `running` others.
    pub(super) fn may_start(&self, now: Instant, running: usize) -> bool {
        match self.paused_until {
            None => true,
            Some(until) => now >= until && running == 0,
        }
    }

    pub(super) fn is_paused(&self, now: Instant) -> bool {
        self.paused_until.is_some_and(|until| now < until)
    }

    /// Lets a slow worker be tried again after `period`.
    pub(super) fn refresh(&mut self, now: Instant, period: Duration, cfg: &LeasedConfig) {
        let is_due = |since: Instant| now.saturating_duration_since(since) >= period;
        if self.slow_since.is_some_and(is_due) {
            self.slow_since = None;
            self.slowness = cfg.slow_factor * 0.99;
        }
    }
}

/// `first`, doubled `times` times, up to `max`.
pub(super) fn exponential_backoff(first: Duration, times: u32, max: Duration) -> Duration {
    first.saturating_mul(1 << times.min(MAX_DOUBLINGS)).min(max)
}
