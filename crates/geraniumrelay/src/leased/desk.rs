//! Jobs whose callers wait at this entry VM.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use geraniumrelay_core::leased::cells::CellName;
use geraniumrelay_core::leased::{
    EntryVm, FencingToken, JobId, JobOutcome, JobSpec, RefusalReason, Submission,
};
use tokio::sync::oneshot;

/// Longest time that a job waits for a scheduler; a takeover takes less where one can be had.
const SCHEDULER_WAIT: Duration = Duration::from_millis(700);

/// When a caller comes back that was refused for want of a scheduler.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// Time after a caller's patience at which a silent scheduler is given up.
const SILENCE_MARGIN: Duration = Duration::from_millis(5);

/// Cells that are asked to take a job.
const MAX_CELLS: usize = 2;

#[derive(Debug)]
struct OpenJob {
    spec: JobSpec,
    arrived: Instant,
    give_up: Instant,
    replies: Vec<oneshot::Sender<JobOutcome>>,
    /// Cell that has been given the job last.
    cell: Option<CellName>,
    /// Cells that have refused it.
    refused_by: Vec<CellName>,
    /// Scheduler of the cell that has been given it.
    sent_to: Option<FencingToken>,
    /// Whether some scheduler of the cell has been given it.
    was_sent: bool,
}

/// A job that has to be passed on.
#[derive(Debug)]
pub(super) struct Unsent {
    pub(super) id: JobId,
    /// Where it must go, as tasks may have started there.
    pub(super) cell: Option<CellName>,
    /// Where it need not go.
    pub(super) refused_by: Vec<CellName>,
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
pub(super) struct PendingJobs {
    /// Ordered, as callers choose the ids.
    jobs: BTreeMap<JobId, OpenJob>,
}

impl PendingJobs {
    /// Takes a job; `false` where it is open already, so that its caller only waits with the other.
    pub(super) fn add(
        &mut self,
        spec: JobSpec,
        remaining_wait: Duration,
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
            give_up: now + remaining_wait,
            replies: vec![reply],
            cell: None,
            refused_by: Vec::new(),
            sent_to: None,
            was_sent: false,
        };
        self.jobs.insert(id, job);
        true
    }

    pub(super) fn len(&self) -> usize {
        self.jobs.len()
    }

    pub(super) fn contains(&self, id: JobId) -> bool {
        self.jobs.contains_key(&id)
    }

    /// The cell that has the job.
    pub(super) fn cell_of(&self, id: JobId) -> Option<CellName> {
        self.jobs.get(&id)?.cell.clone()
    }

    /// Whether the scheduler of `cell` with `token` is the last that was given the job.
    pub(super) fn is_assigned_to(&self, id: JobId, cell: &CellName, token: FencingToken) -> bool {
        let job = self.jobs.get(&id);
        job.is_some_and(|j| j.cell.as_ref() == Some(cell) && j.sent_to == Some(token))
    }

    /// Jobs that no scheduler has, or whose scheduler has changed.
    pub(super) fn unsent(&self) -> Vec<Unsent> {
        let unsent = self.jobs.iter().filter(|(_, j)| j.sent_to.is_none());
        unsent
            .map(|(&id, job)| Unsent {
                id,
                cell: job.cell.clone().filter(|_| job.was_sent),
                refused_by: job.refused_by.clone(),
            })
            .collect()
    }

    /// Gives a job to the scheduler of `cell` with `token`.
    pub(super) fn assign(
        &mut self,
        id: JobId,
        cell: &CellName,
        token: FencingToken,
        origin: EntryVm,
        now: Instant,
    ) -> Option<Submission> {
        let job = self.jobs.get_mut(&id)?;
        let may_have_started = job.was_sent;
        job.cell = Some(cell.clone());
        job.sent_to = Some(token);
        job.was_sent = true;
        Some(Submission {
            spec: job.spec.clone(),
            origin,
            waited: now.saturating_duration_since(job.arrived),
            remaining_wait: job.give_up.saturating_duration_since(now),
            may_have_started,
        })
    }

    /// Takes note that a cell's scheduler may not have its jobs, or that its answers may be lost.
    pub(super) fn mark_unsent(&mut self, cell: &CellName) {
        let of_cell = |j: &&mut OpenJob| j.cell.as_ref() == Some(cell);
        for job in self.jobs.values_mut().filter(of_cell) {
            job.sent_to = None;
        }
    }

    /// Takes note that a job did not get to its scheduler.
    pub(super) fn mark_job_unsent(&mut self, id: JobId) {
        if let Some(job) = self.jobs.get_mut(&id) {
            job.sent_to = None;
        }
    }

    /// Takes note that a cell has refused a job; `true` where another one may be asked.
    pub(super) fn try_other_cell(&mut self, id: JobId) -> bool {
        let Some(job) = self.jobs.get_mut(&id) else {
            return false;
        };
        if job.refused_by.len() + 1 >= MAX_CELLS {
            return false;
        }
        job.refused_by.extend(job.cell.take());
        job.sent_to = None;
        // A refusal says that nothing has started.
        job.was_sent = false;
        true
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
        job.replies.is_empty()
    }

    /// Forgets a job that nobody waits for.
    pub(super) fn remove(&mut self, id: JobId) {
        self.jobs.remove(&id);
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
