//! Runs that end together with their worker, and why it was silent.

use super::Scheduler;
use crate::context::Context;
use crate::leased::effect::Effect;
use crate::leased::log_event::{EndEvidence, LogEvent, SilenceCause};
use crate::leased::report::EndKind;
use crate::leased::worker::{Run, WorkerKey, WorkerState};

impl Scheduler {
    /// Ends runs that were lost with their worker.
    pub(super) fn end_lost_runs(
        &mut self,
        cx: &Context<'_>,
        key: WorkerKey,
        runs: &[Run],
        evidence: EndEvidence,
        out: &mut Vec<Effect>,
    ) {
        self.log_lost_runs(key, runs, evidence, out);
        for run in runs {
            self.end_unreported_run(cx, key, run, (EndKind::Lapsed, evidence), out);
        }
    }

    pub(super) fn log_lost_runs(
        &mut self,
        key: WorkerKey,
        runs: &[Run],
        evidence: EndEvidence,
        out: &mut Vec<Effect>,
    ) {
        let worker = &self.workers[key];
        if !runs.is_empty() || !worker.unclaimed_runs.is_empty() {
            out.push(Effect::LogEvent(LogEvent::RunsLost {
                worker: worker.entry.name.clone(),
                evidence,
                runs: runs.iter().map(|r| (r.name, r.run)).collect(),
                unclaimed: worker.unclaimed_runs.len(),
            }));
        }
    }

    /// Takes note of why a worker was silent that lost runs before.
    pub(super) fn explain_silence(
        &mut self,
        key: WorkerKey,
        cause: SilenceCause,
        out: &mut Vec<Effect>,
    ) {
        let worker = &mut self.workers[key];
        if worker.lost_runs.is_empty() {
            return;
        }
        let runs = std::mem::take(&mut worker.lost_runs);
        out.push(Effect::LogEvent(LogEvent::SilenceExplained {
            worker: worker.entry.name.clone(),
            cause,
            runs,
        }));
    }

    /// Why a silent worker is gone whose entry was removed.
    pub(super) fn removal_cause(&self, key: WorkerKey) -> SilenceCause {
        match self.workers[key].entry.state {
            WorkerState::Ready => SilenceCause::EntryRemoved,
            WorkerState::Draining => SilenceCause::Left,
        }
    }
}
