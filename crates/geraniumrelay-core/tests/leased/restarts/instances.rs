//! Messages of another instance than the one that has the runs.

use std::collections::BTreeSet;
use std::time::Duration;

use geraniumrelay_core::leased::JobId;

use super::{
    Case, MS, assert_all_completed, assert_each_task_ran_once_at_a_time, check, run_count, small,
    start_on_first_worker,
};
use crate::world::Simulation;

/// The order to start a task reaches a new instance that its scheduler does not know yet.
#[test]
fn a_run_that_arrived_before_the_entry_of_its_instance_does_not_count_as_ended() {
    check(|case| {
        let mut sim = case.simulation();
        sim.restart_worker(0, case.clock_step_ms);
        start_on_first_worker(&mut sim, case.job(1, 2, 500 * MS));
        sim.run_for(100 * MS);
        sim.announce_worker(0, 0);
        sim.run_for(Duration::from_secs(3));
        sim
    });
}

/// The same while the order is unanswered.
#[test]
fn an_unanswered_start_order_to_a_new_instance_does_not_count_as_ended() {
    check(|case| {
        let mut sim = case.simulation();
        sim.restart_worker(0, case.clock_step_ms);
        sim.reply_delays.insert(0, 100 * MS);
        start_on_first_worker(&mut sim, case.job(1, 2, 500 * MS));
        sim.reply_delays.clear();
        sim.run_for(10 * MS);
        sim.announce_worker(0, 0);
        sim.run_for(Duration::from_secs(4));
        sim
    });
}

/// The same where the reply to the first poll names the new instance.
#[test]
fn a_run_that_arrived_before_the_report_of_its_instance_does_not_count_as_ended() {
    check(|case| {
        let mut sim = case.simulation();
        sim.restart_worker(0, case.clock_step_ms);
        start_on_first_worker(&mut sim, case.job(1, 2, 500 * MS));
        sim.run_for(Duration::from_secs(3));
        sim
    });
}

/// A scheduler reads entries later than the replies to its polls.
#[test]
fn a_late_entry_of_a_former_instance_ends_no_run() {
    check(|case| {
        let mut sim = case.simulation();
        let former = sim.worker_entry(0);
        sim.restart_worker(0, case.clock_step_ms);
        sim.announce_worker(0, 0);
        sim.run_for(50 * MS);
        start_on_first_worker(&mut sim, case.job(1, 2, 500 * MS));
        sim.deliver_entry(0, 100 * MS, former);
        sim.run_for(150 * MS);
        sim.announce_worker(0, 0);
        sim.run_for(Duration::from_secs(3));
        sim
    });
}

/// No entry has told of the new instance yet.
#[test]
fn an_entry_of_the_former_instance_after_a_report_of_the_next_ends_no_run() {
    check(|case| {
        let mut sim = case.simulation();
        let former = sim.worker_entry(0);
        sim.restart_worker(0, case.clock_step_ms);
        start_on_first_worker(&mut sim, case.job(1, 1, 100 * MS));
        sim.run_for(300 * MS);
        start_on_first_worker(&mut sim, case.job(2, 2, 500 * MS));
        sim.deliver_entry(0, 100 * MS, former);
        sim.run_for(150 * MS);
        sim.announce_worker(0, 0);
        sim.run_for(Duration::from_secs(3));
        sim
    });
}

/// The entry of the next instance overtakes the reply to a poll.
#[test]
fn a_late_report_of_a_former_instance_ends_no_run() {
    check(|case| {
        let mut sim = case.simulation();
        start_on_first_worker(&mut sim, small(case.job(1, 1, 100 * MS)));
        start_on_first_worker(&mut sim, small(case.job(2, 1, 600 * MS)));
        // Replies of the former instance are slow from now on.
        sim.reply_delays.insert(0, 50 * MS);
        sim.run_for(20 * MS);
        while run_count(&sim, 0) == 2 {
            sim.run_for(MS / 10);
        }
        sim.run_for(2 * MS);
        sim.reply_delays.clear();
        sim.restart_worker(0, case.clock_step_ms);
        sim.announce_worker(0, 0);
        sim.run_for(5 * MS);
        start_on_first_worker(&mut sim, case.job(3, 2, 500 * MS));
        sim.run_for(Duration::from_secs(3));
        sim
    });
}

