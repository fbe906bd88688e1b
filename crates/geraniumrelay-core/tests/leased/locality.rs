//! Waits for places near the data of tasks: a hot rack among several ones.

use std::time::Duration;

use geraniumrelay_core::configs::locality::{LocalityConfig, NearWaitPolicy};
use geraniumrelay_core::leased::locality::{Decision, Inputs, decide};
use geraniumrelay_core::leased::{JobId, JobOutcome};

use crate::worker::Behaviour;
use crate::world::{Simulation, TestJob};

const MS: Duration = Duration::from_millis(1);

/// Kinds of jobs: number of tasks, mean run time in milliseconds, and relative frequency.
const KINDS: [(u16, u64, f64); 3] = [(8, 50, 34.0), (2, 200, 100.0), (4, 900, 6.0)];

/// Racks of the cell; the first one is hot.
const RACKS: [&str; 5] = ["r-0", "r-1", "r-2", "r-3", "r-4"];

/// Workers of the cell; each has room for two tasks.
const WORKERS: usize = 40;

/// Load of the jobs that prefer another rack or none, as a share of the other racks.
const OTHER_LOAD: f64 = 0.4;

/// Time for which jobs arrive.
const DURATION: Duration = Duration::from_secs(10);

/// A policy for tasks with a preferred rack.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Policy {
    /// The scheduler prefers near workers and knows no run time far from the data.
    Unaware,
    /// Delay scheduling.
    Fixed(Duration),
    Expected,
}

/// A load and the state of the near workers.
#[derive(Debug, Clone, Copy)]
struct Load {
    /// Work of the jobs that prefer the hot rack, as a share of its capacity.
    hot: f64,
    remote_factor: f64,
    fault: Fault,
}

#[derive(Debug, Clone, Copy, PartialEq)]
enum Fault {
    None,
    /// Half of the hot rack is out of reach from 2 s on.
    Lost,
    /// Half of the hot rack takes 6 times as long.
    Slow,
    /// Tasks on half of the hot rack fail, which pauses it.
    Paused,
}

/// Result of one replay.
#[derive(Debug, Clone, Copy)]
struct Outcome {
    /// Share of all jobs that ended within their objective.
    in_time: f64,
    /// The same of the jobs that prefer the hot rack.
    hot_in_time: f64,
    /// Mean response time of the completed jobs that prefer the hot rack, in milliseconds.
    hot_response_ms: f64,
    /// Share of the tasks with a preferred rack that started there.
    near: f64,
}

fn simulation(policy: Policy, remote_factor: f64, seed: u64) -> Simulation {
    let mut sim = Simulation::new(WORKERS, seed);
    sim.set_racks(&RACKS);
    let locality = &mut sim.cfg.leased.locality;
    match policy {
        Policy::Unaware => {}
        Policy::Fixed(wait) => {
            locality.remote_factor = remote_factor;
            locality.policy = NearWaitPolicy::FixedWait(wait);
        }
        Policy::Expected => locality.remote_factor = remote_factor,
    }
    sim.run_for(100 * MS);
    sim
}

/// Submits jobs that prefer `rack` for `load` places, with ids from `first_id` on.
fn submit_mix(
    sim: &mut Simulation,
    (load, rack, remote_factor): (f64, Option<&str>, f64),
    first_id: u64,
) {
    let work = |&(tasks, ms, share): &(u16, u64, f64)| f64::from(tasks) * ms as f64 / 1e3 * share;
    let scale = load / KINDS.iter().map(work).sum::<f64>();
    let mut id = first_id;
    for (priority, (tasks, ms, per_s)) in (0..).zip(KINDS) {
        let mut at = Duration::ZERO;
        loop {
            at += Duration::from_secs_f64(-(1.0 - sim.random()).ln() / (per_s * scale));
            if at >= DURATION {
                break;
            }
            let run_time = Duration::from_millis(ms).mul_f64(0.6 + 0.8 * sim.random());
            let estimate = run_time.mul_f64(0.6 + 0.8 * sim.random());
            let job = TestJob::new(id, tasks, run_time)
                .with_priority(priority)
                .with_estimate(estimate)
                .with_remaining_wait(1_500 * MS);
            let job = match rack {
                Some(rack) => job.with_preferred_rack(rack, remote_factor),
                None => job,
            };
            sim.submit(0, at, job);
            id += 1;
        }
    }
}

