//! Processes replies of workers to starts and stops.

use super::Scheduler;
use crate::context::Context;
use crate::leased::command::{StartReply, StopReply};
use crate::leased::effect::Effect;
use crate::leased::job::TaskKey;
use crate::leased::log_event::EndEvidence;
use crate::leased::names::TaskName;
use crate::leased::report::EndKind;
use crate::leased::worker::{RunState, UnclaimedRun, WorkerKey};
use crate::leased::worker_clock::WorkerTime;

/// Added to the run number of a task after a worker has rejected a start as outdated, to exceed the
/// numbers that the worker has seen.
const OUTDATED_RUN_SKIP: u32 = 100;

/// A run of a task on a worker: worker, task, run number.
type WorkerRun = (WorkerKey, TaskName, u32);

impl Scheduler {
    /// Processes the reply to a start; `clock` is the worker's clock, if the reply had it.
    pub(super) fn start_replied(
        &mut self,
        cx: &Context<'_>,
        (key, task, run): WorkerRun,
        reply: StartReply,
        clock: Option<WorkerTime>,
        out: &mut Vec<Effect>,
    ) {
        let Some(worker) = self.workers.get_mut(key) else {
            return;
        };
        if let Some(reading) = clock {
            worker.read_clock(reading, cx.now);
        }
        let Some(position) = worker.run_position(task, run) else {
            return;
        };
        match reply {
            StartReply::Accepted => {
                let run = &mut worker.runs[position];
                if run.state == RunState::Starting {
                    run.state = RunState::Running;
                    run.confirmed_at = Some(cx.now);
                    run.progressed_at = cx.now;
                }
            }
            StartReply::Unanswered => {
                // The next poll shows whether the task runs.
                let run = &mut worker.runs[position];
                if run.state == RunState::Starting {
                    run.state = RunState::Unconfirmed;
                    run.unconfirmed_since = Some(cx.now);
                }
                worker.poll_state.misses = worker.poll_state.misses.max(1);
            }
            StartReply::Fenced => {
                let run = worker.remove_run(position);
                let end = (EndKind::Stopped, EndEvidence::NotStarted);
                let is_own_token = worker.has_raised_token_since(run.sent);
                self.run_ended(cx, key, &run, end, out);
                if !is_own_token {
                    self.on_higher_token(cx, key, out);
                }
            }
            StartReply::OtherInstance => {
                let run = worker.remove_run(position);
                let end = (EndKind::Stopped, EndEvidence::NotStarted);
                self.run_ended(cx, key, &run, end, out);
                self.on_other_instance(cx, key, run.sent, out);
            }
            refusal => self.start_refused(cx, key, position, refusal, out),
        }
        self.schedule_poll(cx, key, out);
    }

    /// Ends a run that was not started, and defers further starts on its worker as the reason
    /// demands.
    fn start_refused(
        &mut self,
        cx: &Context<'_>,
        key: WorkerKey,
        position: usize,
        reply: StartReply,
        out: &mut Vec<Effect>,
    ) {
        let worker = &mut self.workers[key];
        let run = worker.remove_run(position);
        let TaskKey { job, position } = run.task;
        match reply {
            StartReply::Outdated => {
                if let Some(job) = self.jobs.get_mut(job) {
                    job.task_mut(position).last_run += OUTDATED_RUN_SKIP;
                }
            }
            StartReply::NoRoom => worker.full_until = Some(cx.now + cx.cfg.leased.full_pause),
            StartReply::NotSent => worker.poll_state.misses = worker.poll_state.misses.max(1),
            // A lease is longer than an order takes, so the clock may be that of another instance.
            StartReply::TooLate => worker.suspect_restart(),
            StartReply::Refused => self.pause_worker(cx, key, out),
            _ => {}
        }
        let end = (EndKind::Stopped, EndEvidence::NotStarted);
        self.run_ended(cx, key, &run, end, out);
    }

    /// Processes the reply to a stop.
    pub(super) fn stop_replied(
        &mut self,
        cx: &Context<'_>,
        (key, task, run): WorkerRun,
        reply: StopReply,
        out: &mut Vec<Effect>,
    ) {
        let Some(worker) = self.workers.get_mut(key) else {
            return;
        };
        if reply != StopReply::Unanswered
            && let Some(stop) = worker.unanswered_stop(task, run)
        {
            stop.answered();
        }
        match reply {
            StopReply::Accepted => {
                if let Some(position) = worker.run_position(task, run) {
                    // A stopped run is not listed any more, but may go on for `stop_grace`.
                    worker.runs[position].confirmed_at = Some(cx.now + cx.cfg.leased.stop_grace);
                    worker.runs[position].state = RunState::Stopping;
                }
                let stopped = |u: &&mut UnclaimedRun| u.name == task && u.run == run;
                if let Some(unclaimed) = worker.unclaimed_runs.iter_mut().find(stopped) {
                    unclaimed.is_stop_confirmed = true;
                }
            }
            // It is sent again with the raised token.
            StopReply::Fenced if worker.may_have_refused_own_stop((task, run)) => {}
            StopReply::Fenced => self.on_higher_token(cx, key, out),
            StopReply::Unanswered => {}
        }
        self.schedule_poll(cx, key, out);
    }
}
