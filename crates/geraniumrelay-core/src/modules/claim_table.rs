//! Claim table: state of the tickets of one incarnation.
//!
//! The table decides locally, without a message to another VM, whether a submission may start its
//! tasks: only if its ticket is genuine, not in the table and not below the low watermark.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::{Duration, Instant};

use crate::context::Context;
use crate::effect::Answer;
use crate::modules::handover::Successor;
use crate::modules::jobs::JobKey;
use crate::modules::seq_map::SeqMap;
use crate::reason::Reason;
use crate::ticket::{Incarnation, Ticket, TicketKey};
use crate::verdict::Verdict;

/// Time between two samples of the next sequence to mint.
const MINT_SAMPLE_INTERVAL: Duration = Duration::from_secs(1);

/// State of one ticket.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Claim {
    /// The job is queued or runs in this process.
    Active {
        /// Hash of the submission's body.
        body_digest: u128,
        /// Key of the job.
        job: JobKey,
    },
    /// The job is in flight, or answered, at the process that handed the table over; only that
    /// process has its state until it has sent the answer.
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
    /// The job has ended; its answer was dropped to bound memory.
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

/// Decision of the table on a submission.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Decision {
    /// The ticket is unknown: the submission may start once the ticket is claimed.
    Fresh,
    /// The job is in flight; wait for its answer.
    Join(JobKey),
    /// The state of the job is at the process that handed the table over.
    Elsewhere,
    /// The ticket is unknown, but the table is being handed over: only the successor may start it.
    HandingOver,
    /// The ticket is unknown, and the successor that has the table decides.
    HandedOver(Successor),
    /// The ticket is unknown here and no other process can be asked: the job may have run.
    AuthorityLost,
    /// The job has ended with this answer.
    Answered(Arc<Answer>),
    /// The job has ended with this verdict; its answer is no longer stored.
    Dropped(Verdict),
    /// The job did not run and never will.
    NotRun(Reason),
    /// The ticket was submitted before with another body.
    OtherBody,
    /// The ticket is below the low watermark: its job may have run.
    Expired,
    /// The ticket is of another incarnation or its authentication code is wrong.
    Forged,
}

impl Decision {
    /// Whether the submission has to be passed on to another process.
    pub fn is_elsewhere(&self) -> bool {
        matches!(
            self,
            Self::Elsewhere | Self::HandingOver | Self::HandedOver(_)
        )
    }
}

/// Next sequence to mint, sampled at a time.
#[derive(Debug, Clone, Copy)]
struct MintSample {
    at: Instant,
    next_seq: u64,
}

/// Claims on the tickets of one incarnation.
#[derive(Debug)]
pub struct ClaimTable {
    incarnation: Incarnation,
    key: TicketKey,
    low_watermark: u64,
    claims: SeqMap<Claim>,
    mint_samples: VecDeque<MintSample>,
    answered_seqs: VecDeque<u64>,
    answer_bytes: usize,
}

impl ClaimTable {
    /// Creates an empty table for the tickets of an incarnation; the low watermark is 1.
    pub fn new(incarnation: Incarnation, key: TicketKey) -> Self {
        Self {
            incarnation,
            key,
            low_watermark: 1,
            claims: SeqMap::default(),
            mint_samples: VecDeque::new(),
            answered_seqs: VecDeque::new(),
            answer_bytes: 0,
        }
    }

    /// Incarnation whose tickets these are.
    pub fn incarnation(&self) -> Incarnation {
        self.incarnation
    }

    /// Key that authenticates the tickets of the incarnation.
    pub fn key(&self) -> TicketKey {
        self.key
    }

    /// Low watermark: lowest sequence whose absence from the table proves that its ticket was never
    /// submitted.
    pub fn low_watermark(&self) -> u64 {
        self.low_watermark
    }

    /// Number of tickets in the table.
    pub fn len(&self) -> usize {
        self.claims.len()
    }

    /// Whether the table has no tickets.
    pub fn is_empty(&self) -> bool {
        self.claims.is_empty()
    }

    /// Decides on a submission without a change of the table.
    pub fn decide(&self, ticket: Ticket, body_digest: u128) -> Decision {
        let decision = self.look_up(ticket);
        let known_digest = match self.claims.get(ticket.seq) {
            Some(
                Claim::Active { body_digest, .. }
                | Claim::Elsewhere { body_digest }
                | Claim::Answered { body_digest, .. }
                | Claim::Dropped { body_digest, .. },
            ) => *body_digest,
            Some(Claim::NotRun { .. }) | None => return decision,
        };
        if decision != Decision::Forged && known_digest != body_digest {
            return Decision::OtherBody;
        }
        decision
    }

