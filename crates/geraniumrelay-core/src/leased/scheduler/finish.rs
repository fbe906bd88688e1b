//! Handles ends of runs and of jobs: answers, retries, stops and worker health.

use super::Scheduler;
use super::locality::near_wait_ended;
use crate::context::Context;
use crate::leased::effect::{Effect, JobOutcome, StopCall};
use crate::leased::job::{JobKey, TaskKey, TaskState};
use crate::leased::log_event::{EndEvidence, LogEvent, StopCause, WorkerCondition};
use crate::leased::names::TaskName;
use crate::leased::record::RecordState;
use crate::leased::report::EndKind;
use crate::leased::speed::RunSample;
use crate::leased::worker::{Run, RunState, WorkerKey};

impl Scheduler {
    /// Ends a job: answers the entry VMs that wait for it, and stops its runs.
    pub(super) fn finish(
        &mut self,
        cx: &Context<'_>,
        key: JobKey,
        outcome: JobOutcome,
        out: &mut Vec<Effect>,
    ) {
        self.limit_runs_of_ended_job(cx, key);
        let Some(job) = self.jobs.remove(key) else {
            return;
        };
        let speeds = &mut self.run_times.speeds;
        speeds.add_job(&cx.cfg.speed, &job.run_samples);
        self.by_id.remove(&job.spec.id);
        self.waiting.remove(&(job.rank, key));
        self.checks.remove(&(job.check_at, key));
        if job.record_sync.is_some() && !self.is_epoch_lost() {
            self.release_ends(job.spec.id);
        }
        self.outcomes
            .add(job.spec.id, outcome, &job.origins, cx.now);
        if job.near_wait.is_some_and(|w| !w.is_over) {
            out.push(near_wait_ended(cx, &job, (0, 0)));
        }
        out.push(Effect::LogEvent(LogEvent::JobEnded {
            id: job.spec.id,
            submissions: job
                .origins
                .iter()
                .filter_map(|o| Some((o.vm, o.submission?)))
                .collect(),
            outcome,
            admission: job.admission,
            slack: job
                .rank
                .latest_start
                .saturating_duration_since(job.times.arrived),
            waited: job
                .first_start
                .map(|at| at.saturating_duration_since(job.times.arrived)),
            took: cx.now.saturating_duration_since(job.times.arrived),
            objective: job
                .times
                .objective
                .saturating_duration_since(job.times.arrived),
            reruns: job.reruns,
        }));
        for origin in &job.origins {
            out.push(Effect::Answer {
                origin: origin.vm,
                id: job.spec.id,
                submission: origin.submission,
                outcome,
            });
        }
        if !job.has_started || job.is_done() {
            return;
        }
        let workers: Vec<WorkerKey> = self.workers.keys().collect();
        for worker in workers {
            let runs = &self.workers[worker].runs;
            let job_runs: Vec<(TaskName, u32)> = runs
                .iter()
                .filter(|r| r.task.job == key)
                .map(|r| (r.name, r.run))
                .collect();
            for (name, run) in job_runs {
                self.stop(cx, worker, name, run, out);
            }
        }
    }

    /// Sends a stop for a run, whether or not the run is known.
    pub(super) fn stop(
        &mut self,
        cx: &Context<'_>,
        on: WorkerKey,
        task: TaskName,
        run: u32,
        out: &mut Vec<Effect>,
    ) {
        let worker = &mut self.workers[on];
        if let Some(position) = worker.run_position(task, run) {
            let run = &mut worker.runs[position];
            run.state = RunState::Stopping;
            run.confirmed_at = None;
            run.stop_sent = Some(cx.now);
        }
        let stop = worker.unanswered_stop(task, run);
        if let Some(unanswered_for) = stop.and_then(|s| s.sent(cx.now)) {
            out.push(Effect::LogEvent(LogEvent::StopUnanswered {
                task,
                run,
                worker: worker.entry.name.clone(),
                unanswered_for,
            }));
        }
        out.push(Effect::Stop(StopCall {
            worker: on,
            name: worker.entry.name.clone(),
            address: worker.entry.address,
            task,
            run,
            token: worker.raised_token(self.token),
        }));
    }

    /// Processes the end of a run: updates worker health, and completes, fails or requeues its
    /// task.
    pub(super) fn run_ended(
        &mut self,
        cx: &Context<'_>,
        on: WorkerKey,
        run: &Run,
        (kind, evidence): (EndKind, EndEvidence),
        out: &mut Vec<Effect>,
    ) {
        self.has_new_room = true;
        if kind == EndKind::Done {
            self.record_run_time(cx, on, run);
        } else {
            out.push(Effect::LogEvent(LogEvent::RunEnded {
                task: run.name,
                run: run.run,
                worker: self.workers[on].entry.name.clone(),
                kind,
                evidence,
                took: cx.now.saturating_duration_since(run.sent),
                expected: run.expected,
                percent: run.percent,
            }));
        }
        let TaskKey { job: key, position } = run.task;
        let Some(job) = self.jobs.get(key) else {
            return;
        };
        // An earlier run of the task has turned out to be done.
        if job.task(position).state == TaskState::Done {
            return;
        }
        match kind {
            EndKind::Done => self.task_done(cx, run.task, out),
            EndKind::Failed => self.task_failed(cx, run.task, (on, run.run), out),
            EndKind::Stopped | EndKind::Lapsed | EndKind::GangBroken => {
                self.requeue(cx, key, position);
            }
        }
    }

