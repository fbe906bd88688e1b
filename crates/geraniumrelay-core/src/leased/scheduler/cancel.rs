//! Cancellations, also of jobs whose submissions arrive later.

use std::collections::{BTreeSet, VecDeque};
use std::time::Instant;

use super::Scheduler;
use crate::context::Context;
use crate::leased::effect::{Effect, JobOutcome};
use crate::leased::names::JobId;
use crate::leased::record::RecordState;

/// Maximum number of remembered cancellations; beyond it the oldest are forgotten, as callers choose the ids.
const MAX_CANCELLATIONS: usize = 16_384;

/// Jobs that callers have cancelled lately.
#[derive(Debug, Default)]
pub(super) struct Cancellations {
    ids: BTreeSet<JobId>,
    /// The same, oldest first.
    ages: VecDeque<(Instant, JobId)>,
}

impl Cancellations {
    fn add(&mut self, id: JobId, now: Instant) {
        if !self.ids.insert(id) {
            return;
        }
        self.ages.push_back((now, id));
        if self.ages.len() > MAX_CANCELLATIONS {
            self.remove_oldest();
        }
    }

    fn remove_oldest(&mut self) {
        if let Some((_, id)) = self.ages.pop_front() {
            self.ids.remove(&id);
        }
    }
}

impl Scheduler {
    /// Cancels a job; a durable one ends once the cancellation is stored. A copy that is submitted later is cancelled
    /// as well: it may be on its way from another entry VM.
    pub(super) fn cancel(&mut self, cx: &Context<'_>, id: JobId, out: &mut Vec<Effect>) {
        self.cancellations.add(id, cx.now);
        if let Some(&key) = self.by_id.get(&id)
            && !self.record_changed(cx, key, RecordState::Cancelled, out)
        {
            self.finish(cx, key, JobOutcome::Cancelled, out);
        }
    }

    /// Whether a caller has cancelled the job within `outcome_ttl`.
    pub(super) fn is_cancelled(&self, id: JobId) -> bool {
        self.cancellations.ids.contains(&id)
    }

    pub(super) fn expire_cancellations(&mut self, cx: &Context<'_>) {
        let ttl = cx.cfg.leased.outcome_ttl;
        while let Some(&(at, _)) = self.cancellations.ages.front()
            && cx.now.saturating_duration_since(at) >= ttl
        {
            self.cancellations.remove_oldest();
        }
    }

    /// Whether a job that has not ended here is durable; `None` for an unknown job.
    pub fn is_durable(&self, id: JobId) -> Option<bool> {
        let key = self.by_id.get(&id)?;
        Some(self.jobs[*key].record_sync.is_some())
    }
}
