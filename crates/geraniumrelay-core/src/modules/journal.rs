//! Journal of submissions that must not run twice: what waits to be written to the table.
//!
//! The dispatcher notes an intent before the first start and the answer at the end. While the
//! table is away both wait here, within a bound on their bytes.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Instant;

use crate::collections::Map;
use crate::configs::journal::JournalConfig;
use crate::effect::Answer;
use crate::names::{KindName, ServiceName, TeamName};
use crate::ticket::Ticket;
use crate::verdict::Verdict;

/// Places of a waiting entry's ticket: the order, and a hash table that may be half empty.
const TICKETS_PER_ENTRY: usize = 3;

/// Share of the bound to which shedding goes down, in quarters.
const SHED_TARGET_QUARTERS: usize = 3;

/// A submission that is about to start.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Intent {
    /// Its name.
    pub ticket: Ticket,
    /// Hash of the body.
    pub digest: u128,
    /// Service that runs it.
    pub service: ServiceName,
    /// Request kind.
    pub kind: KindName,
    /// Team, where one was named.
    pub team: Option<TeamName>,
    /// Number of its tasks.
    pub tasks: u32,
    /// When the owner took it in.
    pub taken_in: Instant,
}

/// One thing to write to the journal.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct JournalEntry {
    /// The submission.
    pub intent: Intent,
    /// Its answer, once there is one.
    pub answer: Option<Arc<Answer>>,
}

/// How a submission ended, as far as the journal keeps it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Outcome {
    /// With this answer.
    Answer(Arc<Answer>),
    /// With this verdict; the outputs are not kept.
    Verdict(Verdict),
}

impl Outcome {
    /// Whether the submission ran.
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

/// An entry that waits to be written.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PendingEntry {
    /// The submission.
    pub intent: Intent,
    /// How it ended, once it has.
    pub outcome: Option<Outcome>,
    /// Whether the table has no row of it yet.
    is_unwritten: bool,
}

impl PendingEntry {
    fn bytes(&self) -> usize {
        size_of::<Self>()
            + size_of::<Ticket>() * TICKETS_PER_ENTRY
            + self.outcome.as_ref().map_or(0, Outcome::bytes)
    }
}

/// Entries that wait for the table, oldest first.
#[derive(Debug, Default)]
pub struct JournalBuffer {
    order: VecDeque<Ticket>,
    entries: Map<Ticket, Box<PendingEntry>>,
    bytes: usize,
    dropped: u64,
}

impl JournalBuffer {
    /// Takes an entry in; an answer joins its intent where that still waits.
    pub fn note(&mut self, cfg: &JournalConfig, entry: JournalEntry) {
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

    /// Takes the oldest entries out, as many as one commit may hold.
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

    /// When the oldest waiting submission was taken in.
    pub fn oldest(&self) -> Option<Instant> {
        let oldest = self.order.front()?;
        self.entries.get(oldest).map(|entry| entry.intent.taken_in)
    }

    /// Whether nothing waits.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Number of entries that wait.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Bytes of what waits.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Submissions of which the journal will lack the intent or the end.
    pub fn dropped(&self) -> u64 {
        self.dropped
    }

    fn pop(&mut self) -> Option<PendingEntry> {
        let ticket = self.order.pop_front()?;
        let entry = self.entries.remove(&ticket)?;
        self.bytes -= entry.bytes();
        Some(*entry)
    }

    /// Gives up what is missed least first: outputs, then submissions that have come and gone
    /// while the table was away, then the newest of the rest.
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

        fn note(&mut self, intent: Intent, output_bytes: Option<usize>) {
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
            self.buffer.note(&self.cfg, JournalEntry { intent, answer });
        }
    }

    #[test]
    fn an_answer_joins_an_intent_that_still_waits() {
        let mut journal = Journal::new(1 << 20);
        let intent = journal.intent();
        journal.note(intent, None);
        journal.note(intent, Some(3));
        let batch = journal.buffer.take_batch(&journal.cfg);
        assert_eq!(batch.len(), 1);
        assert!(matches!(batch[0].outcome, Some(Outcome::Answer(_))));
        assert_eq!((journal.buffer.bytes(), journal.buffer.len()), (0, 0));
    }

    #[test]
    fn outputs_go_before_verdicts() {
        let mut journal = Journal::new(40_000);
        for _ in 0..10 {
            let intent = journal.intent();
            journal.note(intent, Some(5_000));
        }
        assert!(journal.buffer.bytes() <= 40_000);
        let batch = journal.buffer.take_batch(&journal.cfg);
        assert_eq!(batch.len(), 10);
        assert!(batch.iter().all(|entry| entry.outcome.is_some()));
        assert_eq!(journal.buffer.dropped(), 0);
    }

    #[test]
    fn what_came_and_went_goes_before_what_may_still_run() {
        let mut journal = Journal::new(40_000);
        let open = journal.intent();
        journal.note(open, None);
        for _ in 0..1_000 {
            let intent = journal.intent();
            journal.note(intent, None);
            journal.note(intent, Some(10));
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
            journal.note(intent, None);
        }
        assert!(journal.buffer.bytes() <= 40_000);
        let kept = u64::try_from(journal.buffer.len()).unwrap();
        assert_eq!(journal.buffer.dropped() + kept, 1_000);
    }
}
