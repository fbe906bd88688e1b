//! End of jobs: answers to all waiters, and expiry of deadlines.

use std::sync::Arc;

use crate::context::Context;
use crate::dispatcher::Dispatcher;
use crate::effect::{Answer, Effect, Reply, TaskId};
use crate::modules::jobs::{Job, JobKey, TaskState};
use crate::modules::journal::JournalEntry;
use crate::modules::policy::Policy;
use crate::reason::Reason;
use crate::verdict::Verdict;

impl<P: Policy> Dispatcher<P> {
    /// Ends a job: answers the waiters and stops the tasks that still run; `reason` is set if the
    /// job failed.
    pub(super) fn finish_job(
        &mut self,
        cx: &Context<'_>,
        key: JobKey,
        reason: Option<Reason>,
        out: &mut Vec<Effect>,
    ) {
        self.stop_running_tasks(key, out);
        let Some((job, answer)) = self.jobs.finish(key, reason) else {
            return;
        };
        self.deadlines.remove(&(job.timer, key));
        if let Some(queue) = self.queues.get_mut(&job.service) {
            queue.remove(key);
        }
        let answer = Arc::new(answer);
        if answer.verdict == Verdict::NotRun {
            self.claim_tables
                .mark_not_run(job.ticket, reason.unwrap_or(Reason::Cancelled));
        } else {
            self.claim_tables.answer(cx, job.ticket, &answer);
        }
        if let Some(intent) = job.intent {
            let answer = Some(Arc::clone(&answer));
            out.push(Effect::Journal(JournalEntry { intent, answer }));
        }
        let reply = self.reply_to(&job, answer, reason);
        for waiter in job.waiters {
            let reply = reply.clone();
            out.push(Effect::Reply { waiter, reply });
        }
    }

    /// Reply to the waiters of an ended job: the answer, or, if nothing ran and the job was not
    /// cancelled, a refusal with a retry delay.
    fn reply_to(&self, job: &Job, answer: Arc<Answer>, reason: Option<Reason>) -> Reply {
        match reason {
            Some(reason) if answer.verdict == Verdict::NotRun && reason != Reason::Cancelled => {
                Reply::Rejected(self.refusal_with_retry(job.service, job.urgency, reason))
            }
            _ => Reply::Answer {
                ticket: job.ticket,
                answer,
            },
        }
    }

    fn stop_running_tasks(&self, key: JobKey, out: &mut Vec<Effect>) {
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

    /// Fails the jobs whose deadline has passed, and the jobs without a started task whose deadline
    /// can no longer be met.
    pub(super) fn expire_jobs(&mut self, cx: &Context<'_>, out: &mut Vec<Effect>) {
        while let Some(&(timer, key)) = self.deadlines.first() {
            if timer > cx.now {
                return;
            }
            self.deadlines.pop_first();
            let Some(job) = self.jobs.job_mut(key) else {
                continue;
            };
            if job.deadline <= cx.now {
                self.finish_job(cx, key, Some(Reason::DeadlinePassed), out);
            } else if job.has_started {
                job.timer = job.deadline;
                self.deadlines.insert((job.deadline, key));
            } else {
                self.finish_job(cx, key, Some(Reason::DeadlineUnreachable), out);
            }
        }
    }
}
