//! Accepted jobs are sent again, seconds after the 2xx, to an entry process in another zone.

use std::path::Path;
use std::thread;
use std::time::{Duration, Instant};

use crate::world::{Step, Verdict, World};

const JOBS: u64 = 6;
const TASKS: u32 = 2;
const WORK_MS: u64 = 4_000;
/// Time from the 2xx to the second request.
const RESEND: Duration = Duration::from_secs(2);
const LIMIT: Duration = Duration::from_secs(25);

pub fn run(dir: &Path) -> Verdict {
    let zones = ["viti-a", "viti-b", "viti-c"];
    let Some(mut world) = World::start_grown(dir, &zones) else { return Verdict::CannotRun };
    let steps = [Step { count: TASKS, work_ms: WORK_MS, label: "" }];
    let id = |number: u64| format!("5c0e7a21d94b3{number:03x}");
    for number in 0..JOBS {
        if !world.submit(0, &id(number), 4_000, &steps) {
            return Verdict::CannotRun;
        }
    }
    let all_started = |s: &crate::workers::State| s.tasks.len() as u64 == JOBS * u64::from(TASKS);
    if !world.wait(Duration::from_secs(3), all_started) {
        world.record.line("not all tasks have started");
        return Verdict::CannotRun;
    }
    thread::sleep(RESEND);
    if world.has_trouble {
        for number in 0..JOBS {
            world.submit(1, &id(number), 4_000, &steps);
        }
    }
    let until = Instant::now() + LIMIT;
    let mut left: Vec<u64> = (0..JOBS).collect();
    while Instant::now() < until && !left.is_empty() {
        thread::sleep(Duration::from_millis(300));
        left.retain(|&number| world.state(2, &id(number)) != "completed");
    }
    world.close();
    let state = world.workers.state();
    let starts: u32 = state.tasks.values().map(|t| t.starts).sum();
    world.record.line(&format!(
        "{} tasks, {starts} starts, {} starts that break TWICE; {} jobs not completed",
        state.tasks.len(),
        state.twice.len(),
        left.len()
    ));
    match (state.twice.is_empty(), left.is_empty()) {
        (false, _) => Verdict::Broken,
        (true, true) => Verdict::Held,
        (true, false) => Verdict::CannotRun,
    }
}
