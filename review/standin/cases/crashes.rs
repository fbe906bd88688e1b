//! Two workers crash, one after the other, each while it runs the only task of an accepted job.

use std::path::Path;
use std::thread;
use std::time::{Duration, Instant};

use crate::world::{Step, Verdict, World, worker_of};

const JOB: &str = "5c0e7a21d94b36f8";
const WORK_MS: u64 = 3_000;
/// `for_s` of `srv_crash`.
const DOWN: Duration = Duration::from_millis(3_500);
/// Time for the job to end after the last crash; far more than it needs.
const LIMIT: Duration = Duration::from_secs(40);

pub fn run(dir: &Path) -> Verdict {
    let zones = ["viti-a", "viti-b", "viti-c", "viti-d"];
    let started = World::start(dir, &zones[..3], |workers| {
        for number in 0..24 {
            let zone = zones[number % 4];
            let label = ["a", "a", "b"][number % 3];
            workers.add(zone, label, &format!("r-{zone}"), 32_000, 65_536);
        }
    });
    let Some(mut world) = started else { return Verdict::CannotRun };
    let steps = [Step { count: 1, work_ms: WORK_MS, label: "" }];
    if !world.submit(0, JOB, 14_000, &steps) {
        return Verdict::CannotRun;
    }
    for _ in 0..if world.has_trouble { 2 } else { 0 } {
        if !world.wait(Duration::from_secs(10), |s| worker_of(s, JOB).is_some()) {
            world.record.line("the task does not start");
            break;
        }
        thread::sleep(Duration::from_millis(1_000));
        let worker = worker_of(&world.workers.state(), JOB);
        if let Some(worker) = worker {
            world.workers.crash(worker, Some(DOWN));
        }
    }
    let until = Instant::now() + LIMIT;
    let mut state = String::new();
    while Instant::now() < until && !matches!(state.as_str(), "completed" | "failed" | "cancelled") {
        thread::sleep(Duration::from_millis(200));
        state = world.state(1, JOB);
    }
    let failed: u32 = world.workers.state().tasks.values().map(|t| t.failed).sum();
    world.record.line(&format!("the job is shown as {state:?}; {failed} runs of it have ended failed"));
    world.close();
    match state.as_str() {
        "completed" => Verdict::Held,
        "failed" | "cancelled" if failed == 0 => Verdict::Broken,
        _ => Verdict::CannotRun,
    }
}
