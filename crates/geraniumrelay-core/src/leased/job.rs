//! State that the scheduler keeps of a job and its tasks.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::{Duration, Instant};

use super::admission::Backlog;
use super::losses::{LostRun, Verdict};
use super::names::{EntryVm, FencingToken, SubmissionId, TaskName};
use super::record::{RecordState, TaskProgress};
use super::spec::{JobSpec, StepSpec};
use super::speed::RunSample;
use super::worker::WorkerKey;

slotmap::new_key_type! {
    /// Key of a job in the scheduler's arena; never reused for another job.
    pub(super) struct JobKey;
}

/// Reference to a task: the key of its job and its position in [`Job::tasks`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct TaskKey {
    pub(super) job: JobKey,
    pub(super) position: u32,
}

/// Share of the expected run time that must fit into the caller's remaining wait; a job for which it
/// does not is too long for its caller. Below 1, as callers' estimates are off by some tens of
/// percent either way.
const TOO_LONG_FACTOR: f64 = 0.8;

/// Multiple of the objective up to which a late answer is still useful to the caller.
const LATE_FACTOR: u32 = 3;

/// State of a job that has not ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, derive_more::Display)]
pub enum JobState {
    /// No task has started.
    #[display("queued")]
    Queued,
    /// A task has started.
    #[display("running")]
    Running,
}

/// State of a task.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum TaskState {
    /// A step that must be done first is not done.
    Blocked,
    /// The task can start.
    Waiting,
    /// A run of the task was ordered or adopted on a worker.
    Placed,
    /// A run of the task has succeeded.
    Done,
}

/// A task and its runs so far.
#[derive(Debug, Clone)]
pub(super) struct Task {
    pub(super) step: u16,
    pub(super) index: u16,
    pub(super) state: TaskState,
    /// Numbers of the runs that failed.
    pub(super) failed_runs: Vec<u32>,
    /// Number of the last run.
    pub(super) last_run: u32,
    /// Worker of the last run that failed.
    pub(super) failed_on: Option<WorkerKey>,
    /// Runs with a lower number are invalidated: their ends are ignored.
    pub(super) first_valid_run: u32,
    /// What the task's lost runs say about its next start.
    pub(super) verdict: Verdict,
}

impl Task {
    /// Records a failed run; a run that is already recorded is not counted twice.
    pub(super) fn add_failed_run(&mut self, run: u32) {
        if !self.failed_runs.contains(&run) {
            self.failed_runs.push(run);
        }
    }

    /// Whether the task has lost a run with its worker.
    pub(super) fn is_suspect(&self) -> bool {
        self.verdict != Verdict::Clear
    }

    /// Whether the task must run where nothing else runs.
    pub(super) fn needs_own_worker(&self) -> bool {
        matches!(
            self.verdict,
            Verdict::Suspect {
                needs_own_worker: true,
                ..
            }
        )
    }

    /// Whether the task must not start at `now`.
    pub(super) fn is_held(&self, now: Instant) -> bool {
        match self.verdict {
            Verdict::Clear => false,
            Verdict::Suspect { not_before, .. } => now < not_before,
            Verdict::GivenUp => true,
        }
    }

    /// Whether the task has reached its maximum number of failed runs.
    pub(super) fn is_failed(&self, max_attempts: u32) -> bool {
        self.failed_runs.len() >= max_attempts as usize
    }
}

/// Order of a job in the queue, lowest first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Rank {
    /// Whether the queue of the job exceeds its share of the capacity while others do not.
    pub(super) is_above_share: bool,
    /// Latest start at which the objective is met.
    pub(super) latest_start: Instant,
    pub(super) priority: u8,
    pub(super) sequence: u64,
}

/// Arrival and time limits of a job.
#[derive(Debug, Clone, Copy)]
pub(super) struct Times {
    pub(super) arrived: Instant,
    /// Time until which an answer meets the objective of the response time.
    pub(super) objective: Instant,
    /// When the caller stops waiting; for a durable job, the end of its maximum wait.
    pub(super) deadline: Instant,
}

