//! Estimate of a worker's monotonic clock, in which lease deadlines are given.

use std::time::{Duration, Instant};

/// Time on a worker's clock, in milliseconds since the worker's start.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, derive_more::Display)]
pub struct WorkerTime(pub u64);

impl WorkerTime {
    /// The time `delay` later, in whole milliseconds.
    #[must_use]
    pub fn after(self, delay: Duration) -> Self {
        Self(self.0 + u64::try_from(delay.as_millis()).unwrap_or(u64::MAX / 2))
    }
}

/// Slowest rate of a worker's clock relative to the scheduler's, in percent.
const SLOWEST_RATE_PERCENT: u64 = 98;

/// Fastest rate of a worker's clock relative to the scheduler's, in percent.
const FASTEST_RATE_PERCENT: u64 = 102;

/// Time that a reading may be on its way; longer than the time limit of a start call.
const MAX_READING_AGE: Duration = Duration::from_millis(100);

/// Margin added to the expiry of a lease. Another scheduler may have adopted the worker's runs before their leases expired,
/// as their entry VM has left this one; the last sign of a caller is too old for a start here by the end of the margin
/// (`LeasedConfig::start_ttl`).
const LAPSE_MARGIN: Duration = Duration::from_millis(450);

/// One reading of a worker's clock.
#[derive(Debug, Clone, Copy)]
pub struct WorkerClock {
    reading: WorkerTime,
    read_at: Instant,
}

impl WorkerClock {
    /// A reading whose reply arrived at `read_at`.
    pub fn new(reading: WorkerTime, read_at: Instant) -> Self {
        Self { reading, read_at }
    }

    /// The worker's clock as read.
    pub fn reading(&self) -> WorkerTime {
        self.reading
    }

    /// Whether the reading is at most `max_age` old at `now`.
    pub fn is_fresh(&self, now: Instant, max_age: Duration) -> bool {
        now.saturating_duration_since(self.read_at) <= max_age
    }

    /// Whether the same clock may have given `reading` in a reply that arrived at `now`.
    pub fn may_read(&self, reading: WorkerTime, now: Instant) -> bool {
        let elapsed = now.saturating_duration_since(self.read_at);
        let age = u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX / 200);
        let latency = u64::try_from(MAX_READING_AGE.as_millis()).unwrap_or(u64::MAX);
        let earliest = self.reading.0 + (age * SLOWEST_RATE_PERCENT / 100).saturating_sub(latency);
        let latest = self.reading.0 + age * FASTEST_RATE_PERCENT / 100 + latency;
        (earliest..=latest).contains(&reading.0)
    }

    /// Estimated worker time at `now`; not ahead of a worker clock that runs at the scheduler's rate.
    pub fn at(&self, now: Instant) -> WorkerTime {
        self.reading
            .after(now.saturating_duration_since(self.read_at))
    }

    /// The longest lease that has lapsed by `limit` even on the slowest clock.
    pub fn latest_lease(&self, limit: Instant) -> WorkerTime {
        let left = limit.saturating_duration_since(self.read_at);
        let left = u64::try_from(left.as_millis()).unwrap_or(u64::MAX / 100);
        WorkerTime(self.reading.0 + (left * SLOWEST_RATE_PERCENT / 100).saturating_sub(1))
    }

    /// End of the longest lease given before this reading, for up to `lease` from an estimate by a reading of at most
    /// `max_age`; that estimate is ahead of the slowest clock.
    pub fn longest_lease(&self, lease: Duration, max_age: Duration) -> WorkerTime {
        let age = u64::try_from(max_age.as_millis()).unwrap_or(u64::MAX / 100);
        let ahead = age * (100 - SLOWEST_RATE_PERCENT) / 100;
        WorkerTime(self.reading.after(lease).0 + ahead)
    }

    /// Time by which a lease until `until` has lapsed even on the slowest clock, with the margin.
    pub fn lapse(&self, until: WorkerTime) -> Instant {
        let left = until.0.saturating_sub(self.reading.0);
        self.read_at + Duration::from_millis(left * 100 / SLOWEST_RATE_PERCENT + 1) + LAPSE_MARGIN
    }
}
