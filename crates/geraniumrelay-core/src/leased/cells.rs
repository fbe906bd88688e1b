//! Cells: disjoint sets of workers, each with its own scheduler.
//!
//! Load pattern: more starts per second than one small VM can order. Few workers form one cell, so
//! that a job with many tasks can use all of them. Many workers are split by data centre, so that
//! orders stay inside it and a partition leaves whole cells on each side.

use std::collections::BTreeMap;
use std::hash::Hasher as _;
use std::sync::Arc;

use derive_more::{Display, Error};
use siphasher::sip::SipHasher13;

use super::names::{JobId, WorkerName};

/// Maximum number of workers for a single cell: about as many as a scheduler on a quarter of a core can
/// serve with tasks of 0.2 s.
const MAX_SINGLE_CELL_WORKERS: usize = 96;

/// Target number of workers of each cell in a deployment with several.
const CELL_WORKERS: usize = 72;

/// Load from which a job may go to another data centre's cell, in percent of the cell's capacity.
const FULL_LOAD_PERCENT: u32 = 100;

/// Minimum advantage in load of a cell in another data centre, in percentage points.
const REMOTE_MARGIN_PERCENT: u32 = 25;

/// Room that also a full cell counts as having: its load changes until the job arrives.
const MIN_ROOM_PERCENT: u32 = 4;

/// Name of a cell: `DATA_CENTRE/NUMBER`, or `all` for a single cell.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Display)]
pub struct CellName(pub Arc<str>);

impl CellName {
    /// Name of the only cell of a small deployment.
    pub fn single() -> Self {
        Self("all".into())
    }

    fn numbered(data_centre: &str, number: usize) -> Self {
        Self(format!("{data_centre}/{number}").into())
    }

    /// Data centre of the cell; `None` for the single cell.
    pub fn data_centre(&self) -> Option<&str> {
        self.0.rsplit_once('/').map(|(data_centre, _)| data_centre)
    }
}

/// A plan that can't be parsed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Error)]
#[display("a line of the plan is not a data centre and a number of cells")]
pub struct PlanError;

/// Number of cells of each data centre. A plan never changes, as all entry VMs must use the same one.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct CellPlan {
    /// Number of cells of each data centre; empty for a single cell.
    cells: BTreeMap<Arc<str>, usize>,
}

impl CellPlan {
    /// Plan for the given number of workers in each data centre; `None` if one cell is enough.
    pub fn for_workers(workers: &BTreeMap<Arc<str>, usize>) -> Option<Self> {
        if workers.values().sum::<usize>() <= MAX_SINGLE_CELL_WORKERS {
            return None;
        }
        let count = |(name, &workers): (&Arc<str>, &usize)| {
            (Arc::clone(name), workers.div_ceil(CELL_WORKERS).max(1))
        };
        let cells = workers.iter().map(count).collect();
        Some(Self { cells })
    }

    /// Parses a plan in the format of [`Self::text`].
    ///
    /// # Errors
    /// A line that is not a data centre and a positive number of cells.
    pub fn parse(text: &str) -> Result<Self, PlanError> {
        let mut cells = BTreeMap::new();
        for line in text.lines() {
            let (name, count) = line.rsplit_once(' ').ok_or(PlanError)?;
            let count: usize = count.parse().map_err(|_| PlanError)?;
            if count == 0 {
                return Err(PlanError);
            }
            cells.insert(name.into(), count);
        }
        Ok(Self { cells })
    }

    /// The plan as text: a line with name and number of cells for each data centre.
    pub fn text(&self) -> String {
        let lines = self.cells.iter().map(|(name, n)| format!("{name} {n}\n"));
        lines.collect()
    }

    /// Names of all cells.
    pub fn names(&self) -> Vec<CellName> {
        if self.cells.is_empty() {
            return vec![CellName::single()];
        }
        let numbered = |(name, &count): (&Arc<str>, &usize)| {
            let name = Arc::clone(name);
            (0..count).map(move |number| CellName::numbered(&name, number))
        };
        self.cells.iter().flat_map(numbered).collect()
    }

    /// Cell of a worker, by the hash of its name. A worker in a data centre without cells is assigned to
    /// one of all cells.
    pub fn cell_of(&self, worker: &WorkerName, data_centre: &str) -> CellName {
        let hash = hash_of(worker.0.as_bytes());
        if let Some(&count) = self.cells.get(data_centre) {
            return CellName::numbered(data_centre, hash % count);
        }
        let mut names = self.names();
        let number = hash % names.len();
        names.swap_remove(number)
    }
}

/// A cell that may receive a job.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Candidate {
    /// Name of the cell.
    pub name: CellName,
    /// Processor in use and requested by queued tasks, in percent of the cell's capacity.
    pub load: u32,
}

/// Chooses the cell for a job: one of `data_centre`, unless all of them are full and a cell of another
/// data centre has a clear advantage. `None` without candidates.
///
/// Load pattern: many entry VMs learn the loads with the same heartbeats, and until the next ones send
/// more jobs than the cell with the lowest load has room for. So the cells of a data centre are drawn
/// by lot, in proportion to their room.
pub fn choose(id: JobId, data_centre: &str, candidates: &[Candidate]) -> Option<CellName> {
    let is_local = |c: &&Candidate| c.name.data_centre() == Some(data_centre);
    let local = candidates.iter().filter(is_local);
    let remote = candidates.iter().filter(|c| !is_local(c));
    let least_local = local.clone().map(|c| c.load).min();
    let least_remote = remote.clone().map(|c| c.load).min();
    let goes_elsewhere = match (least_local, least_remote) {
        (Some(local), Some(remote)) => {
            local >= FULL_LOAD_PERCENT && remote.saturating_add(REMOTE_MARGIN_PERCENT) <= local
        }
        (local, _) => local.is_none(),
    };
    if goes_elsewhere {
        let is_least = |c: &&Candidate| Some(c.load) == least_remote;
        return draw(id, remote.filter(is_least));
    }
    draw(id, local)
}

/// Draws one of `candidates`, in proportion to their room: the smallest of exponentially distributed
/// values with these rates, which derive from the job and the cell.
fn draw<'a>(id: JobId, candidates: impl Iterator<Item = &'a Candidate>) -> Option<CellName> {
    let value = |candidate: &Candidate| {
        let mut bytes = id.0.to_le_bytes().to_vec();
        bytes.extend_from_slice(candidate.name.0.as_bytes());
        let room = FULL_LOAD_PERCENT.saturating_sub(candidate.load) + MIN_ROOM_PERCENT;
        -uniform(hash_of(&bytes)).ln() / f64::from(room)
    };
    let drawn = candidates.min_by(|a, b| value(a).total_cmp(&value(b)));
    drawn.map(|c| c.name.clone())
}

/// A number above 0 and up to 1, from the low 32 bits of a hash.
fn uniform(hash: usize) -> f64 {
    #[expect(clippy::cast_possible_truncation, reason = "the low bits are used")]
    let low = hash as u32;
    (f64::from(low) + 1.0) / (f64::from(u32::MAX) + 1.0)
}

/// SipHash-1-3 with a fixed key, so that all processes compute the same value.
pub fn hash_of(bytes: &[u8]) -> usize {
    let mut hasher = SipHasher13::new();
    hasher.write(bytes);
    usize::try_from(hasher.finish() >> 1).unwrap_or(usize::MAX)
}
