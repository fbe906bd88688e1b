//! Specification of a job, as its caller asks for it.

use std::ops::{AddAssign, SubAssign};
use std::sync::Arc;
use std::time::Duration;

use super::names::{JobId, TaskName};
use super::worker::Worker;

/// Limit of the number of tasks that fit on one worker, for tasks that need no resources.
const MAX_COUNT: u64 = 1_000;

/// Resources that a task needs, or that a worker has.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Resources {
    /// Processor, in thousandths of a core.
    pub cpu_milli: u64,
    /// Memory, in MB.
    pub memory_mb: u64,
    /// Number of accelerators.
    pub gpus: u64,
}

impl Resources {
    /// Whether `part` fits into these resources.
    pub fn has_room_for(&self, part: &Self) -> bool {
        self.cpu_milli >= part.cpu_milli
            && self.memory_mb >= part.memory_mb
            && self.gpus >= part.gpus
    }

    /// How many times `part` fits into these resources, at most 1000.
    pub fn count_of(&self, part: &Self) -> u64 {
        let times = |whole: u64, part: u64| whole.checked_div(part).unwrap_or(u64::MAX);
        times(self.cpu_milli, part.cpu_milli)
            .min(times(self.memory_mb, part.memory_mb))
            .min(times(self.gpus, part.gpus))
            .min(MAX_COUNT)
    }

    /// The resources left without `used`; 0 for a resource of which more is used than present.
    #[must_use]
    pub fn without(&self, used: &Self) -> Self {
        Self {
            cpu_milli: self.cpu_milli.saturating_sub(used.cpu_milli),
            memory_mb: self.memory_mb.saturating_sub(used.memory_mb),
            gpus: self.gpus.saturating_sub(used.gpus),
        }
    }
}

impl AddAssign for Resources {
    fn add_assign(&mut self, other: Self) {
        self.cpu_milli += other.cpu_milli;
        self.memory_mb += other.memory_mb;
        self.gpus += other.gpus;
    }
}

impl SubAssign for Resources {
    fn sub_assign(&mut self, other: Self) {
        *self = self.without(&other);
    }
}

/// A step of a job: a number of equal tasks that may run in parallel.
#[derive(Debug, Clone, PartialEq)]
pub struct StepSpec {
    /// Number of tasks.
    pub count: u16,
    /// Resources that each task needs.
    pub size: Resources,
    /// The caller's estimate of a task's run time.
    pub estimate: Duration,
    /// Indexes of the earlier steps that must be done first.
    pub after: Vec<u16>,
    /// Label that a worker must have; `None` if any worker will do.
    pub required_label: Option<Arc<str>>,
    /// Label of the rack of the task's data, which a worker should have.
    pub preferred_rack: Option<Arc<str>>,
    /// Maximum number of tasks of the step on one worker; `None` for no limit.
    pub max_per_worker: Option<u16>,
}

impl StepSpec {
    /// Whether a worker is near the data of the tasks, or the tasks prefer no rack.
    pub(super) fn is_near(&self, worker: &Worker) -> bool {
        let rack = self.preferred_rack.as_ref();
        rack.is_none_or(|rack| worker.has_label(rack))
    }
}

/// Specification of a job.
#[derive(Debug, Clone, PartialEq)]
pub struct JobSpec {
    /// Id of the job, chosen by the caller.
    pub id: JobId,
    /// Queue of the job, named by its route.
    pub queue: Arc<str>,
    /// Service whose workers run the tasks.
    pub service: Arc<str>,
    /// Priority of the job; 0 is the most urgent.
    pub priority: u8,
    /// Maximum number of failed runs of a task, with which the job fails.
    pub max_attempts: u32,
    /// Objective of the response time: multiple of the expected run time.
    pub stretch: f64,
    /// Objective of the response time: time added to the multiple.
    pub target_latency: Duration,
    /// Input of the tasks, opaque.
    pub payload: Arc<str>,
    /// Whether the workers refuse what does not fit into their capacity; others start whatever they are
    /// told to.
    pub enforces_capacity: bool,
    /// Whether the job is stored before it is accepted, and then runs to its end without its caller.
    pub is_durable: bool,
    /// Steps of the job.
    pub steps: Vec<StepSpec>,
}

impl JobSpec {
    /// Memory of the job beside the value itself, in bytes; an estimate.
    pub fn heap_bytes(&self) -> usize {
        let step_bytes = |step: &StepSpec| {
            let labels = [&step.required_label, &step.preferred_rack];
            let labels = labels.into_iter().flatten().map(|l| l.len());
            size_of::<StepSpec>() + step.after.len() * size_of::<u16>() + labels.sum::<usize>()
        };
        self.payload.len() + self.steps.iter().map(step_bytes).sum::<usize>()
    }

    /// Names of all tasks, ordered by step and index.
    pub fn task_names(&self) -> impl Iterator<Item = TaskName> {
        let steps = (0..).zip(&self.steps);
        steps
            .flat_map(|(step, s)| (0..s.count).map(move |index| (step, index)))
            .map(|(step, index)| TaskName {
                job: self.id,
                occurrence: 0,
                step,
                index,
            })
    }

    /// Number of tasks in all steps.
    pub fn task_count(&self) -> usize {
        self.steps.iter().map(|s| usize::from(s.count)).sum()
    }
}
