//! Pending replies of callers and checks that replies are correct.

use std::collections::HashMap;
use std::time::Duration;

use geraniumrelay_core::{Reply, TaskId, Ticket, Verdict};

use crate::tally::{JobResult, RunStats};
use crate::workload::Job;

/// Purpose of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Purpose {
    /// Answer to a submission.
    Answer,
    /// Reply to a delayed duplicate of a refused submission.
    Duplicate,
    /// Outcome of a cancellation.
    Cancel,
    /// Slots requested from another entry VM.
    Loan {
        /// Index of the entry VM that requests the slots.
        borrower: usize,
        /// Index of the entry VM that grants or refuses the request.
        lender: usize,
    },
}

/// Request that waits for a reply.
#[derive(Debug, Clone, Copy)]
pub struct PendingReply {
    /// Index of the job in the workload; not used for a loan.
    pub job: usize,
    /// Purpose, which decides how the reply is handled.
    pub purpose: Purpose,
    /// Index of the entry VM that forwarded the request; `None` if it was not forwarded.
    pub forwarded_by: Option<usize>,
}

/// Submission of a caller and the state of its answer.
#[derive(Debug, Clone, Copy)]
pub struct Call {
    /// Id of the submission, kept on a resubmission.
    pub ticket: Ticket,
    /// Index of the entry VM that owns the ticket.
    pub owner: usize,
    /// Whether the caller has received the answer.
    pub is_answered: bool,
    /// Time of the simulation of the cancellation; `None` if not cancelled.
    pub cancelled_at: Option<Duration>,
}

/// Submissions and tasks that were reported to callers as not run.
#[derive(Debug, Default)]
pub struct ReportedNotRun {
    submissions: Vec<(Ticket, usize)>,
    tasks: Vec<TaskId>,
}

impl ReportedNotRun {
    /// Checks a reply against the job and records what it reports as not run.
    pub fn record(
        &mut self,
        stats: &mut RunStats,
        call: &Call,
        job: &Job,
        reply: &Reply,
    ) -> Verdict {
        match reply {
            Reply::Answer { ticket, answer } => {
                let outputs = answer.tasks.iter().zip(&job.spec.tasks);
                let is_matching =
                    *ticket == call.ticket && answer.tasks.len() == job.spec.tasks.len();
                let has_all_outputs = outputs.into_iter().all(|(a, b)| *a.output == *b.payload);
                if !is_matching || (answer.verdict == Verdict::Completed && !has_all_outputs) {
                    stats
                        .add_violation(format!("answer of {ticket} does not match its submission"));
                }
                for (index, task) in (0..).zip(&answer.tasks) {
                    if task.verdict == Verdict::NotRun {
                        let ticket = call.ticket;
                        self.tasks.push(TaskId { ticket, index });
                    }
                }
                answer.verdict
            }
            Reply::Rejected(rejection) => {
                if rejection.verdict == Verdict::NotRun {
                    self.submissions.push((call.ticket, job.spec.tasks.len()));
                }
                rejection.verdict
            }
            Reply::Progress(_) | Reply::Lent(_) | Reply::HandOver(_) => Verdict::MayHaveRun,
        }
    }

    /// Checks, at the end of a run, that no task started that was reported as not run.
    pub fn check(&self, stats: &mut RunStats) {
        let of_submissions = self.submissions.iter().flat_map(|(ticket, tasks)| {
            (0..).take(*tasks).map(|index| TaskId {
                ticket: *ticket,
                index,
            })
        });
        let ids: Vec<TaskId> = of_submissions.chain(self.tasks.iter().copied()).collect();
        for id in ids {
            if stats.starts.contains_key(&id) {
                stats.add_violation(format!("{id} ran but was reported as not run"));
            }
        }
    }
}

/// Builds the measured result of a job from the verdict of its reply.
pub fn job_result(
    job: &Job,
    verdict: Verdict,
    now: Duration,
    ideal_time: Duration,
    fault_start: Duration,
) -> JobResult {
    JobResult {
        verdict,
        is_urgent: job.urgency == geraniumrelay_core::modules::sheet::Urgency::Urgent,
        is_other_team: job.team != 0,
        is_after_fault: job.arrives_at > fault_start + Duration::from_secs(2),
        response_time: now.saturating_sub(job.arrives_at),
        ideal_time,
    }
}

/// Index of the job of each ticket.
pub type JobsByTicket = HashMap<Ticket, usize>;
