//! Admission control: whether an arriving job can be served in time.
//!
//! Load pattern: more work than the workers can do. Jobs that would wait too long are refused on
//! arrival, when their callers can still go elsewhere; queued work that times out would delay the
//! rest. Capacity that more urgent jobs are expected to take is left to them, so that the least
//! urgent jobs are refused first.

use std::time::Duration;

use crate::configs::leased::LeasedConfig;

/// Free, queued and released processor as an arriving job finds it, in thousandths of a core.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Backlog {
    /// Processor that is free on arrival.
    pub free: u64,
    /// Processor of all workers of the service that may become usable.
    pub capacity: u64,
    /// Processor that is in use on average if all jobs of the last second are served, refused ones as well.
    pub asked_for: f64,
    /// Processor that tasks queued ahead of the job need.
    pub ahead: u64,
    /// Processor that the tasks of the job that can start at once need.
    pub own: u64,
    /// Processor that running tasks release per second.
    pub freed_per_s: f64,
    /// Processor per second that more urgent jobs have taken, and are expected to take.
    pub urgent_per_s: f64,
}

/// Minimum share of the released processor that is left for a job beside more urgent ones, so that no
/// priority is refused altogether.
const MIN_SHARE: f64 = 0.25;

/// Time until all tasks of the job can have started; `None` if no processor is released.
pub fn expected_wait(backlog: &Backlog) -> Option<Duration> {
    let needed = backlog.ahead + backlog.own;
    if needed <= backlog.free {
        return Some(Duration::ZERO);
    }
    let rate = (backlog.freed_per_s - backlog.urgent_per_s).max(backlog.freed_per_s * MIN_SHARE);
    if rate <= 0.0 {
        return None;
    }
    #[expect(clippy::cast_precision_loss, reason = "a rough estimate")]
    let missing = (needed - backlog.free) as f64;
    Duration::try_from_secs_f64(missing / rate).ok()
}

/// Whether the service is asked for more work than its capacity.
pub fn is_overloaded(cfg: &LeasedConfig, backlog: &Backlog) -> bool {
    #[expect(clippy::cast_precision_loss, reason = "a rough estimate")]
    let capacity = backlog.capacity as f64;
    backlog.asked_for * 100.0 > capacity * f64::from(cfg.overload_percent)
}

/// Share of its slack for which a job may wait, in percent: less under overload that lasts longer than the
/// slack of a job, as the queue does not get shorter then.
pub fn admit_percent(cfg: &LeasedConfig, backlog: &Backlog) -> u32 {
    if is_overloaded(cfg, backlog) {
        cfg.overload_admit_percent
    } else {
        cfg.admit_percent
    }
}

/// Whether a job with the expected `wait` is admitted: `wait` must not exceed `admit_percent` of
/// `slack`, the longest wait with which the job meets its objective.
pub fn is_admitted(wait: Option<Duration>, slack: Duration, admit_percent: u32) -> bool {
    wait.is_some_and(|wait| wait <= slack * admit_percent / 100)
}
