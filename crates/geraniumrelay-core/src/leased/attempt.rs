//! An attempt to have a pending job admitted: where its copies went, and what an answer says about it.
//!
//! A scheduler may get several copies of one submission, as links break and tokens are raised, and answers each of them.
//! That a job did not run is certain once no copy has left this VM, or the scheduler that may have them has refused the
//! last one: messages of a VM are handled in order, and those of a former connection not at all once a later one is in use.

use super::effect::JobOutcome;
use super::names::{AttemptId, FencingToken, SubmissionId};

/// Where the copies of an attempt are.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Delivery {
    /// None has left this VM.
    Unsent,
    /// The last one was sent to the scheduler with this token.
    Sent(FencingToken),
    /// Some were sent, and the next one is due.
    SendAgain,
}

/// What an answer says about an attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Evidence {
    /// The job has ended or is stored, and no further copy is under way.
    Ended,
    /// The job has ended or is stored, but the last copy may be under way, or at another scheduler.
    EndedElsewhere,
    /// The scheduler has given the job up; what it started is being stopped.
    GivenUp,
    /// No copy has started anything, or ever will.
    NotRun,
    /// The last copy was refused, but another scheduler may have started the job.
    MayHaveRun,
    /// It answers an earlier copy or attempt; the answer to the last copy is yet to come.
    OfOtherCopy,
}

/// An answer, as far as it decides what is known of an attempt.
#[derive(Debug, Clone, Copy)]
pub struct Answer {
    /// Copy that is answered; `None` if the scheduler's version does not tell.
    pub submission: Option<SubmissionId>,
    /// Outcome for the callers.
    pub outcome: JobOutcome,
    /// Token of the scheduler, if its cell is the one that the job was assigned to.
    pub token: Option<FencingToken>,
}

/// An attempt, from a caller's request or the refusal of a cell on.
#[derive(Debug)]
pub struct Attempt {
    id: AttemptId,
    /// Number of copies that have left this VM.
    copies: u32,
    delivery: Delivery,
    /// Tokens of all schedulers to which copies were sent.
    tokens: Vec<FencingToken>,
    /// Whether the last of `tokens` was added by the last copy.
    is_last_token_new: bool,
    is_durable: bool,
}

impl Attempt {
    /// Begins an attempt, of which no copy has been sent.
    pub fn new(id: AttemptId, is_durable: bool) -> Self {
        Self {
            id,
            copies: 0,
            delivery: Delivery::Unsent,
            tokens: Vec::new(),
            is_last_token_new: false,
            is_durable,
        }
    }

    /// Whether a copy has left this VM, so that tasks may have started.
    pub fn was_sent(&self) -> bool {
        self.delivery != Delivery::Unsent
    }

    /// Whether a copy has to be sent.
    pub fn is_due(&self) -> bool {
        !matches!(self.delivery, Delivery::Sent(_))
    }

    /// Whether the last copy is at the scheduler with this token.
    pub fn is_sent_to(&self, token: FencingToken) -> bool {
        self.delivery == Delivery::Sent(token)
    }

    /// Tokens of the schedulers to which copies were sent, other than `token`.
    pub fn former_tokens(&self, token: FencingToken) -> Vec<FencingToken> {
        let tokens = self.tokens.iter().copied();
        tokens.filter(|&t| t != token).collect()
    }

    /// Name of the last copy that has left this VM.
    pub fn last_submission(&self) -> Option<SubmissionId> {
        (self.copies > 0).then_some(SubmissionId {
            attempt: self.id,
            copy: self.copies,
        })
    }

    /// Records that a copy is sent to the scheduler with this token, and returns its name.
    pub fn send_to(&mut self, token: FencingToken) -> SubmissionId {
        self.is_last_token_new = !self.tokens.contains(&token);
        if self.is_last_token_new {
            self.tokens.push(token);
        }
        self.delivery = Delivery::Sent(token);
        self.copies += 1;
        SubmissionId {
            attempt: self.id,
            copy: self.copies,
        }
    }

    /// Reverts [`Self::send_to`] for a copy that could not be queued, and so has not left this VM.
    pub fn revert_send(&mut self) {
        self.copies -= 1;
        self.delivery = if self.copies == 0 {
            Delivery::Unsent
        } else {
            Delivery::SendAgain
        };
        if std::mem::take(&mut self.is_last_token_new) {
            self.tokens.pop();
        }
    }

    /// Makes a further copy due where one was sent: its scheduler may not have it, or its answer may be lost.
    pub fn send_again(&mut self) {
        if self.was_sent() {
            self.delivery = Delivery::SendAgain;
        }
    }

    /// What an answer says about this attempt.
    pub fn judge(&self, answer: &Answer) -> Evidence {
        match answer.outcome {
            JobOutcome::Completed | JobOutcome::Failed | JobOutcome::Accepted => {
                let is_at_scheduler = answer.token.is_some_and(|token| self.is_sent_to(token));
                if is_at_scheduler && self.is_answered_by(answer) {
                    Evidence::Ended
                } else {
                    Evidence::EndedElsewhere
                }
            }
            _ if !self.is_answered_by(answer) => Evidence::OfOtherCopy,
            JobOutcome::Refused { .. } if self.is_refusal_conclusive(answer) => Evidence::NotRun,
            JobOutcome::Refused { .. } => Evidence::MayHaveRun,
            JobOutcome::TimedOut | JobOutcome::Cancelled => Evidence::GivenUp,
        }
    }

    /// Whether the last copy is answered.
    fn is_answered_by(&self, answer: &Answer) -> bool {
        match answer.submission {
            Some(submission) => self.last_submission() == Some(submission),
            None => answer.token.is_some_and(|token| self.is_sent_to(token)),
        }
    }

    /// Whether the refusal of the last copy holds for all copies: `false` once some were sent to schedulers on several VMs,
    /// as another one may have started the job. A scheduler that does not name the copies stores a further copy of a
    /// durable job that it has refused.
    fn is_refusal_conclusive(&self, answer: &Answer) -> bool {
        let is_of_one_vm = self.tokens.windows(2).all(|t| t[0].is_of_same_vm(t[1]));
        let is_of_all_copies = answer.submission.is_some() || !self.is_durable || self.copies <= 1;
        is_of_one_vm && is_of_all_copies
    }
}
