//! Jobs and tasks in flight at the process that owns their tickets.

use std::sync::Arc;
use std::time::{Duration, Instant};

use slotmap::{SlotMap, new_key_type};

use crate::collections::Set;
use crate::command::Waiter;
use crate::effect::{Answer, TaskResult};
use crate::modules::journal::Intent;
use crate::modules::sheet::Urgency;
use crate::modules::targets::{TargetKey, TaskKey};
use crate::names::{KindName, ServiceName, TeamName};
use crate::query::JobProgress;
use crate::reason::Reason;
use crate::ticket::Ticket;
use crate::verdict::Verdict;

/// Maximum number of waiters of one job, which bounds the memory that a burst of resubmissions
/// takes.
pub const MAX_WAITERS: usize = 1_000;

new_key_type! {
    /// Key of a job in the arena of [`Jobs`].
    pub struct JobKey;
}

/// State of one task.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum TaskState {
    /// Waits for a slot.
    Queued,
    /// Sent to a target; may not have started there yet.
    Running {
        /// Target that the task was sent to.
        target: TargetKey,
    },
    /// Has a result.
    Ended {
        /// Verdict and output.
        result: TaskResult,
    },
}

/// One task in flight.
#[derive(Debug)]
pub struct Task {
    /// Job that the task belongs to.
    pub job: JobKey,
    /// Position in the job, from 0.
    pub index: u32,
    /// Opaque input that the target gets.
    pub payload: Arc<str>,
    /// Queued, running or ended.
    pub state: TaskState,
    /// Number of starts attempted so far.
    pub attempts: u32,
}

/// One job in flight.
#[derive(Debug)]
pub struct Job {
    /// Ticket of the submission.
    pub ticket: Ticket,
    /// Service whose targets run the job.
    pub service: ServiceName,
    /// Request kind of the submission.
    pub kind: KindName,
    /// Team whose share the job uses; `None` for submissions without a team.
    pub team: Option<TeamName>,
    /// Urgency class of the request kind.
    pub urgency: Urgency,
    /// Journal entry of the submission; `None` for idempotent request kinds.
    pub intent: Option<Intent>,
    /// Arrival time of the submission.
    pub arrived: Instant,
    /// Time by which the answer is due.
    pub deadline: Instant,
    /// Time of the next check: the deadline, or the last time at which a start can still meet it.
    pub timer: Instant,
    /// Mean run time of the tasks as declared by the caller; `None` where none is declared.
    pub declared: Option<Duration>,
    /// Expected run time of each task, as estimated at admission.
    pub expected: Duration,
    /// Whether any task of the job was sent to a target.
    pub has_started: bool,
    /// Tasks by their position in the job.
    pub tasks: Vec<TaskKey>,
    /// Tasks that wait for a slot, in reverse order: the next one to start is the last.
    pub waiting: Vec<TaskKey>,
    /// Number of tasks without a result.
    pub open: u32,
    /// Waiters that get the answer.
    pub waiters: Vec<Waiter>,
}

impl Job {
    /// Adds a waiter; returns `false` if the job already has [`MAX_WAITERS`].
    pub fn join(&mut self, waiter: Waiter) -> bool {
        let has_room = self.waiters.len() < MAX_WAITERS;
        if has_room {
            self.waiters.push(waiter);
        }
        has_room
    }
}

/// Arenas of all jobs and tasks in flight.
#[derive(Debug, Default)]
pub struct Jobs {
    jobs: SlotMap<JobKey, Job>,
    tasks: SlotMap<TaskKey, Task>,
}

impl Jobs {
    /// Adds a job with one queued task per payload.
    pub fn insert(&mut self, mut job: Job, payloads: Vec<Arc<str>>) -> JobKey {
        job.open = u32::try_from(payloads.len()).unwrap_or(u32::MAX);
        let key = self.jobs.insert(job);
        let mut tasks = Vec::with_capacity(payloads.len());
        for (index, payload) in (0..).zip(payloads) {
            let task = Task {
                job: key,
                index,
                payload,
                state: TaskState::Queued,
                attempts: 0,
            };
            tasks.push(self.tasks.insert(task));
        }
        let job = &mut self.jobs[key];
        job.waiting = tasks.iter().rev().copied().collect();
        job.tasks = tasks;
        key
    }

    /// The job of a key; `None` once the job has ended.
    pub fn job(&self, key: JobKey) -> Option<&Job> {
        self.jobs.get(key)
    }

    /// Mutable access to a job; `None` once the job has ended.
    pub fn job_mut(&mut self, key: JobKey) -> Option<&mut Job> {
        self.jobs.get_mut(key)
    }

    /// The task of a key; `None` once its job has ended.
    pub fn task(&self, key: TaskKey) -> Option<&Task> {
        self.tasks.get(key)
    }

    /// Mutable access to a task; `None` once its job has ended.
    pub fn task_mut(&mut self, key: TaskKey) -> Option<&mut Task> {
        self.tasks.get_mut(key)
    }

    /// All jobs in flight.
    pub fn iter(&self) -> impl Iterator<Item = (JobKey, &Job)> {
        self.jobs.iter()
    }

