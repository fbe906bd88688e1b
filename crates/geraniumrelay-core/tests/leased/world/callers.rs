//! Callers of jobs, which send a job again after their connection has broken without an answer.

use std::time::{Duration, Instant};

use geraniumrelay_core::leased::{JobId, JobOutcome};

use super::entries::EntryEvent;
use super::{Event, Simulation, TestJob};

/// Time after which a caller whose connection has broken sends its job again.
const RESEND_TIME: Duration = Duration::from_millis(1_300);

/// Time after which a caller whose job was refused sends it again.
const RETURN_TIME: Duration = Duration::from_secs(1);

/// A caller that has no answer yet.
#[derive(Debug)]
pub(crate) struct Caller {
    /// Entry VM to which the caller is connected.
    pub(super) entry: Option<usize>,
    gives_up_at: Instant,
}

impl Simulation {
    /// Lets a caller send a job to an entry VM, which passes it to any cell.
    pub(crate) fn call(&mut self, entry: usize, mut job: TestJob) {
        job.submitted_at = self.now;
        let id = job.spec.id;
        let caller = Caller {
            entry: Some(entry),
            gives_up_at: self.now + job.remaining_wait,
        };
        self.jobs.insert(id, job);
        self.entry_vms.callers.insert(id, caller);
        self.process_entry_event(EntryEvent::JobArrives { entry, id });
    }

    /// The same as [`Self::call`] for a job that is passed to `cell`, and to `next_cell` if it is sent again.
    pub(crate) fn call_cells(&mut self, cell: usize, next_cell: usize, job: TestJob) {
        self.entry_vms.cell_choices = [cell, next_cell].into();
        self.call(0, job);
    }

    /// Jobs whose callers are connected to an entry VM.
    pub(crate) fn connected_callers(&self) -> Vec<JobId> {
        let connected = self.entry_vms.callers.iter();
        let connected = connected.filter(|(_, c)| c.entry.is_some());
        connected.map(|(&id, _)| id).collect()
    }

    /// Breaks the connection of a caller, which its entry VM notices.
    pub(crate) fn break_caller(&mut self, id: JobId) {
        let caller = self.entry_vms.callers.get(&id);
        let Some(entry) = caller.and_then(|c| c.entry) else {
            return;
        };
        self.log(&format!(
            "caller of job {id} loses its connection to entry VM {entry}"
        ));
        self.process_entry_event(EntryEvent::CallerLeft { entry, id });
        self.resend_later(id);
    }

    /// Breaks the connections of all callers of an entry VM that has ended.
    pub(super) fn break_callers_of(&mut self, entry: usize) {
        let callers = self.entry_vms.callers.iter();
        let callers = callers.filter(|(_, c)| c.entry == Some(entry));
        let ids: Vec<JobId> = callers.map(|(&id, _)| id).collect();
        for id in ids {
            self.log(&format!(
                "caller of job {id} loses its connection to entry VM {entry}, which has ended"
            ));
            self.resend_later(id);
        }
    }

    /// Answers a caller that its job has not run and never will.
    pub(super) fn refuse_caller(&mut self, entry: usize, id: JobId, refusal: JobOutcome) {
        self.log(&format!("entry VM {entry} refuses job {id}"));
        *self.entry_vms.refused_requests.entry(id).or_default() += 1;
        if self.random() < self.entry_vms.return_share {
            self.send_after(id, RETURN_TIME);
        } else {
            self.entry_vms.callers.remove(&id);
            self.entry_vms.answers.insert(id, refusal);
        }
    }

    pub(super) fn resend_later(&mut self, id: JobId) {
        self.entry_vms.unanswered_jobs.insert(id);
        self.send_after(id, RESEND_TIME);
    }

    fn send_after(&mut self, id: JobId, time: Duration) {
        if let Some(caller) = self.entry_vms.callers.get_mut(&id) {
            caller.entry = None;
            let event = EntryEvent::CallerSends { id };
            self.schedule(self.now + time, Event::EntryVm(event));
        }
    }

    pub(super) fn send_by_caller(&mut self, id: JobId) {
        let up = self.entry_vms.up();
        let Some(caller) = self.entry_vms.callers.get(&id) else {
            return;
        };
        if self.now >= caller.gives_up_at {
            self.entry_vms.callers.remove(&id);
            return;
        }
        if up.is_empty() {
            self.resend_later(id);
            return;
        }
        let choice = self.entry_vms.entry_choices.pop_front();
        let entry = choice.unwrap_or_else(|| {
            let limit = u16::try_from(up.len()).unwrap();
            up[usize::from(self.random_below(limit))]
        });
        if let Some(caller) = self.entry_vms.callers.get_mut(&id) {
            caller.entry = Some(entry);
        }
        self.entry_vms.resent_jobs += 1;
        self.process_entry_event(EntryEvent::JobArrives { entry, id });
    }
}
