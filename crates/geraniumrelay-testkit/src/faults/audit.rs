//! Audit of a round: the targets' own start records against what callers were told.

use std::collections::{BTreeMap, HashMap, HashSet};

use derive_more::Display;
use geraniumrelay_wire::JobAnswer;

use crate::caller::RequestOutcome;
use crate::faults::callers::Attempt;
use crate::faults::fault::Schedule;
use crate::workload::is_own_and_whole;

/// Part of an error's text where no connection was made, so that nothing was cut off.
const REFUSED_CONNECTION: &str = "refused";

/// Reason of a job that failed because targets refused its tasks.
const REFUSED_BY_TARGETS: &str = "retries-spent";

/// Something that must never be.
#[derive(Debug, Clone, PartialEq, Eq, Display)]
pub enum Violation {
    /// A task started more than once.
    #[display("second start of {task}")]
    SecondStart {
        /// The task.
        task: String,
    },
    /// A task started of which it was said that it did not run.
    #[display("untrue NotRun of {task}")]
    UntrueNotRun {
        /// The task, or the ticket of all of them.
        task: String,
    },
    /// An answer is partial or another submission's.
    #[display("partial or foreign answer to {ticket}: {answer}")]
    WrongAnswer {
        /// The submission.
        ticket: String,
        /// The answer.
        answer: String,
    },
    /// A complete answer names a task that never started.
    #[display("output without a start of {task}")]
    OutputWithoutStart {
        /// The task.
        task: String,
    },
    /// A request got no reply although no fault of the schedule explains it.
    #[display("no reply to {ticket}: {error}")]
    Unanswered {
        /// The submission.
        ticket: String,
        /// What the caller saw.
        error: String,
    },
    /// A job failed although no fault of the schedule explains it.
    #[display("failed job {ticket}: {reason}")]
    CutOff {
        /// The submission.
        ticket: String,
        /// Why it failed.
        reason: String,
    },
    /// A target got a start long after it was marked as leaving.
    #[display("start on leaving target {target}")]
    StartOnLeaving {
        /// The target.
        target: usize,
    },
    /// A stopping process did not end by itself, or with a failure.
    #[display("{vm} did not stop cleanly")]
    UncleanStop {
        /// Its VM.
        vm: String,
    },
}

/// Counts of a round's requests, and what must never be.
#[derive(Debug, Clone, Default)]
pub struct Audit {
    /// Requests sent.
    pub requests: usize,
    /// Distinct submissions.
    pub submissions: usize,
    /// Complete answers.
    pub complete: usize,
    /// Failed answers.
    pub failed: usize,
    /// Refusals that say `NotRun`.
    pub not_run: usize,
    /// Refusals that say `MayHaveRun`.
    pub may_have_run: usize,
    /// Requests without a reply.
    pub no_reply: usize,
    /// Tasks that started.
    pub starts: usize,
    /// Refusals and failed answers by reason.
    pub reasons: BTreeMap<String, usize>,
    /// What must never be.
    pub violations: Vec<Violation>,
}

impl Audit {
    /// Compares all requests of a round with the starts of each task.
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

    /// Adds the counts and findings of another round.
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
        if let Some(reason) = reason_of(&attempt.told) {
            *self.reasons.entry(reason.to_owned()).or_default() += 1;
        }
        match &attempt.told {
            told if told.is_complete() => self.complete += 1,
            RequestOutcome::Answer(_) => self.failed += 1,
            RequestOutcome::NoReply(_) => self.no_reply += 1,
            told if told.verdict() == "NotRun" => self.not_run += 1,
            RequestOutcome::Problem(_) | RequestOutcome::InFlight => self.may_have_run += 1,
        }
    }

    fn check(&mut self, schedule: &Schedule, attempt: &Attempt, starts: &HashMap<String, u32>) {
        self.check_not_run(attempt, starts);
        self.check_answer(attempt, starts);
        let ticket = attempt.ticket.clone();
        match &attempt.told {
            RequestOutcome::NoReply(error)
                if !schedule.may_lose_replies() && was_connected(error) =>
            {
                let error = error.clone();
                self.violations
                    .push(Violation::Unanswered { ticket, error });
            }
            RequestOutcome::Answer(answer) if was_cut_off(answer) && !schedule.may_fail_jobs() => {
                let reason = answer.reason.clone();
                self.violations.push(Violation::CutOff { ticket, reason });
            }
            _ => {}
        }
    }

    /// What is said not to have run has no start record.
    fn check_not_run(&mut self, attempt: &Attempt, starts: &HashMap<String, u32>) {
        let is_not_run = |index: usize| match &attempt.told {
            RequestOutcome::Answer(answer) => {
                let task = answer.tasks.get(index);
                answer.verdict == "NotRun" || task.is_some_and(|task| task.verdict == "NotRun")
            }
            told => told.verdict() == "NotRun",
        };
        for index in (0..attempt.tasks).filter(|index| is_not_run(*index)) {
            let task = format!("{}.{index}", attempt.ticket);
            if starts.contains_key(&task) {
                self.violations.push(Violation::UntrueNotRun { task });
            }
        }
    }

    fn check_answer(&mut self, attempt: &Attempt, starts: &HashMap<String, u32>) {
        let RequestOutcome::Answer(answer) = &attempt.told else {
            return;
        };
        if !is_own_and_whole(answer, &attempt.ticket, attempt.tasks) {
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

fn reason_of(told: &RequestOutcome) -> Option<&str> {
    match told {
        RequestOutcome::Answer(answer) if answer.status != "complete" => Some(&answer.reason),
        RequestOutcome::Problem(problem) => Some(&problem.reason),
        RequestOutcome::Answer(_) | RequestOutcome::InFlight | RequestOutcome::NoReply(_) => None,
    }
}

/// A job whose tasks full targets refused was not cut off: that is load, and counts as failed.
fn was_cut_off(answer: &JobAnswer) -> bool {
    answer.status != "complete" && answer.reason != REFUSED_BY_TARGETS
}

fn was_connected(error: &str) -> bool {
    !error.to_lowercase().contains(REFUSED_CONNECTION)
}
