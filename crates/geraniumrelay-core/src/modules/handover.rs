//! Hand-over of a claim table to one heir: its messages, and the sending side.
//!
//! The heir is named by its incarnation and never changes. Messages are numbered and sent one at a
//! time, the same one again until it is acknowledged, so a lost acknowledgement can't make a second
//! heir. First go all claims, without answers; the last of them grants the authority to start
//! tickets that are not known. Answers follow, those of jobs in flight as they end.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use derive_more::{Display, FromStr};

use crate::configs::handover::HandOverConfig;
use crate::effect::Answer;
use crate::modules::claims::{Claim, ClaimTable};
use crate::reason::Reason;
use crate::ticket::{Incarnation, TicketKey};
use crate::verdict::Verdict;

/// What is handed over of one ticket.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum HandedState {
    /// In flight, or answered, at the sender; its answer follows.
    Elsewhere {
        /// Hash of the body.
        body_digest: u128,
    },
    /// Answered.
    Answered {
        /// Hash of the body.
        body_digest: u128,
        /// The answer.
        answer: Arc<Answer>,
    },
    /// Answered; the answer is no longer kept.
    Dropped {
        /// Hash of the body.
        body_digest: u128,
        /// Verdict of the dropped answer.
        verdict: Verdict,
    },
    /// Refused or cancelled before anything started.
    Spent {
        /// Why.
        reason: Reason,
    },
}

/// One claim of a table that is handed over.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HandedClaim {
    /// Sequence of its ticket.
    pub seq: u64,
    /// What is known of it.
    pub state: HandedState,
}

/// One message of a hand-over.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HandOverMessage {
    /// Incarnation that hands over.
    pub from: Incarnation,
    /// The only incarnation that may take it.
    pub successor: Incarnation,
    /// Incarnation whose tickets these are.
    pub owner: Incarnation,
    /// Secret of the owner's tickets.
    pub key: TicketKey,
    /// Lowest sequence whose absence proves that it was never submitted.
    pub low_watermark: u64,
    /// Time for which the table is still to be kept.
    pub retention: Duration,
    /// Position of the message in the hand-over, from 0.
    pub number: u64,
    /// Whether the heir may start unknown tickets from now on.
    pub grants_authority: bool,
    /// The claims.
    pub claims: Vec<HandedClaim>,
}

/// What the heir says to a message.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, FromStr)]
#[display(rename_all = "kebab-case")]
#[from_str(rename_all = "kebab-case")]
pub enum HandOverReply {
    /// Taken, now or before.
    Taken,
    /// Not taken, and never will be: the named heir is stopping itself.
    Refused,
    /// Not taken now: another incarnation, no room, or a table that has ended; what became of an
    /// earlier or later copy is not known.
    NotTaken,
}

/// A process, named by its incarnation, and where it was heard.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Successor {
    /// Its incarnation.
    pub incarnation: Incarnation,
    /// Its peer address.
    pub address: SocketAddr,
}

/// Who may start the tickets of a table that is being handed over.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Authority {
    /// Not known until the heir acknowledges.
    Handing,
    /// The heir.
    Successor(Successor),
    /// Nobody: the heir refused before it took anything, so nothing unknown ever starts.
    Ended,
    /// Nobody here; the named heir may have taken it and gone.
    Lost,
}

/// The sending side of one hand-over.
#[derive(Debug)]
pub struct HandOver {
    from: Incarnation,
    successor: Successor,
    authority: Authority,
    next_claim: Option<u64>,
    answers: VecDeque<u64>,
    in_flight: Option<Arc<HandOverMessage>>,
    next_number: u64,
    sent_at: Instant,
    first_sent_at: Instant,
    ends_at: Instant,
}

impl HandOver {
    /// Begins to hand a table over; it is to be kept until `ends_at`.
    pub fn new(from: Incarnation, successor: Successor, now: Instant, ends_at: Instant) -> Self {
        Self {
            from,
            successor,
            authority: Authority::Handing,
            next_claim: Some(0),
            answers: VecDeque::new(),
            in_flight: None,
            next_number: 0,
            sent_at: now,
            first_sent_at: now,
            ends_at,
        }
    }

    /// The heir.
    pub fn successor(&self) -> Successor {
        self.successor
    }

    /// Who may start unknown tickets.
    pub fn authority(&self) -> Authority {
        self.authority
    }

