//! Runs of a job that this scheduler has not started: they are found, adopted or waited for before a task starts.

use std::time::Duration;

use super::Scheduler;
use crate::context::Context;
use crate::leased::command::DeparturesKnown;
use crate::leased::effect::Effect;
use crate::leased::job::{EarlierRuns, JobKey, TaskKey, TaskState};
use crate::leased::log_event::{LogEvent, NoRunsEvidence};
use crate::leased::names::{FencingToken, TaskName};
use crate::leased::worker::{Run, RunState, UnclaimedRun, Worker, WorkerKey};

/// Added to the run numbers of a task that an earlier scheduler may have started: more runs than
/// that scheduler can have made, so that new numbers are higher.
const RUNS_BEFORE_TAKEOVER: u32 = 10_000;

/// Least time that the restart of a worker and the start of a task there take together.
const MIN_RESTART_TIME: Duration = Duration::from_millis(50);

/// Least time between two checks of silent workers: after a takeover the jobs of many entry VMs come at once.
const SILENT_CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// Whether the workers have reported all runs that other schedulers may have started.
#[derive(Debug, Clone, Copy)]
pub(super) struct ReportedRuns {
    /// Runs of schedulers that were followed here until a moment ago.
    of_predecessors: bool,
    /// Runs of any scheduler, also beyond a cut.
    of_strangers: bool,
}

/// Proof that no worker lists another run of a task, so that it may start. Only [`Scheduler::start_gate`] gives it.
#[derive(Debug)]
pub(super) struct StartPermit(TaskKey);

impl StartPermit {
    pub(super) fn task(&self) -> TaskKey {
        self.0
    }
}

/// Whether a ready task may start.
#[derive(Debug)]
pub(super) enum StartGate {
    /// The task may start.
    Open(StartPermit),
    /// A run of an earlier scheduler was adopted in its place.
    Adopted,
    /// An invalidated run of the task is at work.
    Held,
}

impl Scheduler {
    /// Whether a ready task may start. A run of it that a worker lists is adopted instead; while an invalidated run is at
    /// work, the task waits. All starts pass this gate, by whatever way the task has become ready.
    pub(super) fn start_gate(&mut self, cx: &Context<'_>, task: TaskKey) -> StartGate {
        let name = self.jobs[task.job].name(task.position);
        let listed = self.workers.iter().find_map(|(key, worker)| {
            let run = worker.unclaimed_runs.iter().find(|u| u.name == name)?;
            Some((key, *run))
        });
        match listed {
            None => StartGate::Open(StartPermit(task)),
            Some((on, run)) if self.adopt(cx, task.job, on, &run) => StartGate::Adopted,
            Some(_) => StartGate::Held,
        }
    }

    /// Polls all workers, and starts nothing on a worker until it has answered: another scheduler had a
    /// higher token than this one, and may have started tasks on any worker since that last answered
    /// here. Load pattern: after a cut, jobs of the other side are sent to this scheduler, which has not
    /// polled the idle workers meanwhile.
    pub(super) fn void_confirmations(&mut self, cx: &Context<'_>, out: &mut Vec<Effect>) {
        let keys: Vec<WorkerKey> = self.workers.keys().collect();
        for key in keys {
            let worker = &mut self.workers[key];
            worker.higher_token_since = None;
            worker.may_have_followed_other = true;
            worker.suspect_restart();
            self.schedule_poll(cx, key, out);
        }
    }

    /// Which runs of other schedulers the workers have reported. A scheduler that was followed here until a moment ago has
    /// used listed workers, and such as have departed lately. Load pattern: a cut lasts for longer than workers are listed
    /// or polled, and as it heals, jobs come from the scheduler beyond it, which has used these workers all the time.
    pub(super) fn reported_runs(&self, cx: &Context<'_>) -> ReportedRuns {
        let cfg = &cx.cfg.leased;
        let mut reported = ReportedRuns {
            of_predecessors: self.departures_known >= DeparturesKnown::Recent,
            of_strangers: self.departures_known == DeparturesKnown::All,
        };
        for worker in self.workers.values() {
            if worker.reports_all_runs(cx.now, cfg.stop_grace) {
                continue;
            }
            reported.of_strangers = false;
            reported.of_predecessors &= worker.is_absent(cx.now, cfg.departed_ttl);
        }
        reported
    }

