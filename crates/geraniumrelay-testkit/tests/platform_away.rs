//! The platform is away while an entry VM is replaced.

use std::thread;
use std::time::{Duration, Instant};

use geraniumrelay_testkit::caller::{Caller, job_of};
use geraniumrelay_testkit::entry_process::run_if_entry;
use geraniumrelay_testkit::{Cluster, ClusterPlan, PlatformFaults};

/// Longest wait for something that is bound to happen.
const PATIENCE: Duration = Duration::from_secs(20);

/// Time between two tries.
const STEP: Duration = Duration::from_millis(200);

#[test]
#[ignore = "runs as an entry process, started by the other test"]
fn entry_role() {
    run_if_entry();
}

#[test]
fn an_entry_started_while_the_platform_is_away_serves() {
    let mut cluster = Cluster::start(ClusterPlan::new(2, 2));
    cluster.platform.set_faults(PlatformFaults {
        is_unavailable: true,
        ..PlatformFaults::default()
    });
    cluster.entries[0].kill();
    cluster.restart_entry(0);
    let (caller, entry) = (Caller::new(), cluster.entries[0].address);
    let job = job_of("kiallitas-pont", "score", &[20]);
    let until = Instant::now() + PATIENCE;
    loop {
        let ticket = caller.tickets(entry, 1).pop().unwrap_or_default();
        let told = caller.submit(entry, &ticket, &job);
        if told.is_complete() {
            return;
        }
        assert!(Instant::now() < until, "{told:?}");
        thread::sleep(STEP);
    }
}

/// A platform that has lost its list says nothing of the VMs.
#[test]
fn an_empty_list_takes_no_target_away() {
    let cluster = Cluster::start(ClusterPlan::new(1, 2));
    let (caller, entry) = (Caller::new(), cluster.entries[0].address);
    let (_, reads) = cluster.platform.call_counts();
    cluster.platform.set_vms(Vec::new());
    let until = Instant::now() + PATIENCE;
    // Two polls read the sheet's head and the list each.
    while cluster.platform.call_counts().1 < reads + 4 {
        assert!(Instant::now() < until, "the list is read");
        thread::sleep(STEP);
    }
    let ticket = caller.tickets(entry, 1).remove(0);
    let told = caller.submit(entry, &ticket, &job_of("kiallitas-pont", "score", &[20]));
    assert!(told.is_complete(), "{told:?}");
}
