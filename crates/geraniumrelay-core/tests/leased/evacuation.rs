//! Evacuation of data centres: the known set, and what a scheduler starts and refuses.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use assert_matches::assert_matches;
use geraniumrelay_core::leased::cell_choice::{Candidate, Request, choose};
use geraniumrelay_core::leased::cells::CellName;
use geraniumrelay_core::leased::evacuation::{EvacuationChange, EvacuationRow, Evacuations};
use geraniumrelay_core::leased::{Command, JobId, JobOutcome, RefusalReason, WorkerState};
use geraniumrelay_core::{Config, Context};

use crate::world::{Simulation, TestJob, worker_name};

const MS: Duration = Duration::from_millis(1);

/// Latency of a call, and of the reading of a worker's clock before it.
const CALL_MARGIN: Duration = Duration::from_millis(5);

fn row(data_centre: &str, is_requested: bool, version: u64) -> EvacuationRow {
    EvacuationRow {
        data_centre: data_centre.into(),
        is_requested,
        version,
    }
}

/// A process that knows a set of evacuated data centres.
struct Process {
    set: Evacuations,
    cfg: Config,
    now: Instant,
}

impl Process {
    fn new() -> Self {
        Self {
            set: Evacuations::default(),
            cfg: Config::default(),
            now: Instant::now() + Duration::from_mins(1),
        }
    }

    fn snapshot(&mut self, rows: &[EvacuationRow], revision: u64) -> Vec<EvacuationChange> {
        let cx = Context::new(self.now, &self.cfg);
        self.set.apply_rows(&cx, true, rows, revision)
    }

    fn changes(&mut self, rows: &[EvacuationRow], revision: u64) -> Vec<EvacuationChange> {
        let cx = Context::new(self.now, &self.cfg);
        self.set.apply_rows(&cx, false, rows, revision)
    }

    fn peer(&mut self, revision: u64, ages: &[(&str, Duration)]) -> Vec<EvacuationChange> {
        let cx = Context::new(self.now, &self.cfg);
        let ages: Vec<(Arc<str>, Duration)> =
            ages.iter().map(|&(n, age)| (n.into(), age)).collect();
        self.set.merge(&cx, revision, &ages)
    }

    fn names(&self) -> Vec<&str> {
        self.set.evacuated().keys().map(|n| &**n).collect()
    }

    fn age(&self, data_centre: &str) -> Duration {
        self.now - self.set.evacuated()[data_centre]
    }
}

/// A VM that has heard nothing must not become a scheduler, while an empty set is a known one.
#[test]
fn the_set_is_unknown_until_it_is_read_or_received() {
    let mut process = Process::new();
    assert!(!process.set.is_known());
    process.peer(0, &[]);
    assert!(!process.set.is_known(), "the peer knows no set either");
    process.snapshot(&[], 7);
    assert!(process.set.is_known());
    let mut other = Process::new();
    other.peer(7, &[]);
    assert!(other.set.is_known());
}

/// Reads arrive late: an older one must neither begin an evacuation again nor end one.
#[test]
fn older_rows_and_snapshots_are_ignored() {
    let mut process = Process::new();
    process.snapshot(&[row("a", true, 3)], 10);
    process.changes(&[row("a", false, 11), row("b", true, 12)], 12);
    assert_eq!(process.names(), ["b"]);
    assert!(process.changes(&[row("a", true, 9)], 9).is_empty());
    assert!(process.changes(&[row("b", false, 11)], 12).is_empty());
    assert!(process.snapshot(&[row("a", true, 3)], 10).is_empty());
    assert!(process.snapshot(&[], 11).is_empty());
    assert!(process.peer(11, &[("a", MS)]).is_empty());
    assert_eq!(process.names(), ["b"]);
    assert_eq!(process.set.revision(), 12);
}

/// Rows that a newer set from a peer has covered come with the next read of the feed, beside newer ones.
#[test]
fn rows_that_a_peers_set_covers_are_ignored_beside_newer_ones() {
    let mut process = Process::new();
    process.snapshot(&[], 10);
    process.peer(20, &[]);
    process.changes(&[row("a", true, 15), row("b", true, 21)], 21);
    assert_eq!(process.names(), ["b"]);
}

