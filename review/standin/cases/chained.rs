//! The entry process that schedules is killed while the second steps of jobs run that needn't be kept.

use std::path::Path;
use std::thread;
use std::time::Duration;

use crate::workers::State;
use crate::world::{Step, Verdict, World};

const WORKERS: usize = 24;
const JOBS: u64 = 6;
const FIRST_MS: u64 = 60;
const SECOND_MS: u64 = 900;
const CPU: u64 = 14_000;
/// `for_s` of `node_kill`.
const DOWN: Duration = Duration::from_millis(3_500);
const LIMIT: Duration = Duration::from_secs(12);

pub fn run(dir: &Path) -> Verdict {
    let zones = ["viti-a", "viti-b", "viti-c", "viti-d"];
    let started = World::start(dir, &zones[..3], |workers| {
        for number in 0..WORKERS {
            workers.add(zones[number % 4], ["a", "a", "b"][number / 4 % 3], "r-1", 32_000, 65_536);
        }
    });
    let Some(mut world) = started else { return Verdict::CannotRun };
    let Some(scheduler) = world.entries.scheduler() else { return Verdict::CannotRun };
    // The clients are at the other entry processes: no connection of a client breaks.
    let clients: Vec<_> = (0..JOBS)
        .map(|number| {
            let steps = [
                Step { count: 1, work_ms: FIRST_MS, label: "" },
                Step { count: 1, work_ms: SECOND_MS, label: "" },
            ];
            let entry = (scheduler + 1 + number as usize % 2) % world.entries.list.len();
            let caller = world.caller(entry, &format!("5c0e7a21d94b{number:04x}"), CPU, &steps);
            thread::spawn(move || caller.wait_for_end(LIMIT))
        })
        .collect();
    let is_second = |s: &State| s.workers.iter().flat_map(|w| &w.runs).filter(|r| r.task.contains(".0.1.")).count();
    if !world.wait(Duration::from_secs(3), |s| is_second(s) as u64 == JOBS) {
        world.record.line("the second steps do not run side by side");
        return Verdict::CannotRun;
    }
    if world.has_trouble {
        world.entries.kill(scheduler);
        thread::sleep(DOWN);
        world.entries.restart(scheduler);
    }
    let ended = clients.into_iter().map(|c| c.join().is_ok_and(|is_ended| is_ended)).filter(|e| *e).count();
    world.close();
    let state = world.workers.state();
    let at_once = state.twice.iter().filter(|t| t.contains("at the same time")).count();
    world.record.line(&format!("{ended} of {JOBS} jobs were answered; {at_once} starts beside a run of the same task"));
    if at_once > 0 {
        Verdict::Broken
    } else if ended as u64 == JOBS {
        Verdict::Held
    } else {
        Verdict::CannotRun
    }
}
