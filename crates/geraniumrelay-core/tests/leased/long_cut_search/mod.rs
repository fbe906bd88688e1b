//! Random long cuts between two data centres, with schedulers, callers and workers on both sides, and takeovers, restarts
//! and new workers meanwhile.

mod cuts;
mod schedulers;

use std::ops::Range;
use std::time::{Duration, Instant};

use geraniumrelay_core::configs::leased::LeasedConfig;

use crate::world::{Simulation, TestJob};

const MS: Duration = Duration::from_millis(1);

/// Time between two draws.
const STEP: Duration = Duration::from_millis(50);

/// Time before the first cut.
const WARM_UP: Duration = Duration::from_millis(600);

/// Simulated time after the last heal.
const REST: Duration = Duration::from_secs(7);

/// Time from the begin of a cut to the removal of the entries of workers that are cut off from the store.
const ENTRY_TTL: Duration = Duration::from_millis(4_500);

/// Time of the heal within which links, paths to workers, the store and entries come back.
const HEAL_TIME: Duration = Duration::from_secs(2);

/// Age of a heartbeat from which its sender is no candidate for a takeover.
const PEER_FRESHNESS: Duration = Duration::from_millis(350);

/// VMs and workers on each side; the first half is beyond the cut, without the store.
const VMS_PER_SIDE: usize = 2;
const WORKERS_PER_SIDE: usize = 3;

/// A disruption, or its end.
#[derive(Debug, Clone, Copy)]
enum Event {
    CutBegins,
    EntryRemoved(usize),
    Heals,
    PathHeals { vm: usize, other: usize },
    CallsArrive { vm: usize, worker: usize },
    RepliesArrive { vm: usize, worker: usize },
    StoreHeals(usize),
    EntryReturns(usize),
    SchedulerEnds,
    VmEnds,
    VmStarts(usize),
    WorkerRestarts,
    WorkerComes,
    CallerBreaks,
}

struct Schedule {
    sim: Simulation,
    /// Whether the tokens of new schedulers follow the time, or only those that their VM has heard of.
    uses_clock: bool,
    outranks: f64,
    next_job: u64,
    events: Vec<(Instant, Event)>,
    /// When each VM that follows no scheduler takes over.
    takeovers: [Option<Instant>; 2 * VMS_PER_SIDE],
    is_cut: bool,
    heals: Vec<Instant>,
    ends_at: Instant,
}

/// Lengths of cuts on both sides of which something ends that schedulers wait for or remember.
fn time_constants(cfg: &LeasedConfig) -> [Duration; 9] {
    [
        PEER_FRESHNESS,
        cfg.epoch_ttl,
        cfg.confirmation_ttl,
        cfg.takeover_wait,
        cfg.bounded_runs_wait(),
        ENTRY_TTL,
        cfg.predecessor_ttl,
        cfg.departed_ttl,
        ENTRY_TTL + cfg.departed_ttl,
    ]
}

const fn is_beyond(number: usize, per_side: usize) -> bool {
    number < per_side
}

impl Schedule {
    fn new(seed: u64) -> Self {
        let workers = 2 * WORKERS_PER_SIDE;
        let mut sim = Simulation::with_cells((1, workers), 2 * VMS_PER_SIDE, seed);
        sim.lost_reply_share = 0.02 * sim.random();
        sim.late_reply_share = 0.2 * sim.random();
        for worker in 0..workers {
            sim.workers[worker].clock_rate = 0.98 + 0.04 * sim.random();
        }
        let first = usize::from(sim.random_below(4));
        sim.begin_vms(first);
        let mut schedule = Self {
            uses_clock: sim.random() < 0.5,
            outranks: sim.random(),
            next_job: 1,
            events: Vec::new(),
            takeovers: [None; 2 * VMS_PER_SIDE],
            is_cut: false,
            heals: Vec::new(),
            ends_at: sim.now,
            sim,
        };
        let begin = schedule.sim.now + WARM_UP;
        let heal = schedule.plan_cut(begin);
        if schedule.sim.random() < 0.3 {
            let again = heal + 200 * MS + schedule.up_to(Duration::from_secs(4));
            schedule.plan_cut(again);
        }
        schedule
    }

