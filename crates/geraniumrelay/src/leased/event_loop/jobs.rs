//! Jobs of the callers at this VM: sent to schedulers, answered, withdrawn.

use std::sync::Arc;
use std::time::Instant;

use geraniumrelay_core::collections::Set;
use geraniumrelay_core::leased::attempt::Evidence;
use geraniumrelay_core::leased::cell_choice::{self, Candidate, Request};
use geraniumrelay_core::leased::cells::CellName;
use geraniumrelay_core::leased::{
    Command, EntryVm, FencingToken, JobId, JobOutcome, JobState, RefusalReason, Submission,
    SubmissionId,
};
use geraniumrelay_wire::leased::peer_message::Body;
use geraniumrelay_wire::leased::{Submit, Withdraw};
use log::{info, warn};

use super::EventLoop;
use super::crossings::crossing_reason;
use crate::leased::cell::Cell;
use crate::leased::convert;
use crate::leased::links::{self, Link};
use crate::leased::pending_jobs::UnsentJob;

/// Chooses a cell for a job that has none.
fn choose_cell(req: &Request<'_>, is_refused: bool, candidates: &[Candidate]) -> Option<CellName> {
    if is_refused {
        cell_choice::choose_after_refusal(req, candidates)
    } else if req.declined_by.is_empty() {
        cell_choice::choose(req, candidates)
    } else {
        cell_choice::choose_alternative(req, candidates)
    }
}

impl EventLoop {
    /// Sends each unsent job to the present scheduler of its cell. Once a scheduler's queue is full,
    /// its other jobs wait for the next call. After a pause all wait until it is known which callers are left.
    pub(super) fn send_unsent_jobs(&mut self) {
        if Instant::now() < self.holds_jobs_until {
            return;
        }
        for id in self.pending_jobs.without_caller(true) {
            self.abandon(id);
        }
        // Each job that arrives meanwhile would cost a look at all that wait.
        let has_scheduler = |c: &Cell| c.election.current().is_some();
        let may_be_handled = |c: &Cell| has_scheduler(c) || self.is_evacuated(c);
        if !self.cells.values().any(may_be_handled) {
            return;
        }
        let mut full = Set::default();
        for unsent in self.pending_jobs.unsent() {
            self.assign_job(&unsent, &mut full);
        }
    }

    /// Assigns a job to a cell with a scheduler, and sends it; unsent where there is no scheduler, or
    /// its queue is full. Adds such a scheduler to `full`.
    fn assign_job(&mut self, unsent: &UnsentJob, full: &mut Set<EntryVm>) {
        let (id, now) = (unsent.id, Instant::now());
        let data_centre = Arc::clone(&self.components.data_centre);
        let data = self.directory.data_centre_of_data(&unsent.racks).cloned();
        let req = Request {
            id,
            data_centre: &data_centre,
            data: data.as_deref(),
            declined_by: &unsent.declined_by,
            refused_by: &unsent.refused_by,
        };
        let candidates = match unsent.cell {
            Some(_) => Vec::new(),
            None => self.candidates(now),
        };
        let cell = unsent.cell.clone();
        let cell = cell.or_else(|| choose_cell(&req, unsent.is_refused, &candidates));
        let Some(name) = cell else {
            self.refuse_evacuated(id);
            return;
        };
        let current = self.cells.get(&name).and_then(|c| c.election.current());
        let Some((to, token)) = current else { return };
        if full.contains(&to) {
            return;
        }
        let own = self.components.vm;
        let has_alternative = cell_choice::has_alternative(&req, &name, &candidates);
        let cell = (&name, has_alternative);
        // Without a heartbeat its run would have no bound; one is known by the end of this pass.
        let Some(as_of_ms) = self.as_of_ms(to) else {
            full.insert(to);
            return;
        };
        let Some(submission) = self.pending_jobs.assign(id, cell, token, own, now) else {
            return;
        };
        if !self.send_job(to, &name, submission, as_of_ms) {
            full.insert(to);
        } else if unsent.cell.is_none()
            && let Some(reason) = crossing_reason(&req, unsent, &name, &candidates)
        {
            self.on_crossing(&req, (&name, reason), &candidates);
        }
    }

