//! Graceful stop: hands the claim tables to one successor and forwards requests to the process that
//! decides on their tickets.

use std::time::Instant;

use crate::command::{Command, Waiter};
use crate::context::Context;
use crate::dispatcher::Dispatcher;
use crate::dispatcher::peers::{OWNER_RETRY_AFTER, Watch};
use crate::dispatcher::submit::{Submission, reject};
use crate::effect::{Effect, HandOverStage, PeerCall, Rejection, Reply};
use crate::modules::claim_table::Decision;
use crate::modules::handover::{Authority, HandOverMessage, HandOverReply};
use crate::modules::membership::Owner;
use crate::modules::policy::Policy;
use crate::reason::Reason;
use crate::ticket::Incarnation;

/// Request on an unknown ticket that arrived during a hand-over. The request waits until the
/// successor has acknowledged, because until then this process does not know which of the two has
/// the authority.
#[derive(Debug)]
pub(super) struct DeferredRequest {
    expires_at: Instant,
    cmd: Command,
}

impl<P: Policy> Dispatcher<P> {
    /// Stops claiming tickets and begins to hand every claim table over to one successor.
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
            self.claim_tables.begin_hand_over(cx, successor);
            HandOverStage::Begun
        } else {
            HandOverStage::NoSuccessor
        };
        let owner = own.incarnation;
        out.push(Effect::ReportHandOver { owner, stage });
        self.membership.make_heartbeats_due();
        self.send_heartbeats(cx, out);
        self.advance_hand_over(cx, out);
    }

    /// Sends the hand-over messages that are due and refuses the requests that were deferred for
    /// longer than the maximum deferral.
    pub(super) fn advance_hand_over(&mut self, cx: &Context<'_>, out: &mut Vec<Effect>) {
        if !self.is_draining {
            return;
        }
        for (address, message) in self.claim_tables.take_due(cx) {
            out.push(Effect::HandOver { address, message });
        }
        while self
            .deferred_requests
            .front()
            .is_some_and(|req| req.expires_at <= cx.now)
        {
            if let Some(req) = self.deferred_requests.pop_front() {
                reject_deferred(req.cmd, out);
            }
        }
    }

    /// Whether the hand-over from here has ended, and no answers are awaited from live processes
    /// whose tables are being handed on.
    pub(super) fn is_handed_over(&self, cx: &Context<'_>) -> bool {
        let is_live = |from| matches!(self.membership.process_at(cx, from), Owner::At(_));
        self.claim_tables.is_hand_over_done(cx)
            && !self.claim_tables.awaited_sources().into_iter().any(is_live)
    }

    /// Processes a hand-over message of a process that is stopping.
    pub(super) fn receive_hand_over(
        &mut self,
        cx: &Context<'_>,
        message: &HandOverMessage,
        waiter: Waiter,
        out: &mut Vec<Effect>,
    ) {
        let owner = message.owner;
        let held_before = self.claim_tables.holds(owner);
        let reply = self.claim_tables.take(cx, message, self.is_draining);
        out.push(Effect::Reply {
            waiter,
            reply: Reply::HandOver(reply),
        });
        if self.claim_tables.holds(owner) && !held_before {
            let stage = HandOverStage::Received;
            out.push(Effect::ReportHandOver { owner, stage });
            self.membership.make_heartbeats_due();
            self.send_heartbeats(cx, out);
        }
    }

    /// Processes the successor's reply; once it settles the authority, processes the deferred
    /// requests.
    pub(super) fn receive_hand_over_reply(
        &mut self,
        cx: &Context<'_>,
        owner: Incarnation,
        number: u64,
        reply: HandOverReply,
        out: &mut Vec<Effect>,
    ) {
        if let Some(authority) = self.claim_tables.take_reply(owner, number, reply) {
            let stage = match authority {
                Authority::Successor(_) => HandOverStage::Acknowledged,
                _ => HandOverStage::Failed,
            };
            out.push(Effect::ReportHandOver { owner, stage });
            for req in std::mem::take(&mut self.deferred_requests) {
                self.handle(cx, req.cmd, out);
            }
        }
        self.advance_hand_over(cx, out);
    }

    /// Forwards a request to the process that decides on its ticket or knows the answer; defers it
    /// while that process is not determined.
    pub(super) fn forward_to_authority(
        &mut self,
        cx: &Context<'_>,
        decision: &Decision,
        cmd: Command,
        out: &mut Vec<Effect>,
    ) {
        let owner = match decision {
            Decision::HandedOver(successor) => Owner::At(successor.address),
            Decision::HandingOver
                if self.deferred_requests.len() < cx.cfg.handover.max_deferred_requests =>
            {
                let expires_at = cx.now + cx.cfg.handover.max_deferral;
                self.deferred_requests
                    .push_back(DeferredRequest { expires_at, cmd });
                return;
            }
            Decision::HandingOver => {
                reject_deferred(cmd, out);
                return;
            }
            _ => self.source_process(cx, &cmd),
        };
        if let Some((call, waiter)) = peer_call_of(cmd) {
            self.forward_to(owner, call, waiter, out);
        }
    }

    fn source_process(&self, cx: &Context<'_>, cmd: &Command) -> Owner {
        let (Command::Submit { ticket, .. }
        | Command::Watch { ticket, .. }
        | Command::Cancel { ticket, .. }) = cmd
        else {
            return Owner::Unknown;
        };
        let source = self.claim_tables.source_of(ticket.incarnation);
        source.map_or(Owner::Unknown, |from| self.membership.process_at(cx, from))
    }
}

fn peer_call_of(cmd: Command) -> Option<(PeerCall, Waiter)> {
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

/// Refuses a deferred request as possibly run, because the successor may already have the authority
/// and may have started the ticket.
fn reject_deferred(cmd: Command, out: &mut Vec<Effect>) {
    if let Some((_, waiter)) = peer_call_of(cmd) {
        let rejection = Rejection::may_have_run(Reason::OwnerUnreachable);
        reject(waiter, rejection.with_retry_after(OWNER_RETRY_AFTER), out);
    }
}

impl From<Submission> for Command {
    fn from(req: Submission) -> Self {
        Self::Submit {
            ticket: req.ticket,
            digest: req.body_digest,
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
