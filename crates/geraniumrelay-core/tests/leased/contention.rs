//! Bursts of one queue beside the usual demand of the others, in one cell.
//!
//! Load pattern: the kinds of jobs of the deployment in which callers compete for too little capacity, at 0.9 of the
//! capacity, with a burst of 2.6 times the usual traffic of one kind or of all kinds.

use std::collections::BTreeSet;
use std::time::Duration;

use geraniumrelay_core::configs::contention::ContentionConfig;
use geraniumrelay_core::leased::contention::{Demand, retry_after, shares};
use geraniumrelay_core::leased::{JobId, JobOutcome, RefusalReason};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use crate::world::{Simulation, TestJob};

/// Tasks of a job, mean run time in milliseconds and jobs per second, by priority. The frequencies give the kinds 18 %,
/// 52 % and 29 % of the work.
const KINDS: [(u16, u64, f64); 3] = [(8, 50, 34.4), (2, 200, 100.0), (4, 900, 6.25)];

/// Workers of a cell; each has room for two tasks.
const WORKERS: usize = 58;

/// Processor of a task, in thousandths of a core: half a worker.
const TASK_CPU: u64 = 32_000;

/// Usual work, as a share of the capacity.
const USUAL_LOAD: f64 = 0.9;

/// Traffic of a kind in a burst, as a multiple of its usual traffic.
const BURST: f64 = 2.6;

/// Arrival times of the burst.
const BURST_FROM: Duration = Duration::from_secs(6);
const BURST_UNTIL: Duration = Duration::from_secs(10);

/// Seeds of the simulations of one figure.
const SEEDS: std::ops::RangeInclusive<u64> = 1..=4;

/// End of the arrivals.
const UNTIL: Duration = Duration::from_secs(11);

/// Simulates a load, as a share of the capacity, with a burst of the kinds in `burst`. The arrivals of a kind do not depend on the bursts of
/// the others.
fn simulate(load: f64, burst: &[usize], seed: u64) -> Simulation {
    let mut sim = Simulation::new(WORKERS, seed);
    let work = |&(tasks, ms, per_s): &(u16, u64, f64)| f64::from(tasks) * ms as f64 / 1e3 * per_s;
    let slots = WORKERS as f64 * 2.0;
    let scale = load * slots / KINDS.iter().map(work).sum::<f64>();
    for (kind, (tasks, ms, per_s)) in KINDS.into_iter().enumerate() {
        let mut rng = StdRng::seed_from_u64(seed * 10 + kind as u64);
        let mut id = 1_000_000 * (kind as u64 + 1);
        let mut at = Duration::ZERO;
        while at < UNTIL {
            id += 1;
            let run_time = Duration::from_millis(ms).mul_f64(rng.random_range(0.3..1.7));
            let estimate = run_time.mul_f64(rng.random_range(0.6..1.4));
            let priority = u8::try_from(kind).unwrap();
            let mut job = TestJob::new(id, tasks, run_time).with_priority(priority);
            job.spec.steps[0].size.cpu_milli = TASK_CPU;
            let job = job.with_estimate(estimate);
            sim.submit(0, at, job.with_remaining_wait(Duration::from_millis(1_500)));
            let is_burst = burst.contains(&kind) && (BURST_FROM..BURST_UNTIL).contains(&at);
            let factor = if is_burst { BURST } else { 1.0 };
            at += Duration::from_secs_f64(rng.random_range(0.0..2.0) / (per_s * scale * factor));
        }
    }
    sim.run_for(UNTIL + Duration::from_secs(4));
    sim
}

/// What became of the jobs that arrived in a part of the burst, as means over several seeds.
#[derive(Debug, Clone, Copy)]
struct Figures {
    /// Share of the jobs of each kind that were completed within their objective.
    in_time: [f64; 3],
    /// Their work, as a share of the capacity.
    work: [f64; 3],
}

impl Figures {
    fn goodput(&self) -> f64 {
        self.work.iter().sum()
    }
}