    /// Whether the workers have reported all runs of a job that other schedulers may have started. The list of the workers
    /// must be as young as the job is here: a scheduler beyond a cut may have used workers that came meanwhile.
    pub(super) fn are_earlier_runs_reported(&self, key: JobKey, reported: ReportedRuns) -> bool {
        let runs = self.jobs[key].earlier_runs;
        if let Some(runs) = runs.filter(|r| r.may_be_of_stranger) {
            reported.of_strangers && self.workers_listed_as_of >= Some(runs.since)
        } else {
            reported.of_predecessors
        }
    }

    /// Whether any of these schedulers may use workers that this VM does not count any more.
    pub(super) fn has_stranger(&self, cx: &Context<'_>, tokens: &[FencingToken]) -> bool {
        let is_predecessor = |token| {
            let mut known = self.predecessors.iter();
            known.any(|&(known, until)| known == token && cx.now < until)
        };
        let mut others = tokens.iter().filter(|&&t| !self.has_had_token(t));
        others.any(|&t| !is_predecessor(t))
    }

    /// Polls the workers that departed long ago, as a scheduler beyond a cut may have used them.
    fn seek_absent_workers(&mut self, cx: &Context<'_>, out: &mut Vec<Effect>) {
        let cfg = &cx.cfg.leased;
        let until = cx.now + cfg.bounded_runs_wait();
        let is_sought = |w: &Worker| w.sought_until.is_some_and(|until| cx.now < until);
        let workers = self.workers.iter();
        let absent =
            workers.filter(|(_, w)| w.is_absent(cx.now, cfg.departed_ttl) && !is_sought(w));
        let absent: Vec<WorkerKey> = absent.map(|(key, _)| key).collect();
        for key in absent {
            let worker = &mut self.workers[key];
            worker.sought_until = Some(until);
            worker.poll_state.not_before = None;
            self.schedule_poll(cx, key, out);
        }
    }

    /// Takes note that schedulers with these tokens had a job. One with a lower token may have started it on a worker that
    /// has restarted since its last report, as the new instance has seen no token.
    pub(super) fn note_tokens(
        &mut self,
        cx: &Context<'_>,
        tokens: &[FencingToken],
        out: &mut Vec<Effect>,
    ) {
        let others = tokens.iter().filter(|&&t| !self.has_had_token(t));
        let Some(&highest) = others.max() else {
            return;
        };
        if highest > self.token && highest > self.highest_other_token {
            self.highest_other_token = highest;
            self.void_confirmations(cx, out);
        }
        if self.has_stranger(cx, tokens) {
            self.seek_absent_workers(cx, out);
        }
        let age = |at| cx.now.saturating_duration_since(at);
        if self
            .silent_checked_at
            .is_some_and(|at| age(at) < SILENT_CHECK_INTERVAL)
        {
            return;
        }
        self.silent_checked_at = Some(cx.now);
        let is_silent = |w: &Worker| w.reported_at.is_some_and(|at| age(at) >= MIN_RESTART_TIME);
        let workers = self.workers.iter();
        let silent: Vec<WorkerKey> = workers
            .filter(|(_, w)| w.token_confirmed_at.is_some() && is_silent(w))
            .map(|(key, _)| key)
            .collect();
        for key in silent {
            self.workers[key].may_have_followed_other = true;
            self.workers[key].suspect_restart();
            self.schedule_poll(cx, key, out);
        }
    }

