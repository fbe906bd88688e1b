//! Timing of requests to peers for the list of targets.

use std::time::Instant;

use crate::context::Context;

/// Rate limit of target requests by a VM that started while the platform is unavailable.
///
/// The first list from the platform ends these requests permanently.
#[derive(Debug, Default)]
pub struct TargetFetch {
    has_list: bool,
    requested_at: Option<Instant>,
}

impl TargetFetch {
    /// Whether the targets come from the platform's list, not from a peer.
    pub fn has_list(&self) -> bool {
        self.has_list
    }

    /// Stops requests to peers, as the platform's list has arrived.
    pub fn on_platform_list(&mut self) {
        self.has_list = true;
    }

    /// Whether to request the targets from a peer now; records the request as sent.
    pub fn should_fetch(&mut self, cx: &Context<'_>) -> bool {
        let is_due = |at: Instant| cx.now >= at + cx.cfg.sheet.fetch_interval;
        if self.has_list || !self.requested_at.is_none_or(is_due) {
            return false;
        }
        self.requested_at = Some(cx.now);
        true
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::configs::Config;

    #[test]
    fn peers_are_asked_until_the_platform_answers() {
        let cfg = Config::default();
        let start = Instant::now();
        let mut fetch = TargetFetch::default();
        assert!(fetch.should_fetch(&Context::new(start, &cfg)));
        assert!(!fetch.should_fetch(&Context::new(start, &cfg)));
        let later = Context::new(start + cfg.sheet.fetch_interval, &cfg);
        assert!(fetch.should_fetch(&later));
        fetch.on_platform_list();
        let last = Context::new(later.now + cfg.sheet.fetch_interval, &cfg);
        assert!(!fetch.should_fetch(&last));
    }
}
