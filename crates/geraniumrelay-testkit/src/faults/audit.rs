//! Audit of a round: compares the targets' start records with the outcomes that callers saw.

use std::collections::{BTreeMap, HashMap, HashSet};

use derive_more::Display;
use geraniumrelay_wire::JobAnswer;

use crate::caller::RequestOutcome;
use crate::faults::callers::Attempt;
use crate::faults::fault::Schedule;
use crate::workload::is_valid_answer;

/// Part of the error text of a refused connection, on which no request was sent.
const REFUSED_CONNECTION: &str = "refused";

/// Failure reason of a job whose tasks were refused by targets too often.
const REFUSED_BY_TARGETS: &str = "retries-spent";

/// A broken guarantee of the dispatcher.
#[derive(Debug, Clone, PartialEq, Eq, Display)]
pub enum Violation {
    /// A task started more than once.
    #[display("second start of {task}")]
    SecondStart {
        /// The task.
        task: String,
    },
    /// A task started although a reply said `NotRun`.
    #[display("untrue NotRun of {task}")]
    FalseNotRun {
        /// Ticket and index of the task.
        task: String,
    },
    /// An answer is partial or belongs to another submission.
    #[display("partial or foreign answer to {ticket}: {answer}")]
    WrongAnswer {
        /// The submission.
        ticket: String,
        /// Debug text of the answer.
        answer: String,
    },
    /// An answer reports a task as completed that never started.
    #[display("output without a start of {task}")]
    OutputWithoutStart {
        /// The task.
        task: String,
    },
    /// A request on an established connection got no reply, and no fault of the schedule explains
    /// the loss.
    #[display("no reply to {ticket}: {error}")]
    NoReply {
        /// The submission.
        ticket: String,
        /// Error text that the caller saw.
        error: String,
    },
    /// A job failed, and no fault of the schedule explains it.
    #[display("failed job {ticket}: {reason}")]
    UnexplainedFailure {
        /// The submission.
        ticket: String,
        /// Failure reason of the answer.
        reason: String,
    },
    /// A target got a start more than 3 s after entry processes could read its leaving mark.
    #[display("start on leaving target {target}")]
    StartOnLeavingTarget {
        /// Index of the target.
        target: usize,
    },
    /// A stopping entry process did not end in time, or ended with a failure.
    #[display("{vm} did not stop cleanly")]
    UncleanStop {
        /// VM of the entry process.
        vm: String,
    },
}

/// Counts and violations of one or more rounds.
#[derive(Debug, Clone, Default)]
pub struct Audit {
    /// Requests sent, including retries, duplicates and cancellations, but not ticket requests.
    pub requests: usize,
    /// Distinct tickets.
    pub submissions: usize,
    /// Requests answered with a complete job.
    pub complete: usize,
    /// Requests answered with a job that is not complete.
    pub failed: usize,
    /// Refusals with the verdict `NotRun`.
    pub not_run: usize,
    /// Other refusals and requests still in flight.
    pub may_have_run: usize,
    /// Requests without a readable reply.
    pub no_reply: usize,
    /// Distinct tasks that started.
    pub starts: usize,
    /// Number of refusals and failed answers by reason.
    pub reasons: BTreeMap<String, usize>,
    /// Violations found.
    pub violations: Vec<Violation>,
}

impl Audit {
    /// Audits all requests of a round against `starts`, the number of starts by task.
    pub fn new(schedule: &Schedule, attempts: &[Attempt], starts: &HashMap<String, u32>) -> Self {
        let tickets: HashSet<&str> = attempts.iter().map(|a| a.ticket.as_str()).collect();
        let mut audit = Self {
            requests: attempts.len(),
            submissions: tickets.len(),
            starts: starts.len(),
            ..Self::default()
        };
        for (task, count) in starts {
            if *count > 1 {
                let task = task.clone();
                audit.violations.push(Violation::SecondStart { task });
            }
        }
        for attempt in attempts {
            audit.count(attempt);
            audit.check(schedule, attempt, starts);
        }
        audit
    }

    /// Adds the counts and violations of another round.
    pub fn add(&mut self, other: Self) {
        self.requests += other.requests;
        self.submissions += other.submissions;
        self.complete += other.complete;
        self.failed += other.failed;
        self.not_run += other.not_run;
        self.may_have_run += other.may_have_run;
        self.no_reply += other.no_reply;
        self.starts += other.starts;
        for (reason, count) in other.reasons {
            *self.reasons.entry(reason).or_default() += count;
        }
        self.violations.extend(other.violations);
    }

