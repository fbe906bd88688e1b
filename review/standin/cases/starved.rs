//! The workers of one rack are lost for good, and with them the room of accepted jobs that need this rack. Jobs that any
//! other worker could run are submitted later.

use std::path::Path;
use std::thread;
use std::time::{Duration, Instant};

use super::idle::{IdleJobs, MAX_IDLE};
use crate::world::{Step, Verdict, World};

/// Workers in all, and those of the rack that is lost: an eighth, as on the sheet, below the largest share of `srv_crash`.
const WORKERS: usize = 24;
const RARE: usize = 3;
/// Jobs that need the rack.
const RARE_JOBS: u64 = 36;
const RARE_WORK_MS: u64 = 6_000;
/// Jobs that need none.
const JOBS: u64 = 4;
const STEPS: usize = 5;
const WORK_MS: u64 = 300;
const CPU: u64 = 2_000;
/// `contact_ms` and the 4 s of the rule, so that all is calm before the jobs arrive.
const CALM: Duration = Duration::from_secs(8);
const LIMIT: Duration = Duration::from_secs(12);

pub fn run(dir: &Path) -> Verdict {
    let zones = ["viti-a", "viti-b", "viti-c", "viti-d"];
    let started = World::start(dir, &zones[..3], |workers| {
        for number in 0..WORKERS {
            let zone = zones[number % 4];
            let is_rare = number >= WORKERS - RARE;
            let (label, rack) = (["a", "a", "b"][number / 4 % 3], if is_rare { "r-9" } else { "r-1" });
            workers.add(zone, label, rack, 32_000, 65_536);
        }
    });
    let Some(mut world) = started else { return Verdict::CannotRun };
    let rare = [Step { count: 1, work_ms: RARE_WORK_MS, label: "r-9" }];
    for number in 0..RARE_JOBS {
        if !world.submit(0, &format!("aaaaaaaaaaaa{number:04x}"), CPU, &rare) {
            world.record.line("a job for the rack is refused");
            return Verdict::CannotRun;
        }
    }
    thread::sleep(Duration::from_secs(1));
    if world.has_trouble {
        for worker in WORKERS - RARE..WORKERS {
            world.workers.crash(worker, None);
        }
    }
    thread::sleep(CALM);
    let steps: Vec<Step> = (0..STEPS).map(|_| Step { count: 1, work_ms: WORK_MS, label: "" }).collect();
    let id = |number: u64| format!("5c0e7a21d94b{number:04x}");
    for number in 0..JOBS {
        if !world.submit(0, &id(number), CPU, &steps) {
            return Verdict::CannotRun;
        }
    }
    let mut idle = IdleJobs::new(STEPS, CPU);
    let until = Instant::now() + LIMIT;
    let mut left: Vec<String> = (0..JOBS).map(id).collect();
    while Instant::now() < until && !left.is_empty() {
        thread::sleep(Duration::from_millis(100));
        left.retain(|id| world.state(1, id) != "completed");
        idle.observe(&world.workers.state(), &left);
    }
    let longest = idle.longest;
    world.close();
    world.record.line(&format!(
        "{} of {JOBS} jobs are not completed; the longest time with nothing running beside room was {longest:.1?}",
        left.len()
    ));
    if longest >= MAX_IDLE {
        Verdict::Broken
    } else if left.is_empty() {
        Verdict::Held
    } else {
        Verdict::CannotRun
    }
}
