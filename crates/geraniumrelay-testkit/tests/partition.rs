//! Cuts between data centres and from the platform, duplicated datagrams, a frozen owner.

use std::collections::HashSet;
use std::net::SocketAddr;
use std::thread;
use std::time::{Duration, Instant};

use geraniumrelay_testkit::caller::{Caller, RequestOutcome, job_of};
use geraniumrelay_testkit::cluster::gauge;
use geraniumrelay_testkit::entry_process::run_if_entry;
use geraniumrelay_testkit::{Cluster, ClusterPlan, LinkFaults};

/// Longest wait for something that is bound to happen.
const PATIENCE: Duration = Duration::from_secs(20);

/// Time between two looks.
const STEP: Duration = Duration::from_millis(50);

/// Nothing passes.
const CUT: LinkFaults = LinkFaults {
    is_down: true,
    delay: Duration::ZERO,
    copies: 0,
};

#[test]
#[ignore = "runs as an entry process, started by the other tests"]
fn entry_role() {
    run_if_entry();
}

/// Two data centres with two entry processes each; the first two are in Szeged.
fn two_data_centres() -> Cluster {
    let plan = ClusterPlan::new(0, 2).with_relay();
    Cluster::start(plan.with_data_centres(&[("szeged", 2), ("gyor", 2)]))
}

fn wait_until(what: &str, mut holds: impl FnMut() -> bool) {
    let until = Instant::now() + PATIENCE;
    while !holds() {
        assert!(Instant::now() < until, "not in time: {what}");
        thread::sleep(STEP);
    }
}

fn is_told_to_wait(told: &RequestOutcome) -> bool {
    matches!(told, RequestOutcome::Problem(p) if p.verdict == "MayHaveRun" && p.retry_after_s > 0)
}

fn assert_single_starts(cluster: &Cluster) {
    let starts = cluster.starts_per_task();
    assert!(starts.values().all(|n| *n == 1), "{starts:?}");
}

fn assert_serves(caller: &Caller, entry: SocketAddr) {
    let ticket = caller.tickets(entry, 1).remove(0);
    let told = caller.submit(
        entry,
        &ticket,
        &job_of("kiallitas-pont", "score", &[20, 20]),
    );
    assert!(told.is_complete(), "{told:?}");
}

/// Waits until an entry process hears just as many peers.
fn wait_for_peers(caller: &Caller, entry: SocketAddr, peers: usize) {
    wait_until(&format!("{peers} peers heard"), || {
        gauge(caller, entry, "geraniumrelay_peers_heard") == peers
    });
}

fn wait_for_revision(caller: &Caller, entry: SocketAddr, revision: usize) {
    wait_until(&format!("revision {revision}"), || {
        gauge(caller, entry, "geraniumrelay_sheet_revision") == revision
    });
}

#[test]
fn data_centres_that_are_cut_off_from_each_other_serve_on_and_find_together() {
    let cluster = two_data_centres();
    let caller = Caller::new();
    let entries = cluster.addresses();
    // An idempotent kind has no journal, so only the owner knows the answer.
    let job = job_of("kiallitas-pont", "eligibility", &[30, 30]);
    let ran = caller.tickets(entries[0], 1).remove(0);
    let fresh = caller.tickets(entries[0], 1).remove(0);
    assert!(caller.submit(entries[0], &ran, &job).is_complete());

    cluster.set_link_faults("szeged", "gyor", CUT);
    for ticket in [&ran, &fresh] {
        let told = caller.submit(entries[2], ticket, &job);
        assert!(is_told_to_wait(&told), "{told:?}");
    }
    for entry in &entries {
        wait_for_peers(&caller, *entry, 1);
        assert_serves(&caller, *entry);
    }
    let told = caller.submit(entries[3], &fresh, &job);
    assert!(is_told_to_wait(&told), "{told:?}");

    cluster.set_link_faults("szeged", "gyor", LinkFaults::default());
    for entry in &entries {
        wait_for_peers(&caller, *entry, 3);
    }
    for ticket in [&ran, &fresh] {
        assert!(caller.submit(entries[2], ticket, &job).is_complete());
    }
    assert_single_starts(&cluster);
}