/// Figures of the jobs that arrived from `from` until the end of the burst.
fn figures(sims: &[Simulation], from: Duration) -> Figures {
    let count = sims.len() as f64;
    let capacity = WORKERS as f64 * 2.0 * BURST_UNTIL.saturating_sub(from).as_secs_f64() * count;
    let mut figures = Figures {
        in_time: [0.0; 3],
        work: [0.0; 3],
    };
    for sim in sims {
        let is_counted = |j: &TestJob| {
            let at = j.submitted_at.duration_since(sim.started_at);
            (from..BURST_UNTIL).contains(&at)
        };
        for kind in 0..3 {
            let is_of_kind = |j: &TestJob| usize::from(j.spec.priority) == kind && is_counted(j);
            let share = sim.count_in_time(is_of_kind) as f64 / sim.count_jobs(is_of_kind) as f64;
            figures.in_time[kind] += share / count;
            let done = sim.jobs.values();
            let done = done.filter(|j| is_of_kind(j) && sim.is_in_time(j));
            let work = done.map(|j| f64::from(j.spec.steps[0].count) * j.run_time.as_secs_f64());
            figures.work[kind] += work.sum::<f64>() / capacity;
        }
    }
    figures
}

/// Simulations of the usual load with a burst, one for each seed.
fn bursts(burst: &[usize]) -> Vec<Simulation> {
    SEEDS
        .map(|seed| simulate(USUAL_LOAD, burst, seed))
        .collect()
}

/// Refusals of a kind in the burst, with their retry delays.
fn refusals(sim: &Simulation, kind: usize) -> Vec<(RefusalReason, Duration)> {
    let jobs = sim.jobs.values();
    let jobs = jobs.filter(|j| usize::from(j.spec.priority) == kind);
    let outcomes = jobs.filter_map(|j| sim.outcome(j.spec.id.0));
    let refusals = outcomes.filter_map(|outcome| match outcome {
        JobOutcome::Refused {
            reason,
            retry_after,
        } => Some((reason, retry_after)),
        _ => None,
    });
    refusals.collect()
}

/// A burst of one kind took capacity from the others: with a burst of the kind with priority 1, 26 % of the jobs with
/// priority 2 were in time, and 97 % without a burst. Jobs of the other kinds are admitted as if the excess were not
/// there, but the burst is recognised by a mean of one second, a quarter of the burst: they keep three quarters of
/// what they have without a burst, and nine tenths in the second half.
#[test]
fn a_burst_of_one_kind_leaves_the_others_what_they_had() {
    let half = (BURST_FROM + BURST_UNTIL) / 2;
    let without = bursts(&[]);
    for kind in 0..3 {
        let with = bursts(&[kind]);
        for (from, kept) in [(BURST_FROM, 0.75), (half, 0.9)] {
            let (before, after) = (figures(&without, from), figures(&with, from));
            for other in (0..3).filter(|&other| other != kind) {
                let (had, has) = (before.in_time[other], after.in_time[other]);
                assert!(
                    has >= kept * had,
                    "burst of {kind}, kind {other}, from {from:?}: {has} of {had}"
                );
            }
        }
    }
}

/// A queue above its share pays for its own burst, but is not shut out: no kind gets less than its minimum share, or
/// what it usually has if that is less. The shares waste no capacity either: goodput is at least that of full load.
#[test]
fn a_burst_starves_no_kind_and_wastes_no_capacity() {
    let full: Vec<Simulation> = SEEDS.map(|seed| simulate(1.0, &[], seed)).collect();
    let full = figures(&full, BURST_FROM).goodput();
    for burst in [&[0][..], &[1], &[2], &[0, 1, 2]] {
        let figures = figures(&bursts(burst), BURST_FROM);
        for (kind, work) in figures.work.into_iter().enumerate() {
            assert!(work >= 0.05, "burst of {burst:?}, kind {kind}: {work}");
        }
        let goodput = figures.goodput();
        assert!(
            goodput >= 0.99 * full,
            "burst of {burst:?}: {goodput}, {full}"
        );
    }
}

