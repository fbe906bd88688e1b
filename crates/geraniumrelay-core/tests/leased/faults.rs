//! Random faults over many seeds: whatever happens, no task runs twice at a time and no refusal is
//! untrue.

use std::collections::BTreeSet;
use std::time::Duration;

use crate::worker::Behaviour;
use crate::world::{TestJob, World};

/// Seeds of each run.
const SEEDS: std::ops::Range<u64> = 0..150;

/// Length of a schedule.
const LENGTH_MS: u64 = 4_000;

fn play(seed: u64) -> World {
    let mut world = World::new(8, seed);
    world.lost_answers = 0.05 * world.random();
    world.late_orders = 0.05 * world.random();
    for worker in 0..world.workers.len() {
        world.workers[worker].clock_rate = 0.98 + 0.04 * world.random();
    }
    let mut host = 0;
    let mut round = 1;
    let mut open: Vec<TestJob> = Vec::new();
    let mut id = 1;
    for _ in 0..LENGTH_MS / 50 {
        if world.random() < 0.7 {
            let tasks = world.random_below(4) + 1;
            let work = Duration::from_secs_f64(0.02 + 0.6 * world.random());
            let job = TestJob::new(id, tasks, work);
            id += 1;
            open.push(job.clone());
            world.submit(host, Duration::ZERO, job);
        }
        fault(&mut world, host);
        if world.random() < 0.05 {
            round += 1;
            host = succeed(&mut world, round, &open);
        }
        world.run_for(Duration::from_millis(50));
        open.retain(|j| !world.answers.contains_key(&j.spec.id));
    }
    world.run_for(Duration::from_secs(6));
    world
}

fn fault(world: &mut World, host: usize) {
    let worker = usize::from(world.random_below(8));
    let behaviour = match world.random() {
        r if r < 0.03 => Behaviour::Hanging,
        r if r < 0.06 => Behaviour::Failing,
        r if r < 0.09 => Behaviour::Slow(6.0),
        r if r < 0.30 => Behaviour::Healthy,
        _ => world.workers[worker].behaviour,
    };
    world.workers[worker].behaviour = behaviour;
    match world.random() {
        r if r < 0.04 => drop(world.hosts[host].cut.insert(worker)),
        r if r < 0.15 => world.hosts[host].cut.clear(),
        _ => {}
    }
}

/// Another scheduler takes over, with other workers out of reach.
fn succeed(world: &mut World, round: u64, open: &[TestJob]) -> usize {
    let last = world.hosts.len() - 1;
    world.kill(last);
    let cut: BTreeSet<usize> = (0..8).filter(|_| world.random() < 0.1).collect();
    let host = world.add_host_with(round, &cut, true);
    for job in open {
        world.submit(host, Duration::ZERO, job.clone().passed_on_again());
    }
    host
}

#[test]
fn no_task_runs_twice_at_a_time_and_no_refusal_is_untrue() {
    for seed in SEEDS {
        let world = play(seed);
        if let Some(task) = world.twice.first() {
            panic!("seed {seed}: {task} twice\n{}", world.trace_of(task.job));
        }
        let untrue = world.false_refusals();
        assert!(untrue.is_empty(), "seed {seed}: {untrue:?}");
        let open = world.count(|j| !world.answers.contains_key(&j.spec.id));
        assert_eq!(open, 0, "seed {seed}: jobs without an answer");
    }
}