    /// Heartbeat of a scheduler's VM that is echoed with jobs; `None` where they have to wait for one.
    fn as_of_ms(&self, to: EntryVm) -> Option<u64> {
        if to == self.components.vm {
            return Some(0);
        }
        self.heartbeat_clock.as_of_ms(to)
    }

    /// Sends a submission to a scheduler here or on a peer; `false` if the send failed and left the
    /// job unsent.
    fn send_job(
        &mut self,
        to: EntryVm,
        cell: &CellName,
        submission: Submission,
        as_of_ms: u64,
    ) -> bool {
        let id = submission.spec.id;
        if let Some(name) = submission.name.filter(|n| n.copy > 1) {
            let may_have_started = submission.may_have_started;
            info!(id:% = id, cell:% = cell, to:% = to, submission:% = name, may_have_started; "job_sent_again");
        }
        if to == self.components.vm {
            self.handle_command(cell, Command::Submit(submission));
            return true;
        }
        let submit = Submit {
            as_of_ms,
            ..convert::submission_to_wire(&submission, cell)
        };
        let message = links::frame(Body::Submit(submit));
        let is_sent = self.links.get(&to).is_some_and(|link| link.send(message));
        if !is_sent {
            warn!(id:% = id, to:% = to; "job_not_passed_on");
            self.pending_jobs.unassign(id);
        }
        is_sent
    }

    /// Cells that have a scheduler and are not evacuated.
    fn candidates(&self, now: Instant) -> Vec<Candidate> {
        let is_open = |c: &&Cell| c.election.current().is_some() && !self.is_evacuated(c);
        let candidate = |c: &Cell| Candidate {
            name: c.name.clone(),
            load: c.load(now),
        };
        let open = self.cells.values().filter(is_open);
        open.map(candidate).collect()
    }

    /// Withdraws and removes a job once no caller waits for it.
    pub(super) fn abandon(&mut self, id: JobId) {
        if self.pending_jobs.abandon(id) {
            info!(id:% = id; "caller_left");
            self.withdraw(id);
            self.pending_jobs.remove(id);
        }
    }

    /// Tells the job's scheduler that no caller at this VM waits for the job.
    pub(super) fn withdraw(&mut self, id: JobId) {
        if let Some(cell) = self.pending_jobs.cell_of(id) {
            self.withdraw_from(id, &cell);
        }
    }

    pub(super) fn withdraw_from(&mut self, id: JobId, name: &CellName) {
        let current = self.cells.get(name).and_then(|c| c.election.current());
        match current {
            Some((vm, _)) if vm == self.components.vm => {
                let origin = self.components.vm;
                self.handle_command(name, Command::Withdraw { id, origin });
            }
            Some((vm, _)) => {
                let cell = name.to_string();
                let message = links::frame(Body::Withdraw(Withdraw { id: id.0, cell }));
                let link = self.links.get(&vm);
                if !link.is_some_and(|link| link.send(message)) {
                    let is_connected = link.is_some_and(Link::is_connected);
                    let reason = if is_connected {
                        "queue-full"
                    } else {
                        "no-link"
                    };
                    self.on_withdrawal_not_sent(id, name, reason);
                }
            }
            None => self.on_withdrawal_not_sent(id, name, "no-scheduler"),
        }
    }

    fn on_withdrawal_not_sent(&self, id: JobId, cell: &CellName, reason: &str) {
        warn!(id:% = id, cell:% = cell, reason; "withdrawal_not_sent");
        self.components.metrics.count_unsent_withdrawal(reason);
    }

    /// Sends a message to another entry VM; dropped and logged where no link accepts it.
    pub(super) fn send(&self, to: EntryVm, body: Body) {
        let message = links::frame(body);
        if !self.links.get(&to).is_some_and(|link| link.send(message)) {
            warn!(to:% = to; "message_dropped");
        }
    }

