//! Durable jobs: their records are stored before the jobs are accepted, and updated as tasks end.
//!
//! At most one write per record is in flight; ends that arrive meanwhile go into the next write, so
//! a burst of ends costs few store calls. A worker's end is acknowledged only once it is stored.

use std::time::Duration;

use super::Scheduler;
use super::submit::DURABLE_MAX_WAIT;
use crate::context::Context;
use crate::leased::effect::{Effect, JobOutcome, RefusalReason};
use crate::leased::epoch::Epoch;
use crate::leased::job::{JobKey, Origin, RecordSync, TaskState};
use crate::leased::names::{EntryVm, JobId, TaskName};
use crate::leased::record::{ENDED_TTL, JobRecord, RecordReply, RecordState, first_valid_runs};
use crate::leased::worker::WorkerKey;

/// Delay before a write that was refused or not answered is sent again.
const RECORD_RETRY_INTERVAL: Duration = Duration::from_millis(250);

/// Added to the latest start of a job that has missed its objective; longer than any job waits.
const LATE_JOB_RANK_OFFSET: Duration = Duration::from_hours(24);

impl Scheduler {
    /// Marks a job as durable, with no record stored yet; its first record is already cancelled where a caller has
    /// cancelled the job.
    pub(super) fn make_durable(&mut self, cx: &Context<'_>, key: JobKey) {
        self.has_durable_jobs = true;
        let state = if self.is_cancelled(self.jobs[key].spec.id) {
            RecordState::Cancelled
        } else {
            RecordState::Open
        };
        self.jobs[key].record_sync = Some(RecordSync {
            version: 0,
            is_accepted: false,
            state,
            is_dirty: true,
            in_flight_since: None,
            attempt: 0,
            not_before: None,
            was_sent: false,
            since: cx.now,
            blocks_starts: false,
        });
    }

    /// Tells all entry VMs that wait for a durable job that the job is accepted.
    pub(super) fn answer_accepted(&mut self, key: JobKey, out: &mut Vec<Effect>) {
        let job = &mut self.jobs[key];
        for origin in job.origins.drain(..) {
            out.push(accepted(job.spec.id, &origin));
        }
    }

    /// Schedules a write of a durable job's record, in `state` unless a final state is set
    /// already; `false` for a job that is not durable.
    pub(super) fn record_changed(
        &mut self,
        cx: &Context<'_>,
        key: JobKey,
        state: RecordState,
        out: &mut Vec<Effect>,
    ) -> bool {
        let Some(record_sync) = &mut self.jobs[key].record_sync else {
            return false;
        };
        if record_sync.state == RecordState::Open {
            record_sync.state = state;
        }
        record_sync.is_dirty = true;
        self.send_record(cx, key, out);
        true
    }

    /// Writes a record if it has changed, no write is in flight and the epoch is held.
    pub(super) fn send_record(&mut self, cx: &Context<'_>, key: JobKey, out: &mut Vec<Effect>) {
        let Some(epoch) = self.epoch.as_ref().and_then(Epoch::version) else {
            return;
        };
        // A record that another scheduler has stored may not have been read yet.
        if !self.knows_records {
            return;
        }
        let cell = self.cell.clone();
        let losses = &self.losses;
        let job = &mut self.jobs[key];
        let Some(record_sync) = &mut job.record_sync else {
            return;
        };
        // With two writes in flight it would be unclear which of them a reply belongs to.
        let is_early = record_sync.not_before.is_some_and(|at| cx.now < at);
        if !record_sync.is_dirty || record_sync.in_flight_since.is_some() || is_early {
            return;
        }
        record_sync.is_dirty = false;
        record_sync.not_before = None;
        record_sync.in_flight_since = Some(cx.now);
        record_sync.was_sent = true;
        record_sync.attempt += 1;
        let (attempt, expected, state) =
            (record_sync.attempt, record_sync.version, record_sync.state);
        let done = (0..).zip(&job.tasks);
        let done = done.filter(|(_, t)| t.state == TaskState::Done);
        let record = JobRecord {
            spec: job.spec.clone(),
            cell,
            done: done.map(|(position, _)| position).collect(),
            progress: job.progress(|task| losses.of_task(task).to_vec()),
            state,
        };
        out.push(Effect::Record {
            attempt,
            record,
            expected,
            epoch,
        });
    }

