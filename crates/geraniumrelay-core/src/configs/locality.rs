//! Settings of the wait for a place near a task's data.

use std::time::Duration;

/// When a task may wait for a place on the rack of its data.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NearWaitPolicy {
    /// Never: a task starts on any worker that is free.
    NoWait,
    /// For at most this time after the job's arrival, whatever is expected (delay scheduling).
    FixedWait(Duration),
    /// While the wait and the run near the data are expected to end before a run elsewhere.
    ExpectedTime,
}

/// Cost of runs away from their data, and limits of the wait for a place near it.
#[derive(Debug, Clone)]
pub struct LocalityConfig {
    /// Run time on a rack other than the preferred one, as a multiple of that on the preferred one; 1 for no effect.
    pub remote_factor: f64,
    /// When a task may wait.
    pub policy: NearWaitPolicy,
    /// Time before the latest start elsewhere at which a wait ends: without another event, the next placement pass is up
    /// to one tick of 25 ms away, and the call to the worker and the report of the end take some milliseconds.
    pub start_margin: Duration,
    /// Time after which a worker whose clock is being read can take a task: one prompt poll.
    pub clock_read_time: Duration,
}

impl Default for LocalityConfig {
    fn default() -> Self {
        Self {
            remote_factor: 1.0,
            policy: NearWaitPolicy::ExpectedTime,
            start_margin: Duration::from_millis(30),
            clock_read_time: Duration::from_millis(2),
        }
    }
}
