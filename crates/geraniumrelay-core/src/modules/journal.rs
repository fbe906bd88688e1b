//! Write buffer of the journal of submissions that must not run twice.
//!
//! The dispatcher records an intent before the first start and the answer at the end. While the
//! table is unavailable both wait here, up to a limit in bytes.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Instant;

use crate::collections::Map;
use crate::configs::journal::JournalConfig;
use crate::effect::Answer;
use crate::names::{KindName, ServiceName, TeamName};
use crate::ticket::Ticket;
use crate::verdict::Verdict;

/// Copies of the ticket counted per entry: one in the queue and two for a hash table that may be
/// half empty.
const TICKETS_PER_ENTRY: usize = 3;

/// Fill level at which shedding stops, in quarters of the limit.
const SHED_TARGET_QUARTERS: usize = 3;

/// A submission that is about to start.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Intent {
    /// Ticket that identifies the submission.
    pub ticket: Ticket,
    /// Digest of the submitted body.
    pub digest: u128,
    /// Service that runs the tasks.
    pub service: ServiceName,
    /// Request kind of the tasks.
    pub kind: KindName,
    /// Team; `None` if the submission names none.
    pub team: Option<TeamName>,
    /// Number of tasks.
    pub tasks: u32,
    /// Time at which the owner accepted the submission.
    pub taken_in: Instant,
}

/// One record for the journal.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct JournalEntry {
    /// Submission to record.
    pub intent: Intent,
    /// Answer; `None` before the submission ended.
    pub answer: Option<Arc<Answer>>,
}

/// End of a submission as the journal stores it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Outcome {
    /// The whole answer with its outputs.
    Answer(Arc<Answer>),
    /// The verdict only; the outputs were too large or were shed.
    Verdict(Verdict),
}

impl Outcome {
    /// Verdict of the submission, with or without outputs.
    pub fn verdict(&self) -> Verdict {
        match self {
            Self::Answer(answer) => answer.verdict,
            Self::Verdict(verdict) => *verdict,
        }
    }

    fn bytes(&self) -> usize {
        match self {
            Self::Answer(answer) => answer.bytes(),
            Self::Verdict(_) => 0,
        }
    }
}

/// An entry that waits to be written to the table.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PendingEntry {
    /// Submission to record.
    pub intent: Intent,
    /// End of the submission; `None` while the submission is open.
    pub outcome: Option<Outcome>,
    /// Whether the table has no row of the submission yet.
    is_unwritten: bool,
}

impl PendingEntry {
    fn bytes(&self) -> usize {
        size_of::<Self>()
            + size_of::<Ticket>() * TICKETS_PER_ENTRY
            + self.outcome.as_ref().map_or(0, Outcome::bytes)
    }
}

/// Entries that wait to be written, oldest first.
#[derive(Debug, Default)]
pub struct JournalBuffer {
    order: VecDeque<Ticket>,
    entries: Map<Ticket, Box<PendingEntry>>,
    bytes: usize,
    dropped: u64,
}

impl JournalBuffer {
    /// Adds an entry; an answer is merged into its intent if the intent still waits.
    pub fn add(&mut self, cfg: &JournalConfig, entry: JournalEntry) {
        let outcome = entry.answer.map(|answer| {
            if answer.bytes() > cfg.max_answer_bytes {
                Outcome::Verdict(answer.verdict)
            } else {
                Outcome::Answer(answer)
            }
        });
        let ticket = entry.intent.ticket;
        let pending = self.entries.entry(ticket).or_insert_with(|| {
            self.order.push_back(ticket);
            let pending = PendingEntry {
                intent: entry.intent,
                outcome: None,
                is_unwritten: outcome.is_none(),
            };
            self.bytes += pending.bytes();
            Box::new(pending)
        });
        if outcome.is_some() {
            self.bytes += outcome.as_ref().map_or(0, Outcome::bytes);
            pending.outcome = outcome;
        }
        if self.bytes > cfg.max_pending_bytes {
            self.shed(cfg.max_pending_bytes / 4 * SHED_TARGET_QUARTERS);
        }
    }

    /// Removes and returns the oldest entries, up to the limits of one commit.
    pub fn take_batch(&mut self, cfg: &JournalConfig) -> Vec<PendingEntry> {
        let mut batch = Vec::new();
        let mut bytes = 0;
        while batch.len() < cfg.max_rows_per_commit && bytes < cfg.max_bytes_per_commit {
            let Some(entry) = self.pop() else {
                break;
            };
            bytes += entry.bytes();
            batch.push(entry);
        }
        batch
    }

    /// Acceptance time of the oldest waiting submission; `None` if no entry waits.
    pub fn oldest(&self) -> Option<Instant> {
        let oldest = self.order.front()?;
        self.entries.get(oldest).map(|entry| entry.intent.taken_in)
    }

    /// Whether no entry waits.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Number of waiting entries.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Bytes of the waiting entries, with the overhead of the buffer.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Submissions dropped by shedding, whose intent or end the journal will lack.
    pub fn dropped(&self) -> u64 {
        self.dropped
    }

