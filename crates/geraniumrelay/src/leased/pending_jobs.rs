//! Pending jobs: jobs whose callers wait for the outcome at this entry VM.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use geraniumrelay_core::leased::cells::CellName;
use geraniumrelay_core::leased::{
    EntryVm, FencingToken, JobId, JobOutcome, JobSpec, LostRun, RefusalReason, StepSpec,
    Submission, TaskName,
};
use tokio::sync::oneshot;

/// Maximum time that a job waits for a scheduler; a takeover by an available VM takes less.
const SCHEDULER_WAIT: Duration = Duration::from_millis(700);

/// Retry delay for a caller that is refused because there is no scheduler.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// Time after a caller's maximum wait at which a job without an answer times out here.
const ANSWER_MARGIN: Duration = Duration::from_millis(5);

/// Time for which a cell's scheduler is told that callers have left, as the withdrawals may be lost; longer than it
/// goes on with a job that is not confirmed.
const DEPARTURE_TTL: Duration = Duration::from_millis(1_300);

/// Maximum number of cells that may refuse a job because of overload.
const MAX_CELLS: usize = 2;

#[derive(Debug)]
struct OpenJob {
    spec: JobSpec,
    arrived: Instant,
    wait_until: Instant,
    replies: Vec<oneshot::Sender<JobOutcome>>,
    /// Cell to which the job was assigned last.
    cell: Option<CellName>,
    /// Cells that have refused the job.
    refused_by: Vec<CellName>,
    /// How many of these refused it because of an evacuation.
    evacuated_cells: usize,
    /// Cells in which the job would have had to wait, and that left it to another cell.
    declined_by: Vec<CellName>,
    /// Runs that were lost with their workers, as schedulers have told.
    losses: Vec<(TaskName, Vec<LostRun>)>,
    /// Whether the last submission said that another cell has room.
    had_alternative: bool,
    /// Tokens of all schedulers to which the job was sent since it was last refused.
    tokens: Vec<FencingToken>,
    /// Whether the last of `tokens` was added by the last assignment.
    is_last_token_new: bool,
    /// Token of the cell's scheduler that has the job; `None` where the job must be sent again.
    sent_to: Option<FencingToken>,
    /// Whether the job was sent to any scheduler of the cell, so that tasks may have started there.
    was_sent: bool,
    /// When a scheduler was last told that callers wait for the job.
    confirmed_at: Instant,
}

impl OpenJob {
    fn racks(&self) -> Vec<(Arc<str>, u32)> {
        let steps = self.spec.steps.iter();
        let rack = |s: &StepSpec| Some((s.preferred_rack.clone()?, s.count.into()));
        steps.filter_map(rack).collect()
    }

    /// Whether the job was sent to the cell last, so that the cell may have it.
    fn may_be_in(&self, cell: &CellName) -> bool {
        self.was_sent && self.cell.as_ref() == Some(cell)
    }

    /// Lets the job be sent to another cell. After a refusal no task has started, so another cell is safe.
    fn forget_assignment(&mut self) {
        self.had_alternative = false;
        self.sent_to = None;
        self.was_sent = false;
        self.tokens.clear();
    }
}

/// A job that must be sent to a scheduler.
#[derive(Debug)]
pub(super) struct UnsentJob {
    pub(super) id: JobId,
    /// Cell that must get the job, because tasks may have started there; `None` where any
    /// cell may be chosen.
    pub(super) cell: Option<CellName>,
    /// Cells that have refused the job.
    pub(super) refused_by: Vec<CellName>,
    /// Whether a cell has refused the job because of overload.
    pub(super) is_refused: bool,
    /// Cells in which the job would have had to wait.
    pub(super) declined_by: Vec<CellName>,
    /// Racks of the job's data, with the number of tasks that prefer each.
    pub(super) racks: Vec<(Arc<str>, u32)>,
}

/// Figures of an answered job, for its log line.
#[derive(Debug)]
pub(super) struct AnsweredJob {
    pub(super) took: Duration,
    pub(super) queue: Arc<str>,
    pub(super) tasks: usize,
    /// The longest estimated run time among the job's steps.
    pub(super) estimate: Duration,
}

/// Jobs whose callers wait at this entry VM.
#[derive(Debug, Default)]
pub(super) struct PendingJobs {
    /// An ordered map, because callers choose the ids.
    jobs: BTreeMap<JobId, OpenJob>,
    /// When a job last left a cell that may go on with it, by cell.
    departures: BTreeMap<CellName, Instant>,
}

impl PendingJobs {
    /// Adds a job; `false` where its id is pending already, so that both callers get one outcome.
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
            wait_until: now + remaining_wait,
            replies: vec![reply],
            cell: None,
            refused_by: Vec::new(),
            evacuated_cells: 0,
            declined_by: Vec::new(),
            losses: Vec::new(),
            had_alternative: false,
            tokens: Vec::new(),
            is_last_token_new: false,
            sent_to: None,
            was_sent: false,
            confirmed_at: now,
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

