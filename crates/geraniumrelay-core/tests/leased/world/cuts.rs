//! Workers whose entries are removed although they are up: they are cut off from the store.

use std::time::Duration;

use geraniumrelay_core::leased::Command;

use super::{Simulation, worker_name};
use crate::worker::FakeWorker;

/// Time between two reads of the workers' entries by a scheduler.
const LIST_INTERVAL: Duration = Duration::from_millis(250);

impl Simulation {
    /// Removes the entries of workers that are up. Schedulers learn it unless they can't reach the store.
    pub(crate) fn unlist_workers(&mut self, workers: &[usize]) {
        for &worker in workers {
            self.log(&format!("worker {worker} is not listed any more"));
            self.removed_entries.insert(worker);
            self.unlisted_workers.insert(worker, self.now);
            for host in self.hosts_with_store(worker) {
                self.handle_command(host, Command::WorkerGone(worker_name(worker)));
            }
        }
    }

    /// Restores the entries of workers.
    pub(crate) fn list_workers(&mut self, workers: &[usize]) {
        for &worker in workers {
            self.log(&format!("worker {worker} is listed again"));
            self.removed_entries.remove(&worker);
            self.unlisted_workers.remove(&worker);
            for host in self.hosts_with_store(worker) {
                self.announce_worker(host, worker);
            }
        }
    }

    /// Adds an idle worker that schedulers learn of unless they can't reach the store.
    pub(crate) fn add_worker_in_cut(&mut self) -> usize {
        let worker = self.workers.len();
        let mut added = FakeWorker::new(self.now, 64_000);
        added.instance_started_unix_ms = self.workers[0].instance_started_unix_ms;
        self.workers.push(added);
        for host in self.hosts_with_store(worker) {
            self.announce_worker(host, worker);
        }
        worker
    }

    /// Lets a scheduler that reaches the store know that it has all entries, from time to time.
    pub(super) fn read_list(&mut self, host: usize) {
        if self.now < self.hosts[host].next_list || self.is_store_unavailable(host) {
            return;
        }
        self.hosts[host].next_list = self.now + LIST_INTERVAL;
        if let Some(vm) = self.vm_of_host(host) {
            self.read_store(vm);
            self.hosts[host].departures = self.departures_known(vm);
        }
        let (as_of, departures) = (self.now, self.hosts[host].departures);
        self.handle_command(host, Command::WorkersListed { as_of, departures });
    }

    /// Schedulers of a worker's cell that can reach the store.
    fn hosts_with_store(&self, worker: usize) -> Vec<usize> {
        let hosts = self.hosts_of(self.cell_of(worker)).into_iter();
        hosts
            .filter(|&h| !self.hosts[h].is_store_unreachable)
            .collect()
    }
}
