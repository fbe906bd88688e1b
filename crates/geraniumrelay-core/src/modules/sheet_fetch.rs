//! When to ask a peer for a newer sheet.

use std::time::Instant;

use crate::context::Context;

/// Decides when a peer is asked, so that a change costs each VM about one exchange.
#[derive(Debug, Default)]
pub struct SheetFetch {
    first_offer_at: Option<Instant>,
    asked_at: Option<Instant>,
}

impl SheetFetch {
    /// Whether to ask now for the sheet that a peer has; counts as asked.
    ///
    /// A VM without a sheet first hears its peers out, so that it starts with their newest one.
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
        if !self.asked_at.is_none_or(is_due) {
            return false;
        }
        self.asked_at = Some(cx.now);
        true
    }

    /// Notes that a sheet came into force; a newer one may be asked for at once.
    pub fn on_sheet_applied(&mut self) {
        self.asked_at = None;
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::configs::Config;

    #[test]
    fn a_vm_without_a_sheet_hears_its_peers_out() {
        let cfg = Config::default();
        let start = Instant::now();
        let mut fetch = SheetFetch::default();
        assert!(!fetch.should_fetch(&Context::new(start, &cfg), 0, 5));
        let later = Context::new(start + cfg.sheet.initial_wait, &cfg);
        assert!(fetch.should_fetch(&later, 0, 7));
    }

    #[test]
    fn one_question_is_open_at_a_time() {
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
