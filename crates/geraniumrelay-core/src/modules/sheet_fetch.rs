//! Timing of requests to peers for a newer sheet.

use std::time::Instant;

use crate::context::Context;

/// Rate limit of sheet requests, so that a change costs each VM about one exchange.
#[derive(Debug, Default)]
pub struct SheetFetch {
    first_offer_at: Option<Instant>,
    requested_at: Option<Instant>,
}

impl SheetFetch {
    /// Whether to request the sheet that a peer offers; records the request as sent.
    ///
    /// A VM without a sheet first collects the revisions of its peers, so that it starts with the
    /// newest one.
    pub fn should_fetch(&mut self, cx: &Context<'_>, in_force: u64, offered: u64) -> bool {
        if offered <= in_force {
            return false;
        }
        let cfg = &cx.cfg.sheet;
        let first_offer_at = *self.first_offer_at.get_or_insert(cx.now);
        if in_force == 0 && cx.now < first_offer_at + cfg.initial_wait {
            return false;
        }
        let is_due = |at: Instant| cx.now >= at + cfg.fetch_interval;
        if !self.requested_at.is_none_or(is_due) {
            return false;
        }
        self.requested_at = Some(cx.now);
        true
    }

    /// Allows the next request at once, after a sheet came into force.
    pub fn on_sheet_applied(&mut self) {
        self.requested_at = None;
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::configs::Config;

    #[test]
    fn a_vm_without_a_sheet_waits_for_its_peers() {
        let cfg = Config::default();
        let start = Instant::now();
        let mut fetch = SheetFetch::default();
        assert!(!fetch.should_fetch(&Context::new(start, &cfg), 0, 5));
        let later = Context::new(start + cfg.sheet.initial_wait, &cfg);
        assert!(fetch.should_fetch(&later, 0, 7));
    }

    #[test]
    fn one_request_is_open_at_a_time() {
        let cfg = Config::default();
        let start = Instant::now();
        let mut fetch = SheetFetch::default();
        let cx = Context::new(start, &cfg);
        assert!(!fetch.should_fetch(&cx, 3, 3));
        assert!(fetch.should_fetch(&cx, 3, 4));
        assert!(!fetch.should_fetch(&cx, 3, 4));
        let later = Context::new(start + cfg.sheet.fetch_interval, &cfg);
        assert!(fetch.should_fetch(&later, 3, 4));
        fetch.on_sheet_applied();
        assert!(fetch.should_fetch(&later, 4, 5));
    }
}
