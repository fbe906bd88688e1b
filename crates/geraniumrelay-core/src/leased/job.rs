//! A job and its tasks.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::{Duration, Instant};

use super::admission::Backlog;
use super::names::{EntryVm, TaskName};
use super::record::{RecordState, TaskProgress};
use super::spec::{JobSpec, StepSpec};
use super::worker::WorkerKey;

slotmap::new_key_type! {
    /// Key of a job in the scheduler's arena.
    pub(super) struct JobKey;
}

/// A task in the scheduler's arena: its job and its position there.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct TaskKey {
    pub(super) job: JobKey,
    pub(super) position: u32,
}

/// Share of the expected run time that a job may be expected to take at least: callers' estimates
/// are off by some tens of percent either way.
const TOO_LONG_FACTOR: f64 = 0.8;

/// Times the objective within which a late answer is still of use.
const LATE_FACTOR: u32 = 3;

/// Where a job is in its life.
#[derive(Debug, Clone, Copy, PartialEq, Eq, derive_more::Display)]
pub enum JobState {
    /// No task has started.
    #[display("queued")]
    Queued,
    /// A task has started.
    #[display("running")]
    Running,
}

/// Where a task is in its life.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum TaskState {
    /// An earlier step is not done.
    Blocked,
    /// It can start.
    Waiting,
    /// A worker has it.
    Placed,
    /// It has ended with success.
    Done,
}

/// A task.
#[derive(Debug, Clone)]
pub(super) struct Task {
    pub(super) step: u16,
    pub(super) index: u16,
    pub(super) state: TaskState,
    /// Runs that ended as failed.
    pub(super) failed_runs: Vec<u32>,
    /// Number of the last run.
    pub(super) last_run: u32,
    /// Worker of the last run that failed.
    pub(super) failed_on: Option<WorkerKey>,
    /// Lower runs count as lost.
    pub(super) first_valid_run: u32,
}

impl Task {
    /// Takes note that a run has failed.
    pub(super) fn add_failed_run(&mut self, run: u32) {
        if !self.failed_runs.contains(&run) {
            self.failed_runs.push(run);
        }
    }

    /// Whether it has failed as often as it may.
    pub(super) fn is_failed(&self, max_attempts: u32) -> bool {
        self.failed_runs.len() >= max_attempts as usize
    }
}

/// Place of a job in the queue: the lowest goes first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Rank {
    /// Latest start at which the objective is met.
    pub(super) latest_start: Instant,
    pub(super) priority: u8,
    pub(super) sequence: u64,
}

/// Times that a job is held to.
#[derive(Debug, Clone, Copy)]
pub(super) struct Times {
    pub(super) arrived: Instant,
    /// Until when the answer is in time.
    pub(super) objective: Instant,
    /// When its caller stops waiting.
    pub(super) deadline: Instant,
}

/// An entry VM at which a caller waits for a job.
#[derive(Debug, Clone, Copy)]
pub(super) struct Origin {
    pub(super) vm: EntryVm,
    /// When it last passed the job on.
    pub(super) confirmed: Instant,
}

/// How much of a kept job is stored.
#[derive(Debug, Clone, Copy)]
#[expect(clippy::struct_excessive_bools, reason = "independent facts")]
pub(super) struct RecordSync {
    /// Version that is stored; 0 for none.
    pub(super) version: u64,
    /// Whether it has been stored for the first time.
    pub(super) is_accepted: bool,
    pub(super) state: RecordState,
    /// Whether something has changed since the last change was sent.
    pub(super) is_dirty: bool,
    /// When the change that is under way was sent.
    pub(super) in_flight_since: Option<Instant>,
    /// Number of the last change that was sent.
    pub(super) attempt: u32,
    /// Earliest time at which the next change is sent, after one that was not answered.
    pub(super) not_before: Option<Instant>,
    /// Whether a change has ever been sent: one that was not answered may yet be done.
    pub(super) was_sent: bool,
    /// When it came.
    pub(super) since: Instant,
    /// Whether tasks wait until it is stored that earlier runs of theirs count as lost.
    pub(super) blocks_starts: bool,
}

