//! Admission: checks a submission against the sheet, the deadline and the bounds before the job is
//! queued. A refusal is final for the ticket.

use std::time::{Duration, Instant};

use crate::command::JobSpec;
use crate::context::Context;
use crate::dispatcher::Dispatcher;
use crate::effect::{Effect, Rejection};
use crate::modules::policy::Policy;
use crate::modules::sheet::{KindRule, ServiceState, Urgency};
use crate::names::ServiceName;
use crate::reason::Reason;

/// Minimum retry delay that a refusal suggests.
pub(super) const MIN_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Maximum retry delay that a refusal suggests.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(30);

/// Properties of an admitted job.
#[derive(Debug, Clone, Copy)]
pub(super) struct Admitted {
    /// Rule of the request kind, from the sheet.
    pub(super) rule: KindRule,
    /// Deadline of the answer.
    pub(super) deadline: Instant,
    /// Latest first start that can still meet the deadline, by the estimated run time.
    pub(super) last_start: Instant,
    /// Mean declared run time of the tasks; `None` if no task declares one.
    pub(super) declared: Option<Duration>,
    /// Expected run time of each task.
    pub(super) expected: Duration,
}

impl<P: Policy> Dispatcher<P> {
    /// Admits a job or returns its refusal, which is final. May displace queued bulk jobs.
    pub(super) fn admit(
        &mut self,
        cx: &Context<'_>,
        job: &JobSpec,
        out: &mut Vec<Effect>,
    ) -> Result<Admitted, Rejection> {
        let rule = self.check_rules(cx, job)?;
        if !self.targets.has_capacity(job.service) {
            return Err(self.refusal_with_retry(job.service, rule.urgency, Reason::NoCapacity));
        }
        let expected = self.expected(job);
        self.record_demand(cx, job, expected);
        let admitted = self.check_deadline(cx, job, rule, expected)?;
        self.make_room(cx, job, rule, out)?;
        Ok(admitted)
    }

    /// Checks the state of this VM and the rules of the sheet, which do not depend on load.
    fn check_rules(&self, cx: &Context<'_>, job: &JobSpec) -> Result<KindRule, Rejection> {
        let refuse = |reason| Err(Rejection::not_run(reason));
        let refuse_for_now =
            |reason| Err(Rejection::not_run(reason).with_retry_after(MIN_RETRY_AFTER));
        if self.is_draining {
            return refuse_for_now(Reason::VmLeaving);
        }
        if self.rules.revision == 0 {
            return refuse_for_now(Reason::NoSheet);
        }
        let Some(service) = self.rules.services.get(&job.service) else {
            return refuse(Reason::UnknownService);
        };
        let Some(rule) = service.kinds.get(&job.kind) else {
            return refuse(Reason::UnknownKind);
        };
        let is_known =
            |team| service.team_shares.is_empty() || service.team_shares.contains_key(&team);
        if !job.team.is_none_or(is_known) {
            return refuse(Reason::UnknownTeam);
        }
        if service.states.get(&self.identity.data_centre) != Some(&ServiceState::Active) {
            return refuse(Reason::ServiceLeaving);
        }
        if job.tasks.is_empty() {
            return refuse(Reason::NoTasks);
        }
        if job.tasks.len() > cx.cfg.admission.max_tasks_per_job {
            return refuse(Reason::TooManyTasks);
        }
        Ok(*rule)
    }