fn replay(policy: Policy, load: Load, seed: u64) -> Outcome {
    let mut sim = simulation(policy, load.remote_factor, seed);
    let places = (WORKERS / RACKS.len() * 2) as f64;
    submit_mix(
        &mut sim,
        (load.hot * places, Some(RACKS[0]), load.remote_factor),
        1,
    );
    let other = OTHER_LOAD * places;
    for (rack, first_id) in RACKS[1..3].iter().zip([100_000, 200_000]) {
        let mix = (other, Some(*rack), load.remote_factor);
        submit_mix(&mut sim, mix, first_id);
    }
    submit_mix(&mut sim, (2.0 * other, None, 1.0), 300_000);
    let half: Vec<usize> = (0..WORKERS).step_by(2 * RACKS.len()).collect();
    for &worker in &half {
        match load.fault {
            Fault::None | Fault::Lost => {}
            Fault::Slow => sim.workers[worker].behaviour = Behaviour::Slow(6.0),
            Fault::Paused => sim.workers[worker].behaviour = Behaviour::Failing,
        }
    }
    sim.run_for(Duration::from_secs(2));
    if load.fault == Fault::Lost {
        sim.hosts[0].unreachable_workers = half.into_iter().collect();
    }
    sim.run_for(DURATION + Duration::from_secs(2));
    assert!(sim.concurrent_runs.is_empty(), "{:?}", sim.concurrent_runs);
    assert!(sim.false_refusals().is_empty());
    outcome(&sim)
}

fn outcome(sim: &Simulation) -> Outcome {
    let is_hot = |j: &TestJob| j.spec.steps[0].preferred_rack.as_deref() == Some(RACKS[0]);
    let hot = sim.jobs.values().filter(|j| is_hot(j));
    let responses = hot.filter_map(|j| {
        let &(outcome, at) = sim.answers.get(&j.spec.id)?;
        let took = (at - j.submitted_at).as_secs_f64() * 1e3;
        (outcome == JobOutcome::Completed).then_some(took)
    });
    let responses: Vec<f64> = responses.collect();
    let (near, far) = sim.preferred_starts;
    Outcome {
        in_time: sim.count_in_time(|_| true) as f64 / sim.jobs.len() as f64,
        hot_in_time: sim.count_in_time(is_hot) as f64 / sim.count_jobs(is_hot) as f64,
        hot_response_ms: responses.iter().sum::<f64>() / responses.len().max(1) as f64,
        near: near as f64 / (near + far).max(1) as f64,
    }
}

/// Mean of three replays.
fn mean(policy: Policy, load: Load) -> Outcome {
    let runs: Vec<Outcome> = (1..=3).map(|seed| replay(policy, load, seed)).collect();
    let mean = |f: fn(&Outcome) -> f64| runs.iter().map(f).sum::<f64>() / runs.len() as f64;
    Outcome {
        in_time: mean(|o| o.in_time),
        hot_in_time: mean(|o| o.hot_in_time),
        hot_response_ms: mean(|o| o.hot_response_ms),
        near: mean(|o| o.near),
    }
}

/// Replays one load with the three policies and asserts that the expected-time rule brings at least `share` of the jobs
/// of the hot rack to an end in time, more than the others, and no later on average than without a wait.
fn assert_expected_time_is_best(load: Load, share: f64) {
    let unaware = mean(Policy::Unaware, load);
    let fixed = mean(Policy::Fixed(100 * MS), load);
    let expected = mean(Policy::Expected, load);
    println!("{load:?}\n  no wait {unaware:.3?}\n  fixed {fixed:.3?}\n  expected {expected:.3?}");
    assert!(expected.hot_in_time >= share, "{expected:?}");
    assert!(expected.hot_in_time > unaware.hot_in_time, "{unaware:?}");
    assert!(expected.hot_in_time > fixed.hot_in_time, "{fixed:?}");
    assert!(expected.in_time > unaware.in_time.max(fixed.in_time));
    assert!(expected.hot_response_ms <= unaware.hot_response_ms);
}

/// Tasks that found the hot rack full for some milliseconds ran elsewhere and missed their objective by that.
#[test]
fn a_hot_rack_at_half_its_capacity() {
    let load = Load {
        hot: 0.5,
        remote_factor: 2.0,
        fault: Fault::None,
    };
    assert_expected_time_is_best(load, 0.95);
}

#[test]
fn a_hot_rack_near_its_capacity() {
    let load = Load {
        hot: 0.9,
        remote_factor: 2.0,
        fault: Fault::None,
    };
    assert_expected_time_is_best(load, 0.93);
}

