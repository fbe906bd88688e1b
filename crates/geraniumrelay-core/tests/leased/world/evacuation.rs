//! Data centres of the workers, and their evacuation.

use std::collections::BTreeMap;
use std::time::Instant;

use geraniumrelay_core::leased::Command;
use geraniumrelay_core::leased::evacuation::EvacuatedSince;

use super::Simulation;

impl Simulation {
    /// Creates a simulation whose workers are spread evenly over `data_centres`.
    pub(crate) fn with_data_centres(
        count: usize,
        seed: u64,
        data_centres: &[&'static str],
    ) -> Self {
        let mut sim = Self::new(count, seed);
        let in_turn = data_centres.iter().copied().cycle();
        sim.data_centres = (0..count).zip(in_turn).collect();
        for worker in 0..count {
            sim.announce_worker(0, worker);
        }
        sim
    }

    pub(crate) fn data_centre(&self, worker: usize) -> &'static str {
        self.data_centres.get(&worker).copied().unwrap_or("a")
    }

    /// Tells all schedulers, also later ones, that exactly these data centres are evacuated, each since the time
    /// given with it.
    pub(crate) fn set_evacuated(&mut self, since: &BTreeMap<&'static str, Instant>) {
        let since = since.iter().map(|(&name, &at)| (name.into(), at));
        self.evacuated = since.collect::<EvacuatedSince>();
        for host in 0..self.hosts.len() {
            let evacuated = self.evacuated.clone();
            self.handle_command(host, Command::Evacuated(evacuated));
        }
    }

    /// Evacuates `data_centres` from now on, and no others.
    pub(crate) fn evacuate(&mut self, data_centres: &[&'static str]) {
        let now = self.now;
        let since = data_centres.iter().map(|&name| (name, now));
        self.set_evacuated(&since.collect());
    }

    /// Number of accepted starts in a data centre from `from` on.
    pub(crate) fn starts_in(&self, data_centre: &str, from: Instant) -> usize {
        let starts = self.start_places.iter();
        starts
            .filter(|&&(worker, at)| at >= from && self.data_centre(worker) == data_centre)
            .count()
    }
}
