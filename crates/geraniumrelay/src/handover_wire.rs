//! Conversions of hand-over messages between the generated wire types and the types of the
//! dispatcher.

use std::sync::Arc;
use std::time::Duration;

use derive_more::{Display, FromStr};
use geraniumrelay_core::modules::handover::{
    HandOverMessage, HandOverReply, HandedClaim, HandedState,
};
use geraniumrelay_core::{Answer, Incarnation, TicketKey};
use geraniumrelay_wire as wire;

use crate::convert;

/// State of a claim, as its text in the `state` field of a message; peers parse these names.
#[derive(Debug, Clone, Copy, Display, FromStr)]
#[display(rename_all = "kebab-case")]
#[from_str(rename_all = "kebab-case")]
enum StateName {
    Elsewhere,
    Answered,
    Dropped,
    Spent,
}

/// Writes a hand-over message; the retention is in milliseconds.
pub fn hand_over(message: &HandOverMessage) -> wire::HandOver {
    wire::HandOver {
        from: message.from.0,
        heir: message.successor.0,
        owner: message.owner.0,
        key: message.key.0.to_vec(),
        floor: message.low_watermark,
        keep_ms: u64::try_from(message.retention.as_millis()).unwrap_or(u64::MAX),
        number: message.number,
        grants_authority: message.grants_authority,
        claims: message.claims.iter().map(handed_claim).collect(),
    }
}

/// Reads a hand-over message; `None` if any part of it is malformed.
pub fn read_hand_over(message: wire::HandOver) -> Option<HandOverMessage> {
    let claims = message.claims.into_iter().map(read_claim);
    Some(HandOverMessage {
        from: Incarnation(message.from),
        successor: Incarnation(message.heir),
        owner: Incarnation(message.owner),
        key: TicketKey(message.key.try_into().ok()?),
        low_watermark: message.floor,
        retention: Duration::from_millis(message.keep_ms),
        number: message.number,
        grants_authority: message.grants_authority,
        claims: claims.collect::<Option<_>>()?,
    })
}

/// Writes the reply of the successor.
pub fn hand_over_reply(reply: HandOverReply) -> wire::HandOverReply {
    wire::HandOverReply {
        outcome: reply.to_string(),
    }
}

/// Reads the reply of the successor; `None` if it is malformed.
pub fn read_hand_over_reply(reply: &wire::HandOverReply) -> Option<HandOverReply> {
    reply.outcome.parse().ok()
}

fn handed_claim(claim: &HandedClaim) -> wire::HandedClaim {
    let empty = wire::HandedClaim {
        seq: claim.seq,
        ..wire::HandedClaim::default()
    };
    match &claim.state {
        HandedState::Elsewhere { body_digest } => {
            with_body_digest(empty, StateName::Elsewhere, *body_digest)
        }
        HandedState::Answered {
            body_digest,
            answer,
        } => wire::HandedClaim {
            verdict: answer.verdict.to_string(),
            reason: convert::reason_text(answer.reason),
            tasks: convert::task_answers(answer),
            ..with_body_digest(empty, StateName::Answered, *body_digest)
        },
        HandedState::Dropped {
            body_digest,
            verdict,
        } => wire::HandedClaim {
            verdict: verdict.to_string(),
            ..with_body_digest(empty, StateName::Dropped, *body_digest)
        },
        HandedState::NotRun { reason } => wire::HandedClaim {
            state: StateName::Spent.to_string(),
            reason: reason.to_string(),
            ..empty
        },
    }
}

#[expect(
    clippy::cast_possible_truncation,
    reason = "the body digest is split into two 64-bit halves"
)]
fn with_body_digest(
    claim: wire::HandedClaim,
    state: StateName,
    body_digest: u128,
) -> wire::HandedClaim {
    wire::HandedClaim {
        state: state.to_string(),
        digest_high: (body_digest >> u64::BITS) as u64,
        digest_low: body_digest as u64,
        ..claim
    }
}

fn read_claim(claim: wire::HandedClaim) -> Option<HandedClaim> {
    let body_digest = u128::from(claim.digest_high) << u64::BITS | u128::from(claim.digest_low);
    let state = match claim.state.parse().ok()? {
        StateName::Elsewhere => HandedState::Elsewhere { body_digest },
        StateName::Dropped => HandedState::Dropped {
            body_digest,
            verdict: claim.verdict.parse().ok()?,
        },
        StateName::Spent => HandedState::NotRun {
            reason: claim.reason.parse().ok()?,
        },
        StateName::Answered => HandedState::Answered {
            body_digest,
            answer: Arc::new(Answer {
                verdict: claim.verdict.parse().ok()?,
                reason: convert::read_reason(&claim.reason).ok()?,
                tasks: convert::read_tasks(claim.tasks)?,
            }),
        },
    };
    Some(HandedClaim {
        seq: claim.seq,
        state,
    })
}

#[cfg(test)]
mod tests {
    use super::*;
    use geraniumrelay_core::{Reason, TaskResult, Verdict};

    #[test]
    fn hand_over_message_round_trips() {
        let answer = Arc::new(Answer {
            verdict: Verdict::Failed,
            reason: Some(Reason::TaskFailed),
            tasks: vec![TaskResult {
                verdict: Verdict::Failed,
                output: String::new(),
            }],
        });
        let body_digest = u128::MAX - 5;
        let states = [
            HandedState::Elsewhere { body_digest },
            HandedState::Answered {
                body_digest,
                answer,
            },
            HandedState::Dropped {
                body_digest,
                verdict: Verdict::MayHaveRun,
            },
            HandedState::NotRun {
                reason: Reason::QueueFull,
            },
        ];
        let message = HandOverMessage {
            from: Incarnation(1),
            successor: Incarnation(2),
            owner: Incarnation(3),
            key: TicketKey([7; 16]),
            low_watermark: 9,
            retention: Duration::from_secs(8),
            number: 4,
            grants_authority: true,
            claims: (9..)
                .zip(states)
                .map(|(seq, state)| HandedClaim { seq, state })
                .collect(),
        };
        assert_eq!(read_hand_over(hand_over(&message)), Some(message));
    }
}