impl RecordSync {
    /// Takes note that the change under way may not have been done: it is sent again, under the same
    /// condition.
    pub(super) fn send_again(&mut self, at: Instant) {
        self.in_flight_since = None;
        self.is_dirty = true;
        self.not_before = Some(at);
    }
}

/// A job.
#[derive(Debug, Clone)]
pub(super) struct Job {
    pub(super) spec: JobSpec,
    pub(super) origins: Vec<Origin>,
    pub(super) times: Times,
    pub(super) rank: Rank,
    /// Expected run time of its longest chain of steps, where it ends in time.
    pub(super) chain: Duration,
    /// Expected run time of a task of each step.
    pub(super) expected: Vec<Duration>,
    pub(super) tasks: Vec<Task>,
    /// Positions of the tasks that can start.
    pub(super) ready: VecDeque<u32>,
    /// Tasks of each step that are not done.
    pub(super) left: Vec<u16>,
    pub(super) has_started: bool,
    /// Until when an earlier scheduler's runs of its tasks may go on, where there was one.
    pub(super) earlier_runs_until: Option<Instant>,
    /// How much of it is stored, where it must be kept.
    pub(super) record_sync: Option<RecordSync>,
    /// What waited before it when it came, and the wait that followed from that.
    pub(super) admission: Option<(Backlog, Option<Duration>)>,
    /// When its first task was ordered.
    pub(super) first_start: Option<Instant>,
    /// Runs beyond one for each task.
    pub(super) reruns: u32,
    /// When it must be looked at again.
    pub(super) check_at: Instant,
    /// Whether it stands behind those that can still end in time.
    pub(super) is_deprioritized: bool,
}

impl Job {
    pub(super) fn new(
        spec: JobSpec,
        origin: Origin,
        times: Times,
        rank: Rank,
        expected: Vec<Duration>,
    ) -> Self {
        let mut tasks = Vec::with_capacity(spec.task_count());
        for (step, s) in (0..).zip(&spec.steps) {
            tasks.extend((0..s.count).map(|index| Task {
                step,
                index,
                state: TaskState::Blocked,
                failed_runs: Vec::new(),
                last_run: 0,
                failed_on: None,
                first_valid_run: 0,
            }));
        }
        let left = spec.steps.iter().map(|s| s.count).collect();
        let chain = times.objective.saturating_duration_since(rank.latest_start);
        let mut job = Self {
            spec,
            chain,
            origins: vec![origin],
            times,
            rank,
            expected,
            tasks,
            ready: VecDeque::new(),
            left,
            has_started: false,
            earlier_runs_until: None,
            record_sync: None,
            admission: None,
            first_start: None,
            reruns: 0,
            check_at: times.deadline,
            is_deprioritized: false,
        };
        job.unblock();
        job
    }

    pub(super) fn step(&self, position: u32) -> &StepSpec {
        &self.spec.steps[usize::from(self.task(position).step)]
    }

    pub(super) fn task(&self, position: u32) -> &Task {
        &self.tasks[position as usize]
    }

    pub(super) fn task_mut(&mut self, position: u32) -> &mut Task {
        &mut self.tasks[position as usize]
    }

    pub(super) fn name(&self, position: u32) -> TaskName {
        let task = self.task(position);
        TaskName {
            job: self.spec.id,
            occurrence: 0,
            step: task.step,
            index: task.index,
        }
    }

    pub(super) fn position(&self, name: TaskName) -> Option<u32> {
        let found = self
            .tasks
            .iter()
            .position(|t| t.step == name.step && t.index == name.index);
        found.and_then(|p| u32::try_from(p).ok())
    }

    pub(super) fn expected_run(&self, position: u32) -> Duration {
        self.expected[usize::from(self.task(position).step)]
    }

