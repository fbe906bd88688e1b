//! The worst loads, replayed: how work waits, is refused and is placed.

use std::time::Duration;

use geraniumrelay_core::leased::{Command, JobOutcome};

use crate::worker::Behaviour;
use crate::world::{TestJob, World};

const MS: Duration = Duration::from_millis(1);

/// Mean tasks and run time of the kinds of request: eligibility, ranking, scoring; and their share.
const KINDS: [(u16, u64, f64); 3] = [(8, 60, 34.4), (2, 200, 100.0), (4, 900, 6.25)];

/// Offers the mix of requests of a usual day, `load` times as dense as what the workers can do.
fn offer(world: &mut World, load: f64, d: Duration) {
    let slots: f64 = KINDS
        .iter()
        .map(|&(tasks, ms, share)| f64::from(tasks) * ms as f64 / 1_000.0 * share)
        .sum();
    let room = world.workers.len() as f64 * 2.0;
    let mut at = Duration::ZERO;
    let mut id = 1;
    let total: f64 = KINDS.iter().map(|k| k.2).sum();
    let per_s = total * room * load / slots;
    while at < d {
        let mut pick = world.random() * total;
        let mut priority = 0;
        for (number, kind) in (0..).zip(KINDS) {
            priority = number;
            if pick < kind.2 {
                break;
            }
            pick -= kind.2;
        }
        let (tasks, ms, _) = KINDS[usize::from(priority)];
        let work = Duration::from_secs_f64(ms as f64 / 1_000.0 * (0.6 + 0.8 * world.random()));
        let estimate = work.mul_f64(0.6 + 0.8 * world.random());
        let job = TestJob::new(id, tasks, work)
            .with_priority(priority)
            .with_estimate(estimate);
        world.submit(0, at, job);
        id += 1;
        at += Duration::from_secs_f64(2.0 * world.random() / per_s);
    }
    world.run_for(d + Duration::from_secs(5));
}

fn assert_rules(world: &World) {
    assert!(world.twice.is_empty(), "{:?}", world.twice);
    assert!(world.false_refusals().is_empty());
    let unanswered = world.count(|j| !world.answers.contains_key(&j.spec.id));
    assert_eq!(unanswered, 0);
}

fn share_in_time(world: &World, priority: Option<u8>) -> f64 {
    let of = |j: &TestJob| priority.is_none_or(|p| j.spec.priority == p);
    world.in_time(of) as f64 / world.count(of) as f64
}

#[test]
fn usual_load_is_served_in_time() {
    let mut world = World::new(48, 1);
    offer(&mut world, 0.6, Duration::from_secs(10));
    assert_rules(&world);
    let share = share_in_time(&world, None);
    assert!(share >= 0.99, "{share}");
}

/// Work that can't be served in time must not make the rest late as well.
#[test]
fn overload_is_refused_and_what_is_admitted_is_in_time() {
    let mut world = World::new(48, 2);
    offer(&mut world, 1.5, Duration::from_secs(10));
    assert_rules(&world);
    let completed = |j: &TestJob| {
        let answer = world.answers.get(&j.spec.id);
        answer.is_some_and(|a| a.0 == JobOutcome::Completed)
    };
    let served = world.count(completed) as f64;
    let in_time = world.in_time(|_| true) as f64;
    assert!(in_time / served >= 0.9, "{in_time} of {served}");
    let share = share_in_time(&world, None);
    assert!(share >= 0.6, "{share}");
}

/// Refusals come while callers can still turn elsewhere.
#[test]
fn refusals_under_overload_come_at_once() {
    let mut world = World::new(48, 3);
    offer(&mut world, 1.5, Duration::from_secs(10));
    let refusals: Vec<Duration> = world
        .answers
        .iter()
        .filter(|(_, a)| matches!(a.0, JobOutcome::Refused { .. }))
        .map(|(id, a)| a.1 - world.jobs[id].arrived)
        .collect();
    let quick = refusals.iter().filter(|&&d| d <= 40 * MS).count();
    assert!(!refusals.is_empty());
    assert!(
        quick * 10 >= refusals.len() * 6,
        "{quick} of {}",
        refusals.len()
    );
}

