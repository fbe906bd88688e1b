//! Writes the journal in group commits, on a thread of its own and within a write budget.

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

/// Entries that may wait for the journal's thread.
const RING_ENTRIES: usize = 16_384;

/// Longest time between two writes of the writer row; readers tell a dead writer by its age.
const WRITER_INTERVAL: Duration = Duration::from_secs(10);

/// Pause after a commit that failed.
const RETRY_PAUSE: Duration = Duration::from_millis(500);

/// One entry of the ring to the journal's thread.
#[derive(Debug)]
pub enum JournalInput {
    /// Something to write.
    Entry(Box<JournalEntry>),
    /// Write everything, say so, and end.
    Close(Sender<()>),
}

/// Ring to the journal's thread.
#[derive(Debug, Clone)]
pub struct JournalTx {
    tx: Sender<JournalInput>,
    /// Entries for which the ring had no room.
    lost: Arc<AtomicU64>,
}

impl JournalTx {
    /// Makes the ring.
    pub fn ring() -> (Self, Receiver<JournalInput>) {
        let (tx, rx) = flume::bounded(RING_ENTRIES);
        let lost = Arc::default();
        (Self { tx, lost }, rx)
    }

    /// Hands an entry over; never waits. What finds no room counts as missing from the journal.
    pub fn record(&self, entry: JournalEntry) {
        if self
            .tx
            .try_send(JournalInput::Entry(Box::new(entry)))
            .is_err()
        {
            self.lost.fetch_add(1, Ordering::Relaxed);
        }
    }

    /// Has everything written; returns whether that was done by `until`.
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

    fn lost(&self) -> u64 {
        self.lost.load(Ordering::Relaxed)
    }
}

/// Settings of the journal's thread.
#[derive(Debug, Clone)]
pub struct JournalSettings {
    /// Bounds.
    pub cfg: JournalConfig,
    /// Time for which rows are kept.
    pub ttl: Duration,
    /// Least time between two commits.
    pub commit_interval: Duration,
}

/// State of the journal's thread.
#[derive(Debug)]
pub struct Journal<C> {
    clock: C,
    client: PlatformClient,
    identity: Identity,
    settings: JournalSettings,
    tx: JournalTx,
    book: JournalBuffer,
    /// Commit whose outcome is not known yet; nothing else is written before it.
    unsettled: Option<JournalCommit>,
    writer_version: u64,
    commits: u64,
}

impl<C: Clock> Journal<C> {
    /// Makes the thread's state.
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
            book: JournalBuffer::default(),
            unsettled: None,
            writer_version: 0,
            commits: 0,
        }
    }

    /// Writes until it is closed.
    pub fn run(mut self, rx: &Receiver<JournalInput>, metrics: &Metrics) {
        let mut next_commit = self.clock.now();
        let mut writer_due = next_commit;
        loop {
            let closed = self.take_in(rx, next_commit, writer_due);
            self.report(metrics);
            if let Some(tx) = closed {
                self.write_rest(metrics);
                // Whoever asked may have given up.
                let _ = tx.send(());
                return;
            }
            let now = self.clock.now();
            let pause = if self.write_one(false, metrics) {
                writer_due = now + WRITER_INTERVAL;
                self.settings.commit_interval
            } else {
                RETRY_PAUSE
            };
            self.report(metrics);
            next_commit = now + pause;
        }
    }

    /// Takes entries in until a commit is due: at `next_commit` where there is something to write,
    /// at `writer_due` where there is not. Returns early with whoever wants the journal closed.
    fn take_in(
        &mut self,
        rx: &Receiver<JournalInput>,
        next_commit: Instant,
        writer_due: Instant,
    ) -> Option<Sender<()>> {
        // What waits is taken in also after a commit that took long, so that the ring has room.
        for input in rx.try_iter().take(RING_ENTRIES) {
            if let Some(closed) = self.take(input) {
                return Some(closed);
            }
        }
        loop {
            let has_work = !self.book.is_empty() || self.unsettled.is_some();
            let until = if has_work {
                next_commit
            } else {
                writer_due.max(next_commit)
            };
            if has_work && self.clock.now() >= until {
                return None;
            }
            match rx.recv_deadline(until) {
                Ok(input) => {
                    if let Some(closed) = self.take(input) {
                        return Some(closed);
                    }
                }
                Err(_) => return None,
            }
        }
    }

    fn take(&mut self, input: JournalInput) -> Option<Sender<()>> {
        match input {
            JournalInput::Entry(entry) => {
                self.book.add(&self.settings.cfg, *entry);
                None
            }
            JournalInput::Close(tx) => Some(tx),
        }
    }

    /// Writes one commit; returns whether it took effect.
    fn write_one(&mut self, is_last: bool, metrics: &Metrics) -> bool {
        let commit = match self.unsettled.take() {
            Some(commit) => commit,
            None => self.next_commit(is_last),
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
                self.unsettled = Some(JournalCommit {
                    writer_version,
                    ..commit
                });
            }
            Err(e) => {
                metrics.durable.count_journal_commit("error", 0);
                warn!(rows = commit.rows.len(), error = e.to_string().as_str(); "journal_not_written");
                self.unsettled = Some(commit);
            }
        }
        false
    }

    fn write_rest(&mut self, metrics: &Metrics) {
        while !self.book.is_empty() || self.unsettled.is_some() {
            if !self.write_one(false, metrics) {
                std::thread::sleep(RETRY_PAUSE);
            }
        }
        if self.write_one(true, metrics) {
            info!(commits = self.commits; "journal_closed");
        }
    }

    fn next_commit(&mut self, closed: bool) -> JournalCommit {
        let (now, wall) = (self.clock.now(), self.clock.wall());
        let batch = self.book.take_batch(&self.settings.cfg);
        let complete_until = self.book.oldest().unwrap_or(now);
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
        let unsettled = self
            .unsettled
            .as_ref()
            .map_or(0, |commit| commit.rows.len());
        let entries = self.book.len() + unsettled;
        metrics
            .durable
            .set_journal(entries, self.book.bytes(), self.dropped());
    }

    fn dropped(&self) -> u64 {
        self.book.dropped() + self.tx.lost()
    }
}

/// Calendar time of an instant, given one pair of both.
fn wall_time(wall: SystemTime, now: Instant, at: Instant) -> String {
    let at = wall - now.saturating_duration_since(at);
    humantime::format_rfc3339_millis(at).to_string()
}
