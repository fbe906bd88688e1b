//! Admission: what is refused at once, truly and for ever.

use std::time::{Duration, Instant};

use crate::command::JobSpec;
use crate::context::Context;
use crate::dispatcher::Dispatcher;
use crate::effect::{Effect, Rejection};
use crate::modules::policy::Policy;
use crate::modules::sheet::{KindRule, ServiceState, Urgency};
use crate::names::ServiceName;
use crate::reason::Reason;

/// Shortest wait before asking again.
pub(super) const MIN_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Longest wait before asking again.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(30);

/// What is settled of a job that is taken in.
#[derive(Debug, Clone, Copy)]
pub(super) struct Admitted {
    /// What the sheet says of its kind.
    pub(super) rule: KindRule,
    /// Time by which the answer is due.
    pub(super) deadline: Instant,
    /// Last time at which a first start helps.
    pub(super) last_start: Instant,
    /// Mean declared run time of its tasks.
    pub(super) declared: Option<Duration>,
    /// Run time expected of each task.
    pub(super) expected: Duration,
}

impl<P: Policy> Dispatcher<P> {
    /// Refuses what is not to be started; every refusal is final.
    pub(super) fn admit(
        &mut self,
        cx: &Context<'_>,
        job: &JobSpec,
        out: &mut Vec<Effect>,
    ) -> Result<Admitted, Rejection> {
        let rule = self.check_rules(cx, job)?;
        if !self.targets.has_capacity(job.service) {
            return Err(self.later(job.service, rule.urgency, Reason::NoCapacity));
        }
        let expected = self.expected(job);
        self.add_demand(cx, job, expected);
        let admitted = self.check_deadline(cx, job, rule, expected)?;
        self.make_room(cx, job, rule, out)?;
        Ok(admitted)
    }

    /// What waiting does not help against.
    fn check_rules(&self, cx: &Context<'_>, job: &JobSpec) -> Result<KindRule, Rejection> {
        let refuse = |reason| Err(Rejection::not_run(reason));
        let later = |reason| Err(Rejection::not_run(reason).with_retry_after(MIN_RETRY_AFTER));
        if self.is_draining {
            return later(Reason::VmLeaving);
        }
        if self.rules.revision == 0 {
            return later(Reason::NoSheet);
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

    /// Refuses what can't meet its deadline behind what waits already, by learnt run times.
    fn check_deadline(
        &self,
        cx: &Context<'_>,
        job: &JobSpec,
        rule: KindRule,
        expected: Duration,
    ) -> Result<Admitted, Rejection> {
        let own = job.deadline_ms.map(Duration::from_millis);
        let allowed = own.map_or(rule.deadline, |own| own.min(rule.deadline));
        let is_learnt = self.run_times.has_samples(job.service, job.kind);
        if is_learnt && expected > allowed {
            return Err(Rejection::not_run(Reason::DeadlineUnreachable));
        }
        let wait = self.wait_of(job, rule.urgency);
        if is_learnt && wait + expected > allowed {
            let late = Rejection::not_run(Reason::DeadlineUnreachable);
            let after = wait.clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER);
            return Err(late.with_retry_after(after));
        }
        let deadline = cx.now + allowed;
        // Declared run times are too far off to give a job up by them.
        let last_start = if is_learnt {
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

    /// Run time expected of each task of a job.
    fn expected(&self, job: &JobSpec) -> Duration {
        self.run_times
            .estimate(job.service, job.kind, mean_declared(job))
    }

    /// Counts a job towards what its team asks for, also where it is refused then.
    fn add_demand(&mut self, cx: &Context<'_>, job: &JobSpec, expected: Duration) {
        let tasks = u32::try_from(job.tasks.len()).unwrap_or(u32::MAX);
        let run_s = expected.as_secs_f64() * f64::from(tasks);
        let queue = self.queues.entry(job.service).or_default();
        queue.add_demand(cx, job.team, run_s);
    }

    /// Time until a new job gets its first slot, by the learnt work that goes before it.
    fn wait_of(&self, job: &JobSpec, urgency: Urgency) -> Duration {
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

    /// Keeps the queue bounded: bulk gives way first, and is told so at once.
    fn make_room(
        &mut self,
        cx: &Context<'_>,
        job: &JobSpec,
        rule: KindRule,
        out: &mut Vec<Effect>,
    ) -> Result<(), Rejection> {
        let most = cx.cfg.admission.max_queued_tasks;
        loop {
            let Some(queue) = self.queues.get(&job.service) else {
                return Ok(());
            };
            if queue.len() + job.tasks.len() <= most {
                return Ok(());
            }
            let may_go = |key| self.jobs.job(key).is_some_and(|job| !job.has_started);
            let displaced = queue.last_bulk(may_go);
            let Some(key) = displaced.filter(|_| rule.urgency != Urgency::Bulk) else {
                return Err(self.later(job.service, rule.urgency, Reason::QueueFull));
            };
            self.finish_job(cx, key, Some(Reason::QueueFull), out);
        }
    }

    /// Refusal with the time by which what waits now will have started.
    pub(super) fn later(
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
