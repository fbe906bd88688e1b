//! Starting tasks, and what follows when they end.

use std::sync::Arc;
use std::time::Duration;

use crate::command::{NotStartedCause, TaskOutcome};
use crate::context::Context;
use crate::dispatcher::Dispatcher;
use crate::effect::{Effect, TaskId, TaskResult};
use crate::modules::jobs::TaskState;
use crate::modules::targets::{TargetKey, TaskKey};
use crate::names::ServiceName;
use crate::reason::Reason;
use crate::verdict::Verdict;

/// Time beyond the job's deadline that a target may still need to report the end of a task.
const LEASE_MARGIN: Duration = Duration::from_millis(200);

impl Dispatcher {
    /// Starts what can start, of every service.
    pub(super) fn start_all(&mut self, cx: &Context<'_>, out: &mut Vec<Effect>) {
        let services: Vec<ServiceName> = self.queues.keys().copied().collect();
        for service in services {
            self.start_service(cx, service, out);
        }
    }

    /// Starts waiting tasks of a service while it has open slots.
    pub(super) fn start_service(
        &mut self,
        cx: &Context<'_>,
        service: ServiceName,
        out: &mut Vec<Effect>,
    ) {
        loop {
            let Some(task) = self.pop_waiting(service) else {
                return;
            };
            let Some(target) = self.targets.take_slot(service) else {
                self.put_back(service, task);
                return;
            };
            self.start(cx, task, target, out);
        }
    }

    /// Takes the next task that still waits; those of ended jobs are dropped on the way.
    fn pop_waiting(&mut self, service: ServiceName) -> Option<TaskKey> {
        let queue = self.queues.get_mut(&service)?;
        loop {
            let key = queue.pop()?;
            let waits = self
                .jobs
                .task(key)
                .is_some_and(|task| task.state == TaskState::Queued);
            if waits {
                return Some(key);
            }
        }
    }

    fn put_back(&mut self, service: ServiceName, key: TaskKey) {
        let Some(task) = self.jobs.task(key) else {
            return;
        };
        let Some(job) = self.jobs.job(task.job) else {
            return;
        };
        let queue = self.queues.entry(service).or_default();
        queue.push_front(job.urgency, key);
    }

    fn start(&mut self, cx: &Context<'_>, key: TaskKey, target: TargetKey, out: &mut Vec<Effect>) {
        let Some(address) = self.targets.get(target).map(|target| target.info.address) else {
            return;
        };
        let Some(task) = self.jobs.task_mut(key) else {
            return;
        };
        task.state = TaskState::Running { target };
        task.attempts += 1;
        self.running.insert(key, target);
        if task.attempts == 1 {
            self.retries.earn(&cx.cfg.retry);
        }
        let (job, index) = (task.job, task.index);
        let payload = Arc::clone(&task.payload);
        let Some(job) = self.jobs.job(job) else {
            return;
        };
        let id = TaskId {
            ticket: job.ticket,
            index,
        };
        let lease = job.deadline.saturating_duration_since(cx.now) + LEASE_MARGIN;
        out.push(Effect::Start {
            task: key,
            id,
            address,
            payload,
            lease,
        });
    }

    /// Takes over how a started task ended.
    pub(super) fn end_task(
        &mut self,
        cx: &Context<'_>,
        key: TaskKey,
        outcome: TaskOutcome,
        out: &mut Vec<Effect>,
    ) {
        let Some(target) = self.running.remove(&key) else {
            return;
        };
        self.settle_target(cx, target, &outcome);
        match outcome {
            TaskOutcome::Completed { output } => self.complete_task(cx, key, output, out),
            TaskOutcome::Failed => self.fail_task(cx, key, Verdict::Failed, out),
            TaskOutcome::Unknown => self.fail_task(cx, key, Verdict::MayHaveRun, out),
            TaskOutcome::NotStarted { .. } => self.retry_task(cx, key, out),
        }
        self.start_all(cx, out);
    }

    fn settle_target(&mut self, cx: &Context<'_>, target: TargetKey, outcome: &TaskOutcome) {
        if let TaskOutcome::NotStarted { cause } = outcome {
            match cause {
                NotStartedCause::Leaving => self.targets.mark_leaving(target),
                NotStartedCause::Full | NotStartedCause::Unreachable => {
                    self.targets
                        .pause(target, cx.now + cx.cfg.retry.target_pause);
                }
                NotStartedCause::NotSent => {}
            }
        }
        self.targets.release_slot(target);
    }

    fn complete_task(
        &mut self,
        cx: &Context<'_>,
        key: TaskKey,
        output: String,
        out: &mut Vec<Effect>,
    ) {
        let Some(job) = self.jobs.task(key).map(|task| task.job) else {
            return;
        };
        let result = TaskResult {
            verdict: Verdict::Completed,
            output,
        };
        if self.jobs.end_task(key, result) == Some(0) {
            self.finish_job(cx, job, None, out);
        }
    }

    /// One failed task fails its job whole, at once.
    fn fail_task(
        &mut self,
        cx: &Context<'_>,
        key: TaskKey,
        verdict: Verdict,
        out: &mut Vec<Effect>,
    ) {
        let Some(job) = self.jobs.task(key).map(|task| task.job) else {
            return;
        };
        let reason = match verdict {
            Verdict::MayHaveRun => Reason::TargetLost,
            Verdict::NotRun => Reason::RetriesSpent,
            Verdict::Completed | Verdict::Failed => Reason::TaskFailed,
        };
        self.jobs.end_task(
            key,
            TaskResult {
                verdict,
                output: String::new(),
            },
        );
        self.finish_job(cx, job, Some(reason), out);
    }

    fn retry_task(&mut self, cx: &Context<'_>, key: TaskKey, out: &mut Vec<Effect>) {
        let Some(task) = self.jobs.task_mut(key) else {
            return;
        };
        let has_attempts = task.attempts < cx.cfg.retry.max_attempts;
        if !has_attempts || !self.retries.try_spend() {
            self.fail_task(cx, key, Verdict::NotRun, out);
            return;
        }
        task.state = TaskState::Queued;
        let job = task.job;
        if let Some(service) = self.jobs.job(job).map(|job| job.service) {
            self.put_back(service, key);
        }
    }
}