/// A withdrawal must reach a process without the store as surely as a request.
#[test]
fn the_newer_set_of_a_peer_replaces_the_known_one_as_a_whole() {
    let mut process = Process::new();
    process.snapshot(&[row("a", true, 3), row("b", true, 4)], 10);
    let changes = process.peer(11, &[("b", MS), ("c", 40 * MS)]);
    assert_eq!(process.names(), ["b", "c"]);
    let told: BTreeMap<&str, bool> = changes
        .iter()
        .map(|c| (&*c.data_centre, c.is_requested))
        .collect();
    assert_eq!(told, BTreeMap::from([("a", false), ("c", true)]));
    process.peer(12, &[]);
    assert!(process.names().is_empty());
    assert!(process.set.is_known());
}

/// The row was removed in the part of the history that the store has dropped, so no change tells of it.
#[test]
fn a_snapshot_after_a_lost_history_withdraws_an_evacuation() {
    let mut process = Process::new();
    process.snapshot(&[row("a", true, 3), row("b", true, 4)], 10);
    let changes = process.snapshot(&[row("b", true, 4)], 50);
    assert_eq!(process.names(), ["b"]);
    assert_matches!(&changes[..], [c] if &*c.data_centre == "a" && !c.is_requested);
}

/// Neither a rewritten row nor a peer that has learnt of the request later extends the grace.
#[test]
fn the_age_of_an_evacuation_is_kept() {
    let mut process = Process::new();
    process.snapshot(&[], 1);
    process.changes(&[row("a", true, 2)], 2);
    assert_eq!(process.age("a"), Duration::ZERO);
    process.now += 700 * MS;
    process.changes(&[row("a", true, 3)], 3);
    assert_eq!(process.age("a"), 700 * MS);
    process.snapshot(&[row("a", true, 3)], 4);
    assert_eq!(process.age("a"), 700 * MS);
    process.peer(5, &[("a", 100 * MS)]);
    assert_eq!(process.age("a"), 700 * MS);
    process.peer(6, &[("a", 900 * MS)]);
    assert_eq!(process.age("a"), 900 * MS, "the peer knows it longer");
    process.peer(7, &[]);
    process.peer(8, &[("a", MS)]);
    assert_eq!(process.age("a"), MS, "it has been requested again");
}

/// A restarted process finds a request of unknown age: a new grace for it could exceed the bound.
#[test]
fn a_process_that_has_just_started_grants_no_grace() {
    let mut process = Process::new();
    process.snapshot(&[row("a", true, 3)], 10);
    assert!(process.age("a") >= process.cfg.leased.evacuation_grace);
    let mut other = Process::new();
    other.peer(10, &[("a", 300 * MS)]);
    assert_eq!(other.age("a"), 300 * MS, "a peer tells the age");
}

fn is_evacuated(outcome: Option<JobOutcome>) -> bool {
    matches!(
        outcome,
        Some(JobOutcome::Refused {
            reason: RefusalReason::Evacuated,
            ..
        })
    )
}

fn assert_invariants(sim: &Simulation) {
    assert!(sim.concurrent_runs.is_empty(), "{:?}", sim.concurrent_runs);
    assert_eq!(sim.false_refusals(), []);
    let unanswered = sim.count_jobs(|j| !sim.answers.contains_key(&j.spec.id));
    assert_eq!(unanswered, 0);
}

/// Submits jobs of two tasks of 0.2 s from `from` to `to` after now, at `load` times the capacity of `workers`.
fn submit_load(
    sim: &mut Simulation,
    ids: &mut u64,
    workers: f64,
    load: f64,
    (from, to): (u64, u64),
) {
    let jobs_per_s = load * workers * 2.0 / (2.0 * 0.2);
    let mut at = Duration::from_millis(from);
    while at < Duration::from_millis(to) {
        *ids += 1;
        let run_time = Duration::from_secs_f64(0.2 * (0.6 + 0.8 * sim.random()));
        let estimate = run_time.mul_f64(0.6 + 0.8 * sim.random());
        let job = TestJob::new(*ids, 2, run_time).with_estimate(estimate);
        sim.submit(0, at, job.with_remaining_wait(1_500 * MS));
        at += Duration::from_secs_f64(2.0 * sim.random() / jobs_per_s);
    }
}