/// What exceeds the capacity of the rack must go elsewhere before it is late.
#[test]
fn a_hot_rack_above_its_capacity() {
    let load = Load {
        hot: 1.2,
        remote_factor: 2.0,
        fault: Fault::None,
    };
    assert_expected_time_is_best(load, 0.85);
}

#[test]
fn lost_near_workers() {
    let load = Load {
        hot: 0.5,
        remote_factor: 2.0,
        fault: Fault::Lost,
    };
    assert_expected_time_is_best(load, 0.84);
}

#[test]
fn slow_near_workers() {
    let load = Load {
        hot: 0.5,
        remote_factor: 2.0,
        fault: Fault::Slow,
    };
    assert_expected_time_is_best(load, 0.72);
}

#[test]
fn paused_near_workers() {
    let load = Load {
        hot: 0.5,
        remote_factor: 2.0,
        fault: Fault::Paused,
    };
    assert_expected_time_is_best(load, 0.79);
}

/// Where far runs are cheap, a wait must not cost more than it saves.
#[test]
fn a_small_remote_factor() {
    let load = Load {
        hot: 1.2,
        remote_factor: 1.5,
        fault: Fault::None,
    };
    let unaware = mean(Policy::Unaware, load);
    let expected = mean(Policy::Expected, load);
    println!("{load:?}\n  no wait {unaware:.3?}\n  expected {expected:.3?}");
    assert!(expected.hot_in_time >= unaware.hot_in_time);
    assert!(expected.hot_response_ms <= 1.02 * unaware.hot_response_ms);
}

/// Without a wait, most jobs missed their objective, and their run times took the capacity of the others.
#[test]
fn a_large_remote_factor() {
    let load = Load {
        hot: 0.9,
        remote_factor: 3.0,
        fault: Fault::None,
    };
    let unaware = mean(Policy::Unaware, load);
    let expected = mean(Policy::Expected, load);
    println!("{load:?}\n  no wait {unaware:.3?}\n  expected {expected:.3?}");
    assert!(expected.hot_in_time >= 0.84, "{expected:?}");
    assert!(expected.hot_in_time >= unaware.hot_in_time + 0.3);
    assert!(expected.hot_response_ms <= 0.8 * unaware.hot_response_ms);
}

/// A wait ends so early that the far run still meets the objective, whatever the inputs.
#[test]
fn no_wait_lasts_past_the_latest_far_start() {
    let mut sim = Simulation::new(1, 1);
    let cfg = LocalityConfig::default();
    let now = sim.now;
    let mut waits = 0;
    for _ in 0..20_000 {
        let mut time = |max: f64| Duration::from_secs_f64(max * sim.random());
        let run_near = time(1.0);
        let inputs = Inputs {
            now,
            arrived: now,
            near_at: (time(1.0) > 100 * MS).then(|| now + time(1.0)),
            ahead: 0,
            run_near,
            run_far: run_near + time(2.0),
            latest_end: now + time(3.0),
            deadline: now + Duration::from_secs(3),
            is_contended: time(1.0) > 500 * MS,
        };
        let is_met_far = now + inputs.run_far <= inputs.latest_end;
        if let Decision::Wait(until) = decide(&cfg, &inputs) {
            waits += 1;
            assert!(until > now, "{inputs:?}");
            let is_in_time = until + inputs.run_far + cfg.start_margin <= inputs.latest_end;
            assert!(!is_met_far || is_in_time, "{inputs:?}");
        }
    }
    assert!(waits > 1_000, "{waits}");
}

/// Fills the hot rack with runs that take much longer than estimated.
fn fill_hot_rack(sim: &mut Simulation, run_time: Duration, estimate: Duration) {
    let places = u16::try_from(WORKERS / RACKS.len() * 2).unwrap();
    let mut job = TestJob::new(900_000, places, run_time).with_estimate(estimate);
    job.spec.steps[0].required_label = Some(RACKS[0].into());
    sim.submit(0, MS, job);
    sim.run_for(20 * MS);
}

