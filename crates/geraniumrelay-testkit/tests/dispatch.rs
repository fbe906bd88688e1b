//! Broken connections to targets, and the verdicts that callers get.

use std::thread;
use std::time::{Duration, Instant};

use geraniumrelay_testkit::caller::{Caller, RequestOutcome, job_of};
use geraniumrelay_testkit::entry_process::run_if_entry;
use geraniumrelay_testkit::target::ConnectionFault;
use geraniumrelay_testkit::{Cluster, ClusterPlan, TargetFaults};

/// Maximum wait for an expected event.
const MAX_WAIT: Duration = Duration::from_secs(20);

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

fn with_connection_fault(connections: ConnectionFault) -> TargetFaults {
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

/// A target may close a keep-alive connection just as the next task is sent. The client can't tell
/// whether the task has started, so it must neither resend the task nor report it as not run.
#[test]
fn a_task_on_a_closed_keep_alive_connection_is_not_resent() {
    let cluster = Cluster::start(ClusterPlan::new(1, 1));
    cluster.targets[0].set_faults(with_connection_fault(ConnectionFault::ClosesAfterReply));
    let mut completed = 0;
    for _ in 0..40 {
        let reply = submit(&cluster, &[1]);
        match reply.verdict() {
            "Completed" => completed += 1,
            "MayHaveRun" => {}
            other => panic!("{other}: {reply:?}"),
        }
    }
    println!("{completed} of 40 complete");
    assert!(starts(&cluster) >= completed);
    assert!(cluster.starts_per_task().values().all(|n| *n == 1));
}

#[test]
fn a_connection_lost_after_the_start_is_reported_as_may_have_run() {
    let cluster = Cluster::start(ClusterPlan::new(1, 1));
    cluster.targets[0].set_faults(with_connection_fault(ConnectionFault::ClosesWithoutReply));
    let reply = submit(&cluster, &[20]);
    assert_eq!(reply.verdict(), "MayHaveRun", "{reply:?}");
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
        let reply = submit(&cluster, &[5, 5]);
        assert!(reply.is_complete(), "{reply:?}");
    }
    assert!(cluster.targets[0].starts().is_empty());
    assert_eq!(
        cluster.targets[0].refusals_and_stops().0,
        1,
        "a leaving target gets a single start call"
    );
}

#[test]
fn a_failed_task_fails_its_job_and_stops_the_other_tasks() {
    let cluster = Cluster::start(ClusterPlan::new(1, 2));
    cluster.targets[0].set_faults(TargetFaults {
        fails_all_tasks: true,
        ..TargetFaults::default()
    });
    let reply = submit(&cluster, &[5_000, 5_000]);
    assert_eq!(reply.verdict(), "Failed", "{reply:?}");
    let RequestOutcome::Answer(answer) = reply else {
        panic!("a failed job has an answer");
    };
    assert!(answer.tasks.iter().all(|task| task.output.is_empty()));
    let until = Instant::now() + MAX_WAIT;
    while cluster.targets[1].refusals_and_stops().1 == 0 {
        assert!(
            Instant::now() < until,
            "the running task gets no stop call in time"
        );
        thread::sleep(Duration::from_millis(5));
    }
}
