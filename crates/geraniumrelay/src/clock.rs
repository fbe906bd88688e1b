//! The machine's clock.

use std::time::{Instant, SystemTime};

use geraniumrelay_core::Clock;

/// Reads the machine's clocks.
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