/// An entry VM at which a caller waits for a job.
#[derive(Debug, Clone, Copy)]
pub(super) struct Origin {
    pub(super) vm: EntryVm,
    /// Last copy of the submission that the entry VM has sent; `None` if it does not tell.
    pub(super) submission: Option<SubmissionId>,
    /// When the entry VM last passed the job on, or confirmed that its caller waits.
    pub(super) confirmed: Instant,
    /// When the caller was known to wait: the entry VM has sent its last message after that. `None` if it
    /// does not tell, or is this VM.
    pub(super) as_of: Option<Instant>,
}

/// Synchronization of a durable job with its record in the store. At most one write is in flight.
#[derive(Debug, Clone, Copy)]
#[expect(clippy::struct_excessive_bools, reason = "independent facts")]
pub(super) struct RecordSync {
    /// Version of the stored record; 0 if none is stored.
    pub(super) version: u64,
    /// Whether the record has been stored once, so that the job is accepted.
    pub(super) is_accepted: bool,
    pub(super) state: RecordState,
    /// Whether the record has to be written: the job has changed since the last write was sent, or
    /// that write failed.
    pub(super) is_dirty: bool,
    /// When the write in flight was sent.
    pub(super) in_flight_since: Option<Instant>,
    /// Number of the last write that was sent.
    pub(super) attempt: u32,
    /// Earliest time of the next write, after one that was refused or not answered.
    pub(super) not_before: Option<Instant>,
    /// Whether a write has ever been sent: an unanswered one may still be stored later.
    pub(super) was_sent: bool,
    /// When the job arrived at this scheduler.
    pub(super) since: Instant,
    /// Whether tasks must not start until the invalidation of their earlier runs is stored.
    pub(super) blocks_starts: bool,
}

impl RecordSync {
    /// Schedules the write in flight again at `at`, with the same expected version, as the write may
    /// not have been stored.
    pub(super) fn send_again(&mut self, at: Instant) {
        self.in_flight_since = None;
        self.is_dirty = true;
        self.not_before = Some(at);
    }
}

/// Wait of a job's tasks for places near their data.
#[derive(Debug, Clone, Copy)]
pub(super) struct NearWait {
    pub(super) since: Instant,
    /// Whether no task waits any more; a later wait of the same job is not logged.
    pub(super) is_over: bool,
}

/// Runs that other schedulers may have started, and that this one may not know.
#[derive(Debug, Clone, Copy)]
pub(super) struct EarlierRuns {
    /// Since when the job's tasks wait for them.
    pub(super) since: Instant,
    /// When the last of them must have ended.
    pub(super) until: Instant,
    /// Whether they may be on workers that are not listed here, as a scheduler that was not followed here had the job.
    pub(super) may_be_of_stranger: bool,
    /// Whether it is logged why the tasks wait no longer.
    pub(super) is_exclusion_logged: bool,
}

/// Steps of a job whose tasks no worker could run.
#[derive(Debug, Clone, Default)]
pub(super) struct LackOfWorker {
    /// Version of the workers to which `steps` refers.
    pub(super) workers_version: u64,
    pub(super) steps: Vec<u16>,
}

