//! The graceful stop: claims go to one heir, and requests to whoever decides on them.

use std::time::Instant;

use crate::command::{Command, Waiter};
use crate::context::Context;
use crate::dispatcher::Dispatcher;
use crate::dispatcher::peers::{OWNER_RETRY_AFTER, Watch};
use crate::dispatcher::submit::{Submission, reject};
use crate::effect::{Effect, HandOverStage, PeerCall, Rejection, Reply};
use crate::modules::claims::Decision;
use crate::modules::handover::{Authority, HandOverMessage, HandOverReply};
use crate::modules::membership::Owner;
use crate::modules::policy::Policy;
use crate::reason::Reason;
use crate::ticket::Incarnation;

/// A request that waits until it is known who decides on it.
#[derive(Debug)]
pub(super) struct Parked {
    until: Instant,
    cmd: Command,
}

impl<P: Policy> Dispatcher<P> {
    /// Ceases to claim and begins to hand every table over to one heir.
    pub(super) fn drain(&mut self, cx: &Context<'_>, out: &mut Vec<Effect>) {
        if self.is_draining {
            return;
        }
        self.mint.close();
        self.is_draining = true;
        let own = self.identity;
        let successor = self
            .membership
            .successor(cx, own.data_centre, own.incarnation);
        let stage = if let Some(successor) = successor {
            self.claims.begin_hand_over(cx, successor);
            HandOverStage::Begun
        } else {
            HandOverStage::NoHeir
        };
        let owner = own.incarnation;
        out.push(Effect::ReportHandOver { owner, stage });
        self.membership.hurry_beats();
        self.beat(cx, out);
        self.hand_over(cx, out);
    }

    /// Sends what is due of the hand-over and gives up on what has waited too long.
    pub(super) fn hand_over(&mut self, cx: &Context<'_>, out: &mut Vec<Effect>) {
        if !self.is_draining {
            return;
        }
        for (address, message) in self.claims.take_due(cx) {
            out.push(Effect::HandOver { address, message });
        }
        while self.parked.front().is_some_and(|p| p.until <= cx.now) {
            if let Some(parked) = self.parked.pop_front() {
                reject_parked(parked.cmd, out);
            }
        }
    }

    /// Whether the heir has all that it is to get, or can't be given it.
    pub(super) fn is_handed_over(&self, cx: &Context<'_>) -> bool {
        let is_alive = |from| matches!(self.membership.process_at(cx, from), Owner::At(_));
        self.claims.is_hand_over_done(cx)
            && !self.claims.awaited_sources().into_iter().any(is_alive)
    }

    /// Takes a message of a process that stops.
    pub(super) fn take_hand_over(
        &mut self,
        cx: &Context<'_>,
        message: &HandOverMessage,
        waiter: Waiter,
        out: &mut Vec<Effect>,
    ) {
        let owner = message.owner;
        let held_before = self.claims.holds(owner);
        let reply = self.claims.take(cx, message, self.is_draining);
        out.push(Effect::Reply {
            waiter,
            reply: Reply::HandOver(reply),
        });
        if self.claims.holds(owner) && !held_before {
            let stage = HandOverStage::Taken;
            out.push(Effect::ReportHandOver { owner, stage });
            self.membership.hurry_beats();
            self.beat(cx, out);
        }
    }

    /// Takes the heir's reply, and decides on what had to wait for it.
    pub(super) fn hear_heir(
        &mut self,
        cx: &Context<'_>,
        owner: Incarnation,
        number: u64,
        reply: HandOverReply,
        out: &mut Vec<Effect>,
    ) {
        if let Some(authority) = self.claims.take_reply(owner, number, reply) {
            let stage = match authority {
                Authority::Successor(_) => HandOverStage::Acknowledged,
                _ => HandOverStage::Failed,
            };
            out.push(Effect::ReportHandOver { owner, stage });
            for parked in std::mem::take(&mut self.parked) {
                self.handle(cx, parked.cmd, out);
            }
        }
        self.hand_over(cx, out);
    }

    /// Passes a request to the process that decides on it or knows its answer.
    pub(super) fn pass_along(
        &mut self,
        cx: &Context<'_>,
        decision: &Decision,
        cmd: Command,
        out: &mut Vec<Effect>,
    ) {
        let owner = match decision {
            Decision::HandedOver(successor) => Owner::At(successor.address),
            Decision::HandingOver if self.parked.len() < cx.cfg.handover.max_parked => {
                let until = cx.now + cx.cfg.handover.max_park;
                self.parked.push_back(Parked { until, cmd });
                return;
            }
            Decision::HandingOver => {
                reject_parked(cmd, out);
                return;
            }
            _ => self.source_at(cx, &cmd),
        };
        if let Some((call, waiter)) = call_of(cmd) {
            self.pass_to(owner, call, waiter, out);
        }
    }

    fn source_at(&self, cx: &Context<'_>, cmd: &Command) -> Owner {
        let (Command::Submit { ticket, .. }
        | Command::Watch { ticket, .. }
        | Command::Cancel { ticket, .. }) = cmd
        else {
            return Owner::Unknown;
        };
        let source = self.claims.source_of(ticket.incarnation);
        source.map_or(Owner::Unknown, |from| self.membership.process_at(cx, from))
    }
}

fn call_of(cmd: Command) -> Option<(PeerCall, Waiter)> {
    match cmd {
        Command::Submit {
            ticket,
            job,
            waiter,
            ..
        } => Some((PeerCall::Submit { ticket, job }, waiter)),
        Command::Watch {
            ticket,
            wait_ms,
            waiter,
            ..
        } => Some((PeerCall::Watch { ticket, wait_ms }, waiter)),
        Command::Cancel { ticket, waiter, .. } => Some((PeerCall::Cancel { ticket }, waiter)),
        _ => None,
    }
}

/// The heir may have taken the authority already, so nothing better can be said.
fn reject_parked(cmd: Command, out: &mut Vec<Effect>) {
    if let Some((_, waiter)) = call_of(cmd) {
        let rejection = Rejection::may_have_run(Reason::OwnerUnreachable);
        reject(waiter, rejection.with_retry_after(OWNER_RETRY_AFTER), out);
    }
}

impl From<Submission> for Command {
    fn from(req: Submission) -> Self {
        Self::Submit {
            ticket: req.ticket,
            digest: req.digest,
            job: req.job,
            waiter: req.waiter,
            origin: req.origin,
        }
    }
}

impl From<Watch> for Command {
    fn from(req: Watch) -> Self {
        Self::Watch {
            ticket: req.ticket,
            wait_ms: req.wait_ms,
            waiter: req.waiter,
            origin: req.origin,
        }
    }
}