    /// Refuses a job that can't meet its deadline behind the queued work, by estimated run times.
    fn check_deadline(
        &self,
        cx: &Context<'_>,
        job: &JobSpec,
        rule: KindRule,
        expected: Duration,
    ) -> Result<Admitted, Rejection> {
        let requested = job.deadline_ms.map(Duration::from_millis);
        let allowed = requested.map_or(rule.deadline, |requested| requested.min(rule.deadline));
        let has_estimate = self.run_times.has_samples(job.service, job.kind);
        if has_estimate && expected > allowed {
            return Err(Rejection::not_run(Reason::DeadlineUnreachable));
        }
        let wait = self.expected_wait(job, rule.urgency);
        if has_estimate && wait + expected > allowed {
            let rejection = Rejection::not_run(Reason::DeadlineUnreachable);
            let after = wait.clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER);
            return Err(rejection.with_retry_after(after));
        }
        let deadline = cx.now + allowed;
        // Declared run times are too inaccurate to fail a job before its deadline.
        let last_start = if has_estimate {
            cx.now + allowed.saturating_sub(expected)
        } else {
            deadline
        };
        Ok(Admitted {
            rule,
            deadline,
            last_start,
            declared: mean_declared(job),
            expected,
        })
    }

    /// Expected run time of each task of a job.
    fn expected(&self, job: &JobSpec) -> Duration {
        self.run_times
            .estimate(job.service, job.kind, mean_declared(job))
    }

    /// Adds a job to the demand of its team, even if the job is refused afterwards.
    fn record_demand(&mut self, cx: &Context<'_>, job: &JobSpec, expected: Duration) {
        let tasks = u32::try_from(job.tasks.len()).unwrap_or(u32::MAX);
        let run_s = expected.as_secs_f64() * f64::from(tasks);
        let queue = self.queues.entry(job.service).or_default();
        queue.add_demand(cx, job.team, run_s);
    }

    /// Expected time until a new job gets its first slot, from the estimated work queued before it;
    /// zero if no slot is usable.
    fn expected_wait(&self, job: &JobSpec, urgency: Urgency) -> Duration {
        let slots = self.targets.usable(job.service);
        let Some(queue) = self.queues.get(&job.service) else {
            return Duration::ZERO;
        };
        if slots == 0 {
            return Duration::ZERO;
        }
        if !queue.is_over_share(job.team) {
            return Duration::from_millis(queue.work_before_ms(urgency) / u64::from(slots));
        }
        let quota = queue.quota(job.team).unwrap_or(slots).max(1);
        let work_ms = queue.team_work_before_ms(urgency, job.team);
        Duration::from_millis(work_ms / u64::from(quota))
    }

    /// Bounds the queue: fails bulk jobs that have not started to make room for jobs of higher
    /// urgency.
    fn make_room(
        &mut self,
        cx: &Context<'_>,
        job: &JobSpec,
        rule: KindRule,
        out: &mut Vec<Effect>,
    ) -> Result<(), Rejection> {
        let max_tasks = cx.cfg.admission.max_queued_tasks;
        loop {
            let Some(queue) = self.queues.get(&job.service) else {
                return Ok(());
            };
            if queue.len() + job.tasks.len() <= max_tasks {
                return Ok(());
            }
            let is_displaceable = |key| self.jobs.job(key).is_some_and(|job| !job.has_started);
            let displaced = queue.last_bulk(is_displaceable);
            let Some(key) = displaced.filter(|_| rule.urgency != Urgency::Bulk) else {
                return Err(self.refusal_with_retry(job.service, rule.urgency, Reason::QueueFull));
            };
            self.finish_job(cx, key, Some(Reason::QueueFull), out);
        }
    }

    /// Refusal with a retry delay: the estimated time until the tasks queued now have started.
    pub(super) fn refusal_with_retry(
        &self,
        service: ServiceName,
        urgency: Urgency,
        reason: Reason,
    ) -> Rejection {
        let slots = u64::from(self.targets.usable(service).max(1));
        let work_ms = self
            .queues
            .get(&service)
            .map_or(0, |queue| queue.work_before_ms(urgency));
        let wait = Duration::from_millis(work_ms / slots);
        let after = wait.clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER);
        Rejection::not_run(reason).with_retry_after(after)
    }
}

fn mean_declared(job: &JobSpec) -> Option<Duration> {
    let declared: Vec<u64> = job
        .tasks
        .iter()
        .filter_map(|task| task.expected_ms)
        .collect();
    let count = u64::try_from(declared.len())
        .ok()
        .filter(|count| *count > 0)?;
    let sum = declared
        .iter()
        .fold(0, |sum: u64, ms| sum.saturating_add(*ms));
    Some(Duration::from_millis(sum / count))
}