/// One of three data centres is evacuated while the other two are at 0.9 of their capacity, and a burst asks for
/// twice as much. Jobs that need a rack of the evacuated one arrive all the time.
#[test]
fn under_load_and_a_burst_nothing_starts_in_an_evacuated_data_centre_after_the_grace() {
    for seed in 1..=3 {
        let mut sim = Simulation::with_data_centres(36, seed, &["a", "b", "c"]);
        for worker in (1..36).step_by(3) {
            let mut entry = sim.worker_entry(worker);
            entry.labels.push("only-in-b".into());
            sim.handle_command(0, Command::WorkerSeen(entry));
        }
        let mut ids = 0;
        submit_load(&mut sim, &mut ids, 24.0, 0.9, (0, 8_000));
        submit_load(&mut sim, &mut ids, 24.0, 1.1, (3_000, 5_000));
        let bound_jobs = 100_000..100_060;
        for id in bound_jobs.clone() {
            let mut job = TestJob::new(id, 1, 100 * MS);
            job.spec.steps[0].required_label = Some("only-in-b".into());
            let at = Duration::from_millis(2_050 + (id - 100_000) * 50);
            sim.submit(0, at, job.with_remaining_wait(1_500 * MS));
        }
        sim.run_for(2_000 * MS);
        assert!(sim.starts_in("b", sim.started_at) > 0, "seed {seed}");
        let requested = sim.now;
        sim.evacuate(&["b"]);
        sim.run_for(10 * Duration::from_secs(1));
        assert_invariants(&sim);
        let grace_over = requested + sim.cfg.leased.evacuation_grace + CALL_MARGIN;
        assert_eq!(sim.starts_in("b", grace_over), 0, "seed {seed}");
        for id in bound_jobs {
            assert!(is_evacuated(sim.outcome(id)), "seed {seed}: job {id}");
            let took = sim.answers[&JobId(id)].1 - sim.jobs[&JobId(id)].submitted_at;
            assert!(
                took <= MS,
                "seed {seed}: job {id} was refused after {took:?}"
            );
            assert!(sim.start_counts.keys().all(|t| t.job != JobId(id)));
        }
        // Outside the burst there is room for all others.
        let after = requested + 5 * Duration::from_secs(1);
        let is_after = |j: &TestJob| j.spec.id.0 < 100_000 && j.submitted_at > after;
        let (in_time, all) = (sim.count_in_time(is_after), sim.count_jobs(is_after));
        assert!(
            all > 50 && in_time * 100 >= all * 90,
            "seed {seed}: {in_time} of {all}"
        );
        let shut_out =
            |j: &TestJob| j.spec.id.0 < 100_000 && is_evacuated(sim.outcome(j.spec.id.0));
        assert_eq!(
            sim.count_jobs(shut_out),
            0,
            "seed {seed}: they fit elsewhere"
        );
    }
}

/// Running tasks are not stopped, and what was admitted before goes on for the grace.
#[test]
fn jobs_admitted_before_the_request_run_to_completion_within_the_grace() {
    let mut sim = Simulation::with_data_centres(2, 1, &["b"]);
    sim.submit(0, MS, TestJob::new(1, 4, 1_250 * MS));
    sim.submit(0, 2 * MS, TestJob::new(2, 2, 200 * MS).with_slack());
    sim.submit(0, 3 * MS, TestJob::new(3, 1, 200 * MS).with_slack());
    sim.run_for(50 * MS);
    sim.evacuate(&["b"]);
    sim.submit(0, MS, TestJob::new(4, 1, 50 * MS));
    sim.run_for(6 * Duration::from_secs(1));
    assert_eq!(sim.outcome(1), Some(JobOutcome::Completed));
    assert!(
        is_evacuated(sim.outcome(2)),
        "{:?}, though the grace ended before it could start",
        sim.outcome(2)
    );
    assert!(is_evacuated(sim.outcome(3)));
    assert!(is_evacuated(sim.outcome(4)));
    assert!(sim.start_counts.keys().all(|t| t.job == JobId(1)));
    assert_invariants(&sim);
}