/// Jobs of the lowest priority have the longest slack, not none.
#[test]
fn overload_starves_no_kind() {
    let mut world = World::new(48, 4);
    offer(&mut world, 1.3, Duration::from_secs(10));
    for priority in 0..3 {
        let share = share_in_time(&world, Some(priority));
        assert!(share >= 0.4, "priority {priority}: {share}");
    }
}

/// Each order and each look may go unanswered without the workers being at fault.
#[test]
fn lost_answers_set_no_worker_aside() {
    let mut world = World::new(48, 5);
    world.lost_answers = 0.06;
    offer(&mut world, 0.6, Duration::from_secs(10));
    assert_rules(&world);
    let share = share_in_time(&world, None);
    assert!(share >= 0.9, "{share}");
}

#[test]
fn late_orders_run_nothing_twice() {
    let mut world = World::new(48, 6);
    world.late_orders = 0.06;
    offer(&mut world, 0.6, Duration::from_secs(10));
    assert_rules(&world);
    let share = share_in_time(&world, None);
    assert!(share >= 0.7, "{share}");
}

/// A worker that fails at once is always free.
#[test]
fn failing_workers_do_not_draw_the_load() {
    let mut world = World::new(48, 7);
    for worker in world.workers.iter_mut().take(4) {
        worker.behaviour = Behaviour::Failing;
    }
    offer(&mut world, 0.6, Duration::from_secs(10));
    assert_rules(&world);
    let share = share_in_time(&world, None);
    assert!(share >= 0.95, "{share}");
}

#[test]
fn tasks_that_stand_still_run_again_elsewhere() {
    let mut world = World::new(48, 8);
    for worker in world.workers.iter_mut().take(4) {
        worker.behaviour = Behaviour::Hanging;
    }
    offer(&mut world, 0.6, Duration::from_secs(10));
    assert_rules(&world);
    let share = share_in_time(&world, None);
    assert!(share >= 0.9, "{share}");
}

#[test]
fn slow_workers_are_left_alone() {
    let mut world = World::new(48, 9);
    for worker in world.workers.iter_mut().take(8) {
        worker.behaviour = Behaviour::Slow(6.5);
    }
    offer(&mut world, 0.6, Duration::from_secs(10));
    assert_rules(&world);
    let share = share_in_time(&world, None);
    assert!(share >= 0.9, "{share}");
}

#[test]
fn dark_workers_cost_little_more_than_their_share() {
    let mut world = World::new(48, 10);
    world.hosts[0].cut = (0..6).collect();
    offer(&mut world, 0.6, Duration::from_secs(10));
    assert_rules(&world);
    let share = share_in_time(&world, None);
    assert!(share >= 0.95, "{share}");
}

/// All entry VMs were without power. The jobs that came since have waited for the first scheduler,
/// most of them for longer than they may, and all workers are free.
#[test]
fn jobs_that_have_waited_for_a_scheduler_are_served_while_there_is_room() {
    let mut world = World::new(48, 1);
    world.kill(0);
    let host = world.add_host(2);
    for (number, kind) in (0..40).zip([0, 1, 1, 2].into_iter().cycle()) {
        let (tasks, ms, _) = KINDS[kind];
        let mut job = TestJob::new(number + 1, tasks.min(3), Duration::from_millis(ms));
        job.waited = Duration::from_millis(10 * number);
        job.remaining_wait = Duration::from_millis(1_500).saturating_sub(job.waited);
        world.submit(host, Duration::ZERO, job);
    }
    // No worker has answered the new scheduler yet.
    world.run_for(Duration::ZERO);
    world.tell(host, Command::Tick);
    world.run_for(Duration::from_secs(5));
    assert_rules(&world);
    let done = |j: &&TestJob| world.outcome(j.spec.id.0) == Some(JobOutcome::Completed);
    let done = world.jobs.values().filter(done).count();
    // 40 jobs of about 100 tasks, for 96 places.
    assert!(done >= 36, "{done} of 40");
}
