//! When to ask a peer for the list of targets.

use std::time::Instant;

use crate::context::Context;

/// Decides when a VM that started while the platform is away asks a peer for the targets of the
/// data centre. The platform's own list ends that for good.
#[derive(Debug, Default)]
pub struct TargetFetch {
    has_list: bool,
    asked_at: Option<Instant>,
}

impl TargetFetch {
    /// Whether the platform's list, and no peer's, says which targets there are.
    pub fn has_list(&self) -> bool {
        self.has_list
    }

    /// Notes the platform's list.
    pub fn on_platform_list(&mut self) {
        self.has_list = true;
    }

    /// Whether to ask a peer now; counts as asked.
    pub fn should_fetch(&mut self, cx: &Context<'_>) -> bool {
        let is_due = |at: Instant| cx.now >= at + cx.cfg.sheet.fetch_interval;
        if self.has_list || !self.asked_at.is_none_or(is_due) {
            return false;
        }
        self.asked_at = Some(cx.now);
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