/// The successor has had no part in the request, and must count the grace from it.
#[test]
fn a_takeover_in_the_middle_of_an_evacuation_grants_no_new_grace() {
    for takeover_after in [200, 700, 1_100] {
        let mut sim = Simulation::with_data_centres(4, 1, &["a", "b"]);
        // One job runs in `b`, another one waits for its workers.
        for (id, tasks) in [(1, 4), (2, 2)] {
            let mut job = TestJob::new(id, tasks, 1_250 * MS).with_slack();
            job.spec.steps[0].required_label = Some("only-in-b".into());
            sim.submit(0, Duration::from_millis(id), job);
        }
        for worker in [1, 3] {
            let mut entry = sim.worker_entry(worker);
            entry.labels.push("only-in-b".into());
            sim.handle_command(0, Command::WorkerSeen(entry));
        }
        sim.run_for(50 * MS);
        let requested = sim.now;
        sim.evacuate(&["b"]);
        sim.run_for(Duration::from_millis(takeover_after));
        sim.kill(0);
        let next = sim.add_host(2);
        for worker in [1, 3] {
            let mut entry = sim.worker_entry(worker);
            entry.labels.push("only-in-b".into());
            sim.handle_command(next, Command::WorkerSeen(entry));
        }
        for id in [1, 2] {
            if !sim.answers.contains_key(&JobId(id)) {
                let job = sim.jobs[&JobId(id)].clone();
                sim.submit(next, MS, job.resubmitted());
            }
        }
        sim.submit(next, MS, TestJob::new(3, 2, 100 * MS));
        let mut job = TestJob::new(4, 1, 100 * MS);
        job.spec.steps[0].required_label = Some("only-in-b".into());
        sim.submit(next, 1_500 * MS, job);
        sim.run_for(8 * Duration::from_secs(1));
        let grace_over = requested + sim.cfg.leased.evacuation_grace + CALL_MARGIN;
        assert_eq!(
            sim.starts_in("b", grace_over),
            0,
            "after {takeover_after} ms"
        );
        assert!(is_evacuated(sim.outcome(4)), "after {takeover_after} ms");
        assert_eq!(sim.outcome(3), Some(JobOutcome::Completed));
        assert_eq!(
            sim.outcome(1),
            Some(JobOutcome::Completed),
            "running tasks go on"
        );
        assert_invariants(&sim);
    }
}

/// A scheduler without the store learns the end of the evacuation from a peer.
#[test]
fn a_withdrawal_while_the_store_is_away_opens_the_data_centre_again() {
    let mut sim = Simulation::with_data_centres(2, 1, &["b"]);
    let mut process = Process::new();
    process.now = sim.now;
    process.snapshot(&[], 1);
    process.peer(2, &[("b", 3_000 * MS)]);
    sim.evacuate(&["b"]);
    sim.submit(0, MS, TestJob::new(1, 2, 100 * MS));
    sim.run_for(1_500 * MS);
    assert!(is_evacuated(sim.outcome(1)));
    sim.is_store_down = true;
    process.now = sim.now;
    process.peer(3, &[]);
    assert!(process.names().is_empty());
    sim.evacuate(&[]);
    sim.submit(0, MS, TestJob::new(2, 2, 100 * MS));
    sim.submit(0, MS, TestJob::new(1, 2, 100 * MS));
    sim.answers.clear();
    sim.run_for(500 * MS);
    assert_eq!(sim.outcome(2), Some(JobOutcome::Completed));
    assert_eq!(
        sim.outcome(1),
        Some(JobOutcome::Completed),
        "a caller's retry is a new submission"
    );
}