/// Queues that all exceed their shares are equals, so priority decides. Without that rule, all of them lost the jobs that
/// would have had to wait, and the most urgent kind, whose jobs need eight places at once, the most: 29 % of its
/// jobs were in time, and 49 % of the kind with priority 1.
#[test]
fn in_a_burst_of_all_kinds_the_most_urgent_one_is_served_best() {
    let [first, second, last] = figures(&bursts(&[0, 1, 2]), BURST_FROM).in_time;
    assert!(first > second && first > last, "{first} {second} {last}");
}

/// Callers of a burst that were all told to come back in a second made the next burst.
#[test]
fn retry_delays_are_spread_and_grow_with_the_excess() {
    let (mut above, mut within) = (Vec::new(), Vec::new());
    for sim in bursts(&[1]) {
        let is_overload =
            |&(reason, _): &(RefusalReason, Duration)| reason == RefusalReason::Overload;
        above.extend(
            refusals(&sim, 1)
                .into_iter()
                .filter(is_overload)
                .map(|r| r.1),
        );
        within.extend(
            refusals(&sim, 2)
                .into_iter()
                .filter(is_overload)
                .map(|r| r.1),
        );
    }
    let mean = |delays: &[Duration]| {
        delays.iter().map(Duration::as_secs_f64).sum::<f64>() / delays.len() as f64
    };
    assert!(
        above
            .iter()
            .chain(&within)
            .all(|&d| d >= Duration::from_secs(1))
    );
    assert!(
        mean(&above) > mean(&within),
        "{} {}",
        mean(&above),
        mean(&within)
    );
    let mut by_second = [0; 40];
    for delay in &above {
        // Callers are told whole seconds.
        by_second[delay.as_millis().div_ceil(1_000) as usize] += 1;
    }
    let most = by_second.iter().max().copied().unwrap_or(0);
    assert!(most * 2 <= above.len(), "{by_second:?}");
}

/// A delay of less than a second, or one that shrinks with the excess, brings the burst back at once.
#[test]
fn a_retry_delay_covers_the_wait_and_the_excess() {
    let cfg = ContentionConfig::default();
    let second = Duration::from_secs(1);
    let delay = |wait, excess, id| retry_after(&cfg, wait, excess, JobId(id));
    for id in 0..100 {
        let shortest = delay(Duration::ZERO, 0.0, id);
        assert!((second..=3 * second).contains(&shortest), "{shortest:?}");
        assert!(delay(2 * second, 0.0, id) >= 2 * second);
        assert!(delay(second, 1.6, id) > delay(second, 0.3, id));
        assert!(delay(Duration::MAX, f64::INFINITY, id) <= 3 * cfg.max_retry_after);
    }
    let different: BTreeSet<u128> = (0..100)
        .map(|id| delay(second, 0.0, id).as_millis() / 250)
        .collect();
    assert_eq!(different.len(), 8, "{different:?}");
}

/// One line for each change: a queue near its share must not fill the log.
#[test]
fn a_burst_is_logged_when_it_begins_and_ends() {
    for seed in SEEDS {
        let sim = simulate(USUAL_LOAD, &[1], seed);
        let changes = sim.share_changes.iter().map(|(at, change)| {
            let at = at.duration_since(sim.started_at);
            (at, &*change.queue, change.exceeds)
        });
        let changes: Vec<_> = changes
            .filter(|(_, queue, _)| *queue == "queue-1")
            .collect();
        let &[(begin, _, true), (end, _, false)] = &changes[..] else {
            panic!("seed {seed}: {changes:?}");
        };
        let second = Duration::from_secs(1);
        assert!(begin <= BURST_FROM + second, "seed {seed}: {begin:?}");
        assert!(
            (BURST_UNTIL..BURST_UNTIL + 2 * second).contains(&end),
            "seed {seed}: {end:?}"
        );
        for (_, change) in &sim.share_changes {
            let standing = change.standing;
            assert!(
                !change.exceeds || standing.demand > standing.share,
                "{change:?}"
            );
        }
    }
}