    fn count(&mut self, attempt: &Attempt) {
        if let Some(reason) = reason_of(&attempt.outcome) {
            *self.reasons.entry(reason.to_owned()).or_default() += 1;
        }
        match &attempt.outcome {
            outcome if outcome.is_complete() => self.complete += 1,
            RequestOutcome::Answer(_) => self.failed += 1,
            RequestOutcome::NoReply(_) => self.no_reply += 1,
            outcome if outcome.verdict() == "NotRun" => self.not_run += 1,
            RequestOutcome::Problem(_) | RequestOutcome::InFlight => self.may_have_run += 1,
        }
    }

    fn check(&mut self, schedule: &Schedule, attempt: &Attempt, starts: &HashMap<String, u32>) {
        self.check_not_run(attempt, starts);
        self.check_answer(attempt, starts);
        let ticket = attempt.ticket.clone();
        match &attempt.outcome {
            RequestOutcome::NoReply(error)
                if !schedule.may_lose_replies() && was_connected(error) =>
            {
                let error = error.clone();
                self.violations.push(Violation::NoReply { ticket, error });
            }
            RequestOutcome::Answer(answer)
                if needs_explanation(answer) && !schedule.may_fail_jobs() =>
            {
                let reason = answer.reason.clone();
                self.violations
                    .push(Violation::UnexplainedFailure { ticket, reason });
            }
            _ => {}
        }
    }

    /// Checks that no task reported as `NotRun` has a start record.
    fn check_not_run(&mut self, attempt: &Attempt, starts: &HashMap<String, u32>) {
        let is_not_run = |index: usize| match &attempt.outcome {
            RequestOutcome::Answer(answer) => {
                let task = answer.tasks.get(index);
                answer.verdict == "NotRun" || task.is_some_and(|task| task.verdict == "NotRun")
            }
            outcome => outcome.verdict() == "NotRun",
        };
        for index in (0..attempt.tasks).filter(|index| is_not_run(*index)) {
            let task = format!("{}.{index}", attempt.ticket);
            if starts.contains_key(&task) {
                self.violations.push(Violation::FalseNotRun { task });
            }
        }
    }

    /// Checks that an answer is valid and that each completed task has a start record.
    fn check_answer(&mut self, attempt: &Attempt, starts: &HashMap<String, u32>) {
        let RequestOutcome::Answer(answer) = &attempt.outcome else {
            return;
        };
        if !is_valid_answer(answer, &attempt.ticket, attempt.tasks) {
            self.violations.push(Violation::WrongAnswer {
                ticket: attempt.ticket.clone(),
                answer: format!("{answer:?}"),
            });
        }
        for task in answer.tasks.iter().filter(|t| t.verdict == "Completed") {
            let task = format!("{}.{}", attempt.ticket, task.index);
            if !starts.contains_key(&task) {
                self.violations.push(Violation::OutputWithoutStart { task });
            }
        }
    }
}

fn reason_of(outcome: &RequestOutcome) -> Option<&str> {
    match outcome {
        RequestOutcome::Answer(answer) if answer.status != "complete" => Some(&answer.reason),
        RequestOutcome::Problem(problem) => Some(&problem.reason),
        RequestOutcome::Answer(_) | RequestOutcome::InFlight | RequestOutcome::NoReply(_) => None,
    }
}

/// Whether a job failed for a reason other than refused starts. Full targets refuse starts under
/// load without any fault.
fn needs_explanation(answer: &JobAnswer) -> bool {
    answer.status != "complete" && answer.reason != REFUSED_BY_TARGETS
}

fn was_connected(error: &str) -> bool {
    !error.to_lowercase().contains(REFUSED_CONNECTION)
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn display_texts_of_violations_are_stable() {
        let task = || "t.0".to_owned();
        let (ticket, text) = (|| "t".to_owned(), || "x".to_owned());
        let (answer, error, reason) = (text(), text(), text());
        let violations = [
            Violation::SecondStart { task: task() },
            Violation::FalseNotRun { task: task() },
            Violation::WrongAnswer {
                ticket: ticket(),
                answer,
            },
            Violation::OutputWithoutStart { task: task() },
            Violation::NoReply {
                ticket: ticket(),
                error,
            },
            Violation::UnexplainedFailure {
                ticket: ticket(),
                reason,
            },
            Violation::StartOnLeavingTarget { target: 2 },
            Violation::UncleanStop { vm: text() },
        ];
        let expected = [
            "second start of t.0",
            "untrue NotRun of t.0",
            "partial or foreign answer to t: x",
            "output without a start of t.0",
            "no reply to t: x",
            "failed job t: x",
            "start on leaving target 2",
            "x did not stop cleanly",
        ];
        assert_eq!(violations.map(|v| v.to_string()), expected);
    }
}
