//! Reads the journaled end of a submission when its owner can't give the answer. The reads run on
//! threads of their own, as the platform client blocks.

use std::time::Duration;

use flume::{Receiver, Sender};
use geraniumrelay_core::{Reason, Rejection, Reply, Ticket, Verdict};
use geraniumrelay_platform::{JournalStore, PlatformClient, PlatformConfig};
use geraniumrelay_wire::JournalRow;
use log::warn;

use crate::convert;
use crate::process::spawn;

/// Number of reader threads.
const THREADS: usize = 4;

/// Capacity of the queue to the reader threads, in reads. If the queue is full, the caller gets the
/// reply that it would get without a journal.
const QUEUE_ENTRIES: usize = 32;

/// Time-out of one read.
const READ_TIMEOUT: Duration = Duration::from_millis(500);

/// A queued read of one ticket's row.
#[derive(Debug)]
struct ReadRequest {
    ticket: Ticket,
    tx: Sender<Option<JournalRow>>,
}

/// Sending end of the queue to the journal reader threads.
#[derive(Debug, Clone)]
pub struct JournalReaderTx(Sender<ReadRequest>);

impl JournalReaderTx {
    /// Starts the reader threads.
    ///
    /// # Errors
    /// A thread can't be started.
    pub fn spawn(cfg: &PlatformConfig) -> std::io::Result<Self> {
        let (tx, rx) = flume::bounded(QUEUE_ENTRIES);
        for _ in 0..THREADS {
            let client = PlatformClient::new(cfg.clone().with_timeout(READ_TIMEOUT));
            let rx = rx.clone();
            spawn("journal-read", move || run(&client, &rx))?;
        }
        Ok(Self(tx))
    }

    /// Replaces the refusal of a ticket whose owner can't give the answer by the journaled end.
    /// Returns any other `reply` unchanged, as well as the refusal if the journal has no end or can't
    /// be read.
    ///
    /// `digest` is the body digest of a resubmission; `None` for a query.
    pub async fn recover_reply(&self, reply: Reply, ticket: Ticket, digest: Option<u128>) -> Reply {
        let Reply::Rejected(rejection) = &reply else {
            return reply;
        };
        if !is_answer_unavailable(rejection.reason) {
            return reply;
        }
        let row = self.read(ticket).await;
        row.and_then(|row| reply_from_row(row, digest))
            .unwrap_or(reply)
    }

    async fn read(&self, ticket: Ticket) -> Option<JournalRow> {
        let (tx, rx) = flume::bounded(1);
        self.0.try_send(ReadRequest { ticket, tx }).ok()?;
        rx.recv_async().await.ok()?
    }
}

fn run(client: &PlatformClient, rx: &Receiver<ReadRequest>) {
    while let Ok(request) = rx.recv() {
        let row = JournalStore::new(client).row(&request.ticket.to_string());
        let row = row.unwrap_or_else(|e| {
            let error = e.to_string();
            warn!(ticket:% = request.ticket, error = error.as_str(); "journal_not_read");
            None
        });
        // The receiver is gone if the caller disconnected.
        let _ = request.tx.send(row);
    }
}

/// Whether a refusal means that the owner can't give the answer, so that the journal is read.
fn is_answer_unavailable(reason: Reason) -> bool {
    matches!(
        reason,
        Reason::OwnerGone
            | Reason::OwnerUnreachable
            | Reason::AnswerDropped
            | Reason::TicketExpired
    )
}

/// Converts a journal row to a reply; `None` if the row has no readable end.
fn reply_from_row(row: JournalRow, digest: Option<u128>) -> Option<Reply> {
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
