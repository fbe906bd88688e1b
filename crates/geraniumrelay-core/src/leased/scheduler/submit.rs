//! Handles submissions, admission, cancellations and callers that disconnect.

use std::time::{Duration, Instant};

use super::Scheduler;
use crate::context::Context;
use crate::leased::admission::{self, Backlog};
use crate::leased::command::Submission;
use crate::leased::contention::Verdict;
use crate::leased::effect::{Effect, JobOutcome, RefusalReason};
use crate::leased::job::{Job, JobKey, Origin, Rank, Times};
use crate::leased::log_event::{CopyHandling, EntryLossCause, LogEvent};
use crate::leased::names::{EntryVm, FencingToken, JobId};
use crate::leased::placement;
use crate::leased::spec::JobSpec;

/// Minimum retry delay given to a refused caller.
const MIN_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Maximum wait for a durable job: in practice unlimited, as the job runs until it has ended.
pub(super) const DURABLE_MAX_WAIT: Duration = Duration::from_hours(24 * 365);

impl Scheduler {
    /// Processes a submission: answers an attempt or a job that has ended, adds a waiting entry VM to a known job, and
    /// admits or refuses a new one.
    pub(super) fn submit(
        &mut self,
        cx: &Context<'_>,
        submission: Submission,
        out: &mut Vec<Effect>,
    ) {
        self.note_tokens(cx, &submission.former_tokens, out);
        let others = submission.former_tokens.iter().copied();
        let highest_other = others.filter(|&t| !self.has_had_token(t)).max();
        if let Some(outcome) = self.known_outcome(&submission) {
            log_copy(&submission, CopyHandling::OutcomeRepeated, out);
            let (id, origin, name) = (submission.spec.id, submission.origin, submission.name);
            self.outcomes.repeated(id, outcome, origin, name);
            out.push(Effect::Answer {
                origin,
                id,
                submission: name,
                outcome: conclusive(outcome, highest_other.is_some()),
            });
        } else if let Some(&key) = self.by_id.get(&submission.spec.id) {
            log_copy(&submission, CopyHandling::JobKnown, out);
            self.join(cx, key, &submission, highest_other, out);
        } else {
            log_copy(&submission, CopyHandling::JobAdded, out);
            self.submit_new(cx, submission, highest_other, out);
        }
    }

    /// Adds the entry VM of a submission to those that wait for a known job.
    fn join(
        &mut self,
        cx: &Context<'_>,
        key: JobKey,
        submission: &Submission,
        highest_other: Option<FencingToken>,
        out: &mut Vec<Effect>,
    ) {
        self.restore_losses(cx, key, &submission.losses);
        self.jobs[key].add_origin(origin_of(cx, submission));
        if let Some(token) = highest_other.filter(|_| self.jobs[key].record_sync.is_none()) {
            self.find_runs_elsewhere(cx, key, token);
        }
        if self.jobs[key]
            .record_sync
            .is_some_and(|sync| sync.is_accepted)
        {
            self.answer_accepted(key, out);
        }
    }

    /// Admits or refuses a job that is not known.
    fn submit_new(
        &mut self,
        cx: &Context<'_>,
        submission: Submission,
        highest_other: Option<FencingToken>,
        out: &mut Vec<Effect>,
    ) {
        let origin = origin_of(cx, &submission);
        let Submission {
            spec,
            waited,
            remaining_wait,
            may_have_started,
            former_tokens,
            has_alternative,
            losses,
            ..
        } = submission;
        let id = spec.id;
        let is_durable = spec.is_durable;
        let key = self.add_job(cx, spec, origin, (waited, remaining_wait));
        self.jobs[key].highest_former_token = highest_other.unwrap_or_default();
        if is_durable {
            self.make_durable(cx, key);
        }
        self.restore_losses(cx, key, &losses);
        self.find_earlier_runs(cx, key, may_have_started, &former_tokens);
        if self.has_given_up(key) && !is_durable {
            self.log_given_up(id, out);
            self.finish(cx, key, JobOutcome::Failed, out);
            return;
        }
        if is_durable {
            self.submit_durable(cx, key, (may_have_started, has_alternative), out);
            return;
        }
        if self.jobs[key].is_done() {
            self.finish(cx, key, JobOutcome::Completed, out);
            return;
        }
        if !self.jobs[key].has_started
            && !may_have_started
            && let Some(reason) = self.refusal(cx, key, has_alternative, out)
        {
            self.refuse(cx, key, reason, out);
            return;
        }
        self.add_demand(cx, key);
        self.schedule_check(key);
        if !self.jobs[key].ready.is_empty() {
            self.waiting.insert((self.jobs[key].rank, key));
        }
        self.has_new_room = true;
    }