/// A job that has not ended.
#[derive(Debug, Clone)]
pub(super) struct Job {
    pub(super) spec: JobSpec,
    pub(super) origins: Vec<Origin>,
    pub(super) times: Times,
    pub(super) rank: Rank,
    /// Expected run time of the longest chain of steps.
    pub(super) chain: Duration,
    /// Expected run time of one task, for each step.
    pub(super) expected: Vec<Duration>,
    pub(super) tasks: Vec<Task>,
    /// Positions of the tasks that can start, in order of start.
    pub(super) ready: VecDeque<u32>,
    /// Number of tasks that are not done, for each step.
    pub(super) left: Vec<u16>,
    pub(super) has_started: bool,
    /// What is known of runs by other schedulers; `None` if none can have started tasks of the job.
    pub(super) earlier_runs: Option<EarlierRuns>,
    /// Highest token of the other schedulers that are known to have had the job.
    pub(super) highest_former_token: FencingToken,
    /// Whether lost runs were counted for what an earlier scheduler may have started.
    pub(super) are_earlier_runs_counted: bool,
    /// Synchronization with the store; `None` if the job is not durable.
    pub(super) record_sync: Option<RecordSync>,
    /// Backlog when the job arrived, and the wait expected from it.
    pub(super) admission: Option<(Backlog, Option<Duration>)>,
    /// When the first start order was sent.
    pub(super) first_start: Option<Instant>,
    /// Runs beyond one for each task.
    pub(super) reruns: u32,
    /// When the deadline of the job is checked next.
    pub(super) check_at: Instant,
    /// Whether the job ranks behind all jobs that can still end in time.
    pub(super) is_deprioritized: bool,
    /// Successful runs that tell the speed of their workers.
    pub(super) run_samples: Vec<RunSample>,
    /// First wait for a place near the data; `None` if there was none.
    pub(super) near_wait: Option<NearWait>,
    pub(super) lack_of_worker: LackOfWorker,
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
                verdict: Verdict::Clear,
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
            earlier_runs: None,
            highest_former_token: FencingToken::default(),
            are_earlier_runs_counted: false,
            record_sync: None,
            admission: None,
            first_start: None,
            reruns: 0,
            check_at: times.deadline,
            is_deprioritized: false,
            run_samples: Vec::new(),
            near_wait: None,
            lack_of_worker: LackOfWorker::default(),
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

    /// Latest start with which a late answer is still useful to the caller.
    pub(super) fn last_useful_start(&self) -> Instant {
        let objective = self.times.objective - self.times.arrived;
        self.times.arrived + (objective * LATE_FACTOR).saturating_sub(self.chain)
    }

    /// Whether the job ends after its caller's maximum wait even if it starts now. Estimates are
    /// rough, so a margin is subtracted.
    pub(super) fn is_too_long(&self, now: Instant) -> bool {
        now + self.chain.mul_f64(TOO_LONG_FACTOR) > self.times.deadline
    }

    /// Whether the job waits at `now` for the end of runs by other schedulers.
    pub(super) fn waits_for_earlier_runs(&self, now: Instant) -> bool {
        self.earlier_runs.is_some_and(|r| now < r.until)
    }

    /// Whether any task may have started, here or by an earlier scheduler.
    pub(super) fn may_have_run(&self) -> bool {
        self.has_started || self.earlier_runs.is_some()
    }

    /// Adds an entry VM that waits for the job, or replaces what is known of it.
    pub(super) fn add_origin(&mut self, origin: Origin) {
        self.origins.retain(|o| o.vm != origin.vm);
        self.origins.push(origin);
    }

    /// When callers were last known to wait for the job; `None` if that is not told, and limits nothing.
    pub(super) fn last_sign(&self) -> Option<Instant> {
        if self.record_sync.is_some() {
            return None;
        }
        let mut latest = None;
        for origin in &self.origins {
            latest = latest.max(Some(origin.as_of?));
        }
        latest
    }

    /// Whether the last sign of a caller is too old for tasks to start.
    pub(super) fn is_sign_outdated(&self, now: Instant, start_ttl: Duration) -> bool {
        self.last_sign().is_some_and(|at| at + start_ttl < now)
    }

    /// Until when runs of the job may go on, as no caller sends the job again before; `None` without a limit.
    pub(super) fn may_run_until(&self, confirmation_ttl: Duration) -> Option<Instant> {
        self.last_sign().map(|at| at + confirmation_ttl)
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
        // The next step of a durable job waits until this end is stored.
        if self.left[step] == 0 && self.record_sync.is_none() {
            self.unblock();
        }
    }

    /// Invalidates all runs of a task so far: the task runs again, and their ends are ignored.
    pub(super) fn invalidate_runs(&mut self, position: u32) {
        let task = self.task_mut(position);
        task.first_valid_run = task.last_run + 1;
    }

    /// Marks the tasks as done that a record stores as done.
    pub(super) fn restore_done(&mut self, done: &[u32]) {
        for &position in done {
            if (position as usize) < self.tasks.len() {
                self.mark_done(position);
            }
        }
    }

    /// Merges failed and invalidated runs from a record.
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

