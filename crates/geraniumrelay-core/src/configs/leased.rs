//! Settings of the scheduler of leased tasks.

use std::time::Duration;

use super::locality::LocalityConfig;

/// Times and limits of the scheduler.
#[derive(Debug, Clone)]
pub struct LeasedConfig {
    /// Length of the leases on a worker, counted anew from each start order and poll that renews them;
    /// below the platform's maximum of 1 s, so that the lease is never shortened.
    pub lease: Duration,
    /// Maximum age of the reading of a worker's clock that a start order may use. A worker that has
    /// restarted since would accept the order until its own, younger clock reaches the lease.
    pub max_clock_age: Duration,
    /// Maximum wait of a poll for an end; a third of a lease, so that two polls may be lost.
    pub max_poll_wait: Duration,
    /// Minimum wait of a poll for an end; limits the polls for an overdue task.
    pub min_poll_wait: Duration,
    /// Time after a task's expected end at which its progress is checked.
    pub overdue_slack: Duration,
    /// First pause between polls of an unresponsive worker; doubles each time.
    pub first_pause: Duration,
    /// Maximum pause between polls of an unresponsive worker, and maximum pause of a worker that fails
    /// its tasks.
    pub max_pause: Duration,
    /// Pause of a worker after the first task that fails or stalls; doubles each time.
    pub failure_pause: Duration,
    /// Time for which a worker that refused a task for lack of room gets no tasks, unless a run ends
    /// there before.
    pub full_pause: Duration,
    /// Maximum share of paused workers, and likewise of slow ones, in percent; with more, the workers
    /// are not the cause, and pauses or slowness are ignored.
    pub max_paused_percent: usize,
    /// Time after which unclaimed runs are stopped; long enough for entry VMs to pass their jobs on
    /// again after a takeover.
    pub unclaimed_run_grace: Duration,
    /// Time after a takeover by which runs of an earlier scheduler have ended on workers that can't be
    /// polled: the maximum lease, on the slowest clock.
    pub takeover_wait: Duration,
    /// Time for which a scheduler goes on with durable jobs after the last confirmation of its claim to
    /// the cell; covers two reads of a store that is 70 times slower than usual.
    pub epoch_ttl: Duration,
    /// Time after which the claim is confirmed again; several times within `epoch_ttl`.
    pub epoch_refresh: Duration,
    /// Time after which an unanswered claim is sent again.
    pub epoch_repeat: Duration,
    /// Time after which a durable job is refused that could not be sent to the store; longer than a
    /// takeover.
    pub store_timeout: Duration,
    /// Time for which single workers may follow a scheduler with a higher token before this scheduler
    /// is deposed; longer than heartbeats between entry VMs take to arrive after a partition.
    pub higher_token_timeout: Duration,
    /// Time in which a worker that lists ends of invalidated runs may finish its other runs, before its
    /// leases are left to lapse.
    pub stale_end_drain: Duration,
    /// Time for which a worker without an entry is polled, and holds up the jobs of the last scheduler: it may still
    /// answer. Longer than the partitions that callers wait out.
    pub departed_ttl: Duration,
    /// Time for which a worker without an entry is remembered after that, as it may run tasks of a scheduler beyond a
    /// partition; longer than partitions between regions last.
    pub absent_ttl: Duration,
    /// Time after a VM has left a scheduler in which that scheduler counts as one that uses no other workers than are
    /// known here: longer than the jobs of a dead scheduler take to arrive, and far below `departed_ttl`.
    pub predecessor_ttl: Duration,
    /// Maximum time for which a stopped run may go on without being listed; the platform's limit and a
    /// margin.
    pub stop_grace: Duration,
    /// Time for which the jobs of an entry VM go on after its connection has broken. A live
    /// entry VM connects again within this time, and the callers of a dead one do not retry sooner.
    pub entry_grace: Duration,
    /// Time after an entry VM's last sign that a caller waits for a job, by which all runs of the job have ended;
    /// shorter than the time after which a caller without an answer sends its job again. The sign dates from the
    /// heartbeat of the scheduler that the entry VM had received, so that delays of messages don't add to it.
    pub confirmation_ttl: Duration,
    /// Time after an entry VM's last sign that a caller waits for a job, in which its tasks may start. The entry VM may
    /// follow another scheduler since, which has adopted the job's runs; so this time is shorter than the margin after
    /// which runs on a worker out of reach count as lapsed.
    pub start_ttl: Duration,
    /// Least lease with which a task starts, and least part of `confirmation_ttl` that is left when the runs of an
    /// unconfirmed job are stopped: other tasks on the worker must not lose their lease if the stop takes a retry.
    pub min_lease: Duration,
    /// Time by which a lease that a worker has may outlast `confirmation_ttl` of a job that starts there; the rest of
    /// the time after which callers send their jobs again.
    pub lease_excess: Duration,
    /// Time without a message of an entry VM before its unconfirmed jobs are dropped; two of its confirmations.
    pub confirmation_timeout: Duration,
    /// Retention of the outcome of a job, for repeated submissions.
    pub outcome_ttl: Duration,
    /// Number of jobs that do not fit after which a pass over the queue ends.
    pub scan_limit: usize,
    /// Maximum expected wait of an admitted job, in percent of its slack.
    pub admit_percent: u32,
    /// Same under lasting overload: a job that ends late takes the room of one that would be in time.
    pub overload_admit_percent: u32,
    /// Work that callers ask for from which a service is overloaded, in percent of its capacity.
    pub overload_percent: u32,
    /// Time for which jobs that were admitted before an evacuation may go on starting tasks in the data centre; most
    /// jobs take less. The platform allows 5 s from the request, of which its news may take a part.
    pub evacuation_grace: Duration,
    /// Weight of the latest run time in the mean of its queue.
    pub estimate_weight: f64,
    /// Mean ratio of actual to expected run time from which a worker counts as slow.
    pub slow_factor: f64,
    /// Waits for places near the data.
    pub locality: LocalityConfig,
}