    /// Stores the record of a newly submitted durable job, or refuses the job.
    fn submit_durable(
        &mut self,
        cx: &Context<'_>,
        key: JobKey,
        (may_have_started, has_alternative): (bool, bool),
        out: &mut Vec<Effect>,
    ) {
        self.begin_epoch();
        let job = &self.jobs[key];
        let is_ended = self.ended_jobs.contains_key(&job.spec.id);
        // A job that may have been accepted before must not be refused.
        let may_refuse = !job.has_started && !may_have_started && !is_ended;
        if self.is_epoch_lost() && !may_refuse {
            self.finish(cx, key, JobOutcome::TimedOut, out);
        } else if may_refuse && self.is_store_unavailable() {
            self.refuse(cx, key, RefusalReason::NoScheduler, out);
        } else if may_refuse
            && self.knows_records
            && let Some(reason) = self.refusal(cx, key, has_alternative, out)
        {
            self.refuse(cx, key, reason, out);
        } else {
            self.send_record(cx, key, out);
        }
    }

    /// Adds a job whose caller has waited for `waited` and waits for at most `max_wait` more.
    pub(super) fn add_job(
        &mut self,
        cx: &Context<'_>,
        spec: JobSpec,
        origin: Origin,
        (waited, max_wait): (Duration, Duration),
    ) -> JobKey {
        let id = spec.id;
        let job = self.new_job(cx, spec, origin, waited, max_wait);
        let key = self.jobs.insert(job);
        self.by_id.insert(id, key);
        key
    }

    fn new_job(
        &mut self,
        cx: &Context<'_>,
        spec: JobSpec,
        origin: Origin,
        waited: Duration,
        max_wait: Duration,
    ) -> Job {
        let queue = &spec.queue;
        let estimate = |declared| self.estimates.expected(queue, declared);
        let expected: Vec<Duration> = spec.steps.iter().map(|s| estimate(s.estimate)).collect();
        let chain = longest_chain_time(&spec, &expected);
        let arrived = cx.now.checked_sub(waited).unwrap_or(cx.now);
        let max_wait = if spec.is_durable {
            DURABLE_MAX_WAIT
        } else {
            max_wait
        };
        let deadline = cx.now + max_wait;
        let objective = (arrived + chain.mul_f64(spec.stretch) + spec.target_latency).min(deadline);
        self.sequence += 1;
        let rank = Rank {
            is_above_share: false,
            priority: spec.priority,
            latest_start: objective.checked_sub(chain).unwrap_or(arrived),
            sequence: self.sequence,
        };
        let times = Times {
            arrived,
            objective,
            deadline,
        };
        Job::new(spec, origin, times, rank, expected)
    }

