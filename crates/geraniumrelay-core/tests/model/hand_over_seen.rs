//! Record of the starts and replies that targets and callers observe for one ticket.

use geraniumrelay_core::{Answer, Ticket, TicketMint, Verdict};

use crate::tickets::Body;

/// Number of tasks of a job.
const TASK_COUNT: usize = 2;

/// Starts and replies of one ticket, as targets and callers observe them.
#[derive(Debug)]
pub struct Observed {
    /// Ticket, minted by the first process.
    pub ticket: Ticket,
    /// Tasks for which a start was sent to a target and not refused.
    pub has_started: [bool; TASK_COUNT],
    /// Tasks for which a caller or a peer received a reply that they did not run.
    pub was_reported_not_run: [bool; TASK_COUNT],
    /// Body whose job was started; `None` before the first start.
    pub started_body: Option<Body>,
}

impl Observed {
    /// Mints a ticket with an empty record.
    pub fn new(mint: &TicketMint) -> Self {
        Self {
            ticket: mint.mint().unwrap(),
            has_started: [false; TASK_COUNT],
            was_reported_not_run: [false; TASK_COUNT],
            started_body: None,
        }
    }

    /// Records a refusal.
    ///
    /// # Panics
    /// If the refusal says `NotRun` and a task has started.
    pub fn record_refusal(&mut self, verdict: Verdict) {
        if verdict != Verdict::NotRun {
            return;
        }
        assert_eq!(
            self.has_started, [false; TASK_COUNT],
            "violation: wrong NotRun verdict: {self:?}"
        );
        self.was_reported_not_run = [true; TASK_COUNT];
    }

    /// Records the answer to a request whose complete answer has the outputs `expected`.
    ///
    /// # Panics
    /// If the answer contradicts `expected` or an earlier start.
    pub fn record_answer(&mut self, answer: &Answer, expected: &[String]) {
        assert_eq!(
            answer.tasks.len(),
            TASK_COUNT,
            "violation: answer without all tasks"
        );
        if answer.is_complete() {
            let actual = answer.tasks.iter().map(|task| &task.output);
            assert!(
                actual.eq(expected),
                "answer has outputs of another body: {answer:?}"
            );
        }
        for (index, task) in answer.tasks.iter().enumerate() {
            if task.verdict == Verdict::NotRun {
                assert!(
                    !self.has_started[index],
                    "violation: wrong NotRun verdict: {self:?}"
                );
                self.was_reported_not_run[index] = true;
            }
        }
    }
}

/// Outputs of the complete answer to submission `n` with `body`.
pub fn outputs(n: usize, body: Body) -> Vec<String> {
    let output = |index| format!("{n}-{body:?}-{index}");
    (0..TASK_COUNT).map(output).collect()
}

/// Body that a task payload belongs to; `None` if the payload is of neither.
pub fn body_of(payload: &str) -> Option<Body> {
    let bodies = [Body::Own, Body::Other];
    bodies
        .into_iter()
        .find(|body| payload.contains(&format!("-{body:?}-")))
}
