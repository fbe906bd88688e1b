//! Restarts of workers under their former names: a run that is at work must not count as ended, and
//! no acknowledged end may be lost.

use std::collections::BTreeSet;
use std::time::Duration;

use geraniumrelay_core::leased::{Command, JobId, JobOutcome, RecordState, WorkerState};

use crate::world::{Simulation, TestJob, vm, worker_name};

const MS: Duration = Duration::from_millis(1);

/// Seeds of the random schedules.
const SEEDS: std::ops::Range<u64> = 0..120;

/// Simulated time with faults in each random schedule.
const SCHEDULE: Duration = Duration::from_secs(4);

/// Variant of a scenario.
#[derive(Debug, Clone, Copy)]
struct Case {
    is_durable: bool,
    /// Time of day of a new instance relative to that of its former one.
    clock_step_ms: i64,
}

impl Case {
    /// A job that may end late.
    fn job(self, id: u64, tasks: u16, run_time: Duration) -> TestJob {
        let job = TestJob::new(id, tasks, run_time)
            .with_slack()
            .with_remaining_wait(Duration::from_secs(8));
        if self.is_durable { job.durable() } else { job }
    }

    /// A simulation of three idle workers, the first of which has run a task.
    fn simulation(self) -> Simulation {
        let mut sim = Simulation::new(3, 1);
        sim.submit(0, MS, self.job(1_000, 1, 20 * MS));
        sim.run_for(300 * MS);
        assert_eq!(sim.workers[0].acknowledged_ends.len(), 1);
        sim
    }
}

/// Checks a scenario with durable and with other jobs, and with a time of day that jumps forwards
/// and backwards at a restart.
fn check(scenario: impl Fn(Case) -> Simulation) {
    for is_durable in [false, true] {
        for clock_step_ms in [5_000, -5_000] {
            let case = Case {
                is_durable,
                clock_step_ms,
            };
            let sim = scenario(case);
            assert_each_task_ran_once_at_a_time(&sim, &format!("{case:?}"));
            assert_all_completed(&sim, &format!("{case:?}"));
        }
    }
}

/// Asserts that no task had two runs at a time or started again after its acknowledged end.
fn assert_each_task_ran_once_at_a_time(sim: &Simulation, case: &str) {
    if let Some(task) = sim.concurrent_runs.first() {
        let trace = sim.trace_of(task.job);
        let trace = trace.split_inclusive("two runs").next().unwrap_or_default();
        panic!("{case}: two runs of {task} at the same time\n{trace}");
    }
    if let Some(task) = sim.tasks_restarted_after_ack().first() {
        let trace = sim.trace_of(task.job);
        panic!("{case}: {task} started again after its acknowledged end\n{trace}");
    }
}

fn is_completed(sim: &Simulation, job: &TestJob) -> bool {
    let id = job.spec.id;
    if job.spec.is_durable {
        let record = sim.records.get(&id);
        return record.is_some_and(|(r, _)| r.state == RecordState::Completed);
    }
    sim.outcome(id.0) == Some(JobOutcome::Completed)
}

fn assert_all_completed(sim: &Simulation, case: &str) {
    if let Some(job) = sim.jobs.values().find(|&j| !is_completed(sim, j)) {
        let id = job.spec.id;
        let trace = sim.trace_of(id);
        panic!("{case}: job {id} is not completed in time\n{trace}");
    }
}

/// Asserts that each task has started once.
fn assert_no_done_task_ran_again(sim: &Simulation) {
    let counts = &sim.start_counts;
    assert!(
        counts.values().all(|&n| n == 1),
        "starts: {counts:?}\n{}",
        sim.trace.join("\n")
    );
}

fn run_count(sim: &Simulation, worker: usize) -> usize {
    sim.workers[worker].running().count()
}

/// Lets the tasks of a job fit beside others.
fn small(mut job: TestJob) -> TestJob {
    job.spec.steps[0].size.cpu_milli = 5_000;
    job
}

/// Starts a job whose tasks all fit on worker 0 there, by making the other workers drain meanwhile.
fn start_on_first_worker(sim: &mut Simulation, job: TestJob) {
    let count = run_count(sim, 0) + usize::from(job.spec.steps[0].count);
    let host = sim.hosts.len() - 1;
    let others = 1..sim.workers.len();
    for worker in others.clone() {
        let mut entry = sim.worker_entry(worker);
        entry.state = WorkerState::Draining;
        sim.handle_command(host, Command::WorkerSeen(entry));
    }
    sim.submit(host, MS, job);
    run_until_started(sim, 0, count);
    for worker in others {
        sim.announce_worker(host, worker);
    }
}

/// Runs the simulation until a worker has `count` runs.
fn run_until_started(sim: &mut Simulation, worker: usize, count: usize) {
    for _ in 0..2_000 {
        if run_count(sim, worker) == count {
            return;
        }
        sim.run_for(MS / 10);
    }
    panic!(
        "no {count} runs on worker {worker}\n{}",
        sim.trace.join("\n")
    );
}

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

/// Restarts, and entries that their scheduler has not read yet.
#[derive(Debug)]
struct Schedule {
    sim: Simulation,
    host: usize,
    round: u64,
    next_job: u64,
    open_jobs: Vec<TestJob>,
    /// Workers whose present entry arrives at this time of the simulation.
    announcements: Vec<(Duration, usize)>,
}

impl Schedule {
    fn new(seed: u64) -> Self {
        let mut sim = Simulation::new(6, seed);
        sim.lost_reply_share = 0.05 * sim.random();
        sim.late_reply_share = 0.3 * sim.random();
        sim.delayed_call_share = 0.03 * sim.random();
        for worker in 0..sim.workers.len() {
            sim.workers[worker].clock_rate = 0.98 + 0.04 * sim.random();
        }
        Self {
            sim,
            host: 0,
            round: 1,
            next_job: 1,
            open_jobs: Vec::new(),
            announcements: Vec::new(),
        }
    }

