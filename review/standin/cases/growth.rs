//! Workers are added while accepted jobs run.

use std::path::Path;
use std::thread;
use std::time::{Duration, Instant};

use super::idle::{IdleJobs, MAX_IDLE};
use crate::world::{Step, Verdict, World};

/// Workers at first, and those that are added: a quarter, the share of `scale_out`.
const WORKERS: usize = 80;
const ADDED: usize = 20;
const JOBS: u64 = 6;
const STEPS: usize = 3;
const WORK_MS: u64 = 3_000;
const CPU: u64 = 2_000;
/// Time from the last new worker until jobs are watched: `contact_ms`, and the 4 s before the 3 s of the rule.
const CALM: Duration = Duration::from_secs(8);
const LIMIT: Duration = Duration::from_secs(20);

pub fn run(dir: &Path) -> Verdict {
    let zones = ["viti-a", "viti-b", "viti-c"];
    let add = |workers: &std::sync::Arc<crate::workers::Workers>, number: usize| {
        let zone = zones[number % zones.len()];
        let label = ["a", "a", "b"][number / zones.len() % 3];
        workers.add(zone, label, &format!("r-{zone}-{}", number / 60), 32_000, 65_536);
    };
    let started = World::start(dir, &zones, |workers| (0..WORKERS).for_each(|n| add(workers, n)));
    let Some(mut world) = started else { return Verdict::CannotRun };
    thread::sleep(Duration::from_secs(8));
    let steps: Vec<Step> = (0..STEPS).map(|_| Step { count: 1, work_ms: WORK_MS, label: "" }).collect();
    let id = |number: u64| format!("5c0e7a21d94b{number:04x}");
    for number in 0..JOBS {
        if !world.submit(0, &id(number), CPU, &steps) {
            return Verdict::CannotRun;
        }
    }
    if world.has_trouble {
        (WORKERS..WORKERS + ADDED).for_each(|n| add(&world.workers, n));
        world.record.line(&format!("{ADDED} workers are added"));
    }
    let begun = Instant::now();
    let mut idle = IdleJobs::new(STEPS, CPU);
    let mut left: Vec<String> = (0..JOBS).map(id).collect();
    while begun.elapsed() < LIMIT && !left.is_empty() {
        thread::sleep(Duration::from_millis(200));
        left.retain(|id| world.state(1, id) != "completed");
        if begun.elapsed() >= CALM {
            idle.observe(&world.workers.state(), &left);
        }
    }
    world.close();
    world.record.line(&format!(
        "{} of {JOBS} jobs are not completed; the longest time with nothing running beside room was {:.1?}",
        left.len(),
        idle.longest
    ));
    if idle.longest >= MAX_IDLE {
        Verdict::Broken
    } else if left.is_empty() {
        Verdict::Held
    } else {
        Verdict::CannotRun
    }
}
