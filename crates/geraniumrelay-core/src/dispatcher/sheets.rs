//! Sheets coming into force, and asking peers for newer ones.

use std::net::SocketAddr;

use crate::context::Context;
use crate::dispatcher::Dispatcher;
use crate::effect::Effect;
use crate::modules::policy::Policy;
use crate::modules::sheet::{Sheet, SheetRules};

impl<P: Policy> Dispatcher<P> {
    /// Puts a sheet of the platform in force and tells the peers that have an older one.
    pub(super) fn put_sheet(&mut self, cx: &Context<'_>, sheet: &Sheet, out: &mut Vec<Effect>) {
        if self.enforce(cx, sheet, out) {
            let peers = self.membership.recipients();
            let older = peers.filter(|news| news.revision < sheet.revision);
            let addresses: Vec<_> = older.map(|news| news.address).collect();
            out.extend(addresses.into_iter().map(|address| self.beat_to(address)));
        }
    }

    /// Puts a peer's sheet in force and tells only the giver: the others hear of it from where it
    /// came from, or at the next heartbeat.
    pub(super) fn put_peer_sheet(
        &mut self,
        cx: &Context<'_>,
        sheet: &Sheet,
        from: SocketAddr,
        out: &mut Vec<Effect>,
    ) {
        if self.enforce(cx, sheet, out) {
            out.push(self.beat_to(from));
        }
    }

    /// Asks the reachable peer with the newest sheet for it, where that is newer than this VM's.
    pub(super) fn fetch_sheet(&mut self, cx: &Context<'_>, out: &mut Vec<Effect>) {
        let Some(newest) = self.membership.newest_sheet(cx) else {
            return;
        };
        let (in_force, offered) = (self.rules.revision, newest.revision);
        if self.sheet_fetch.should_ask(cx, in_force, offered) {
            out.push(Effect::FetchSheet {
                address: newest.address,
            });
        }
    }

    /// Puts a sheet in force unless one at least as new is; returns whether it did.
    fn enforce(&mut self, cx: &Context<'_>, sheet: &Sheet, out: &mut Vec<Effect>) -> bool {
        if sheet.revision <= self.rules.revision {
            return false;
        }
        self.rules = SheetRules::new(sheet);
        self.sheet_fetch.note_sheet();
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

    fn beat_to(&self, address: SocketAddr) -> Effect {
        Effect::Heartbeat {
            address,
            news: self.own_status(),
            known_digest: self.membership.known_digest_at(address),
        }
    }
}