    /// State of a job by the schedulers here and the pending jobs; `None` where the job is unknown.
    pub(super) fn state_of(&self, id: JobId) -> Option<JobState> {
        let mut schedulers = self.cells.values().filter_map(|c| c.scheduler.as_ref());
        let known = schedulers.find_map(|s| s.state_of(id));
        known.or_else(|| self.pending_jobs.contains(id).then_some(JobState::Queued))
    }

    /// Handles a scheduler's answer on a job.
    pub(super) fn on_answer(
        &mut self,
        (id, submission): (JobId, Option<SubmissionId>),
        outcome: JobOutcome,
        cell: &CellName,
        token: FencingToken,
    ) {
        self.log_answer_of_other_copy((id, submission), outcome, cell);
        let from = (cell, token);
        let Some(evidence) = self.pending_jobs.judge(id, submission, outcome, from) else {
            return;
        };
        match evidence {
            Evidence::OfOtherCopy => {}
            Evidence::NotRun => self.on_refused(id, outcome, cell),
            Evidence::MayHaveRun => {
                warn!(id:% = id, cell:% = cell, token:% = token; "refusal_inconclusive");
                self.withdraw(id);
                self.answer(id, JobOutcome::TimedOut);
            }
            Evidence::Ended => self.answer(id, outcome),
            Evidence::EndedElsewhere | Evidence::GivenUp => {
                self.withdraw(id);
                self.answer(id, outcome);
            }
        }
    }

    /// Sends a job to another scheduler that one has refused, or answers its callers. No copy of it is left anywhere.
    fn on_refused(&mut self, id: JobId, refusal: JobOutcome, cell: &CellName) {
        let JobOutcome::Refused { reason, .. } = refusal else {
            return;
        };
        match reason {
            RefusalReason::Evacuated => self.on_refused_by_evacuation(id, cell),
            RefusalReason::Overload
                if self.cells.len() > 1 && self.pending_jobs.try_other_cell(id) =>
            {
                self.send_refused_job(id, refusal);
            }
            RefusalReason::NoScheduler if self.pending_jobs.begin_anew(id) => {
                self.send_unsent_jobs();
            }
            _ => self.answer(id, refusal),
        }
    }

    /// Logs an answer that names another copy than the last one that was sent.
    fn log_answer_of_other_copy(
        &self,
        (id, submission): (JobId, Option<SubmissionId>),
        outcome: JobOutcome,
        cell: &CellName,
    ) {
        let last = self.pending_jobs.last_submission(id);
        if let Some((answered, last)) = submission.zip(last).filter(|(a, l)| a != l) {
            info!(id:% = id, cell:% = cell, answered:% = answered, last:% = last, outcome:? = outcome; "answer_of_other_copy");
        }
    }

    /// Sends a job that a cell has refused to another one, or answers it if there is none.
    pub(super) fn send_refused_job(&mut self, id: JobId, refusal: JobOutcome) {
        self.send_unsent_jobs();
        if self.pending_jobs.is_unsent(id) {
            self.answer(id, refusal);
        }
    }

    /// Sends the outcome to the job's callers, and logs it.
    pub(super) fn answer(&mut self, id: JobId, outcome: JobOutcome) {
        let last = self.pending_jobs.last_submission(id);
        let Some(job) = self.pending_jobs.answer(id, outcome) else {
            return;
        };
        let took_ms = job.took.as_millis();
        let submission = last.map_or_else(|| "none".to_owned(), |last| last.to_string());
        let submission = submission.as_str();
        let (queue, tasks, estimate_ms) = (&*job.queue, job.tasks, job.estimate.as_millis());
        match outcome {
            JobOutcome::Refused {
                reason,
                retry_after,
            } => {
                let retry_after_ms = retry_after.as_millis();
                info!(id:% = id, submission, outcome = "refused", reason:% = reason, retry_after_ms, took_ms, queue, tasks, estimate_ms; "job_answered");
            }
            other => {
                info!(id:% = id, submission, outcome:? = other, took_ms, queue, tasks, estimate_ms; "job_answered");
            }
        }
    }
}