    /// Decides on a ticket without a check of the body.
    pub fn look_up(&self, ticket: Ticket) -> Decision {
        if ticket.incarnation != self.incarnation || !ticket.is_genuine(&self.key) {
            return Decision::Forged;
        }
        match self.claims.get(ticket.seq) {
            Some(Claim::Active { job, .. }) => Decision::Join(*job),
            Some(Claim::Elsewhere { .. }) => Decision::Elsewhere,
            Some(Claim::Answered { answer, .. }) => Decision::Answered(Arc::clone(answer)),
            Some(Claim::Dropped { verdict, .. }) => Decision::Dropped(*verdict),
            Some(Claim::NotRun { reason }) => Decision::NotRun(*reason),
            None if ticket.seq < self.low_watermark => Decision::Expired,
            None => Decision::Fresh,
        }
    }

    /// Claims a fresh ticket for a job, which is active from now on.
    pub fn claim(&mut self, ticket: Ticket, body_digest: u128, job: JobKey) {
        self.claims
            .insert(ticket.seq, Claim::Active { body_digest, job });
    }

    /// Records that the submission of a ticket has started nothing and never will.
    pub fn mark_not_run(&mut self, ticket: Ticket, reason: Reason) {
        self.claims.insert(ticket.seq, Claim::NotRun { reason });
    }

    /// Stores the answer of an active ticket; ignored in any other state.
    pub fn answer(&mut self, cx: &Context<'_>, ticket: Ticket, answer: &Arc<Answer>) {
        let Some(Claim::Active { body_digest, .. }) = self.claims.get(ticket.seq) else {
            return;
        };
        let claim = Claim::Answered {
            body_digest: *body_digest,
            answer: Arc::clone(answer),
        };
        self.insert(ticket.seq, claim, cx.cfg.claim_table.max_answer_bytes);
    }

    /// The claim of a sequence; `None` if its ticket is unknown.
    pub fn claim_at(&self, seq: u64) -> Option<&Claim> {
        self.claims.get(seq)
    }

    /// Claims from a sequence on, in the order of their sequences.
    pub fn claims_from(&self, seq: u64) -> impl Iterator<Item = (u64, &Claim)> {
        self.claims.range_from(seq)
    }

    /// Inserts or replaces a claim; drops the oldest answers beyond `max_answer_bytes`.
    pub fn insert(&mut self, seq: u64, claim: Claim, max_answer_bytes: usize) {
        if let Claim::Answered { answer, .. } = &claim {
            self.answered_seqs.push_back(seq);
            self.answer_bytes += answer.bytes();
        }
        if let Some(Claim::Answered { answer, .. }) = self.claims.insert(seq, claim) {
            self.answer_bytes -= answer.bytes();
        }
        self.drop_oldest_answers(max_answer_bytes);
    }

    /// Raises the low watermark past every ticket: no ticket is fresh any more, and only active
    /// claims remain.
    pub fn expire_all(&mut self) {
        self.raise_low_watermark(u64::MAX);
    }

    fn drop_oldest_answers(&mut self, max_bytes: usize) {
        while self.answer_bytes > max_bytes {
            let Some(seq) = self.answered_seqs.pop_front() else {
                return;
            };
            let Some(Claim::Answered {
                body_digest,
                answer,
            }) = self.claims.get(seq)
            else {
                continue;
            };
            self.answer_bytes -= answer.bytes();
            let dropped = Claim::Dropped {
                body_digest: *body_digest,
                verdict: answer.verdict,
            };
            self.claims.insert(seq, dropped);
        }
    }

    /// Samples the next sequence to mint and raises the low watermark past expired tickets.
    ///
    /// Active tickets below the new low watermark stay in the table until they are answered.
    pub fn advance(&mut self, cx: &Context<'_>, next_seq: u64) {
        let is_due = self
            .mint_samples
            .back()
            .is_none_or(|sample| cx.now >= sample.at + MINT_SAMPLE_INTERVAL);
        if is_due {
            self.mint_samples.push_back(MintSample {
                at: cx.now,
                next_seq,
            });
        }
        let retention = cx.cfg.claim_table.ticket_ttl + cx.cfg.claim_table.low_watermark_margin;
        while let Some(sample) = self.mint_samples.front().copied() {
            if sample.at + retention > cx.now {
                break;
            }
            self.mint_samples.pop_front();
            self.raise_low_watermark(sample.next_seq);
        }
        self.limit_claims(cx.cfg.claim_table.max_claims);
    }

    /// Above `max_claims`, removes the oldest claims down to three quarters of it, which bounds memory
    /// at any submission rate. Tickets removed early count as expired: their jobs may have run.
    fn limit_claims(&mut self, max_claims: usize) {
        if self.claims.len() <= max_claims {
            return;
        }
        let remaining = max_claims / 4 * 3;
        if let Some(low_watermark) = self.claims.nth(self.claims.len() - remaining) {
            self.raise_low_watermark(low_watermark);
        }
    }

