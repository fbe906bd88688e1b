//! Replies of workers to starts and stops.

use super::Scheduler;
use crate::context::Context;
use crate::leased::command::{StartReply, StopReply};
use crate::leased::effect::Effect;
use crate::leased::job::TaskKey;
use crate::leased::names::TaskName;
use crate::leased::report::EndKind;
use crate::leased::worker::{RunState, WorkerKey};
use crate::leased::worker_clock::{WorkerClock, WorkerTime};

/// Added to the number of a run that a worker calls outdated, to get past what it has seen.
const OUTDATED_STEP: u32 = 100;

/// A run on a worker.
type WorkerRun = (WorkerKey, TaskName, u32);

impl Scheduler {
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
        if let Some(clock) = clock {
            worker.clock = Some(WorkerClock::new(clock, cx.now));
        }
        let Some(position) = worker.run_position(task, run) else {
            return;
        };
        match reply {
            StartReply::Accepted => {
                let run = &mut worker.runs[position];
                if run.state == RunState::Starting {
                    run.state = RunState::Running;
                    run.settled = Some(cx.now);
                    run.moved = cx.now;
                }
            }
            StartReply::Unanswered => {
                // The next look tells whether it runs.
                let run = &mut worker.runs[position];
                if run.state == RunState::Starting {
                    run.state = RunState::Unsure;
                    run.unsure_since = Some(cx.now);
                }
                worker.looking.misses = worker.looking.misses.max(1);
            }
            StartReply::Fenced => {
                let run = worker.remove_run(position);
                self.run_ended(cx, key, &run, EndKind::Stopped, out);
                self.on_higher_token(cx, key, out);
            }
            StartReply::OtherLife => self.on_other_instance(cx, key, out),
            refusal => self.start_refused(cx, key, position, refusal, out),
        }
        self.schedule_poll(cx, key, out);
    }

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
                    job.task_mut(position).last_run += OUTDATED_STEP;
                }
            }
            StartReply::NoRoom => worker.full_until = Some(cx.now + cx.cfg.leased.full_pause),
            StartReply::NotSent => worker.looking.misses = worker.looking.misses.max(1),
            StartReply::Refused => self.note_fault(cx, key, out),
            _ => {}
        }
        self.run_ended(cx, key, &run, EndKind::Stopped, out);
    }

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
        match reply {
            StopReply::Accepted => {
                if let Some(position) = worker.run_position(task, run) {
                    // Until then it may go on without being listed anywhere.
                    worker.runs[position].settled = Some(cx.now + cx.cfg.leased.stop_grace);
                    worker.runs[position].state = RunState::Stopping;
                }
            }
            StopReply::Fenced => self.on_higher_token(cx, key, out),
            StopReply::Unanswered => {}
        }
        self.schedule_poll(cx, key, out);
    }
}
