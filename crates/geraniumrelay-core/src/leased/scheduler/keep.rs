//! Jobs that must be kept: stored before they are accepted, and again as their tasks end.
//!
//! One change of a record is under way at a time; what ends meanwhile goes into the next one, so a
//! burst of ends costs few calls to the store. A worker's end is acknowledged only once it is
//! stored.

use std::time::Duration;

use super::Scheduler;
use super::submit::DURABLE_MAX_WAIT;
use crate::context::Context;
use crate::leased::effect::{Effect, JobOutcome, RefusalReason};
use crate::leased::epoch::Epoch;
use crate::leased::job::{JobKey, Keeping, TaskState};
use crate::leased::names::{EntryVm, JobId, TaskName};
use crate::leased::record::{ENDED_TTL, JobRecord, RecordReply, RecordState, first_valid_runs};
use crate::leased::worker::WorkerKey;

/// Time after which a change is sent again that was refused, or not answered.
const RECORD_RETRY_INTERVAL: Duration = Duration::from_millis(250);

/// Added to the latest start of a job that has missed its objective: longer than any job waits.
const LATE_JOB_RANK_OFFSET: Duration = Duration::from_hours(24);

impl Scheduler {
    /// Takes note that a job must be kept.
    pub(super) fn make_durable(&mut self, cx: &Context<'_>, key: JobKey) {
        self.jobs[key].keeping = Some(Keeping {
            version: 0,
            is_accepted: false,
            state: RecordState::Open,
            is_dirty: true,
            out_since: None,
            attempt: 0,
            not_before: None,
            was_sent: false,
            since: cx.now,
            holds_starts: false,
        });
    }

    /// Answers everybody who waits for a kept job that it is accepted.
    pub(super) fn answer_accepted(&mut self, key: JobKey, out: &mut Vec<Effect>) {
        let job = &mut self.jobs[key];
        for origin in job.origins.drain(..) {
            out.push(accepted(job.spec.id, origin.vm));
        }
    }

    /// Takes note that a kept job has changed; `false` where the job need not be kept.
    pub(super) fn record_changed(
        &mut self,
        cx: &Context<'_>,
        key: JobKey,
        state: RecordState,
        out: &mut Vec<Effect>,
    ) -> bool {
        let Some(keeping) = &mut self.jobs[key].keeping else {
            return false;
        };
        if keeping.state == RecordState::Open {
            keeping.state = state;
        }
        keeping.is_dirty = true;
        self.send_record(cx, key, out);
        true
    }

    /// Sends the next change of a record, where none is under way.
    pub(super) fn send_record(&mut self, cx: &Context<'_>, key: JobKey, out: &mut Vec<Effect>) {
        let Some(epoch) = self.epoch.as_ref().and_then(Epoch::version) else {
            return;
        };
        // Another scheduler may have stored it.
        if !self.knows_records {
            return;
        }
        let cell = self.cell.clone();
        let job = &mut self.jobs[key];
        let Some(keeping) = &mut job.keeping else {
            return;
        };
        // Two changes under way at a time would make it unclear which of them a reply is to.
        let is_early = keeping.not_before.is_some_and(|at| cx.now < at);
        if !keeping.is_dirty || keeping.out_since.is_some() || is_early {
            return;
        }
        keeping.is_dirty = false;
        keeping.not_before = None;
        keeping.out_since = Some(cx.now);
        keeping.was_sent = true;
        keeping.attempt += 1;
        let (attempt, expected, state) = (keeping.attempt, keeping.version, keeping.state);
        let done = (0..).zip(&job.tasks);
        let done = done.filter(|(_, t)| t.state == TaskState::Done);
        let record = JobRecord {
            spec: job.spec.clone(),
            cell,
            done: done.map(|(position, _)| position).collect(),
            progress: job.progress(),
            state,
        };
        out.push(Effect::Record {
            attempt,
            record,
            expected,
            epoch,
        });
    }

    pub(super) fn record_replied(
        &mut self,
        cx: &Context<'_>,
        id: JobId,
        attempt: u32,
        reply: RecordReply,
        out: &mut Vec<Effect>,
    ) {
        let Some(&key) = self.by_id.get(&id) else {
            return;
        };
        let (Some(keeping), Some(epoch)) = (&mut self.jobs[key].keeping, &mut self.epoch) else {
            return;
        };
        // What was sent since tells more.
        if keeping.attempt != attempt || keeping.out_since.is_none() {
            return;
        }
        match reply {
            RecordReply::Stored { version } => {
                if let Some(sent) = keeping.out_since.take() {
                    epoch.store_answered(sent);
                }
                keeping.version = version;
                self.record_stored(cx, key, out);
            }
            RecordReply::Conflict { stored: None } => {
                // It was removed: the job has ended long ago.
                self.finish(cx, key, JobOutcome::Accepted, out);
            }
            RecordReply::Conflict {
                stored: Some((record, version)),
            } => {
                // Where none was stored before, it is an earlier change that was not answered.
                keeping.version = version;
                keeping.out_since = None;
                keeping.is_dirty = true;
                self.merge_record(cx, key, &record, out);
            }
            RecordReply::EpochOver => {
                keeping.out_since = None;
                keeping.is_dirty = true;
                epoch.doubt();
            }
            RecordReply::Refused => keeping.send_again(cx.now + RECORD_RETRY_INTERVAL),
            RecordReply::Unanswered => {
                keeping.send_again(cx.now + RECORD_RETRY_INTERVAL);
                epoch.store_silent();
            }
        }
    }

