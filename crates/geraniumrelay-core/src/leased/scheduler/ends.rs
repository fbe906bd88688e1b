//! Ends that workers list.

use super::Scheduler;
use crate::context::Context;
use crate::leased::effect::Effect;
use crate::leased::job::TaskKey;
use crate::leased::names::TaskName;
use crate::leased::note::Belief;
use crate::leased::record::RecordState;
use crate::leased::report::{EndKind, EndedRun, WorkerReport};
use crate::leased::worker::{Orphan, WorkerKey};

/// When an end may be acknowledged.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum AckCondition {
    /// At once.
    Immediate,
    /// Once it is stored.
    AwaitsStore,
    /// Once it is known whether its job must be kept.
    Unknown,
    /// Once the worker's leases have lapsed: the task has been started again.
    Stale,
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
        worker.taken_ends = worker.taken_ends.split_off(&first);
        worker.first_unknown_end = None;
        for end in &report.ended {
            self.process_end(cx, key, end, out);
        }
    }

    fn process_end(
        &mut self,
        cx: &Context<'_>,
        key: WorkerKey,
        end: &EndedRun,
        out: &mut Vec<Effect>,
    ) {
        let ack_condition = self.ack_condition(end);
        let worker = &mut self.workers[key];
        worker.full_until = None;
        let is_ended = |o: &Orphan| o.name == end.task && o.run == end.run;
        worker.orphans.retain(|o| !is_ended(o));
        if ack_condition == AckCondition::Unknown {
            worker.first_unknown_end.get_or_insert(end.number);
            return;
        }
        if !worker.taken_ends.insert(end.number) {
            return;
        }
        worker.last_seen = worker.last_seen.max(end.number);
        worker.owes_ack = true;
        match ack_condition {
            AckCondition::AwaitsStore => worker.held_ends.push((end.number, end.task.job)),
            AckCondition::Stale if worker.void_end.is_none() => {
                worker.void_end = Some((end.number, cx.now));
                out.push(worker.believed(Belief::VoidEnds, cx.cfg.leased.takeover_wait));
            }
            _ => {}
        }
        if let Some(position) = worker.run_position(end.task, end.run) {
            let run = worker.remove_run(position);
            self.run_ended(cx, key, &run, end.kind, out);
        } else if end.kind == EndKind::Done && ack_condition != AckCondition::Stale {
            self.earlier_run_done(cx, end.task, out);
        } else if end.kind == EndKind::Failed {
            self.earlier_run_failed(cx, (end.task, end.run), out);
        }
    }

    fn ack_condition(&self, end: &EndedRun) -> AckCondition {
        let id = end.task.job;
        if let Some(invalidated) = self.ended.get(&id) {
            let is_void = |&(name, first): &(TaskName, u32)| name == end.task && end.run < first;
            let is_void = end.kind == EndKind::Done && invalidated.iter().any(is_void);
            return if is_void {
                AckCondition::Stale
            } else {
                AckCondition::Immediate
            };
        }
        let Some(&key) = self.by_id.get(&id) else {
            return if self.knows_records {
                AckCondition::Immediate
            } else {
                AckCondition::Unknown
            };
        };
        let job = &self.jobs[key];
        // It has come from its caller, and its record may still be to come.
        if !self.knows_records && job.keeping.is_some_and(|k| k.version == 0) {
            return AckCondition::Unknown;
        }
        let position = job.position(end.task).filter(|_| job.keeping.is_some());
        match (end.kind, position) {
            (EndKind::Done, Some(p)) if end.run < job.task(p).first_valid_run => {
                AckCondition::Stale
            }
            (EndKind::Done | EndKind::Failed, Some(_)) => AckCondition::AwaitsStore,
            _ => AckCondition::Immediate,
        }
    }

    /// Takes note of a success that an earlier scheduler had ordered.
    fn earlier_run_done(&mut self, cx: &Context<'_>, name: TaskName, out: &mut Vec<Effect>) {
        let Some(&job) = self.by_id.get(&name.job) else {
            self.unmatched_ends.insert(name, cx.now);
            return;
        };
        if self.jobs[job].earlier_runs_until.is_none() {
            return;
        }
        let Some(position) = self.jobs[job].position(name) else {
            return;
        };
        if self.jobs[job].ready.contains(&position) {
            self.task_done(cx, TaskKey { job, position }, out);
        }
    }

    /// Counts a failed run that an earlier scheduler had ordered, or that counts as lost.
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
        let Some(position) = job.position(name).filter(|_| job.keeping.is_some()) else {
            return;
        };
        let max_attempts = job.spec.max_attempts;
        let task = job.task_mut(position);
        task.note_failed(run);
        let state = if task.is_failed(max_attempts) {
            RecordState::Failed
        } else {
            RecordState::Open
        };
        self.record_changed(cx, key, state, out);
    }
}
