//! Cuts that last for longer than the workers beyond them are listed or polled.

use std::collections::BTreeSet;
use std::time::Duration;

use geraniumrelay_core::leased::{Command, JobId, JobOutcome};

use crate::world::{Simulation, TestJob, vm};

const MS: Duration = Duration::from_millis(1);

/// Workers beyond the cut.
const BEYOND: [usize; 2] = [0, 1];

/// Workers on the side with the store.
const NEAR: [usize; 2] = [2, 3];

/// A cut with a scheduler on each side.
struct Cut {
    sim: Simulation,
    /// Scheduler beyond the cut, without the store.
    beyond: usize,
    /// Scheduler with the store.
    near: usize,
}

impl Cut {
    fn begin() -> Self {
        let mut sim = Simulation::new(4, 1);
        sim.run_for(500 * MS);
        let near = sim.add_host_with(2, &BTreeSet::from(BEYOND), true);
        sim.hosts[0].unreachable_workers = BTreeSet::from(NEAR);
        sim.hosts[0].is_store_unreachable = true;
        sim.run_for(Duration::from_secs(4));
        sim.unlist_workers(&BEYOND);
        Self {
            sim,
            beyond: 0,
            near,
        }
    }

    /// Replaces the scheduler with the store.
    fn take_over(&mut self) {
        self.sim.kill(self.near);
        self.near = self.sim.add_host_with(3, &BTreeSet::from(BEYOND), true);
    }

    /// Lets the cut last for longer than departed workers are polled.
    fn last(&mut self) {
        let ttl = self.sim.cfg.leased.departed_ttl;
        self.sim.run_for(ttl + Duration::from_secs(5));
    }

    /// Starts a job beyond the cut, and passes it on to the other scheduler, which reaches the workers there from now on.
    fn heal_under(&mut self, job: TestJob) {
        let mut again = job.clone().resubmitted();
        again.former_tokens = vec![self.sim.hosts[self.beyond].token()];
        self.sim.submit(self.beyond, MS, job);
        self.sim.run_for(200 * MS);
        self.sim.kill(self.beyond);
        self.sim.hosts[self.near].unreachable_workers.clear();
        self.sim.submit(self.near, MS, again);
    }
}

/// Guards against ends that are listed for the rest of a cut and slow down the polls: a scheduler without the store can't
/// read the records of durable jobs, but knows that its own runs belong to none.
#[test]
fn ends_of_known_best_effort_runs_are_acknowledged_without_the_store() {
    let mut sim = Simulation::new(1, 1);
    sim.kill(0);
    let host = sim.add_host_with_records(2, &BTreeSet::new());
    sim.hosts[host].is_store_unreachable = true;
    sim.run_for(Duration::from_secs(2));
    for id in 1..=20 {
        sim.submit(host, MS, TestJob::new(id, 2, 50 * MS).with_slack());
        sim.run_for(30 * MS);
    }
    let withdrawn = TestJob::new(21, 2, Duration::from_secs(1)).with_slack();
    sim.submit(host, MS, withdrawn);
    sim.run_for(100 * MS);
    let (id, origin) = (JobId(21), vm(100));
    sim.handle_command(host, Command::Withdraw { id, origin });
    sim.run_for(Duration::from_secs(1));
    assert_eq!(sim.workers[0].listed_end_count(), 0);
}

fn job() -> TestJob {
    TestJob::new(1, 1, Duration::from_secs(1)).with_slack()
}

fn assert_one_run_at_a_time(sim: &Simulation) {
    let trace = sim.trace_of(JobId(1));
    assert!(sim.concurrent_runs.is_empty(), "{trace}");
    assert_eq!(sim.outcome(1), Some(JobOutcome::Completed), "{trace}");
}

/// Guards against second runs beside those on workers that a scheduler has never known, as it took over after they had
/// been out of reach for long.
#[test]
fn a_job_that_moves_to_a_scheduler_that_took_over_late_in_a_long_cut_has_one_run_at_a_time() {
    let mut cut = Cut::begin();
    cut.last();
    cut.take_over();
    cut.sim.run_for(500 * MS);
    cut.heal_under(job());
    cut.sim.run_for(Duration::from_secs(4));
    assert_one_run_at_a_time(&cut.sim);
}

