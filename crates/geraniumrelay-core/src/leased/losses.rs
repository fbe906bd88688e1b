//! Runs that ended together with their workers, by task.
//!
//! Load pattern: some tasks crash each worker that starts them, and the tasks beside them are lost as
//! well. Such a task has to be told apart from its neighbours, and given up after few crashes.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use super::names::{JobId, TaskName};

/// Crashes after which a task is given up.
const MAX_CRASHES: usize = 3;

/// Same, if one of the workers ran nothing but the task's job: no other job can be the cause.
const MAX_CRASHES_ALONE: usize = 2;

/// Lost runs after which a task is given up, whether or not it is known that their workers crashed:
/// below the number of starts that the platform allows.
const MAX_LOST_RUNS: usize = 4;

/// Lost runs from which the next start waits for word on the workers.
const MAX_LOST_RUNS_AT_ONCE: usize = 2;

/// Time for word on a silent worker: it restarts, or the platform removes its entry.
const WORD_WAIT: Duration = Duration::from_secs(5);

/// Time for which the losses of a job without callers are kept; longer than callers wait before they
/// send a job again.
const TTL: Duration = Duration::from_mins(1);

/// Maximum number of tasks whose losses are kept.
const MAX_TASKS: usize = 4_096;

/// A run that ended together with its worker.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LostRun {
    /// Number of the task's run.
    pub run: u32,
    /// Whether the worker ran nothing but the task's job.
    pub was_alone: bool,
    /// Whether the worker is known to have crashed; otherwise it may have been out of reach.
    pub is_crash: bool,
}

/// What a task's lost runs say about its next start.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Verdict {
    /// No run was lost.
    Clear,
    /// The task may crash its worker: it starts where little else runs.
    Suspect {
        /// Earliest time of the start.
        not_before: Instant,
        /// Whether nothing may run beside the task, so that the next crash is certain to be its own.
        needs_own_worker: bool,
    },
    /// The task crashes its workers, and is given up.
    GivenUp,
}

/// Lost runs of a task.
#[derive(Debug)]
struct TaskLosses {
    runs: Vec<LostRun>,
    changed: Instant,
}

impl TaskLosses {
    fn verdict(&self) -> Verdict {
        let crashes = self.runs.iter().filter(|r| r.is_crash);
        let count = crashes.clone().count();
        let limit = if crashes.clone().any(|r| r.was_alone) {
            MAX_CRASHES_ALONE
        } else {
            MAX_CRASHES
        };
        if count >= limit || self.runs.len() >= MAX_LOST_RUNS {
            Verdict::GivenUp
        } else {
            let needs_own_worker = self.runs.len() >= MAX_LOST_RUNS_AT_ONCE;
            let wait = if needs_own_worker {
                WORD_WAIT
            } else {
                Duration::ZERO
            };
            Verdict::Suspect {
                not_before: self.changed + wait,
                needs_own_worker,
            }
        }
    }
}

/// Lost runs of all tasks. They outlast the job in the scheduler, as its caller may send it again.
#[derive(Debug, Default)]
pub(super) struct Losses {
    /// Ordered map, as callers choose the ids.
    tasks: BTreeMap<TaskName, TaskLosses>,
}

impl Losses {
    /// Adds a lost run, or what else is known of it.
    pub(super) fn add(&mut self, task: TaskName, lost: LostRun, now: Instant) {
        if self.tasks.len() >= MAX_TASKS && !self.tasks.contains_key(&task) {
            self.drop_oldest();
        }
        let losses = self.tasks.entry(task).or_insert(TaskLosses {
            runs: Vec::new(),
            changed: now,
        });
        if let Some(known) = losses.runs.iter_mut().find(|r| r.run == lost.run) {
            known.was_alone |= lost.was_alone;
            known.is_crash |= lost.is_crash;
        } else {
            losses.runs.push(lost);
            losses.changed = now;
        }
    }

    /// Records that the worker of a lost run has crashed.
    pub(super) fn confirm(&mut self, task: TaskName, run: u32) {
        let runs = self.tasks.get_mut(&task).map(|l| &mut l.runs);
        for lost in runs.into_iter().flatten().filter(|r| r.run == run) {
            lost.is_crash = true;
        }
    }

    /// Drops a lost run whose worker has not crashed.
    pub(super) fn remove(&mut self, task: TaskName, run: u32) {
        let Some(losses) = self.tasks.get_mut(&task) else {
            return;
        };
        losses.runs.retain(|r| r.run != run);
        if losses.runs.is_empty() {
            self.tasks.remove(&task);
        }
    }

    pub(super) fn verdict(&self, task: TaskName) -> Verdict {
        let losses = self.tasks.get(&task);
        losses.map_or(Verdict::Clear, TaskLosses::verdict)
    }

    pub(super) fn of_task(&self, task: TaskName) -> &[LostRun] {
        self.tasks.get(&task).map_or(&[], |l| &l.runs)
    }

    /// Lost runs of a job's tasks.
    pub(super) fn of_job(&self, id: JobId) -> impl Iterator<Item = (TaskName, &[LostRun])> {
        let name = |occurrence, step, index| TaskName {
            job: id,
            occurrence,
            step,
            index,
        };
        let range = name(0, 0, 0)..=name(u32::MAX, u16::MAX, u16::MAX);
        let tasks = self.tasks.range(range);
        tasks.map(|(&task, losses)| (task, losses.runs.as_slice()))
    }

    /// Drops old losses of jobs that are not open.
    pub(super) fn expire(&mut self, now: Instant, is_open: impl Fn(JobId) -> bool) {
        self.tasks.retain(|task, losses| {
            now.saturating_duration_since(losses.changed) < TTL || is_open(task.job)
        });
    }

    fn drop_oldest(&mut self) {
        let oldest = self.tasks.iter().min_by_key(|(_, l)| l.changed);
        if let Some(task) = oldest.map(|(&task, _)| task) {
            self.tasks.remove(&task);
        }
    }
}
