//! Entry VMs while the platform is unavailable or has lost its list of VMs.

use std::thread;
use std::time::{Duration, Instant};

use geraniumrelay_testkit::caller::{Caller, job_of};
use geraniumrelay_testkit::entry_process::run_if_entry;
use geraniumrelay_testkit::{Cluster, ClusterPlan, PlatformFaults};

/// Maximum wait for an expected event.
const MAX_WAIT: Duration = Duration::from_secs(20);

/// Time between two attempts.
const RETRY_INTERVAL: Duration = Duration::from_millis(200);

#[test]
#[ignore = "runs as an entry process, started by the other test"]
fn entry_role() {
    run_if_entry();
}

#[test]
fn an_entry_started_while_the_platform_is_unavailable_serves() {
    let mut cluster = Cluster::start(ClusterPlan::new(2, 2));
    cluster.platform.set_faults(PlatformFaults {
        is_unavailable: true,
        ..PlatformFaults::default()
    });
    cluster.entries[0].kill();
    cluster.restart_entry(0);
    let (caller, entry) = (Caller::new(), cluster.entries[0].address);
    let job = job_of("kiallitas-pont", "score", &[20]);
    let until = Instant::now() + MAX_WAIT;
    loop {
        let ticket = caller.tickets(entry, 1).pop().unwrap_or_default();
        let reply = caller.submit(entry, &ticket, &job);
        if reply.is_complete() {
            return;
        }
        assert!(Instant::now() < until, "{reply:?}");
        thread::sleep(RETRY_INTERVAL);
    }
}

/// An empty list means that the platform has lost its list, not that the VMs are gone.
#[test]
fn an_empty_list_removes_no_target() {
    let cluster = Cluster::start(ClusterPlan::new(1, 2));
    let (caller, entry) = (Caller::new(), cluster.entries[0].address);
    let (_, reads) = cluster.platform.call_counts();
    cluster.platform.set_vms(Vec::new());
    let until = Instant::now() + MAX_WAIT;
    // Two polls, each of which reads the sheet's head and the list.
    while cluster.platform.call_counts().1 < reads + 4 {
        assert!(Instant::now() < until, "the list is not read in time");
        thread::sleep(RETRY_INTERVAL);
    }
    let ticket = caller.tickets(entry, 1).remove(0);
    let reply = caller.submit(entry, &ticket, &job_of("kiallitas-pont", "score", &[20]));
    assert!(reply.is_complete(), "{reply:?}");
}
