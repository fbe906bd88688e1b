//! Running tasks that will not end in time at their present pace.
//!
//! Load pattern: workers turn several times slower, and some tasks take longer than their callers
//! wait. A task on a slow worker moves where it can still end in time; a job that can't end in time
//! gives its room back.

use std::time::{Duration, Instant};

use super::Scheduler;
use crate::context::Context;
use crate::leased::effect::{Effect, JobOutcome};
use crate::leased::job::JobKey;
use crate::leased::names::TaskName;
use crate::leased::note::StopCause;
use crate::leased::worker::{Run, RunState, WorkerKey};

/// Progress from which a pace can be told: reports are in whole percent.
const MIN_PERCENT: u8 = 8;

/// Time that a stop and a new start take.
const RESTART_TIME: Duration = Duration::from_millis(30);

/// Margin of error of a projected end.
const PROJECTED_END_MARGIN: Duration = Duration::from_millis(20);

impl Scheduler {
    pub(super) fn check_paces(&mut self, cx: &Context<'_>, key: WorkerKey, out: &mut Vec<Effect>) {
        let mut slow_runs: Vec<(TaskName, u32)> = Vec::new();
        let mut overdue_jobs: Vec<JobKey> = Vec::new();
        let worker = &mut self.workers[key];
        for run in &mut worker.runs {
            let Some(end) = projected_end(run, cx.now) else {
                continue;
            };
            let whole = end.saturating_duration_since(run.sent);
            let ratio = whole.as_secs_f64() / run.expected.as_secs_f64().max(0.001);
            if ratio >= cx.cfg.leased.slow_factor && !run.is_pace_noted {
                run.is_pace_noted = true;
                worker.health.note_pace(ratio, cx.now, &cx.cfg.leased);
            }
            let Some(job) = self.jobs.get(run.task.job) else {
                continue;
            };
            let is_slow = worker.health.slowness(&cx.cfg.leased) > 1.0;
            let moved_end = cx.now + RESTART_TIME + run.expected;
            if is_slow && moved_end < end && end > job.times.objective {
                slow_runs.push((run.name, run.run));
            } else if end > job.times.give_up + PROJECTED_END_MARGIN {
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

/// When a run ends at its present pace, where that can be told.
fn projected_end(run: &Run, now: Instant) -> Option<Instant> {
    if run.is_adopted || run.state != RunState::Running || run.percent < MIN_PERCENT {
        return None;
    }
    let took = run.moved.saturating_duration_since(run.sent);
    // Reports are rounded down.
    let whole = took.mul_f64(100.0 / (f64::from(run.percent) + 1.0));
    Some((run.sent + whole).max(now))
}
