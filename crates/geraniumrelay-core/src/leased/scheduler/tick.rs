//! Time-driven work: deadlines, lapsed leases, stalled tasks, unclaimed runs and retried stops.

use std::time::{Duration, Instant};

use super::Scheduler;
use crate::configs::leased::LeasedConfig;
use crate::context::Context;
use crate::leased::admission;
use crate::leased::effect::{Effect, JobOutcome, RefusalReason};
use crate::leased::job::JobKey;
use crate::leased::log_event::{EndEvidence, EntryLossCause, LogEvent, StopCause};
use crate::leased::names::{EntryVm, TaskName};
use crate::leased::report::EndKind;
use crate::leased::worker::{Run, RunState, Worker, WorkerKey};

/// Delay before an unconfirmed stop is sent again.
const STOP_RETRY_INTERVAL: Duration = Duration::from_millis(150);

/// Time after which a slow worker gets tasks again as a trial.
const SLOW_WORKER_RETRY_INTERVAL: Duration = Duration::from_secs(2);

/// Interval between checks whether a late job can still start; free capacity is used within a few
/// milliseconds.
const LATE_JOB_CHECK_INTERVAL: Duration = Duration::from_millis(30);

/// Time for which successful ends of unknown jobs are kept.
const UNMATCHED_END_TTL: Duration = Duration::from_secs(2);

/// Time that unclaimed runs may go on while the records are not read, so that the runs may belong
/// to durable jobs. A scheduler on the other side of a partition starts their tasks again no sooner
/// than 0.98 s after the partition begins, and this one takes over within 0.55 s; a stop takes up
/// to 0.05 s.
const UNIDENTIFIED_RUN_GRACE: Duration = Duration::from_millis(350);

/// Time without progress from which a task counts as stalled, as a multiple of its expected run
/// time.
const STALL_FACTOR: f64 = 1.0;

/// Minimum time without progress from which a task counts as stalled; progress is reported in whole
/// percent and read at most once per `min_poll_wait`.
const MIN_STALL_TIME: Duration = Duration::from_millis(80);

impl Scheduler {
    /// Runs all time-driven checks.
    pub(super) fn tick(&mut self, cx: &Context<'_>, out: &mut Vec<Effect>) {
        self.check_deadlines(cx, out);
        self.tick_contention(cx, out);
        self.tick_evacuations(cx, out);
        let keys: Vec<WorkerKey> = self.workers.keys().collect();
        for key in keys {
            self.tick_worker(cx, key, out);
        }
        self.refresh_speeds(cx, out);
        self.tick_epoch(cx, out);
        self.tick_records(cx, out);
        self.drop_disconnected_entries(cx, out);
        self.drop_unconfirmed_jobs(cx, out);
        self.outcomes.expire(cx.now, cx.cfg.leased.outcome_ttl);
        self.expire_cancellations(cx);
        let now = cx.now;
        self.tick_bulkheads(cx, out);
        let by_id = &self.by_id;
        self.losses.expire(now, |id| by_id.contains_key(&id));
        self.unmatched_ends
            .retain(|_, at| now.saturating_duration_since(*at) < UNMATCHED_END_TTL);
        // Pauses, leases and the wait for earlier runs after a takeover end without a command.
        self.has_new_room = !self.waiting.is_empty();
        self.resumes_scan = self.has_new_room;
    }

    /// Drops the jobs of entry VMs that have not reconnected within `entry_grace`.
    fn drop_disconnected_entries(&mut self, cx: &Context<'_>, out: &mut Vec<Effect>) {
        let grace = cx.cfg.leased.entry_grace;
        let is_due = |&(_, at): &(EntryVm, Instant)| cx.now.saturating_duration_since(at) >= grace;
        let due: Vec<_> = self
            .disconnected_entries
            .iter()
            .copied()
            .filter(is_due)
            .collect();
        self.disconnected_entries.retain(|lost| !is_due(lost));
        for (vm, lost_at) in due {
            let loss = (EntryLossCause::Disconnected, lost_at);
            self.drop_entry_jobs(cx, vm, lost_at, loss, out);
        }
    }

