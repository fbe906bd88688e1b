//! Callers' connections: a burst of new connections, and a stop while many are open.

use std::sync::Barrier;
use std::thread;
use std::time::Duration;

use geraniumrelay_testkit::caller::{Caller, job_of};
use geraniumrelay_testkit::entry_process::run_if_entry;
use geraniumrelay_testkit::{Cluster, ClusterPlan};

/// Maximum wait for an expected event.
const MAX_WAIT: Duration = Duration::from_secs(20);

/// Callers that connect at the same time, as at opening hour: more than the default listen backlog
/// holds.
const BURST: usize = 300;

/// Callers with an open connection when the entry process stops.
const OPEN_CALLERS: usize = 40;

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
fn a_stopping_process_answers_every_request_on_open_connections() {
    let mut cluster = Cluster::start(ClusterPlan::new(1, 8));
    let entry = cluster.entries[0].address;
    let job = job_of("kiallitas-pont", "score", &[600]);
    let (started, stopping) = (
        Barrier::new(OPEN_CALLERS + 1),
        Barrier::new(OPEN_CALLERS + 1),
    );
    thread::scope(|scope| {
        let callers: Vec<_> = (0..OPEN_CALLERS)
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
        // Time to send all requests before the stop. On a very slow machine a request may come
        // later; the verdict `NotRun` is correct then.
        thread::sleep(Duration::from_millis(300));
        cluster.entries[0].terminate();
        for caller in callers {
            let reply = caller.join().unwrap();
            assert!(
                matches!(reply.verdict(), "Completed" | "NotRun"),
                "{reply:?}"
            );
        }
    });
    let status = cluster.entries[0].wait(MAX_WAIT).expect("the process ends");
    assert!(status.success(), "{status}");
}

#[test]
fn a_request_on_an_open_connection_is_answered_after_the_stop_signal() {
    let plan = ClusterPlan::new(1, 1).with_setting("GERANIUMRELAY_STOP_LINGER", "15s");
    let cluster = Cluster::start(plan);
    let entry = cluster.entries[0].address;
    let caller = Caller::new();
    let ticket = caller.tickets(entry, 1).remove(0);
    cluster.entries[0].terminate();
    // Much longer than an idle process takes to drain.
    thread::sleep(Duration::from_millis(500));
    let reply = caller.submit(entry, &ticket, &job_of("kiallitas-pont", "score", &[20]));
    assert!(
        matches!(reply.verdict(), "Completed" | "NotRun"),
        "{reply:?}"
    );
}
