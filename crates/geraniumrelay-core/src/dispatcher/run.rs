//! Start of tasks, and processing of their ends: results, retries and target health.

use std::sync::Arc;
use std::time::Duration;

use crate::command::{NotStartedCause, TaskOutcome};
use crate::context::Context;
use crate::dispatcher::Dispatcher;
use crate::effect::{Effect, TaskId, TaskResult};
use crate::modules::health::Sample;
use crate::modules::jobs::{JobKey, TaskState};
use crate::modules::policy::Policy;
use crate::modules::queue::CLASSES;
use crate::modules::running::Running;
use crate::modules::sheet::Urgency;
use crate::modules::slots::Tier;
use crate::modules::targets::{TargetKey, TaskKey};
use crate::names::ServiceName;
use crate::reason::Reason;
use crate::verdict::Verdict;

/// Margin beyond the job's deadline within which a target may still report the end of a task.
const LEASE_MARGIN: Duration = Duration::from_millis(200);

/// Margin beyond the end of a lease after which the task counts as lost.
const LOSS_MARGIN: Duration = Duration::from_secs(2);

/// Job whose task starts next, and the tier of the target.
#[derive(Debug, Clone, Copy)]
struct NextStart {
    job: JobKey,
    tier: Tier,
}

impl<P: Policy> Dispatcher<P> {
    /// Starts waiting tasks of every service while slots are free.
    pub(super) fn start_all(&mut self, cx: &Context<'_>, out: &mut Vec<Effect>) {
        let waiting = self.queues.iter().filter(|(_, queue)| !queue.is_empty());
        let services: Vec<ServiceName> = waiting.map(|(service, _)| *service).collect();
        for service in services {
            self.start_service(cx, service, out);
        }
    }

    /// Starts waiting tasks of a service while slots are free, then requests slots from a peer.
    pub(super) fn start_service(
        &mut self,
        cx: &Context<'_>,
        service: ServiceName,
        out: &mut Vec<Effect>,
    ) {
        while let Some(next) = self.next_start(cx, service) {
            let Some(target) = self.targets.take_slot(service, next.tier) else {
                break;
            };
            self.start_task(cx, next.job, target, out);
        }
        self.request_slots(cx, service, out);
    }

    /// First job of the most urgent class that may use a slot now; one start in
    /// `shares.ageing_period` serves the classes in reverse order, so that bulk jobs do not starve.
    fn next_start(&mut self, cx: &Context<'_>, service: ServiceName) -> Option<NextStart> {
        let own = self.targets.assigned_slots(service);
        let queue = self
            .queues
            .get_mut(&service)
            .filter(|queue| !queue.is_empty())?;
        queue.refresh_shares(cx, own);
        let starts = self.loads.get(&service).map_or(0, |load| load.starts);
        let period = cx.cfg.shares.ageing_period;
        let is_ageing_start = starts % period == period - 1;
        let mut classes = CLASSES;
        if is_ageing_start {
            classes.reverse();
        }
        for urgency in classes {
            let queue = self.queues.get(&service)?;
            let Some(next) = queue.next(urgency) else {
                continue;
            };
            let tier = self.tier_for(cx, service, urgency, next.is_over_share);
            if let Some(tier) = tier {
                return Some(NextStart {
                    job: next.job,
                    tier,
                });
            }
        }
        None
    }