    /// Notes that a ticket has got its answer here, which the heir needs.
    pub fn note_answer(&mut self, seq: u64) {
        if matches!(self.authority, Authority::Handing | Authority::Successor(_)) {
            self.answers.push_back(seq);
        }
    }

    /// Whether nothing more is to be sent, or the heir has been silent for too long.
    pub fn is_over(&self, now: Instant, cfg: &HandOverConfig) -> bool {
        if self.in_flight.is_some() {
            return now >= self.first_sent_at + cfg.give_up;
        }
        match self.authority {
            Authority::Ended | Authority::Lost => true,
            Authority::Handing => false,
            Authority::Successor(_) => self.answers.is_empty(),
        }
    }

    /// The message to send now: the next, or the last again where its acknowledgement is overdue.
    pub fn take_due(
        &mut self,
        now: Instant,
        cfg: &HandOverConfig,
        book: &ClaimTable,
    ) -> Option<Arc<HandOverMessage>> {
        if now >= self.ends_at {
            return None;
        }
        if let Some(message) = &self.in_flight {
            if now < self.sent_at + cfg.repeat_after {
                return None;
            }
            self.sent_at = now;
            return Some(Arc::clone(message));
        }
        let message = Arc::new(self.next_message(now, cfg, book)?);
        self.in_flight = Some(Arc::clone(&message));
        (self.sent_at, self.first_sent_at) = (now, now);
        Some(message)
    }

    fn next_message(
        &mut self,
        now: Instant,
        cfg: &HandOverConfig,
        book: &ClaimTable,
    ) -> Option<HandOverMessage> {
        let mut message = HandOverMessage {
            from: self.from,
            successor: self.successor.incarnation,
            owner: book.incarnation(),
            key: book.key(),
            low_watermark: book.low_watermark(),
            retention: self.ends_at.saturating_duration_since(now),
            number: self.next_number,
            grants_authority: false,
            claims: Vec::new(),
        };
        if let Some(from) = self.next_claim {
            self.fill_claims(from, cfg, book, &mut message);
            return Some(message);
        }
        if !matches!(self.authority, Authority::Successor(_)) {
            return None;
        }
        message.claims = self.take_answers(cfg, book);
        (!message.claims.is_empty()).then_some(message)
    }

    fn fill_claims(
        &mut self,
        from: u64,
        cfg: &HandOverConfig,
        book: &ClaimTable,
        message: &mut HandOverMessage,
    ) {
        let mut claims = book.claims_from(from);
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

    fn take_answers(&mut self, cfg: &HandOverConfig, book: &ClaimTable) -> Vec<HandedClaim> {
        let (mut claims, mut bytes) = (Vec::new(), 0);
        while bytes < cfg.max_answer_bytes && claims.len() < cfg.max_claims {
            let Some(seq) = self.answers.pop_front() else {
                break;
            };
            let Some(state) = book.claim_at(seq).and_then(settled_state) else {
                continue;
            };
            let state = within(cfg.max_single_answer_bytes, state);
            if let HandedState::Answered { answer, .. } = &state {
                bytes += answer.bytes();
            }
            claims.push(HandedClaim { seq, state });
        }
        claims
    }

    /// Takes the heir's reply to a message; returns whether the authority has changed.
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
            HandOverReply::Refused if before == Authority::Handing => Authority::Ended,
            HandOverReply::NotTaken if before == Authority::Handing => Authority::Lost,
            HandOverReply::Taken | HandOverReply::Refused | HandOverReply::NotTaken => before,
        };
        if reply != HandOverReply::Taken {
            self.next_claim = None;
            self.answers.clear();
        }
        before != self.authority
    }
}

/// Answers follow later, so that the authority goes over at once.
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
        Claim::Spent { reason } => HandedState::Spent { reason: *reason },
    }
}

fn settled_state(claim: &Claim) -> Option<HandedState> {
    match claim {
        Claim::Answered {
            body_digest,
            answer,
        } => Some(HandedState::Answered {
            body_digest: *body_digest,
            answer: Arc::clone(answer),
        }),
        Claim::Active { .. } | Claim::Elsewhere { .. } => None,
        Claim::Dropped { .. } | Claim::Spent { .. } => Some(state_without_answer(claim)),
    }
}

/// Leaves only the verdict of an answer that no message would hold.
fn within(max_bytes: usize, state: HandedState) -> HandedState {
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
            HandedState::Spent { reason } => Self::Spent { reason },
        }
    }
}
