//! Cells: disjoint sets of workers, each with its own schedulers.

use std::collections::BTreeSet;
use std::time::Duration;

use geraniumrelay_core::leased::cells::CellName;

use super::Simulation;
use crate::worker::FakeWorker;

impl Simulation {
    /// Creates a simulation of `cells` cells, each with one scheduler and `workers` workers of 64 cores, which are
    /// numbered through, and of `entries` entry VMs.
    pub(crate) fn with_cells((cells, workers): (usize, usize), entries: usize, seed: u64) -> Self {
        let mut sim = Self::without_hosts(cells * workers, seed);
        let cell_of = |worker| (worker, worker / workers);
        sim.worker_cells = (0..cells * workers).map(cell_of).collect();
        for _ in 0..entries {
            sim.add_entry_vm();
        }
        for cell in 0..cells {
            sim.add_cell_host((cell, 1), &BTreeSet::new(), true);
        }
        sim.run_for(Duration::from_millis(20));
        sim
    }

    /// Adds an idle worker to a cell, and announces it to the schedulers there.
    pub(crate) fn add_worker(&mut self, cell: usize) {
        let worker = self.workers.len();
        let mut added = FakeWorker::new(self.now, 64_000);
        added.instance_started_unix_ms = self.workers[0].instance_started_unix_ms;
        self.workers.push(added);
        self.worker_cells.insert(worker, cell);
        for host in self.hosts_of(cell) {
            self.announce_worker(host, worker);
        }
    }

    pub(crate) fn cell_of(&self, worker: usize) -> usize {
        self.worker_cells.get(&worker).copied().unwrap_or(0)
    }

    pub(super) fn cell_name(&self, cell: usize) -> CellName {
        if self.worker_cells.is_empty() {
            CellName::single()
        } else {
            CellName(format!("a/{cell}").into())
        }
    }

    /// Schedulers of a cell, also those that have ended.
    pub(crate) fn hosts_of(&self, cell: usize) -> Vec<usize> {
        let of_cell = |&host: &usize| self.hosts[host].cell == cell;
        (0..self.hosts.len()).filter(of_cell).collect()
    }

    /// Workers on which a task of a job is running.
    pub(crate) fn workers_running(&self, id: u64) -> BTreeSet<usize> {
        let has_run = |&worker: &usize| {
            let mut running = self.workers[worker].running();
            running.any(|(task, _)| task.job.0 == id)
        };
        (0..self.workers.len()).filter(has_run).collect()
    }
}
