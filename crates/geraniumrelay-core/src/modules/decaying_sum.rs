//! Exponentially decaying sum of recent amounts.

use std::time::{Duration, Instant};

/// Time between two decay steps.
const DECAY_STEP: Duration = Duration::from_millis(500);

/// Decay steps after which the sum counts as zero, which bounds the computation.
const MAX_DECAY_STEPS: u32 = 512;

/// Sum of recent amounts, decayed in fixed time steps.
#[derive(Debug, Clone, Copy)]
pub struct DecayingSum {
    sum: f64,
    decayed_at: Instant,
    /// Share of the sum that remains after one step, from 0 to 1.
    retained_share: f64,
}

impl DecayingSum {
    /// Creates an empty sum with a time constant of about `window`.
    pub fn new(now: Instant, window: Duration) -> Self {
        let steps = window.as_secs_f64() / DECAY_STEP.as_secs_f64();
        Self {
            sum: 0.0,
            decayed_at: now,
            retained_share: 1.0 - 1.0 / steps.max(1.0),
        }
    }

    /// Decays the sum to `now` and adds an amount.
    pub fn add(&mut self, now: Instant, amount: f64) {
        self.sum = self.get(now) + amount;
        self.decayed_at += DECAY_STEP * self.steps(now);
    }

    /// The sum, decayed to `now`.
    pub fn get(&self, now: Instant) -> f64 {
        let steps = self.steps(now);
        if steps > MAX_DECAY_STEPS {
            return 0.0;
        }
        (0..steps).fold(self.sum, |sum, _| sum * self.retained_share)
    }

    fn steps(&self, now: Instant) -> u32 {
        let elapsed =
            now.saturating_duration_since(self.decayed_at).as_millis() / DECAY_STEP.as_millis();
        u32::try_from(elapsed).unwrap_or(u32::MAX)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn amounts_decay() {
        let start = Instant::now();
        let mut sum = DecayingSum::new(start, Duration::from_secs(5));
        sum.add(start, 100.0);
        let later = sum.get(start + Duration::from_secs(5));
        assert!((30.0..40.0).contains(&later), "{later}");
        assert!(sum.get(start + Duration::from_hours(1)) < 1e-9);
    }
}
