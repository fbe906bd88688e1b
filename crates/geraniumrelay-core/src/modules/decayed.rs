//! Sum of recent amounts, in which older ones fade.

use std::time::{Duration, Instant};

/// Time between two steps of fading.
const STEP: Duration = Duration::from_millis(500);

/// Most steps that are carried out one by one; after more of them nothing is left.
const MAX_STEPS: u32 = 512;

/// Sum of recent amounts.
#[derive(Debug, Clone, Copy)]
pub struct DecayingSum {
    sum: f64,
    faded_at: Instant,
    /// Part that is left after a step.
    keep: f64,
}

impl DecayingSum {
    /// Makes an empty sum whose amounts fade over about `window`.
    pub fn new(now: Instant, window: Duration) -> Self {
        let steps = window.as_secs_f64() / STEP.as_secs_f64();
        Self {
            sum: 0.0,
            faded_at: now,
            keep: 1.0 - 1.0 / steps.max(1.0),
        }
    }

    /// Adds an amount.
    pub fn add(&mut self, now: Instant, amount: f64) {
        self.sum = self.get(now) + amount;
        self.faded_at += STEP * self.steps(now);
    }

    /// The sum as it is now.
    pub fn get(&self, now: Instant) -> f64 {
        let steps = self.steps(now);
        if steps > MAX_STEPS {
            return 0.0;
        }
        (0..steps).fold(self.sum, |sum, _| sum * self.keep)
    }

    fn steps(&self, now: Instant) -> u32 {
        let passed = now.saturating_duration_since(self.faded_at).as_millis() / STEP.as_millis();
        u32::try_from(passed).unwrap_or(u32::MAX)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn amounts_fade() {
        let start = Instant::now();
        let mut sum = DecayingSum::new(start, Duration::from_secs(5));
        sum.add(start, 100.0);
        let later = sum.get(start + Duration::from_secs(5));
        assert!((30.0..40.0).contains(&later), "{later}");
        assert!(sum.get(start + Duration::from_hours(1)) < 1e-9);
    }
}
