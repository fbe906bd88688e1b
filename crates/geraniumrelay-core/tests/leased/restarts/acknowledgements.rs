//! Ends are acknowledged to the instance that has numbered them, and none is lost.

use std::time::Duration;

use geraniumrelay_core::leased::{Command, WorkerState};

use super::{
    Case, MS, assert_all_completed, assert_no_done_task_ran_again, check, is_completed, small,
    start_on_first_worker,
};
use crate::world::Simulation;

/// The same where the report lists the runs as ended.
#[test]
fn an_end_in_the_first_report_of_an_instance_is_not_lost() {
    check(|case| {
        let mut sim = case.simulation();
        // The known instance has no ends.
        sim.restart_worker(0, case.clock_step_ms);
        sim.announce_worker(0, 0);
        sim.run_for(50 * MS);
        sim.restart_worker(0, case.clock_step_ms);
        start_on_first_worker(&mut sim, case.job(1, 2, 40 * MS));
        sim.run_for(Duration::from_secs(3));
        assert_no_done_task_ran_again(&sim);
        sim
    });
}

/// Runs a scenario in which an idle worker with many acknowledged ends restarts and gets a task;
/// the polls of the first `silence` are lost.
fn restart_after_many_ends(case: Case, silence: Duration, acks_while_waiting: bool) -> Simulation {
    let mut sim = case.simulation();
    sim.acks_while_waiting = acks_while_waiting;
    for number in 0..20 {
        let at = 40 * MS * u32::try_from(number).unwrap();
        sim.submit(0, at, case.job(100 + number, 1, 20 * MS));
    }
    sim.run_for(Duration::from_secs(1));
    assert!(sim.workers[0].acknowledged_ends.len() > 15);
    sim.restart_worker(0, case.clock_step_ms);
    start_on_first_worker(&mut sim, case.job(1, 1, 30 * MS));
    if silence > Duration::ZERO {
        sim.hosts[0].unreachable_workers.insert(0);
    }
    sim.run_for(silence);
    sim.hosts[0].unreachable_workers.clear();
    sim.run_for(Duration::from_secs(3));
    sim
}

/// A poll acknowledges the ends of the instance that its scheduler knows.
#[test]
fn an_end_is_not_lost_to_the_acknowledgement_of_a_former_instance() {
    check(|case| restart_after_many_ends(case, Duration::ZERO, false));
    check(|case| restart_after_many_ends(case, Duration::ZERO, true));
}

#[test]
fn an_end_listed_after_lost_polls_is_not_lost_to_a_former_acknowledgement() {
    check(|case| restart_after_many_ends(case, 250 * MS, false));
    check(|case| restart_after_many_ends(case, 250 * MS, true));
}

/// As on a VM that is five times slower.
#[test]
fn ends_are_acknowledged_to_a_worker_whose_replies_are_slow() {
    for is_durable in [false, true] {
        let case = Case {
            is_durable,
            clock_step_ms: 5_000,
        };
        let mut sim = case.simulation();
        sim.reply_delays.insert(0, 52 * MS);
        start_on_first_worker(&mut sim, small(case.job(1, 3, 300 * MS)));
        sim.run_for(Duration::from_secs(3));
        assert_all_completed(&sim, &format!("{case:?}"));
        let acknowledged = sim.workers[0].acknowledged_ends.len();
        let polls = sim.workers[0].answered_polls;
        assert_eq!(acknowledged, 1 + 3, "{case:?}, {polls} polls");
    }
}

/// While the store is slow, a busy worker always lists ends that are not stored yet.
#[test]
fn stored_ends_are_acknowledged_while_others_are_not_stored_yet() {
    let case = Case {
        is_durable: true,
        clock_step_ms: 5_000,
    };
    let mut sim = case.simulation();
    sim.store_latency = 100 * MS;
    sim.reply_delays.insert(0, 41 * MS);
    for worker in 1..3 {
        let mut entry = sim.worker_entry(worker);
        entry.state = WorkerState::Draining;
        sim.handle_command(0, Command::WorkerSeen(entry));
    }
    for number in 0..200 {
        let at = 20 * MS * u32::try_from(number).unwrap();
        sim.submit(0, at, small(case.job(100 + number, 1, 30 * MS)));
    }
    sim.run_for(Duration::from_secs(4));
    let ended = sim.jobs.values().filter(|&j| is_completed(&sim, j)).count();
    let acknowledged = sim.workers[0].acknowledged_ends.len();
    assert!(
        ended > 100 && acknowledged + 20 > ended,
        "{acknowledged} of {ended} ends are acknowledged"
    );
}

/// A reply lists 500 ends, and the others only after these are acknowledged.
#[test]
fn ends_beyond_those_that_fit_into_a_report_are_not_lost() {
    for is_durable in [false, true] {
        let case = Case {
            is_durable,
            clock_step_ms: 5_000,
        };
        let mut sim = case.simulation();
        let mut job = case.job(1, 600, 100 * MS);
        job.spec.steps[0].size.cpu_milli = 100;
        start_on_first_worker(&mut sim, job);
        sim.run_for(Duration::from_secs(3));
        let repeated = sim.start_counts.values().filter(|&&n| n > 1).count();
        assert_eq!(repeated, 0, "{case:?}: tasks that ran again");
    }
}
