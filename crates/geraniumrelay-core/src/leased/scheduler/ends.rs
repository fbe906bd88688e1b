//! Processes the run ends that workers list in poll replies.

use super::Scheduler;
use crate::context::Context;
use crate::leased::effect::Effect;
use crate::leased::job::{TaskKey, TaskState};
use crate::leased::log_event::{EndEvidence, WorkerCondition};
use crate::leased::names::TaskName;
use crate::leased::record::RecordState;
use crate::leased::report::{EndKind, EndedRun, WorkerReport};
use crate::leased::worker::{UnclaimedRun, Worker, WorkerKey};

/// Condition under which an end may be acknowledged.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum AckCondition {
    /// No condition.
    Immediate,
    /// The end is stored in the record of its durable job.
    AwaitsStore,
    /// The records have been read, so that it is known whether the job is durable.
    AwaitsRecords,
    /// The worker's leases have lapsed: the run was invalidated, and its task was started again.
    AwaitsLapse,
}

impl Scheduler {
    pub(super) fn process_ends(
        &mut self,
        cx: &Context<'_>,
        key: WorkerKey,
        report: &WorkerReport,
        out: &mut Vec<Effect>,
    ) {
        let worker = &mut self.workers[key];
        let first = report.ended.first().map_or(u64::MAX, |e| e.number);
        worker.processed_ends = worker.processed_ends.split_off(&first);
        worker.first_unclassified_end = None;
        for end in &report.ended {
            self.process_end(cx, key, end, out);
        }
        // The poll that acknowledged these ends may have been lost.
        let worker = &mut self.workers[key];
        worker.has_unsent_ack |= first <= worker.acknowledged();
    }

    fn process_end(
        &mut self,
        cx: &Context<'_>,
        key: WorkerKey,
        end: &EndedRun,
        out: &mut Vec<Effect>,
    ) {
        let ack_condition = self.ack_condition(key, end);
        let worker = &mut self.workers[key];
        worker.full_until = None;
        let has_ended = |u: &UnclaimedRun| u.name == end.task && u.run == end.run;
        worker.unclaimed_runs.retain(|u| !has_ended(u));
        if ack_condition == AckCondition::AwaitsRecords {
            worker.first_unclassified_end.get_or_insert(end.number);
            if end.kind == EndKind::Done && !self.by_id.contains_key(&end.task.job) {
                self.unmatched_ends.insert(end.task, cx.now);
            }
            return;
        }
        if !worker.processed_ends.insert(end.number) {
            return;
        }
        worker.last_processed_end = worker.last_processed_end.max(end.number);
        worker.has_unsent_ack = true;
        match ack_condition {
            AckCondition::AwaitsStore => worker.unstored_ends.push((end.number, end.task.job)),
            AckCondition::AwaitsLapse if worker.stale_end.is_none() => {
                worker.stale_end = Some((end.number, cx.now));
                out.push(
                    worker.condition_event(WorkerCondition::StaleEnds, cx.cfg.leased.takeover_wait),
                );
            }
            _ => {}
        }
        if let Some(position) = worker.run_position(end.task, end.run) {
            let run = worker.remove_run(position);
            self.run_ended(cx, key, &run, (end.kind, EndEvidence::Listed), out);
        } else if end.kind == EndKind::Done && ack_condition != AckCondition::AwaitsLapse {
            self.earlier_run_done(cx, end.task, out);
        } else if end.kind == EndKind::Failed {
            self.earlier_run_failed(cx, (end.task, end.run), out);
        }
    }

    fn ack_condition(&self, key: WorkerKey, end: &EndedRun) -> AckCondition {
        let id = end.task.job;
        if let Some(invalidated) = self.ended_jobs.get(&id) {
            let is_invalidated =
                |&(name, first): &(TaskName, u32)| name == end.task && end.run < first;
            let is_stale = end.kind == EndKind::Done && invalidated.iter().any(is_invalidated);
            return if is_stale {
                AckCondition::AwaitsLapse
            } else {
                AckCondition::Immediate
            };
        }
        let Some(&key) = self.by_id.get(&id) else {
            return if self.knows_records || Self::is_classified(&self.workers[key], end) {
                AckCondition::Immediate
            } else {
                AckCondition::AwaitsRecords
            };
        };
        let job = &self.jobs[key];
        // The job was submitted, and an earlier scheduler's record of it may not have been read
        // yet.
        if !self.knows_records && job.record_sync.is_some_and(|sync| sync.version == 0) {
            return AckCondition::AwaitsRecords;
        }
        let position = job.position(end.task).filter(|_| job.record_sync.is_some());
        match (end.kind, position) {
            (EndKind::Done, Some(p)) if end.run < job.task(p).first_valid_run => {
                AckCondition::AwaitsLapse
            }
            (EndKind::Done | EndKind::Failed, Some(_)) => AckCondition::AwaitsStore,
            _ => AckCondition::Immediate,
        }
    }

    /// Whether an end whose job is not open is known not to belong to a durable job: a listed end that was processed before,
    /// or one of a run that was started here.
    fn is_classified(worker: &Worker, end: &EndedRun) -> bool {
        let run = worker.run_position(end.task, end.run);
        worker.processed_ends.contains(&end.number)
            || run.is_some_and(|p| !worker.runs[p].is_durable && !worker.runs[p].is_adopted)
    }

    /// Marks a task as done whose successful run an earlier scheduler started; if the job is unknown,
    /// keeps the end for it. The end of a blocked task shows that the steps before it are done; for a durable job its
    /// record tells.
    fn earlier_run_done(&mut self, cx: &Context<'_>, name: TaskName, out: &mut Vec<Effect>) {
        let Some(&key) = self.by_id.get(&name.job) else {
            self.unmatched_ends.insert(name, cx.now);
            return;
        };
        let job = &mut self.jobs[key];
        let Some(position) = job.position(name) else {
            return;
        };
        if job.task(position).state == TaskState::Blocked && job.record_sync.is_none() {
            job.mark_required_steps_done(name.step);
        }
        if job.task(position).state == TaskState::Waiting {
            let job = key;
            self.task_done(cx, TaskKey { job, position }, out);
        }
    }

    /// Counts a failed run that an earlier scheduler started, or that was invalidated.
    fn earlier_run_failed(
        &mut self,
        cx: &Context<'_>,
        (name, run): (TaskName, u32),
        out: &mut Vec<Effect>,
    ) {
        let Some(&key) = self.by_id.get(&name.job) else {
            return;
        };
        let job = &mut self.jobs[key];
        let Some(position) = job.position(name).filter(|_| job.record_sync.is_some()) else {
            return;
        };
        let max_attempts = job.spec.max_attempts;
        let task = job.task_mut(position);
        task.add_failed_run(run);
        let state = if task.is_failed(max_attempts) {
            RecordState::Failed
        } else {
            RecordState::Open
        };
        self.record_changed(cx, key, state, out);
    }
}