#[test]
fn with_all_data_centres_evacuated_every_new_job_is_refused_at_once() {
    let mut sim = Simulation::with_data_centres(4, 1, &["a", "b"]);
    sim.evacuate(&["a", "b"]);
    for id in 1..=20 {
        sim.submit(
            0,
            Duration::from_millis(100 * id),
            TestJob::new(id, 2, 100 * MS),
        );
    }
    sim.run_for(3 * Duration::from_secs(1));
    for id in 1..=20 {
        assert!(is_evacuated(sim.outcome(id)), "job {id}");
        let took = sim.answers[&JobId(id)].1 - sim.jobs[&JobId(id)].submitted_at;
        assert!(took <= MS, "job {id} was refused after {took:?}");
    }
    assert!(sim.start_counts.is_empty());
    let scheduler = sim.hosts[0].scheduler.as_ref().unwrap();
    assert_eq!(
        scheduler.load_percent(),
        u32::MAX,
        "there is no free capacity"
    );
}

/// One evacuation ends while the other goes on.
#[test]
fn overlapping_evacuations_end_one_by_one() {
    let mut sim = Simulation::with_data_centres(4, 1, &["a", "b"]);
    let requested = sim.now;
    sim.evacuate(&["a"]);
    sim.run_for(500 * MS);
    let second = sim.now;
    sim.set_evacuated(&BTreeMap::from([("a", requested), ("b", second)]));
    sim.run_for(700 * MS);
    sim.set_evacuated(&BTreeMap::from([("b", second)]));
    let reopened = sim.now;
    sim.submit(0, MS, TestJob::new(1, 4, 100 * MS));
    sim.submit(0, 600 * MS, TestJob::new(2, 4, 100 * MS));
    sim.run_for(2 * Duration::from_secs(1));
    assert_eq!(sim.outcome(1), Some(JobOutcome::Completed));
    assert_eq!(sim.outcome(2), Some(JobOutcome::Completed));
    assert_eq!(sim.starts_in("b", reopened), 0);
}

/// Operators need to see when nothing starts any more, once for each evacuation.
#[test]
fn an_evacuation_is_reported_as_in_force_once_its_grace_is_over() {
    let mut sim = Simulation::with_data_centres(4, 1, &["a", "b"]);
    let mut requested = Vec::new();
    for _ in 0..2 {
        requested.push(sim.now);
        sim.evacuate(&["a"]);
        sim.run_for(3 * Duration::from_secs(1));
        sim.evacuate(&[]);
        sim.run_for(100 * MS);
    }
    let reports = &sim.evacuations_in_force;
    assert_eq!(reports.len(), 2, "{reports:?}");
    for ((data_centre, at), requested) in reports.iter().zip(requested) {
        assert_eq!(data_centre, "a");
        let grace = sim.cfg.leased.evacuation_grace;
        let tick = 25 * MS;
        assert!(*at >= requested + grace && *at <= requested + grace + tick);
    }
}

/// An evacuation elsewhere ended every job that had to wait because its worker was not listed for a moment.
#[test]
fn a_job_that_waits_for_a_worker_is_not_ended_by_an_evacuation_elsewhere() {
    for evacuated in [&[][..], &["b"]] {
        let mut sim = Simulation::with_data_centres(2, 1, &["a", "b"]);
        sim.evacuate(evacuated);
        sim.run_for(2 * Duration::from_secs(1));
        let mut entry = sim.worker_entry(0);
        entry.labels.push("only-in-a".into());
        sim.handle_command(0, Command::WorkerSeen(entry.clone()));
        for id in 1..=2 {
            let mut job = TestJob::new(id, 2, 200 * MS).with_slack();
            job.spec.steps[0].required_label = Some("only-in-a".into());
            sim.submit(0, Duration::from_millis(id), job);
        }
        sim.run_for(50 * MS);
        sim.handle_command(0, Command::WorkerGone(worker_name(0)));
        sim.run_for(100 * MS);
        sim.handle_command(0, Command::WorkerSeen(entry));
        sim.run_for(2 * Duration::from_secs(1));
        assert_eq!(sim.outcome(1), Some(JobOutcome::Completed), "{evacuated:?}");
        assert_eq!(sim.outcome(2), Some(JobOutcome::Completed), "{evacuated:?}");
    }
}

