//! Evacuations of data centres: from the platform's store or from peers, to the schedulers and entry decisions here.

use std::sync::Arc;
use std::time::{Duration, Instant};

use geraniumrelay_adapter::Change;
use geraniumrelay_adapter::store::evacuation;
use geraniumrelay_core::Context;
use geraniumrelay_core::leased::cells::CellName;
use geraniumrelay_core::leased::evacuation::{EvacuationChange, EvacuationRow};
use geraniumrelay_core::leased::{Command, EntryVm, JobId, JobOutcome, RefusalReason};
use geraniumrelay_wire::leased::{Beat, Evacuation};
use log::{info, warn};

use super::EventLoop;
use crate::leased::cell::Cell;

/// Minimum retry delay while all data centres are evacuated: an operator's request lasts for seconds at least.
const MIN_RETRY_AFTER_S: u64 = 5;

/// Number of seconds over which the callers' returns are spread.
const RETRY_SPREAD_S: u64 = 5;

/// Time without an open cell after which this VM reports that it is not ready; longer than the first polls of a
/// new scheduler.
const NO_OPEN_CELL_TIMEOUT: Duration = Duration::from_millis(300);

impl EventLoop {
    /// Applies rows of the operators' table: all of them, or those changed up to `revision`.
    pub(super) fn apply_evacuation_rows(
        &mut self,
        is_snapshot: bool,
        rows: &[Change],
        revision: u64,
    ) {
        let rows: Vec<EvacuationRow> = rows.iter().filter_map(evacuation).collect();
        let cx = Context::new(Instant::now(), &self.components.cfg);
        let changes = self
            .evacuations
            .apply_rows(&cx, is_snapshot, &rows, revision);
        self.on_evacuation_changes(&changes, "store");
    }

    /// Takes over the evacuations that a peer knows as of a newer revision of the store.
    pub(super) fn on_peer_evacuations(&mut self, from: EntryVm, heartbeat: &Beat) {
        let age = |e: &Evacuation| {
            let age = Duration::from_millis(e.age_ms.into());
            (Arc::from(e.data_centre.as_str()), age)
        };
        let ages: Vec<_> = heartbeat.evacuated.iter().map(age).collect();
        let cx = Context::new(Instant::now(), &self.components.cfg);
        let revision = heartbeat.evacuation_revision;
        let changes = self.evacuations.merge(&cx, revision, &ages);
        if !changes.is_empty() {
            self.on_evacuation_changes(&changes, &from.to_string());
        }
    }

    /// The known evacuations as sent with heartbeats.
    pub(super) fn evacuations_to_wire(&self, now: Instant) -> (u64, Vec<Evacuation>) {
        let evacuated = self.evacuations.evacuated().iter();
        let evacuated = evacuated.map(|(name, &since)| {
            let age = now.saturating_duration_since(since).as_millis();
            Evacuation {
                data_centre: name.to_string(),
                age_ms: u32::try_from(age).unwrap_or(u32::MAX),
            }
        });
        (self.evacuations.revision(), evacuated.collect())
    }

    fn on_evacuation_changes(&mut self, changes: &[EvacuationChange], source: &str) {
        if changes.is_empty() {
            return;
        }
        for change in changes {
            let name = &*change.data_centre;
            let event = if change.is_requested {
                "evacuation_requested"
            } else {
                "evacuation_withdrawn"
            };
            let (revision, known_ms) = (self.evacuations.revision(), change.age.as_millis());
            info!(data_centre = name, source, revision, known_ms; "{event}");
            let knows_workers = self.directory.worker_count() > 0;
            if change.is_requested && knows_workers && !self.directory.has_workers_in(name) {
                warn!(data_centre = name; "evacuation_without_workers");
            }
        }
        let evacuated = self.evacuations.evacuated().len();
        self.components.metrics.set_evacuated(evacuated);
        for name in self.cell_names() {
            let evacuated = self.evacuations.evacuated().clone();
            self.handle_command(&name, Command::Evacuated(evacuated));
        }
        // Peers without the store learn of it with the next heartbeat.
        self.next_heartbeat = Instant::now();
    }

    /// Whether all workers of a cell are in an evacuated data centre.
    pub(super) fn is_evacuated(&self, cell: &Cell) -> bool {
        let data_centre = cell.name.data_centre();
        data_centre.is_some_and(|name| self.evacuations.contains(name))
    }

    /// Whether an evacuation has left no cell with workers in reach for some time. Load pattern: a data centre is cut off
    /// while it is evacuated, so that its callers can only be served through entry VMs elsewhere.
    pub(super) fn has_no_open_cell(&mut self, now: Instant) -> bool {
        let is_open = |cell: &Cell| {
            let has_workers = cell.load(now) != u32::MAX;
            cell.election.current().is_some() && has_workers && !self.is_evacuated(cell)
        };
        // Where all data centres are evacuated, callers get their refusals here.
        let is_all_evacuated = self.cells.values().all(|cell| self.is_evacuated(cell));
        let has_evacuations = !self.evacuations.evacuated().is_empty();
        if !has_evacuations || is_all_evacuated || self.cells.values().any(is_open) {
            self.no_open_cell_since = None;
            return false;
        }
        let since = *self.no_open_cell_since.get_or_insert(now);
        now.saturating_duration_since(since) >= NO_OPEN_CELL_TIMEOUT
    }

    /// Refuses a job that no scheduler has, if all cells are evacuated.
    pub(super) fn refuse_evacuated(&mut self, id: JobId) {
        let is_shut_out = self.cells.values().all(|cell| self.is_evacuated(cell));
        if !self.cells.is_empty() && is_shut_out {
            let outcome = JobOutcome::Refused {
                reason: RefusalReason::Evacuated,
                retry_after: retry_after(id),
            };
            self.answer(id, outcome);
        }
    }

    /// Sends a job to another data centre that a cell has refused because of an evacuation; answers it if
    /// there is no other cell.
    pub(super) fn on_refused_by_evacuation(&mut self, id: JobId, cell: &CellName) {
        let retry_after = retry_after(id);
        let refusal = JobOutcome::Refused {
            reason: RefusalReason::Evacuated,
            retry_after,
        };
        if self.pending_jobs.leave_evacuated_cell(id) {
            info!(id:% = id, cell:% = cell; "job_leaves_evacuated_cell");
            self.send_refused_job(id, refusal);
        } else {
            self.answer(id, refusal);
        }
    }
}

/// Retry delay of a job, spread by its id so that callers do not all return at the same moment.
fn retry_after(id: JobId) -> Duration {
    Duration::from_secs(MIN_RETRY_AFTER_S + id.0 % (RETRY_SPREAD_S + 1))
}
