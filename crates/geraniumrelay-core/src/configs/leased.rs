//! Settings of jobs whose tasks run under leases.

use std::time::Duration;

/// Times and limits of the scheduler.
#[derive(Debug, Clone)]
pub struct LeasedConfig {
    /// Time by which each order and look extends the leases on a worker; below the platform's
    /// longest lease of one second, so that it is never cut.
    pub lease: Duration,
    /// Longest wait of a look for an end; a third of a lease, so that two looks may be lost.
    pub max_poll_wait: Duration,
    /// Shortest wait of a look for an end; bounds the looks at an overdue task.
    pub min_poll_wait: Duration,
    /// Time after a task's expected end at which its progress is checked.
    pub overdue_slack: Duration,
    /// First pause between looks at a worker that does not answer; doubles each time.
    pub first_pause: Duration,
    /// Longest pause between looks at a worker that does not answer, or that fails its tasks.
    pub max_pause: Duration,
    /// Pause of a worker after the first task that fails or stands still; doubles each time.
    pub failure_pause: Duration,
    /// Time for which a worker that had no room gets nothing, unless an end is seen there before.
    pub full_pause: Duration,
    /// Most workers set aside for failures, in percent; more than that is no fault of the workers.
    pub max_paused_percent: usize,
    /// Time that runs of an earlier scheduler may go on without an entry VM that asks for them; long
    /// enough for entry VMs to pass their jobs on again.
    pub unclaimed_run_grace: Duration,
    /// Time within which what an earlier scheduler started has ended, where a worker can't be
    /// asked: the longest lease, on the slowest clock.
    pub takeover_wait: Duration,
    /// Time for which a scheduler goes on with kept jobs after it last knew that nobody else decides
    /// on them; covers two reads of a store that is 70 times slower than usual.
    pub epoch_ttl: Duration,
    /// Time after which it makes sure again; several times within `epoch_ttl`.
    pub epoch_refresh: Duration,
    /// Time after which it asks the store again that has not answered.
    pub epoch_repeat: Duration,
    /// Time in which a kept job that can't be stored is refused, where it has not been sent to the
    /// store; a takeover takes less.
    pub store_timeout: Duration,
    /// Time after which a scheduler gives up of which single workers have seen a higher token; longer
    /// than entry VMs take to hear of each other after a partition.
    pub higher_token_timeout: Duration,
    /// Time for which a worker that lists ends of runs that count as lost may finish what it runs.
    pub stale_end_drain: Duration,
    /// Time for which a worker that is not listed any more may still run what another scheduler
    /// starts there, behind a partition; longer than partitions that callers sit out.
    pub departed_ttl: Duration,
    /// Longest time that a stopped run may go on, unlisted; the platform's bound and a margin.
    pub stop_grace: Duration,
    /// Time for which the jobs of an entry VM go on after its link has broken: it connects again
    /// within this time if it lives, and its callers don't send again sooner if it doesn't.
    pub entry_grace: Duration,
    /// Time for which the outcome of a job is kept for repeats of its submission.
    pub outcome_ttl: Duration,
    /// Waiting jobs that are looked at for one that fits.
    pub scan_limit: usize,
    /// Share of the slack beyond which an expected wait leads to refusal, in percent.
    pub admit_percent: u32,
    /// Weight of the newest run time in the learnt mean of its queue.
    pub estimate_weight: f64,
    /// Run time over the expected one from which a worker counts as slow.
    pub slow_factor: f64,
}

impl Default for LeasedConfig {
    fn default() -> Self {
        Self {
            lease: Duration::from_millis(950),
            max_poll_wait: Duration::from_millis(300),
            min_poll_wait: Duration::from_millis(40),
            overdue_slack: Duration::from_millis(15),
            first_pause: Duration::from_millis(100),
            max_pause: Duration::from_secs(2),
            failure_pause: Duration::from_millis(200),
            full_pause: Duration::from_millis(60),
            max_paused_percent: 40,
            unclaimed_run_grace: Duration::from_millis(250),
            takeover_wait: Duration::from_millis(1100),
            epoch_ttl: Duration::from_millis(800),
            epoch_refresh: Duration::from_millis(200),
            epoch_repeat: Duration::from_millis(250),
            store_timeout: Duration::from_millis(700),
            higher_token_timeout: Duration::from_secs(2),
            stale_end_drain: Duration::from_secs(3),
            departed_ttl: Duration::from_secs(20),
            stop_grace: Duration::from_millis(80),
            entry_grace: Duration::from_millis(500),
            outcome_ttl: Duration::from_secs(10),
            scan_limit: 24,
            admit_percent: 70,
            estimate_weight: 0.05,
            slow_factor: 2.5,
        }
    }
}