    /// Takes note that what was sent of a job is stored.
    fn record_stored(&mut self, cx: &Context<'_>, key: JobKey, out: &mut Vec<Effect>) {
        let job = &mut self.jobs[key];
        let id = job.spec.id;
        let Some(keeping) = &mut job.keeping else {
            return;
        };
        let is_new = !std::mem::replace(&mut keeping.is_accepted, true);
        let (is_dirty, state) = (keeping.is_dirty, keeping.state);
        if !is_dirty {
            keeping.holds_starts = false;
            self.release_ends(id);
            self.unblock_steps(key);
        }
        self.answer_accepted(key, out);
        if is_new {
            self.admit(cx, key);
        }
        if is_dirty {
            self.send_record(cx, key, out);
            return;
        }
        let outcome = match state {
            RecordState::Open => return,
            RecordState::Completed => JobOutcome::Completed,
            RecordState::Failed => JobOutcome::Failed,
            RecordState::Cancelled => JobOutcome::Cancelled,
        };
        let job = &self.jobs[key];
        let invalidated = first_valid_runs(&job.spec, &job.progress());
        self.add_ended_record(cx, id, invalidated);
        self.finish(cx, key, outcome, out);
    }

    /// Lets the tasks of steps start whose earlier steps are done, and stored.
    fn unblock_steps(&mut self, key: JobKey) {
        let job = &mut self.jobs[key];
        job.unblock();
        if !job.ready.is_empty() {
            self.waiting.insert((job.rank, key));
        }
        self.has_new_room = true;
    }

    /// Voids what earlier schedulers may have started of a job and nobody has found: it is stored
    /// before the tasks run again.
    pub(super) fn invalidate_earlier_runs(
        &mut self,
        cx: &Context<'_>,
        key: JobKey,
        out: &mut Vec<Effect>,
    ) {
        let job = &mut self.jobs[key];
        job.earlier_runs_until = None;
        for position in job.ready.clone() {
            job.void_runs(position);
        }
        if let Some(keeping) = &mut job.keeping {
            keeping.holds_starts = true;
        }
        self.record_changed(cx, key, RecordState::Open, out);
    }

    fn add_ended_record(&mut self, cx: &Context<'_>, id: JobId, invalidated: Vec<(TaskName, u32)>) {
        if self.ended.insert(id, invalidated).is_none() {
            self.ended_job_ages.push_back((cx.now, id));
        }
    }

    /// Lets the ends of a job's tasks be acknowledged.
    pub(super) fn release_ends(&mut self, id: JobId) {
        for worker in self.workers.values_mut() {
            let before = worker.held_ends.len();
            worker.held_ends.retain(|h| h.1 != id);
            worker.owes_ack |= worker.held_ends.len() < before;
        }
    }

    /// Puts a job that has missed its objective behind those that can still meet theirs: served in
    /// order, a backlog would make every job late that follows.
    pub(super) fn deprioritize(&mut self, key: JobKey) {
        let job = &mut self.jobs[key];
        self.checks.remove(&(job.check_at, key));
        let was_waiting = self.waiting.remove(&(job.rank, key));
        job.rank.latest_start += LATE_JOB_RANK_OFFSET;
        job.is_put_back = true;
        if was_waiting {
            self.waiting.insert((job.rank, key));
        }
    }

    /// Lets the tasks of an accepted job start.
    fn admit(&mut self, cx: &Context<'_>, key: JobKey) {
        self.add_demand(cx.now, key);
        self.schedule_check(key);
        let job = &self.jobs[key];
        if !job.ready.is_empty() {
            self.waiting.insert((job.rank, key));
        }
        self.has_new_room = true;
    }

