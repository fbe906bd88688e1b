//! The entry process that schedules is frozen, and goes on while clients at it still wait. More jobs come than there is
//! room for. Several deployments, as it depends on chance in which order the process handles what has come meanwhile.

use std::path::Path;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use crate::record::Record;
use crate::world::{Step, Verdict, World};

const DEPLOYMENTS: usize = 3;
const WORKERS: usize = 24;
/// Jobs at the process that is frozen, from before the end of the freeze until after it, and the pause between them.
const JOBS: u64 = 160;
const PAUSE: Duration = Duration::from_millis(7);
/// Jobs at the others, and the pause between them: somewhat more than the workers can do.
const BUSY_JOBS: u64 = 460;
const BUSY_PAUSE: Duration = Duration::from_millis(12);
/// Time in which these fill the workers.
const FILL: Duration = Duration::from_millis(1_500);
const WORK_MS: u64 = 900;
const CPU: u64 = 14_000;
/// Length of the freeze until the first of the jobs, and then until its end: 3.5 s; `for_s` of `node_freeze` is 4.
const FREEZE: Duration = Duration::from_millis(2_900);
const FREEZE_WITH_JOBS: Duration = Duration::from_millis(600);
/// Time for the jobs to run; more than all need.
const END: Duration = Duration::from_secs(12);

pub fn run(dir: &Path) -> Verdict {
    let zones = ["viti-a", "viti-b", "viti-c", "viti-d"];
    let record = Arc::new(Record::create(dir));
    let mut worlds = Vec::new();
    for _ in 0..DEPLOYMENTS {
        let started = World::start_with(&record, &zones[..3], |workers| {
            for number in 0..WORKERS {
                workers.add(zones[number % 4], ["a", "a", "b"][number / 4 % 3], "r-1", 32_000, 65_536);
            }
        });
        let Some(world) = started else { return Verdict::CannotRun };
        worlds.push(world);
    }
    let played: Vec<_> = worlds.into_iter().map(|world| thread::spawn(move || play(&world))).collect();
    let verdicts: Vec<Verdict> = played.into_iter().map(|p| p.join().unwrap_or(Verdict::CannotRun)).collect();
    let broken = verdicts.iter().filter(|v| matches!(v, Verdict::Broken)).count();
    record.line(&format!("REFUSED is broken in {broken} of {DEPLOYMENTS} deployments"));
    if broken > 0 {
        Verdict::Broken
    } else if verdicts.iter().all(|v| matches!(v, Verdict::Held)) {
        Verdict::Held
    } else {
        Verdict::CannotRun
    }
}

fn play(world: &World) -> Verdict {
    let Some(scheduler) = world.entries.scheduler() else { return Verdict::CannotRun };
    let id = |number: u64| format!("5c0e7a21d94b{number:04x}");
    let steps = [Step { count: 1, work_ms: WORK_MS, label: "" }];
    // A first job, so that all processes know that there are jobs to keep.
    if !world.submit(scheduler, "99999999d94b0000", CPU, &steps) {
        return Verdict::CannotRun;
    }
    thread::sleep(Duration::from_secs(6));
    // Other clients keep the workers busy, through the other entry processes.
    let busy: Vec<_> = (0..BUSY_JOBS)
        .map(|number| {
            let entry = scheduler + 1 + number as usize % 2;
            let client = world.keeper(entry, &id(0xb000 + number), CPU, &steps);
            thread::spawn(move || {
                thread::sleep(BUSY_PAUSE * number as u32);
                client.submit_once()
            })
        })
        .collect();
    thread::sleep(FILL);
    if world.has_trouble {
        world.entries.freeze(scheduler, true);
        thread::sleep(FREEZE);
    }
    let waiting: Vec<_> = (0..JOBS)
        .map(|number| {
            let client = world.keeper(scheduler, &id(number), CPU, &steps);
            thread::spawn(move || {
                thread::sleep(PAUSE * number as u32);
                client.submit_once()
            })
        })
        .collect();
    if world.has_trouble {
        thread::sleep(FREEZE_WITH_JOBS);
        world.entries.freeze(scheduler, false);
    }
    let numbers = (0..JOBS).chain((0..BUSY_JOBS).map(|n| 0xb000 + n));
    let clients = numbers.zip(waiting.into_iter().chain(busy));
    let answers: Vec<(u64, Option<u16>)> = clients.map(|(n, c)| (n, c.join().unwrap_or(None))).collect();
    thread::sleep(END);
    world.close();
    let state = world.workers.state();
    let (mut refused, mut accepted, mut ran) = (0, 0, 0);
    for (number, status) in answers {
        accepted += usize::from(status == Some(200));
        if !matches!(status, Some(429 | 503)) {
            continue;
        }
        refused += 1;
        if state.tasks.keys().any(|t| t.starts_with(&id(number))) {
            ran += 1;
            world.record.line(&format!("job {} was refused with {status:?} and has run", id(number)));
        }
    }
    world.record.line(&format!("of {} jobs, {accepted} were accepted, {refused} refused; {ran} of the refused have run", JOBS + BUSY_JOBS));
    if ran > 0 {
        Verdict::Broken
    } else if accepted > 0 && refused > 0 {
        Verdict::Held
    } else {
        Verdict::CannotRun
    }
}
