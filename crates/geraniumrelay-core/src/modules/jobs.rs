//! Jobs and tasks in flight at their owner.

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

/// Most waiters of one job, so that a storm of resubmissions is bounded.
pub const MAX_WAITERS: usize = 1_000;

new_key_type! {
    /// Key of a job in its arena.
    pub struct JobKey;
}

/// Where one task stands.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum TaskState {
    /// Waits for a slot.
    Queued,
    /// Was handed to a target.
    Running {
        /// The target.
        target: TargetKey,
    },
    /// Ended.
    Ended {
        /// Its result.
        result: TaskResult,
    },
}

/// One task in flight.
#[derive(Debug)]
pub struct Task {
    /// Its job.
    pub job: JobKey,
    /// Position in the job, from 0.
    pub index: u32,
    /// Opaque input.
    pub payload: Arc<str>,
    /// Where it stands.
    pub state: TaskState,
    /// Starts tried so far.
    pub attempts: u32,
}

/// One job in flight.
#[derive(Debug)]
pub struct Job {
    /// Name of the submission.
    pub ticket: Ticket,
    /// Service that runs it.
    pub service: ServiceName,
    /// Its request kind.
    pub kind: KindName,
    /// Team whose share it uses.
    pub team: Option<TeamName>,
    /// Urgency class of its request kind.
    pub urgency: Urgency,
    /// What the journal notes of it; `None` where running it twice does no harm.
    pub intent: Option<Intent>,
    /// When it arrived.
    pub arrived: Instant,
    /// Time by which the answer is due.
    pub deadline: Instant,
    /// Time at which it is looked at again: its deadline, or the last time at which a start helps.
    pub timer: Instant,
    /// Mean declared run time of its tasks.
    pub declared: Option<Duration>,
    /// Run time expected of each task when it was taken in.
    pub expected: Duration,
    /// Whether any of its tasks was sent to a target.
    pub has_started: bool,
    /// Its tasks, in order.
    pub tasks: Vec<TaskKey>,
    /// Tasks that wait for a slot, the next one last.
    pub waiting: Vec<TaskKey>,
    /// Tasks without a result.
    pub open: u32,
    /// Who waits for the answer.
    pub waiters: Vec<Waiter>,
}

impl Job {
    /// Lets a further waiter wait for the answer; returns whether there was room.
    pub fn join(&mut self, waiter: Waiter) -> bool {
        let has_room = self.waiters.len() < MAX_WAITERS;
        if has_room {
            self.waiters.push(waiter);
        }
        has_room
    }
}

/// Arenas of jobs and tasks.
#[derive(Debug, Default)]
pub struct Jobs {
    jobs: SlotMap<JobKey, Job>,
    tasks: SlotMap<TaskKey, Task>,
}

impl Jobs {
    /// Takes in a job with the payloads of its tasks.
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

    /// The job, while it is in flight.
    pub fn job(&self, key: JobKey) -> Option<&Job> {
        self.jobs.get(key)
    }

    /// The job to change, while it is in flight.
    pub fn job_mut(&mut self, key: JobKey) -> Option<&mut Job> {
        self.jobs.get_mut(key)
    }

    /// The task, while its job is in flight.
    pub fn task(&self, key: TaskKey) -> Option<&Task> {
        self.tasks.get(key)
    }

    /// The task to change, while its job is in flight.
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

    /// Keeps the result of a task; returns how many tasks of its job are still open.
    pub fn end_task(&mut self, key: TaskKey, result: TaskResult) -> Option<u32> {
        let task = self.tasks.get_mut(key)?;
        task.state = TaskState::Ended { result };
        let job = self.jobs.get_mut(task.job)?;
        job.open -= 1;
        Some(job.open)
    }

    /// Forgets waiters that have gone.
    pub fn drop_waiters(&mut self, gone: &Set<Waiter>) {
        for job in self.jobs.values_mut() {
            job.waiters.retain(|waiter| !gone.contains(waiter));
        }
    }

    /// How far a job is.
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

    /// Removes a job and makes its answer; `reason` says why it failed, if it did.
    pub fn finish(&mut self, key: JobKey, reason: Option<Reason>) -> Option<(Job, Answer)> {
        let job = self.jobs.remove(key)?;
        let mut results = Vec::with_capacity(job.tasks.len());
        for task in &job.tasks {
            results.push(self.tasks.remove(*task).map_or_else(not_run, result_of));
        }
        let answer = make_answer(results, reason);
        Some((job, answer))
    }
}

fn not_run() -> TaskResult {
    TaskResult {
        verdict: Verdict::NotRun,
        output: String::new(),
    }
}

fn result_of(task: Task) -> TaskResult {
    match task.state {
        TaskState::Queued => not_run(),
        TaskState::Running { .. } => TaskResult {
            verdict: Verdict::MayHaveRun,
            output: String::new(),
        },
        TaskState::Ended { result } => result,
    }
}

/// A failed job's answer carries no outputs, so that nobody takes it for a whole one.
fn make_answer(mut tasks: Vec<TaskResult>, reason: Option<Reason>) -> Answer {
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
    fn waiters_are_bounded_and_leave_room() {
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
