//! A cell, as this process sees it.

use std::sync::Arc;
use std::time::{Duration, Instant};

use geraniumrelay_core::collections::Map;
use geraniumrelay_core::leased::cells::CellName;
use geraniumrelay_core::leased::election::{Election, ElectionConfig, Transition};
use geraniumrelay_core::leased::estimates::Estimates;
use geraniumrelay_core::leased::{EntryVm, FencingToken, Scheduler};
use geraniumrelay_wire::leased::{CellBeat, QueueCount};

use super::convert;

/// Time after which the holder of a cell is taken for gone; longer than a takeover.
const HOLDER_SILENCE: Duration = Duration::from_secs(1);

/// Time for which a count of waiting jobs holds; the platform takes one that is 2 s old.
const PENDING_TTL: Duration = Duration::from_millis(1_500);

/// A cell.
#[derive(Debug)]
pub(super) struct Cell {
    pub(super) name: CellName,
    pub(super) election: Election,
    /// The cell's scheduler, where it is this process.
    pub(super) scheduler: Option<Scheduler>,
    /// Run times learnt while this process scheduled.
    pub(super) estimates: Estimates,
    /// The scheduler that has claimed the cell in the store, where it is not the one here, and since
    /// when that is known.
    pub(super) epoch_lost: Option<(FencingToken, Instant)>,
    /// Load of the cell, as its scheduler told, in percent of its room.
    pub(super) load: u32,
    /// Waiting jobs of each queue, as the scheduler told, and when; absent where it does not know them.
    pending: Option<(Map<Arc<str>, u32>, Instant)>,
}

impl Cell {
    pub(super) fn new(name: CellName, vm: EntryVm, now: Instant) -> Self {
        Self {
            name,
            election: Election::new(ElectionConfig::default(), vm, now),
            scheduler: None,
            estimates: Estimates::default(),
            epoch_lost: None,
            load: 0,
            pending: None,
        }
    }

    /// What is said of the cell to the other entry VMs.
    pub(super) fn beat(&mut self, successor: Option<EntryVm>) -> CellBeat {
        let own = self.election.own_heartbeat(successor);
        let mut counts = Vec::new();
        let mut knows_jobs = false;
        if let Some(scheduler) = &self.scheduler {
            self.load = scheduler.load_percent();
            knows_jobs = scheduler.knows_jobs();
            let count = |(queue, pending): (Arc<str>, u32)| QueueCount {
                queue: queue.to_string(),
                pending,
            };
            counts = scheduler.pending().into_iter().map(count).collect();
        }
        convert::cell_heartbeat_to_wire(&self.name, &own, self.load, (knows_jobs, counts))
    }

    /// Takes what the cell's scheduler said.
    pub(super) fn take_figures(&mut self, beat: &CellBeat, now: Instant) {
        self.load = beat.load_percent;
        let count = |c: &QueueCount| (c.queue.as_str().into(), c.pending);
        let counts = beat.pending.iter().map(count).collect();
        self.pending = beat.knows_jobs.then_some((counts, now));
    }

    /// Jobs of a queue none of whose tasks has started; `None` where that is not known at present.
    pub(super) fn pending_of(&self, queue: &str, now: Instant) -> Option<u32> {
        if let Some(scheduler) = &self.scheduler {
            let pending = scheduler.pending();
            let pending = pending.get(queue).copied().unwrap_or(0);
            return scheduler.knows_jobs().then_some(pending);
        }
        let (pending, told) = self.pending.as_ref()?;
        let is_fresh = now.saturating_duration_since(*told) < PENDING_TTL;
        is_fresh.then(|| pending.get(queue).copied().unwrap_or(0))
    }

    /// Gives up, so as to take over with a higher token, where nobody has heard for a while of the
    /// scheduler that has claimed the cell: its kept jobs would stand still.
    pub(super) fn outrank_holder(&mut self, now: Instant) -> Option<Transition> {
        let (holder, since) = self.epoch_lost?;
        let is_silent = now.saturating_duration_since(since) >= HOLDER_SILENCE;
        if !is_silent || self.election.is_announced(holder) {
            return None;
        }
        self.epoch_lost = None;
        Some(self.election.outrank(holder, now))
    }

    /// Stops scheduling.
    pub(super) fn drop_scheduler(&mut self) {
        if let Some(scheduler) = self.scheduler.take() {
            self.estimates = scheduler.estimates().clone();
        }
    }
}
