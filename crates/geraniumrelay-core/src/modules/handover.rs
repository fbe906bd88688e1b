//! Hand-over of a claim table to one successor: messages and the sending side.
//!
//! The successor is identified by its incarnation and never changes. Messages are numbered and sent
//! one at a time, each repeated until acknowledged, so a lost acknowledgement can't lead to a second
//! successor. All claims go first, without answers; the last message with claims grants the
//! authority to start unknown tickets. Answers follow, those of jobs in flight as the jobs end.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use derive_more::{Display, FromStr};

use crate::configs::handover::HandOverConfig;
use crate::effect::Answer;
use crate::modules::claim_table::{Claim, ClaimTable};
use crate::reason::Reason;
use crate::ticket::{Incarnation, TicketKey};
use crate::verdict::Verdict;

/// State of one ticket in a hand-over.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum HandedState {
    /// The job is in flight, or answered, at the sender; a later message has the answer.
    Elsewhere {
        /// Hash of the submission's body.
        body_digest: u128,
    },
    /// The job has ended and its answer is stored.
    Answered {
        /// Hash of the submission's body.
        body_digest: u128,
        /// Answer of the job.
        answer: Arc<Answer>,
    },
    /// The job has ended; its answer is no longer stored.
    Dropped {
        /// Hash of the submission's body.
        body_digest: u128,
        /// Verdict of the dropped answer.
        verdict: Verdict,
    },
    /// The submission was refused or cancelled before anything started; permanent.
    NotRun {
        /// Reason of the refusal or cancellation.
        reason: Reason,
    },
}

/// One claim in a hand-over message.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HandedClaim {
    /// Sequence of the ticket.
    pub seq: u64,
    /// State of the ticket at the sender.
    pub state: HandedState,
}

/// One message of a hand-over.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HandOverMessage {
    /// Incarnation that sends the table.
    pub from: Incarnation,
    /// Incarnation of the successor; any other one answers [`HandOverReply::NotTaken`].
    pub successor: Incarnation,
    /// Incarnation that minted the tickets of the table.
    pub owner: Incarnation,
    /// Key that authenticates the owner's tickets.
    pub key: TicketKey,
    /// Low watermark: lowest sequence whose absence proves that its ticket was never submitted.
    pub low_watermark: u64,
    /// Remaining time for which the successor has to hold the table.
    pub retention: Duration,
    /// Position of the message in the hand-over, from 0.
    pub number: u64,
    /// Whether the successor may start unknown tickets once it has this message.
    pub grants_authority: bool,
    /// Claims of the table, in the order of sending; empty if the table has none.
    pub claims: Vec<HandedClaim>,
}

/// Reply of the successor to a message.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, FromStr)]
#[display(rename_all = "kebab-case")]
#[from_str(rename_all = "kebab-case")]
pub enum HandOverReply {
    /// The message has been applied, now or before.
    Taken,
    /// Not applied, and never will be: the successor is stopping itself.
    Refused,
    /// Not applied: the receiver is another incarnation, has no room, or held the table until
    /// it ended. An earlier or later copy of the message may have been applied.
    NotTaken,
}

/// Process that takes claim tables over.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Successor {
    /// Incarnation of the process.
    pub incarnation: Incarnation,
    /// Peer address from its latest status.
    pub address: SocketAddr,
}

/// Process that may start the unknown tickets of a table in hand-over.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Authority {
    /// Undecided until the successor acknowledges.
    Pending,
    /// The successor, which has acknowledged.
    Successor(Successor),
    /// No process: the successor refused before it applied a message, so unknown tickets never start.
    Ended,
    /// Not this process; the successor may have had the authority and ended.
    Lost,
}

/// Sending side of the hand-over of one table.
#[derive(Debug)]
pub struct HandOver {
    from: Incarnation,
    successor: Successor,
    authority: Authority,
    /// Sequence of the next claim to send; `None` once all are sent.
    next_claim: Option<u64>,
    /// Sequences of the tickets whose answers are still to be sent.
    answers: VecDeque<u64>,
    /// Message that is not acknowledged yet.
    in_flight: Option<Arc<HandOverMessage>>,
    next_number: u64,
    sent_at: Instant,
    first_sent_at: Instant,
    expires_at: Instant,
}

impl HandOver {
    /// Starts the hand-over of a table that has to be held until `expires_at`.
    pub fn new(from: Incarnation, successor: Successor, now: Instant, expires_at: Instant) -> Self {
        Self {
            from,
            successor,
            authority: Authority::Pending,
            next_claim: Some(0),
            answers: VecDeque::new(),
            in_flight: None,
            next_number: 0,
            sent_at: now,
            first_sent_at: now,
            expires_at,
        }
    }

    /// Process that takes the table over.
    pub fn successor(&self) -> Successor {
        self.successor
    }

    /// Process that may start unknown tickets of the table.
    pub fn authority(&self) -> Authority {
        self.authority
    }

    /// Queues the answer of a ticket for the successor, unless the hand-over has failed.
    pub fn queue_answer(&mut self, seq: u64) {
        if matches!(self.authority, Authority::Pending | Authority::Successor(_)) {
            self.answers.push_back(seq);
        }
    }

    /// Whether everything is acknowledged, or the successor has left a message unacknowledged for the
    /// maximum wait.
    pub fn is_over(&self, now: Instant, cfg: &HandOverConfig) -> bool {
        if self.in_flight.is_some() {
            return now >= self.first_sent_at + cfg.ack_timeout;
        }
        match self.authority {
            Authority::Ended | Authority::Lost => true,
            Authority::Pending => false,
            Authority::Successor(_) => self.answers.is_empty(),
        }
    }

