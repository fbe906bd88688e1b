//! Cells: sets of workers with a scheduler each.
//!
//! Load pattern: more starts a second than one small VM can order. Few workers make one cell, so
//! that a wide job finds room in all of them; many are split by data centre, so that orders stay
//! inside it and a partition leaves whole cells on each side.

use std::collections::BTreeMap;
use std::hash::Hasher as _;
use std::sync::Arc;

use derive_more::{Display, Error};
use siphasher::sip::SipHasher13;

use super::names::{JobId, WorkerName};

/// Most workers of a deployment that make one cell: about what a scheduler on a quarter of a core
/// can serve with tasks of 0.2 s.
const MAX_SINGLE: usize = 96;

/// Workers of a cell where there are several.
const CELL_WORKERS: usize = 72;

/// Load over which jobs go to another data centre's cell, in percent of the cell's room.
const FULL_PERCENT: u32 = 100;

/// How much less loaded a cell of another data centre has to be, in percent of its room.
const REMOTE_MARGIN: u32 = 25;

/// Name of a cell.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Display)]
pub struct CellName(pub Arc<str>);

impl CellName {
    /// The only cell of a small deployment.
    pub fn single() -> Self {
        Self("all".into())
    }

    fn numbered(data_centre: &str, number: usize) -> Self {
        Self(format!("{data_centre}/{number}").into())
    }

    /// Its data centre, where it belongs to one.
    pub fn data_centre(&self) -> Option<&str> {
        self.0.rsplit_once('/').map(|(data_centre, _)| data_centre)
    }
}

/// A plan that can't be read.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Error)]
#[display("a line of the plan is not a data centre and a number of cells")]
pub struct PlanError;

/// How the workers are split. Once made it stays, as all entry VMs must go by the same one.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct CellPlan {
    /// Cells of each data centre; none for a single cell.
    cells: BTreeMap<Arc<str>, usize>,
}

impl CellPlan {
    /// The plan for a number of workers in each data centre; `None` where one cell is enough.
    pub fn for_workers(workers: &BTreeMap<Arc<str>, usize>) -> Option<Self> {
        if workers.values().sum::<usize>() <= MAX_SINGLE {
            return None;
        }
        let count = |(name, &workers): (&Arc<str>, &usize)| {
            (Arc::clone(name), workers.div_ceil(CELL_WORKERS).max(1))
        };
        let cells = workers.iter().map(count).collect();
        Some(Self { cells })
    }

    /// Reads a plan that [`Self::text`] wrote.
    ///
    /// # Errors
    /// Text that is no plan.
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

    /// The plan as text, one data centre a line.
    pub fn text(&self) -> String {
        let lines = self.cells.iter().map(|(name, n)| format!("{name} {n}\n"));
        lines.collect()
    }

    /// All cells.
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

    /// The cell of a worker.
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

/// A cell that a job may go to.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Candidate {
    /// Its name.
    pub name: CellName,
    /// Processor in use and waited for, in percent of its room.
    pub load: u32,
}

/// The cell that a job goes to: the least loaded of the own data centre, unless it is full and
/// another one is not.
pub fn choose(id: JobId, data_centre: &str, candidates: &[Candidate]) -> Option<CellName> {
    let least = |is_own: bool| {
        candidates
            .iter()
            .filter(|c| (c.name.data_centre() == Some(data_centre)) == is_own)
            .min_by_key(|c| {
                (
                    c.load,
                    hash_of(c.name.0.as_bytes()) ^ hash_of(&id.0.to_le_bytes()),
                )
            })
    };
    match (least(true), least(false)) {
        (Some(own), Some(other))
            if own.load >= FULL_PERCENT && other.load + REMOTE_MARGIN <= own.load =>
        {
            Some(other.name.clone())
        }
        (Some(own), _) => Some(own.name.clone()),
        (None, other) => other.map(|c| c.name.clone()),
    }
}

/// A hash that is the same in all processes.
pub fn hash_of(bytes: &[u8]) -> usize {
    let mut hasher = SipHasher13::new();
    hasher.write(bytes);
    usize::try_from(hasher.finish() >> 1).unwrap_or(usize::MAX)
}