    /// Adds the run time of a successful run to the worker's slowness, relative to its own speed, to the
    /// estimates of its queue and to the samples of the worker's speed. Adopted runs count for none, as their
    /// starts are unknown; runs on a worker that counts as slow only count for its slowness.
    fn record_run_time(&mut self, cx: &Context<'_>, on: WorkerKey, run: &Run) {
        let is_slowness_respected = self.is_slowness_respected(cx);
        let health = &mut self.workers[on].health;
        health.add_success();
        if run.is_adopted {
            return;
        }
        let took = cx.now.saturating_duration_since(run.sent);
        let ratio = took.as_secs_f64() / run.expected.as_secs_f64().max(0.001);
        health.add_pace_sample(ratio, cx.now, &cx.cfg.leased);
        if is_slowness_respected && health.slowness(&cx.cfg.leased) > 1.0 {
            return;
        }
        if let Some(job) = self.jobs.get_mut(run.task.job) {
            let declared = job.step(run.task.position).estimate;
            let queue = &job.spec.queue;
            let nominal = took.div_f64(run.factor);
            self.estimates
                .add_sample(&cx.cfg.leased, queue, declared, nominal);
            let sample = RunSample {
                worker: on,
                step: run.name.step,
                took: took.mul_f64(run.speed / run.factor),
                expected: job.expected_run(run.task.position),
            };
            job.run_samples.push(sample);
        }
    }

    /// Makes a task whose run ended without success ready again, and counts the rerun. Another scheduler may have
    /// started a run of it meanwhile, on a worker that had restarted and obeyed a lower token.
    pub(super) fn requeue(&mut self, cx: &Context<'_>, key: JobKey, position: u32) {
        let job = &mut self.jobs[key];
        job.requeue(position);
        job.reruns += 1;
        if job.record_sync.is_none() {
            self.adopt_listed_runs(cx, key);
        }
        let job = &self.jobs[key];
        if !job.ready.is_empty() {
            self.waiting.insert((job.rank, key));
        }
    }

    pub(super) fn task_done(&mut self, cx: &Context<'_>, task: TaskKey, out: &mut Vec<Effect>) {
        let job = &mut self.jobs[task.job];
        job.mark_done(task.position);
        let is_done = job.is_done();
        let state = if is_done {
            RecordState::Completed
        } else {
            RecordState::Open
        };
        let is_durable = self.record_changed(cx, task.job, state, out);
        let job = &self.jobs[task.job];
        if is_done && !is_durable {
            self.finish(cx, task.job, JobOutcome::Completed, out);
        } else if !job.ready.is_empty() {
            self.waiting.insert((job.rank, task.job));
        }
    }

    fn task_failed(
        &mut self,
        cx: &Context<'_>,
        task: TaskKey,
        (on, run): (WorkerKey, u32),
        out: &mut Vec<Effect>,
    ) {
        let max_attempts = self.jobs[task.job].spec.max_attempts;
        let entry = self.jobs[task.job].task_mut(task.position);
        entry.add_failed_run(run);
        let is_failed = entry.is_failed(max_attempts);
        let previous = entry.failed_on.replace(on);
        // A task that fails on two workers is more likely to be at fault than both workers.
        match previous.and_then(|p| self.workers.get_mut(p)) {
            Some(worker) if previous != Some(on) => worker.health.retract_last_fault(),
            _ => self.pause_worker(cx, on, out),
        }
        if !is_failed {
            self.requeue(cx, task.job, task.position);
            self.record_changed(cx, task.job, RecordState::Open, out);
        } else if !self.record_changed(cx, task.job, RecordState::Failed, out) {
            self.finish(cx, task.job, JobOutcome::Failed, out);
        }
    }

    /// Ends a run whose end the worker did not report. For a durable job the run is invalidated in
    /// the stored record before the task starts again, so that no later scheduler accepts its end
    /// as that of the task.
    pub(super) fn end_unreported_run(
        &mut self,
        cx: &Context<'_>,
        on: WorkerKey,
        run: &Run,
        end: (EndKind, EndEvidence),
        out: &mut Vec<Effect>,
    ) {
        let TaskKey { job: key, position } = run.task;
        self.run_ended(cx, on, run, end, out);
        if let Some(job) = self.jobs.get_mut(key)
            && let Some(record_sync) = &mut job.record_sync
        {
            record_sync.blocks_starts = true;
            job.invalidate_runs(position);
            self.record_changed(cx, key, RecordState::Open, out);
        }
    }

    /// Adds a fault to a worker's health, which pauses the worker.
    pub(super) fn pause_worker(&mut self, cx: &Context<'_>, on: WorkerKey, out: &mut Vec<Effect>) {
        let worker = &mut self.workers[on];
        let pause = worker.health.add_fault(cx.now, &cx.cfg.leased);
        out.push(worker.condition_event(WorkerCondition::Faulty, pause));
    }

    /// Stops a run for a cause other than the end of its job, and logs the cause.
    pub(super) fn stop_with_cause(
        &mut self,
        cx: &Context<'_>,
        on: WorkerKey,
        (task, run): (TaskName, u32),
        cause: StopCause,
        out: &mut Vec<Effect>,
    ) {
        out.push(Effect::LogEvent(LogEvent::RunStopped {
            task,
            run,
            worker: self.workers[on].entry.name.clone(),
            cause,
        }));
        self.stop(cx, on, task, run, out);
    }
}
