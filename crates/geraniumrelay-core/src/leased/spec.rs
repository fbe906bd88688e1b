//! What a caller asks for.

use std::ops::{AddAssign, SubAssign};
use std::sync::Arc;
use std::time::Duration;

use super::names::{JobId, TaskName};

/// Most tasks that are counted on one worker, for tasks that ask for nothing.
const MAX_COUNT: u64 = 1_000;

/// Resources of a task, or of a worker.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Resources {
    /// Processor, in thousandths of a core.
    pub cpu_milli: u64,
    /// Memory, in MB.
    pub memory_mb: u64,
    /// Accelerators.
    pub gpus: u64,
}

impl Resources {
    /// Whether `part` fits into these.
    pub fn has_room_for(&self, part: &Self) -> bool {
        self.cpu_milli >= part.cpu_milli
            && self.memory_mb >= part.memory_mb
            && self.gpus >= part.gpus
    }

    /// How often `part` fits into these.
    pub fn count_of(&self, part: &Self) -> u64 {
        let times = |whole: u64, part: u64| whole.checked_div(part).unwrap_or(u64::MAX);
        times(self.cpu_milli, part.cpu_milli)
            .min(times(self.memory_mb, part.memory_mb))
            .min(times(self.gpus, part.gpus))
            .min(MAX_COUNT)
    }

    /// What is left without `used`; nothing where more is used than there is.
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

/// A step of a job: tasks that run in parallel.
#[derive(Debug, Clone, PartialEq)]
pub struct StepSpec {
    /// Number of its tasks.
    pub count: u16,
    /// What each task takes.
    pub size: Resources,
    /// The caller's estimate of a task's run time.
    pub estimate: Duration,
    /// Earlier steps that must be done first.
    pub after: Vec<u16>,
    /// Label that a worker must have.
    pub required_label: Option<Arc<str>>,
    /// Rack of its data; a label that a worker should have.
    pub preferred_rack: Option<Arc<str>>,
    /// Most tasks of the step on one worker; unlimited where absent.
    pub max_per_worker: Option<u16>,
}

/// A job.
#[derive(Debug, Clone, PartialEq)]
pub struct JobSpec {
    /// Its id.
    pub id: JobId,
    /// Queue that it came to.
    pub queue: Arc<str>,
    /// Service whose workers run it.
    pub service: Arc<str>,
    /// 0 comes first.
    pub priority: u8,
    /// Failed runs of a task after which the job has failed.
    pub max_attempts: u32,
    /// Objective of the response time, as a multiple of the run time.
    pub stretch: f64,
    /// Allowance of the objective beside the multiple.
    pub target_latency: Duration,
    /// Input of its tasks, opaque.
    pub payload: Arc<str>,
    /// Whether it is stored before it is accepted, and runs until it has ended.
    pub is_durable: bool,
    /// Its steps.
    pub steps: Vec<StepSpec>,
}

impl JobSpec {
    /// Names of its tasks, in the order of steps and indexes.
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

    /// Number of its tasks.
    pub fn task_count(&self) -> usize {
        self.steps.iter().map(|s| usize::from(s.count)).sum()
    }
}
