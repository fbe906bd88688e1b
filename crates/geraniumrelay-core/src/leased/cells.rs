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

/// Chooses the cell for a job: the least loaded one of `data_centre`, unless it is full and the least
/// loaded one of another data centre has a clear advantage. `None` without candidates.
pub fn choose(id: JobId, data_centre: &str, candidates: &[Candidate]) -> Option<CellName> {
    let least_loaded = |is_local: bool| {
        candidates
            .iter()
            .filter(|c| (c.name.data_centre() == Some(data_centre)) == is_local)
            .min_by_key(|c| {
                (
                    c.load,
                    hash_of(c.name.0.as_bytes()) ^ hash_of(&id.0.to_le_bytes()),
                )
            })
    };
    match (least_loaded(true), least_loaded(false)) {
        (Some(local), Some(remote))
            if local.load >= FULL_LOAD_PERCENT
                && remote.load + REMOTE_MARGIN_PERCENT <= local.load =>
        {
            Some(remote.name.clone())
        }
        (Some(local), _) => Some(local.name.clone()),
        (None, remote) => remote.map(|c| c.name.clone()),
    }
}

/// SipHash-1-3 with a fixed key, so that all processes compute the same value.
pub fn hash_of(bytes: &[u8]) -> usize {
    let mut hasher = SipHasher13::new();
    hasher.write(bytes);
    usize::try_from(hasher.finish() >> 1).unwrap_or(usize::MAX)
}
