//! Settings of the election.

use std::time::Duration;

/// Time-outs and limits of the election.
#[derive(Debug, Clone)]
pub struct ElectionConfig {
    /// Time without a heartbeat after which the scheduler counts as lost; five of its heartbeats.
    pub scheduler_timeout: Duration,
    /// Time without a heartbeat after which another entry VM counts as lost.
    pub peer_timeout: Duration,
    /// Time without a heartbeat after which another entry VM is not considered for a takeover; two of
    /// its heartbeats.
    pub peer_freshness: Duration,
    /// Time in which an existing scheduler's heartbeat may arrive, from when this process becomes
    /// eligible.
    pub start_grace: Duration,
    /// The time that replaces `start_grace` if half of the other entry VMs are heard and know of no
    /// scheduler; their heartbeats arrive within it.
    pub cluster_start_grace: Duration,
    /// Delay of a takeover for each preferred entry VM; covers a takeover and one heartbeat.
    pub rank_delay: Duration,
    /// Time without the platform's store after which the scheduler hands over to a VM that reaches it.
    pub store_timeout: Duration,
    /// Time in which the store answers all VMs again and their heartbeats say so: the pause between two
    /// reads and the interval between two heartbeats.
    pub store_return_time: Duration,
    /// Time for which a VM that was cut off waits for a heartbeat of the scheduler that others follow;
    /// entry VMs connect again within 0.4 s.
    pub rejoin_wait: Duration,
    /// Time for which a fenced scheduler leaves its workers to the other one, whose heartbeat arrives
    /// in this time if the connection between the two works again.
    pub fenced_pause: Duration,
    /// Minimum time between two tokens of a scheduler that is fenced by single workers; the workers are
    /// polled with the last one within it.
    pub token_raise_interval: Duration,
    /// Time from the return of the store to a VM by which the workers that were cut off with it are listed again, and what
    /// it has started there before is over: the platform lists them within two seconds.
    pub list_return_time: Duration,
    /// Smoothed lag from which a VM counts as overloaded.
    pub lag_limit: Duration,
    /// Time for which the scheduler must lag before it hands over; longer than the throttling of a VM
    /// that has used up its share of a core.
    pub min_lag_duration: Duration,
    /// Time after a takeover in which the scheduler does not hand over for its lag: if the load is too
    /// high for any VM, each hand-over only adds to it.
    pub min_tenure: Duration,
    /// Time after a takeover in which the scheduler does not hand over to a VM with a larger share of
    /// processor: the heartbeats of the other VMs that are starting arrive within it.
    pub min_share_tenure: Duration,
}

impl ElectionConfig {
    /// Default `lag_limit`: a job takes about six passes through its scheduler, within a budget of 60 ms
    /// beside the run time. A healthy VM lags by 1 ms, one that is five times slower by 8 to 11 ms.
    pub const LAG_LIMIT: Duration = Duration::from_millis(6);
}

impl Default for ElectionConfig {
    fn default() -> Self {
        Self {
            scheduler_timeout: Duration::from_millis(300),
            peer_timeout: Duration::from_millis(700),
            peer_freshness: Duration::from_millis(350),
            start_grace: Duration::from_millis(300),
            cluster_start_grace: Duration::from_millis(40),
            rank_delay: Duration::from_millis(150),
            store_timeout: Duration::from_millis(1_500),
            store_return_time: Duration::from_millis(900),
            rejoin_wait: Duration::from_millis(700),
            fenced_pause: Duration::from_millis(200),
            token_raise_interval: Duration::from_millis(500),
            list_return_time: Duration::from_secs(5),
            lag_limit: Self::LAG_LIMIT,
            min_lag_duration: Duration::from_millis(200),
            min_tenure: Duration::from_millis(1_500),
            min_share_tenure: Duration::from_millis(500),
        }
    }
}