/// Durable jobs may wait for long, and are not lost with the evacuation.
#[test]
fn a_durable_job_waits_for_the_end_of_the_evacuation() {
    let mut sim = Simulation::with_data_centres(2, 1, &["b"]);
    let host = sim.add_host_with_records(2, &std::collections::BTreeSet::new());
    sim.kill(0);
    sim.run_for(3 * Duration::from_secs(1));
    for id in 1..=3 {
        sim.submit(host, MS, TestJob::new(id, 4, 600 * MS).durable());
    }
    sim.run_for(100 * MS);
    let requested = sim.now;
    sim.evacuate(&["b"]);
    sim.run_for(5 * Duration::from_secs(1));
    let grace_over = requested + sim.cfg.leased.evacuation_grace + CALL_MARGIN;
    assert_eq!(sim.starts_in("b", grace_over), 0);
    let starts = sim.start_counts.len();
    assert!((4..12).contains(&starts), "{starts} tasks have started");
    sim.evacuate(&[]);
    sim.run_for(5 * Duration::from_secs(1));
    assert_eq!(sim.start_counts.len(), 12);
    assert_eq!(sim.tasks_restarted_after_ack(), []);
    assert!(sim.concurrent_runs.is_empty());
}

/// Without an evacuation the set must change no decision, also not after one has ended.
#[test]
fn an_empty_set_changes_no_start() {
    let starts = |tells: bool| {
        let mut sim = Simulation::with_data_centres(12, 4, &["a", "b"]);
        let mut ids = 0;
        submit_load(&mut sim, &mut ids, 12.0, 1.2, (0, 3_000));
        if tells {
            sim.evacuate(&["nowhere"]);
            sim.evacuate(&[]);
        }
        sim.run_for(5 * Duration::from_secs(1));
        let started_at = sim.started_at;
        let times = sim.start_times.iter();
        times
            .map(|&(t, at)| (t, at - started_at))
            .collect::<Vec<_>>()
    };
    assert_eq!(starts(false), starts(true));
}

/// Workers that are cold after an evacuation are used after warm ones, with one task at a time.
#[test]
fn cold_workers_come_last_and_run_one_task_at_a_time() {
    let mut sim = Simulation::with_data_centres(2, 1, &["a", "b"]);
    let mut entry = sim.worker_entry(1);
    entry.cold_remaining = Duration::from_secs(2);
    assert_eq!(entry.state, WorkerState::Ready);
    sim.handle_command(0, Command::WorkerSeen(entry));
    sim.submit(0, MS, TestJob::new(1, 2, 300 * MS));
    sim.run_for(50 * MS);
    assert_eq!(
        sim.workers[1].running().count(),
        0,
        "the warm worker has room"
    );
    sim.submit(0, MS, TestJob::new(2, 2, 300 * MS).with_slack());
    sim.run_for(50 * MS);
    assert_eq!(sim.workers[1].running().count(), 1);
    sim.run_for(3 * Duration::from_secs(1));
    sim.submit(0, MS, TestJob::new(3, 4, 300 * MS));
    sim.run_for(50 * MS);
    assert_eq!(sim.workers[1].running().count(), 2, "it is warm again");
}

/// A cell in an evacuated data centre reports no capacity, the highest possible load. Adding the margin to it overflowed.
#[test]
fn a_cell_without_capacity_is_not_chosen_for_jobs_of_a_full_data_centre() {
    let candidate = |name: &str, load| Candidate {
        name: CellName(name.into()),
        load,
    };
    let candidates = [candidate("a/0", 130), candidate("b/0", u32::MAX)];
    for id in 0..100 {
        let chosen = choose(&request(JobId(id), "a"), &candidates);
        assert_eq!(chosen, Some(CellName("a/0".into())), "job {id}");
    }
}

/// Request for a job without preferred racks that no cell has had.
fn request(id: JobId, data_centre: &str) -> Request<'_> {
    Request {
        id,
        data_centre,
        data: None,
        declined_by: &[],
        refused_by: &[],
    }
}
