//! Jobs under overload, most of which are refused, while entry VMs freeze and their connections are set up anew.

use std::ops::Range;
use std::time::Duration;

use super::MS;
use crate::world::{Simulation, TestJob};

/// Simulated time with disruptions in each schedule.
const SCHEDULE: Duration = Duration::from_secs(6);

/// Simulated time after the last disruption.
const REST: Duration = Duration::from_secs(6);

/// Time between two draws.
const STEP: Duration = Duration::from_millis(20);

const ENTRIES: usize = 3;

/// Jobs in one second: several times of what the workers can run.
const JOB_RATE: f64 = 60.0;

struct Schedule {
    sim: Simulation,
    cells: usize,
    next_job: u64,
    is_durable: bool,
}

impl Schedule {
    fn new(seed: u64, cells: usize, is_durable: bool) -> Self {
        let mut sim = Simulation::with_cells((cells, 2), ENTRIES, seed);
        sim.entry_vms.return_share = 0.3;
        sim.entry_vms.reconnects_after_freeze = true;
        Self {
            sim,
            cells,
            next_job: 1,
            is_durable,
        }
    }

    fn run(mut self) -> Simulation {
        while self.sim.now < self.sim.started_at + SCHEDULE {
            self.call();
            self.disrupt();
            self.sim.run_for(STEP);
        }
        self.sim.run_for(REST);
        self.sim
    }

    /// Whether an event happens that occurs `rate` times a second.
    fn occurs(&mut self, rate: f64) -> bool {
        self.sim.random() < rate * STEP.as_secs_f64()
    }

    fn entry(&mut self) -> usize {
        usize::from(self.sim.random_below(u16::try_from(ENTRIES).unwrap()))
    }

    fn call(&mut self) {
        for _ in 0..2 {
            if !self.occurs(JOB_RATE / 2.0) {
                continue;
            }
            let run_time = Duration::from_secs_f64(0.2 + 0.6 * self.sim.random());
            let mut job = TestJob::new(self.next_job, 2, run_time).with_remaining_wait(3_000 * MS);
            job.spec.is_durable = self.is_durable;
            self.next_job += 1;
            let entry = self.entry();
            self.sim.call(entry, job);
        }
    }

    fn disrupt(&mut self) {
        if self.occurs(0.6) {
            let entry = self.entry();
            let pause = 800 * MS + (1_200 * MS).mul_f64(self.sim.random());
            self.sim.freeze_entry_vm(entry, pause);
        }
        let host = usize::from(self.sim.random_below(u16::try_from(self.cells).unwrap()));
        if self.occurs(2.0) {
            let entry = self.entry();
            self.sim.reset_outgoing(entry, host);
        }
        if self.occurs(0.5) {
            let entry = self.entry();
            self.sim.reset_link(entry, host);
        }
    }
}

/// Runs a schedule for each seed, and asserts that refused jobs have not run, and that some were refused and others run.
fn search(cells: usize, is_durable: bool, seeds: Range<u64>) {
    let (mut refused, mut answered) = (0, 0);
    let mut false_refusals = Vec::new();
    for seed in seeds {
        let sim = Schedule::new(seed, cells, is_durable).run();
        refused += sim.entry_vms.refused_requests.len();
        answered += sim.entry_vms.answers.len();
        let jobs = sim.refused_jobs_that_ran();
        false_refusals.extend(jobs.first().map(|&id| (seed, sim.trace_of(id))));
    }
    if let Some((seed, trace)) = false_refusals.first() {
        let seeds: Vec<u64> = false_refusals.iter().map(|f| f.0).collect();
        panic!("jobs were refused and ran, seeds {seeds:?}; seed {seed}:\n{trace}");
    }
    assert!(0 < refused && refused < answered, "{refused} of {answered}");
}

/// REFUSED: the answer to the first copy was taken for that to the second one.
#[test]
fn refused_durable_jobs_do_not_run_as_entry_vms_freeze_and_links_break() {
    search(1, true, 0..60);
}

#[test]
fn refused_durable_jobs_of_several_cells_do_not_run_as_entry_vms_freeze_and_links_break() {
    search(3, true, 1_000..1_040);
}

#[test]
fn refused_best_effort_jobs_do_not_run_as_entry_vms_freeze_and_links_break() {
    search(1, false, 2_000..2_040);
    search(3, false, 3_000..3_020);
}
