//! Claim tables of this process: its own, and those of incarnations that handed theirs over.
//!
//! The tables are kept apart, so that each ends with its own tickets. A process that has begun to
//! hand a table over never again starts a ticket of it.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Instant;

use crate::collections::{Map, Set};
use crate::context::Context;
use crate::effect::Answer;
use crate::modules::claims::{Claim, ClaimTable, Decision};
use crate::modules::handover::{Authority, HandOver, HandOverMessage, HandOverReply, Successor};
use crate::modules::jobs::JobKey;
use crate::reason::Reason;
use crate::ticket::{Incarnation, Ticket, TicketKey};

/// Most hand-overs that one process takes in its life; each leaves its name behind.
const MAX_TAKEN: usize = 65_536;

/// Where a table came from.
#[derive(Debug)]
struct Source {
    from: Incarnation,
    next_number: u64,
    is_whole: bool,
    ends_at: Instant,
}

#[derive(Debug)]
struct Book {
    claims: ClaimTable,
    source: Option<Source>,
    hand_over: Option<HandOver>,
}

/// All claim tables of a process.
#[derive(Debug)]
pub struct ClaimTables {
    own: Incarnation,
    by_owner: Map<Incarnation, Book>,
    /// Owners whose tables were taken; a late copy of their hand-over is not taken again.
    taken: Set<Incarnation>,
}

impl ClaimTables {
    /// Makes the tables of a process that has just started.
    pub fn new(own: Incarnation, key: TicketKey) -> Self {
        let book = Book {
            claims: ClaimTable::new(own, key),
            source: None,
            hand_over: None,
        };
        Self {
            own,
            by_owner: Map::from_iter([(own, book)]),
            taken: Set::default(),
        }
    }

    /// Whether this process decides on the tickets of an incarnation, or knows who does.
    pub fn holds(&self, owner: Incarnation) -> bool {
        self.by_owner.get(&owner).is_some_and(Book::is_whole)
    }

    /// Incarnations whose tables were taken over and are not handed on.
    pub fn held(&self) -> Vec<Incarnation> {
        let held = self.by_owner.iter().filter(|(owner, book)| {
            let is_handed_on = book
                .hand_over
                .as_ref()
                .is_some_and(|hand_over| matches!(hand_over.authority(), Authority::Successor(_)));
            **owner != self.own && book.is_whole() && !is_handed_on
        });
        held.map(|(owner, _)| *owner).collect()
    }

    /// The process that handed a table over.
    pub fn source_of(&self, owner: Incarnation) -> Option<Incarnation> {
        let source = self.by_owner.get(&owner)?.source.as_ref()?;
        Some(source.from)
    }

    /// Decides on a submission; changes nothing.
    pub fn decide(&self, ticket: Ticket, body_digest: u128) -> Decision {
        let Some(book) = self.by_owner.get(&ticket.incarnation) else {
            return Decision::Forged;
        };
        book.route(book.claims.decide(ticket, body_digest))
    }

    /// What is known of a ticket, whatever its body.
    pub fn look_up(&self, ticket: Ticket) -> Decision {
        let Some(book) = self.by_owner.get(&ticket.incarnation) else {
            return Decision::Forged;
        };
        book.route(book.claims.look_up(ticket))
    }

    /// Claims a fresh ticket for a job.
    pub fn claim(&mut self, ticket: Ticket, body_digest: u128, job: JobKey) {
        if let Some(book) = self.by_owner.get_mut(&ticket.incarnation) {
            book.claims.claim(ticket, body_digest, job);
        }
    }

    /// Spends a ticket whose submission started nothing.
    pub fn mark_not_run(&mut self, ticket: Ticket, reason: Reason) {
        if let Some(book) = self.by_owner.get_mut(&ticket.incarnation) {
            book.claims.mark_not_run(ticket, reason);
            book.note_answer(ticket.seq);
        }
    }

    /// Keeps the answer of an active ticket.
    pub fn answer(&mut self, cx: &Context<'_>, ticket: Ticket, answer: &Arc<Answer>) {
        if let Some(book) = self.by_owner.get_mut(&ticket.incarnation) {
            book.claims.answer(cx, ticket, answer);
            book.note_answer(ticket.seq);
        }
    }

    /// Raises the floor of the own table and ends tables whose tickets have all expired.
    pub fn advance(&mut self, cx: &Context<'_>, next_seq: u64) {
        let own = self.by_owner.get_mut(&self.own);
        if let Some(book) = own.filter(|book| book.hand_over.is_none()) {
            book.claims.advance(cx, next_seq);
        }
        self.by_owner.retain(|_, book| !book.has_ended(cx.now));
    }

    /// Takes a message of a hand-over to this process.
    pub fn take(
        &mut self,
        cx: &Context<'_>,
        message: &HandOverMessage,
        is_stopping: bool,
    ) -> HandOverReply {
        if message.successor != self.own {
            return HandOverReply::NotTaken;
        }
        let is_new = !self.by_owner.contains_key(&message.owner);
        if is_new && is_stopping {
            return HandOverReply::Refused;
        }
        if is_new && !self.open(cx, message) {
            return HandOverReply::NotTaken;
        }
        let budget = cx.cfg.handover.max_held_answer_bytes / self.by_owner.len();
        let Some(book) = self.by_owner.get_mut(&message.owner) else {
            return HandOverReply::NotTaken;
        };
        book.take(message, budget)
    }