/// Least time between the end of all runs of a job whose caller has left and the arrival of its next copy: for the lag of
/// an entry VM that has not read yet that its caller is gone.
const RESEND_MARGIN: Duration = Duration::from_millis(250);

/// Least time for which runs go on without a sign of their caller: heartbeats and confirmations take half of it. Callers
/// that send their jobs again within this time and the margin may meet runs of the first copy.
const MIN_CONFIRMATION_TTL: Duration = Duration::from_millis(500);

/// Time by which leases of a former scheduler have ended before its successor counts them as lapsed.
const TAKEOVER_MARGIN: Duration = Duration::from_millis(50);

impl LeasedConfig {
    /// Sets the lease below the longest lease that a worker grants, the time that runs go on without a sign of their
    /// caller below the time after which a caller sends its job again, and the takeover wait above both.
    #[must_use]
    pub fn with_times(mut self, max_lease: Duration, resend_delay: Duration) -> Self {
        self.lease = self.lease.min(max_lease.mul_f64(0.95));
        let ttl = resend_delay.saturating_sub(RESEND_MARGIN);
        self.confirmation_ttl = self.confirmation_ttl.min(ttl).max(MIN_CONFIRMATION_TTL);
        self.min_lease = self.min_lease.min(self.confirmation_ttl.mul_f64(0.4));
        self.start_ttl = self
            .start_ttl
            .min(self.confirmation_ttl.saturating_sub(self.min_lease));
        let former_leases = self.confirmation_ttl + TAKEOVER_MARGIN;
        self.takeover_wait = max_lease.mul_f64(1.1).max(former_leases);
        self
    }

    /// Time after an entry VM has left a scheduler by which the runs there have ended that depend on signs of its callers.
    pub fn bounded_runs_wait(&self) -> Duration {
        let longest_run = self.confirmation_ttl + self.lease_excess;
        self.takeover_wait.max(longest_run + TAKEOVER_MARGIN)
    }
}

impl Default for LeasedConfig {
    fn default() -> Self {
        Self {
            lease: Duration::from_millis(950),
            max_clock_age: Duration::from_secs(1),
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
            absent_ttl: Duration::from_hours(2),
            predecessor_ttl: Duration::from_secs(5),
            stop_grace: Duration::from_millis(80),
            entry_grace: Duration::from_millis(500),
            confirmation_ttl: Duration::from_millis(1050),
            start_ttl: Duration::from_millis(400),
            min_lease: Duration::from_millis(400),
            lease_excess: Duration::from_millis(200),
            confirmation_timeout: Duration::from_millis(300),
            outcome_ttl: Duration::from_secs(10),
            scan_limit: 24,
            admit_percent: 70,
            overload_admit_percent: 35,
            overload_percent: 105,
            evacuation_grace: Duration::from_secs(1),
            estimate_weight: 0.05,
            slow_factor: 2.5,
            locality: LocalityConfig::default(),
        }
    }
}