    /// Takes over what is stored of a job.
    fn merge_record(
        &mut self,
        cx: &Context<'_>,
        key: JobKey,
        record: &JobRecord,
        out: &mut Vec<Effect>,
    ) {
        let rank = self.jobs[key].rank;
        self.jobs[key].take_done(&record.done);
        self.jobs[key].take_progress(&record.progress);
        if self.jobs[key].ready.is_empty() {
            self.waiting.remove(&(rank, key));
        }
        let job = &mut self.jobs[key];
        let is_done = job.is_done();
        let max_attempts = job.spec.max_attempts;
        let is_failed = job.tasks.iter().any(|t| t.is_failed(max_attempts));
        let Some(keeping) = &mut job.keeping else {
            return;
        };
        if record.state != RecordState::Open {
            keeping.state = record.state;
            keeping.is_dirty = false;
            self.record_stored(cx, key, out);
            return;
        }
        if is_done || is_failed {
            keeping.state = if is_done {
                RecordState::Completed
            } else {
                RecordState::Failed
            };
            keeping.is_dirty = true;
        }
        let is_new = !std::mem::replace(&mut keeping.is_accepted, true);
        if !keeping.is_dirty {
            self.unblock_steps(key);
        }
        self.answer_accepted(key, out);
        if is_new {
            self.admit(cx, key);
        }
        self.send_record(cx, key, out);
    }

    /// Takes a record that another scheduler has stored, or an entry VM has changed.
    pub(super) fn record_listed(
        &mut self,
        cx: &Context<'_>,
        record: &JobRecord,
        version: u64,
        out: &mut Vec<Effect>,
    ) {
        if record.cell != self.cell {
            return;
        }
        let id = record.spec.id;
        if let Some(&key) = self.by_id.get(&id) {
            match self.jobs[key].keeping {
                Some(k) if k.version == 0 && !self.knows_records => {
                    self.adopt_record(cx, key, record, version, out);
                }
                Some(k) if k.version < version && k.out_since.is_none() => {
                    if let Some(keeping) = &mut self.jobs[key].keeping {
                        keeping.version = version;
                    }
                    self.merge_record(cx, key, record, out);
                }
                _ => {}
            }
            return;
        }
        // What is told of a job that has ended here meanwhile is out of date.
        if self.ended.contains_key(&id) {
            return;
        }
        if record.state != RecordState::Open {
            self.add_ended_record(cx, id, first_valid_runs(&record.spec, &record.progress));
            return;
        }
        let nobody = EntryVm([0, 0, 0, 0].into());
        let times = (Duration::ZERO, DURABLE_MAX_WAIT);
        let key = self.add_job(cx, record.spec.clone(), nobody, times);
        self.make_durable(cx, key);
        self.jobs[key].origins.clear();
        self.adopt_record(cx, key, record, version, out);
    }

    /// Goes on with a job whose record was stored by another scheduler.
    fn adopt_record(
        &mut self,
        cx: &Context<'_>,
        key: JobKey,
        record: &JobRecord,
        version: u64,
        out: &mut Vec<Effect>,
    ) {
        let job = &mut self.jobs[key];
        if let Some(keeping) = &mut job.keeping {
            keeping.version = version;
            keeping.is_dirty = false;
            keeping.out_since = None;
            keeping.was_sent = true;
        }
        // Before its runs are looked for: those that count as lost are not among them.
        job.take_progress(&record.progress);
        job.take_done(&record.done);
        job.unblock();
        self.find_earlier_runs(cx, key, true);
        self.merge_record(cx, key, record, out);
    }

    /// Takes note that all records have been told: ends that were passed over are asked for again.
    pub(super) fn records_known(&mut self, cx: &Context<'_>, version: u64, out: &mut Vec<Effect>) {
        self.records_version = version;
        if std::mem::replace(&mut self.knows_records, true) {
            return;
        }
        let jobs: Vec<JobKey> = self.jobs.keys().collect();
        for key in jobs {
            self.send_record(cx, key, out);
        }
        let workers: Vec<WorkerKey> = self.workers.keys().collect();
        for key in workers {
            let worker = &mut self.workers[key];
            worker.fenced = None;
            worker.looking.not_before = None;
            self.schedule_poll(cx, key, out);
        }
    }

    /// Sends changes again that were not answered, and forgets what ended long ago.
    pub(super) fn tick_records(&mut self, cx: &Context<'_>, out: &mut Vec<Effect>) {
        let keys: Vec<JobKey> = self.jobs.keys().collect();
        for key in keys {
            let Some(keeping) = &mut self.jobs[key].keeping else {
                continue;
            };
            let age = |at| cx.now.saturating_duration_since(at);
            if !keeping.was_sent && age(keeping.since) >= cx.cfg.leased.store_patience {
                if self.jobs[key].may_have_run() {
                    self.finish(cx, key, JobOutcome::TimedOut, out);
                } else {
                    self.refuse(cx, key, RefusalReason::NoScheduler, out);
                }
                continue;
            }
            self.send_record(cx, key, out);
        }
        while let Some(&(at, id)) = self.ended_job_ages.front() {
            if cx.now.saturating_duration_since(at) < ENDED_TTL {
                return;
            }
            self.ended_job_ages.pop_front();
            self.ended.remove(&id);
        }
    }
}

fn accepted(id: JobId, origin: EntryVm) -> Effect {
    Effect::Answer {
        origin,
        id,
        outcome: JobOutcome::Accepted,
    }
}
