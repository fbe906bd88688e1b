//! Detects running tasks that will not end in time at their current pace.
//!
//! Load pattern: workers become several times slower, and some tasks take longer than their callers
//! wait. A task on a slow worker that would miss its objective is restarted elsewhere if it ends
//! sooner there, in time for the objective; a job that can't end in time is ended, which frees its capacity.
//! Workers of a slower kind are not slow in this sense, as `Run::expected` has their factor.

use std::time::{Duration, Instant};

use super::Scheduler;
use crate::context::Context;
use crate::leased::effect::{Effect, JobOutcome};
use crate::leased::job::JobKey;
use crate::leased::log_event::StopCause;
use crate::leased::names::TaskName;
use crate::leased::worker::{Run, RunState, WorkerKey};

/// Least progress from which a pace is projected, in percent: reports are in whole percent, too
/// coarse for less.
const MIN_PERCENT: u8 = 8;

/// Time that a stop and a start on another worker take.
const RESTART_TIME: Duration = Duration::from_millis(30);

/// Error margin of a projected end.
const PROJECTED_END_MARGIN: Duration = Duration::from_millis(20);

impl Scheduler {
    /// Stops runs of a slow worker that would end sooner elsewhere, and ends jobs whose runs are
    /// projected to end after their deadlines.
    pub(super) fn check_paces(&mut self, cx: &Context<'_>, key: WorkerKey, out: &mut Vec<Effect>) {
        let mut slow_runs: Vec<(TaskName, u32)> = Vec::new();
        let mut overdue_jobs: Vec<JobKey> = Vec::new();
        let mut late_runs: Vec<(Run, Instant)> = Vec::new();
        let worker = &mut self.workers[key];
        for run in &mut worker.runs {
            let Some(end) = projected_end(run, cx.now) else {
                continue;
            };
            let run_time = end.saturating_duration_since(run.sent);
            let ratio = run_time.as_secs_f64() / run.expected.as_secs_f64().max(0.001);
            if ratio >= cx.cfg.leased.slow_factor && !run.is_pace_counted {
                run.is_pace_counted = true;
                worker.health.add_pace_sample(ratio, cx.now, &cx.cfg.leased);
            }
            let Some(job) = self.jobs.get(run.task.job) else {
                continue;
            };
            let is_slow = worker.health.slowness(&cx.cfg.leased) > 1.0;
            if is_slow && end > job.times.objective {
                late_runs.push((run.clone(), end));
            } else if end > job.times.deadline + PROJECTED_END_MARGIN {
                overdue_jobs.push(run.task.job);
            }
        }
        for (run, end) in late_runs {
            let job = &self.jobs[run.task.job];
            let is_overdue = end > job.times.deadline + PROJECTED_END_MARGIN;
            // A run that its caller does not wait for is of no use.
            let limit = if is_overdue {
                job.times.deadline
            } else {
                job.times.objective
            };
            let run_time = end.saturating_duration_since(run.sent);
            let is_too_long = self.is_run_too_long(cx, key, (job, &run), run_time);
            let elsewhere = is_too_long
                .then(|| self.run_time_elsewhere(cx, key, job, &run))
                .flatten();
            let restarted_end = elsewhere.map(|run| cx.now + RESTART_TIME + run);
            if restarted_end.is_some_and(|at| at < end && at <= limit) {
                slow_runs.push((run.name, run.run));
            } else if is_overdue {
                overdue_jobs.push(run.task.job);
            }
        }
        for run in slow_runs {
            self.stop_with_cause(cx, key, run, StopCause::SlowWorker, out);
        }
        for job in overdue_jobs {
            self.finish(cx, job, JobOutcome::TimedOut, out);
        }
    }
}

/// Projected end of a run at its current pace; `None` if its start is unknown, it is not confirmed
/// as running, or its progress is too small.
fn projected_end(run: &Run, now: Instant) -> Option<Instant> {
    if run.is_adopted || run.state != RunState::Running || run.percent < MIN_PERCENT {
        return None;
    }
    let took = run.progressed_at.saturating_duration_since(run.sent);
    // Reported percentages are rounded down, so up to one more percent may be done.
    let run_time = took.mul_f64(100.0 / (f64::from(run.percent) + 1.0));
    Some((run.sent + run_time).max(now))
}
