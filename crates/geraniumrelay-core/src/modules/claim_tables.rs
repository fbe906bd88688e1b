//! Claim tables of this process: its own, and those handed over by other incarnations.
//!
//! One table per incarnation, so that each can be removed once its own tickets have expired. A
//! process that has begun to hand a table over never again starts an unknown ticket of it.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Instant;

use crate::collections::{Map, Set};
use crate::context::Context;
use crate::effect::Answer;
use crate::modules::claim_table::{Claim, ClaimTable, Decision};
use crate::modules::handover::{Authority, HandOver, HandOverMessage, HandOverReply, Successor};
use crate::modules::jobs::JobKey;
use crate::reason::Reason;
use crate::ticket::{Incarnation, Ticket, TicketKey};

/// Maximum number of hand-overs that one process accepts; the owner of each stays in memory.
const MAX_ACCEPTED_HAND_OVERS: usize = 65_536;

/// Source of a table that was handed over to this process.
#[derive(Debug)]
struct Source {
    from: Incarnation,
    /// Number of the next message to apply.
    next_number: u64,
    /// Whether all claims have arrived, and with them the authority.
    is_complete: bool,
    expires_at: Instant,
}

/// Claim table with its origin and its hand-over to a successor.
#[derive(Debug)]
struct HeldTable {
    claim_table: ClaimTable,
    /// `None` for the table of this process.
    source: Option<Source>,
    /// `None` until this process stops.
    hand_over: Option<HandOver>,
}

/// All claim tables of a process, by the incarnation that minted their tickets.
#[derive(Debug)]
pub struct ClaimTables {
    own: Incarnation,
    tables: Map<Incarnation, HeldTable>,
    /// Owners whose hand-overs were accepted; a late copy of such a hand-over is not accepted again.
    accepted_owners: Set<Incarnation>,
}

impl ClaimTables {
    /// Creates the empty table of a process that has just started.
    pub fn new(own: Incarnation, key: TicketKey) -> Self {
        let table = HeldTable {
            claim_table: ClaimTable::new(own, key),
            source: None,
            hand_over: None,
        };
        Self {
            own,
            tables: Map::from_iter([(own, table)]),
            accepted_owners: Set::default(),
        }
    }

    /// Whether this process decides on the tickets of an incarnation, or passes them on to the
    /// process that does.
    pub fn holds(&self, owner: Incarnation) -> bool {
        self.tables.get(&owner).is_some_and(HeldTable::is_complete)
    }

    /// Other incarnations whose tables this process has in full and has not handed on.
    pub fn held(&self) -> Vec<Incarnation> {
        let held = self.tables.iter().filter(|(owner, table)| {
            let is_handed_on = table
                .hand_over
                .as_ref()
                .is_some_and(|hand_over| matches!(hand_over.authority(), Authority::Successor(_)));
            **owner != self.own && table.is_complete() && !is_handed_on
        });
        held.map(|(owner, _)| *owner).collect()
    }

    /// The process that handed a table over; `None` for the own table and unknown owners.
    pub fn source_of(&self, owner: Incarnation) -> Option<Incarnation> {
        let source = self.tables.get(&owner)?.source.as_ref()?;
        Some(source.from)
    }

    /// Decides on a submission without a change of any table.
    pub fn decide(&self, ticket: Ticket, body_digest: u128) -> Decision {
        let Some(table) = self.tables.get(&ticket.incarnation) else {
            return Decision::Forged;
        };
        table.route(table.claim_table.decide(ticket, body_digest))
    }

    /// Decides on a ticket without a check of the body.
    pub fn look_up(&self, ticket: Ticket) -> Decision {
        let Some(table) = self.tables.get(&ticket.incarnation) else {
            return Decision::Forged;
        };
        table.route(table.claim_table.look_up(ticket))
    }

    /// Claims a fresh ticket for a job, which is active from now on.
    pub fn claim(&mut self, ticket: Ticket, body_digest: u128, job: JobKey) {
        if let Some(table) = self.tables.get_mut(&ticket.incarnation) {
            table.claim_table.claim(ticket, body_digest, job);
        }
    }

    /// Records that the submission of a ticket has started nothing and never will.
    pub fn mark_not_run(&mut self, ticket: Ticket, reason: Reason) {
        if let Some(table) = self.tables.get_mut(&ticket.incarnation) {
            table.claim_table.mark_not_run(ticket, reason);
            table.queue_answer(ticket.seq);
        }
    }

    /// Stores the answer of an active ticket, and queues it for the successor if there is one.
    pub fn answer(&mut self, cx: &Context<'_>, ticket: Ticket, answer: &Arc<Answer>) {
        if let Some(table) = self.tables.get_mut(&ticket.incarnation) {
            table.claim_table.answer(cx, ticket, answer);
            table.queue_answer(ticket.seq);
        }
    }

    /// Raises the low watermark of the own table and removes tables whose tickets have all expired.
    pub fn advance(&mut self, cx: &Context<'_>, next_seq: u64) {
        let own = self.tables.get_mut(&self.own);
        if let Some(table) = own.filter(|table| table.hand_over.is_none()) {
            table.claim_table.advance(cx, next_seq);
        }
        self.tables.retain(|_, table| !table.expire(cx.now));
    }

    /// Applies a message of a hand-over to this process and returns the reply.
    ///
    /// A stopping process refuses new tables but still accepts messages of those it has.
    pub fn take(
        &mut self,
        cx: &Context<'_>,
        message: &HandOverMessage,
        is_stopping: bool,
    ) -> HandOverReply {
        if message.successor != self.own {
            return HandOverReply::NotTaken;
        }
        let is_new = !self.tables.contains_key(&message.owner);
        if is_new && is_stopping {
            return HandOverReply::Refused;
        }
        if is_new && !self.create_table(cx, message) {
            return HandOverReply::NotTaken;
        }
        let max_answer_bytes = cx.cfg.handover.max_held_answer_bytes / self.tables.len();
        let Some(table) = self.tables.get_mut(&message.owner) else {
            return HandOverReply::NotTaken;
        };
        table.take(message, max_answer_bytes)
    }