    /// Handles the jobs whose checks are due: deprioritizes, ends, extends or refuses them.
    fn check_deadlines(&mut self, cx: &Context<'_>, out: &mut Vec<Effect>) {
        while let Some(&(at, key)) = self.checks.first() {
            if at > cx.now {
                return;
            }
            let job = &self.jobs[key];
            if job.record_sync.is_some() {
                self.deprioritize(key);
            } else if job.may_have_run() {
                self.finish(cx, key, JobOutcome::TimedOut, out);
            } else if self.is_late_start_useful(cx, key) {
                self.extend_late_wait(cx, key);
            } else {
                self.refuse(cx, key, RefusalReason::WaitedTooLong, out);
            }
        }
    }

    /// Whether a job that will miss its objective can still end while its answer is of use, on
    /// capacity that no other job waits for. Load pattern: a new scheduler receives jobs that have
    /// waited for it, and finds all workers free.
    fn is_late_start_useful(&self, cx: &Context<'_>, key: JobKey) -> bool {
        let job = &self.jobs[key];
        let is_useful = cx.now < job.last_useful_start() && !job.is_too_long(cx.now);
        is_useful && admission::expected_wait(&self.backlog(cx, key)) == Some(Duration::ZERO)
    }

    /// Extends the wait of a late job, ranked behind the jobs that can still meet their objectives.
    fn extend_late_wait(&mut self, cx: &Context<'_>, key: JobKey) {
        if !self.jobs[key].is_deprioritized {
            self.deprioritize(key);
        }
        self.check_at(key, cx.now + LATE_JOB_CHECK_INTERVAL);
    }

    /// Runs the time-driven checks of one worker, and removes it once it has departed and none of
    /// its runs can be left.
    fn tick_worker(&mut self, cx: &Context<'_>, key: WorkerKey, out: &mut Vec<Effect>) {
        let worker = &mut self.workers[key];
        worker
            .health
            .refresh(cx.now, SLOW_WORKER_RETRY_INTERVAL, &cx.cfg.leased);
        if worker.has_lapsed(cx.now) && worker.poll_state.misses > 0 {
            self.end_lapsed_runs(cx, key, out);
        }
        self.release_stale_end(cx, key);
        self.stop_unclaimed_runs(cx, key, out);
        self.retry_stops(cx, key, out);
        self.stop_stalled(cx, key, out);
        let worker = &self.workers[key];
        if worker.is_removable(cx.now, &cx.cfg.leased) {
            let name = worker.entry.name.clone();
            let has_reported = worker.token_confirmed_at.is_some();
            let departed_at = worker.departed.unwrap_or(cx.now);
            out.push(Effect::LogEvent(LogEvent::WorkerDropped {
                worker: name.clone(),
                departed_for: cx.now.saturating_duration_since(departed_at),
                has_reported,
            }));
            self.explain_removal(cx, key, out);
            self.workers.remove(key);
            if let Some(keys) = self.by_name.get_mut(&name) {
                keys.retain(|&k| k != key);
                if keys.is_empty() {
                    self.by_name.remove(&name);
                }
            }
            return;
        }
        self.schedule_poll(cx, key, out);
    }

    /// Ends all runs on an unreachable worker whose leases have lapsed. An order without an answer may
    /// still be on its way, and another instance of the worker would accept it.
    fn end_lapsed_runs(&mut self, cx: &Context<'_>, key: WorkerKey, out: &mut Vec<Effect>) {
        let worker = &mut self.workers[key];
        // A worker that answers to another scheduler refuses the orders of this one.
        let may_begin_later = worker.is_listed && worker.higher_token_since.is_none();
        let mut lost = Vec::new();
        let mut position = 0;
        while let Some(run) = worker.runs.get(position) {
            if may_begin_later && run.may_begin_later(cx.now) {
                position += 1;
            } else {
                lost.push(worker.remove_run(position));
            }
        }
        self.runs_lost(cx, key, &lost, EndEvidence::LeaseLapsed, out);
        for run in &lost {
            let end = (EndKind::Lapsed, EndEvidence::LeaseLapsed);
            self.end_unreported_run(cx, key, run, end, out);
        }
        self.workers[key].unclaimed_runs.clear();
        self.explain_removal(cx, key, out);
    }

