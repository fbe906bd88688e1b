//! Writes the journal in group commits. A thread of its own keeps slow writes off the decision
//! thread, and a minimum interval between commits bounds the write load on the platform's table.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant, SystemTime};

use flume::{Receiver, Sender};
use geraniumrelay_core::configs::journal::JournalConfig;
use geraniumrelay_core::modules::journal::{JournalBuffer, JournalEntry, Outcome, PendingEntry};
use geraniumrelay_core::{Clock, Identity};
use geraniumrelay_platform::{CommitOutcome, JournalCommit, JournalStore, PlatformClient};
use geraniumrelay_wire::{JournalRow, JournalWriter};
use log::{info, warn};

use crate::convert;
use crate::metrics::Metrics;

/// Capacity of the queue to the journal thread, in entries.
const QUEUE_ENTRIES: usize = 16_384;

/// Maximum interval between two writes of the writer row; readers detect a dead writer by the age
/// of this row.
const WRITER_INTERVAL: Duration = Duration::from_secs(10);

/// Pause between a failed commit and its retry.
const RETRY_PAUSE: Duration = Duration::from_millis(500);

/// Message to the journal thread.
#[derive(Debug)]
pub enum JournalInput {
    /// An entry to write.
    Entry(Box<JournalEntry>),
    /// Write all entries, reply on this channel, and end the thread.
    Close(Sender<()>),
}

/// Sending end of the queue to the journal thread.
#[derive(Debug, Clone)]
pub struct JournalTx {
    tx: Sender<JournalInput>,
    /// Number of entries that could not be queued.
    dropped: Arc<AtomicU64>,
}

impl JournalTx {
    /// Creates the queue.
    pub fn channel() -> (Self, Receiver<JournalInput>) {
        let (tx, rx) = flume::bounded(QUEUE_ENTRIES);
        let dropped = Arc::default();
        (Self { tx, dropped }, rx)
    }

    /// Queues an entry without blocking. If the queue is full or the thread has ended, the entry is
    /// dropped and counted as missing from the journal.
    pub fn record(&self, entry: JournalEntry) {
        if self
            .tx
            .try_send(JournalInput::Entry(Box::new(entry)))
            .is_err()
        {
            self.dropped.fetch_add(1, Ordering::Relaxed);
        }
    }

    /// Has the thread write all entries and end; returns whether it did so by `until`.
    pub fn close(&self, until: Instant) -> bool {
        let (tx, rx) = flume::bounded(1);
        if self
            .tx
            .send_deadline(JournalInput::Close(tx), until)
            .is_err()
        {
            return false;
        }
        rx.recv_deadline(until).is_ok()
    }

    fn dropped(&self) -> u64 {
        self.dropped.load(Ordering::Relaxed)
    }
}

/// Settings of the journal thread.
#[derive(Debug, Clone)]
pub struct JournalSettings {
    /// Limits of the buffer and of one commit.
    pub cfg: JournalConfig,
    /// Lifetime of a row, from the time at which its commit is built.
    pub ttl: Duration,
    /// Minimum interval between two commits.
    pub commit_interval: Duration,
}

/// State of the journal thread.
#[derive(Debug)]
pub struct Journal<C> {
    clock: C,
    client: PlatformClient,
    identity: Identity,
    settings: JournalSettings,
    tx: JournalTx,
    buffer: JournalBuffer,
    /// Commit that failed or whose outcome is unknown; it is retried before any other commit.
    unconfirmed: Option<JournalCommit>,
    writer_version: u64,
    commits: u64,
}

impl<C: Clock> Journal<C> {
    /// Creates the state of a thread that has written nothing yet.
    pub fn new(
        clock: C,
        client: PlatformClient,
        identity: Identity,
        settings: JournalSettings,
        tx: JournalTx,
    ) -> Self {
        Self {
            clock,
            client,
            identity,
            settings,
            tx,
            buffer: JournalBuffer::default(),
            unconfirmed: None,
            writer_version: 0,
            commits: 0,
        }
    }

    /// Writes entries until a [`JournalInput::Close`] arrives.
    pub fn run(mut self, rx: &Receiver<JournalInput>, metrics: &Metrics) {
        let mut commit_due = self.clock.now();
        let mut writer_due = commit_due;
        loop {
            let close_tx = self.receive_until_due(rx, commit_due, writer_due);
            self.report(metrics);
            if let Some(tx) = close_tx {
                self.flush(metrics);
                // The requester may have timed out.
                let _ = tx.send(());
                return;
            }
            let now = self.clock.now();
            let pause = if self.commit_next(false, metrics) {
                writer_due = now + WRITER_INTERVAL;
                self.settings.commit_interval
            } else {
                RETRY_PAUSE
            };
            self.report(metrics);
            commit_due = now + pause;
        }
    }

