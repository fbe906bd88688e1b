//! Whole processes: resubmissions, a killed owner, bad input, a graceful stop.

use std::collections::HashMap;
use std::thread;
use std::time::{Duration, Instant};

use geraniumrelay_testkit::caller::{Caller, RequestOutcome, job_of};
use geraniumrelay_testkit::entry_process::{EntryPlan, run_if_entry};
use geraniumrelay_testkit::ports::free_address;
use geraniumrelay_testkit::{Cluster, ClusterPlan, EntryProcess};

/// Longest wait for something that is bound to happen.
const PATIENCE: Duration = Duration::from_secs(20);

fn cluster(entries: usize) -> Cluster {
    Cluster::start(ClusterPlan::new(entries, 2))
}

#[test]
#[ignore = "runs as an entry process, started by the other tests"]
fn entry_role() {
    run_if_entry();
}

fn wait_for_starts(cluster: &Cluster, tasks: usize) {
    let until = Instant::now() + PATIENCE;
    while cluster.starts_per_task().len() < tasks {
        assert!(
            Instant::now() < until,
            "{tasks} tasks have not started in time"
        );
        thread::sleep(Duration::from_millis(5));
    }
}

fn assert_single_starts(starts: &HashMap<String, u32>) {
    assert!(starts.values().all(|n| *n == 1), "{starts:?}");
}

#[test]
fn a_resubmission_through_another_entry_starts_nothing() {
    let cluster = cluster(2);
    let caller = Caller::new();
    let [owner, other] = [cluster.entries[0].address, cluster.entries[1].address];
    let ticket = caller.tickets(owner, 1).remove(0);
    let job = job_of("kiallitas-pont", "score", &[300, 300]);
    let during = thread::spawn({
        let (caller, ticket, job) = (caller.clone(), ticket.clone(), job.clone());
        move || caller.submit(other, &ticket, &job)
    });
    let first = caller.submit(owner, &ticket, &job);
    let during = during.join().unwrap();
    let after = caller.submit(other, &ticket, &job);
    for told in [&first, &during, &after] {
        assert!(told.is_complete(), "{told:?}");
    }
    assert_eq!(cluster.starts_per_task().len(), 2);
    assert_single_starts(&cluster.starts_per_task());
}

#[test]
fn a_killed_owner_makes_resubmissions_may_have_run() {
    let mut cluster = cluster(2);
    let caller = Caller::new();
    let [owner, other] = [cluster.entries[0].address, cluster.entries[1].address];
    let ticket = caller.tickets(owner, 1).remove(0);
    let job = job_of("kiallitas-pont", "score", &[2_000]);
    let first = thread::spawn({
        let (caller, ticket, job) = (caller.clone(), ticket.clone(), job.clone());
        move || caller.submit(owner, &ticket, &job)
    });
    wait_for_starts(&cluster, 1);
    cluster.entries[0].kill();
    assert!(matches!(first.join().unwrap(), RequestOutcome::NoReply(_)));
    for _ in 0..3 {
        let told = caller.submit(other, &ticket, &job);
        assert_eq!(told.verdict(), "MayHaveRun", "{told:?}");
    }
    assert_single_starts(&cluster.starts_per_task());
}

#[test]
fn another_body_under_the_same_ticket_is_refused() {
    let cluster = cluster(1);
    let caller = Caller::new();
    let entry = cluster.entries[0].address;
    let ticket = caller.tickets(entry, 1).remove(0);
    let first = caller.submit(entry, &ticket, &job_of("kiallitas-pont", "score", &[20]));
    let other = caller.submit(entry, &ticket, &job_of("kiallitas-pont", "score", &[30]));
    assert!(first.is_complete(), "{first:?}");
    assert!(
        matches!(&other, RequestOutcome::Problem(p) if p.reason == "other-body"),
        "{other:?}"
    );
    assert_eq!(cluster.starts_per_task().len(), 1);
}

#[test]
fn a_refused_ticket_is_spent() {
    let cluster = cluster(1);
    let caller = Caller::new();
    let entry = cluster.entries[0].address;
    let ticket = caller.tickets(entry, 1).remove(0);
    let job = job_of("no-such-service", "score", &[20]);
    for _ in 0..2 {
        let told = caller.submit(entry, &ticket, &job);
        assert!(
            matches!(&told, RequestOutcome::Problem(p) if p.reason == "unknown-service"
                && p.verdict == "NotRun" && !p.next_ticket.is_empty()),
            "{told:?}"
        );
    }
}

#[test]
fn a_cancelled_ticket_never_starts() {
    let cluster = cluster(1);
    let caller = Caller::new();
    let entry = cluster.entries[0].address;
    let ticket = caller.tickets(entry, 1).remove(0);
    assert_eq!(caller.cancel(entry, &ticket).verdict(), "NotRun");
    let told = caller.submit(entry, &ticket, &job_of("kiallitas-pont", "score", &[20]));
    assert_eq!(told.verdict(), "NotRun", "{told:?}");
    assert!(cluster.starts_per_task().is_empty());
}

#[test]
fn a_graceful_stop_cuts_nothing_off() {
    let mut cluster = cluster(2);
    let caller = Caller::new();
    let entry = cluster.entries[0].address;
    let ticket = caller.tickets(entry, 1).remove(0);
    let job = job_of("kiallitas-pont", "score", &[800, 400]);
    let running = thread::spawn({
        let caller = caller.clone();
        move || caller.submit(entry, &ticket, &job)
    });
    wait_for_starts(&cluster, 2);
    cluster.entries[0].terminate();
    let told = running.join().unwrap();
    assert!(told.is_complete(), "{told:?}");
    let status = cluster.entries[0].wait(PATIENCE).expect("the process ends");
    assert!(status.success(), "{status}");
}

#[test]
fn an_address_that_is_taken_fails_the_start() {
    let cluster = cluster(1);
    let taken = &cluster.entries[0];
    let (platform, certs) = (cluster.platform.url(), cluster.certs.clone());
    let plan = EntryPlan::new("szeged-e9", "szeged", platform, certs);
    let free = free_address();
    for (address, peer_address) in [(taken.address, free), (free, taken.peer_address)] {
        let mut entry = EntryProcess::start_at(&plan, address, peer_address);
        let status = entry.wait(PATIENCE).expect("the process ends");
        assert!(!status.success(), "{status}");
    }
}
