//! Goodput of one cell under overload: processor time of the jobs that end within their objective.

use std::time::Duration;

use crate::world::{Simulation, TestJob};

/// Request kinds of the supper clubs: number of tasks, mean run time in milliseconds, requests per second.
const KINDS: [(u16, u64, f64); 3] = [(8, 60, 34.4), (4, 900, 6.25), (2, 200, 100.0)];

/// Workers of a cell; each has room for two tasks.
const WORKERS: usize = 58;

/// Time for which requests arrive.
const DURATION: Duration = Duration::from_secs(8);

/// Share of the room of all workers that went to jobs in time while requests for `load` times the room
/// arrived, and the same share for each kind by the work that it asked for.
fn goodput(load: f64, seed: u64) -> (f64, [f64; 3]) {
    let mut sim = Simulation::new(WORKERS, seed);
    let work = |&(tasks, ms, per_s): &(u16, u64, f64)| f64::from(tasks) * ms as f64 / 1e3 * per_s;
    let slots = WORKERS as f64 * 2.0;
    let scale = load * slots / KINDS.iter().map(work).sum::<f64>();
    let mut id = 0;
    for (priority, (tasks, ms, per_s)) in (0..).zip(KINDS) {
        let mut at = Duration::ZERO;
        while at < DURATION {
            id += 1;
            let mean = Duration::from_millis(ms);
            let run_time = mean.mul_f64(0.6 + 0.8 * sim.random());
            let estimate = run_time.mul_f64(0.6 + 0.8 * sim.random());
            let job = TestJob::new(id, tasks, run_time).with_priority(priority);
            let job = job.with_estimate(estimate);
            sim.submit(0, at, job.with_remaining_wait(Duration::from_millis(1_500)));
            at += Duration::from_secs_f64(2.0 * sim.random() / (per_s * scale));
        }
    }
    sim.run_for(DURATION + Duration::from_secs(4));
    let mut done = [0.0; 3];
    let mut asked = [0.0; 3];
    for job in sim.jobs.values() {
        let kind = usize::from(job.spec.priority);
        let work = f64::from(job.spec.steps[0].count) * job.run_time.as_secs_f64();
        asked[kind] += work;
        if sim.is_in_time(job) {
            done[kind] += work;
        }
    }
    let room = slots * DURATION.as_secs_f64();
    let by_kind = [0, 1, 2].map(|kind| done[kind] / asked[kind]);
    (done.iter().sum::<f64>() / room, by_kind)
}

/// Mean over several seeds.
fn mean_goodput(load: f64) -> f64 {
    (1..=3).map(|seed| goodput(load, seed).0).sum::<f64>() / 3.0
}

/// Jobs that were admitted to a long wait ended late, and took the room of others that were refused:
/// at twice the room 0.90 of it went to jobs in time, at full load 0.96.
#[test]
fn goodput_under_overload_is_that_of_full_load() {
    let full = mean_goodput(1.0);
    for load in [1.3, 2.0] {
        let overload = mean_goodput(load);
        assert!(overload >= 0.99 * full, "load {load}: {overload}, {full}");
    }
}

/// No kind is refused altogether, and the more urgent one is served better.
#[test]
fn overload_leaves_a_share_to_each_kind() {
    let (_, [first, second, last]) = goodput(1.5, 1);
    assert!(first > second && first > last, "{first} {second} {last}");
    assert!(second > 0.25 && last > 0.25, "{second} {last}");
}
