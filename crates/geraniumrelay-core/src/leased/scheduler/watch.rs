//! What time alone changes: deadlines, lapsed leases, tasks that stand still, runs nobody wants.

use std::time::{Duration, Instant};

use super::Scheduler;
use crate::configs::leased::LeasedConfig;
use crate::context::Context;
use crate::leased::admission;
use crate::leased::effect::{Effect, JobOutcome, RefusalReason};
use crate::leased::job::JobKey;
use crate::leased::names::{EntryVm, TaskName};
use crate::leased::note::StopCause;
use crate::leased::report::EndKind;
use crate::leased::worker::{Run, RunState, Worker, WorkerKey};

/// Time after which a stop that was not confirmed is sent again.
const STOP_RETRY_INTERVAL: Duration = Duration::from_millis(150);

/// Time after which a slow worker is tried again.
const SLOW_WORKER_RETRY_INTERVAL: Duration = Duration::from_secs(2);

/// Time between two looks at whether a late job still finds room; room that nobody waits for is taken
/// within a few milliseconds.
const LATE_JOB_CHECK_INTERVAL: Duration = Duration::from_millis(30);

/// Time for which ends of unknown jobs are kept.
const UNMATCHED_END_TTL: Duration = Duration::from_secs(2);

/// Time that runs of an earlier scheduler may go on while it is not known whether they belong to
/// kept jobs. A scheduler on the other side of a partition starts them again no sooner than 0.98 s
/// after its beginning, and this one takes over within 0.55 s; a stop takes up to 0.05 s.
const UNIDENTIFIED_RUN_GRACE: Duration = Duration::from_millis(350);

/// Time without progress, as a multiple of the expected run time, from which a task stands still.
const STALL_FACTOR: f64 = 1.0;

/// Shortest time without progress from which a task stands still; progress is reported in percent
/// and read no more often than the shortest look.
const MIN_STALL_TIME: Duration = Duration::from_millis(80);