    /// Allows the stale ends of a worker to be acknowledged once its leases have lapsed since the
    /// first of these ends was processed.
    fn release_stale_end(&mut self, cx: &Context<'_>, key: WorkerKey) {
        let worker = &mut self.workers[key];
        let Some((_, since)) = worker.stale_end else {
            return;
        };
        let wait = cx.cfg.leased.takeover_wait;
        let is_old = |at| cx.now.saturating_duration_since(at) >= wait;
        if is_old(since)
            && worker.token_confirmed_at.is_some_and(is_old)
            && worker.has_lapsed(cx.now)
        {
            worker.stale_end = None;
            worker.has_unsent_ack = true;
            self.has_new_room = true;
        }
    }

    /// Time for which unclaimed runs go on. Until the records are read, a run may belong to a durable job.
    pub(super) fn unclaimed_run_grace(&self, cx: &Context<'_>) -> Duration {
        if self.knows_records {
            cx.cfg.leased.unclaimed_run_grace
        } else {
            UNIDENTIFIED_RUN_GRACE
        }
    }

    /// Stops the runs of earlier schedulers that no entry VM has claimed in time.
    fn stop_unclaimed_runs(&mut self, cx: &Context<'_>, key: WorkerKey, out: &mut Vec<Effect>) {
        let grace = self.unclaimed_run_grace(cx);
        let mut due: Vec<(TaskName, u32)> = Vec::new();
        for run in &mut self.workers[key].unclaimed_runs {
            let is_old = cx.now.saturating_duration_since(run.since) >= grace;
            if is_old && is_stop_retry_due(run.stop_sent, cx.now) {
                run.stop_sent = Some(cx.now);
                due.push((run.name, run.run));
            }
        }
        for run in due {
            self.stop_with_cause(cx, key, run, StopCause::Unclaimed, out);
        }
    }

    /// Sends stops again that were not confirmed.
    fn retry_stops(&mut self, cx: &Context<'_>, key: WorkerKey, out: &mut Vec<Effect>) {
        let is_due = |r: &&Run| {
            let is_unconfirmed = r.state == RunState::Stopping && r.confirmed_at.is_none();
            is_unconfirmed && is_stop_retry_due(r.stop_sent, cx.now)
        };
        let due: Vec<(TaskName, u32)> = self.workers[key]
            .runs
            .iter()
            .filter(is_due)
            .map(|r| (r.name, r.run))
            .collect();
        for (name, run) in due {
            self.stop(cx, key, name, run, out);
        }
    }

    /// Stops stalled tasks, so that they run again elsewhere, and pauses their worker.
    fn stop_stalled(&mut self, cx: &Context<'_>, key: WorkerKey, out: &mut Vec<Effect>) {
        let worker = &self.workers[key];
        if worker.poll_state.misses > 0 {
            return;
        }
        let stalled: Vec<(TaskName, u32)> = worker
            .runs
            .iter()
            .filter(|r| is_stalled(worker, r, &cx.cfg.leased))
            .map(|r| (r.name, r.run))
            .collect();
        if stalled.is_empty() {
            return;
        }
        self.pause_worker(cx, key, out);
        for run in stalled {
            self.stop_with_cause(cx, key, run, StopCause::Stalled, out);
        }
    }
}

fn is_stop_retry_due(sent: Option<Instant>, now: Instant) -> bool {
    sent.is_none_or(|at| now.saturating_duration_since(at) >= STOP_RETRY_INTERVAL)
}

fn is_stalled(worker: &Worker, run: &Run, cfg: &LeasedConfig) -> bool {
    // The next report may tell of more progress, so the time up to the last one counts.
    let reported_at = worker.reported_at.unwrap_or(run.progressed_at);
    let stalled_for = reported_at.saturating_duration_since(run.progressed_at);
    let limit = run.expected.mul_f64(STALL_FACTOR).min(cfg.max_poll_wait);
    run.state == RunState::Running && stalled_for >= limit.max(MIN_STALL_TIME)
}
