//! Leases and clocks of former instances and of earlier schedulers.

use std::collections::BTreeSet;
use std::time::Duration;

use geraniumrelay_core::leased::{Command, JobId, WorkerState};

use super::{MS, check, small, start_on_first_worker};

/// The successor has not renewed the leases yet, so that it knows none.
#[test]
fn an_adopted_run_outlasts_one_unanswered_poll() {
    check(|case| {
        let mut sim = case.simulation();
        let job = case.job(1, 2, 700 * MS);
        start_on_first_worker(&mut sim, job.clone());
        sim.run_for(100 * MS);
        sim.kill(0);
        let next = sim.add_host_with_records(2, &BTreeSet::new());
        sim.run_for(5 * MS);
        sim.hosts[next].unreachable_workers.insert(0);
        if !case.is_durable {
            sim.submit(next, MS, job.resubmitted());
        }
        sim.run_for(120 * MS);
        sim.hosts[next].unreachable_workers.clear();
        sim.run_for(Duration::from_secs(4));
        sim
    });
}

/// A lease that was computed with the clock of a former instance seems to last as long as that
/// instance was up.
#[test]
fn tasks_of_a_silent_restarted_worker_run_again_once_its_leases_have_lapsed() {
    check(|case| {
        let mut sim = case.simulation();
        sim.run_for(Duration::from_secs(30));
        sim.restart_worker(0, case.clock_step_ms);
        start_on_first_worker(&mut sim, case.job(1, 2, 500 * MS));
        sim.run_for(10 * MS);
        sim.hosts[0].unreachable_workers.insert(0);
        sim.run_for(Duration::from_secs(4));
        sim
    });
}

/// The same where the reply to a start arrives after its instance has gone.
#[test]
fn a_late_clock_of_a_former_instance_extends_no_lease() {
    check(|case| {
        let mut sim = case.simulation();
        sim.run_for(Duration::from_secs(30));
        sim.reply_delays.insert(0, 50 * MS);
        start_on_first_worker(&mut sim, small(case.job(1, 1, 400 * MS)));
        sim.reply_delays.clear();
        sim.restart_worker(0, case.clock_step_ms);
        sim.announce_worker(0, 0);
        sim.run_for(100 * MS);
        start_on_first_worker(&mut sim, case.job(2, 2, 600 * MS));
        sim.run_for(100 * MS);
        sim.hosts[0].unreachable_workers.insert(0);
        sim.run_for(Duration::from_secs(4));
        sim
    });
}

/// The former instance was up for long, so its clock makes the lease of the order seem valid.
#[test]
fn a_delayed_start_order_with_the_clock_of_a_former_instance_starts_no_second_run() {
    check(|case| {
        let mut sim = case.simulation();
        sim.run_for(Duration::from_secs(30));
        sim.restart_worker(0, case.clock_step_ms);
        for worker in 1..3 {
            let mut entry = sim.worker_entry(worker);
            entry.state = WorkerState::Draining;
            sim.handle_command(0, Command::WorkerSeen(entry));
        }
        let job = case.job(1, 1, Duration::from_secs(8)).with_priority(1);
        sim.submit(0, MS, job.with_remaining_wait(Duration::from_secs(20)));
        sim.run_for(MS / 2);
        while case.is_durable && !sim.records.contains_key(&JobId(1)) {
            sim.run_for(MS / 10);
        }
        sim.delayed_call_share = 1.0;
        sim.run_for(MS);
        sim.delayed_call_share = 0.0;
        sim.hosts[0].unreachable_workers.insert(0);
        for worker in 1..3 {
            sim.announce_worker(0, worker);
        }
        sim.run_for(Duration::from_secs(15));
        sim
    });
}

/// The same with an order that leaves after the worker's clock was read again, so that its lease is in
/// the clock of the instance that carries the order out.
#[test]
fn a_delayed_start_order_to_a_worker_that_has_been_idle_starts_no_second_run() {
    check(|case| {
        let mut sim = case.simulation();
        sim.run_for(Duration::from_secs(30));
        sim.restart_worker(0, case.clock_step_ms);
        for worker in 1..3 {
            let mut entry = sim.worker_entry(worker);
            entry.state = WorkerState::Draining;
            sim.handle_command(0, Command::WorkerSeen(entry));
        }
        let job = case.job(1, 1, Duration::from_secs(8)).with_priority(1);
        sim.submit(0, MS, job.with_remaining_wait(Duration::from_secs(20)));
        sim.run_for(MS / 2);
        while case.is_durable && !sim.records.contains_key(&JobId(1)) {
            sim.run_for(MS / 10);
        }
        sim.delayed_call_share = 1.0;
        sim.run_for(8 * MS);
        sim.delayed_call_share = 0.0;
        sim.hosts[0].unreachable_workers.insert(0);
        for worker in 1..3 {
            sim.announce_worker(0, worker);
        }
        sim.run_for(Duration::from_secs(15));
        let trace = sim.trace_of(JobId(1));
        assert!(trace.contains("TooLate"), "no order came late\n{trace}");
        sim
    });
}
