//! Jobs that tests submit.

use std::time::{Duration, Instant};

use geraniumrelay_core::leased::{FencingToken, JobId, JobSpec, Resources, StepSpec};

/// A submitted job, and the values that its scheduler does not receive.
#[derive(Debug, Clone)]
pub(crate) struct TestJob {
    pub(crate) spec: JobSpec,
    /// Actual run time of each task on a worker without faults.
    pub(crate) run_time: Duration,
    /// Multiple of the run time away from the preferred rack.
    pub(crate) remote_factor: f64,
    pub(crate) remaining_wait: Duration,
    /// How long the job had waited before its submission to the scheduler.
    pub(crate) waited: Duration,
    pub(crate) submitted_at: Instant,
    /// Age of the last heartbeat of the scheduler that the job's entry VM has received when it passes the job on;
    /// `None` if it does not tell.
    pub(crate) heartbeat_age: Option<Duration>,
    pub(crate) may_have_started: bool,
    pub(crate) former_tokens: Vec<FencingToken>,
    pub(crate) has_alternative: bool,
    /// Tasks of the first step that crash the worker on which they run.
    pub(crate) deadly_tasks: std::ops::Range<u16>,
    /// Share by which the run times of the job's tasks differ.
    pub(crate) task_deviation: f64,
    /// Share of the tasks that take seven times as long.
    pub(crate) long_task_share: f64,
}

impl TestJob {
    /// A job of one step whose tasks take 27 cores each.
    pub(crate) fn new(id: u64, tasks: u16, run_time: Duration) -> Self {
        let step = StepSpec {
            count: tasks,
            size: Resources {
                cpu_milli: 27_000,
                memory_mb: 64,
                gpus: 0,
            },
            estimate: run_time,
            after: Vec::new(),
            required_label: None,
            preferred_rack: None,
            max_per_worker: None,
        };
        let spec = JobSpec {
            id: JobId(id),
            queue: "queue".into(),
            service: "service".into(),
            priority: 0,
            max_attempts: 3,
            stretch: 1.6,
            target_latency: Duration::from_millis(60),
            payload: "payload".into(),
            enforces_capacity: true,
            is_durable: false,
            steps: vec![step],
        };
        Self {
            spec,
            run_time,
            remote_factor: 1.0,
            remaining_wait: Duration::from_secs(4),
            waited: Duration::ZERO,
            submitted_at: Instant::now(),
            heartbeat_age: None,
            may_have_started: false,
            former_tokens: Vec::new(),
            has_alternative: false,
            deadly_tasks: 0..0,
            task_deviation: 0.0,
            long_task_share: 0.0,
        }
    }

    pub(crate) fn with_priority(mut self, priority: u8) -> Self {
        self.spec.priority = priority;
        self.spec.queue = format!("queue-{priority}").into();
        self
    }

    pub(crate) fn with_estimate(mut self, estimate: Duration) -> Self {
        self.spec.steps[0].estimate = estimate;
        self
    }

    pub(crate) fn with_remaining_wait(mut self, remaining_wait: Duration) -> Self {
        self.remaining_wait = remaining_wait;
        self
    }

    /// Adds a step like the last one, which starts once that one is done.
    pub(crate) fn with_next_step(mut self) -> Self {
        let steps = &mut self.spec.steps;
        let mut next = steps[steps.len() - 1].clone();
        next.after = vec![u16::try_from(steps.len() - 1).unwrap()];
        steps.push(next);
        self
    }

    /// Sets how much the run times of the job's tasks differ, and the share of those that take seven times as long.
    pub(crate) fn with_deviations(mut self, task_deviation: f64, long_task_share: f64) -> Self {
        self.task_deviation = task_deviation;
        self.long_task_share = long_task_share;
        self
    }

    pub(crate) fn with_cpu(mut self, cpu_milli: u64) -> Self {
        self.spec.steps[0].size.cpu_milli = cpu_milli;
        self
    }

    /// Lets the tasks prefer a rack, and take `remote_factor` times as long elsewhere.
    pub(crate) fn with_preferred_rack(mut self, rack: &str, remote_factor: f64) -> Self {
        self.spec.steps[0].preferred_rack = Some(rack.into());
        self.remote_factor = remote_factor;
        self
    }

    /// Sets a loose target latency of 5 s.
    pub(crate) fn with_slack(mut self) -> Self {
        self.spec.target_latency = Duration::from_secs(5);
        self
    }

    /// Lets the first `count` tasks crash the workers that start them.
    pub(crate) fn with_deadly_tasks(mut self, count: u16) -> Self {
        self.deadly_tasks = 0..count;
        self
    }

    /// Lets the workers start what does not fit.
    pub(crate) fn without_enforced_capacity(mut self) -> Self {
        self.spec.enforces_capacity = false;
        self
    }

    pub(crate) fn durable(mut self) -> Self {
        self.spec.is_durable = true;
        self
    }

    /// Lets the entry VM tell how old the last heartbeat is that it has received.
    pub(crate) fn with_heartbeat_age(mut self, age: Duration) -> Self {
        self.heartbeat_age = Some(age);
        self
    }

    pub(crate) fn resubmitted(mut self) -> Self {
        self.may_have_started = true;
        self
    }

    pub(super) fn objective(&self) -> Duration {
        self.run_time.mul_f64(self.spec.stretch) + self.spec.target_latency
    }
}
