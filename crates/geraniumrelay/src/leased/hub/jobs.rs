//! Jobs of callers at this VM: passed to schedulers, answered, withdrawn.

use std::time::Instant;

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
use crate::leased::desk::Unsent;
use crate::leased::links;

impl EventLoop {
    /// Gives the present schedulers the jobs that they have not been given.
    pub(super) fn pass_jobs_on(&mut self) {
        for unsent in self.desk.unsent() {
            self.pass_job_on(&unsent);
        }
    }

    pub(super) fn pass_job_on(&mut self, unsent: &Unsent) {
        let id = unsent.id;
        let Some(name) = unsent.cell.clone().or_else(|| self.choose_cell(unsent)) else {
            return;
        };
        let current = self.cells.get(&name).and_then(|c| c.election.current());
        let Some((to, token)) = current else { return };
        let (own, now) = (self.parts.vm, Instant::now());
        let Some(submission) = self.desk.assign(id, &name, token, own, now) else {
            return;
        };
        self.send_job(to, &name, submission);
    }

    pub(super) fn send_job(&mut self, to: EntryVm, cell: &CellName, submission: Submission) {
        if to == self.parts.vm {
            self.command(cell, Command::Submit(submission));
            return;
        }
        let id = submission.spec.id;
        let message = links::frame(Body::Submit(convert::submission_to_wire(&submission, cell)));
        let is_sent = self.links.get(&to).is_some_and(|link| link.send(message));
        if !is_sent {
            warn!(id:% = id, to:% = to; "job_not_passed_on");
            self.desk.mark_job_unsent(id);
        }
    }

    pub(super) fn choose_cell(&self, unsent: &Unsent) -> Option<CellName> {
        let is_open =
            |c: &&Cell| c.election.current().is_some() && !unsent.refused_by.contains(&c.name);
        let open = self.cells.values().filter(is_open);
        let candidates: Vec<Candidate> = open
            .map(|c| Candidate {
                name: c.name.clone(),
                load: c.load,
            })
            .collect();
        cells::choose(unsent.id, &self.parts.data_centre, &candidates)
    }

    pub(super) fn abandon(&mut self, id: JobId) {
        if self.desk.abandon(id) {
            info!(id:% = id; "caller_left");
            self.withdraw(id);
            self.desk.remove(id);
        }
    }

    /// Tells the job's scheduler that nobody here waits for it any more.
    pub(super) fn withdraw(&mut self, id: JobId) {
        if let Some(cell) = self.desk.cell_of(id) {
            self.withdraw_from(id, &cell);
        }
    }

    pub(super) fn withdraw_from(&mut self, id: JobId, name: &CellName) {
        let current = self.cells.get(name).and_then(|c| c.election.current());
        match current {
            Some((vm, _)) if vm == self.parts.vm => {
                let origin = self.parts.vm;
                self.command(name, Command::Withdraw { id, origin });
            }
            Some((vm, _)) => {
                let (id, cell) = (id.0, name.to_string());
                self.send(vm, Body::Withdraw(Withdraw { id, cell }));
            }
            None => {}
        }
    }

    /// Ends a job wherever it is: the caller may have handed it in at another VM.
    pub(super) fn cancel(&mut self, id: JobId) {
        for name in self.names() {
            let current = self.cells.get(&name).and_then(|c| c.election.current());
            match current {
                Some((vm, _)) if vm == self.parts.vm => {
                    self.command(&name, Command::Cancel { id });
                }
                Some((vm, _)) => {
                    let (id, cell) = (id.0, name.to_string());
                    self.send(vm, Body::Cancel(Cancel { id, cell }));
                }
                None => {}
            }
        }
    }

    pub(super) fn send(&self, to: EntryVm, body: Body) {
        let message = links::frame(body);
        if !self.links.get(&to).is_some_and(|link| link.send(message)) {
            warn!(to:% = to; "message_dropped");
        }
    }

    pub(super) fn state_of(&self, id: JobId) -> Option<JobState> {
        let mut schedulers = self.cells.values().filter_map(|c| c.scheduler.as_ref());
        let known = schedulers.find_map(|s| s.state_of(id));
        known.or_else(|| self.desk.contains(id).then_some(JobState::Queued))
    }

    /// Takes a scheduler's word on a job. Where another one has been given the job since, only the
    /// word that it has ended still holds.
    pub(super) fn take_answer(
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
        if self.desk.is_assigned_to(id, cell, token) {
            if is_overload && self.cells.len() > 1 && self.desk.try_other_cell(id) {
                self.pass_jobs_on();
                return;
            }
            self.answer(id, outcome);
        } else if matches!(outcome, JobOutcome::Completed | JobOutcome::Failed) {
            self.withdraw(id);
            self.answer(id, outcome);
        }
    }

    pub(super) fn answer(&mut self, id: JobId, outcome: JobOutcome) {
        let Some(job) = self.desk.answer(id, outcome) else {
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
