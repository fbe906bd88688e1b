//! Whether a job that has just come in can be served in time.
//!
//! Load pattern: more work than the workers can do. Jobs that would wait too long are refused on
//! arrival, when their callers can still turn elsewhere; work that waits in vain would delay the
//! rest. What more urgent jobs are going to take is left to them, so that the least urgent are
//! refused first.

use std::time::Duration;

/// What waits before a job, in thousandths of a core.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Backlog {
    /// Processor that is free now.
    pub free: u64,
    /// Processor that waiting tasks ahead of the job need.
    pub ahead: u64,
    /// Processor that the job itself needs at once.
    pub own: u64,
    /// Processor that running tasks free in a second.
    pub freed_per_s: f64,
    /// Processor that more urgent jobs have been taking in a second, and will go on to take.
    pub urgent_per_s: f64,
}

/// Least share of the freed processor that is left for a job beside more urgent ones, so that no
/// kind of job is refused altogether.
const MIN_SHARE: f64 = 0.25;

/// Time until all tasks of the job can have started; `None` where nothing becomes free.
pub fn expected_wait(backlog: &Backlog) -> Option<Duration> {
    let wanted = backlog.ahead + backlog.own;
    if wanted <= backlog.free {
        return Some(Duration::ZERO);
    }
    let rate = (backlog.freed_per_s - backlog.urgent_per_s).max(backlog.freed_per_s * MIN_SHARE);
    if rate <= 0.0 {
        return None;
    }
    #[expect(clippy::cast_precision_loss, reason = "a rough estimate")]
    let missing = (wanted - backlog.free) as f64;
    Duration::try_from_secs_f64(missing / rate).ok()
}

/// Whether a job that can wait for `slack` is admitted.
pub fn is_admitted(wait: Option<Duration>, slack: Duration, admit_percent: u32) -> bool {
    wait.is_some_and(|wait| wait <= slack * admit_percent / 100)
}
