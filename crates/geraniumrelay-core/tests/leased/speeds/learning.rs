//! What a scheduler learns of the speeds of its workers, logs, and passes on to its successor.

use std::sync::Arc;
use std::time::Duration;

use geraniumrelay_core::leased::LogEvent;

use super::{COUNTED, EQUAL, KINDS, SECOND, UNEQUAL, WORKERS, cell, results, submit_load};
use crate::world::{Simulation, TestJob};

/// Runs the load on a cell for 10 s.
fn learn(sim: &mut Simulation, load: f64) {
    submit_load(sim, 0, 1, load, 10 * SECOND);
    sim.run_for(12 * SECOND);
}

fn label_speeds(sim: &Simulation, host: usize) -> Vec<(Arc<str>, f64)> {
    let scheduler = sim.hosts[host].scheduler.as_ref().unwrap();
    let mut speeds = scheduler.label_speeds();
    speeds.sort_by(|a, b| a.0.cmp(&b.0));
    speeds
}

fn factor(speeds: &[(Arc<str>, f64)], label: &str) -> f64 {
    let found = speeds.iter().find(|(l, _)| **l == *label);
    found.map_or(1.0, |(_, factor)| *factor)
}

/// The factors of the labels have to be the actual ones, apart from a common factor: their geometric mean over the
/// workers is 1. Racks have workers of all kinds, so that their labels say nothing.
#[test]
fn labels_get_the_factors_of_their_workers() {
    for load in [0.2, 0.5, 0.9] {
        let mut sim = cell(UNEQUAL, 1);
        learn(&mut sim, load);
        let speeds = label_speeds(&sim, 0);
        println!("load {load}: {speeds:?}");
        let mean = (2.0 * 0.7_f64.ln() + 1.7_f64.ln()) / 3.0;
        for (actual, label) in [(0.7, "k-new"), (1.7, "k-old")] {
            let expected: f64 = actual / mean.exp();
            let ratio = factor(&speeds, label) / expected;
            assert!((0.9..1.1).contains(&ratio), "load {load}: {speeds:?}");
        }
        assert_eq!(speeds.len(), 2, "{speeds:?}");
    }
}

/// Factors of 0.8, 1.0 and 1.25, as one of the deployments has them, are close to the dead band.
#[test]
fn small_differences_are_found() {
    let kinds = [(0.8, "k-a"), (1.0, "k-b"), (1.25, "k-c")];
    let mut sim = cell(kinds, 1);
    learn(&mut sim, 0.6);
    let speeds = label_speeds(&sim, 0);
    let is_near = |label, expected| (0.93..1.07).contains(&(factor(&speeds, label) / expected));
    assert!(is_near("k-a", 0.8) && is_near("k-c", 1.25), "{speeds:?}");
    assert_eq!(speeds.len(), 2, "{speeds:?}");
}

/// Run times that differ by chance, and tasks that take seven times as long, must not pass for differences between
/// workers: decisions on equal workers would change.
#[test]
fn equal_workers_get_no_factors() {
    for (seed, load) in [(1, 0.1), (2, 0.3), (3, 0.6), (4, 0.9), (5, 1.5)] {
        let mut sim = cell(EQUAL, seed);
        let mut id = 1;
        for (priority, (tasks, ms, per_s)) in (0..).zip(KINDS) {
            let mut after = Duration::ZERO;
            let mean = Duration::from_millis(ms);
            while after < 20 * SECOND {
                let run_time = mean.mul_f64(0.4 + 1.2 * sim.random());
                let estimate = run_time.mul_f64(0.6 + 0.8 * sim.random());
                let job = TestJob::new(id, tasks, run_time)
                    .with_priority(priority)
                    .with_estimate(estimate)
                    .with_remaining_wait(Duration::from_millis(1_500))
                    .with_deviations(0.15, 0.03);
                sim.submit(0, after, job);
                id += 1;
                after += Duration::from_secs_f64(2.0 * sim.random() / (per_s * 2.0 * load));
            }
        }
        sim.run_for(22 * SECOND);
        assert!(sim.speed_events.is_empty(), "{:?}", sim.speed_events);
    }
}

/// Jobs with one task are compared with the estimate of their queue only.
#[test]
fn jobs_with_one_task_tell_the_speeds() {
    let mut sim = cell(UNEQUAL, 1);
    for id in 1..4_000 {
        let run_time = Duration::from_millis(200).mul_f64(0.4 + 1.2 * sim.random());
        let estimate = run_time.mul_f64(0.6 + 0.8 * sim.random());
        let job = TestJob::new(id, 1, run_time).with_estimate(estimate);
        sim.submit(
            0,
            Duration::from_millis(5) * u32::try_from(id).unwrap(),
            job,
        );
    }
    sim.run_for(22 * SECOND);
    let speeds = label_speeds(&sim, 0);
    println!("{speeds:?}");
    assert!(factor(&speeds, "k-new") < 0.85, "{speeds:?}");
    assert!(factor(&speeds, "k-old") > 1.4, "{speeds:?}");
}

/// A successor that learns the factors from nothing would stop and misplace long runs meanwhile.
#[test]
fn a_takeover_keeps_the_factors_of_labels() {
    let mut sim = cell(UNEQUAL, 1);
    learn(&mut sim, 0.5);
    let before = label_speeds(&sim, 0);
    sim.kill(0);
    let host = sim.add_host(2);
    let scheduler = sim.hosts[host].scheduler.take().unwrap();
    sim.hosts[host].scheduler = Some(scheduler.with_speeds(&before));
    sim.run_for(Duration::from_millis(30));
    let after = label_speeds(&sim, host);
    for label in ["k-new", "k-old"] {
        let ratio = factor(&after, label) / factor(&before, label);
        assert!((0.95..1.05).contains(&ratio), "{before:?} {after:?}");
    }
    let placed = sim.placements.len();
    submit_load(&mut sim, host, COUNTED, 0.3, SECOND);
    sim.run_for(4 * SECOND);
    let results = results(&sim, COUNTED);
    assert_eq!((results.late_long, results.stops), (0, 0), "{results:?}");
    let placements = &sim.placements[placed..];
    let on_slow = placements.iter().filter(|(_, w)| w % 3 == 2).count();
    assert!(on_slow * 10 < placements.len(), "{on_slow}");
}

/// One line for each of hundreds of workers that are found to differ at a time would flood the log.
#[test]
fn log_lines_on_workers_are_few() {
    let mut sim = cell(UNEQUAL, 1);
    for worker in 0..WORKERS {
        sim.workers[worker].labels.clear();
        sim.announce_worker(0, worker);
    }
    learn(&mut sim, 0.7);
    let mut named = 0;
    let mut all = 0;
    for event in &sim.speed_events {
        let LogEvent::WorkerSpeedsChanged {
            workers, others, ..
        } = event
        else {
            panic!("{event:?}");
        };
        assert!(workers.len() <= 4);
        named = named.max(workers.len());
        all += workers.len() + others;
    }
    println!("{} lines on {all} changes", sim.speed_events.len());
    assert!(all >= WORKERS / 2, "{all}");
    assert!(sim.speed_events.len() <= 60, "{}", sim.speed_events.len());
}
