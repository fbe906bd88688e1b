//! Jobs whose callers wait at this entry VM.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use geraniumrelay_core::leased::{
    FencingToken, JobId, JobOutcome, JobSpec, RefusalReason, Submission,
};
use tokio::sync::oneshot;

use geraniumrelay_core::leased::EntryVm;

/// Longest time that a job waits for a scheduler; a takeover takes less where one can be had.
const SCHEDULER_WAIT: Duration = Duration::from_millis(700);

/// When a caller comes back that was refused for want of a scheduler.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// Time after a caller's patience at which a silent scheduler is given up.
const SILENCE_MARGIN: Duration = Duration::from_millis(5);

#[derive(Debug)]
struct OpenJob {
    spec: JobSpec,
    arrived: Instant,
    give_up: Instant,
    replies: Vec<oneshot::Sender<JobOutcome>>,
    /// Scheduler that was given the job last.
    sent_to: Option<FencingToken>,
    /// Whether some scheduler was given it.
    was_sent: bool,
}

/// What a log line says of a job that has been answered.
#[derive(Debug)]
pub(super) struct Answered {
    pub(super) took: Duration,
    pub(super) queue: Arc<str>,
    pub(super) tasks: usize,
    /// The longest of its steps' estimates.
    pub(super) estimate: Duration,
}

/// Jobs whose callers wait here.
#[derive(Debug, Default)]
pub(super) struct Desk {
    /// Ordered, as callers choose the ids.
    jobs: BTreeMap<JobId, OpenJob>,
}

impl Desk {
    /// Takes a job; `false` where it is open already, so that its caller only waits with the other.
    pub(super) fn open(
        &mut self,
        spec: JobSpec,
        patience: Duration,
        reply: oneshot::Sender<JobOutcome>,
        now: Instant,
    ) -> bool {
        if let Some(job) = self.jobs.get_mut(&spec.id) {
            job.replies.push(reply);
            return false;
        }
        let id = spec.id;
        let job = OpenJob {
            spec,
            arrived: now,
            give_up: now + patience,
            replies: vec![reply],
            sent_to: None,
            was_sent: false,
        };
        self.jobs.insert(id, job);
        true
    }

    pub(super) fn len(&self) -> usize {
        self.jobs.len()
    }

    pub(super) fn has(&self, id: JobId) -> bool {
        self.jobs.contains_key(&id)
    }

    /// Whether a scheduler has been given the job.
    pub(super) fn was_sent(&self, id: JobId) -> bool {
        self.jobs.get(&id).is_some_and(|job| job.was_sent)
    }

    /// Whether the scheduler with `token` is the last that was given the job.
    pub(super) fn is_with(&self, id: JobId, token: FencingToken) -> bool {
        let job = self.jobs.get(&id);
        job.is_some_and(|job| job.sent_to == Some(token))
    }

    /// What the scheduler with `token` has not been given yet.
    pub(super) fn unsent(
        &mut self,
        token: FencingToken,
        origin: EntryVm,
        now: Instant,
    ) -> Vec<Submission> {
        let unsent = self.jobs.values_mut().filter(|j| j.sent_to != Some(token));
        unsent
            .map(|job| {
                let may_have_started = job.was_sent;
                job.sent_to = Some(token);
                job.was_sent = true;
                Submission {
                    spec: job.spec.clone(),
                    origin,
                    waited: now.saturating_duration_since(job.arrived),
                    patience: job.give_up.saturating_duration_since(now),
                    may_have_started,
                }
            })
            .collect()
    }

    /// Takes back that jobs were given to a scheduler, which may not have got them or whose
    /// answers may be lost.
    pub(super) fn mark_all_unsent(&mut self) {
        for job in self.jobs.values_mut() {
            job.sent_to = None;
        }
    }

    /// Takes back that jobs were given to a scheduler that never got them.
    pub(super) fn mark_unsent(&mut self, id: JobId) {
        if let Some(job) = self.jobs.get_mut(&id) {
            job.sent_to = None;
        }
    }

    /// Answers a job's callers.
    pub(super) fn answer(&mut self, id: JobId, outcome: JobOutcome) -> Option<Answered> {
        let job = self.jobs.remove(&id)?;
        for reply in job.replies {
            // A caller that has gone away needs no answer.
            let _ = reply.send(outcome);
        }
        let estimates = job.spec.steps.iter().map(|s| s.estimate);
        Some(Answered {
            took: job.arrived.elapsed(),
            queue: Arc::clone(&job.spec.queue),
            tasks: job.spec.task_count(),
            estimate: estimates.max().unwrap_or_default(),
        })
    }

    /// Takes note that a caller has gone away; `true` where none is left.
    pub(super) fn abandon(&mut self, id: JobId) -> bool {
        let Some(job) = self.jobs.get_mut(&id) else {
            return false;
        };
        job.replies.retain(|r| !r.is_closed());
        if job.replies.is_empty() {
            self.jobs.remove(&id);
            return true;
        }
        false
    }

    /// Jobs that are over without a scheduler's word, and how.
    pub(super) fn overdue(&self, now: Instant) -> Vec<(JobId, JobOutcome)> {
        let refusal = JobOutcome::Refused {
            reason: RefusalReason::NoScheduler,
            retry_after: RETRY_AFTER,
        };
        let outcome = |job: &OpenJob| {
            if !job.was_sent && now >= (job.arrived + SCHEDULER_WAIT).min(job.give_up) {
                return Some(refusal);
            }
            (now >= job.give_up + SILENCE_MARGIN).then_some(JobOutcome::TimedOut)
        };
        let jobs = self.jobs.iter();
        jobs.filter_map(|(&id, job)| Some((id, outcome(job)?)))
            .collect()
    }
}
