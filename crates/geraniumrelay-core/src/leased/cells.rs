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

use super::names::WorkerName;

/// Maximum number of workers for a single cell: about as many as a scheduler on a quarter of a core can
/// serve with tasks of 0.2 s.
const MAX_SINGLE_CELL_WORKERS: usize = 96;

/// Target number of workers of each cell in a deployment with several.
const CELL_WORKERS: usize = 72;

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

/// SipHash-1-3 with a fixed key, so that all processes compute the same value.
pub fn hash_of(bytes: &[u8]) -> usize {
    let mut hasher = SipHasher13::new();
    hasher.write(bytes);
    usize::try_from(hasher.finish() >> 1).unwrap_or(usize::MAX)
}
