//! Slots borrowed between real entry processes.

use std::time::{Duration, Instant};

use geraniumrelay_testkit::caller::{Caller, job_of};
use geraniumrelay_testkit::cluster::gauge;
use geraniumrelay_testkit::entry_process::run_if_entry;
use geraniumrelay_testkit::{Cluster, ClusterPlan};

/// Longest wait for something that is bound to happen.
const PATIENCE: Duration = Duration::from_secs(20);

/// Tasks of a job: more than the slots of one target.
const TASKS: usize = 16;

#[test]
#[ignore = "runs as an entry process, started by the other tests"]
fn entry_role() {
    run_if_entry();
}

/// Each of the two entry VMs is home of one target. A job of twice its slots has the other half
/// started on borrowed ones.
#[test]
fn a_large_job_runs_on_borrowed_slots() {
    let cluster = Cluster::start(ClusterPlan::new(2, 2));
    let caller = Caller::new();
    let entry = cluster.entries[0].address;
    let until = Instant::now() + PATIENCE;
    let has_borrowed = || gauge(&caller, entry, "geraniumrelay_borrow_requests_total") > 0;
    while !has_borrowed() {
        assert!(Instant::now() < until, "no slot was asked for");
        let ticket = caller.tickets(entry, 1).remove(0);
        let told = caller.submit(
            entry,
            &ticket,
            &job_of("kiallitas-pont", "score", &[50; TASKS]),
        );
        assert!(told.is_complete(), "{told:?}");
    }
    assert!(
        cluster
            .targets
            .iter()
            .all(|target| !target.starts().is_empty())
    );
    assert!(cluster.starts_per_task().values().all(|n| *n == 1));
}