    /// Raises the low watermark and removes all claims below it except active ones.
    pub fn raise_low_watermark(&mut self, low_watermark: u64) {
        if low_watermark <= self.low_watermark {
            return;
        }
        self.low_watermark = low_watermark;
        for (seq, claim) in self.claims.take_below(low_watermark) {
            match claim {
                Claim::Active { .. } => {
                    self.claims.insert(seq, claim);
                }
                Claim::Answered { answer, .. } => self.answer_bytes -= answer.bytes(),
                Claim::Elsewhere { .. } | Claim::Dropped { .. } | Claim::NotRun { .. } => {}
            }
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::configs::Config;
    use crate::ticket::TicketMint;

    struct TableBuilder {
        cfg: Config,
    }

    impl TableBuilder {
        fn new() -> Self {
            Self {
                cfg: Config::default(),
            }
        }

        fn with_max_answer_bytes(mut self, bytes: usize) -> Self {
            self.cfg.claim_table.max_answer_bytes = bytes;
            self
        }

        fn build(self) -> (ClaimTable, TicketMint, Config) {
            let key = TicketKey([1; 16]);
            let incarnation = Incarnation(9);
            let mint = TicketMint::new("szeged".parse().unwrap(), incarnation, key);
            (ClaimTable::new(incarnation, key), mint, self.cfg)
        }
    }

    fn answer(output: &str) -> Arc<Answer> {
        let task = crate::effect::TaskResult {
            verdict: Verdict::Completed,
            output: output.to_owned(),
        };
        Arc::new(Answer {
            verdict: Verdict::Completed,
            reason: None,
            tasks: vec![task],
        })
    }

    #[test]
    fn a_refused_ticket_stays_not_run() {
        let (mut table, mint, _) = TableBuilder::new().build();
        let ticket = mint.mint().unwrap();
        assert_eq!(table.decide(ticket, 1), Decision::Fresh);
        table.mark_not_run(ticket, Reason::QueueFull);
        assert_eq!(table.decide(ticket, 1), Decision::NotRun(Reason::QueueFull));
    }

    #[test]
    fn a_different_body_is_detected() {
        let (mut table, mint, _) = TableBuilder::new().build();
        let ticket = mint.mint().unwrap();
        table.claim(ticket, 1, JobKey::default());
        assert_eq!(table.decide(ticket, 1), Decision::Join(JobKey::default()));
        assert_eq!(table.decide(ticket, 2), Decision::OtherBody);
    }

    #[test]
    fn an_unknown_ticket_below_the_low_watermark_is_expired() {
        let (mut table, mint, cfg) = TableBuilder::new().build();
        let old = mint.mint().unwrap();
        let start = Instant::now();
        table.advance(&Context::new(start, &cfg), mint.next_seq());
        let later = start + cfg.claim_table.ticket_ttl + cfg.claim_table.low_watermark_margin;
        table.advance(&Context::new(later, &cfg), mint.next_seq());
        assert_eq!(table.decide(old, 1), Decision::Expired);
        assert_eq!(table.decide(mint.mint().unwrap(), 1), Decision::Fresh);
    }

    #[test]
    fn an_active_claim_survives_below_the_low_watermark() {
        let (mut table, mint, cfg) = TableBuilder::new().build();
        let old = mint.mint().unwrap();
        table.claim(old, 1, JobKey::default());
        let start = Instant::now();
        table.advance(&Context::new(start, &cfg), mint.next_seq());
        let later = start + cfg.claim_table.ticket_ttl + cfg.claim_table.low_watermark_margin;
        table.advance(&Context::new(later, &cfg), mint.next_seq());
        assert_eq!(table.decide(old, 1), Decision::Join(JobKey::default()));
    }

    #[test]
    fn excess_claims_expire_oldest_first() {
        let (mut table, mint, mut cfg) = TableBuilder::new().build();
        cfg.claim_table.max_claims = 100;
        let active = mint.mint().unwrap();
        table.claim(active, 1, JobKey::default());
        let refused: Vec<Ticket> = (0..150).map(|_| mint.mint().unwrap()).collect();
        for ticket in &refused {
            table.mark_not_run(*ticket, Reason::QueueFull);
        }
        table.advance(&Context::new(Instant::now(), &cfg), mint.next_seq());
        assert_eq!(table.len(), 75 + 1);
        assert_eq!(table.decide(active, 1), Decision::Join(JobKey::default()));
        assert_eq!(table.decide(refused[0], 1), Decision::Expired);
        let last = Decision::NotRun(Reason::QueueFull);
        assert_eq!(table.decide(refused[149], 1), last);
    }

    #[test]
    fn a_dropped_answer_keeps_its_verdict() {
        let (mut table, mint, cfg) = TableBuilder::new().with_max_answer_bytes(300).build();
        let cx = Context::new(Instant::now(), &cfg);
        let (first, second) = (mint.mint().unwrap(), mint.mint().unwrap());
        for ticket in [first, second] {
            table.claim(ticket, 1, JobKey::default());
            table.answer(&cx, ticket, &answer(&"x".repeat(60)));
        }
        assert_eq!(
            table.decide(first, 1),
            Decision::Dropped(Verdict::Completed)
        );
        assert_eq!(
            table.decide(second, 1),
            Decision::Answered(answer(&"x".repeat(60)))
        );
    }
}
