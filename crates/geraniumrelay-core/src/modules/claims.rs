//! Claim table: what is known of the tickets of one incarnation.
//!
//! The table answers one question without asking anyone: may this submission start its tasks?
//! Only a genuine ticket that is neither known nor below the floor may.

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

/// Time between two notes of how far minting has come.
const MARK_INTERVAL: Duration = Duration::from_secs(1);

/// What is known of one ticket.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Claim {
    /// Its job is queued or runs here.
    Active {
        /// Hash of the body.
        body_digest: u128,
        /// The job.
        job: JobKey,
    },
    /// It was in flight, or answered, at the process that handed the table over; only that process
    /// knows more until it has sent the answer.
    Elsewhere {
        /// Hash of the body.
        body_digest: u128,
    },
    /// Its job has ended and the answer is kept.
    Answered {
        /// Hash of the body.
        body_digest: u128,
        /// The answer.
        answer: Arc<Answer>,
    },
    /// Its job has ended; the answer was dropped to bound memory.
    Dropped {
        /// Hash of the body.
        body_digest: u128,
        /// Verdict of the dropped answer.
        verdict: Verdict,
    },
    /// It was refused or cancelled before anything started, for ever.
    NotRun {
        /// Why.
        reason: Reason,
    },
}

/// What the table says of a submission.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Decision {
    /// Nothing is known: it may start, once it is claimed.
    Fresh,
    /// It is in flight; wait for its answer.
    Join(JobKey),
    /// The process that handed the table over knows it.
    Elsewhere,
    /// Nothing is known, but the table is being handed over: only the heir may start it.
    HandingOver,
    /// Nothing is known, and the heir that has the table decides.
    HandedOver(Successor),
    /// Nothing is known here, and nobody else may be asked: it may have run.
    AuthorityLost,
    /// It has ended; this is its answer.
    Answered(Arc<Answer>),
    /// It has ended with this verdict; the answer is no longer kept.
    Dropped(Verdict),
    /// It did not run and never will.
    NotRun(Reason),
    /// It was submitted before with another body.
    OtherBody,
    /// It is below the floor: it may have run.
    Expired,
    /// The ticket is not genuine.
    Forged,
}

impl Decision {
    /// Whether another process decides or knows more.
    pub fn is_elsewhere(&self) -> bool {
        matches!(
            self,
            Self::Elsewhere | Self::HandingOver | Self::HandedOver(_)
        )
    }
}

/// How far minting had come at a time.
#[derive(Debug, Clone, Copy)]
struct Mark {
    at: Instant,
    next_seq: u64,
}

/// Claims on the tickets of one incarnation.
#[derive(Debug)]
pub struct ClaimTable {
    incarnation: Incarnation,
    key: TicketKey,
    floor: u64,
    claims: SeqMap<Claim>,
    marks: VecDeque<Mark>,
    answered: VecDeque<u64>,
    answer_bytes: usize,
}

impl ClaimTable {
    /// Makes the empty table of an incarnation.
    pub fn new(incarnation: Incarnation, key: TicketKey) -> Self {
        Self {
            incarnation,
            key,
            floor: 1,
            claims: SeqMap::default(),
            marks: VecDeque::new(),
            answered: VecDeque::new(),
            answer_bytes: 0,
        }
    }

    /// Incarnation whose tickets these are.
    pub fn incarnation(&self) -> Incarnation {
        self.incarnation
    }

    /// Secret of its tickets.
    pub fn key(&self) -> TicketKey {
        self.key
    }

    /// Lowest sequence whose absence from the table proves that it was never submitted.
    pub fn floor(&self) -> u64 {
        self.floor
    }

    /// Number of tickets known.
    pub fn len(&self) -> usize {
        self.claims.len()
    }

    /// Whether no ticket is known.
    pub fn is_empty(&self) -> bool {
        self.claims.is_empty()
    }

    /// Decides on a submission; changes nothing.
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