/// Near runs may take longer than expected: the wait must end while a far run meets the objective.
#[test]
fn a_job_is_in_time_elsewhere_if_the_near_places_do_not_become_free() {
    for ms in [100, 200, 300] {
        let mut sim = simulation(Policy::Expected, 1.5, 1);
        fill_hot_rack(&mut sim, Duration::from_secs(2), 60 * MS);
        let run_time = Duration::from_millis(ms);
        let mut job = TestJob::new(1, 2, run_time).with_preferred_rack(RACKS[0], 1.5);
        job.spec.target_latency = 100 * MS;
        sim.submit(0, MS, job);
        sim.run_for(Duration::from_secs(3));
        assert!(sim.is_in_time(&sim.jobs[&JobId(1)]), "{ms} ms");
        assert_eq!(sim.preferred_starts, (0, 2));
        assert_eq!(sim.near_waits, (vec![JobId(1)], vec![JobId(1)]));
    }
}

/// The slack of a first step is not its own: the steps that follow need their run times.
#[test]
fn a_first_step_leaves_the_time_of_the_steps_after_it() {
    let mut sim = simulation(Policy::Expected, 1.5, 1);
    fill_hot_rack(&mut sim, Duration::from_secs(2), 60 * MS);
    let mut job = TestJob::new(1, 2, 600 * MS).with_preferred_rack(RACKS[0], 1.5);
    let mut second = job.spec.steps[0].clone();
    second.preferred_rack = None;
    second.after = vec![0];
    job.spec.steps.push(second);
    // The objective is 1,610 ms, and 1,500 ms are needed with the first step elsewhere.
    job.spec.stretch = 1.3;
    job.spec.target_latency = 50 * MS;
    sim.submit(0, MS, job);
    sim.run_for(Duration::from_secs(3));
    assert_eq!(sim.outcome(1), Some(JobOutcome::Completed));
    let took = sim.answers[&JobId(1)].1 - sim.jobs[&JobId(1)].submitted_at;
    assert!(took <= 1_610 * MS, "{took:?}");
    assert_eq!(sim.near_waits.0, vec![JobId(1)]);
}

/// The successor of a scheduler that fails while a job waits counts the time that the job has waited.
#[test]
fn a_wait_is_not_renewed_by_a_takeover() {
    let mut sim = simulation(Policy::Expected, 1.5, 1);
    fill_hot_rack(&mut sim, Duration::from_secs(3), 300 * MS);
    let mut job = TestJob::new(1, 2, Duration::from_secs(1)).with_preferred_rack(RACKS[0], 1.5);
    job.spec.target_latency = Duration::from_secs(1);
    sim.submit(0, MS, job.clone());
    sim.run_for(100 * MS);
    assert_eq!(sim.near_waits.0, vec![JobId(1)]);
    assert!(!sim.start_counts.keys().any(|n| n.job == JobId(1)));
    sim.kill(0);
    let next = sim.add_host(2);
    let running = sim.jobs[&JobId(900_000)].clone().resubmitted();
    sim.submit(next, MS, running);
    job.waited = 100 * MS;
    sim.submit(next, MS, job);
    sim.run_for(Duration::from_secs(4));
    assert_eq!(sim.outcome(1), Some(JobOutcome::Completed));
    let (_, ended_at) = sim.answers[&JobId(1)];
    // The objective is 2.6 s after the arrival.
    let took = ended_at - sim.jobs[&JobId(1)].submitted_at + 100 * MS;
    assert!(took <= 2_600 * MS, "{took:?}");
    assert!(sim.concurrent_runs.is_empty());
}

/// The tasks of one job that wait, and start one after the other, make one line at the begin and one at the end.
#[test]
fn a_job_that_waits_starts_near_its_data() {
    let mut sim = simulation(Policy::Expected, 2.0, 1);
    fill_hot_rack(&mut sim, 60 * MS, 60 * MS);
    let job = TestJob::new(1, 8, 200 * MS).with_preferred_rack(RACKS[0], 2.0);
    sim.submit(0, MS, job);
    sim.run_for(Duration::from_secs(2));
    assert!(sim.is_in_time(&sim.jobs[&JobId(1)]));
    assert_eq!(sim.preferred_starts, (8, 0));
    assert_eq!(sim.near_waits, (vec![JobId(1)], vec![JobId(1)]));
}

