//! The steady clock of a worker, as far as it is known here.

use std::time::{Duration, Instant};

/// Time on a worker's clock, in milliseconds from its start.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, derive_more::Display)]
pub struct WorkerTime(pub u64);

impl WorkerTime {
    /// Later by `d`.
    #[must_use]
    pub fn after(self, d: Duration) -> Self {
        Self(self.0 + u64::try_from(d.as_millis()).unwrap_or(u64::MAX / 2))
    }
}

/// Slowest rate of a worker's clock against ours, in percent.
const SLOWEST_RATE_PERCENT: u64 = 98;

/// Added to the time at which a lease must have lapsed. Another scheduler that has taken the worker
/// over renews the leases of all that runs there, until it has stopped what nobody asks it for: it
/// takes over within 0.55 s of a partition and stops that within 0.3 s more, while the last renewal
/// may be 0.42 s older than the partition.
const LAPSE_MARGIN: Duration = Duration::from_millis(450);

/// One reading of a worker's clock.
#[derive(Debug, Clone, Copy)]
pub struct WorkerClock {
    reading: WorkerTime,
    read_at: Instant,
}

impl WorkerClock {
    /// A reading that arrived at `read_at`.
    pub fn new(reading: WorkerTime, read_at: Instant) -> Self {
        Self { reading, read_at }
    }

    /// The worker's time at `now`, never ahead of a clock that runs at our rate.
    pub fn at(&self, now: Instant) -> WorkerTime {
        self.reading
            .after(now.saturating_duration_since(self.read_at))
    }

    /// Time by which a lease until `until` has lapsed, even on the slowest clock.
    pub fn lapse(&self, until: WorkerTime) -> Instant {
        let left = until.0.saturating_sub(self.reading.0);
        self.read_at + Duration::from_millis(left * 100 / SLOWEST_RATE_PERCENT + 1) + LAPSE_MARGIN
    }
}
