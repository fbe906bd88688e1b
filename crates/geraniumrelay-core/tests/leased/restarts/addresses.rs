//! Restarts at another address, while the former instance goes on.

use std::collections::BTreeSet;
use std::time::Duration;

use geraniumrelay_core::leased::{Command, JobId};

use super::{
    Case, MS, assert_each_task_ran_once_at_a_time, check, is_completed, start_on_first_worker,
};
use crate::world::vm;

/// Only the lapse of its leases tells that a former instance at another address runs nothing.
#[test]
fn runs_at_the_former_address_of_a_worker_end_before_their_tasks_run_again() {
    check(|case| {
        let mut sim = case.simulation();
        start_on_first_worker(&mut sim, case.job(1, 2, Duration::from_secs(2)));
        sim.run_for(100 * MS);
        sim.move_worker(0, case.clock_step_ms);
        sim.run_for(50 * MS);
        sim.announce_worker(0, 0);
        sim.run_for(Duration::from_secs(5));
        sim
    });
}

#[test]
fn a_late_entry_with_the_former_address_ends_no_run_at_the_new_address() {
    check(|case| {
        let mut sim = case.simulation();
        let former = sim.worker_entry(0);
        sim.move_worker(0, case.clock_step_ms);
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

/// The new instance has no run to stop, and confirms the stop.
#[test]
fn a_stop_confirmed_at_the_new_address_ends_no_run_at_the_former_one() {
    let case = Case {
        is_durable: false,
        clock_step_ms: 5_000,
    };
    let mut sim = case.simulation();
    let job = case.job(1, 2, Duration::from_secs(2));
    start_on_first_worker(&mut sim, job.clone());
    sim.run_for(100 * MS);
    sim.move_worker(0, case.clock_step_ms);
    sim.announce_worker(0, 0);
    sim.run_for(20 * MS);
    sim.handle_command(0, Command::EntryLeft(vm(100)));
    sim.answers.clear();
    sim.submit(0, 10 * MS, job);
    sim.run_for(Duration::from_secs(5));
    assert_each_task_ran_once_at_a_time(&sim, "stop after a move");
    assert!(
        is_completed(&sim, &sim.jobs[&JobId(1)]),
        "{}",
        sim.trace_of(JobId(1))
    );
}

/// Both instances run tasks when the late entry arrives.
#[test]
fn a_late_entry_with_the_former_address_ends_no_run_behind_a_cut() {
    check(|case| {
        let mut sim = case.simulation();
        let former = sim.worker_entry(0);
        start_on_first_worker(&mut sim, case.job(1, 2, Duration::from_secs(2)));
        sim.run_for(100 * MS);
        sim.move_worker(0, case.clock_step_ms);
        sim.announce_worker(0, 0);
        sim.run_for(20 * MS);
        sim.submit(0, MS, case.job(2, 4, 500 * MS));
        sim.run_for(100 * MS);
        sim.deliver_entry(0, MS, former);
        sim.run_for(100 * MS);
        sim.announce_worker(0, 0);
        sim.run_for(Duration::from_secs(5));
        sim
    });
}

/// The successor knows only the new address of the worker.
#[test]
fn a_successor_starts_no_task_that_runs_at_the_former_address_of_a_worker() {
    check(|case| {
        let mut sim = case.simulation();
        let job = case.job(1, 2, Duration::from_secs(2));
        start_on_first_worker(&mut sim, job.clone());
        sim.run_for(100 * MS);
        sim.move_worker(0, case.clock_step_ms);
        sim.kill(0);
        let next = sim.add_host_with_records(2, &BTreeSet::new());
        if !case.is_durable {
            sim.submit(next, MS, job.resubmitted());
        }
        sim.run_for(Duration::from_secs(6));
        sim
    });
}