    /// Progress to store: the tasks with failed, invalidated or lost runs. `lost_runs` gives those of a
    /// task.
    pub(super) fn progress(
        &self,
        lost_runs: impl Fn(TaskName) -> Vec<LostRun>,
    ) -> Vec<TaskProgress> {
        let tasks = (0..).zip(&self.tasks);
        let has_progress =
            |t: &Task| !t.failed_runs.is_empty() || t.first_valid_run > 0 || t.is_suspect();
        let tasks = tasks.filter(|(_, t)| has_progress(t));
        let progress = tasks.map(|(position, t)| TaskProgress {
            position,
            failed_runs: t.failed_runs.clone(),
            first_valid_run: t.first_valid_run,
            lost_runs: lost_runs(self.name(position)),
        });
        progress.collect()
    }

    /// Marks the tasks of all steps as done that must be done before `step` starts: a run of that step
    /// shows that they are.
    pub(super) fn mark_required_steps_done(&mut self, step: u16) {
        let mut required = self.spec.steps[usize::from(step)].after.clone();
        while let Some(step) = required.pop() {
            let index = usize::from(step);
            if self.left[index] == 0 {
                continue;
            }
            required.extend_from_slice(&self.spec.steps[index].after);
            let positions = (0..).zip(&self.tasks).filter(|(_, t)| t.step == step);
            let positions: Vec<u32> = positions.map(|(position, _)| position).collect();
            for position in positions {
                self.mark_done(position);
            }
        }
    }

    /// Lets a task whose run has ended start again, before the other tasks of the job, or once its step
    /// is released.
    pub(super) fn requeue(&mut self, position: u32) {
        if self.task(position).state != TaskState::Placed {
            return;
        }
        if self.is_released(self.task(position).step) {
            self.task_mut(position).state = TaskState::Waiting;
            self.ready.push_front(position);
        } else {
            self.task_mut(position).state = TaskState::Blocked;
        }
    }

    /// Whether all steps that `step` requires are done.
    fn is_released(&self, step: u16) -> bool {
        let mut required = self.spec.steps[usize::from(step)].after.iter();
        required.all(|&s| self.left[usize::from(s)] == 0)
    }

    /// Whether a ready task may start at `now`. A task that may crash its worker starts only if it can
    /// end before its caller leaves.
    pub(super) fn may_start(&self, position: u32, now: Instant) -> bool {
        let task = self.task(position);
        if !task.is_suspect() {
            return true;
        }
        let expected = self.expected_run(position).mul_f64(TOO_LONG_FACTOR);
        !task.is_held(now) && now + expected <= self.times.deadline
    }

    /// Whether no worker could run the tasks of a step, as far as is known of the workers of this version.
    pub(super) fn lacks_worker(&self, step: u16, workers_version: u64) -> bool {
        let lack = &self.lack_of_worker;
        lack.workers_version == workers_version && lack.steps.contains(&step)
    }

    /// Processor that the tasks need that can start at `now`, in thousandths of a core.
    pub(super) fn ready_cpu(&self, now: Instant) -> u64 {
        let ready = self.ready.iter().filter(|&&p| self.may_start(p, now));
        ready.map(|&p| self.step(p).size.cpu_milli).sum()
    }

    /// Work of all tasks, in thousandths of a core times seconds.
    #[expect(clippy::cast_precision_loss, reason = "a rough estimate")]
    pub(super) fn work(&self) -> f64 {
        let cpu_seconds = |(p, _)| {
            let run = self.expected_run(p).as_secs_f64();
            self.step(p).size.cpu_milli as f64 * run
        };
        (0..).zip(&self.tasks).map(cpu_seconds).sum()
    }

    pub(super) fn mark_placed(&mut self, position: u32) {
        self.ready.retain(|&p| p != position);
        self.task_mut(position).state = TaskState::Placed;
        self.has_started = true;
    }

    /// Releases the blocked tasks whose required steps are all done.
    pub(super) fn unblock(&mut self) {
        for (position, task) in (0..).zip(&mut self.tasks) {
            let step = &self.spec.steps[usize::from(task.step)];
            let is_released = step.after.iter().all(|&s| self.left[usize::from(s)] == 0);
            if task.state == TaskState::Blocked && is_released {
                task.state = TaskState::Waiting;
                self.ready.push_back(position);
            }
        }
    }
}
