//! Time of the platform's last answer.

use std::sync::{Mutex, PoisonError};
use std::time::{Duration, Instant};

use geraniumrelay_core::Clock;

/// Time of the platform's last answer, recorded by the poller and read by the operators' interface.
#[derive(Debug, Default)]
pub struct PlatformContact {
    last_answer: Mutex<Option<Instant>>,
}

impl PlatformContact {
    /// Records an answer at the current time.
    pub fn record_answer(&self, clock: &impl Clock) {
        *self
            .last_answer
            .lock()
            .unwrap_or_else(PoisonError::into_inner) = Some(clock.now());
    }

    /// Time since the last answer; `None` before the first.
    pub fn since_last_answer(&self, clock: &impl Clock) -> Option<Duration> {
        let last_answer = *self
            .last_answer
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        last_answer.map(|at| clock.now().saturating_duration_since(at))
    }
}
