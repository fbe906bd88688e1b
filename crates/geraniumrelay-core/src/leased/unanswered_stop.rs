//! Time for which the orders to stop a run have got no answer.

use std::time::{Duration, Instant};

/// Time without an answer from which an order that is sent again is reported.
const REPORT_AFTER: Duration = Duration::from_millis(150);

/// Minimum interval between two reports on one run.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);

/// Since when the orders to stop a run have got no answer; none is under way by default.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct UnansweredStop {
    since: Option<Instant>,
    reported_at: Option<Instant>,
}

impl UnansweredStop {
    /// Records that an order is sent. Returns the time since the first one without an answer if it is to
    /// be reported.
    pub(super) fn sent(&mut self, now: Instant) -> Option<Duration> {
        let unanswered = now.saturating_duration_since(*self.since.get_or_insert(now));
        let is_recent = |at| now.saturating_duration_since(at) < REPORT_INTERVAL;
        if unanswered < REPORT_AFTER || self.reported_at.is_some_and(is_recent) {
            return None;
        }
        self.reported_at = Some(now);
        Some(unanswered)
    }

    /// Records that the worker has answered.
    pub(super) fn answered(&mut self) {
        self.since = None;
    }
}
