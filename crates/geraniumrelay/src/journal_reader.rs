//! Kept answers of submissions whose owner is gone, read from the journal.

use std::sync::atomic::{AtomicUsize, Ordering};

use geraniumrelay_core::{Reason, Rejection, Reply, Ticket, Verdict};
use geraniumrelay_platform::{JournalStore, PlatformClient};
use geraniumrelay_wire::JournalRow;
use log::warn;

use crate::convert;

/// Most reads at once; beyond it the caller keeps the reply that it would get without a journal.
const MAX_READS: usize = 32;

/// Reads the journal for the threads that hold callers' connections.
#[derive(Debug)]
pub struct JournalReader {
    client: PlatformClient,
    reads: AtomicUsize,
}

impl JournalReader {
    /// Reads through `client`.
    pub fn new(client: PlatformClient) -> Self {
        Self {
            client,
            reads: AtomicUsize::new(0),
        }
    }

    /// The reply to give in place of `reply`: what the journal kept of the ticket, where the owner
    /// can't say. `digest` is the hash of the body of a resubmission.
    pub fn instead_of(&self, reply: Reply, ticket: Ticket, digest: Option<u128>) -> Reply {
        let Reply::Rejected(rejection) = &reply else {
            return reply;
        };
        if !is_owner_at_a_loss(rejection.reason) {
            return reply;
        }
        self.read(ticket)
            .and_then(|row| reply_of(row, digest))
            .unwrap_or(reply)
    }

    fn read(&self, ticket: Ticket) -> Option<JournalRow> {
        let reads = self.reads.fetch_add(1, Ordering::SeqCst);
        let row = if reads < MAX_READS {
            JournalStore::new(&self.client).row(&ticket.to_string())
        } else {
            Ok(None)
        };
        self.reads.fetch_sub(1, Ordering::SeqCst);
        row.unwrap_or_else(|e| {
            warn!(ticket:% = ticket, error = e.to_string().as_str(); "journal_not_read");
            None
        })
    }
}

fn is_owner_at_a_loss(reason: Reason) -> bool {
    matches!(
        reason,
        Reason::OwnerGone
            | Reason::OwnerUnreachable
            | Reason::AnswerDropped
            | Reason::TicketExpired
    )
}

/// Reply from a row; `None` where the row has no end of the submission.
fn reply_of(row: JournalRow, digest: Option<u128>) -> Option<Reply> {
    if digest.is_some_and(|digest| convert::digest_text(digest) != row.digest) {
        let rejection = Rejection::may_have_run(Reason::OtherBody);
        return Some(Reply::Rejected(rejection));
    }
    if let Some(answer) = row.answer {
        return convert::read_answer(answer);
    }
    let verdict: Verdict = row.verdict.parse().ok()?;
    Some(Reply::Rejected(Rejection {
        verdict,
        reason: Reason::AnswerDropped,
        retry_after: None,
    }))
}
