//! Confirmations of entry VMs that callers still wait for their jobs.
//!
//! A caller whose connection breaks sends its job again after a known time, to any entry VM, and the copy may
//! reach the scheduler of another cell, which knows nothing of the first one. So no run may go on for that long
//! without a sign that its caller waits, whichever message, VM or worker is lost: no lease is given beyond it.

use std::time::{Duration, Instant};

use super::Scheduler;
use crate::configs::leased::LeasedConfig;
use crate::context::Context;
use crate::leased::effect::Effect;
use crate::leased::job::JobKey;
use crate::leased::log_event::EntryLossCause;
use crate::leased::names::{EntryVm, JobId};
use crate::leased::worker::WorkerKey;
use crate::leased::worker_clock::{WorkerClock, WorkerTime};

/// Time by which any lease is shorter than `confirmation_ttl`, so that jobs whose callers were last confirmed within it
/// can start beside jobs without a limit.
const CONFIRMATION_TIME: Duration = Duration::from_millis(100);

impl Scheduler {
    /// Takes note of the jobs for which callers wait at an entry VM, and withdraws its other jobs: their
    /// withdrawals were lost. A job that was passed on after the confirmation was sent is left alone.
    pub(super) fn confirm(
        &mut self,
        cx: &Context<'_>,
        origin: EntryVm,
        as_of: Instant,
        confirmed: &[JobId],
        out: &mut Vec<Effect>,
    ) {
        let as_of = as_of.min(cx.now);
        let mut confirmed = confirmed.to_vec();
        confirmed.sort_unstable();
        let mut left = Vec::new();
        for job in self.jobs.values_mut() {
            let id = job.spec.id;
            let Some(known) = job.origins.iter_mut().find(|o| o.vm == origin) else {
                continue;
            };
            let Some(known_as_of) = known.as_of else {
                continue;
            };
            if confirmed.binary_search(&id).is_ok() {
                known.as_of = Some(known_as_of.max(as_of));
                known.confirmed = cx.now;
            } else if known_as_of < as_of && job.record_sync.is_none() {
                left.push(id);
            }
        }
        for id in left {
            self.withdraw(cx, id, origin, out);
        }
        // An answer that was sent before a heartbeat which has arrived is lost, not on its way.
        for id in confirmed {
            let ended = self.outcomes.job(id).filter(|ended| ended.at < as_of);
            let Some(ended) = ended.filter(|_| !self.by_id.contains_key(&id)) else {
                continue;
            };
            let (submission, outcome) = ended.answer_to(origin);
            out.push(Effect::Answer {
                origin,
                id,
                submission,
                outcome,
            });
        }
    }

    /// Drops the jobs that an entry VM has not confirmed for so long that their runs have to be stopped. A job without a
    /// run is kept as long as messages of its entry VM arrive, as it takes no lease.
    pub(super) fn drop_unconfirmed_jobs(&mut self, cx: &Context<'_>, out: &mut Vec<Effect>) {
        let cfg = &cx.cfg.leased;
        let mut silent: Vec<(EntryVm, Instant)> = Vec::new();
        for job in self.jobs.values().filter(|j| j.record_sync.is_none()) {
            for origin in &job.origins {
                let is_due = origin
                    .as_of
                    .is_some_and(|at| at + cfg.confirmation_ttl < cx.now + cfg.min_lease);
                let silence = cx.now.saturating_duration_since(origin.confirmed);
                if is_due && (job.has_started || silence >= cfg.confirmation_timeout) {
                    silent.push((origin.vm, origin.confirmed));
                }
            }
        }
        silent.sort_unstable();
        silent.dedup();
        for (vm, confirmed) in silent {
            let loss = (EntryLossCause::Unconfirmed, confirmed);
            self.drop_entry_jobs(cx, vm, confirmed, loss, out);
        }
    }

    /// Time beyond which no lease may be given to a worker; `None` without a limit.
    pub(super) fn lease_limit(&mut self, cx: &Context<'_>, key: WorkerKey) -> Option<Instant> {
        let ttl = cx.cfg.leased.confirmation_ttl;
        let worker = &mut self.workers[key];
        for run in &mut worker.runs {
            if let Some(job) = self.jobs.get(run.task.job) {
                run.may_run_until = job.may_run_until(ttl);
            }
        }
        worker.lease_limit()
    }

    /// Records until when the runs of a job may go on, before its origins change.
    pub(super) fn keep_run_limits(&mut self, cx: &Context<'_>, key: JobKey) {
        let Some(job) = self.jobs.get(key).filter(|j| j.has_started) else {
            return;
        };
        let limit = job.may_run_until(cx.cfg.leased.confirmation_ttl);
        let runs = self.workers.values_mut().flat_map(|w| &mut w.runs);
        for run in runs.filter(|r| r.task.job == key) {
            run.may_run_until = limit;
        }
    }

    /// Limits the runs of a job that ends now: their stops may be lost, and its caller may send it again.
    pub(super) fn limit_runs_of_ended_job(&mut self, cx: &Context<'_>, key: JobKey) {
        let job = self.jobs.get(key);
        let Some(job) = job.filter(|j| j.has_started && !j.is_done() && !j.spec.is_durable) else {
            return;
        };
        let ttl = cx.cfg.leased.confirmation_ttl;
        let limit = job.may_run_until(ttl);
        let runs = self.workers.values_mut().flat_map(|w| &mut w.runs);
        for run in runs.filter(|r| r.task.job == key) {
            let known = limit.or(run.may_run_until);
            run.may_run_until = Some(known.map_or(cx.now + ttl, |at| at.min(cx.now + ttl)));
        }
    }
}

/// The longest lease that any scheduler gives.
pub(super) fn longest_lease(cfg: &LeasedConfig) -> Duration {
    let limit = cfg.confirmation_ttl.saturating_sub(CONFIRMATION_TIME);
    cfg.lease.min(limit)
}

/// A lease from now on that ends by `limit`.
pub(super) fn limited_lease(
    cx: &Context<'_>,
    clock: &WorkerClock,
    limit: Option<Instant>,
) -> WorkerTime {
    let until = clock.at(cx.now).after(longest_lease(&cx.cfg.leased));
    limit.map_or(until, |limit| until.min(clock.latest_lease(limit)))
}

/// Longest wait of a poll at a worker whose leases end by `limit`: the next poll has to renew them.
pub(super) fn renewal_wait(cx: &Context<'_>, limit: Instant) -> Duration {
    let left = limit.saturating_duration_since(cx.now);
    (left / 2).max(cx.cfg.leased.min_poll_wait)
}