/// Jobs that wait for the hot rack must not hold up those behind them, however many they are.
#[test]
fn waiting_jobs_do_not_hold_up_others() {
    let mut sim = simulation(Policy::Expected, 3.0, 1);
    fill_hot_rack(&mut sim, 200 * MS, 200 * MS);
    for id in 1..=30 {
        let job = TestJob::new(id, 1, 200 * MS).with_preferred_rack(RACKS[0], 3.0);
        let mut job = job.with_remaining_wait(Duration::from_secs(4));
        job.spec.target_latency = Duration::from_secs(1);
        sim.submit(0, MS, job);
    }
    let mut other = TestJob::new(100, 2, 100 * MS);
    other.spec.target_latency = Duration::from_secs(2);
    sim.submit(0, 5 * MS, other);
    sim.run_for(40 * MS);
    assert!(sim.near_waits.0.len() > 24, "{}", sim.near_waits.0.len());
    let started = sim.placements.iter().filter(|(n, _)| n.job == JobId(100));
    assert_eq!(started.count(), 2);
}

/// An idle near worker lost against a far one that fits better, or whose clock had been read a moment ago.
#[test]
fn an_idle_near_worker_is_used_before_others() {
    let mut sim = simulation(Policy::Expected, 1.5, 1);
    sim.run_for(Duration::from_secs(3));
    let far = |id, worker: usize| {
        let mut job = TestJob::new(id, 1, Duration::from_secs(1)).with_slack();
        job.spec.steps[0].required_label = Some(RACKS[worker].into());
        job
    };
    for worker in 1..RACKS.len() {
        sim.submit(0, MS, far(100 + worker as u64, worker));
    }
    sim.run_for(100 * MS);
    for id in 1..=4 {
        let job = TestJob::new(id, 4, 50 * MS).with_preferred_rack(RACKS[0], 1.5);
        sim.submit(0, Duration::from_millis(5 * id), job);
    }
    sim.run_for(Duration::from_secs(2));
    assert_eq!(sim.preferred_starts, (16, 0));
}

/// A job was admitted to no wait, as places were free in which it could only be late.
#[test]
fn a_job_that_is_late_elsewhere_is_admitted_by_its_near_places() {
    let submit = |remote_factor, run_time| {
        let mut sim = simulation(Policy::Expected, remote_factor, 1);
        fill_hot_rack(&mut sim, run_time, run_time);
        let mut job = TestJob::new(1, 2, 400 * MS).with_preferred_rack(RACKS[0], remote_factor);
        job.has_alternative = false;
        sim.submit(0, MS, job);
        sim.run_for(5 * MS);
        let is_refused = sim.outcome(1).is_some();
        sim.run_for(Duration::from_secs(3));
        (is_refused, sim.is_in_time(&sim.jobs[&JobId(1)]))
    };
    // Its slack is 300 ms, and the rack is full for longer.
    assert_eq!(submit(3.0, 900 * MS), (true, false));
    assert_eq!(submit(3.0, 150 * MS), (false, true));
    // A run elsewhere is in time.
    assert_eq!(submit(1.5, 900 * MS), (false, true));
}

/// A caller whose job would wait for the rack is sent to the other cell.
#[test]
fn a_job_with_an_alternative_does_not_wait_for_its_rack() {
    let mut sim = simulation(Policy::Expected, 3.0, 1);
    fill_hot_rack(&mut sim, 150 * MS, 150 * MS);
    let mut job = TestJob::new(1, 2, 400 * MS).with_preferred_rack(RACKS[0], 3.0);
    job.has_alternative = true;
    sim.submit(0, MS, job);
    sim.run_for(5 * MS);
    assert!(matches!(sim.outcome(1), Some(JobOutcome::Refused { .. })));
}

/// The rack of the data may be in no cell: the job is served as well as it can be.
#[test]
fn a_job_that_prefers_an_unknown_rack_runs_elsewhere() {
    let mut sim = simulation(Policy::Expected, 3.0, 1);
    let job = TestJob::new(1, 2, 400 * MS).with_preferred_rack("r-9", 3.0);
    sim.submit(0, MS, job);
    sim.run_for(Duration::from_secs(3));
    assert_eq!(sim.outcome(1), Some(JobOutcome::Completed));
    assert!(sim.near_waits.0.is_empty());
}

/// Jobs without a preferred rack are placed as before, whatever the factor.
#[test]
fn jobs_without_a_preferred_rack_are_placed_as_without_the_factor() {
    let placements = |policy, load: f64| {
        let mut sim = simulation(policy, 3.0, 7);
        submit_mix(&mut sim, (load * (WORKERS * 2) as f64, None, 1.0), 1);
        sim.run_for(DURATION + Duration::from_secs(2));
        sim.placements
    };
    for load in [0.5, 1.3] {
        let before = placements(Policy::Unaware, load);
        assert!(before.len() > 1_000);
        assert!(before == placements(Policy::Expected, load), "load {load}");
    }
}