    /// Attaches the runs and ends of a new job that are known already. With `may_have_started`,
    /// holds its other tasks until unknown runs must have ended or all workers have reported.
    pub(super) fn find_earlier_runs(
        &mut self,
        cx: &Context<'_>,
        key: JobKey,
        may_have_started: bool,
        former_tokens: &[FencingToken],
    ) {
        self.reattach_runs(key);
        self.adopt_unclaimed_runs(cx, key);
        if may_have_started {
            let may_be_of_stranger = self.has_stranger(cx, former_tokens);
            self.hold_for_earlier_runs(cx, key, may_be_of_stranger);
        }
    }

    /// Holds the tasks of a job that are not placed until runs by another scheduler must have ended or
    /// all workers have reported.
    fn hold_for_earlier_runs(&mut self, cx: &Context<'_>, key: JobKey, may_be_of_stranger: bool) {
        let job = &mut self.jobs[key];
        let cfg = &cx.cfg.leased;
        let wait = if job.record_sync.is_some() {
            cfg.takeover_wait + cfg.epoch_ttl
        } else if job.last_sign().is_some() || job.highest_former_token != FencingToken::default() {
            cfg.bounded_runs_wait()
        } else {
            cfg.takeover_wait
        };
        let known = job.earlier_runs;
        job.earlier_runs = Some(EarlierRuns {
            since: cx.now,
            until: cx.now + wait,
            may_be_of_stranger: may_be_of_stranger || known.is_some_and(|r| r.may_be_of_stranger),
            is_exclusion_logged: false,
        });
        for task in &mut job.tasks {
            let before = task.first_valid_run + RUNS_BEFORE_TAKEOVER;
            task.last_run = task.last_run.max(before);
        }
    }

    /// Takes note that the scheduler with `token` had a known job meanwhile, and may have started it: no refusal may say
    /// any more that it has not run. Load pattern: callers' jobs are sent to one scheduler, then to its successor, and back,
    /// as connections between VMs break.
    pub(super) fn find_runs_elsewhere(
        &mut self,
        cx: &Context<'_>,
        key: JobKey,
        token: FencingToken,
    ) {
        let job = &mut self.jobs[key];
        if token <= job.highest_former_token {
            return;
        }
        job.highest_former_token = token;
        let may_be_of_stranger = self.has_stranger(cx, &[token]);
        self.adopt_unclaimed_runs(cx, key);
        self.hold_for_earlier_runs(cx, key, may_be_of_stranger);
        self.schedule_check(key);
    }

    /// Logs, once for each wait, why a job's tasks wait no longer for runs by other schedulers.
    pub(super) fn log_exclusion(
        &mut self,
        cx: &Context<'_>,
        key: JobKey,
        evidence: NoRunsEvidence,
        out: &mut Vec<Effect>,
    ) {
        let job = &mut self.jobs[key];
        let Some(runs) = job.earlier_runs.as_mut().filter(|r| !r.is_exclusion_logged) else {
            return;
        };
        runs.is_exclusion_logged = true;
        let grace = cx.cfg.leased.stop_grace;
        let workers = self.workers.values();
        let unreported = workers.filter(|w| !w.reports_all_runs(cx.now, grace));
        let ttl = cx.cfg.leased.departed_ttl;
        let absent = self.workers.values().filter(|w| w.is_absent(cx.now, ttl));
        out.push(Effect::LogEvent(LogEvent::EarlierRunsExcluded {
            id: job.spec.id,
            evidence,
            former: job.highest_former_token,
            waited: cx.now.saturating_duration_since(runs.since),
            workers: self.workers.len(),
            unreported: unreported.count(),
            absent: absent.count(),
        }));
    }

    /// Attaches to a resubmitted job the runs of its earlier submission: they are being stopped,
    /// and no other run of the same tasks may start before they have ended.
    fn reattach_runs(&mut self, key: JobKey) {
        let job = &mut self.jobs[key];
        let id = job.spec.id;
        let runs = self.workers.values_mut().flat_map(|w| &mut w.runs);
        for run in runs.filter(|r| r.name.job == id) {
            let Some(position) = job.position(run.name) else {
                continue;
            };
            if job.record_sync.is_none() {
                job.mark_required_steps_done(run.name.step);
            }
            job.mark_placed(position);
            let task = job.task_mut(position);
            task.last_run = task.last_run.max(run.run);
            run.task = TaskKey { job: key, position };
        }
    }

