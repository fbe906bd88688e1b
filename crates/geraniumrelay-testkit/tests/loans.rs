//! Loans of slots between real entry processes.

use std::time::{Duration, Instant};

use geraniumrelay_testkit::caller::{Caller, job_of};
use geraniumrelay_testkit::cluster::gauge;
use geraniumrelay_testkit::entry_process::run_if_entry;
use geraniumrelay_testkit::{Cluster, ClusterPlan};

/// Maximum wait for an expected event.
const MAX_WAIT: Duration = Duration::from_secs(20);

/// Tasks of a job: more than the slots of one target.
const TASKS: usize = 16;

#[test]
#[ignore = "runs as an entry process, started by the other tests"]
fn entry_role() {
    run_if_entry();
}

/// Each of the two entry VMs is the assigned entry VM of one target. A job with twice as many tasks
/// as a target has slots starts the second half on borrowed slots.
#[test]
fn a_large_job_runs_on_borrowed_slots() {
    let cluster = Cluster::start(ClusterPlan::new(2, 2));
    let caller = Caller::new();
    let entry = cluster.entries[0].address;
    let until = Instant::now() + MAX_WAIT;
    let has_borrowed = || gauge(&caller, entry, "geraniumrelay_borrow_requests_total") > 0;
    while !has_borrowed() {
        assert!(Instant::now() < until, "no slots were requested in time");
        let ticket = caller.tickets(entry, 1).remove(0);
        let reply = caller.submit(
            entry,
            &ticket,
            &job_of("kiallitas-pont", "score", &[50; TASKS]),
        );
        assert!(reply.is_complete(), "{reply:?}");
    }
    assert!(
        cluster
            .targets
            .iter()
            .all(|target| !target.starts().is_empty())
    );
    assert!(cluster.starts_per_task().values().all(|n| *n == 1));
}
