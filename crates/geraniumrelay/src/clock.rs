//! Clock of the operating system, behind the [`Clock`] trait.

use std::time::{Instant, SystemTime};

use geraniumrelay_core::Clock;

/// Reads the monotonic clock and the wall clock of the operating system.
#[derive(Debug, Clone, Copy, Default)]
pub struct SystemClock;

impl Clock for SystemClock {
    fn now(&self) -> Instant {
        Instant::now()
    }

    fn wall(&self) -> SystemTime {
        SystemTime::now()
    }
}
