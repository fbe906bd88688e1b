//! Claim of the cell in the store. Tasks of durable jobs start and go on only while it is
//! confirmed.

use std::time::Instant;

use super::Scheduler;
use crate::context::Context;
use crate::leased::effect::{Effect, JobOutcome};
use crate::leased::epoch::{Epoch, EpochReply};
use crate::leased::job::JobKey;
use crate::leased::log_event::StopCause;
use crate::leased::names::TaskName;
use crate::leased::worker::{RunState, WorkerKey};

impl Scheduler {
    /// Starts to claim the cell, as there may be durable jobs. Their records are read after the
    /// claim succeeds: from then on no other scheduler changes them.
    pub(super) fn begin_epoch(&mut self) {
        if self.epoch.is_none() {
            self.epoch = Some(Epoch::default());
            self.knows_records = false;
        }
    }

    pub(super) fn is_epoch_lost(&self) -> bool {
        self.epoch.as_ref().is_some_and(Epoch::is_lost)
    }

    /// Whether tasks of durable jobs may start and go on.
    pub(super) fn is_epoch_confirmed(&self, cx: &Context<'_>) -> bool {
        let epoch = self.epoch.as_ref();
        epoch.is_some_and(|e| e.is_confirmed(cx.now, &cx.cfg.leased))
    }

    /// Whether nothing can be stored now: the epoch is lost, or the store did not answer the last
    /// call.
    pub(super) fn is_store_unavailable(&self) -> bool {
        let epoch = self.epoch.as_ref();
        epoch.is_some_and(|e| e.is_lost() || e.is_store_unresponsive())
    }

    pub(super) fn epoch_replied(
        &mut self,
        cx: &Context<'_>,
        sent: Instant,
        reply: EpochReply,
        out: &mut Vec<Effect>,
    ) {
        let Some(epoch) = &mut self.epoch else {
            return;
        };
        if epoch.is_of_former_token(sent) {
            return;
        }
        match reply {
            EpochReply::Held { version } => {
                if !epoch.hold(version, sent) {
                    return;
                }
                if !self.knows_records {
                    out.push(Effect::ReadRecords);
                }
                let keys: Vec<JobKey> = self.jobs.keys().collect();
                for key in keys {
                    self.send_record(cx, key, out);
                }
                self.has_new_room = true;
            }
            EpochReply::HeldByOther { token } => {
                if !epoch.is_lost() {
                    self.lose_epoch(cx, out);
                    out.push(Effect::EpochLost { token });
                }
            }
            EpochReply::Unanswered => epoch.store_unanswered(),
        }
    }

    /// Extends the confirmation of the epoch: all other entry VMs followed this scheduler at
    /// `since` or later.
    pub(super) fn confirm_epoch(&mut self, since: Instant) {
        if let Some(epoch) = &mut self.epoch {
            epoch.followed(since);
        }
    }

    /// Leaves all durable jobs to the scheduler that has claimed the cell: stops their runs, and
    /// does not acknowledge ends that are not stored.
    fn lose_epoch(&mut self, cx: &Context<'_>, out: &mut Vec<Effect>) {
        if let Some(epoch) = &mut self.epoch {
            epoch.lose();
        }
        self.knows_records = false;
        let jobs = self.jobs.iter().filter(|(_, j)| j.record_sync.is_some());
        let keys: Vec<JobKey> = jobs.map(|(key, _)| key).collect();
        for key in keys {
            self.finish(cx, key, JobOutcome::TimedOut, out);
        }
    }

    /// Sends the claim to the store when this is due, and stops runs of durable jobs while the claim
    /// is unconfirmed.
    pub(super) fn tick_epoch(&mut self, cx: &Context<'_>, out: &mut Vec<Effect>) {
        let Some(epoch) = &mut self.epoch else {
            return;
        };
        let has_durable_jobs = self.jobs.values().any(|j| j.record_sync.is_some());
        if epoch.mark_claim_sent_if_due(cx.now, has_durable_jobs, &cx.cfg.leased) {
            out.push(Effect::ClaimEpoch);
        }
        if has_durable_jobs && !self.is_epoch_confirmed(cx) {
            self.stop_durable_runs(cx, out);
        }
    }

    fn stop_durable_runs(&mut self, cx: &Context<'_>, out: &mut Vec<Effect>) {
        let mut due: Vec<(WorkerKey, TaskName, u32)> = Vec::new();
        for (key, worker) in &self.workers {
            let runs = worker.runs.iter().filter(|r| r.is_durable);
            let runs = runs.filter(|r| r.state != RunState::Stopping);
            due.extend(runs.map(|r| (key, r.name, r.run)));
        }
        for (key, name, run) in due {
            self.stop_with_cause(cx, key, (name, run), StopCause::EpochUnconfirmed, out);
        }
    }
}