/// Guards against second runs beside those on workers that were out of reach at each takeover, also at one before they
/// were forgotten.
#[test]
fn a_job_that_moves_after_several_takeovers_in_a_long_cut_has_one_run_at_a_time() {
    let mut cut = Cut::begin();
    cut.sim.run_for(Duration::from_secs(2));
    cut.take_over();
    cut.last();
    cut.take_over();
    cut.last();
    cut.heal_under(job());
    cut.sim.run_for(Duration::from_secs(4));
    assert_one_run_at_a_time(&cut.sim);
}

/// Guards against a wait for workers beyond a cut that ends as the job comes again, from the last scheduler.
#[test]
fn a_job_that_comes_from_beyond_a_cut_and_then_from_the_last_scheduler_has_one_run_at_a_time() {
    let mut cut = Cut::begin();
    cut.last();
    let last = cut.sim.hosts[cut.near].token();
    cut.take_over();
    cut.sim.run_for(300 * MS);
    let (beyond, near) = (cut.beyond, cut.near);
    let mut again = job().resubmitted();
    again.former_tokens = vec![cut.sim.hosts[beyond].token()];
    cut.sim.submit(beyond, MS, job());
    cut.sim.run_for(200 * MS);
    cut.sim.kill(beyond);
    cut.sim.submit(near, MS, again.clone());
    cut.sim.run_for(50 * MS);
    again.former_tokens.push(last);
    cut.sim.submit(near, MS, again);
    cut.sim.run_for(Duration::from_secs(4));
    assert_one_run_at_a_time(&cut.sim);
}

/// A cut heals for jobs and workers before it heals for the store: until then the scheduler that was cut off does not know
/// a worker that has come meanwhile. `phase` shifts the moment against the polls of the workers that were out of reach.
fn cut_with_new_worker(phase: Duration) -> Simulation {
    let mut sim = Simulation::new(4, 1);
    sim.run_for(500 * MS);
    let cut_off = sim.add_host_with(2, &BTreeSet::from(NEAR), true);
    sim.hosts[cut_off].is_store_unreachable = true;
    sim.hosts[0].unreachable_workers = BTreeSet::from(BEYOND);
    sim.run_for(sim.cfg.leased.predecessor_ttl + phase);
    let added = sim.add_worker_in_cut();
    let mut job = TestJob::new(1, 3, Duration::from_secs(1)).with_slack();
    job.spec.steps[0].size.cpu_milli = 64_000;
    let mut again = job.clone().resubmitted();
    again.former_tokens = vec![sim.hosts[0].token()];
    sim.submit(0, MS, job);
    sim.run_for(200 * MS);
    assert!(sim.workers_running(1).contains(&added));
    sim.kill(0);
    sim.hosts[cut_off].unreachable_workers.clear();
    sim.submit(cut_off, MS, again);
    sim.run_for(600 * MS);
    sim.hosts[cut_off].is_store_unreachable = false;
    sim.announce_worker(cut_off, added);
    sim.run_for(Duration::from_secs(4));
    sim
}

/// Guards against second runs beside those on workers that came during a cut, and that the scheduler without the store
/// has not read yet as jobs move to it.
#[test]
fn a_job_that_moves_before_the_list_of_workers_is_read_again_has_one_run_at_a_time() {
    for phase in (0..10).map(|n| 200 * MS * n) {
        assert_one_run_at_a_time(&cut_with_new_worker(phase));
    }
}

/// Guards against lost work as a long cut heals: a run on a worker that is not listed yet goes on.
#[test]
fn a_run_beyond_a_long_cut_is_adopted_before_its_worker_is_listed_again() {
    let mut cut = Cut::begin();
    cut.last();
    cut.heal_under(job());
    cut.sim.run_for(Duration::from_secs(4));
    assert_one_run_at_a_time(&cut.sim);
    assert!(cut.sim.start_counts.values().all(|&n| n == 1));
}

/// Guards against waits that go on after their reason has ended: the workers beyond an earlier cut are back.
#[test]
fn a_job_that_moves_after_the_workers_beyond_a_long_cut_are_back_does_not_wait() {
    let mut cut = Cut::begin();
    cut.last();
    cut.sim.hosts[cut.near].unreachable_workers.clear();
    cut.sim.list_workers(&BEYOND);
    cut.sim.run_for(Duration::from_secs(1));
    let mut again = job().resubmitted();
    again.former_tokens = vec![cut.sim.hosts[cut.beyond].token()];
    cut.sim.kill(cut.beyond);
    cut.sim.submit(cut.near, MS, again);
    cut.sim.run_for(500 * MS);
    assert_eq!(cut.sim.start_counts.len(), 1);
}
