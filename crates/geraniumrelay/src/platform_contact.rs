//! When the platform last answered.

use std::sync::{Mutex, PoisonError};
use std::time::{Duration, Instant};

use geraniumrelay_core::Clock;

/// Shared by the poller, which notes answers, and the operators' interface, which shows them.
#[derive(Debug, Default)]
pub struct PlatformContact {
    last: Mutex<Option<Instant>>,
}

impl PlatformContact {
    /// Notes an answer.
    pub fn record_answer(&self, clock: &impl Clock) {
        *self.last.lock().unwrap_or_else(PoisonError::into_inner) = Some(clock.now());
    }

    /// Time since the last answer; `None` where there was none.
    pub fn since_last_answer(&self, clock: &impl Clock) -> Option<Duration> {
        let last = *self.last.lock().unwrap_or_else(PoisonError::into_inner);
        last.map(|at| clock.now().saturating_duration_since(at))
    }
}
