//! Ends of runs and of jobs.

use std::time::Duration;

use super::Scheduler;
use crate::context::Context;
use crate::leased::effect::{Effect, JobOutcome, StopCall};
use crate::leased::job::{JobKey, TaskKey};
use crate::leased::names::TaskName;
use crate::leased::note::{Belief, Note, StopCause};
use crate::leased::record::RecordState;
use crate::leased::report::EndKind;
use crate::leased::worker::{Run, RunState, WorkerKey};

impl Scheduler {
    /// Ends a job: answers its callers and stops what runs of it.
    pub(super) fn finish(
        &mut self,
        cx: &Context<'_>,
        key: JobKey,
        outcome: JobOutcome,
        out: &mut Vec<Effect>,
    ) {
        let Some(job) = self.jobs.remove(key) else {
            return;
        };
        self.by_id.remove(&job.spec.id);
        self.waiting.remove(&(job.rank, key));
        self.checks.remove(&(job.check_at, key));
        if job.keeping.is_some() && !self.is_epoch_lost() {
            self.release_ends(job.spec.id);
        }
        self.outcomes.insert(job.spec.id, (cx.now, outcome));
        self.outcome_ages.push_back((cx.now, job.spec.id));
        out.push(Effect::Note(Note::JobOver {
            id: job.spec.id,
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
                outcome,
            });
        }
        if !job.has_started || job.is_done() {
            return;
        }
        let workers: Vec<WorkerKey> = self.workers.keys().collect();
        for worker in workers {
            let runs = &self.workers[worker].runs;
            let own: Vec<(TaskName, u32)> = runs
                .iter()
                .filter(|r| r.task.job == key)
                .map(|r| (r.name, r.run))
                .collect();
            for (name, run) in own {
                self.stop(cx, worker, name, run, out);
            }
        }
    }

    /// Tells a worker to stop a run.
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
            run.settled = None;
            run.stop_sent = Some(cx.now);
        }
        out.push(Effect::Stop(StopCall {
            worker: on,
            name: worker.entry.name.clone(),
            address: worker.entry.address,
            task,
            run,
            token: self.token,
        }));
    }

    /// Takes note that a run is over.
    pub(super) fn run_ended(
        &mut self,
        cx: &Context<'_>,
        on: WorkerKey,
        run: &Run,
        kind: EndKind,
        out: &mut Vec<Effect>,
    ) {
        self.has_new_room = true;
        if kind == EndKind::Done {
            self.note_pace(cx, on, run);
        } else {
            out.push(Effect::Note(Note::RunOver {
                task: run.name,
                run: run.run,
                worker: self.workers[on].entry.name.clone(),
                kind,
                took: cx.now.saturating_duration_since(run.sent),
                expected: run.expected,
                percent: run.percent,
            }));
        }
        let TaskKey { job: key, position } = run.task;
        if !self.jobs.contains_key(key) {
            return;
        }
        match kind {
            EndKind::Done => self.task_done(cx, run.task, out),
            EndKind::Failed => self.task_failed(cx, run.task, (on, run.run), out),
            EndKind::Stopped | EndKind::Lapsed | EndKind::GangBroken => {
                self.requeue(key, position);
            }
        }
    }

    fn note_pace(&mut self, cx: &Context<'_>, on: WorkerKey, run: &Run) {
        let is_slowness_respected = self.is_slowness_respected(cx);
        let health = &mut self.workers[on].health;
        health.note_success();
        if run.is_adopted {
            return;
        }
        let took = cx.now.saturating_duration_since(run.sent);
        let ratio = took.as_secs_f64() / run.expected.as_secs_f64().max(0.001);
        health.note_pace(ratio, cx.now, &cx.cfg.leased);
        if is_slowness_respected && health.slowness(&cx.cfg.leased) > 1.0 {
            return;
        }
        if let Some(job) = self.jobs.get(run.task.job) {
            let declared = job.step(run.task.position).estimate;
            let queue = &job.spec.queue;
            self.estimates.note(&cx.cfg.leased, queue, declared, took);
        }
    }

    pub(super) fn requeue(&mut self, key: JobKey, position: u32) {
        let job = &mut self.jobs[key];
        job.requeue(position);
        job.reruns += 1;
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
        let is_kept = self.record_changed(cx, task.job, state, out);
        let job = &self.jobs[task.job];
        if is_done && !is_kept {
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
        entry.note_failed(run);
        let is_failed = entry.is_failed(max_attempts);
        let before = entry.failed_on.replace(on);
        // A task that fails on a second worker as well is more likely at fault than both workers.
        match before.and_then(|b| self.workers.get_mut(b)) {
            Some(earlier) if before != Some(on) => earlier.health.forgive(),
            _ => self.note_fault(cx, on, out),
        }
        if !is_failed {
            self.requeue(task.job, task.position);
            self.record_changed(cx, task.job, RecordState::Open, out);
        } else if !self.record_changed(cx, task.job, RecordState::Failed, out) {
            self.finish(cx, task.job, JobOutcome::Failed, out);
        }
    }

    /// Takes note that a run is out of sight. Where its job is kept, it is stored before the task
    /// runs again that this run counts as lost, so that no later scheduler takes its end for that of
    /// the task.
    pub(super) fn end_unreported_run(
        &mut self,
        cx: &Context<'_>,
        on: WorkerKey,
        run: &Run,
        kind: EndKind,
        out: &mut Vec<Effect>,
    ) {
        let TaskKey { job: key, position } = run.task;
        self.run_ended(cx, on, run, kind, out);
        if let Some(job) = self.jobs.get_mut(key)
            && let Some(keeping) = &mut job.keeping
        {
            keeping.holds_starts = true;
            job.void_runs(position);
            self.record_changed(cx, key, RecordState::Open, out);
        }
    }

    /// Sets a worker aside for a while.
    pub(super) fn note_fault(&mut self, cx: &Context<'_>, on: WorkerKey, out: &mut Vec<Effect>) {
        let worker = &mut self.workers[on];
        let pause = worker.health.note_fault(cx.now, &cx.cfg.leased);
        out.push(worker.believed(Belief::Faulty, pause));
    }

    /// Stops a run for a cause that is not its job's.
    pub(super) fn stop_with_cause(
        &mut self,
        cx: &Context<'_>,
        on: WorkerKey,
        (task, run): (TaskName, u32),
        cause: StopCause,
        out: &mut Vec<Effect>,
    ) {
        out.push(Effect::Note(Note::RunStopped {
            task,
            run,
            worker: self.workers[on].entry.name.clone(),
            cause,
        }));
        self.stop(cx, on, task, run, out);
    }

    /// Takes note that a worker has none of the runs it was given: it has started anew.
    pub(super) fn drop_runs(&mut self, cx: &Context<'_>, key: WorkerKey, out: &mut Vec<Effect>) {
        let worker = &mut self.workers[key];
        if worker.fenced.is_some() || !worker.runs.is_empty() {
            out.push(worker.believed(Belief::NewLife, Duration::ZERO));
        }
        worker.clock = None;
        worker.fenced = None;
        worker.lease = None;
        worker.last_seen = 0;
        worker.taken_ends.clear();
        worker.held_ends.clear();
        worker.first_unknown_end = None;
        worker.void_end = None;
        worker.owes_ack = false;
        worker.orphans.clear();
        worker.looking.out_since = None;
        while !self.workers[key].runs.is_empty() {
            let run = self.workers[key].remove_run(0);
            self.run_ended(cx, key, &run, EndKind::Lapsed, out);
        }
    }
}