/// Another worker had the address when the first order arrived there.
#[test]
fn a_late_refusal_of_a_start_by_another_instance_ends_no_other_run() {
    check(|case| {
        let mut sim = case.simulation();
        sim.workers[0].is_replaced = true;
        sim.reply_delays.insert(0, 40 * MS);
        sim.submit(0, MS, case.job(1, 1, 300 * MS));
        let is_sent = |sim: &Simulation| sim.trace.iter().any(|l| l.contains("OtherInstance"));
        while !is_sent(&sim) {
            sim.run_for(MS / 10);
        }
        sim.restart_worker(0, case.clock_step_ms);
        sim.reply_delays.clear();
        start_on_first_worker(&mut sim, case.job(2, 1, 600 * MS));
        sim.run_for(100 * MS);
        sim.announce_worker(0, 0);
        sim.run_for(Duration::from_secs(3));
        sim
    });
}

#[test]
fn a_late_refusal_of_a_poll_by_another_instance_ends_no_run() {
    check(|case| {
        let mut sim = case.simulation();
        sim.restart_worker(0, case.clock_step_ms);
        sim.workers[0].is_replaced = true;
        sim.reply_delays.insert(0, 50 * MS);
        // The poll that this entry causes is refused, and the refusal is slow.
        sim.announce_worker(0, 0);
        sim.run_for(MS);
        sim.reply_delays.clear();
        sim.restart_worker(0, case.clock_step_ms);
        sim.announce_worker(0, 0);
        sim.run_for(5 * MS);
        start_on_first_worker(&mut sim, case.job(1, 2, 500 * MS));
        sim.run_for(Duration::from_secs(3));
        sim
    });
}

/// An entry may lack the start of its instance.
#[test]
fn an_entry_that_names_its_instance_only_later_ends_no_run() {
    check(|case| {
        let mut sim = case.simulation();
        let mut entry = sim.worker_entry(0);
        entry.instance_started_unix_ms = None;
        sim.deliver_entry(0, Duration::ZERO, entry);
        start_on_first_worker(&mut sim, case.job(1, 2, 500 * MS));
        sim.run_for(100 * MS);
        sim.announce_worker(0, 0);
        sim.run_for(Duration::from_secs(3));
        sim
    });
}

/// The first copy of the order is executed and its reply is lost; then the worker follows the
/// scheduler on the other side of a partition.
#[test]
fn a_run_whose_second_start_order_is_fenced_does_not_count_as_never_started() {
    let case = Case {
        is_durable: false,
        clock_step_ms: 0,
    };
    let mut sim = case.simulation();
    sim.workers_with_resent_starts.insert(0);
    start_on_first_worker(&mut sim, case.job(1, 1, 500 * MS));
    sim.add_host_with(2, &BTreeSet::from([1, 2]), true);
    sim.run_for(Duration::from_secs(4));
    assert_each_task_ran_once_at_a_time(&sim, "fenced second copy");
    assert_all_completed(&sim, "fenced second copy");
}

/// Asserts that the tasks of a job have started again within `limit` of the restart.
fn assert_started_again(sim: &mut Simulation, limit: Duration) {
    sim.run_for(limit);
    let counts = sim.start_counts.iter();
    let counts: Vec<_> = counts.filter(|(t, _)| t.job == JobId(1)).collect();
    assert!(
        counts.len() == 2 && counts.iter().all(|c| *c.1 == 2),
        "starts: {counts:?}\n{}",
        sim.trace.join("\n")
    );
}

#[test]
fn tasks_of_a_restarted_worker_start_again_soon_after_its_entry_arrives() {
    check(|case| {
        let mut sim = case.simulation();
        start_on_first_worker(&mut sim, case.job(1, 2, 600 * MS));
        sim.run_for(100 * MS);
        sim.restart_worker(0, case.clock_step_ms);
        sim.run_for(50 * MS);
        sim.announce_worker(0, 0);
        assert_started_again(&mut sim, 200 * MS);
        sim.run_for(Duration::from_secs(3));
        sim
    });
}

#[test]
fn tasks_of_a_restarted_worker_start_again_soon_after_its_first_report() {
    check(|case| {
        let mut sim = case.simulation();
        start_on_first_worker(&mut sim, case.job(1, 2, 600 * MS));
        sim.run_for(100 * MS);
        sim.restart_worker(0, case.clock_step_ms);
        assert_started_again(&mut sim, 450 * MS);
        sim.run_for(Duration::from_secs(3));
        sim
    });
}

/// Replies of a busy VM take 10 ms and more; a stop is sent again after 150 ms.
#[test]
fn tasks_of_a_restarted_worker_with_slow_replies_do_not_wait_for_ever() {
    for reply_delay in [15 * MS, 30 * MS] {
        check(|case| {
            let mut sim = case.simulation();
            sim.reply_delays.insert(0, reply_delay);
            start_on_first_worker(&mut sim, case.job(1, 2, 600 * MS));
            sim.run_for(100 * MS);
            sim.restart_worker(0, case.clock_step_ms);
            sim.run_for(Duration::from_secs(6));
            sim
        });
    }
}