    /// Processes the store's reply to a record write; replies to superseded attempts are ignored.
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
        let (Some(record_sync), Some(epoch)) = (&mut self.jobs[key].record_sync, &mut self.epoch)
        else {
            return;
        };
        // A later attempt, or a record read meanwhile, supersedes this reply.
        if record_sync.attempt != attempt || record_sync.in_flight_since.is_none() {
            return;
        }
        match reply {
            RecordReply::Stored { version } => {
                if let Some(sent) = record_sync.in_flight_since.take() {
                    epoch.store_answered(sent);
                }
                record_sync.version = version;
                self.record_stored(cx, key, out);
            }
            RecordReply::Conflict { stored: None } => {
                // Records are removed long after their jobs have ended.
                self.finish(cx, key, JobOutcome::Accepted, out);
            }
            RecordReply::Conflict {
                stored: Some((record, _)),
            } if record.cell != self.cell => {
                // The job is stored, and the scheduler of the record's cell runs it.
                self.finish(cx, key, JobOutcome::Accepted, out);
            }
            RecordReply::Conflict {
                stored: Some((record, version)),
            } => {
                // Where no record was stored before, this one is from an earlier write that was not
                // answered.
                record_sync.version = version;
                record_sync.in_flight_since = None;
                record_sync.is_dirty = true;
                self.merge_record(cx, key, &record, out);
            }
            RecordReply::EpochOver => {
                record_sync.in_flight_since = None;
                record_sync.is_dirty = true;
                epoch.mark_unconfirmed();
            }
            RecordReply::Refused => record_sync.send_again(cx.now + RECORD_RETRY_INTERVAL),
            RecordReply::Unanswered => {
                record_sync.send_again(cx.now + RECORD_RETRY_INTERVAL);
                epoch.store_unanswered();
            }
        }
    }

    /// Acts on a stored record: accepts the job, acknowledges ends, starts dependent steps, and
    /// ends the job if its final state is stored.
    fn record_stored(&mut self, cx: &Context<'_>, key: JobKey, out: &mut Vec<Effect>) {
        let job = &mut self.jobs[key];
        let id = job.spec.id;
        let Some(record_sync) = &mut job.record_sync else {
            return;
        };
        let is_new = !std::mem::replace(&mut record_sync.is_accepted, true);
        let (is_dirty, state) = (record_sync.is_dirty, record_sync.state);
        if !is_dirty {
            record_sync.blocks_starts = false;
            self.release_ends(id);
            self.unblock_steps(key);
        }
        self.answer_accepted(key, out);
        if is_new {
            self.enqueue_accepted(cx, key);
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
        let invalidated = first_valid_runs(&job.spec, &job.progress(|_| Vec::new()));
        self.add_ended_record(cx, id, invalidated);
        self.finish(cx, key, outcome, out);
    }

    /// Makes tasks ready whose earlier steps are stored as done.
    fn unblock_steps(&mut self, key: JobKey) {
        let job = &mut self.jobs[key];
        job.unblock();
        if !job.ready.is_empty() {
            self.waiting.insert((job.rank, key));
        }
        self.has_new_room = true;
    }

    /// Invalidates the runs that earlier schedulers may have started of a job's ready tasks and
    /// that no worker reported; this is stored before the tasks start again.
    pub(super) fn invalidate_earlier_runs(
        &mut self,
        cx: &Context<'_>,
        key: JobKey,
        out: &mut Vec<Effect>,
    ) {
        let job = &mut self.jobs[key];
        job.earlier_runs = None;
        for position in job.ready.clone() {
            job.invalidate_runs(position);
        }
        if let Some(record_sync) = &mut job.record_sync {
            record_sync.blocks_starts = true;
        }
        self.record_changed(cx, key, RecordState::Open, out);
    }

    fn add_ended_record(&mut self, cx: &Context<'_>, id: JobId, invalidated: Vec<(TaskName, u32)>) {
        self.has_durable_jobs = true;
        if self.ended_jobs.insert(id, invalidated).is_none() {
            self.ended_job_ages.push_back((cx.now, id));
        }
    }

    /// Allows the ends of a job's tasks to be acknowledged.
    pub(super) fn release_ends(&mut self, id: JobId) {
        for worker in self.workers.values_mut() {
            let before = worker.unstored_ends.len();
            worker.unstored_ends.retain(|&(_, job)| job != id);
            worker.has_unsent_ack |= worker.unstored_ends.len() < before;
        }
    }

    /// Ranks a job that has missed its objective behind the jobs that can still meet theirs: in the
    /// original order, a backlog would make every following job late.
    pub(super) fn deprioritize(&mut self, key: JobKey) {
        let job = &mut self.jobs[key];
        self.checks.remove(&(job.check_at, key));
        let was_waiting = self.waiting.remove(&(job.rank, key));
        job.rank.latest_start += LATE_JOB_RANK_OFFSET;
        job.is_deprioritized = true;
        if was_waiting {
            self.waiting.insert((job.rank, key));
        }
    }

    /// Queues an accepted job for placement.
    fn enqueue_accepted(&mut self, cx: &Context<'_>, key: JobKey) {
        self.add_demand(cx, key);
        self.schedule_check(key);
        let job = &self.jobs[key];
        if !job.ready.is_empty() {
            self.waiting.insert((job.rank, key));
        }
        self.has_new_room = true;
    }

    /// Merges failed, invalidated and lost runs from a record.
    fn restore_progress(&mut self, cx: &Context<'_>, key: JobKey, record: &JobRecord) {
        let job = &mut self.jobs[key];
        job.restore_progress(&record.progress);
        let lost = record.progress.iter().filter(|p| !p.lost_runs.is_empty());
        let lost = lost.filter(|p| (p.position as usize) < job.tasks.len());
        let lost: Vec<_> = lost
            .map(|p| (job.name(p.position), p.lost_runs.clone()))
            .collect();
        self.restore_losses(cx, key, &lost);
    }

    /// Merges a stored record into the state of its job.
    fn merge_record(
        &mut self,
        cx: &Context<'_>,
        key: JobKey,
        record: &JobRecord,
        out: &mut Vec<Effect>,
    ) {
        let rank = self.jobs[key].rank;
        self.jobs[key].restore_done(&record.done);
        self.restore_progress(cx, key, record);
        if self.jobs[key].ready.is_empty() {
            self.waiting.remove(&(rank, key));
        }
        let job = &mut self.jobs[key];
        let is_done = job.is_done();
        let max_attempts = job.spec.max_attempts;
        let is_failed = job.tasks.iter().any(|t| t.is_failed(max_attempts));
        let is_failed = is_failed || self.has_given_up(key);
        let job = &mut self.jobs[key];
        let Some(record_sync) = &mut job.record_sync else {
            return;
        };
        if record.state != RecordState::Open {
            record_sync.state = record.state;
            record_sync.is_dirty = false;
            self.record_stored(cx, key, out);
            return;
        }
        if is_done || is_failed {
            record_sync.state = if is_done {
                RecordState::Completed
            } else {
                RecordState::Failed
            };
            record_sync.is_dirty = true;
        }
        let is_new = !std::mem::replace(&mut record_sync.is_accepted, true);
        if !record_sync.is_dirty {
            self.unblock_steps(key);
        }
        self.answer_accepted(key, out);
        if is_new {
            self.enqueue_accepted(cx, key);
        }
        self.send_record(cx, key, out);
    }

    /// Processes a record that another scheduler has stored or an entry VM has changed.
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
            match self.jobs[key].record_sync {
                Some(sync) if sync.version == 0 && !self.knows_records => {
                    self.adopt_record(cx, key, record, version, out);
                }
                Some(sync) if sync.version < version && sync.in_flight_since.is_none() => {
                    if let Some(record_sync) = &mut self.jobs[key].record_sync {
                        record_sync.version = version;
                    }
                    self.merge_record(cx, key, record, out);
                }
                _ => {}
            }
            return;
        }
        // The job has ended here since; the record is out of date.
        if self.ended_jobs.contains_key(&id) {
            return;
        }
        if record.state != RecordState::Open {
            self.add_ended_record(cx, id, first_valid_runs(&record.spec, &record.progress));
            return;
        }
        let no_origin = Origin {
            vm: EntryVm([0, 0, 0, 0].into()),
            submission: None,
            confirmed: cx.now,
            as_of: None,
        };
        let times = (Duration::ZERO, DURABLE_MAX_WAIT);
        let key = self.add_job(cx, record.spec.clone(), no_origin, times);
        self.make_durable(cx, key);
        self.jobs[key].origins.clear();
        self.adopt_record(cx, key, record, version, out);
    }

    /// Resumes a job from a record that another scheduler has stored.
    fn adopt_record(
        &mut self,
        cx: &Context<'_>,
        key: JobKey,
        record: &JobRecord,
        version: u64,
        out: &mut Vec<Effect>,
    ) {
        let job = &mut self.jobs[key];
        if let Some(record_sync) = &mut job.record_sync {
            record_sync.version = version;
            // A cancellation that arrived first has yet to be stored.
            record_sync.is_dirty = record_sync.state != RecordState::Open;
            record_sync.in_flight_since = None;
            record_sync.was_sent = true;
        }
        // Progress goes first, so that invalidated runs are not adopted below.
        self.restore_progress(cx, key, record);
        let job = &mut self.jobs[key];
        job.restore_done(&record.done);
        job.unblock();
        self.find_earlier_runs(cx, key, true, &[]);
        self.merge_record(cx, key, record, out);
    }

    /// Whether the jobs of unknown ends and runs may be durable: one is known, or records may be unread.
    pub(super) fn may_have_durable_jobs(&self) -> bool {
        self.has_durable_jobs || !self.knows_records
    }

    /// Marks all records as read at `version`, and polls the workers again for ends that could not be classified
    /// before: all of them if there are durable jobs, else those that list such ends.
    pub(super) fn records_known(&mut self, cx: &Context<'_>, version: u64, out: &mut Vec<Effect>) {
        // They are read again once the cell is claimed: until then another scheduler may change them.
        if self.epoch.as_ref().is_some_and(|e| e.version().is_none()) {
            return;
        }
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
            if !self.has_durable_jobs && worker.first_unclassified_end.is_none() {
                continue;
            }
            worker.token_confirmed_at = None;
            worker.poll_state.not_before = None;
            self.schedule_poll(cx, key, out);
        }
    }

    /// Resends due writes, ends jobs that could not be sent to the store in time, and drops ended
    /// jobs after [`ENDED_TTL`].
    pub(super) fn tick_records(&mut self, cx: &Context<'_>, out: &mut Vec<Effect>) {
        let keys: Vec<JobKey> = self.jobs.keys().collect();
        for key in keys {
            let Some(record_sync) = &mut self.jobs[key].record_sync else {
                continue;
            };
            let age = |at| cx.now.saturating_duration_since(at);
            if !record_sync.was_sent && age(record_sync.since) >= cx.cfg.leased.store_timeout {
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
            self.ended_jobs.remove(&id);
        }
    }
}

fn accepted(id: JobId, origin: &Origin) -> Effect {
    Effect::Answer {
        origin: origin.vm,
        id,
        submission: origin.submission,
        outcome: JobOutcome::Accepted,
    }
}