    /// Tier from which a task may take a slot now; `None` if no slot is free or all free slots are
    /// reserved.
    ///
    /// Teams over their share leave a reserve free, and tasks that are not urgent leave the
    /// headroom for urgent tasks.
    fn tier_for(
        &self,
        cx: &Context<'_>,
        service: ServiceName,
        urgency: Urgency,
        is_over_share: bool,
    ) -> Option<Tier> {
        let usable = self.targets.usable(service);
        let has_free = |tier| self.targets.free(service, tier) > 0;
        let share_reserve = if is_over_share {
            let own = self.targets.assigned_slots(service);
            (own * cx.cfg.shares.reserve_percent).div_ceil(100)
        } else {
            0
        };
        let is_urgent = urgency == Urgency::Urgent;
        if !is_urgent && has_free(Tier::Trial) {
            return Some(Tier::Trial);
        }
        let reserved = if is_urgent {
            share_reserve
        } else {
            share_reserve + self.headroom(cx, service)
        };
        if self.targets.free(service, Tier::Healthy) > reserved {
            return Some(Tier::Healthy);
        }
        let may_use_slow = usable == 0 || (!is_urgent && !is_over_share);
        if may_use_slow && has_free(Tier::Slow) {
            return Some(Tier::Slow);
        }
        (usable == 0 && has_free(Tier::Trial)).then_some(Tier::Trial)
    }

    /// Number of slots to keep free for urgent tasks that are expected to arrive.
    pub(super) fn headroom(&self, cx: &Context<'_>, service: ServiceName) -> u32 {
        let load = self.loads.get(&service);
        load.map_or(0, |load| load.headroom_slots(cx.now, cx.cfg))
    }

    fn start_task(
        &mut self,
        cx: &Context<'_>,
        job_key: JobKey,
        target: TargetKey,
        out: &mut Vec<Effect>,
    ) {
        let address = self.targets.get(target).map(|target| target.info.address);
        let popped = self.jobs.job_mut(job_key).and_then(|job| job.waiting.pop());
        let (Some(address), Some(key)) = (address, popped) else {
            // Not expected: a job without waiting tasks is not in the queue.
            self.targets.release_slot(target);
            self.requeue(job_key);
            return;
        };
        self.record_start(cx, job_key, key, target);
        let (Some(job), Some(task)) = (self.jobs.job(job_key), self.jobs.task(key)) else {
            return;
        };
        out.push(Effect::Start {
            task: key,
            id: TaskId {
                ticket: job.ticket,
                index: task.index,
            },
            address,
            payload: Arc::clone(&task.payload),
            lease: job.deadline.saturating_duration_since(cx.now) + LEASE_MARGIN,
        });
        self.requeue(job_key);
    }

    fn record_start(&mut self, cx: &Context<'_>, job: JobKey, key: TaskKey, target: TargetKey) {
        let Some(task) = self.jobs.task_mut(key) else {
            return;
        };
        task.state = TaskState::Running { target };
        task.attempts += 1;
        if task.attempts == 1 {
            self.retries.earn(&cx.cfg.retry);
        }
        let Some(job) = self.jobs.job_mut(job) else {
            return;
        };
        job.has_started = true;
        let expected = self.run_times.estimate(job.service, job.kind, None);
        let has_estimate = self.run_times.has_samples(job.service, job.kind);
        let lost_at = job.deadline.max(cx.now) + LEASE_MARGIN + LOSS_MARGIN;
        let overdue = cx.now + expected * cx.cfg.health.overdue_factor;
        let running = Running {
            target,
            service: job.service,
            kind: job.kind,
            team: job.team,
            urgency: job.urgency,
            started_at: cx.now,
            expected: has_estimate.then_some(expected),
            lost_at,
            check_at: if has_estimate {
                overdue.min(lost_at)
            } else {
                lost_at
            },
        };
        self.running.insert(key, running);
        if let Some(queue) = self.queues.get_mut(&job.service) {
            queue.start(job.team);
        }
        if let Some(load) = self.loads.get_mut(&job.service) {
            load.starts += 1;
            load.urgent_running += u32::from(job.urgency == Urgency::Urgent);
        }
    }