    /// A pending job as its caller has submitted it.
    pub(super) fn spec_of(&self, id: JobId) -> Option<&JobSpec> {
        self.jobs.get(&id).map(|j| &j.spec)
    }

    /// Whether a job is pending that has no scheduler.
    pub(super) fn is_unsent(&self, id: JobId) -> bool {
        self.jobs.get(&id).is_some_and(|j| j.sent_to.is_none())
    }

    /// The cell to which the job was assigned last.
    pub(super) fn cell_of(&self, id: JobId) -> Option<CellName> {
        self.jobs.get(&id)?.cell.clone()
    }

    /// Whether the job is assigned to the scheduler of `cell` with `token`.
    pub(super) fn is_assigned_to(&self, id: JobId, cell: &CellName, token: FencingToken) -> bool {
        let job = self.jobs.get(&id);
        job.is_some_and(|j| j.cell.as_ref() == Some(cell) && j.sent_to == Some(token))
    }

    /// Jobs that have no scheduler, or whose scheduler has changed.
    pub(super) fn unsent(&self) -> Vec<UnsentJob> {
        let unsent = self.jobs.iter().filter(|(_, j)| j.sent_to.is_none());
        unsent
            .map(|(&id, job)| UnsentJob {
                id,
                cell: job.cell.clone().filter(|_| job.was_sent),
                refused_by: job.refused_by.clone(),
                is_refused: job.refused_by.len() > job.evacuated_cells,
                declined_by: job.declined_by.clone(),
                racks: job.racks(),
            })
            .collect()
    }

    /// Assigns a job to the scheduler of `cell` with `token`; `None` where the job is not pending.
    /// `has_alternative` says whether another cell has room.
    pub(super) fn assign(
        &mut self,
        id: JobId,
        (cell, has_alternative): (&CellName, bool),
        token: FencingToken,
        origin: EntryVm,
        now: Instant,
    ) -> Option<Submission> {
        let job = self.jobs.get_mut(&id)?;
        let may_have_started = job.was_sent;
        job.had_alternative =
            has_alternative && !may_have_started && !job.declined_by.contains(cell);
        let former_tokens: Vec<_> = job.tokens.iter().copied().filter(|&t| t != token).collect();
        job.is_last_token_new = former_tokens.len() == job.tokens.len();
        if job.is_last_token_new {
            job.tokens.push(token);
        }
        job.cell = Some(cell.clone());
        job.sent_to = Some(token);
        job.was_sent = true;
        job.confirmed_at = now;
        Some(Submission {
            spec: job.spec.clone(),
            origin,
            waited: now.saturating_duration_since(job.arrived),
            remaining_wait: job.wait_until.saturating_duration_since(now),
            as_of: None,
            may_have_started,
            former_tokens,
            has_alternative: job.had_alternative,
            losses: job.losses.clone(),
        })
    }

    /// Keeps which runs of a job were lost with their workers, for its next scheduler.
    pub(super) fn set_losses(&mut self, id: JobId, losses: Vec<(TaskName, Vec<LostRun>)>) {
        if let Some(job) = self.jobs.get_mut(&id) {
            job.losses = losses;
        }
    }

    /// All jobs that a cell may have, if one of them was not confirmed for `interval`, or one has left the cell lately;
    /// `None` if nothing has to be confirmed.
    pub(super) fn to_confirm(
        &self,
        cell: &CellName,
        interval: Duration,
        now: Instant,
    ) -> Option<Vec<JobId>> {
        let age = |at| now.saturating_duration_since(at);
        let departed = self.departures.get(cell);
        let mut is_due = departed.is_some_and(|&at| age(at) < DEPARTURE_TTL);
        let mut ids = Vec::new();
        for (&id, job) in self.jobs.iter().filter(|(_, j)| j.may_be_in(cell)) {
            is_due |= age(job.confirmed_at) >= interval;
            ids.push(id);
        }
        is_due.then_some(ids)
    }

    /// Records that the jobs of a cell were confirmed.
    pub(super) fn confirmed(&mut self, cell: &CellName, now: Instant) {
        for job in self.jobs.values_mut().filter(|j| j.may_be_in(cell)) {
            job.confirmed_at = now;
        }
    }

    /// Marks a cell's jobs as unsent: its scheduler may not have them, or its answers may be lost.
    pub(super) fn mark_unsent(&mut self, cell: &CellName) {
        let of_cell = |j: &&mut OpenJob| j.cell.as_ref() == Some(cell);
        for job in self.jobs.values_mut().filter(of_cell) {
            job.sent_to = None;
        }
    }

    /// Reverts the assignment of a job whose submission could not be queued for its scheduler.
    pub(super) fn unassign(&mut self, submission: &Submission) {
        if let Some(job) = self.jobs.get_mut(&submission.spec.id) {
            job.sent_to = None;
            job.was_sent = submission.may_have_started;
            if std::mem::take(&mut job.is_last_token_new) {
                job.tokens.pop();
            }
        }
    }

