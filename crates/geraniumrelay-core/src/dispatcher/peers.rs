//! Work with other entry VMs: forwards and heartbeats.

use std::time::Duration;

use crate::command::{Origin, Waiter};
use crate::context::Context;
use crate::dispatcher::Dispatcher;
use crate::dispatcher::submit::reject;
use crate::effect::{Effect, PeerCall, Rejection};
use crate::modules::claims::Decision;
use crate::modules::digest::PeerDigest;
use crate::modules::membership::{Owner, PeerNews};
use crate::modules::policy::Policy;
use crate::names::DataCentre;
use crate::reason::Reason;
use crate::ticket::Ticket;

/// Wait before asking again for a ticket whose owner can't be reached.
pub(super) const OWNER_RETRY_AFTER: Duration = Duration::from_secs(2);

/// Longest wait for a job of whose deadline nothing is known here.
const UNKNOWN_DEADLINE: Duration = Duration::from_secs(30);

/// Time beyond a job's deadline for its answer to travel.
const FORWARD_MARGIN: Duration = Duration::from_secs(1);

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
        if !self.claims.holds(ticket.incarnation) {
            self.forward(cx, PeerCall::Watch { ticket, wait_ms }, waiter, origin, out);
            return;
        }
        match self.claims.look_up(ticket) {
            Decision::Fresh => reject(waiter, Rejection::may_have_run(Reason::UnknownTicket), out),
            known if known.is_elsewhere() => self.pass_along(cx, &known, req.into(), out),
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
        let owner = self.membership.owner_of(cx, call.ticket().incarnation);
        self.pass_to(owner, call, waiter, out);
    }

    /// Passes a request to a process, where that can be reached.
    pub(super) fn pass_to(
        &self,
        owner: Owner,
        call: PeerCall,
        waiter: Waiter,
        out: &mut Vec<Effect>,
    ) {
        let reason = match owner {
            Owner::At(address) => {
                let timeout = self.longest_wait(&call);
                out.push(Effect::Forward {
                    waiter,
                    address,
                    call,
                    timeout,
                });
                return;
            }
            Owner::Silent => Reason::OwnerUnreachable,
            Owner::Unknown => Reason::OwnerGone,
        };
        let rejection = Rejection::may_have_run(reason);
        reject(waiter, rejection.with_retry_after(OWNER_RETRY_AFTER), out);
    }

    /// Longest time within which another process replies, if it still does.
    fn longest_wait(&self, call: &PeerCall) -> Duration {
        let wait = match call {
            PeerCall::Submit { job, .. } => {
                let service = self.rules.services.get(&job.service);
                let rule = service.and_then(|service| service.kinds.get(&job.kind));
                let own = job.deadline_ms.map(Duration::from_millis);
                let allowed = rule.map(|rule| rule.deadline);
                [own, allowed].into_iter().flatten().min()
            }
            PeerCall::Watch { wait_ms, .. } => Some(Duration::from_millis(*wait_ms)),
            PeerCall::Cancel { .. } => Some(Duration::ZERO),
        };
        wait.unwrap_or(UNKNOWN_DEADLINE) + FORWARD_MARGIN
    }

    /// State of this VM, for its peers.
    pub fn own_status(&self) -> PeerNews {
        PeerNews {
            vm: self.identity.vm,
            data_centre: self.identity.data_centre,
            address: self.identity.peer_address,
            incarnation: Some(self.identity.incarnation),
            revision: self.rules.revision,
            is_leaving: self.is_draining,
            held: self.claims.held(),
            spare: self.spare.clone(),
        }
    }

    /// What this VM says of its data centre to a VM of another one, where it asks from there.
    pub fn peer_digest_for(
        &self,
        cx: &Context<'_>,
        asker: DataCentre,
        known_digest: u64,
    ) -> Option<PeerDigest> {
        let is_remote = asker != self.identity.data_centre;
        is_remote.then(|| self.membership.digest(cx, self.own_status(), known_digest))
    }

    pub(super) fn hear_peer(&mut self, cx: &Context<'_>, news: PeerNews, out: &mut Vec<Effect>) {
        self.loans.hear(news.address, &news.spare);
        self.membership.hear(cx, news);
        self.fetch_sheet(cx, out);
        self.settle_homes(cx);
        self.start_all(cx, out);
    }

    pub(super) fn note_peers(&mut self, cx: &Context<'_>, out: &mut Vec<Effect>) {
        let changes = self.membership.take_changes(cx);
        out.extend(changes.into_iter().map(Effect::ReportPeerChange));
    }

    pub(super) fn beat(&mut self, cx: &Context<'_>, out: &mut Vec<Effect>) {
        for to in self.membership.take_due_beats(cx) {
            out.push(Effect::Heartbeat {
                address: to.address,
                news: self.own_status(),
                known_digest: to.known_digest,
            });
        }
    }
}