    /// Buffers received entries until a commit is due: at `commit_due` if there are rows to write,
    /// otherwise at `writer_due`, but not before `commit_due`. Returns early with the reply channel
    /// of a close request.
    fn receive_until_due(
        &mut self,
        rx: &Receiver<JournalInput>,
        commit_due: Instant,
        writer_due: Instant,
    ) -> Option<Sender<()>> {
        // Queued entries are drained even if a slow commit leaves the next one overdue, so that the
        // queue does not fill up.
        for input in rx.try_iter().take(QUEUE_ENTRIES) {
            if let Some(close_tx) = self.handle(input) {
                return Some(close_tx);
            }
        }
        loop {
            let has_work = !self.buffer.is_empty() || self.unconfirmed.is_some();
            let until = if has_work {
                commit_due
            } else {
                writer_due.max(commit_due)
            };
            if has_work && self.clock.now() >= until {
                return None;
            }
            match rx.recv_deadline(until) {
                Ok(input) => {
                    if let Some(close_tx) = self.handle(input) {
                        return Some(close_tx);
                    }
                }
                Err(_) => return None,
            }
        }
    }

    /// Buffers an entry, or returns the reply channel of a close request.
    fn handle(&mut self, input: JournalInput) -> Option<Sender<()>> {
        match input {
            JournalInput::Entry(entry) => {
                self.buffer.add(&self.settings.cfg, *entry);
                None
            }
            JournalInput::Close(tx) => Some(tx),
        }
    }

    /// Writes the unconfirmed commit if there is one, otherwise the next batch; returns whether the
    /// commit is confirmed.
    fn commit_next(&mut self, is_last: bool, metrics: &Metrics) -> bool {
        let commit = match self.unconfirmed.take() {
            Some(commit) => commit,
            None => self.build_commit(is_last),
        };
        match JournalStore::new(&self.client).commit(&commit) {
            Ok(CommitOutcome::Committed { writer_version }) => {
                self.writer_version = writer_version;
                let rows = commit.rows.len();
                metrics.durable.count_journal_commit("committed", rows);
                return true;
            }
            Ok(CommitOutcome::Conflict { writer_version }) => {
                metrics.durable.count_journal_commit("conflict", 0);
                self.unconfirmed = Some(JournalCommit {
                    writer_version,
                    ..commit
                });
            }
            Err(e) => {
                metrics.durable.count_journal_commit("error", 0);
                warn!(rows = commit.rows.len(), error = e.to_string().as_str(); "journal_not_written");
                self.unconfirmed = Some(commit);
            }
        }
        false
    }

    /// Writes all remaining entries and marks the writer row as closed.
    fn flush(&mut self, metrics: &Metrics) {
        while !self.buffer.is_empty() || self.unconfirmed.is_some() {
            if !self.commit_next(false, metrics) {
                std::thread::sleep(RETRY_PAUSE);
            }
        }
        if self.commit_next(true, metrics) {
            info!(commits = self.commits; "journal_closed");
        }
    }

    fn build_commit(&mut self, closed: bool) -> JournalCommit {
        let (now, wall) = (self.clock.now(), self.clock.wall());
        let batch = self.buffer.take_batch(&self.settings.cfg);
        let complete_until = self.buffer.oldest().unwrap_or(now);
        self.commits += 1;
        let writer = JournalWriter {
            incarnation: self.identity.incarnation.0,
            vm: self.identity.vm.to_string(),
            data_centre: self.identity.data_centre.to_string(),
            commit: self.commits,
            complete_until: wall_time(wall, now, complete_until),
            dropped: self.dropped(),
            closed,
            written_at: wall_time(wall, now, now),
        };
        JournalCommit {
            writer,
            writer_version: self.writer_version,
            rows: batch
                .iter()
                .map(|entry| self.row_of(entry, wall, now))
                .collect(),
            expires: wall + self.settings.ttl,
        }
    }

    fn row_of(&self, entry: &PendingEntry, wall: SystemTime, now: Instant) -> JournalRow {
        let intent = &entry.intent;
        let verdict = entry.outcome.as_ref().map(Outcome::verdict);
        let answer = match &entry.outcome {
            Some(Outcome::Answer(answer)) => Some(convert::job_answer(intent.ticket, answer)),
            Some(Outcome::Verdict(_)) | None => None,
        };
        JournalRow {
            ticket: intent.ticket.to_string(),
            service: intent.service.to_string(),
            kind: intent.kind.to_string(),
            team: intent.team.map(|team| team.to_string()).unwrap_or_default(),
            tasks: intent.tasks,
            digest: convert::digest_text(intent.digest),
            taken_in: wall_time(wall, now, intent.taken_in),
            verdict: verdict.map(|v| v.to_string()).unwrap_or_default(),
            answer,
            writer: self.identity.incarnation.0,
        }
    }

    fn report(&self, metrics: &Metrics) {
        let unconfirmed_rows = self
            .unconfirmed
            .as_ref()
            .map_or(0, |commit| commit.rows.len());
        let entries = self.buffer.len() + unconfirmed_rows;
        metrics
            .durable
            .set_journal(entries, self.buffer.bytes(), self.dropped());
    }

    fn dropped(&self) -> u64 {
        self.buffer.dropped() + self.tx.dropped()
    }
}

/// RFC 3339 text of an instant at or before `now`; `wall` is the calendar time at `now`.
fn wall_time(wall: SystemTime, now: Instant, at: Instant) -> String {
    let at = wall - now.saturating_duration_since(at);
    humantime::format_rfc3339_millis(at).to_string()
}
