//! Cancellations: passed on to the schedulers of all cells, and confirmed by them.

use std::time::Instant;

use geraniumrelay_core::leased::cells::CellName;
use geraniumrelay_core::leased::{Command, EntryVm, JobId, JobOutcome, JobRecord, RecordState};
use geraniumrelay_wire::leased::peer_message::Body;
use geraniumrelay_wire::leased::{Cancel, CancelReply};
use log::info;
use tokio::sync::oneshot;

use super::EventLoop;
use crate::leased::cancellations::{Confirmation, WaitingJob};
use crate::leased::convert;
use crate::leased::links;

impl EventLoop {
    /// Ends the wait for a cancelled best-effort job at this VM, so that it is neither confirmed nor sent again. A
    /// durable job goes on to wait for its acceptance.
    pub(super) fn cancel_waiting(&mut self, id: JobId) -> WaitingJob {
        let Some(spec) = self.pending_jobs.spec_of(id) else {
            return WaitingJob::None;
        };
        if !spec.is_durable {
            self.answer(id, JobOutcome::Cancelled);
            return WaitingJob::BestEffort;
        }
        let cell = self.pending_jobs.cell_of(id);
        let Some(cell) = cell.or_else(|| self.cells.keys().next().cloned()) else {
            return WaitingJob::None;
        };
        WaitingJob::Durable(Box::new(JobRecord {
            spec: spec.clone(),
            cell,
            done: Vec::new(),
            progress: Vec::new(),
            state: RecordState::Cancelled,
        }))
    }

    /// Sends a cancellation to the schedulers of all cells, because the job may have been submitted at another VM.
    pub(super) fn cancel(&mut self, id: JobId, confirmed: oneshot::Sender<Confirmation>) {
        let cells = self.cell_names();
        let now = Instant::now();
        self.cancellations.add(id, cells.clone(), confirmed, now);
        for cell in &cells {
            self.send_cancellation(id, cell);
        }
    }

    /// Sends cancellations again that schedulers have not confirmed.
    pub(super) fn resend_cancellations(&mut self, now: Instant) {
        for (id, cell) in self.cancellations.due(now) {
            self.send_cancellation(id, &cell);
        }
    }

    fn send_cancellation(&mut self, id: JobId, cell: &CellName) {
        let current = self.cells.get(cell).and_then(|c| c.election.current());
        let Some((vm, _)) = current else {
            info!(id:% = id, cell:% = cell, reason = "no-scheduler"; "cancel_not_sent");
            return;
        };
        if vm == self.components.vm {
            if let Some(found) = self.cancel_here(id, cell) {
                self.cancellations.confirm(id, cell, found);
            }
            return;
        }
        let body = Body::Cancel(Cancel {
            id: id.0,
            cell: cell.to_string(),
        });
        let link = self.links.get(&vm);
        let is_sent = link.is_some_and(|link| link.send(links::frame(body)));
        info!(id:% = id, cell:% = cell, to:% = vm, is_sent; "cancel_passed_on");
    }

    /// Cancels a job at the cell's scheduler in this process; `None` where another VM schedules the cell.
    fn cancel_here(&mut self, id: JobId, cell: &CellName) -> Option<Confirmation> {
        let scheduler = self.cells.get(cell)?.scheduler.as_ref()?;
        let found = match scheduler.is_durable(id) {
            None => Confirmation::NotFound,
            Some(false) => Confirmation::Ended,
            Some(true) => Confirmation::Durable,
        };
        self.handle_command(cell, Command::Cancel { id });
        Some(found)
    }

    /// Handles the confirmation of a cell's scheduler. A former scheduler can't confirm: the present one may get the job
    /// from another VM.
    pub(super) fn on_cancel_reply(&mut self, reply: &CancelReply, from: EntryVm) {
        let (id, cell) = (JobId(reply.id), CellName(reply.cell.as_str().into()));
        let current = self.cells.get(&cell).and_then(|c| c.election.current());
        if current.is_some_and(|(vm, _)| vm == from) {
            let found = convert::confirmation_from_wire(reply);
            self.cancellations.confirm(id, &cell, found);
        }
    }

    /// Handles a cancellation that another VM has passed on; it is sent again if this VM does not schedule the cell.
    pub(super) fn on_cancel(&mut self, id: JobId, cell: &CellName, from: EntryVm) {
        let found = self.cancel_here(id, cell);
        info!(id:% = id, cell:% = cell, from:% = from, found:? = found; "cancel_received");
        if let Some(found) = found {
            let reply = CancelReply {
                id: id.0,
                cell: cell.to_string(),
                found: convert::confirmation_to_wire(found).into(),
            };
            self.send(from, Body::CancelReply(reply));
        }
    }
}
