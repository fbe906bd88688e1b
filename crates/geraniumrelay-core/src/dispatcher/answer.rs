//! Ending jobs: answers to all waiters, deadlines.

use std::sync::Arc;

use crate::context::Context;
use crate::dispatcher::Dispatcher;
use crate::effect::{Effect, Reply, TaskId};
use crate::modules::jobs::{JobKey, TaskState};
use crate::modules::journal::JournalEntry;
use crate::reason::Reason;
use crate::verdict::Verdict;

impl Dispatcher {
    /// Answers a job and stops what still runs of it; `reason` is set where it failed.
    pub(super) fn finish_job(
        &mut self,
        cx: &Context<'_>,
        key: JobKey,
        reason: Option<Reason>,
        out: &mut Vec<Effect>,
    ) {
        self.stop_running(key, out);
        let Some((job, answer)) = self.jobs.finish(key, reason) else {
            return;
        };
        self.deadlines.remove(&(job.deadline, key));
        let answer = Arc::new(answer);
        if answer.verdict == Verdict::NotRun {
            self.claims
                .spend(job.ticket, reason.unwrap_or(Reason::Cancelled));
        } else {
            self.claims.answer(cx, job.ticket, &answer);
        }
        if let Some(intent) = job.intent {
            let answer = Some(Arc::clone(&answer));
            out.push(Effect::Journal(JournalEntry { intent, answer }));
        }
        for waiter in job.waiters {
            let reply = Reply::Answer {
                ticket: job.ticket,
                answer: Arc::clone(&answer),
            };
            out.push(Effect::Reply { waiter, reply });
        }
    }

    fn stop_running(&self, key: JobKey, out: &mut Vec<Effect>) {
        let Some(job) = self.jobs.job(key) else {
            return;
        };
        for task in job.tasks.iter().filter_map(|task| self.jobs.task(*task)) {
            let TaskState::Running { target } = task.state else {
                continue;
            };
            let Some(target) = self.targets.get(target) else {
                continue;
            };
            let id = TaskId {
                ticket: job.ticket,
                index: task.index,
            };
            out.push(Effect::Stop {
                id,
                address: target.info.address,
            });
        }
    }

    /// Answers the jobs whose deadline has passed.
    pub(super) fn expire(&mut self, cx: &Context<'_>, out: &mut Vec<Effect>) {
        while let Some(&(deadline, key)) = self.deadlines.first() {
            if deadline > cx.now {
                return;
            }
            self.deadlines.pop_first();
            self.finish_job(cx, key, Some(Reason::DeadlinePassed), out);
        }
    }
}