impl Scheduler {
    pub(super) fn tick(&mut self, cx: &Context<'_>, out: &mut Vec<Effect>) {
        self.check_deadlines(cx, out);
        let keys: Vec<WorkerKey> = self.workers.keys().collect();
        for key in keys {
            self.tick_worker(cx, key, out);
        }
        self.tick_epoch(cx, out);
        self.tick_records(cx, out);
        self.drop_disconnected_entries(cx, out);
        self.expire_outcomes(cx);
        let now = cx.now;
        self.unmatched_ends
            .retain(|_, at| now.saturating_duration_since(*at) < UNMATCHED_END_TTL);
        // Pauses end, leases lapse and the takeover settles with time alone.
        self.has_new_room = !self.waiting.is_empty();
    }

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
            self.drop_entry_jobs(cx, vm, lost_at, out);
        }
    }

    fn expire_outcomes(&mut self, cx: &Context<'_>) {
        let ttl = cx.cfg.leased.outcome_ttl;
        while let Some(&(at, id)) = self.outcome_ages.front() {
            if cx.now.saturating_duration_since(at) < ttl {
                return;
            }
            self.outcome_ages.pop_front();
            if self
                .outcomes
                .get(&id)
                .is_some_and(|&(since, _)| since == at)
            {
                self.outcomes.remove(&id);
            }
        }
    }

    fn check_deadlines(&mut self, cx: &Context<'_>, out: &mut Vec<Effect>) {
        while let Some(&(at, key)) = self.checks.first() {
            if at > cx.now {
                return;
            }
            let job = &self.jobs[key];
            if job.keeping.is_some() {
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

    /// Whether a job that can't end in time any more can still end while its answer is of use, with
    /// room that nobody else waits for. Load pattern: a new scheduler is given jobs that have waited
    /// for it, and finds all workers free.
    fn is_late_start_useful(&self, cx: &Context<'_>, key: JobKey) -> bool {
        let job = &self.jobs[key];
        let is_useful = cx.now < job.last_useful_start() && !job.is_too_long(cx.now);
        is_useful && admission::expected_wait(&self.backlog(cx, key)) == Some(Duration::ZERO)
    }

    /// Lets a late job wait a little longer, behind those that can still end in time.
    fn extend_late_wait(&mut self, cx: &Context<'_>, key: JobKey) {
        if !self.jobs[key].is_put_back {
            self.deprioritize(key);
        }
        self.check_at(key, cx.now + LATE_JOB_CHECK_INTERVAL);
    }

    fn tick_worker(&mut self, cx: &Context<'_>, key: WorkerKey, out: &mut Vec<Effect>) {
        let worker = &mut self.workers[key];
        worker
            .health
            .refresh(cx.now, SLOW_WORKER_RETRY_INTERVAL, &cx.cfg.leased);
        if worker.has_lapsed(cx.now) && worker.looking.misses > 0 {
            self.end_lapsed_runs(cx, key, out);
        }
        self.release_stale_end(cx, key);
        self.stop_unclaimed_runs(cx, key, out);
        self.repeat_stops(cx, key, out);
        self.stop_stalled(cx, key, out);
        let worker = &self.workers[key];
        if worker.is_over(cx.now, cx.cfg.leased.departed_ttl) {
            let name = worker.entry.name.clone();
            self.workers.remove(key);
            self.by_name.remove(&name);
            return;
        }
        self.schedule_poll(cx, key, out);
    }

    /// Ends all runs on a worker that can't be reached: their leases have lapsed.
    fn end_lapsed_runs(&mut self, cx: &Context<'_>, key: WorkerKey, out: &mut Vec<Effect>) {
        self.workers[key].orphans.clear();
        while !self.workers[key].runs.is_empty() {
            let run = self.workers[key].remove_run(0);
            self.end_unreported_run(cx, key, &run, EndKind::Lapsed, out);
        }
    }

    /// Lets ends of lost runs be acknowledged, once the worker's leases have lapsed since.
    fn release_stale_end(&mut self, cx: &Context<'_>, key: WorkerKey) {
        let worker = &mut self.workers[key];
        let Some((_, since)) = worker.void_end else {
            return;
        };
        let rest = cx.cfg.leased.takeover_wait;
        let is_old = |at| cx.now.saturating_duration_since(at) >= rest;
        if is_old(since) && worker.fenced.is_some_and(is_old) && worker.has_lapsed(cx.now) {
            worker.void_end = None;
            worker.owes_ack = true;
            self.has_new_room = true;
        }
    }

    fn stop_unclaimed_runs(&mut self, cx: &Context<'_>, key: WorkerKey, out: &mut Vec<Effect>) {
        // Until the records are known, a run may belong to a kept job.
        let grace = if self.knows_records {
            cx.cfg.leased.orphan_grace
        } else {
            UNIDENTIFIED_RUN_GRACE
        };
        let mut due: Vec<(TaskName, u32)> = Vec::new();
        for orphan in &mut self.workers[key].orphans {
            let is_old = cx.now.saturating_duration_since(orphan.since) >= grace;
            if is_old && is_stop_retry_due(orphan.stop_sent, cx.now) {
                orphan.stop_sent = Some(cx.now);
                due.push((orphan.name, orphan.run));
            }
        }
        for run in due {
            self.stop_with_cause(cx, key, run, StopCause::Orphan, out);
        }
    }

    fn repeat_stops(&mut self, cx: &Context<'_>, key: WorkerKey, out: &mut Vec<Effect>) {
        let is_due =
            |r: &&Run| r.state == RunState::Stopping && is_stop_retry_due(r.stop_sent, cx.now);
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

    /// Stops tasks that stand still, so that they run again elsewhere.
    fn stop_stalled(&mut self, cx: &Context<'_>, key: WorkerKey, out: &mut Vec<Effect>) {
        let worker = &self.workers[key];
        if worker.looking.misses > 0 {
            return;
        }
        let stalled: Vec<(TaskName, u32)> = worker
            .runs
            .iter()
            .filter(|r| is_stalled(worker, r, cx.now, &cx.cfg.leased))
            .map(|r| (r.name, r.run))
            .collect();
        if stalled.is_empty() {
            return;
        }
        self.note_fault(cx, key, out);
        for run in stalled {
            self.stop_with_cause(cx, key, run, StopCause::Stalled, out);
        }
    }
}

fn is_stop_retry_due(sent: Option<Instant>, now: Instant) -> bool {
    sent.is_none_or(|at| now.saturating_duration_since(at) >= STOP_RETRY_INTERVAL)
}

fn is_stalled(worker: &Worker, run: &Run, now: Instant, cfg: &LeasedConfig) -> bool {
    // Progress as of the last look: a look that is under way may bring more.
    let seen = worker.looking.out_since.unwrap_or(now);
    let still = seen.saturating_duration_since(run.moved);
    let limit = run.expected.mul_f64(STALL_FACTOR).min(cfg.max_look_wait);
    run.state == RunState::Running && still >= limit.max(MIN_STALL_TIME)
}