/// Shares must not change decisions where capacity suffices.
#[test]
fn no_queue_exceeds_its_share_without_overload() {
    for sim in bursts(&[]) {
        assert!(sim.share_changes.is_empty(), "{:?}", sim.share_changes);
    }
}

fn demand(recent: f64, usual: f64) -> Demand {
    Demand { recent, usual }
}

fn assert_shares(demands: &[Demand], expected: &[f64]) {
    let shares = shares(100.0, 5.0, demands);
    let is_equal = shares
        .iter()
        .zip(expected)
        .all(|(a, b)| (a - b).abs() < 1e-6);
    assert!(
        is_equal && shares.len() == expected.len(),
        "{shares:?}, {expected:?}"
    );
}

/// Shares that are not max-min fair take from a queue within its share, or give to one that wants less.
#[test]
fn shares_are_max_min_fair() {
    // The demands are below the capacity.
    assert_shares(&[demand(40.0, 10.0), demand(50.0, 70.0)], &[40.0, 50.0]);
    // The second queue is served, and the others share the rest in proportion to their weights.
    let demands = [demand(90.0, 30.0), demand(10.0, 20.0), demand(80.0, 15.0)];
    assert_shares(&demands, &[60.0, 10.0, 30.0]);
    // A burst of 2.6 times the usual demand does not take from the other queues.
    let demands = [demand(20.0, 20.0), demand(130.0, 50.0), demand(20.0, 20.0)];
    assert_shares(&demands, &[20.0, 60.0, 20.0]);
    // A burst of all queues reduces all by the same factor.
    let demands = [demand(52.0, 20.0), demand(130.0, 50.0), demand(78.0, 30.0)];
    assert_shares(&demands, &[20.0, 50.0, 30.0]);
    assert_shares(&[], &[]);
}

/// A new or rare queue has hardly any weight, and would be starved.
#[test]
fn no_share_is_below_the_minimum() {
    assert_shares(
        &[demand(200.0, 90.0), demand(30.0, 0.0)],
        &[100.0 - 100.0 * 5.0 / 95.0, 100.0 * 5.0 / 95.0],
    );
    // It gets no more than it asks for.
    assert_shares(&[demand(200.0, 90.0), demand(2.0, 0.0)], &[98.0, 2.0]);
    // With many queues the minimum share is an equal part.
    let demands = [demand(50.0, 0.0); 40];
    assert_shares(&demands, &[2.5; 40]);
}

/// Properties of the shares for arbitrary demands.
#[test]
fn shares_give_all_capacity_and_no_more() {
    let mut rng = StdRng::seed_from_u64(1);
    for _ in 0..2_000 {
        let count = rng.random_range(1..12);
        let draw =
            |rng: &mut StdRng| demand(rng.random_range(0.0..60.0), rng.random_range(0.0..40.0));
        let demands: Vec<Demand> = (0..count).map(|_| draw(&mut rng)).collect();
        let given = shares(100.0, 5.0, &demands);
        let total: f64 = demands.iter().map(|d| d.recent).sum();
        let sum: f64 = given.iter().sum();
        assert!(
            (sum - total.min(100.0)).abs() < 1e-6,
            "{sum} of {total}: {demands:?}"
        );
        // A queue with an unmet demand has at least as much by weight as any other beyond the minimum share.
        for (a, &share) in demands.iter().zip(&given) {
            assert!(share <= a.recent + 1e-9 && share >= a.recent.min(5.0) - 1e-9);
            if share >= a.recent - 1e-6 {
                continue;
            }
            for (b, &other) in demands
                .iter()
                .zip(&given)
                .filter(|(_, other)| **other > 5.0 + 1e-6)
            {
                let level = share / a.usual.max(5.0);
                assert!(
                    other / b.usual.max(5.0) <= level + 1e-6,
                    "{demands:?}: {given:?}"
                );
            }
        }
    }
}
