//! Runs that end together with their workers: whose fault it was, and what follows for their tasks.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use super::Scheduler;
use crate::context::Context;
use crate::leased::bulkhead::QueueShare;
use crate::leased::effect::{Effect, JobOutcome};
use crate::leased::job::JobKey;
use crate::leased::log_event::{EndEvidence, LogEvent, SilenceCause};
use crate::leased::losses::{LostRun, Verdict};
use crate::leased::names::{JobId, TaskName};
use crate::leased::record::RecordState;
use crate::leased::worker::{MAX_MISSES, Run, Worker, WorkerKey, WorkerState};

impl Scheduler {
    /// Holds a worker that has fallen silent against the queues whose tasks it ran.
    pub(super) fn worker_fell_silent(
        &mut self,
        cx: &Context<'_>,
        key: WorkerKey,
        out: &mut Vec<Effect>,
    ) {
        if self.workers[key].runs.is_empty() {
            return;
        }
        let shares = self.queue_shares(key);
        for queue in self.bulkheads.worker_fell_silent(cx.now, &shares) {
            out.push(Effect::LogEvent(LogEvent::QueueConfined { queue }));
        }
    }

    /// Releases queues whose tasks crash no workers any more, and counts the silent workers.
    pub(super) fn tick_bulkheads(&mut self, cx: &Context<'_>, out: &mut Vec<Effect>) {
        for queue in self.bulkheads.release(cx.now) {
            out.push(Effect::LogEvent(LogEvent::QueueReleased { queue }));
        }
        let listed = self.workers.values().filter(|w| w.is_listed);
        let silent = listed.clone().filter(|w| w.poll_state.misses >= MAX_MISSES);
        let (silent, listed) = (silent.count(), listed.count());
        self.bulkheads.set_silent_workers(silent, listed);
    }

    /// The queues whose tasks run on any worker, and how common they are among the busy ones. One worker
    /// with and one without the queue are added, as few workers say little.
    #[expect(clippy::cast_precision_loss, reason = "a rough estimate")]
    fn queue_shares(&self, silent: WorkerKey) -> Vec<QueueShare> {
        let queues_on = |key: WorkerKey| {
            let runs = self.workers[key].runs.iter();
            let jobs = runs.filter_map(|r| self.jobs.get(r.task.job));
            jobs.map(|j| &j.spec.queue).collect::<BTreeSet<_>>()
        };
        let is_busy = |w: &Worker| w.poll_state.misses < MAX_MISSES && !w.runs.is_empty();
        let hit = queues_on(silent);
        let mut counts: BTreeMap<&Arc<str>, usize> = hit.iter().map(|&q| (q, 0)).collect();
        let mut busy = 0;
        for (key, _) in self.workers.iter().filter(|(_, w)| is_busy(w)) {
            busy += 1;
            for queue in queues_on(key) {
                *counts.entry(queue).or_default() += 1;
            }
        }
        let share = |(queue, count): (&Arc<str>, usize)| QueueShare {
            queue: Arc::clone(queue),
            share: (count + 1) as f64 / f64::from(busy + 2),
            is_hit: hit.contains(queue),
        };
        counts.into_iter().map(share).collect()
    }

    /// Records runs that were lost with their worker, before they are ended. `runs` are no longer on the
    /// worker.
    pub(super) fn runs_lost(
        &mut self,
        cx: &Context<'_>,
        key: WorkerKey,
        runs: &[Run],
        evidence: EndEvidence,
        out: &mut Vec<Effect>,
    ) {
        let worker = &mut self.workers[key];
        if runs.is_empty() && worker.unclaimed_runs.is_empty() {
            return;
        }
        out.push(Effect::LogEvent(LogEvent::RunsLost {
            worker: worker.entry.name.clone(),
            evidence,
            runs: runs.iter().map(|r| (r.name, r.run)).collect(),
            unclaimed: worker.unclaimed_runs.len(),
        }));
        // What runs on a worker that is emptied ends with it, by design.
        if worker.entry.state == WorkerState::Draining {
            return;
        }
        let is_crash = evidence != EndEvidence::LeaseLapsed;
        if !is_crash {
            let lost = runs.iter().map(|r| (r.name, r.run, r.has_begun()));
            worker.lost_runs.extend(lost);
        }
        for run in runs {
            let lost = LostRun {
                run: run.run,
                was_alone: runs_only(worker, runs, run.name.job),
                is_crash: is_crash && run.has_begun(),
            };
            self.losses.add(run.name, lost, cx.now);
        }
        self.losses_changed(cx, runs.iter().map(|r| r.name), out);
    }

