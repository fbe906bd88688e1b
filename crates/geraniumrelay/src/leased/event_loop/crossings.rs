//! Jobs that leave the data centre of this VM: counted, and logged with the loads that decided.

use std::time::{Duration, Instant};

use geraniumrelay_core::leased::cell_choice::{Candidate, Request};
use geraniumrelay_core::leased::cells::CellName;
use log::info;

use super::EventLoop;
use crate::leased::crossing_reason::CrossingReason;
use crate::leased::pending_jobs::UnsentJob;

/// Minimum interval between two lines on crossings: a data centre with too little capacity sends hundreds of jobs
/// a second elsewhere.
const LINE_INTERVAL: Duration = Duration::from_millis(500);

/// Limits the lines on crossings.
#[derive(Debug, Default)]
pub(super) struct Crossings {
    next_line: Option<Instant>,
    /// Crossings since the last line.
    not_logged: u64,
}

impl Crossings {
    /// Counts a crossing. Returns the number of those before it without a line of their own if it is to be logged.
    pub(super) fn add(&mut self, now: Instant) -> Option<u64> {
        if self.next_line.is_some_and(|at| now < at) {
            self.not_logged += 1;
            return None;
        }
        self.next_line = Some(now + LINE_INTERVAL);
        Some(std::mem::take(&mut self.not_logged))
    }
}

/// Why a job goes to `cell`; `None` if that is in the entry VM's data centre, or in none.
pub(super) fn crossing_reason(
    req: &Request<'_>,
    unsent: &UnsentJob,
    cell: &CellName,
    candidates: &[Candidate],
) -> Option<CrossingReason> {
    let data_centre = cell.data_centre()?;
    if data_centre == req.data_centre {
        return None;
    }
    let is_near = |c: &Candidate| {
        let near = c.name.data_centre();
        c.load != u32::MAX && (near == Some(req.data_centre) || near == req.data)
    };
    Some(if Some(data_centre) == req.data {
        CrossingReason::Data
    } else if unsent.is_refused {
        CrossingReason::Refused
    } else if !unsent.declined_by.is_empty() {
        CrossingReason::Declined
    } else if candidates.iter().any(is_near) {
        CrossingReason::Excess
    } else {
        CrossingReason::NoNearCell
    })
}

impl EventLoop {
    /// Counts and logs a job that is sent to another data centre.
    pub(super) fn on_crossing(
        &mut self,
        req: &Request<'_>,
        (cell, reason): (&CellName, CrossingReason),
        candidates: &[Candidate],
    ) {
        self.components.metrics.count_crossing(reason);
        let Some(not_logged) = self.crossings.add(Instant::now()) else {
            return;
        };
        let load = |c: &Candidate| format!("{}:{}", c.name, c.load);
        let near = candidates.iter();
        let near = near.filter(|c| c.name.data_centre() == Some(req.data_centre));
        let near = near.map(load).collect::<Vec<_>>().join(",");
        let chosen = candidates.iter().find(|c| c.name == *cell);
        let load = chosen.map_or(0, |c| c.load);
        info!(id:% = req.id, to:% = cell, reason:% = reason, load, own_loads = near.as_str(), not_logged; "job_leaves_data_centre");
    }
}
