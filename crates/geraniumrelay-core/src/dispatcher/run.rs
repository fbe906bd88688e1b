//! Starting tasks, and what follows when they end.

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

/// Time beyond the job's deadline that a target may still need to report the end of a task.
const LEASE_MARGIN: Duration = Duration::from_millis(200);

/// Time beyond a lease after which its task is given up.
const LAPSE_MARGIN: Duration = Duration::from_secs(2);

/// The next task to start and how well its target must be.
#[derive(Debug, Clone, Copy)]
struct NextStart {
    job: JobKey,
    tier: Tier,
}

impl<P: Policy> Dispatcher<P> {
    /// Starts what can start, of every service.
    pub(super) fn start_all(&mut self, cx: &Context<'_>, out: &mut Vec<Effect>) {
        let waiting = self.queues.iter().filter(|(_, queue)| !queue.is_empty());
        let services: Vec<ServiceName> = waiting.map(|(service, _)| *service).collect();
        for service in services {
            self.start_service(cx, service, out);
        }
    }

    /// Starts waiting tasks of a service while it has open slots, and asks peers for more.
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
            self.start_one(cx, next.job, target, out);
        }
        self.ask_for_slots(cx, service, out);
    }

    /// The best job of the first class that may have a slot now.
    fn next_start(&mut self, cx: &Context<'_>, service: ServiceName) -> Option<NextStart> {
        let own = self.targets.own_slots(service);
        let queue = self
            .queues
            .get_mut(&service)
            .filter(|queue| !queue.is_empty())?;
        queue.refresh_shares(cx, own);
        let starts = self.loads.get(&service).map_or(0, |load| load.starts);
        let period = cx.cfg.shares.ageing_period;
        let is_aged = starts % period == period - 1;
        let mut classes = CLASSES;
        if is_aged {
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

    /// Tier of which a task may take a slot now, if any.
    fn tier_for(
        &self,
        cx: &Context<'_>,
        service: ServiceName,
        urgency: Urgency,
        is_over_share: bool,
    ) -> Option<Tier> {
        let usable = self.targets.usable(service);
        let has_free = |tier| self.targets.free(service, tier) > 0;
        let reserve = if is_over_share {
            let own = self.targets.own_slots(service);
            (own * cx.cfg.shares.reserve_percent).div_ceil(100)
        } else {
            0
        };
        let is_urgent = urgency == Urgency::Urgent;
        if !is_urgent && has_free(Tier::Trial) {
            return Some(Tier::Trial);
        }
        let keep = if is_urgent {
            reserve
        } else {
            reserve + self.headroom(cx, service)
        };
        if self.targets.free(service, Tier::Healthy) > keep {
            return Some(Tier::Healthy);
        }
        let takes_slow = usable == 0 || (!is_urgent && !is_over_share);
        if takes_slow && has_free(Tier::Slow) {
            return Some(Tier::Slow);
        }
        (usable == 0 && has_free(Tier::Trial)).then_some(Tier::Trial)
    }

    /// Slots to keep free for urgent tasks.
    pub(super) fn headroom(&self, cx: &Context<'_>, service: ServiceName) -> u32 {
        let load = self.loads.get(&service);
        load.map_or(0, |load| load.headroom_slots(cx.now, cx.cfg))
    }

    fn start_one(
        &mut self,
        cx: &Context<'_>,
        job_key: JobKey,
        target: TargetKey,
        out: &mut Vec<Effect>,
    ) {
        let address = self.targets.get(target).map(|target| target.info.address);
        let popped = self.jobs.job_mut(job_key).and_then(|job| job.waiting.pop());
        let (Some(address), Some(key)) = (address, popped) else {
            // A job without waiting tasks is not in the queue.
            self.targets.release_slot(target);
            self.requeue(job_key);
            return;
        };
        self.note_start(cx, job_key, key, target);
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

    fn note_start(&mut self, cx: &Context<'_>, job: JobKey, key: TaskKey, target: TargetKey) {
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
        let expected = self.run_times.expect(job.service, job.kind, None);
        let is_learnt = self.run_times.knows(job.service, job.kind);
        let lapses = job.deadline.max(cx.now) + LEASE_MARGIN + LAPSE_MARGIN;
        let overdue = cx.now + expected * cx.cfg.health.overdue_factor;
        let running = Running {
            target,
            service: job.service,
            kind: job.kind,
            team: job.team,
            urgency: job.urgency,
            started: cx.now,
            expected: is_learnt.then_some(expected),
            lapses,
            check_at: if is_learnt {
                overdue.min(lapses)
            } else {
                lapses
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

    /// Takes over how a started task ended.
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
        self.settle_target(cx, key, &running, &outcome, out);
        match outcome {
            TaskOutcome::Completed { output } => self.complete_task(cx, key, output, out),
            TaskOutcome::Failed => self.fail_task(cx, key, Verdict::Failed, out),
            TaskOutcome::Unknown => self.fail_task(cx, key, Verdict::MayHaveRun, out),
            TaskOutcome::NotStarted { .. } => self.retry_task(cx, key, out),
        }
        self.start_service(cx, running.service, out);
        self.return_idle(cx, running.target, out);
    }

    fn settle_target(
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
            TaskOutcome::Completed { .. } => self.note_run_time(cx, running, out),
            // The end of a task that was stopped says nothing of its target.
            TaskOutcome::Unknown if self.jobs.task(key).is_none() => {}
            TaskOutcome::Failed | TaskOutcome::Unknown => {
                self.note_sample(cx, target, Sample::Failed, out);
            }
        }
        self.targets.release_slot(target);
    }

    fn note_run_time(&mut self, cx: &Context<'_>, running: &Running, out: &mut Vec<Effect>) {
        let run = cx.now.saturating_duration_since(running.started);
        let was_noted = running.check_at == running.lapses;
        let ratio = running
            .expected
            .filter(|_| !was_noted)
            .map(|expected| run.as_secs_f64() / expected.as_secs_f64().max(f64::MIN_POSITIVE));
        let target = self.targets.get(running.target);
        if target.is_none_or(|target| target.health.tier() == Tier::Healthy) {
            self.run_times.learn(running.service, running.kind, run);
        }
        self.note_sample(cx, running.target, Sample::Completed(ratio), out);
    }

    fn note_sample(
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

    /// Looks at the running tasks that are due: long ones say that their target is slow, and those
    /// whose lease has lapsed fail their job. None of them is started again.
    pub(super) fn check_running(&mut self, cx: &Context<'_>, out: &mut Vec<Effect>) {
        while let Some((key, running)) = self.running.take_due(cx.now) {
            if running.lapses <= cx.now {
                self.end_task(cx, key, TaskOutcome::Unknown, out);
            } else if self.jobs.task(key).is_some() {
                let sample = Sample::Overdue(f64::from(cx.cfg.health.overdue_factor));
                self.note_sample(cx, running.target, sample, out);
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
        let job_key = task.job;
        if let Some(job) = self.jobs.job_mut(job_key) {
            job.waiting.push(key);
        }
        self.requeue(job_key);
    }
}