    /// Records that a worker has restarted under these runs, which count as running until they are
    /// stopped.
    pub(super) fn worker_restarted_under(
        &mut self,
        cx: &Context<'_>,
        key: WorkerKey,
        runs: &[(TaskName, u32)],
        out: &mut Vec<Effect>,
    ) {
        let worker = &self.workers[key];
        if runs.is_empty() || worker.entry.state == WorkerState::Draining {
            return;
        }
        out.push(Effect::LogEvent(LogEvent::RunsLost {
            worker: worker.entry.name.clone(),
            evidence: EndEvidence::NotListed,
            runs: runs.to_vec(),
            unclaimed: worker.unclaimed_runs.len(),
        }));
        for &(task, run) in runs {
            let position = worker.run_position(task, run);
            let lost = LostRun {
                run,
                was_alone: runs_only(worker, &[], task.job),
                is_crash: position.is_some_and(|p| worker.runs[p].has_begun()),
            };
            self.losses.add(task, lost, cx.now);
        }
        self.losses_changed(cx, runs.iter().map(|r| r.0), out);
    }

    /// Takes note of why a worker was silent that lost runs before.
    pub(super) fn explain_silence(
        &mut self,
        cx: &Context<'_>,
        key: WorkerKey,
        cause: SilenceCause,
        out: &mut Vec<Effect>,
    ) {
        let worker = &mut self.workers[key];
        if worker.lost_runs.is_empty() {
            return;
        }
        let runs = std::mem::take(&mut worker.lost_runs);
        for &(task, run, has_begun) in &runs {
            if !cause.is_crash() {
                self.losses.remove(task, run);
            } else if has_begun {
                self.losses.confirm(task, run);
            }
        }
        let tasks: Vec<TaskName> = runs.iter().map(|r| r.0).collect();
        let runs = runs.into_iter().map(|(task, run, _)| (task, run)).collect();
        out.push(Effect::LogEvent(LogEvent::SilenceExplained {
            worker: worker.entry.name.clone(),
            cause,
            runs,
        }));
        self.losses_changed(cx, tasks, out);
    }

    /// Takes note that a silent worker is gone, if its entry was removed. An entry that names another
    /// address does not tell whether the process at the former one has ended.
    pub(super) fn explain_removal(
        &mut self,
        cx: &Context<'_>,
        key: WorkerKey,
        out: &mut Vec<Effect>,
    ) {
        let worker = &self.workers[key];
        let namesakes = self.by_name.get(&worker.entry.name);
        let mut namesakes = namesakes.into_iter().flatten();
        if namesakes.any(|&k| self.workers[k].is_listed) {
            return;
        }
        let cause = match worker.entry.state {
            WorkerState::Ready => SilenceCause::EntryRemoved,
            WorkerState::Draining => SilenceCause::Left,
        };
        self.explain_silence(cx, key, cause, out);
    }

    /// Adds the lost runs that an entry VM or a record names, and applies all that are known of the
    /// job's tasks.
    pub(super) fn restore_losses(
        &mut self,
        cx: &Context<'_>,
        key: JobKey,
        losses: &[(TaskName, Vec<LostRun>)],
    ) {
        for (task, runs) in losses {
            for &lost in runs {
                self.losses.add(*task, lost, cx.now);
            }
        }
        let id = self.jobs[key].spec.id;
        let known = self.losses.of_job(id);
        let last_runs = known.map(|(task, runs)| (task, runs.iter().map(|r| r.run).max()));
        let last_runs: Vec<_> = last_runs.collect();
        for (name, last_run) in last_runs {
            let job = &mut self.jobs[key];
            let Some(position) = job.position(name) else {
                continue;
            };
            let task = job.task_mut(position);
            task.verdict = self.losses.verdict(name);
            // Run numbers go on, so that a further lost run is told apart from these.
            task.last_run = task.last_run.max(last_run.unwrap_or_default());
        }
    }