    /// Number of jobs in flight.
    pub fn len(&self) -> usize {
        self.jobs.len()
    }

    /// Whether no job is in flight.
    pub fn is_empty(&self) -> bool {
        self.jobs.is_empty()
    }

    /// Records the result of a task; returns the number of tasks of its job without a result, or
    /// `None` if the job has ended.
    pub fn end_task(&mut self, key: TaskKey, result: TaskResult) -> Option<u32> {
        let task = self.tasks.get_mut(key)?;
        task.state = TaskState::Ended { result };
        let job = self.jobs.get_mut(task.job)?;
        job.open -= 1;
        Some(job.open)
    }

    /// Removes the waiters of departed callers from all jobs.
    pub fn drop_waiters(&mut self, departed: &Set<Waiter>) {
        for job in self.jobs.values_mut() {
            job.waiters.retain(|waiter| !departed.contains(waiter));
        }
    }

    /// Counts the queued, running and ended tasks of a job; `None` once the job has ended.
    pub fn progress(&self, key: JobKey) -> Option<JobProgress> {
        let job = self.jobs.get(key)?;
        let mut progress = JobProgress {
            ticket: job.ticket,
            queued: 0,
            running: 0,
            ended: 0,
        };
        for task in &job.tasks {
            match self.tasks[*task].state {
                TaskState::Queued => progress.queued += 1,
                TaskState::Running { .. } => progress.running += 1,
                TaskState::Ended { .. } => progress.ended += 1,
            }
        }
        Some(progress)
    }

    /// Removes a job and builds its answer; `reason` is the cause of a failure and goes into the
    /// answer only if a task has not completed.
    pub fn finish(&mut self, key: JobKey, reason: Option<Reason>) -> Option<(Job, Answer)> {
        let job = self.jobs.remove(key)?;
        let mut results = Vec::with_capacity(job.tasks.len());
        for task in &job.tasks {
            results.push(
                self.tasks
                    .remove(*task)
                    .map_or_else(not_run_result, result_of),
            );
        }
        let answer = build_answer(results, reason);
        Some((job, answer))
    }
}

fn not_run_result() -> TaskResult {
    TaskResult {
        verdict: Verdict::NotRun,
        output: String::new(),
    }
}

fn result_of(task: Task) -> TaskResult {
    match task.state {
        TaskState::Queued => not_run_result(),
        TaskState::Running { .. } => TaskResult {
            verdict: Verdict::MayHaveRun,
            output: String::new(),
        },
        TaskState::Ended { result } => result,
    }
}

/// Builds the answer of a job. A failed job's answer has no outputs, so that a caller can't take
/// it for a complete one.
fn build_answer(mut tasks: Vec<TaskResult>, reason: Option<Reason>) -> Answer {
    if tasks.iter().all(|task| task.verdict == Verdict::Completed) {
        return Answer {
            verdict: Verdict::Completed,
            reason: None,
            tasks,
        };
    }
    for task in &mut tasks {
        task.output = String::new();
    }
    Answer {
        verdict: failed_verdict(&tasks),
        reason,
        tasks,
    }
}

fn failed_verdict(tasks: &[TaskResult]) -> Verdict {
    let has = |verdict| tasks.iter().any(|task| task.verdict == verdict);
    if has(Verdict::Completed) || has(Verdict::Failed) {
        Verdict::Failed
    } else if has(Verdict::MayHaveRun) {
        Verdict::MayHaveRun
    } else {
        Verdict::NotRun
    }
}

#[cfg(test)]
mod tests {
    use std::time::Duration;

    use super::*;
    use crate::ticket::{Incarnation, TicketKey, TicketMint};

    fn job() -> Job {
        let dc = "szeged".parse().unwrap();
        let mint = TicketMint::new(dc, Incarnation(1), TicketKey([1; 16]));
        Job {
            ticket: mint.mint().unwrap(),
            service: "kiallitas-pont".parse().unwrap(),
            kind: "hold".parse().unwrap(),
            team: None,
            arrived: Instant::now(),
            timer: Instant::now(),
            declared: None,
            expected: Duration::ZERO,
            has_started: false,
            waiting: Vec::new(),
            urgency: Urgency::Urgent,
            intent: None,
            deadline: Instant::now() + Duration::from_secs(1),
            tasks: Vec::new(),
            open: 0,
            waiters: Vec::new(),
        }
    }

    #[test]
    fn waiters_are_bounded_and_departed_waiters_free_their_places() {
        let mut jobs = Jobs::default();
        let key = jobs.insert(job(), Vec::new());
        let join = |jobs: &mut Jobs, n| jobs.job_mut(key).unwrap().join(Waiter(n));
        let all = 0..10_000;
        let joined = all.filter(|n| join(&mut jobs, *n)).count();
        assert_eq!(joined, MAX_WAITERS);
        jobs.drop_waiters(&[Waiter(0)].into_iter().collect());
        assert!(join(&mut jobs, 10_000));
        assert!(!join(&mut jobs, 10_001));
    }
}
