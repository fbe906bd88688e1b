//! Kept answers of submissions whose owner is gone, read from the journal on threads of their own.

use std::time::Duration;

use flume::{Receiver, Sender};
use geraniumrelay_core::{Reason, Rejection, Reply, Ticket, Verdict};
use geraniumrelay_platform::{JournalStore, PlatformClient, PlatformConfig};
use geraniumrelay_wire::JournalRow;
use log::warn;

use crate::convert;
use crate::process::spawn;

/// Threads that read.
const THREADS: usize = 4;

/// Reads that may wait; beyond it a caller keeps the reply that it would get without a journal.
const RING_ENTRIES: usize = 32;

/// Longest time of one read.
const READ_TIMEOUT: Duration = Duration::from_millis(500);

/// One read that somebody waits for.
#[derive(Debug)]
struct Read {
    ticket: Ticket,
    tx: Sender<Option<JournalRow>>,
}

/// Ring to the threads that read the journal.
#[derive(Debug, Clone)]
pub struct JournalReaderTx(Sender<Read>);

impl JournalReaderTx {
    /// Starts the threads.
    ///
    /// # Errors
    /// Threads that can't be started.
    pub fn spawn(cfg: &PlatformConfig) -> std::io::Result<Self> {
        let (tx, rx) = flume::bounded(RING_ENTRIES);
        for _ in 0..THREADS {
            let client = PlatformClient::new(cfg.clone().with_timeout(READ_TIMEOUT));
            let rx = rx.clone();
            spawn("journal-read", move || run(&client, &rx))?;
        }
        Ok(Self(tx))
    }

    /// The reply to give in place of `reply`: what the journal kept of the ticket, where the owner
    /// can't say. `digest` is the hash of the body of a resubmission.
    pub async fn recover_reply(&self, reply: Reply, ticket: Ticket, digest: Option<u128>) -> Reply {
        let Reply::Rejected(rejection) = &reply else {
            return reply;
        };
        if !is_owner_at_a_loss(rejection.reason) {
            return reply;
        }
        let row = self.read(ticket).await;
        row.and_then(|row| reply_of(row, digest)).unwrap_or(reply)
    }

    async fn read(&self, ticket: Ticket) -> Option<JournalRow> {
        let (tx, rx) = flume::bounded(1);
        self.0.try_send(Read { ticket, tx }).ok()?;
        rx.recv_async().await.ok()?
    }
}

fn run(client: &PlatformClient, rx: &Receiver<Read>) {
    while let Ok(read) = rx.recv() {
        let row = JournalStore::new(client).row(&read.ticket.to_string());
        let row = row.unwrap_or_else(|e| {
            let error = e.to_string();
            warn!(ticket:% = read.ticket, error = error.as_str(); "journal_not_read");
            None
        });
        // The caller may have gone.
        let _ = read.tx.send(row);
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