    /// Creates the table for a new hand-over; returns `false` if the message is not the first one of
    /// the hand-over, if there is no room, or if the owner's table was accepted before.
    fn create_table(&mut self, cx: &Context<'_>, message: &HandOverMessage) -> bool {
        let has_room = self.tables.len() <= cx.cfg.handover.max_held
            && self.accepted_owners.len() < MAX_ACCEPTED_HAND_OVERS;
        if message.number != 0 || !has_room || !self.accepted_owners.insert(message.owner) {
            return false;
        }
        let mut claim_table = ClaimTable::new(message.owner, message.key);
        claim_table.raise_low_watermark(message.low_watermark);
        let max_retention = cx.cfg.claim_table.ticket_ttl + cx.cfg.claim_table.low_watermark_margin;
        let source = Source {
            from: message.from,
            next_number: 0,
            is_complete: false,
            expires_at: cx.now + message.retention.min(max_retention),
        };
        let table = HeldTable {
            claim_table,
            source: Some(source),
            hand_over: None,
        };
        self.tables.insert(message.owner, table);
        true
    }

    /// Starts the hand-over of every complete table to one successor; from now on this process starts
    /// no unknown tickets. Incomplete tables are dropped: this process has no authority over them.
    pub fn begin_hand_over(&mut self, cx: &Context<'_>, successor: Successor) {
        let retention = cx.cfg.claim_table.ticket_ttl + cx.cfg.claim_table.low_watermark_margin;
        let own = self.own;
        self.tables.retain(|_, table| table.is_complete());
        for table in self.tables.values_mut() {
            let expires_at = table
                .source
                .as_ref()
                .map_or(cx.now + retention, |s| s.expires_at);
            table.hand_over = Some(HandOver::new(own, successor, cx.now, expires_at));
        }
    }

    /// Messages to send now, with the successor's peer address.
    pub fn take_due(&mut self, cx: &Context<'_>) -> Vec<(SocketAddr, Arc<HandOverMessage>)> {
        let mut due = Vec::new();
        for table in self.tables.values_mut() {
            let Some(hand_over) = &mut table.hand_over else {
                continue;
            };
            if let Some(message) = hand_over.take_due(cx.now, &cx.cfg.handover, &table.claim_table)
            {
                due.push((hand_over.successor().address, message));
            }
        }
        due
    }

    /// Applies the successor's reply; returns the new authority if it has changed.
    pub fn take_reply(
        &mut self,
        owner: Incarnation,
        number: u64,
        reply: HandOverReply,
    ) -> Option<Authority> {
        let hand_over = self.tables.get_mut(&owner)?.hand_over.as_mut()?;
        let has_changed = hand_over.take_reply(number, reply);
        has_changed.then(|| hand_over.authority())
    }

    /// Whether the hand-over of every table is complete or has been given up.
    pub fn is_hand_over_done(&self, cx: &Context<'_>) -> bool {
        self.tables.values().all(|table| {
            let hand_over = table.hand_over.as_ref();
            hand_over.is_none_or(|h| h.is_over(cx.now, &cx.cfg.handover))
        })
    }

    /// Sources of tables in hand-over that still owe answers of jobs in flight there.
    pub fn awaited_sources(&self) -> Vec<Incarnation> {
        let awaited = self.tables.values().filter(|table| {
            let mut claims = table.claim_table.claims_from(0);
            table.hand_over.is_some() && claims.any(|(_, c)| matches!(c, Claim::Elsewhere { .. }))
        });
        let sources = awaited.filter_map(|table| table.source.as_ref());
        sources.map(|source| source.from).collect()
    }
}

impl HeldTable {
    fn is_complete(&self) -> bool {
        self.source.as_ref().is_none_or(|source| source.is_complete)
    }

    fn queue_answer(&mut self, seq: u64) {
        if let Some(hand_over) = &mut self.hand_over {
            hand_over.queue_answer(seq);
        }
    }

    /// Replaces [`Decision::Fresh`] where this process has no authority to start the ticket.
    fn route(&self, decision: Decision) -> Decision {
        let Some(hand_over) = self.hand_over.as_ref() else {
            return decision;
        };
        if decision != Decision::Fresh {
            return decision;
        }
        match hand_over.authority() {
            Authority::Pending => Decision::HandingOver,
            Authority::Successor(successor) => Decision::HandedOver(successor),
            Authority::Ended => Decision::Fresh,
            Authority::Lost => Decision::AuthorityLost,
        }
    }

    fn take(&mut self, message: &HandOverMessage, max_answer_bytes: usize) -> HandOverReply {
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
        let was_incomplete = !source.is_complete;
        source.is_complete |= message.grants_authority;
        for handed in &message.claims {
            let awaits_answer = matches!(
                self.claim_table.claim_at(handed.seq),
                Some(Claim::Elsewhere { .. })
            );
            if was_incomplete || awaits_answer {
                self.claim_table
                    .insert(handed.seq, handed.state.clone().into(), max_answer_bytes);
                self.queue_answer(handed.seq);
            }
        }
        HandOverReply::Taken
    }

    /// From `expires_at` on, removes all claims except active ones; returns whether none is left.
    fn expire(&mut self, now: Instant) -> bool {
        let Some(source) = &self.source else {
            return false;
        };
        if now < source.expires_at {
            return false;
        }
        self.claim_table.expire_all();
        self.claim_table.is_empty()
    }
}
