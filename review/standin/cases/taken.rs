//! The entry process that has just accepted the first job of a deployment is killed, and starts again. A second job
//! follows later. Several deployments, as chance decides what the other processes have heard by then.

use std::path::Path;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use super::idle::{IdleJobs, MAX_IDLE};
use crate::record::Record;
use crate::world::{Step, Verdict, World};

const DEPLOYMENTS: usize = 6;
const WORKERS: usize = 12;
const TASKS: u32 = 2;
const WORK_MS: u64 = 150;
const CPU: u64 = 14_000;
/// Time from the start of the last deployment until the first job.
const LEAD: Duration = Duration::from_millis(1_500);
/// Jobs arrive at moments that differ by this, against the processes' heartbeats of 75 ms.
const PHASE: Duration = Duration::from_millis(10);
/// Time from the 2xx to the kill; `after_ack_kill` strikes within 4 ms.
const KILL_AFTER: Duration = Duration::from_millis(3);
/// `for_s` of `after_ack_kill`.
const DOWN: Duration = Duration::from_secs(2);
/// Time from the restart until the job is watched: `contact_ms`, and the 4 s before the 3 s of the rule.
const CALM: Duration = Duration::from_secs(8);
/// Time from the restart until the second job.
const SECOND_JOB: Duration = Duration::from_secs(14);
const LIMIT: Duration = Duration::from_secs(22);

struct Deployment {
    world: World,
    first: String,
    second: String,
    /// An entry process that is not killed.
    entry: usize,
    idle: IdleJobs,
    /// Whether the first job had nothing running for too long.
    was_lost: bool,
}

impl Deployment {
    fn is_completed(&self, id: &str) -> bool {
        self.world.states.get(id).is_some_and(|s| s == "completed")
    }

    /// Asks for the state of a job that is not known to be completed.
    fn ask(&mut self, id: &str) {
        if !self.is_completed(id) {
            self.world.state(self.entry, id);
        }
    }
}

pub fn run(dir: &Path) -> Verdict {
    let zones = ["viti-a", "viti-b", "viti-c", "viti-d"];
    let record = Arc::new(Record::create(dir));
    let steps = [Step { count: TASKS, work_ms: WORK_MS, label: "" }];
    let mut deployments = Vec::new();
    for number in 0..DEPLOYMENTS {
        let started = World::start_with(&record, &zones[..3], |workers| {
            for number in 0..WORKERS {
                workers.add(zones[number % 4], ["a", "a", "b"][number / 4], "r-1", 32_000, 65_536);
            }
        });
        let Some(world) = started else { return Verdict::CannotRun };
        deployments.push(Deployment {
            world,
            first: format!("5c0e7a21d94b{number:04x}"),
            second: format!("99999999d94b{number:04x}"),
            entry: 0,
            idle: IdleJobs::new(TASKS as usize, CPU),
            was_lost: false,
        });
    }
    thread::sleep(LEAD);
    for (number, deployment) in (0..).zip(&mut deployments) {
        let world = &mut deployment.world;
        thread::sleep(PHASE * number);
        let Some(scheduler) = world.entries.scheduler() else { return Verdict::CannotRun };
        if !world.submit(scheduler, &deployment.first, CPU, &steps) {
            return Verdict::CannotRun;
        }
        if record.has_trouble {
            thread::sleep(KILL_AFTER);
            world.entries.kill(scheduler);
            thread::sleep(DOWN);
            world.entries.restart(scheduler);
        }
        deployment.entry = (scheduler + 1) % zones[..3].len();
    }
    let begun = Instant::now();
    let mut is_second_sent = false;
    while begun.elapsed() < LIMIT {
        thread::sleep(Duration::from_millis(200));
        let is_second_due = begun.elapsed() >= SECOND_JOB;
        for deployment in &mut deployments {
            let (first, second) = (deployment.first.clone(), deployment.second.clone());
            deployment.ask(&first);
            if begun.elapsed() >= CALM && !is_second_due && !deployment.is_completed(&first) {
                let state = deployment.world.workers.state();
                deployment.idle.observe(&state, &[first]);
                deployment.was_lost = deployment.idle.longest >= MAX_IDLE;
            }
            if is_second_due && !is_second_sent {
                deployment.world.submit(deployment.entry, &second, CPU, &steps);
            } else if is_second_due {
                deployment.ask(&second);
            }
        }
        is_second_sent |= is_second_due;
    }
    let (mut lost, mut twice, mut open) = (0, 0, 0);
    for deployment in &deployments {
        deployment.world.close();
        let starts = deployment.world.workers.state().twice.len();
        lost += usize::from(deployment.was_lost);
        twice += usize::from(starts > 0);
        open += usize::from(!deployment.is_completed(&deployment.first));
        record.line(&format!(
            "job {}: {:.1?} with nothing running beside room before the second job; {starts} starts that break TWICE",
            deployment.first, deployment.idle.longest
        ));
    }
    record.line(&format!("of {DEPLOYMENTS} deployments, {lost} break LOST and {twice} break TWICE; {open} first jobs are open"));
    match (lost + twice, open) {
        (0, 0) => Verdict::Held,
        (0, _) => Verdict::CannotRun,
        _ => Verdict::Broken,
    }
}
