//! Slots that stay free for urgent kinds, by their recent arrivals.

use std::time::{Duration, Instant};

use crate::configs::headroom::HeadroomConfig;
use crate::modules::decayed::DecayingSum;

/// Recent urgent work of one service.
#[derive(Debug, Clone, Copy)]
pub struct Headroom {
    work_s: DecayingSum,
    window_s: f64,
}

impl Headroom {
    /// Starts without any arrivals.
    pub fn new(now: Instant, cfg: &HeadroomConfig) -> Self {
        Self {
            work_s: DecayingSum::new(now, cfg.window),
            window_s: cfg.window.as_secs_f64(),
        }
    }

    /// Notes urgent work that arrived.
    pub fn add_arrival(&mut self, now: Instant, work: Duration) {
        self.work_s.add(now, work.as_secs_f64());
    }

    /// Slots to keep free while `running` slots serve urgent tasks.
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "a count of slots, and never negative"
    )]
    pub fn slots(&self, now: Instant, cfg: &HeadroomConfig, running: u32) -> u32 {
        let mean = self.work_s.get(now) / self.window_s;
        let wanted = (mean + cfg.deviations * mean.sqrt()).ceil() as u32;
        wanted.saturating_sub(running)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn recent_urgent_work_keeps_slots_free() {
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