    /// Counts another lost run for each suspect of a job that an earlier scheduler had, once its runs on
    /// workers that can't be polled must have ended.
    pub(super) fn suspect_earlier_runs(
        &mut self,
        cx: &Context<'_>,
        key: JobKey,
        out: &mut Vec<Effect>,
    ) {
        let job = &mut self.jobs[key];
        if std::mem::replace(&mut job.are_earlier_runs_counted, true) {
            return;
        }
        let suspects = job
            .ready
            .iter()
            .filter(|&&p| job.task(p).verdict != Verdict::Clear);
        let suspects: Vec<_> = suspects
            .map(|&p| (job.name(p), job.task(p).last_run))
            .collect();
        for &(name, run) in &suspects {
            let lost = LostRun {
                run,
                was_alone: false,
                is_crash: false,
            };
            self.losses.add(name, lost, cx.now);
        }
        self.losses_changed(cx, suspects.iter().map(|s| s.0), out);
    }

    /// Whether a task of the job has been given up.
    pub(super) fn has_given_up(&self, key: JobKey) -> bool {
        let mut tasks = self.jobs[key].tasks.iter();
        tasks.any(|t| t.verdict == Verdict::GivenUp)
    }

    /// Logs which tasks of a job are given up.
    pub(super) fn log_given_up(&self, id: JobId, out: &mut Vec<Effect>) {
        for (task, runs) in self.losses.of_job(id) {
            if self.losses.verdict(task) == Verdict::GivenUp {
                out.push(Effect::LogEvent(LogEvent::TaskGivenUp {
                    task,
                    lost_runs: runs.len(),
                    crashes: runs.iter().filter(|r| r.is_crash).count(),
                }));
            }
        }
    }

    /// Applies a change of lost runs to the open jobs: tells those who keep them, and ends the jobs with
    /// a task that is given up.
    fn losses_changed(
        &mut self,
        cx: &Context<'_>,
        tasks: impl IntoIterator<Item = TaskName>,
        out: &mut Vec<Effect>,
    ) {
        let mut changed: Vec<JobId> = Vec::new();
        for name in tasks {
            let Some(&key) = self.by_id.get(&name.job) else {
                continue;
            };
            let job = &mut self.jobs[key];
            let Some(position) = job.position(name) else {
                continue;
            };
            job.task_mut(position).verdict = self.losses.verdict(name);
            if !changed.contains(&name.job) {
                changed.push(name.job);
            }
        }
        for id in changed {
            let key = self.by_id[&id];
            let is_given_up = self.has_given_up(key);
            self.log_given_up(id, out);
            let state = if is_given_up {
                RecordState::Failed
            } else {
                RecordState::Open
            };
            if self.record_changed(cx, key, state, out) {
                continue;
            }
            if is_given_up {
                self.finish(cx, key, JobOutcome::Failed, out);
                continue;
            }
            let losses = self.losses.of_job(id);
            let losses: Vec<_> = losses.map(|(task, runs)| (task, runs.to_vec())).collect();
            for origin in &self.jobs[key].origins {
                out.push(Effect::Losses {
                    origin: origin.vm,
                    id,
                    losses: losses.clone(),
                });
            }
        }
    }
}

/// Whether a worker runs nothing but a job, apart from `lost` runs of that job.
fn runs_only(worker: &Worker, lost: &[Run], id: JobId) -> bool {
    let mut runs = worker.runs.iter().chain(lost);
    worker.unclaimed_runs.is_empty() && runs.all(|r| r.name.job == id)
}