    /// Makes the table for a hand-over that begins.
    fn open(&mut self, cx: &Context<'_>, message: &HandOverMessage) -> bool {
        let has_room =
            self.by_owner.len() <= cx.cfg.handover.max_held && self.taken.len() < MAX_TAKEN;
        if message.number != 0 || !has_room || !self.taken.insert(message.owner) {
            return false;
        }
        let mut claims = ClaimTable::new(message.owner, message.key);
        claims.raise_floor(message.low_watermark);
        let longest = cx.cfg.claims.ticket_ttl + cx.cfg.claims.floor_margin;
        let source = Source {
            from: message.from,
            next_number: 0,
            is_whole: false,
            ends_at: cx.now + message.retention.min(longest),
        };
        let book = Book {
            claims,
            source: Some(source),
            hand_over: None,
        };
        self.by_owner.insert(message.owner, book);
        true
    }

    /// Begins to hand every table over to one heir; nothing unknown is started from now on.
    pub fn begin_hand_over(&mut self, cx: &Context<'_>, successor: Successor) {
        let retention = cx.cfg.claims.ticket_ttl + cx.cfg.claims.floor_margin;
        let own = self.own;
        self.by_owner.retain(|_, book| book.is_whole());
        for book in self.by_owner.values_mut() {
            let ends_at = book
                .source
                .as_ref()
                .map_or(cx.now + retention, |s| s.ends_at);
            book.hand_over = Some(HandOver::new(own, successor, cx.now, ends_at));
        }
    }

    /// Messages to send now, with the heir's address.
    pub fn take_due(&mut self, cx: &Context<'_>) -> Vec<(SocketAddr, Arc<HandOverMessage>)> {
        let mut due = Vec::new();
        for book in self.by_owner.values_mut() {
            let Some(hand_over) = &mut book.hand_over else {
                continue;
            };
            if let Some(message) = hand_over.take_due(cx.now, &cx.cfg.handover, &book.claims) {
                due.push((hand_over.successor().address, message));
            }
        }
        due
    }

    /// Takes the heir's reply; returns the authority where it has changed.
    pub fn take_reply(
        &mut self,
        owner: Incarnation,
        number: u64,
        reply: HandOverReply,
    ) -> Option<Authority> {
        let hand_over = self.by_owner.get_mut(&owner)?.hand_over.as_mut()?;
        let has_changed = hand_over.take_reply(number, reply);
        has_changed.then(|| hand_over.authority())
    }

    /// Whether nothing more is to be handed over.
    pub fn is_hand_over_done(&self, cx: &Context<'_>) -> bool {
        self.by_owner.values().all(|book| {
            let hand_over = book.hand_over.as_ref();
            hand_over.is_none_or(|h| h.is_over(cx.now, &cx.cfg.handover))
        })
    }

    /// Sources of tables that are handed on while answers from there are missing.
    pub fn awaited_sources(&self) -> Vec<Incarnation> {
        let awaited = self.by_owner.values().filter(|book| {
            let mut claims = book.claims.claims_from(0);
            book.hand_over.is_some() && claims.any(|(_, c)| matches!(c, Claim::Elsewhere { .. }))
        });
        let sources = awaited.filter_map(|book| book.source.as_ref());
        sources.map(|source| source.from).collect()
    }
}

impl Book {
    fn is_whole(&self) -> bool {
        self.source.as_ref().is_none_or(|source| source.is_whole)
    }

    fn note_answer(&mut self, seq: u64) {
        if let Some(hand_over) = &mut self.hand_over {
            hand_over.note_answer(seq);
        }
    }

    /// Puts the hand-over in the place of a claim that may not be made here any more.
    fn route(&self, decision: Decision) -> Decision {
        let Some(hand_over) = self.hand_over.as_ref() else {
            return decision;
        };
        if decision != Decision::Fresh {
            return decision;
        }
        match hand_over.authority() {
            Authority::Handing => Decision::HandingOver,
            Authority::Successor(successor) => Decision::HandedOver(successor),
            Authority::Ended => Decision::Fresh,
            Authority::Lost => Decision::AuthorityLost,
        }
    }

    fn take(&mut self, message: &HandOverMessage, budget: usize) -> HandOverReply {
        let Some(source) = &mut self.source else {
            return HandOverReply::NotTaken;
        };
        if source.from != message.from || message.number > source.next_number {
            return HandOverReply::NotTaken;
        }
        if message.number < source.next_number {
            return HandOverReply::Taken;
        }
        source.next_number += 1;
        let is_first_pass = !source.is_whole;
        source.is_whole |= message.grants_authority;
        for handed in &message.claims {
            let is_open = matches!(
                self.claims.claim_at(handed.seq),
                Some(Claim::Elsewhere { .. })
            );
            if is_first_pass || is_open {
                self.claims
                    .put(handed.seq, handed.state.clone().into(), budget);
                self.note_answer(handed.seq);
            }
        }
        HandOverReply::Taken
    }

    /// Ends a table whose time has passed; returns whether nothing of it is in flight either.
    fn has_ended(&mut self, now: Instant) -> bool {
        let Some(source) = &self.source else {
            return false;
        };
        if now < source.ends_at {
            return false;
        }
        self.claims.end();
        self.claims.is_empty()
    }
}
