//! Jobs of the callers at this VM: sent to schedulers, answered, withdrawn.

use std::time::Instant;

use geraniumrelay_core::collections::Set;
use geraniumrelay_core::leased::cells::{self, Candidate, CellName};
use geraniumrelay_core::leased::{
    Command, EntryVm, FencingToken, JobId, JobOutcome, JobState, RefusalReason, Submission,
};
use geraniumrelay_wire::leased::peer_message::Body;
use geraniumrelay_wire::leased::{Cancel, Withdraw};
use log::{info, warn};

use super::EventLoop;
use crate::leased::cell::Cell;
use crate::leased::convert;
use crate::leased::links;
use crate::leased::pending_jobs::{self, UnsentJob};

fn candidate(cell: &Cell) -> Candidate {
    Candidate {
        name: cell.name.clone(),
        load: cell.load_percent,
    }
}

impl EventLoop {
    /// Sends each unsent job to the present scheduler of its cell. Once a scheduler's queue is full,
    /// its other jobs wait for the next call.
    pub(super) fn send_unsent_jobs(&mut self) {
        let mut full = Set::default();
        for unsent in self.pending_jobs.unsent() {
            self.assign_job(&unsent, &mut full);
        }
    }

    /// Assigns a job to a cell with a scheduler, and sends it; unsent where there is no scheduler, or
    /// its queue is full. Adds such a scheduler to `full`.
    fn assign_job(&mut self, unsent: &UnsentJob, full: &mut Set<EntryVm>) {
        let id = unsent.id;
        let Some(name) = unsent.cell.clone().or_else(|| self.choose_cell(unsent)) else {
            self.refuse_evacuated(id);
            return;
        };
        let current = self.cells.get(&name).and_then(|c| c.election.current());
        let Some((to, token)) = current else { return };
        if full.contains(&to) {
            return;
        }
        let (own, now) = (self.components.vm, Instant::now());
        let has_alternative = self.has_alternative(unsent, &name);
        let cell = (&name, has_alternative);
        let Some(submission) = self.pending_jobs.assign(id, cell, token, own, now) else {
            return;
        };
        if !self.send_job(to, &name, submission) {
            full.insert(to);
        }
    }

    /// Sends a submission to a scheduler here or on a peer; `false` if the send failed and left the
    /// job unsent.
    fn send_job(&mut self, to: EntryVm, cell: &CellName, submission: Submission) -> bool {
        if to == self.components.vm {
            self.handle_command(cell, Command::Submit(submission));
            return true;
        }
        let id = submission.spec.id;
        let message = links::frame(Body::Submit(convert::submission_to_wire(&submission, cell)));
        let is_sent = self.links.get(&to).is_some_and(|link| link.send(message));
        if !is_sent {
            warn!(id:% = id, to:% = to; "job_not_passed_on");
            self.pending_jobs.unassign(&submission);
        }
        is_sent
    }

    /// Chooses among the cells that have a scheduler and have not refused the job; the cell that has left
    /// it to another one comes last. A job is not tied to that cell's data centre while it is evacuated.
    pub(super) fn choose_cell(&self, unsent: &UnsentJob) -> Option<CellName> {
        let is_open = |c: &&Cell| unsent.declined_by.as_ref() != Some(&c.name);
        let open = self.candidates(unsent).filter(is_open).map(candidate);
        let open: Vec<Candidate> = open.collect();
        let chosen = cells::choose(unsent.id, &self.components.data_centre, &open);
        let is_evacuated = |c: &&CellName| {
            c.data_centre()
                .is_some_and(|n| self.evacuations.contains(n))
        };
        let Some(declined) = unsent.declined_by.as_ref().filter(|c| !is_evacuated(c)) else {
            return chosen;
        };
        // A cell elsewhere is chosen only if those of this data centre are full.
        let is_same_data_centre = |c: &CellName| c.data_centre() == declined.data_centre();
        let other = chosen.filter(is_same_data_centre);
        other.or_else(|| {
            let mut candidates = self.candidates(unsent);
            let is_declined = |c: &&Cell| c.name == *declined;
            candidates.find(is_declined).map(|c| c.name.clone())
        })
    }