    /// The message to send now: the next one, or the last one again if its acknowledgement is
    /// overdue.
    pub fn take_due(
        &mut self,
        now: Instant,
        cfg: &HandOverConfig,
        table: &ClaimTable,
    ) -> Option<Arc<HandOverMessage>> {
        if now >= self.expires_at {
            return None;
        }
        if let Some(message) = &self.in_flight {
            if now < self.sent_at + cfg.resend_after {
                return None;
            }
            self.sent_at = now;
            return Some(Arc::clone(message));
        }
        let message = Arc::new(self.next_message(now, cfg, table)?);
        self.in_flight = Some(Arc::clone(&message));
        (self.sent_at, self.first_sent_at) = (now, now);
        Some(message)
    }

    fn next_message(
        &mut self,
        now: Instant,
        cfg: &HandOverConfig,
        table: &ClaimTable,
    ) -> Option<HandOverMessage> {
        let mut message = HandOverMessage {
            from: self.from,
            successor: self.successor.incarnation,
            owner: table.incarnation(),
            key: table.key(),
            low_watermark: table.low_watermark(),
            retention: self.expires_at.saturating_duration_since(now),
            number: self.next_number,
            grants_authority: false,
            claims: Vec::new(),
        };
        if let Some(from) = self.next_claim {
            self.fill_claims(from, cfg, table, &mut message);
            return Some(message);
        }
        if !matches!(self.authority, Authority::Successor(_)) {
            return None;
        }
        message.claims = self.next_answers(cfg, table);
        (!message.claims.is_empty()).then_some(message)
    }

    /// Adds claims from sequence `from` on; the last claims grant the authority.
    fn fill_claims(
        &mut self,
        from: u64,
        cfg: &HandOverConfig,
        table: &ClaimTable,
        message: &mut HandOverMessage,
    ) {
        let mut claims = table.claims_from(from);
        for (seq, claim) in claims.by_ref().take(cfg.max_claims) {
            if matches!(claim, Claim::Answered { .. }) {
                self.answers.push_back(seq);
            }
            let state = state_without_answer(claim);
            message.claims.push(HandedClaim { seq, state });
        }
        self.next_claim = claims.next().map(|(seq, _)| seq);
        message.grants_authority = self.next_claim.is_none();
    }

    fn next_answers(&mut self, cfg: &HandOverConfig, table: &ClaimTable) -> Vec<HandedClaim> {
        let (mut claims, mut bytes) = (Vec::new(), 0);
        while bytes < cfg.max_answer_bytes && claims.len() < cfg.max_claims {
            let Some(seq) = self.answers.pop_front() else {
                break;
            };
            let Some(state) = table.claim_at(seq).and_then(final_state) else {
                continue;
            };
            let state = limit_answer_size(cfg.max_single_answer_bytes, state);
            if let HandedState::Answered { answer, .. } = &state {
                bytes += answer.bytes();
            }
            claims.push(HandedClaim { seq, state });
        }
        claims
    }

    /// Applies the successor's reply to a message; returns whether the authority has changed.
    pub fn take_reply(&mut self, number: u64, reply: HandOverReply) -> bool {
        let Some(message) = self.in_flight.take_if(|message| message.number == number) else {
            return false;
        };
        self.next_number = number + 1;
        let before = self.authority;
        self.authority = match reply {
            HandOverReply::Taken if message.grants_authority => {
                Authority::Successor(self.successor)
            }
            HandOverReply::Refused if before == Authority::Pending => Authority::Ended,
            HandOverReply::NotTaken if before == Authority::Pending => Authority::Lost,
            HandOverReply::Taken | HandOverReply::Refused | HandOverReply::NotTaken => before,
        };
        if reply != HandOverReply::Taken {
            self.next_claim = None;
            self.answers.clear();
        }
        before != self.authority
    }
}

/// State of a claim without its answer: answers are sent later, so that the authority passes
/// without delay.
fn state_without_answer(claim: &Claim) -> HandedState {
    match claim {
        Claim::Active { body_digest, .. }
        | Claim::Elsewhere { body_digest }
        | Claim::Answered { body_digest, .. } => HandedState::Elsewhere {
            body_digest: *body_digest,
        },
        Claim::Dropped {
            body_digest,
            verdict,
        } => HandedState::Dropped {
            body_digest: *body_digest,
            verdict: *verdict,
        },
        Claim::NotRun { reason } => HandedState::NotRun { reason: *reason },
    }
}

/// State of a claim with its answer; `None` while the job is in flight.
fn final_state(claim: &Claim) -> Option<HandedState> {
    match claim {
        Claim::Answered {
            body_digest,
            answer,
        } => Some(HandedState::Answered {
            body_digest: *body_digest,
            answer: Arc::clone(answer),
        }),
        Claim::Active { .. } | Claim::Elsewhere { .. } => None,
        Claim::Dropped { .. } | Claim::NotRun { .. } => Some(state_without_answer(claim)),
    }
}

/// Reduces an answer that is too large for a message to its verdict.
fn limit_answer_size(max_bytes: usize, state: HandedState) -> HandedState {
    match state {
        HandedState::Answered {
            body_digest,
            answer,
        } if answer.bytes() > max_bytes => HandedState::Dropped {
            body_digest,
            verdict: answer.verdict,
        },
        state => state,
    }
}

impl From<HandedState> for Claim {
    fn from(state: HandedState) -> Self {
        match state {
            HandedState::Elsewhere { body_digest } => Self::Elsewhere { body_digest },
            HandedState::Answered {
                body_digest,
                answer,
            } => Self::Answered {
                body_digest,
                answer,
            },
            HandedState::Dropped {
                body_digest,
                verdict,
            } => Self::Dropped {
                body_digest,
                verdict,
            },
            HandedState::NotRun { reason } => Self::NotRun { reason },
        }
    }
}