    fn pop(&mut self) -> Option<PendingEntry> {
        let ticket = self.order.pop_front()?;
        let entry = self.entries.remove(&ticket)?;
        self.bytes -= entry.bytes();
        Some(*entry)
    }

    /// Drops the least valuable data first: outputs, then submissions that started and ended while
    /// the table was unavailable, then the newest of the other entries.
    fn shed(&mut self, max_bytes: usize) {
        self.shed_outputs(max_bytes);
        self.shed_unwritten_ended(max_bytes);
        while self.bytes > max_bytes {
            let Some(newest) = self.order.pop_back() else {
                return;
            };
            self.remove(newest);
            self.dropped += 1;
        }
    }

    fn shed_outputs(&mut self, max_bytes: usize) {
        for ticket in &self.order {
            if self.bytes <= max_bytes {
                return;
            }
            let Some(entry) = self.entries.get_mut(ticket) else {
                continue;
            };
            let Some(outcome) = &entry.outcome else {
                continue;
            };
            self.bytes -= outcome.bytes();
            entry.outcome = Some(Outcome::Verdict(outcome.verdict()));
        }
    }

    fn shed_unwritten_ended(&mut self, max_bytes: usize) {
        let mut order = std::mem::take(&mut self.order);
        order.retain(|ticket| {
            let is_unwritten_and_ended = self
                .entries
                .get(ticket)
                .is_some_and(|entry| entry.is_unwritten && entry.outcome.is_some());
            if self.bytes <= max_bytes || !is_unwritten_and_ended {
                return true;
            }
            self.remove(*ticket);
            false
        });
        self.order = order;
    }

    fn remove(&mut self, ticket: Ticket) {
        if let Some(entry) = self.entries.remove(&ticket) {
            self.bytes -= entry.bytes();
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::effect::TaskResult;
    use crate::ticket::{Incarnation, TicketKey, TicketMint};

    struct Journal {
        buffer: JournalBuffer,
        cfg: JournalConfig,
        mint: TicketMint,
    }

    impl Journal {
        fn new(max_pending_bytes: usize) -> Self {
            let dc = "szeged".parse().unwrap();
            Self {
                buffer: JournalBuffer::default(),
                cfg: JournalConfig {
                    max_pending_bytes,
                    ..JournalConfig::default()
                },
                mint: TicketMint::new(dc, Incarnation(1), TicketKey([1; 16])),
            }
        }

        fn intent(&self) -> Intent {
            Intent {
                ticket: self.mint.mint().unwrap(),
                digest: 1,
                service: "kiallitas-pont".parse().unwrap(),
                kind: "score".parse().unwrap(),
                team: None,
                tasks: 1,
                taken_in: Instant::now(),
            }
        }

        fn add(&mut self, intent: Intent, output_bytes: Option<usize>) {
            let answer = output_bytes.map(|bytes| {
                Arc::new(Answer {
                    verdict: Verdict::Completed,
                    reason: None,
                    tasks: vec![TaskResult {
                        verdict: Verdict::Completed,
                        output: "x".repeat(bytes),
                    }],
                })
            });
            self.buffer.add(&self.cfg, JournalEntry { intent, answer });
        }
    }

    #[test]
    fn an_answer_is_merged_into_a_waiting_intent() {
        let mut journal = Journal::new(1 << 20);
        let intent = journal.intent();
        journal.add(intent, None);
        journal.add(intent, Some(3));
        let batch = journal.buffer.take_batch(&journal.cfg);
        assert_eq!(batch.len(), 1);
        assert!(matches!(batch[0].outcome, Some(Outcome::Answer(_))));
        assert_eq!((journal.buffer.bytes(), journal.buffer.len()), (0, 0));
    }

    #[test]
    fn outputs_are_shed_before_verdicts() {
        let mut journal = Journal::new(40_000);
        for _ in 0..10 {
            let intent = journal.intent();
            journal.add(intent, Some(5_000));
        }
        assert!(journal.buffer.bytes() <= 40_000);
        let batch = journal.buffer.take_batch(&journal.cfg);
        assert_eq!(batch.len(), 10);
        assert!(batch.iter().all(|entry| entry.outcome.is_some()));
        assert_eq!(journal.buffer.dropped(), 0);
    }

    #[test]
    fn ended_submissions_are_shed_before_open_ones() {
        let mut journal = Journal::new(40_000);
        let open = journal.intent();
        journal.add(open, None);
        for _ in 0..1_000 {
            let intent = journal.intent();
            journal.add(intent, None);
            journal.add(intent, Some(10));
        }
        assert!(journal.buffer.bytes() <= 40_000);
        assert_eq!(journal.buffer.dropped(), 0);
        assert_eq!(journal.buffer.take_batch(&journal.cfg)[0].intent, open);
    }

    #[test]
    fn dropped_intents_are_counted() {
        let mut journal = Journal::new(40_000);
        for _ in 0..1_000 {
            let intent = journal.intent();
            journal.add(intent, None);
        }
        assert!(journal.buffer.bytes() <= 40_000);
        let remaining = u64::try_from(journal.buffer.len()).unwrap();
        assert_eq!(journal.buffer.dropped() + remaining, 1_000);
    }
}
