//! Settings of the shares of queues under contention.

use std::time::Duration;

/// Means of the demand, limits of the shares, and retry delays.
#[derive(Debug, Clone)]
pub struct ContentionConfig {
    /// Time constant of the recent demand of a queue: several tasks long, and shorter than a burst.
    pub recent_window: Duration,
    /// Time constant of the usual demand of a queue, its weight: longer than a burst.
    pub usual_window: Duration,
    /// Weight of the demand above a queue's share in its usual demand, in percent. At full weight a burst of 5 s
    /// would raise the weight of its own queue by half; without any, a lasting change would never be learnt.
    pub excess_weight_percent: u32,
    /// Minimum share of a queue that asks for it, in percent of the capacity; less with many queues.
    pub min_share_percent: u32,
    /// Demand from which a queue exceeds its share, in percent of the share. It counts without its standard deviation,
    /// which is 25 % for a queue of eight jobs a second.
    pub exceeds_percent: u32,
    /// Demand up to which a queue that exceeded its share has returned to it, in percent of the share.
    pub returns_percent: u32,
    /// Admitted work of a queue above its share from which its jobs must not wait, in percent of the share. Without
    /// it, jobs that need many workers at once would hardly find them free. At 90 %, 17 % instead of 13 % of the jobs
    /// with four long tasks missed their objective beside a burst of short ones.
    pub admitted_percent: u32,
    /// Time without overload after which shares are no longer enforced. The work that admission compares with
    /// `overload_percent` decays in steps of half a second, and falls below the limit after each of them.
    pub overload_hold: Duration,
    /// Minimum retry delay of a refused caller.
    pub min_retry_after: Duration,
    /// Maximum retry delay, before the delays of different jobs are spread.
    pub max_retry_after: Duration,
}

impl Default for ContentionConfig {
    fn default() -> Self {
        Self {
            recent_window: Duration::from_secs(1),
            usual_window: Duration::from_secs(10),
            excess_weight_percent: 25,
            min_share_percent: 5,
            exceeds_percent: 115,
            returns_percent: 105,
            admitted_percent: 60,
            overload_hold: Duration::from_secs(1),
            min_retry_after: Duration::from_secs(1),
            max_retry_after: Duration::from_secs(10),
        }
    }
}
