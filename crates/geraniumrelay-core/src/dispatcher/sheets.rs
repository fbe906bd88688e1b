//! Sheets: puts newer ones in force and requests them from peers.

use std::net::SocketAddr;

use crate::context::Context;
use crate::dispatcher::Dispatcher;
use crate::effect::Effect;
use crate::modules::policy::Policy;
use crate::modules::sheet::{Sheet, SheetRules};

impl<P: Policy> Dispatcher<P> {
    /// Applies a sheet of the platform and sends a heartbeat to the peers that have an older one.
    pub(super) fn apply_sheet(&mut self, cx: &Context<'_>, sheet: &Sheet, out: &mut Vec<Effect>) {
        if self.put_in_force(cx, sheet, out) {
            let peers = self.membership.recipients();
            let older = peers.filter(|status| status.revision < sheet.revision);
            let addresses: Vec<_> = older.map(|status| status.address).collect();
            out.extend(
                addresses
                    .into_iter()
                    .map(|address| self.heartbeat_to(address)),
            );
        }
    }

    /// Applies a peer's sheet and sends a heartbeat to the sender only: other peers learn of the
    /// sheet from its sender, or with the next heartbeat.
    pub(super) fn apply_peer_sheet(
        &mut self,
        cx: &Context<'_>,
        sheet: &Sheet,
        from: SocketAddr,
        out: &mut Vec<Effect>,
    ) {
        if self.put_in_force(cx, sheet, out) {
            out.push(self.heartbeat_to(from));
        }
    }

    /// Requests the newest sheet of the live peers if it is newer than the one in force here.
    pub(super) fn fetch_sheet(&mut self, cx: &Context<'_>, out: &mut Vec<Effect>) {
        let Some(newest) = self.membership.newest_sheet(cx) else {
            return;
        };
        let (in_force, offered) = (self.rules.revision, newest.revision);
        if self.sheet_fetch.should_fetch(cx, in_force, offered) {
            out.push(Effect::FetchSheet {
                address: newest.address,
            });
        }
    }

    /// Puts a sheet in force if its revision is higher than the one in force; returns whether it
    /// did.
    fn put_in_force(&mut self, cx: &Context<'_>, sheet: &Sheet, out: &mut Vec<Effect>) -> bool {
        if sheet.revision <= self.rules.revision {
            return false;
        }
        self.rules = SheetRules::new(sheet);
        self.sheet_fetch.on_sheet_applied();
        for (name, rule) in &self.rules.services {
            let slots = rule.slots.get(&self.identity.data_centre);
            self.targets
                .set_slots(*name, slots.copied().unwrap_or_default());
            let queue = self.queues.entry(*name).or_default();
            queue.set_shares(cx, &rule.team_shares);
        }
        out.push(Effect::SheetInForce {
            revision: sheet.revision,
        });
        self.start_all(cx, out);
        true
    }

    fn heartbeat_to(&self, address: SocketAddr) -> Effect {
        Effect::Heartbeat {
            address,
            status: self.own_status(),
            known_digest: self.membership.known_digest_at(address),
        }
    }
}