    /// Cells that have a scheduler, are not evacuated and have not refused the job.
    fn candidates(&self, unsent: &UnsentJob) -> impl Iterator<Item = &Cell> {
        self.cells.values().filter(|c| {
            c.election.current().is_some()
                && !unsent.refused_by.contains(&c.name)
                && !self.is_evacuated(c)
        })
    }

    /// Whether a cell of the same data centre as `chosen`, which has not had the job, has room by its last
    /// report.
    fn has_alternative(&self, unsent: &UnsentJob, chosen: &CellName) -> bool {
        let is_other = |c: &&Cell| {
            c.name != *chosen
                && c.name.data_centre() == chosen.data_centre()
                && unsent.declined_by.as_ref() != Some(&c.name)
        };
        let mut others = self.candidates(unsent).filter(is_other);
        others.any(|c| pending_jobs::has_room(c.load_percent))
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
                let (id, cell) = (id.0, name.to_string());
                self.send(vm, Body::Withdraw(Withdraw { id, cell }));
            }
            None => {}
        }
    }

    /// Sends a cancellation to the schedulers of all cells, because the job may have been submitted
    /// at another VM.
    pub(super) fn cancel(&mut self, id: JobId) {
        for name in self.cell_names() {
            let current = self.cells.get(&name).and_then(|c| c.election.current());
            match current {
                Some((vm, _)) if vm == self.components.vm => {
                    self.handle_command(&name, Command::Cancel { id });
                }
                Some((vm, _)) => {
                    let (id, cell) = (id.0, name.to_string());
                    self.send(vm, Body::Cancel(Cancel { id, cell }));
                }
                None => {}
            }
        }
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

    /// Handles a scheduler's answer on a job. Where the job has been assigned to another scheduler
    /// since, only an answer that the job has ended is accepted.
    pub(super) fn on_answer(
        &mut self,
        id: JobId,
        outcome: JobOutcome,
        cell: &CellName,
        token: FencingToken,
    ) {
        let is_overload = matches!(
            outcome,
            JobOutcome::Refused {
                reason: RefusalReason::Overload,
                ..
            }
        );
        if self.pending_jobs.is_assigned_to(id, cell, token) {
            if matches!(outcome, JobOutcome::Refused { .. })
                && !self.pending_jobs.is_refusal_conclusive(id)
            {
                warn!(id:% = id, cell:% = cell, token:% = token; "refusal_inconclusive");
                self.answer(id, JobOutcome::TimedOut);
                return;
            }
            let is_evacuated = matches!(
                outcome,
                JobOutcome::Refused {
                    reason: RefusalReason::Evacuated,
                    ..
                }
            );
            if is_evacuated {
                self.on_refused_by_evacuation(id, cell);
                return;
            }
            if is_overload && self.cells.len() > 1 && self.pending_jobs.try_other_cell(id) {
                self.send_refused_job(id, outcome);
                return;
            }
            self.answer(id, outcome);
        } else if matches!(outcome, JobOutcome::Completed | JobOutcome::Failed) {
            self.withdraw(id);
            self.answer(id, outcome);
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
        let Some(job) = self.pending_jobs.answer(id, outcome) else {
            return;
        };
        let took_ms = job.took.as_millis();
        let (queue, tasks, estimate_ms) = (&*job.queue, job.tasks, job.estimate.as_millis());
        match outcome {
            JobOutcome::Refused {
                reason,
                retry_after,
            } => {
                let retry_after_ms = retry_after.as_millis();
                info!(id:% = id, outcome = "refused", reason:% = reason, retry_after_ms, took_ms, queue, tasks, estimate_ms; "job_answered");
            }
            other => {
                info!(id:% = id, outcome:? = other, took_ms, queue, tasks, estimate_ms; "job_answered");
            }
        }
    }
}
