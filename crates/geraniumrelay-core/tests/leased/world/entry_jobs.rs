//! Jobs at entry VMs: passed on to schedulers, withdrawn, answered.

use std::time::Duration;

use geraniumrelay_core::leased::attempt::{Answer, Attempt, Evidence};
use geraniumrelay_core::leased::{
    AttemptId, Command, EntryVm, FencingToken, JobId, JobOutcome, SubmissionId,
};

use super::Simulation;
use super::entries::{EntryEvent, EntryJob};

/// Interval at which jobs are confirmed.
const CONFIRMATION_INTERVAL: Duration = Duration::from_millis(150);

impl Simulation {
    /// Takes a job from a caller.
    pub(super) fn accept_job(&mut self, entry: usize, id: JobId) {
        if !self.entry_vms.is_caller_at(entry, id) {
            return;
        }
        let is_durable = self.jobs[&id].spec.is_durable;
        let last_attempt = &mut self.entry_vms.entries[entry].last_attempt;
        *last_attempt += 1;
        let job = EntryJob {
            attempt: Attempt::new(AttemptId(*last_attempt), is_durable),
            arrived: self.now,
            wait_until: self.now + self.jobs[&id].remaining_wait,
            cell: None,
        };
        self.entry_vms.entries[entry].jobs.insert(id, job);
        self.log(&format!("entry VM {entry} gets job {id}"));
        self.send_unsent_jobs(entry);
    }

    pub(super) fn send_unsent_jobs(&mut self, entry: usize) {
        if self.entry_vms.holds_jobs(entry, self.now) {
            return;
        }
        let jobs = self.entry_vms.entries[entry].jobs.iter();
        let unsent = jobs.filter(|(_, job)| job.attempt.is_due());
        let unsent: Vec<_> = unsent.map(|(&id, job)| (id, job.cell)).collect();
        for (id, cell) in unsent {
            let Some(cell) = cell.or_else(|| self.choose_cell(entry)) else {
                continue;
            };
            if let Some(&(host, _)) = self.entry_vms.entries[entry].followed.get(&cell) {
                self.send_job(entry, host, id);
            }
        }
    }

    fn choose_cell(&mut self, entry: usize) -> Option<usize> {
        let followed = &self.entry_vms.entries[entry].followed;
        let cells: Vec<usize> = followed.keys().copied().collect();
        let limit = u16::try_from(cells.len()).unwrap();
        if limit == 0 {
            return None;
        }
        let choice = self.entry_vms.cell_choices.pop_front();
        Some(choice.unwrap_or_else(|| cells[usize::from(self.random_below(limit))]))
    }

    fn send_job(&mut self, entry: usize, host: usize, id: JobId) {
        if self.is_link_broken(entry, host) {
            return;
        }
        let token = self.hosts[host].token;
        let cell = self.hosts[host].cell;
        let job = self.entry_vms.entries[entry].jobs.get_mut(&id).unwrap();
        let may_have_started = job.attempt.was_sent();
        let former_tokens = job.attempt.former_tokens(token);
        let name = job.attempt.send_to(token);
        job.cell = Some(cell);
        self.log(&format!(
            "entry VM {entry} sends job {id} to host {host} of cell {cell} as {name}, may have started: {may_have_started}"
        ));
        let origin = self.entry_vms.vm(entry);
        let mut submission = self.submission(id, origin, may_have_started, former_tokens);
        submission.name = Some(name);
        submission.as_of = self.entry_vms.entries[entry].heard.get(&host).copied();
        let cmd = Command::Submit(submission);
        self.send_over_link(entry, host, EntryEvent::Command { host, cmd });
    }

    /// Tells each scheduler for which jobs callers wait.
    pub(super) fn send_confirmations(&mut self, entry: usize) {
        let now = self.now;
        let vm = &self.entry_vms.entries[entry];
        let age = |at| now.saturating_duration_since(at);
        let is_recent = vm
            .confirmed_at
            .is_some_and(|at| age(at) < CONFIRMATION_INTERVAL);
        if is_recent || self.entry_vms.holds_jobs(entry, now) {
            return;
        }
        let mut confirmations = Vec::new();
        for (&cell, &(host, _)) in &vm.followed {
            let is_of_cell = |job: &EntryJob| job.cell == Some(cell) && job.attempt.was_sent();
            let jobs = vm.jobs.iter().filter(|(_, job)| is_of_cell(job));
            let jobs: Vec<JobId> = jobs.map(|(&id, _)| id).collect();
            if let Some(&as_of) = vm.heard.get(&host).filter(|_| !jobs.is_empty()) {
                confirmations.push((host, as_of, jobs));
            }
        }
        self.entry_vms.entries[entry].confirmed_at = Some(now);
        let origin = self.entry_vms.vm(entry);
        for (host, as_of, jobs) in confirmations {
            let cmd = Command::Confirm {
                origin,
                as_of,
                jobs,
            };
            self.send_over_link(entry, host, EntryEvent::Command { host, cmd });
        }
    }

    /// Removes a job, and tells its scheduler, if one is followed, that no caller waits any more.
    pub(super) fn withdraw(&mut self, entry: usize, id: JobId) {
        let vm = &mut self.entry_vms.entries[entry];
        let cell = vm.jobs.remove(&id).and_then(|job| job.cell);
        let followed = cell.and_then(|cell| vm.followed.get(&cell));
        if let Some(&(host, _)) = followed {
            let origin = self.entry_vms.vm(entry);
            let cmd = Command::Withdraw { id, origin };
            self.log(&format!(
                "entry VM {entry} withdraws job {id} from host {host}"
            ));
            self.send_over_link(entry, host, EntryEvent::Command { host, cmd });
        }
    }

    /// Sends an answer to the entry VM that is named in it, if it is simulated.
    pub(super) fn send_answer(
        &mut self,
        host: usize,
        origin: EntryVm,
        (id, submission): (JobId, Option<SubmissionId>),
        outcome: JobOutcome,
    ) {
        let mut entries = 0..self.entry_vms.entries.len();
        if let Some(entry) = entries.find(|&e| self.entry_vms.vm(e) == origin) {
            let message = EntryEvent::Answer {
                entry,
                id,
                submission,
                outcome,
                from: (self.hosts[host].cell, self.hosts[host].token),
            };
            self.send_over_link(entry, host, message);
        }
    }

    pub(super) fn answer_heard(
        &mut self,
        entry: usize,
        (id, submission): (JobId, Option<SubmissionId>),
        outcome: JobOutcome,
        (cell, token): (usize, FencingToken),
    ) {
        let Some(job) = self.entry_vms.entries[entry].jobs.get(&id) else {
            return;
        };
        let evidence = job.attempt.judge(&Answer {
            submission,
            outcome,
            token: (job.cell == Some(cell)).then_some(token),
        });
        match evidence {
            Evidence::OfOtherCopy => return,
            Evidence::Ended | Evidence::NotRun => {
                self.entry_vms.entries[entry].jobs.remove(&id);
            }
            Evidence::EndedElsewhere | Evidence::GivenUp | Evidence::MayHaveRun => {
                self.withdraw(entry, id);
            }
        }
        if !self.entry_vms.is_caller_at(entry, id) {
            return;
        }
        match evidence {
            Evidence::Ended | Evidence::EndedElsewhere => {
                self.entry_vms.callers.remove(&id);
                self.entry_vms.answers.insert(id, outcome);
            }
            Evidence::NotRun => self.refuse_caller(entry, id, outcome),
            _ => {
                self.log(&format!("entry VM {entry} answers job {id} with 504"));
                self.resend_later(id);
            }
        }
    }
}