    /// What is known of a ticket, whatever its body.
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
            None if ticket.seq < self.floor => Decision::Expired,
            None => Decision::Fresh,
        }
    }

    /// Claims a fresh ticket for a job.
    pub fn claim(&mut self, ticket: Ticket, body_digest: u128, job: JobKey) {
        self.claims
            .insert(ticket.seq, Claim::Active { body_digest, job });
    }

    /// Spends a ticket whose submission started nothing.
    pub fn mark_not_run(&mut self, ticket: Ticket, reason: Reason) {
        self.claims.insert(ticket.seq, Claim::NotRun { reason });
    }

    /// Keeps the answer of an active ticket.
    pub fn answer(&mut self, cx: &Context<'_>, ticket: Ticket, answer: &Arc<Answer>) {
        let Some(Claim::Active { body_digest, .. }) = self.claims.get(ticket.seq) else {
            return;
        };
        let claim = Claim::Answered {
            body_digest: *body_digest,
            answer: Arc::clone(answer),
        };
        self.put(ticket.seq, claim, cx.cfg.claims.max_answer_bytes);
    }

    /// The claim of a sequence.
    pub fn claim_at(&self, seq: u64) -> Option<&Claim> {
        self.claims.get(seq)
    }

    /// Claims from a sequence on, in order.
    pub fn claims_from(&self, seq: u64) -> impl Iterator<Item = (u64, &Claim)> {
        self.claims.range_from(seq)
    }

    /// Takes a claim as it stands elsewhere; drops the oldest answers beyond `max_answer_bytes`.
    pub fn put(&mut self, seq: u64, claim: Claim, max_answer_bytes: usize) {
        if let Claim::Answered { answer, .. } = &claim {
            self.answered.push_back(seq);
            self.answer_bytes += answer.bytes();
        }
        if let Some(Claim::Answered { answer, .. }) = self.claims.insert(seq, claim) {
            self.answer_bytes -= answer.bytes();
        }
        self.drop_oldest_answers(max_answer_bytes);
    }

    /// Raises the floor past every ticket: nothing is fresh any more, only active claims are kept.
    pub fn end(&mut self) {
        self.raise_floor(u64::MAX);
    }

    fn drop_oldest_answers(&mut self, max_bytes: usize) {
        while self.answer_bytes > max_bytes {
            let Some(seq) = self.answered.pop_front() else {
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

    /// Notes how far minting has come and raises the floor past expired tickets.
    ///
    /// Active tickets below the new floor stay known until they are answered.
    pub fn advance(&mut self, cx: &Context<'_>, next_seq: u64) {
        let is_due = self
            .marks
            .back()
            .is_none_or(|mark| cx.now >= mark.at + MARK_INTERVAL);
        if is_due {
            self.marks.push_back(Mark {
                at: cx.now,
                next_seq,
            });
        }
        let keep = cx.cfg.claims.ticket_ttl + cx.cfg.claims.floor_margin;
        while let Some(mark) = self.marks.front().copied() {
            if mark.at + keep > cx.now {
                break;
            }
            self.marks.pop_front();
            self.raise_floor(mark.next_seq);
        }
        self.bound(cx.cfg.claims.max_claims);
    }

    /// Bounds memory at any rate: what is forgotten early may have run, as it does after its time.
    fn bound(&mut self, max_claims: usize) {
        if self.claims.len() <= max_claims {
            return;
        }
        let kept = max_claims / 4 * 3;
        if let Some(floor) = self.claims.nth(self.claims.len() - kept) {
            self.raise_floor(floor);
        }
    }

    /// Raises the floor and forgets what is below it, but for active claims.
    pub fn raise_floor(&mut self, floor: u64) {
        if floor <= self.floor {
            return;
        }
        self.floor = floor;
        for (seq, claim) in self.claims.take_below(floor) {
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

    struct BookBuilder {
        cfg: Config,
    }

    impl BookBuilder {
        fn new() -> Self {
            Self {
                cfg: Config::default(),
            }
        }

        fn with_max_answer_bytes(mut self, bytes: usize) -> Self {
            self.cfg.claims.max_answer_bytes = bytes;
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
    fn a_refused_ticket_stays_spent() {
        let (mut book, mint, _) = BookBuilder::new().build();
        let ticket = mint.mint().unwrap();
        assert_eq!(book.decide(ticket, 1), Decision::Fresh);
        book.mark_not_run(ticket, Reason::QueueFull);
        assert_eq!(book.decide(ticket, 1), Decision::NotRun(Reason::QueueFull));
    }

    #[test]
    fn another_body_is_told_apart() {
        let (mut book, mint, _) = BookBuilder::new().build();
        let ticket = mint.mint().unwrap();
        book.claim(ticket, 1, JobKey::default());
        assert_eq!(book.decide(ticket, 1), Decision::Join(JobKey::default()));
        assert_eq!(book.decide(ticket, 2), Decision::OtherBody);
    }

    #[test]
    fn an_unknown_ticket_below_the_floor_is_never_fresh() {
        let (mut book, mint, cfg) = BookBuilder::new().build();
        let old = mint.mint().unwrap();
        let start = Instant::now();
        book.advance(&Context::new(start, &cfg), mint.next_seq());
        let later = start + cfg.claims.ticket_ttl + cfg.claims.floor_margin;
        book.advance(&Context::new(later, &cfg), mint.next_seq());
        assert_eq!(book.decide(old, 1), Decision::Expired);
        assert_eq!(book.decide(mint.mint().unwrap(), 1), Decision::Fresh);
    }

    #[test]
    fn an_active_claim_outlives_the_floor() {
        let (mut book, mint, cfg) = BookBuilder::new().build();
        let old = mint.mint().unwrap();
        book.claim(old, 1, JobKey::default());
        let start = Instant::now();
        book.advance(&Context::new(start, &cfg), mint.next_seq());
        let later = start + cfg.claims.ticket_ttl + cfg.claims.floor_margin;
        book.advance(&Context::new(later, &cfg), mint.next_seq());
        assert_eq!(book.decide(old, 1), Decision::Join(JobKey::default()));
    }

    #[test]
    fn too_many_claims_forget_the_oldest_as_may_have_run() {
        let (mut book, mint, mut cfg) = BookBuilder::new().build();
        cfg.claims.max_claims = 100;
        let active = mint.mint().unwrap();
        book.claim(active, 1, JobKey::default());
        let spent: Vec<Ticket> = (0..150).map(|_| mint.mint().unwrap()).collect();
        for ticket in &spent {
            book.mark_not_run(*ticket, Reason::QueueFull);
        }
        book.advance(&Context::new(Instant::now(), &cfg), mint.next_seq());
        assert_eq!(book.len(), 75 + 1);
        assert_eq!(book.decide(active, 1), Decision::Join(JobKey::default()));
        assert_eq!(book.decide(spent[0], 1), Decision::Expired);
        let last = Decision::NotRun(Reason::QueueFull);
        assert_eq!(book.decide(spent[149], 1), last);
    }

    #[test]
    fn a_dropped_answer_is_remembered_as_run() {
        let (mut book, mint, cfg) = BookBuilder::new().with_max_answer_bytes(300).build();
        let cx = Context::new(Instant::now(), &cfg);
        let (first, second) = (mint.mint().unwrap(), mint.mint().unwrap());
        for ticket in [first, second] {
            book.claim(ticket, 1, JobKey::default());
            book.answer(&cx, ticket, &answer(&"x".repeat(60)));
        }
        assert_eq!(book.decide(first, 1), Decision::Dropped(Verdict::Completed));
        assert_eq!(
            book.decide(second, 1),
            Decision::Answered(answer(&"x".repeat(60)))
        );
    }
}