    fn elapsed(&self) -> Duration {
        self.sim.now - self.sim.started_at
    }

    /// Runs random jobs, restarts, late and missing entries, cuts and takeovers, and then without
    /// new faults.
    fn run(mut self) -> Simulation {
        while self.elapsed() < SCHEDULE {
            if self.sim.random() < 0.6 {
                self.submit_job();
            }
            match self.sim.random() {
                r if r < 0.15 => self.restart(false),
                r if r < 0.18 => self.restart(true),
                r if r < 0.20 => self.remove_entry(),
                _ => {}
            }
            self.change_cuts();
            if self.sim.random() < 0.03 && !self.sim.has_running_former_instance() {
                self.replace_scheduler();
            }
            let step = MS.mul_f64(20.0 + 40.0 * self.sim.random());
            self.sim.run_for(step);
            self.announce_due();
        }
        self.sim.hosts[self.host].unreachable_workers.clear();
        self.sim.run_for(Duration::from_secs(1));
        for worker in 0..self.sim.workers.len() {
            self.sim.announce_worker(self.host, worker);
        }
        self.sim.run_for(Duration::from_secs(10));
        self.sim
    }

    fn submit_job(&mut self) {
        let tasks = self.sim.random_below(4) + 1;
        let run_time = Duration::from_secs_f64(0.02 + 0.5 * self.sim.random());
        let job = TestJob::new(self.next_job, tasks, run_time)
            .with_slack()
            .with_remaining_wait(Duration::from_secs(8));
        let is_durable = self.sim.random() < 0.6;
        let job = if is_durable { job.durable() } else { job };
        self.next_job += 1;
        self.open_jobs.push(job.clone());
        self.sim.submit(self.host, Duration::ZERO, job);
    }

    /// Restarts a random worker; entries of the new instance arrive later, those of the former one
    /// possibly later still.
    fn restart(&mut self, is_moved: bool) {
        let worker = usize::from(self.sim.random_below(6));
        let former = self.sim.worker_entry(worker);
        let clock_step_ms = 1 + i64::from(self.sim.random_below(20_000));
        let clock_step_ms = if self.sim.random() < 0.3 {
            -clock_step_ms
        } else {
            clock_step_ms
        };
        if is_moved {
            self.sim.move_worker(worker, clock_step_ms);
        } else {
            self.sim.restart_worker(worker, clock_step_ms);
        }
        let at = self.elapsed() + Duration::from_millis(300).mul_f64(self.sim.random());
        self.announcements.push((at, worker));
        if self.sim.random() < 0.5 {
            let delay = Duration::from_millis(800).mul_f64(self.sim.random());
            self.sim.deliver_entry(self.host, delay, former);
            let at = self.elapsed() + delay + Duration::from_millis(250).mul_f64(self.sim.random());
            self.announcements.push((at, worker));
        }
    }

    /// Removes the entry of a random worker, as after missed heartbeats, until it arrives again.
    fn remove_entry(&mut self) {
        let worker = usize::from(self.sim.random_below(6));
        let cmd = Command::WorkerGone(worker_name(worker));
        self.sim.handle_command(self.host, cmd);
        let at = self.elapsed() + Duration::from_millis(500).mul_f64(self.sim.random());
        self.announcements.push((at, worker));
    }

    fn announce_due(&mut self) {
        let now = self.elapsed();
        let due: Vec<usize> = self
            .announcements
            .extract_if(.., |(at, _)| *at <= now)
            .map(|(_, worker)| worker)
            .collect();
        for worker in due {
            self.sim.announce_worker(self.host, worker);
        }
    }

    fn change_cuts(&mut self) {
        let worker = usize::from(self.sim.random_below(6));
        match self.sim.random() {
            r if r < 0.03 => {
                let cut = &mut self.sim.hosts[self.host].unreachable_workers;
                cut.insert(worker);
            }
            r if r < 0.15 => self.sim.hosts[self.host].unreachable_workers.clear(),
            _ => {}
        }
    }

    /// Replaces the scheduler, and resubmits to the new one the open jobs that are not stored.
    fn replace_scheduler(&mut self) {
        self.sim.kill(self.host);
        self.round += 1;
        let unreachable = (0..6).filter(|_| self.sim.random() < 0.1).collect();
        self.host = self.sim.add_host_with_records(self.round, &unreachable);
        let sim = &mut self.sim;
        self.open_jobs
            .retain(|j| !sim.answers.contains_key(&j.spec.id));
        for job in &self.open_jobs {
            sim.submit(self.host, Duration::ZERO, job.clone().resubmitted());
        }
    }
}

#[test]
fn restarts_and_late_messages_neither_repeat_nor_lose_a_task() {
    for seed in SEEDS {
        let sim = Schedule::new(seed).run();
        let case = format!("seed {seed}");
        assert_each_task_ran_once_at_a_time(&sim, &case);
        let is_open = |job: &&TestJob| {
            let is_answered = sim.answers.contains_key(&job.spec.id);
            let is_stored = sim.records.contains_key(&job.spec.id);
            !is_answered || (is_stored && !is_completed(&sim, job))
        };
        let open_jobs: Vec<JobId> = sim
            .jobs
            .values()
            .filter(is_open)
            .map(|j| j.spec.id)
            .collect();
        if let Some(&id) = open_jobs.first() {
            let trace = sim.trace_of(id);
            panic!("{case}: {open_jobs:?} have not ended\n{trace}");
        }
    }
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