#[test]
fn a_data_centre_that_is_cut_off_from_the_platform_gets_revisions_from_its_peers() {
    let cluster = two_data_centres();
    let caller = Caller::new();
    let entries = cluster.addresses();
    cluster.isolate_from_platform(&["gyor"]);
    cluster.apply_sheet(2);
    for entry in &entries {
        wait_for_revision(&caller, *entry, 2);
        assert_serves(&caller, *entry);
    }
}

#[test]
fn a_data_centre_that_is_cut_off_from_everything_serves_on_and_catches_up() {
    let cluster = two_data_centres();
    let caller = Caller::new();
    let entries = cluster.addresses();
    cluster.isolate_from_platform(&["gyor"]);
    cluster.set_link_faults("szeged", "gyor", CUT);
    cluster.apply_sheet(2);
    for entry in &entries[..2] {
        wait_for_revision(&caller, *entry, 2);
    }
    for entry in &entries[2..] {
        wait_for_peers(&caller, *entry, 1);
        assert_serves(&caller, *entry);
        assert_eq!(gauge(&caller, *entry, "geraniumrelay_sheet_revision"), 1);
    }
    cluster.set_link_faults("szeged", "gyor", LinkFaults::default());
    for entry in &entries {
        wait_for_revision(&caller, *entry, 2);
        wait_for_peers(&caller, *entry, 3);
    }
    cluster.isolate_from_platform(&[]);
    assert_single_starts(&cluster);
}

#[test]
fn duplicated_and_late_datagrams_start_nothing_twice() {
    let cluster = two_data_centres();
    let caller = Caller::new();
    let entries = cluster.addresses();
    let faults = LinkFaults {
        delay: Duration::from_millis(20),
        copies: 2,
        ..LinkFaults::default()
    };
    for other in ["szeged", "gyor"] {
        cluster.set_link_faults("szeged", other, faults);
    }
    let job = job_of("kiallitas-pont", "score", &[30, 30]);
    let tickets = caller.tickets(entries[0], 10);
    let submit_all = |entry: SocketAddr| {
        let (caller, tickets, job) = (caller.clone(), tickets.clone(), job.clone());
        thread::spawn(move || -> Vec<RequestOutcome> {
            let told = tickets.iter().map(|t| caller.submit(entry, t, &job));
            told.collect()
        })
    };
    let callers: Vec<_> = entries.iter().map(|entry| submit_all(*entry)).collect();
    for told in callers.into_iter().flat_map(|c| c.join().unwrap()) {
        assert!(told.is_complete(), "{told:?}");
    }
    assert_eq!(cluster.starts_per_task().len(), tickets.len() * 2);
    assert_single_starts(&cluster);
}

#[test]
fn a_frozen_owner_neither_starts_twice_nor_lies() {
    let cluster = Cluster::start(ClusterPlan::new(2, 2));
    let caller = Caller::new();
    let [owner, other] = [cluster.entries[0].address, cluster.entries[1].address];
    let job = job_of("kiallitas-pont", "eligibility", &[200, 200]);
    let tickets = caller.tickets(owner, 2);
    let (running, fresh) = (&tickets[0], &tickets[1]);
    let first = thread::spawn({
        let (caller, ticket, job) = (caller.clone(), running.clone(), job.clone());
        move || caller.submit(owner, &ticket, &job)
    });
    wait_until("both tasks start", || cluster.starts_per_task().len() == 2);
    cluster.entries[0].pause();
    wait_for_peers(&caller, other, 0);
    for ticket in [running, fresh] {
        let told = caller.submit(other, ticket, &job);
        assert!(is_told_to_wait(&told), "{told:?}");
    }
    cluster.entries[0].resume();
    wait_for_peers(&caller, other, 1);
    let first = first.join().unwrap();
    assert!(first.is_complete(), "{first:?}");
    assert_eq!(caller.submit(other, running, &job).verdict(), "Completed");
    assert!(caller.submit(other, fresh, &job).is_complete());
    let tasks: HashSet<String> = cluster.starts_per_task().into_keys().collect();
    assert_eq!(tasks.len(), 4);
    assert_single_starts(&cluster);
}
