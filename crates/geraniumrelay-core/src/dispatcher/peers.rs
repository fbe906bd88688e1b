//! Work with other entry VMs: forwards and heartbeats.

use std::time::Duration;

use crate::command::{Origin, Waiter};
use crate::context::Context;
use crate::dispatcher::Dispatcher;
use crate::dispatcher::submit::reject;
use crate::effect::{Effect, PeerCall, Rejection};
use crate::modules::claims::Decision;
use crate::modules::membership::{Owner, PeerNews};
use crate::modules::policy::Policy;
use crate::reason::Reason;
use crate::ticket::Ticket;

/// Wait before asking again for a ticket whose owner can't be reached.
const OWNER_RETRY_AFTER: Duration = Duration::from_secs(2);

/// Wish to learn the answer of a ticket.
#[derive(Debug, Clone, Copy)]
pub(super) struct Watch {
    pub(super) ticket: Ticket,
    pub(super) wait_ms: u64,
    pub(super) waiter: Waiter,
    pub(super) origin: Origin,
}

impl<P: Policy> Dispatcher<P> {
    /// Waits for the answer of a ticket without submitting anything.
    pub(super) fn watch(&mut self, cx: &Context<'_>, req: Watch, out: &mut Vec<Effect>) {
        let Watch {
            ticket,
            wait_ms,
            waiter,
            origin,
        } = req;
        if ticket.incarnation != self.identity.incarnation {
            self.forward(cx, PeerCall::Watch { ticket, wait_ms }, waiter, origin, out);
            return;
        }
        match self.claims.look_up(ticket) {
            Decision::Fresh => reject(waiter, Rejection::may_have_run(Reason::UnknownTicket), out),
            known => self.reply_known(ticket, known, waiter, out),
        }
    }

    /// Passes a request on to the owner of its ticket; a VM that can't reach the owner can't
    /// know what an earlier attempt did.
    pub(super) fn forward(
        &mut self,
        cx: &Context<'_>,
        call: PeerCall,
        waiter: Waiter,
        origin: Origin,
        out: &mut Vec<Effect>,
    ) {
        let unreachable =
            Rejection::may_have_run(Reason::OwnerUnreachable).with_retry_after(OWNER_RETRY_AFTER);
        if origin == Origin::Peer {
            reject(waiter, unreachable, out);
            return;
        }
        match self.membership.owner_of(cx, call.ticket().incarnation) {
            Owner::At(address) => out.push(Effect::Forward {
                waiter,
                address,
                call,
            }),
            Owner::Silent => reject(waiter, unreachable, out),
            Owner::Unknown => {
                let gone = Rejection::may_have_run(Reason::OwnerGone);
                reject(waiter, gone.with_retry_after(OWNER_RETRY_AFTER), out);
            }
        }
    }

    /// State of this VM, for its peers.
    pub fn own_news(&self) -> PeerNews {
        PeerNews {
            vm: self.identity.vm,
            data_centre: self.identity.data_centre,
            address: self.identity.peer_address,
            incarnation: Some(self.identity.incarnation),
            revision: self.rules.revision,
            is_leaving: self.is_draining,
            held: Vec::new(),
            spare: self.spare.clone(),
        }
    }

    pub(super) fn hear_peer(&mut self, cx: &Context<'_>, news: PeerNews, out: &mut Vec<Effect>) {
        self.loans.hear(news.address, &news.spare);
        self.membership.hear(cx, news);
        self.fetch_sheet(cx, out);
        self.settle_homes(cx);
        self.start_all(cx, out);
    }

    pub(super) fn beat(&mut self, cx: &Context<'_>, out: &mut Vec<Effect>) {
        for address in self.membership.take_due_beats(cx) {
            out.push(Effect::Beat {
                address,
                news: self.own_news(),
            });
        }
    }
}