    /// Whether a refusal by the job's present scheduler says that the job has not run: `false` once the
    /// job was sent to schedulers on several VMs, as another one may have started it.
    pub(super) fn is_refusal_conclusive(&self, id: JobId) -> bool {
        let Some(job) = self.jobs.get(&id) else {
            return true;
        };
        job.tokens.windows(2).all(|t| t[0].is_of_same_vm(t[1]))
    }

    /// Records that the job's cell has refused it, or left it to another cell; `true` where another
    /// cell may be tried.
    pub(super) fn try_other_cell(&mut self, id: JobId) -> bool {
        let Some(job) = self.jobs.get_mut(&id) else {
            return false;
        };
        if job.had_alternative {
            job.declined_by.extend(job.cell.take());
        } else if job.refused_by.len() - job.evacuated_cells + 1 >= MAX_CELLS {
            return false;
        } else {
            job.refused_by.extend(job.cell.take());
        }
        job.forget_assignment();
        true
    }

    /// Records that the job's cell is evacuated; `true` where the job is pending. Such a refusal says nothing of the
    /// load, so it does not count towards the cells that a job is offered to.
    pub(super) fn leave_evacuated_cell(&mut self, id: JobId) -> bool {
        let Some(job) = self.jobs.get_mut(&id) else {
            return false;
        };
        job.evacuated_cells += 1;
        job.refused_by.extend(job.cell.take());
        // The cell that left the job to this one is in the same data centre, to which the job is not tied any more.
        job.declined_by.clear();
        job.forget_assignment();
        true
    }

    /// Sends the outcome to all callers of a job, and removes the job.
    pub(super) fn answer(&mut self, id: JobId, outcome: JobOutcome) -> Option<AnsweredJob> {
        if matches!(outcome, JobOutcome::TimedOut | JobOutcome::Cancelled) {
            self.note_departure(id);
        }
        let job = self.jobs.remove(&id)?;
        for reply in job.replies {
            // The send fails only where the caller has closed its request.
            let _ = reply.send(outcome);
        }
        let estimates = job.spec.steps.iter().map(|s| s.estimate);
        Some(AnsweredJob {
            took: job.arrived.elapsed(),
            queue: Arc::clone(&job.spec.queue),
            tasks: job.spec.task_count(),
            estimate: estimates.max().unwrap_or_default(),
        })
    }

    /// Removes callers that have closed their requests; `true` where the job has none left.
    pub(super) fn abandon(&mut self, id: JobId) -> bool {
        let Some(job) = self.jobs.get_mut(&id) else {
            return false;
        };
        job.replies.retain(|r| !r.is_closed());
        job.replies.is_empty()
    }

    /// Jobs without a caller: all have closed their requests. With `only_unsent`, those that have no scheduler.
    pub(super) fn without_caller(&self, only_unsent: bool) -> Vec<JobId> {
        let is_left = |job: &OpenJob| job.replies.iter().all(oneshot::Sender::is_closed);
        let is_asked_for = |job: &OpenJob| !only_unsent || job.sent_to.is_none();
        let jobs = self.jobs.iter();
        let left = jobs.filter(|(_, j)| is_asked_for(j) && is_left(j));
        left.map(|(&id, _)| id).collect()
    }

    /// Shortens all waits by a time that the steady clock has not counted, as callers were not suspended.
    pub(super) fn suspended(&mut self, uncounted: Duration) {
        for job in self.jobs.values_mut() {
            job.arrived = job.arrived.checked_sub(uncounted).unwrap_or(job.arrived);
            job.wait_until = job.wait_until.checked_sub(uncounted).unwrap_or(job.arrived);
        }
    }

    /// Removes a job without an answer, because it has no caller left.
    pub(super) fn remove(&mut self, id: JobId) {
        self.note_departure(id);
        self.jobs.remove(&id);
    }

    /// Records that a job leaves its cell without an answer that ends it there.
    fn note_departure(&mut self, id: JobId) {
        let job = self.jobs.get(&id).filter(|j| j.was_sent);
        if let Some(cell) = job.and_then(|j| j.cell.clone()) {
            self.departures.insert(cell, Instant::now());
        }
    }

    /// Jobs whose wait is over without an answer of a scheduler, with their outcomes.
    pub(super) fn overdue(&self, now: Instant) -> Vec<(JobId, JobOutcome)> {
        let refusal = JobOutcome::Refused {
            reason: RefusalReason::NoScheduler,
            retry_after: RETRY_AFTER,
        };
        let outcome = |job: &OpenJob| {
            if !job.was_sent && now >= (job.arrived + SCHEDULER_WAIT).min(job.wait_until) {
                return Some(refusal);
            }
            (now >= job.wait_until + ANSWER_MARGIN).then_some(JobOutcome::TimedOut)
        };
        let jobs = self.jobs.iter();
        jobs.filter_map(|(&id, job)| Some((id, outcome(job)?)))
            .collect()
    }
}
