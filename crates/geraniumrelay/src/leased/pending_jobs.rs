//! Pending jobs: jobs whose callers wait for the outcome at this entry VM.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use geraniumrelay_core::leased::attempt::{Answer, Attempt, Evidence};
use geraniumrelay_core::leased::cells::CellName;
use geraniumrelay_core::leased::{
    AttemptId, EntryVm, FencingToken, JobId, JobOutcome, JobSpec, LostRun, RefusalReason, StepSpec,
    Submission, SubmissionId, TaskName,
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
    attempt: Attempt,
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
        self.attempt.was_sent() && self.cell.as_ref() == Some(cell)
    }

    /// Lets the job be sent to another cell. After a refusal no task has started, so another cell is safe.
    fn begin_attempt(&mut self, id: AttemptId) {
        self.had_alternative = false;
        self.attempt = Attempt::new(id, self.spec.is_durable);
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
    /// The last attempt that has begun.
    last_attempt: u64,
    /// An ordered map, because callers choose the ids.
    jobs: BTreeMap<JobId, OpenJob>,
    /// When a job last left a cell that may go on with it, by cell.
    departures: BTreeMap<CellName, Instant>,
}

impl PendingJobs {
    /// Creates pending jobs whose attempts are numbered from above `last_attempt`, which must differ from that of any
    /// earlier process of this VM.
    pub(super) fn new(last_attempt: u64) -> Self {
        Self {
            last_attempt,
            ..Self::default()
        }
    }

    /// Begins an attempt; 0 is the number of none.
    fn next_attempt(&mut self) -> AttemptId {
        self.last_attempt = self.last_attempt.wrapping_add(1).max(1);
        AttemptId(self.last_attempt)
    }

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
            attempt: Attempt::new(self.next_attempt(), spec.is_durable),
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
        self.jobs.get(&id).is_some_and(|j| j.attempt.is_due())
    }

    /// The cell to which the job was assigned last.
    pub(super) fn cell_of(&self, id: JobId) -> Option<CellName> {
        self.jobs.get(&id)?.cell.clone()
    }

    /// Name of the last copy of a job's submission that has left this VM.
    pub(super) fn last_submission(&self, id: JobId) -> Option<SubmissionId> {
        self.jobs.get(&id)?.attempt.last_submission()
    }

    /// What an answer of the scheduler of `cell` with `token` says about a pending job.
    pub(super) fn judge(
        &self,
        id: JobId,
        submission: Option<SubmissionId>,
        outcome: JobOutcome,
        (cell, token): (&CellName, FencingToken),
    ) -> Option<Evidence> {
        let job = self.jobs.get(&id)?;
        let is_of_cell = job.cell.as_ref() == Some(cell);
        Some(job.attempt.judge(&Answer {
            submission,
            outcome,
            token: is_of_cell.then_some(token),
        }))
    }

    /// Jobs that have no scheduler, or whose scheduler has changed.
    pub(super) fn unsent(&self) -> Vec<UnsentJob> {
        let unsent = self.jobs.iter().filter(|(_, j)| j.attempt.is_due());
        unsent
            .map(|(&id, job)| UnsentJob {
                id,
                cell: job.cell.clone().filter(|_| job.attempt.was_sent()),
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
        let may_have_started = job.attempt.was_sent();
        job.had_alternative =
            has_alternative && !may_have_started && !job.declined_by.contains(cell);
        let former_tokens = job.attempt.former_tokens(token);
        job.cell = Some(cell.clone());
        job.confirmed_at = now;
        Some(Submission {
            spec: job.spec.clone(),
            origin,
            name: Some(job.attempt.send_to(token)),
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
            job.attempt.send_again();
        }
    }

    /// Reverts the assignment of a job whose submission could not be queued for its scheduler.
    pub(super) fn unassign(&mut self, id: JobId) {
        if let Some(job) = self.jobs.get_mut(&id) {
            job.attempt.revert_send();
        }
    }

    /// Lets a job that its former scheduler has not run be sent to the present one as a new job.
    pub(super) fn begin_anew(&mut self, id: JobId) -> bool {
        let next = self.next_attempt();
        let Some(job) = self.jobs.get_mut(&id).filter(|j| j.attempt.is_due()) else {
            return false;
        };
        job.begin_attempt(next);
        true
    }

    /// Records that the job's cell has refused it, or left it to another cell; `true` where another
    /// cell may be tried.
    pub(super) fn try_other_cell(&mut self, id: JobId) -> bool {
        let next = self.next_attempt();
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
        job.begin_attempt(next);
        true
    }

    /// Records that the job's cell is evacuated; `true` where the job is pending. Such a refusal says nothing of the
    /// load, so it does not count towards the cells that a job is offered to.
    pub(super) fn leave_evacuated_cell(&mut self, id: JobId) -> bool {
        let next = self.next_attempt();
        let Some(job) = self.jobs.get_mut(&id) else {
            return false;
        };
        job.evacuated_cells += 1;
        job.refused_by.extend(job.cell.take());
        // The cell that left the job to this one is in the same data centre, to which the job is not tied any more.
        job.declined_by.clear();
        job.begin_attempt(next);
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
        let is_asked_for = |job: &OpenJob| !only_unsent || job.attempt.is_due();
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
        let job = self.jobs.get(&id).filter(|j| j.attempt.was_sent());
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
            if !job.attempt.was_sent() && now >= (job.arrived + SCHEDULER_WAIT).min(job.wait_until)
            {
                return Some(refusal);
            }
            (now >= job.wait_until + ANSWER_MARGIN).then_some(JobOutcome::TimedOut)
        };
        let jobs = self.jobs.iter();
        jobs.filter_map(|(&id, job)| Some((id, outcome(job)?)))
            .collect()
    }
}