    /// Why a newly submitted job can't be served; `None` if it is admitted. With `has_alternative`, a
    /// job that would have to wait is left to the other cell.
    fn refusal(
        &mut self,
        cx: &Context<'_>,
        key: JobKey,
        has_alternative: bool,
        out: &mut Vec<Effect>,
    ) -> Option<RefusalReason> {
        let job = &self.jobs[key];
        let can_run = |p| {
            self.workers
                .values()
                .any(|w| placement::could_run(w, job, p, &self.bulkheads))
        };
        if !(0..)
            .zip(&job.tasks)
            .all(|(p, t)| t.index > 0 || can_run(p))
        {
            return Some(RefusalReason::NoWorkerFits);
        }
        if self.is_shut_out(job) {
            return Some(RefusalReason::Evacuated);
        }
        if job.is_too_long(cx.now) {
            return Some(RefusalReason::TooLong);
        }
        let backlog = self.backlog(cx, key);
        let wait = admission::expected_wait(&backlog);
        let near_wait = self.near_wait_on_arrival(cx, key);
        let wait = wait.and_then(|wait| Some(wait.max(near_wait?)));
        let job = &mut self.jobs[key];
        job.admission = Some((backlog, wait));
        if has_alternative && wait != Some(Duration::ZERO) {
            return Some(RefusalReason::Overload);
        }
        self.add_work(cx, key);
        let verdict = self.judge(cx, key, &backlog, out);
        if verdict == Verdict::AboveShare {
            let wait = self.wait_above_share(cx, key);
            return (wait != Some(Duration::ZERO)).then_some(RefusalReason::Overload);
        }
        let job = &self.jobs[key];
        let slack = job.rank.latest_start.saturating_duration_since(cx.now);
        let percent = if verdict == Verdict::WithinShare {
            cx.cfg.leased.admit_percent
        } else {
            admission::admit_percent(&cx.cfg.leased, &backlog)
        };
        let is_admitted = admission::is_admitted(wait, slack, percent);
        (!is_admitted).then_some(RefusalReason::Overload)
    }

