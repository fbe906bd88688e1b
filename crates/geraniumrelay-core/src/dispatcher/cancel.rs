//! Cancellation of submissions.

use crate::command::{Command, Origin, Waiter};
use crate::context::Context;
use crate::dispatcher::Dispatcher;
use crate::dispatcher::submit::reject;
use crate::effect::{Effect, PeerCall, Rejection};
use crate::modules::claim_table::Decision;
use crate::modules::policy::Policy;
use crate::reason::Reason;
use crate::ticket::Ticket;

impl<P: Policy> Dispatcher<P> {
    /// Cancels a job in flight, or marks a ticket as not run if its submission has not arrived, so
    /// that a late submission is refused.
    pub(super) fn cancel(
        &mut self,
        cx: &Context<'_>,
        ticket: Ticket,
        waiter: Waiter,
        origin: Origin,
        out: &mut Vec<Effect>,
    ) {
        if !self.claim_tables.holds(ticket.incarnation) {
            self.forward(cx, PeerCall::Cancel { ticket }, waiter, origin, out);
            return;
        }
        match self.claim_tables.look_up(ticket) {
            Decision::Fresh => {
                self.claim_tables.mark_not_run(ticket, Reason::Cancelled);
                reject(waiter, Rejection::not_run(Reason::Cancelled), out);
            }
            Decision::Join(key) => {
                self.reply_from_claim(ticket, Decision::Join(key), waiter, out);
                self.finish_job(cx, key, Some(Reason::Cancelled), out);
                self.start_all(cx, out);
            }
            known if known.is_elsewhere() => {
                let cmd = Command::Cancel {
                    ticket,
                    waiter,
                    origin,
                };
                self.forward_to_authority(cx, &known, cmd, out);
            }
            known => self.reply_from_claim(ticket, known, waiter, out),
        }
    }
}