    /// Processes the end of a started task.
    pub(super) fn end_task(
        &mut self,
        cx: &Context<'_>,
        key: TaskKey,
        outcome: TaskOutcome,
        out: &mut Vec<Effect>,
    ) {
        let Some(running) = self.running.remove(key) else {
            return;
        };
        if running.urgency == Urgency::Urgent
            && let Some(load) = self.loads.get_mut(&running.service)
        {
            load.urgent_running -= 1;
        }
        if let Some(queue) = self.queues.get_mut(&running.service) {
            queue.end(running.team);
        }
        self.update_target(cx, key, &running, &outcome, out);
        match outcome {
            TaskOutcome::Completed { output } => self.complete_task(cx, key, output, out),
            TaskOutcome::Failed => self.fail_task(cx, key, Verdict::Failed, out),
            TaskOutcome::Unknown => self.fail_task(cx, key, Verdict::MayHaveRun, out),
            TaskOutcome::NotStarted { .. } => self.retry_task(cx, key, out),
        }
        self.start_service(cx, running.service, out);
        self.return_idle_slots(cx, running.target, out);
    }

    fn update_target(
        &mut self,
        cx: &Context<'_>,
        key: TaskKey,
        running: &Running,
        outcome: &TaskOutcome,
        out: &mut Vec<Effect>,
    ) {
        let target = running.target;
        match outcome {
            TaskOutcome::NotStarted { cause } => match cause {
                NotStartedCause::Leaving => self.targets.mark_leaving(target),
                NotStartedCause::Full | NotStartedCause::Unreachable => {
                    self.targets.pause(cx.now, &cx.cfg.health, target);
                }
                NotStartedCause::NotSent => {}
            },
            TaskOutcome::Completed { .. } => self.record_run_time(cx, running, out),
            // The end of a stopped task says nothing about the health of the target.
            TaskOutcome::Unknown if self.jobs.task(key).is_none() => {}
            TaskOutcome::Failed | TaskOutcome::Unknown => {
                self.record_sample(cx, target, Sample::Failed, out);
            }
        }
        self.targets.release_slot(target);
    }

    fn record_run_time(&mut self, cx: &Context<'_>, running: &Running, out: &mut Vec<Effect>) {
        let run = cx.now.saturating_duration_since(running.started_at);
        // `check_at` moves to `lost_at` once the overdue check has recorded its own sample, so that
        // a long run is not counted twice.
        let is_overdue_check_done = running.check_at == running.lost_at;
        let ratio = running
            .expected
            .filter(|_| !is_overdue_check_done)
            .map(|expected| run.as_secs_f64() / expected.as_secs_f64().max(f64::MIN_POSITIVE));
        let target = self.targets.get(running.target);
        if target.is_none_or(|target| target.health.tier() == Tier::Healthy) {
            self.run_times
                .add_sample(running.service, running.kind, run);
        }
        self.record_sample(cx, running.target, Sample::Completed(ratio), out);
    }

    fn record_sample(
        &mut self,
        cx: &Context<'_>,
        key: TargetKey,
        sample: Sample,
        out: &mut Vec<Effect>,
    ) {
        let is_ejected = |dispatcher: &Self| {
            let target = dispatcher.targets.get(key);
            target.is_some_and(|target| target.health.is_ejected())
        };
        let was_ejected = is_ejected(self);
        self.targets.add_sample(cx.now, &cx.cfg.health, key, sample);
        if !was_ejected
            && is_ejected(self)
            && let Some(target) = self.targets.get(key)
        {
            let vm = target.info.vm;
            out.push(Effect::TargetEjected { vm });
        }
    }

    /// Checks the running tasks that are due: an overdue task counts against the health of its
    /// target, and a lost task fails its job. Neither is started again.
    pub(super) fn check_running(&mut self, cx: &Context<'_>, out: &mut Vec<Effect>) {
        while let Some((key, running)) = self.running.take_due(cx.now) {
            if running.lost_at <= cx.now {
                self.end_task(cx, key, TaskOutcome::Unknown, out);
            } else if self.jobs.task(key).is_some() {
                let sample = Sample::Overdue(f64::from(cx.cfg.health.overdue_factor));
                self.record_sample(cx, running.target, sample, out);
            }
        }
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

    /// Fails the whole job at once, as one of its tasks has failed.
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
        let job_key = task.job;
        if let Some(job) = self.jobs.job_mut(job_key) {
            job.waiting.push(key);
        }
        self.requeue(job_key);
    }
}