    fn up_to(&mut self, limit: Duration) -> Duration {
        limit.mul_f64(self.sim.random())
    }

    fn below(&mut self, limit: usize) -> usize {
        usize::from(self.sim.random_below(u16::try_from(limit).unwrap()))
    }

    /// Plans a cut and the disruptions around it, and returns when it heals.
    fn plan_cut(&mut self, begin: Instant) -> Instant {
        let constants = time_constants(&self.sim.cfg.leased);
        let constant = match self.sim.random() {
            r if r < 0.5 => ENTRY_TTL + self.sim.cfg.leased.departed_ttl,
            _ => constants[self.below(constants.len())],
        };
        let margin = constant.mul_f64(0.2).min(2_000 * MS);
        let length = constant.saturating_sub(margin) + self.up_to(3 * margin);
        let heal = begin + length;
        let before_heal = begin + length.saturating_sub(1_500 * MS);
        self.events.push((begin, Event::CutBegins));
        self.events.push((heal, Event::Heals));
        for worker in (0..WORKERS_PER_SIDE).filter(|_| length > ENTRY_TTL) {
            let at = begin + ENTRY_TTL + self.up_to(500 * MS);
            self.events.push((at, Event::EntryRemoved(worker)));
        }
        let disruptions = [
            (Event::SchedulerEnds, 3),
            (Event::VmEnds, 2),
            (Event::WorkerRestarts, 3),
            (Event::WorkerComes, 2),
        ];
        for (event, limit) in disruptions {
            for _ in 0..self.below(limit + 1) {
                let at = match self.sim.random() {
                    r if r < 0.4 => begin + self.up_to(length),
                    _ => before_heal + self.up_to(3_500 * MS),
                };
                self.events.push((at, event));
            }
        }
        for _ in 0..self.below(6) {
            let at = before_heal + self.up_to(3_500 * MS);
            self.events.push((at, Event::CallerBreaks));
        }
        self.heals.push(heal);
        self.ends_at = heal + REST;
        heal
    }

    fn run(mut self) -> Simulation {
        while self.sim.now < self.ends_at {
            self.call();
            self.process_due_events();
            self.elect();
            for vm in 0..2 * VMS_PER_SIDE {
                if self.sim.host_on(vm).is_none() && self.sim.entry_vms.is_up(vm) {
                    self.sim.read_store(vm);
                }
            }
            let next = self.events.iter().map(|e| e.0).min();
            let until_next = next.map_or(STEP, |at| at.saturating_duration_since(self.sim.now));
            self.sim.run_for(until_next.clamp(MS, STEP));
        }
        self.sim
    }

    /// Sends jobs, most of them around the heal.
    fn call(&mut self) {
        let now = self.sim.now;
        let is_near = |&at: &Instant| now + 2_500 * MS > at && now < at + 3_000 * MS;
        let rate = if self.heals.iter().any(is_near) {
            12.0
        } else {
            1.0
        };
        let up = self.sim.entry_vms.up();
        if up.is_empty() || self.sim.random() >= rate * STEP.as_secs_f64() {
            return;
        }
        let steps = self.below(3) + 1;
        let tasks = self.sim.random_below(2) + 1;
        let longest = 3_000 * MS / u32::try_from(steps).unwrap();
        let run_time = 20 * MS + self.up_to(longest);
        let mut job = TestJob::new(self.next_job, tasks, run_time)
            .with_cpu(5_000)
            .with_slack()
            .with_remaining_wait(Duration::from_secs(9));
        for _ in 1..steps {
            job = job.with_next_step();
        }
        self.next_job += 1;
        let entry = up[self.below(up.len())];
        self.sim.call(entry, job);
    }

