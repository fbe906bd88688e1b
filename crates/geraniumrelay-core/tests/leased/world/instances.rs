//! Entries of workers, and instances that replace each other.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use geraniumrelay_core::leased::{Command, WorkerEntry, WorkerState};

use super::{Event, FormerInstance, Simulation, worker_name};
use crate::worker::FakeWorker;

impl Simulation {
    pub(crate) fn worker_entry(&self, worker: usize) -> WorkerEntry {
        WorkerEntry {
            name: worker_name(worker),
            service: "service".into(),
            address: self.address(worker),
            data_centre: self.data_centre(worker).into(),
            state: WorkerState::Ready,
            capacity: self.workers[worker].capacity,
            labels: self.labels(worker),
            cold_remaining: Duration::ZERO,
            instance_started_unix_ms: self.workers[worker].instance_started_unix_ms,
        }
    }

    /// Labels of a worker: its own, or the kind and rack once the workers are distributed over racks.
    fn labels(&self, worker: usize) -> Vec<Arc<str>> {
        if self.racks.is_empty() {
            self.workers[worker].labels.clone()
        } else {
            vec![Arc::from("a"), self.rack(worker)]
        }
    }

    /// Label of the rack of a worker.
    pub(crate) fn rack(&self, worker: usize) -> Arc<str> {
        let count = self.racks.len().max(1);
        let rack = self.racks.get(worker % count);
        rack.map_or_else(|| Arc::from("r-1"), Arc::clone)
    }

    /// Distributes the workers over racks, and announces their entries.
    pub(crate) fn set_racks(&mut self, racks: &[&str]) {
        self.racks = racks.iter().map(|&r| Arc::from(r)).collect();
        for worker in 0..self.workers.len() {
            self.announce_worker(0, worker);
        }
    }

    pub(super) fn address(&self, worker: usize) -> SocketAddr {
        let first = 1_000 + u16::try_from(worker).unwrap();
        let port = self.ports.get(&worker).copied().unwrap_or(first);
        SocketAddr::from(([127, 0, 0, 1], port))
    }

    /// Number of the present instance of a worker.
    pub(super) fn instance_number(&self, worker: usize) -> u64 {
        self.restarts.get(&worker).copied().unwrap_or_default()
    }

    /// Restarts a worker at its address; its time of day is `clock_step_ms` ahead of that of the
    /// former instance. Schedulers get no entry of the new instance.
    pub(crate) fn restart_worker(&mut self, worker: usize, clock_step_ms: i64) {
        self.replace_instance(worker, clock_step_ms, false);
    }

    /// The same as [`Self::restart_worker`], but at another address, while the former instance goes
    /// on running out of reach.
    pub(crate) fn move_worker(&mut self, worker: usize, clock_step_ms: i64) {
        let port = self.address(worker).port() + 1_000;
        self.replace_instance(worker, clock_step_ms, true);
        self.ports.insert(worker, port);
    }

    pub(super) fn replace_instance(&mut self, worker: usize, clock_step_ms: i64, is_up: bool) {
        self.advance_workers();
        if !is_up {
            self.record_crash(worker);
        }
        let entry = self.worker_entry(worker);
        let former = &self.workers[worker];
        let cpu_milli = former.capacity.cpu_milli;
        let (speed, labels) = (former.speed, former.labels.clone());
        let mut instance = FakeWorker::new(self.now, cpu_milli);
        (instance.speed, instance.labels) = (speed, labels);
        instance.clock_rate = former.clock_rate;
        let started = former.instance_started_unix_ms;
        instance.instance_started_unix_ms =
            started.map(|ms| ms.checked_add_signed(clock_step_ms).unwrap());
        let instance = std::mem::replace(&mut self.workers[worker], instance);
        self.former_instances.push(FormerInstance {
            instance,
            entry,
            is_up,
        });
        *self.restarts.entry(worker).or_default() += 1;
        let former = if is_up { "goes on" } else { "is gone" };
        self.log(&format!(
            "another instance of worker {worker} starts, {clock_step_ms} ms later by its clock; the former {former}"
        ));
    }

    /// Whether a former instance of a worker may still run tasks.
    pub(crate) fn has_running_former_instance(&self) -> bool {
        let mut up = self.former_instances.iter().filter(|f| f.is_up);
        up.any(|f| f.instance.running().next().is_some())
    }

    /// Delivers an entry of a worker to a scheduler `after` this time.
    pub(crate) fn deliver_entry(&mut self, host: usize, after: Duration, entry: WorkerEntry) {
        let cmd = Command::WorkerSeen(entry);
        self.schedule(self.now + after, Event::Deliver { host, cmd });
    }

    /// Delivers the present entry of a worker to a scheduler at once.
    pub(crate) fn announce_worker(&mut self, host: usize, worker: usize) {
        let entry = self.worker_entry(worker);
        self.handle_command(host, Command::WorkerSeen(entry));
    }
}