    /// Adopts the unclaimed runs and unmatched ends of a job, which an earlier scheduler started.
    fn adopt_unclaimed_runs(&mut self, cx: &Context<'_>, key: JobKey) {
        let id = self.jobs[key].spec.id;
        let ends: Vec<_> = self
            .unmatched_ends
            .keys()
            .filter(|n| n.job == id)
            .copied()
            .collect();
        for name in ends {
            self.unmatched_ends.remove(&name);
            let job = &mut self.jobs[key];
            // The ends of a durable job are listed until they are stored.
            if job.record_sync.is_some() {
                continue;
            }
            if let Some(position) = job.position(name) {
                job.mark_required_steps_done(name.step);
                job.mark_done(position);
            }
        }
        self.adopt_listed_runs(cx, key);
    }

    /// Adopts the unclaimed runs of a job that workers list.
    pub(super) fn adopt_listed_runs(&mut self, cx: &Context<'_>, key: JobKey) {
        let id = self.jobs[key].spec.id;
        let workers: Vec<_> = self.workers.keys().collect();
        for worker in workers {
            let is_of_job = |name: TaskName| name.job == id;
            let unclaimed: Vec<_> = self.workers[worker]
                .unclaimed_runs
                .iter()
                .filter(|u| is_of_job(u.name))
                .copied()
                .collect();
            for run in unclaimed {
                self.adopt(cx, key, worker, &run);
            }
        }
    }

    /// Adopts an unclaimed run whose task is ready to start, unless the run is invalidated; `false` if the run stays
    /// unclaimed. A run of a blocked task shows that the steps before it are done; for a durable job its record tells.
    pub(super) fn adopt(
        &mut self,
        cx: &Context<'_>,
        key: JobKey,
        on: WorkerKey,
        unclaimed: &UnclaimedRun,
    ) -> bool {
        let UnclaimedRun {
            name,
            run,
            stop_sent,
            unanswered_stop,
            ..
        } = *unclaimed;
        let job = &mut self.jobs[key];
        let Some(position) = job.position(name) else {
            return false;
        };
        if job.task(position).state == TaskState::Blocked && job.record_sync.is_none() {
            job.mark_required_steps_done(name.step);
            self.waiting.insert((job.rank, key));
        }
        let task = job.task(position);
        if task.state != TaskState::Waiting || run < task.first_valid_run {
            return false;
        }
        job.mark_placed(position);
        let task = job.task_mut(position);
        task.last_run = task.last_run.max(run);
        let worker = &mut self.workers[on];
        let factor = self.run_times.factor(worker, job.step(position));
        worker
            .unclaimed_runs
            .retain(|u| u.name != name || u.run != run);
        worker.add_run(Run {
            task: TaskKey { job: key, position },
            name,
            run,
            size: job.step(position).size,
            token: self.token,
            is_for_former_instance: false,
            state: if stop_sent.is_some() {
                RunState::Stopping
            } else {
                RunState::Running
            },
            sent: cx.now,
            confirmed_at: stop_sent.is_none().then_some(cx.now),
            expected: job.expected_run(position).mul_f64(factor),
            factor,
            speed: worker.speed,
            is_durable: job.record_sync.is_some(),
            percent: 0,
            progressed_at: cx.now,
            is_adopted: true,
            unconfirmed_since: None,
            is_pace_counted: false,
            stop_sent,
            unanswered_stop,
            is_suspect: job.task(position).is_suspect(),
            needs_own_worker: job.task(position).needs_own_worker(),
            may_run_until: job.may_run_until(cx.cfg.leased.confirmation_ttl),
        });
        true
    }
}
