//! What callers wait for, and whether what they were told is true.

use std::collections::HashMap;
use std::time::Duration;

use geraniumrelay_core::{Reply, TaskId, Ticket, Verdict};

use crate::tally::{Ending, Tally};
use crate::workload::Job;

/// Why somebody waits.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Purpose {
    /// For the answer.
    Answer,
    /// For the reply to a delayed copy of a refused submission.
    Copy,
    /// For the outcome of a cancellation.
    Cancel,
    /// For slots.
    Loan {
        /// Entry VM that asks for them.
        borrower: usize,
        /// Entry VM that is asked.
        lender: usize,
    },
}

/// One waiter.
#[derive(Debug, Clone, Copy)]
pub struct Waiting {
    /// Position of the job in the workload.
    pub job: usize,
    /// Why it waits.
    pub purpose: Purpose,
    /// Entry VM that passed the request on.
    pub via: Option<usize>,
}

/// One call of a caller.
#[derive(Debug, Clone, Copy)]
pub struct Call {
    /// Name of the submission.
    pub ticket: Ticket,
    /// Entry VM that owns it.
    pub owner: usize,
    /// Whether the caller has its answer.
    pub is_done: bool,
    /// When it was cancelled.
    pub cancelled_at: Option<Duration>,
}

/// What callers were told about submissions that did not run.
#[derive(Debug, Default)]
pub struct Claimed {
    not_run: Vec<(Ticket, usize)>,
    tasks_not_run: Vec<TaskId>,
}

impl Claimed {
    /// Checks a reply against the job, and keeps what it says did not run.
    pub fn note(&mut self, tally: &mut Tally, call: &Call, job: &Job, reply: &Reply) -> Verdict {
        match reply {
            Reply::Answer { ticket, answer } => {
                let outputs = answer.tasks.iter().zip(&job.spec.tasks);
                let is_own = *ticket == call.ticket && answer.tasks.len() == job.spec.tasks.len();
                let is_whole = outputs.into_iter().all(|(a, b)| *a.output == *b.payload);
                if !is_own || (answer.verdict == Verdict::Completed && !is_whole) {
                    tally.violate(format!("answer of {ticket} is not the whole answer"));
                }
                for (index, task) in (0..).zip(&answer.tasks) {
                    if task.verdict == Verdict::NotRun {
                        let ticket = call.ticket;
                        self.tasks_not_run.push(TaskId { ticket, index });
                    }
                }
                answer.verdict
            }
            Reply::Rejected(rejection) => {
                if rejection.verdict == Verdict::NotRun {
                    self.not_run.push((call.ticket, job.spec.tasks.len()));
                }
                rejection.verdict
            }
            Reply::Progress(_) | Reply::Lent(_) | Reply::HandOver(_) => Verdict::MayHaveRun,
        }
    }

    /// Checks at the end of a run that nothing started that was said not to have run.
    pub fn check(&self, tally: &mut Tally) {
        let whole = self.not_run.iter().flat_map(|(ticket, tasks)| {
            (0..).take(*tasks).map(|index| TaskId {
                ticket: *ticket,
                index,
            })
        });
        let ids: Vec<TaskId> = whole.chain(self.tasks_not_run.iter().copied()).collect();
        for id in ids {
            if tally.starts.contains_key(&id) {
                tally.violate(format!("{id} ran and was said not to have run"));
            }
        }
    }
}

/// How a job ended for its caller.
pub fn ending(
    job: &Job,
    verdict: Verdict,
    now: Duration,
    ideal: Duration,
    fault: Duration,
) -> Ending {
    Ending {
        verdict,
        is_urgent: job.urgency == geraniumrelay_core::modules::sheet::Urgency::Urgent,
        is_other_team: job.team != 0,
        is_late: job.at > fault + Duration::from_secs(2),
        response: now.saturating_sub(job.at),
        ideal,
    }
}

/// Calls by their tickets.
pub type Owners = HashMap<Ticket, usize>;
