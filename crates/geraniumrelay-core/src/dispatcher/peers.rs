//! Communication with other entry VMs: forwarded requests, status and heartbeats.

use std::time::Duration;

use crate::command::{Origin, Waiter};
use crate::context::Context;
use crate::dispatcher::Dispatcher;
use crate::dispatcher::submit::reject;
use crate::effect::{Effect, PeerCall, Rejection};
use crate::modules::claim_table::Decision;
use crate::modules::membership::{Owner, PeerStatus};
use crate::modules::peer_digest::PeerDigest;
use crate::modules::policy::Policy;
use crate::names::DataCentre;
use crate::reason::Reason;
use crate::ticket::Ticket;

/// Retry delay suggested when the owner of a ticket is unreachable.
pub(super) const OWNER_RETRY_AFTER: Duration = Duration::from_secs(2);

/// Maximum wait for the reply on a job whose deadline is unknown here.
const UNKNOWN_DEADLINE_WAIT: Duration = Duration::from_secs(30);

/// Margin beyond a job's deadline for the transfer of the answer.
const FORWARD_MARGIN: Duration = Duration::from_secs(1);

/// Arguments of [`Command::Watch`](crate::Command::Watch).
#[derive(Debug, Clone, Copy)]
pub(super) struct Watch {
    pub(super) ticket: Ticket,
    pub(super) wait_ms: u64,
    pub(super) waiter: Waiter,
    pub(super) origin: Origin,
}

impl<P: Policy> Dispatcher<P> {
    /// Waits for the answer of a ticket without submitting a job.
    pub(super) fn watch(&mut self, cx: &Context<'_>, req: Watch, out: &mut Vec<Effect>) {
        let Watch {
            ticket,
            wait_ms,
            waiter,
            origin,
        } = req;
        if !self.claim_tables.holds(ticket.incarnation) {
            self.forward(cx, PeerCall::Watch { ticket, wait_ms }, waiter, origin, out);
            return;
        }
        match self.claim_tables.look_up(ticket) {
            Decision::Fresh => reject(waiter, Rejection::may_have_run(Reason::UnknownTicket), out),
            known if known.is_elsewhere() => self.forward_to_authority(cx, &known, req.into(), out),
            known => self.reply_from_claim(ticket, known, waiter, out),
        }
    }

    /// Forwards a request to the owner of its ticket. If the owner is unreachable, the request is
    /// refused as possibly run, because an earlier attempt may have started the tasks. Requests
    /// from peers are not forwarded again.
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
        self.forward_to(owner, call, waiter, out);
    }

    /// Forwards a request to a process, or refuses the request if the process is unreachable.
    pub(super) fn forward_to(
        &self,
        owner: Owner,
        call: PeerCall,
        waiter: Waiter,
        out: &mut Vec<Effect>,
    ) {
        let reason = match owner {
            Owner::At(address) => {
                let timeout = self.max_forward_wait(&call);
                out.push(Effect::Forward {
                    waiter,
                    address,
                    call,
                    timeout,
                });
                return;
            }
            Owner::Unresponsive => Reason::OwnerUnreachable,
            Owner::Unknown => Reason::OwnerGone,
        };
        let rejection = Rejection::may_have_run(reason);
        reject(waiter, rejection.with_retry_after(OWNER_RETRY_AFTER), out);
    }

    /// Time after which no reply of another process is expected any more.
    fn max_forward_wait(&self, call: &PeerCall) -> Duration {
        let wait = match call {
            PeerCall::Submit { job, .. } => {
                let service = self.rules.services.get(&job.service);
                let rule = service.and_then(|service| service.kinds.get(&job.kind));
                let requested = job.deadline_ms.map(Duration::from_millis);
                let allowed = rule.map(|rule| rule.deadline);
                [requested, allowed].into_iter().flatten().min()
            }
            PeerCall::Watch { wait_ms, .. } => Some(Duration::from_millis(*wait_ms)),
            PeerCall::Cancel { .. } => Some(Duration::ZERO),
        };
        wait.unwrap_or(UNKNOWN_DEADLINE_WAIT) + FORWARD_MARGIN
    }

    /// Status of this VM, as sent to peers.
    pub fn own_status(&self) -> PeerStatus {
        PeerStatus {
            vm: self.identity.vm,
            data_centre: self.identity.data_centre,
            address: self.identity.peer_address,
            incarnation: Some(self.identity.incarnation),
            revision: self.rules.revision,
            is_leaving: self.is_draining,
            held: self.claim_tables.held(),
            spare: self.spare.clone(),
        }
    }

    /// Peer digest of this data centre for a VM of another one; `None` for a VM of the same data
    /// centre.
    pub fn peer_digest_for(
        &self,
        cx: &Context<'_>,
        requester: DataCentre,
        known_digest: u64,
    ) -> Option<PeerDigest> {
        let is_remote = requester != self.identity.data_centre;
        is_remote.then(|| self.membership.digest(cx, self.own_status(), known_digest))
    }

    /// Records a peer's heartbeat, requests its sheet if that is newer, and updates the target
    /// assignment.
    pub(super) fn record_heartbeat(
        &mut self,
        cx: &Context<'_>,
        status: PeerStatus,
        out: &mut Vec<Effect>,
    ) {
        self.loans.on_heartbeat(status.address, &status.spare);
        self.membership.on_heartbeat(cx, status);
        self.fetch_sheet(cx, out);
        self.update_assignment(cx);
        self.start_all(cx, out);
    }

    /// Reports the peers that became live, unresponsive or restarted since the last call.
    pub(super) fn report_peer_changes(&mut self, cx: &Context<'_>, out: &mut Vec<Effect>) {
        let changes = self.membership.take_changes(cx);
        out.extend(changes.into_iter().map(Effect::ReportPeerChange));
    }

    /// Sends the heartbeats that are due.
    pub(super) fn send_heartbeats(&mut self, cx: &Context<'_>, out: &mut Vec<Effect>) {
        for to in self.membership.take_due_heartbeats(cx) {
            out.push(Effect::Heartbeat {
                address: to.address,
                status: self.own_status(),
                known_digest: to.known_digest,
            });
        }
    }
}