    /// Backlog ahead of a job. Free processor is counted in whole tasks of the job, as the
    /// remainder on a worker is of no use to it.
    #[expect(
        clippy::cast_precision_loss,
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "a rough estimate"
    )]
    pub(super) fn backlog(&self, cx: &Context<'_>, key: JobKey) -> Backlog {
        let job = &self.jobs[key];
        let service = &job.spec.service;
        let ahead = self.waiting.range(..(job.rank, key));
        let ahead = ahead.map(|&(_, k)| &self.jobs[k]);
        let queue = &job.spec.queue;
        let shares_workers = |j: &Job| self.bulkheads.share_workers(queue, &j.spec.queue);
        let lacks_worker = |j: &Job| {
            let mut ready = j.ready.iter();
            ready.all(|&p| j.lacks_worker(j.task(p).step, self.workers_version))
        };
        let ahead = ahead.filter(|j| {
            j.spec.service == *service
                && !j.waits_for_earlier_runs(cx.now)
                && shares_workers(j)
                && !lacks_worker(j)
        });
        let ahead: Vec<(&Job, u64)> = ahead.map(|j| (j, j.ready_cpu(cx.now))).collect();
        let own = job.ready_cpu(cx.now);
        let position = job.ready.front().copied().unwrap_or(0);
        let (size, expected) = (job.step(position).size, job.expected_run(position));
        let mut backlog = Backlog {
            free: 0,
            capacity: 0,
            asked_for: self.work_asked_for(cx.now, service),
            ahead: ahead.iter().map(|&(_, needed)| needed).sum(),
            own,
            freed_per_s: 0.0,
            urgent_per_s: self.urgent_demand(cx.now, job.spec.priority),
        };
        let is_slowness_respected = self.is_slowness_respected(cx);
        let step = job.step(position);
        let has_speeds = self.run_times.speeds.has_differences();
        let mut capacity = 0.0;
        for worker in self.workers.values() {
            let may_run = self.bulkheads.may_run(queue, worker.entry.address);
            if worker.entry.service != *service
                || !worker.may_become_usable()
                || worker.is_evacuated()
                || !may_run
            {
                continue;
            }
            capacity += worker.entry.capacity.cpu_milli as f64 / worker.speed;
            let slowness = if is_slowness_respected {
                worker.health.slowness(&cx.cfg.leased)
            } else {
                1.0
            };
            let is_open = worker.health.may_start(cx.now, 0) && !worker.is_full(cx.now);
            let run = expected.mul_f64(self.run_times.factor(worker, step));
            let is_in_time = !has_speeds || cx.now + run <= job.times.objective;
            // Faulty workers do not count as free, as few jobs can wait for them, nor those of a slow kind on
            // which the job would miss its objective.
            if is_open && slowness <= 1.0 && is_in_time {
                backlog.free += worker.free().count_of(&size) * size.cpu_milli;
            }
            for run in &worker.runs {
                let took = cx.now.saturating_duration_since(run.sent);
                // The remaining time of an overdue run is unknown; it counts with the time so far.
                let run_time = run.expected.mul_f64(slowness).max(took).as_secs_f64();
                backlog.freed_per_s += run.size.cpu_milli as f64 / run_time.max(0.001);
            }
        }
        backlog.capacity = capacity as u64;
        // Processor of tasks that start now is free again after one run time.
        let mut room = backlog.free;
        for (other, needed) in ahead {
            if room == 0 {
                break;
            }
            let started = needed.min(room);
            room -= started;
            let first = other.ready.front().copied().unwrap_or(0);
            let run = other.expected_run(first).as_secs_f64();
            backlog.freed_per_s += started as f64 / run.max(0.001);
        }
        backlog.freed_per_s += own.min(room) as f64 / expected.as_secs_f64().max(0.001);
        backlog
    }

    /// Ends a job as refused, with all copies of the attempts that wait for it.
    pub(super) fn refuse(
        &mut self,
        cx: &Context<'_>,
        key: JobKey,
        reason: RefusalReason,
        out: &mut Vec<Effect>,
    ) {
        let refusal = self.refusal_outcome(cx, key, reason);
        let origins = &self.jobs[key].origins;
        self.outcomes.add_refusal(refusal, origins, cx.now);
        self.finish(cx, key, refusal, out);
    }

    /// Outcome of a job that is refused. The retry delay is the expected wait, at least [`MIN_RETRY_AFTER`]; under overload
    /// it covers the excess of the job's queue as well.
    fn refusal_outcome(
        &mut self,
        cx: &Context<'_>,
        key: JobKey,
        reason: RefusalReason,
    ) -> JobOutcome {
        let wait = admission::expected_wait(&self.backlog(cx, key));
        let wait = wait.unwrap_or(MIN_RETRY_AFTER).max(MIN_RETRY_AFTER);
        let retry_after = self.contended_retry_after(cx, key, wait).unwrap_or(wait);
        JobOutcome::Refused {
            reason,
            retry_after,
        }
    }

    /// Schedules the next check of a job: at its latest start, or at its deadline once tasks may
    /// have run.
    pub(super) fn schedule_check(&mut self, key: JobKey) {
        let job = &self.jobs[key];
        let at = if job.record_sync.is_some() {
            job.rank.latest_start
        } else if job.may_have_run() {
            job.times.deadline
        } else {
            job.rank.latest_start.min(job.times.deadline)
        };
        self.check_at(key, at);
    }

    /// Schedules the next check of a job at `at`.
    pub(super) fn check_at(&mut self, key: JobKey, at: Instant) {
        let job = &mut self.jobs[key];
        self.checks.remove(&(job.check_at, key));
        job.check_at = at;
        self.checks.insert((at, key));
    }

    /// Removes an entry VM from those that wait for a job, and cancels a job that is not durable
    /// when none is left.
    pub(super) fn withdraw(
        &mut self,
        cx: &Context<'_>,
        id: JobId,
        origin: EntryVm,
        out: &mut Vec<Effect>,
    ) {
        let Some(&key) = self.by_id.get(&id) else {
            return;
        };
        self.keep_run_limits(cx, key);
        let job = &mut self.jobs[key];
        job.origins.retain(|o| o.vm != origin);
        if job.origins.is_empty() && job.record_sync.is_none() {
            self.finish(cx, key, JobOutcome::Cancelled, out);
        }
    }

    /// Outcome with which a submission is answered at once: that of its attempt, or of the job if that has ended.
    fn known_outcome(&self, submission: &Submission) -> Option<JobOutcome> {
        let (id, is_durable) = (submission.spec.id, submission.spec.is_durable);
        let refusal = self.outcomes.refusal_of(submission.origin, submission.name);
        if refusal.is_some() {
            return refusal;
        }
        if self.by_id.contains_key(&id) {
            return None;
        }
        let known = match self.outcomes.job(id).map(|ended| ended.outcome) {
            // A caller's retry after a refusal goes through admission again. Without a name it is not told from a copy.
            Some(refusal @ JobOutcome::Refused { .. }) => {
                let is_copy = submission.may_have_started && submission.name.is_none();
                is_copy.then_some(refusal)
            }
            // The job was dropped as its entry VM followed another scheduler, and its caller still waits.
            None | Some(JobOutcome::TimedOut) => None,
            Some(_) if is_durable => Some(JobOutcome::Accepted),
            Some(outcome @ (JobOutcome::Completed | JobOutcome::Failed)) => Some(outcome),
            // The callers of the earlier attempts have left.
            Some(JobOutcome::Cancelled | JobOutcome::Accepted) => None,
        };
        let is_cancelled = !is_durable && self.is_cancelled(id);
        known.or(is_cancelled.then_some(JobOutcome::Cancelled))
    }

    /// Withdraws the jobs that an entry VM has not submitted again since `lost_at`; the log names the cause
    /// and its begin.
    pub(super) fn drop_entry_jobs(
        &mut self,
        cx: &Context<'_>,
        origin: EntryVm,
        lost_at: Instant,
        (cause, since): (EntryLossCause, Instant),
        out: &mut Vec<Effect>,
    ) {
        let is_abandoned = |job: &Job| {
            let mut origins = job.origins.iter().filter(|_| job.record_sync.is_none());
            origins.any(|o| o.vm == origin && o.confirmed <= lost_at)
        };
        let ids: Vec<JobId> = self
            .jobs
            .values()
            .filter(|j| is_abandoned(j))
            .map(|j| j.spec.id)
            .collect();
        if !ids.is_empty() {
            out.push(Effect::LogEvent(LogEvent::EntryJobsDropped {
                vm: origin,
                jobs: ids.len(),
                cause,
                lost_for: cx.now.saturating_duration_since(since),
            }));
        }
        for id in ids {
            let key = self.by_id[&id];
            if self.jobs[key].origins.len() > 1 {
                self.withdraw(cx, id, origin, out);
                continue;
            }
            // The entry VM is answered, as it may be up and unreachable only from this scheduler.
            if self.jobs[key].may_have_run() {
                self.finish(cx, key, JobOutcome::TimedOut, out);
            } else {
                // The entry VM may have sent a further copy, which is taken as if it were the first one.
                let outcome = self.refusal_outcome(cx, key, RefusalReason::NoScheduler);
                self.finish(cx, key, outcome, out);
            }
        }
    }
}

