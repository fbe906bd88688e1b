//! Callers' connections: bursts of new ones, and a stop while many are kept open.

use std::sync::Barrier;
use std::thread;
use std::time::Duration;

use geraniumrelay_testkit::caller::{Caller, job_of};
use geraniumrelay_testkit::entry_process::run_if_entry;
use geraniumrelay_testkit::{Cluster, ClusterPlan};

/// Longest wait for something that is bound to happen.
const PATIENCE: Duration = Duration::from_secs(20);

/// Callers that connect at once, as at opening hour: more than a default backlog holds.
const BURST: usize = 300;

/// Callers with kept connections at a stop.
const KEPT: usize = 40;

#[test]
#[ignore = "runs as an entry process, started by the other tests"]
fn entry_role() {
    run_if_entry();
}

#[test]
fn a_burst_of_new_connections_is_served() {
    let cluster = Cluster::start(ClusterPlan::new(1, 4));
    let entry = cluster.entries[0].address;
    let barrier = Barrier::new(BURST);
    let tickets = thread::scope(|scope| {
        let callers: Vec<_> = (0..BURST)
            .map(|_| {
                scope.spawn(|| {
                    barrier.wait();
                    Caller::new().tickets(entry, 1).len()
                })
            })
            .collect();
        callers
            .into_iter()
            .map(|caller| caller.join().unwrap())
            .sum::<usize>()
    });
    assert_eq!(tickets, BURST);
}

#[test]
fn a_stop_answers_every_request_on_kept_connections() {
    let mut cluster = Cluster::start(ClusterPlan::new(1, 8));
    let entry = cluster.entries[0].address;
    let job = job_of("kiallitas-pont", "score", &[600]);
    let (started, stopping) = (Barrier::new(KEPT + 1), Barrier::new(KEPT + 1));
    thread::scope(|scope| {
        let callers: Vec<_> = (0..KEPT)
            .map(|_| {
                scope.spawn(|| {
                    let caller = Caller::new();
                    let ticket = caller.tickets(entry, 1).remove(0);
                    started.wait();
                    stopping.wait();
                    caller.submit(entry, &ticket, &job)
                })
            })
            .collect();
        started.wait();
        stopping.wait();
        // All are sent before the stop where the machine is not very slow; one that comes later
        // is refused truthfully.
        thread::sleep(Duration::from_millis(300));
        cluster.entries[0].terminate();
        for caller in callers {
            let told = caller.join().unwrap();
            assert!(matches!(told.verdict(), "Completed" | "NotRun"), "{told:?}");
        }
    });
    let status = cluster.entries[0].wait(PATIENCE).expect("the process ends");
    assert!(status.success(), "{status}");
}

#[test]
fn a_kept_connection_is_answered_while_a_stop_begins() {
    let plan = ClusterPlan::new(1, 1).with_setting("GERANIUMRELAY_STOP_LINGER", "15s");
    let cluster = Cluster::start(plan);
    let entry = cluster.entries[0].address;
    let caller = Caller::new();
    let ticket = caller.tickets(entry, 1).remove(0);
    cluster.entries[0].terminate();
    // Far longer than a process without work needs to drain.
    thread::sleep(Duration::from_millis(500));
    let told = caller.submit(entry, &ticket, &job_of("kiallitas-pont", "score", &[20]));
    assert!(matches!(told.verdict(), "Completed" | "NotRun"), "{told:?}");
}
