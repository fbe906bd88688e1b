//! What targets and callers saw of one ticket.

use geraniumrelay_core::{Answer, Ticket, TicketMint, Verdict};

use crate::tickets::Body;

/// Tasks of a job.
const TASKS: usize = 2;

/// What targets and callers saw of one ticket.
#[derive(Debug)]
pub struct Seen {
    /// The ticket.
    pub ticket: Ticket,
    /// Tasks that a target was told to run, but for those that it refused.
    pub has_started: [bool; TASKS],
    /// Tasks that somebody was told did not run.
    pub was_told_not_run: [bool; TASKS],
    /// Body whose job was started.
    pub ran: Option<Body>,
}

impl Seen {
    /// Mints the ticket.
    pub fn new(mint: &TicketMint) -> Self {
        Self {
            ticket: mint.mint().unwrap(),
            has_started: [false; TASKS],
            was_told_not_run: [false; TASKS],
            ran: None,
        }
    }

    /// Notes a refusal.
    pub fn see_refusal(&mut self, verdict: Verdict) {
        if verdict != Verdict::NotRun {
            return;
        }
        assert_eq!(
            self.has_started, [false; TASKS],
            "violation: untrue NotRun: {self:?}"
        );
        self.was_told_not_run = [true; TASKS];
    }

    /// Notes the answer to a request that is due the outputs `expected`.
    pub fn see_answer(&mut self, answer: &Answer, expected: &[String]) {
        assert_eq!(answer.tasks.len(), TASKS, "violation: a partial answer");
        if answer.is_complete() {
            let own = answer.tasks.iter().map(|task| &task.output);
            assert!(own.eq(expected), "not the caller's answer: {answer:?}");
        }
        for (index, task) in answer.tasks.iter().enumerate() {
            if task.verdict == Verdict::NotRun {
                assert!(
                    !self.has_started[index],
                    "violation: untrue NotRun: {self:?}"
                );
                self.was_told_not_run[index] = true;
            }
        }
    }
}

/// Outputs that a submission is due.
pub fn outputs(n: usize, body: Body) -> Vec<String> {
    let output = |index| format!("{n}-{body:?}-{index}");
    (0..TASKS).map(output).collect()
}

/// Body of the job that a task's input is of.
pub fn body_of(payload: &str) -> Option<Body> {
    let bodies = [Body::Own, Body::Other];
    bodies
        .into_iter()
        .find(|body| payload.contains(&format!("-{body:?}-")))
}