    pub(super) fn payload(&self) -> Arc<str> {
        Arc::clone(&self.spec.payload)
    }

    /// Latest start at which a late answer is still of use.
    pub(super) fn last_useful_start(&self) -> Instant {
        let objective = self.times.objective - self.times.arrived;
        self.times.arrived + (objective * LATE_FACTOR).saturating_sub(self.chain)
    }

    /// Whether it ends after its caller's patience even if it starts at once. Estimates are rough,
    /// so that it must be so by a margin.
    pub(super) fn is_too_long(&self, now: Instant) -> bool {
        now + self.chain.mul_f64(TOO_LONG_FACTOR) > self.times.deadline
    }

    /// Whether it can't be said that none of its tasks has started.
    pub(super) fn may_have_run(&self) -> bool {
        self.has_started || self.earlier_runs_until.is_some()
    }

    pub(super) fn is_done(&self) -> bool {
        self.left.iter().all(|&left| left == 0)
    }

    pub(super) fn mark_done(&mut self, position: u32) {
        let step = usize::from(self.task(position).step);
        if self.task(position).state == TaskState::Done {
            return;
        }
        self.ready.retain(|&p| p != position);
        self.task_mut(position).state = TaskState::Done;
        self.left[step] -= 1;
        // Where a job is kept, the next step waits until this end is stored.
        if self.left[step] == 0 && self.record_sync.is_none() {
            self.unblock();
        }
    }

    /// Voids all runs so far of a task: it runs again, and their ends are ignored.
    pub(super) fn invalidate_runs(&mut self, position: u32) {
        let task = self.task_mut(position);
        task.first_valid_run = task.last_run + 1;
    }

    /// Takes over which of its tasks are stored as done.
    pub(super) fn restore_done(&mut self, done: &[u32]) {
        for &position in done {
            if (position as usize) < self.tasks.len() {
                self.mark_done(position);
            }
        }
    }

    /// Takes over what is stored of its tasks, beside which of them are done.
    pub(super) fn restore_progress(&mut self, progress: &[TaskProgress]) {
        for stored in progress {
            let Some(task) = self.tasks.get_mut(stored.position as usize) else {
                continue;
            };
            for &run in &stored.failed_runs {
                task.add_failed_run(run);
            }
            task.first_valid_run = task.first_valid_run.max(stored.first_valid_run);
            task.last_run = task.last_run.max(stored.first_valid_run);
        }
    }

    /// What lasts of its tasks, beside which of them are done.
    pub(super) fn progress(&self) -> Vec<TaskProgress> {
        let tasks = (0..).zip(&self.tasks);
        let tasks = tasks.filter(|(_, t)| !t.failed_runs.is_empty() || t.first_valid_run > 0);
        let progress = tasks.map(|(position, t)| TaskProgress {
            position,
            failed_runs: t.failed_runs.clone(),
            first_valid_run: t.first_valid_run,
        });
        progress.collect()
    }

    /// Puts a task whose run is over back among those that can start, before the others.
    pub(super) fn requeue(&mut self, position: u32) {
        if self.task(position).state == TaskState::Placed {
            self.task_mut(position).state = TaskState::Waiting;
            self.ready.push_front(position);
        }
    }

    pub(super) fn mark_placed(&mut self, position: u32) {
        self.ready.retain(|&p| p != position);
        self.task_mut(position).state = TaskState::Placed;
        self.has_started = true;
    }

    /// Lets the tasks start whose earlier steps are done.
    pub(super) fn unblock(&mut self) {
        for (position, task) in (0..).zip(&mut self.tasks) {
            let step = &self.spec.steps[usize::from(task.step)];
            let is_open = step.after.iter().all(|&s| self.left[usize::from(s)] == 0);
            if task.state == TaskState::Blocked && is_open {
                task.state = TaskState::Waiting;
                self.ready.push_back(position);
            }
        }
    }
}