    fn process_due_events(&mut self) {
        let now = self.sim.now;
        let due: Vec<_> = self.events.extract_if(.., |e| e.0 <= now).collect();
        for (_, event) in due {
            self.process(event);
        }
    }

    fn process(&mut self, event: Event) {
        let sim = &mut self.sim;
        match event {
            Event::CutBegins => self.cut(),
            Event::Heals => self.heal(),
            Event::EntryRemoved(worker) if self.is_cut => sim.set_listed(worker, false),
            Event::EntryRemoved(_) => {}
            Event::EntryReturns(worker) => sim.set_listed(worker, true),
            Event::PathHeals { vm, other } => sim.set_path(vm, other, true),
            Event::CallsArrive { vm, worker } => sim.set_calls_arrive(vm, worker, true),
            Event::RepliesArrive { vm, worker } => sim.set_replies_arrive(vm, worker, true),
            Event::StoreHeals(vm) => sim.set_store_reached(vm, true),
            Event::SchedulerEnds => {
                if let Some(vm) = self.any_scheduling_vm() {
                    let host = self.sim.host_on(vm).unwrap();
                    self.sim.end_host(host, true);
                }
            }
            Event::VmEnds => {
                if let Some(vm) = self.any_scheduling_vm() {
                    self.end_vm(vm);
                }
            }
            Event::VmStarts(vm) => sim.restart_entry_vm(vm),
            Event::WorkerRestarts => {
                let worker = self.below(self.sim.workers.len());
                self.sim.restart_worker(worker, 1_000);
            }
            Event::WorkerComes => {
                let worker = sim.add_worker_in_cut();
                for vm in 0..VMS_PER_SIDE {
                    sim.set_calls_arrive(vm, worker, !self.is_cut);
                    sim.set_replies_arrive(vm, worker, !self.is_cut);
                }
            }
            Event::CallerBreaks => {
                let callers = sim.connected_callers();
                if !callers.is_empty() {
                    let id = callers[self.below(callers.len())];
                    self.sim.break_caller(id);
                }
            }
        }
    }
}

/// The trace of the first task that had two runs at the same time, up to then.
fn overlap(sim: &Simulation) -> Option<String> {
    let task = sim.concurrent_runs.first()?;
    let trace = sim.trace_of(task.job);
    let trace = trace.split_inclusive("two runs").next()?;
    Some(format!("two runs of {task} at the same time\n{trace}"))
}

/// Runs a schedule for each seed, and asserts that no task has two runs at a time and that most jobs are completed.
fn search(seeds: Range<u64>) {
    let (mut jobs, mut completed, mut resent) = (0, 0, 0);
    let mut overlaps = Vec::new();
    for seed in seeds {
        let sim = Schedule::new(seed).run();
        jobs += sim.jobs.len();
        completed += sim.entry_vms.completed();
        resent += sim.entry_vms.resent_jobs;
        overlaps.extend(overlap(&sim).map(|o| (seed, o)));
    }
    let counts = format!("{jobs} jobs, {completed} completed, {resent} sent again");
    if let Some((seed, first)) = overlaps.first() {
        let seeds: Vec<u64> = overlaps.iter().map(|o| o.0).collect();
        let number = seeds.len();
        panic!("{counts}; two runs with {number} seeds: {seeds:?}; seed {seed}: {first}");
    }
    assert!(completed * 2 > jobs && resent > 0, "{counts}");
    println!("{counts}");
}

/// Seeds of a run in CI.
const SEEDS: Range<u64> = 0..250;

/// Environment variable that replaces the seeds, in the form `FROM..TO`.
const SEEDS_VARIABLE: &str = "GERANIUMRELAY_LONG_CUT_SEEDS";

fn seeds() -> Range<u64> {
    let Ok(text) = std::env::var(SEEDS_VARIABLE) else {
        return SEEDS;
    };
    let (from, to) = text.split_once("..").expect("FROM..TO");
    from.parse().expect("a seed")..to.parse().expect("a seed")
}

#[test]
fn jobs_have_one_run_at_a_time_around_long_cuts() {
    search(seeds());
}
