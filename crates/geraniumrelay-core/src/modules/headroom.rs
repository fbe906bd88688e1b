//! Number of slots reserved for urgent request kinds, from their recent arrivals.

use std::time::{Duration, Instant};

use crate::configs::headroom::HeadroomConfig;
use crate::modules::decaying_sum::DecayingSum;

/// Urgent work of one service that arrived within the window.
#[derive(Debug, Clone, Copy)]
pub struct Headroom {
    work_s: DecayingSum,
    window_s: f64,
}

impl Headroom {
    /// Creates an estimate without arrivals.
    pub fn new(now: Instant, cfg: &HeadroomConfig) -> Self {
        Self {
            work_s: DecayingSum::new(now, cfg.window),
            window_s: cfg.window.as_secs_f64(),
        }
    }

    /// Adds the expected run time of urgent work that arrived.
    pub fn add_arrival(&mut self, now: Instant, work: Duration) {
        self.work_s.add(now, work.as_secs_f64());
    }

    /// Slots to reserve while `running` slots already serve urgent tasks: the mean number of busy
    /// slots plus `deviations` standard deviations of a Poisson process.
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "a number of slots is never negative and fits u32"
    )]
    pub fn slots(&self, now: Instant, cfg: &HeadroomConfig, running: u32) -> u32 {
        let mean = self.work_s.get(now) / self.window_s;
        let required = (mean + cfg.deviations * mean.sqrt()).ceil() as u32;
        required.saturating_sub(running)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn recent_urgent_work_reserves_slots() {
        let cfg = HeadroomConfig::default();
        let now = Instant::now();
        let mut headroom = Headroom::new(now, &cfg);
        assert_eq!(headroom.slots(now, &cfg, 0), 0);
        headroom.add_arrival(now, 9 * cfg.window);
        let idle = headroom.slots(now, &cfg, 0);
        assert!(idle >= 9);
        assert_eq!(headroom.slots(now, &cfg, 4), idle - 4);
    }
}
