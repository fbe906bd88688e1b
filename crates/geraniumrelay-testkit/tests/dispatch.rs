//! Connections to targets that break, and what callers are told of it.

use std::thread;
use std::time::{Duration, Instant};

use geraniumrelay_testkit::caller::{Caller, RequestOutcome, job_of};
use geraniumrelay_testkit::entry_process::run_if_entry;
use geraniumrelay_testkit::target::ConnectionFault;
use geraniumrelay_testkit::{Cluster, ClusterPlan, TargetFaults};

/// Longest wait for something that is bound to happen.
const PATIENCE: Duration = Duration::from_secs(20);

#[test]
#[ignore = "runs as an entry process, started by the other tests"]
fn entry_role() {
    run_if_entry();
}

fn submit(cluster: &Cluster, run_ms: &[u64]) -> RequestOutcome {
    let caller = Caller::new();
    let entry = cluster.entries[0].address;
    let ticket = caller.tickets(entry, 1).remove(0);
    caller.submit(entry, &ticket, &job_of("kiallitas-pont", "score", run_ms))
}

fn breaking(connections: ConnectionFault) -> TargetFaults {
    TargetFaults {
        connections,
        ..TargetFaults::default()
    }
}

fn starts(cluster: &Cluster) -> usize {
    cluster
        .targets
        .iter()
        .map(|target| target.starts().len())
        .sum()
}

/// A kept connection that the target closes just as the next task is sent can't be told from one
/// on which the task started: the client must neither repeat it nor call it not run.
#[test]
fn a_kept_connection_that_closes_repeats_nothing() {
    let cluster = Cluster::start(ClusterPlan::new(1, 1));
    cluster.targets[0].set_faults(breaking(ConnectionFault::ClosesAfterReply));
    let mut told_complete = 0;
    for _ in 0..40 {
        let told = submit(&cluster, &[1]);
        match told.verdict() {
            "Completed" => told_complete += 1,
            "MayHaveRun" => {}
            other => panic!("{other}: {told:?}"),
        }
    }
    println!("{told_complete} of 40 complete");
    assert!(starts(&cluster) >= told_complete);
    assert!(cluster.starts_per_task().values().all(|n| *n == 1));
}

#[test]
fn a_connection_lost_after_the_start_may_have_run() {
    let cluster = Cluster::start(ClusterPlan::new(1, 1));
    cluster.targets[0].set_faults(breaking(ConnectionFault::ClosesWithoutReply));
    let told = submit(&cluster, &[20]);
    assert_eq!(told.verdict(), "MayHaveRun", "{told:?}");
    assert_eq!(starts(&cluster), 1);
}

#[test]
fn a_refused_task_starts_on_another_target() {
    let cluster = Cluster::start(ClusterPlan::new(1, 2));
    cluster.targets[0].set_faults(TargetFaults {
        is_leaving: true,
        ..TargetFaults::default()
    });
    for _ in 0..4 {
        let told = submit(&cluster, &[5, 5]);
        assert!(told.is_complete(), "{told:?}");
    }
    assert!(cluster.targets[0].starts().is_empty());
    assert_eq!(
        cluster.targets[0].refusals_and_stops().0,
        1,
        "a leaving target is asked once"
    );
}

#[test]
fn a_failed_task_fails_its_job_and_stops_the_rest() {
    let cluster = Cluster::start(ClusterPlan::new(1, 2));
    cluster.targets[0].set_faults(TargetFaults {
        fails_all_tasks: true,
        ..TargetFaults::default()
    });
    let told = submit(&cluster, &[5_000, 5_000]);
    assert_eq!(told.verdict(), "Failed", "{told:?}");
    let RequestOutcome::Answer(answer) = told else {
        panic!("a failed job has an answer");
    };
    assert!(answer.tasks.iter().all(|task| task.output.is_empty()));
    let until = Instant::now() + PATIENCE;
    while cluster.targets[1].refusals_and_stops().1 == 0 {
        assert!(Instant::now() < until, "the running task is told to stop");
        thread::sleep(Duration::from_millis(5));
    }
}