/// An outcome as it may be answered: no refusal if another scheduler may have started the job.
fn conclusive(outcome: JobOutcome, was_elsewhere: bool) -> JobOutcome {
    match outcome {
        JobOutcome::Refused { .. } if was_elsewhere => JobOutcome::TimedOut,
        outcome => outcome,
    }
}

/// Logs what is done with a copy of a submission, other than the first one.
fn log_copy(submission: &Submission, handling: CopyHandling, out: &mut Vec<Effect>) {
    if let Some(name) = submission.name.filter(|n| n.copy > 1) {
        out.push(Effect::LogEvent(LogEvent::CopyReceived {
            id: submission.spec.id,
            origin: submission.origin,
            submission: name,
            handling,
        }));
    }
}

/// The entry VM that waits for the answer to a submission.
fn origin_of(cx: &Context<'_>, submission: &Submission) -> Origin {
    Origin {
        vm: submission.origin,
        submission: submission.name,
        confirmed: cx.now,
        as_of: submission.as_of.map(|at| at.min(cx.now)),
    }
}

/// Expected run time of the longest chain of dependent steps, with unlimited workers.
fn longest_chain_time(spec: &JobSpec, expected: &[Duration]) -> Duration {
    let mut ends: Vec<Duration> = Vec::with_capacity(expected.len());
    for (step, &run) in spec.steps.iter().zip(expected) {
        let before = step.after.iter().filter_map(|&s| ends.get(usize::from(s)));
        let start = before.max().copied().unwrap_or_default();
        ends.push(start + run);
    }
    ends.into_iter().max().unwrap_or_default()
}
