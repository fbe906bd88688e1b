//! The journal: kept answers and the list of what may have run, past killed owners and outages.

use std::thread;
use std::time::{Duration, Instant, SystemTime};

use geraniumctl::commands::journal::{JobList, JournalArgs, JournalState, list_jobs};
use geraniumrelay_platform::{
    CommitOutcome, JournalCommit, JournalStore, PlatformClient, PlatformConfig,
};
use geraniumrelay_testkit::caller::{Caller, RequestOutcome, job_of};
use geraniumrelay_testkit::cluster::gauge;
use geraniumrelay_testkit::entry_process::run_if_entry;
use geraniumrelay_testkit::{Cluster, ClusterPlan, PlatformFaults, PlatformStandIn};
use geraniumrelay_wire::{JobRequest, JournalRow, JournalWriter};

/// Longest wait for something that is bound to happen.
const PATIENCE: Duration = Duration::from_secs(20);

/// Time after which a writer that has been killed counts as ended.
const WRITER_SILENCE: Duration = Duration::from_mins(2);

#[test]
#[ignore = "runs as an entry process, started by the other tests"]
fn entry_role() {
    run_if_entry();
}

fn score(run_ms: u64) -> JobRequest {
    job_of("kiallitas-pont", "score", &[run_ms])
}

fn client(platform: &PlatformStandIn) -> PlatformClient {
    PlatformClient::new(PlatformConfig::new(platform.url()))
}

fn journal(cluster: &Cluster) -> Vec<JournalRow> {
    JournalStore::new(&client(&cluster.platform)).all().unwrap()
}

fn wait_until(what: &str, mut is_so: impl FnMut() -> bool) {
    let until = Instant::now() + PATIENCE;
    while !is_so() {
        assert!(Instant::now() < until, "{what} in time");
        thread::sleep(Duration::from_millis(10));
    }
}

fn wait_for_verdicts(cluster: &Cluster, verdicts: &[&str]) {
    wait_until("the journal has the answers", || {
        let rows = journal(cluster);
        let found: Vec<&str> = rows.iter().map(|row| row.verdict.as_str()).collect();
        found == verdicts
    });
}

fn list(cluster: &Cluster, unresolved: bool) -> JobList {
    let client = client(&cluster.platform);
    let store = JournalStore::new(&client);
    let (rows, writers) = (store.all().unwrap(), store.writers().unwrap());
    let args = JournalArgs {
        unresolved,
        service: None,
        platform: None,
    };
    list_jobs(&rows, &writers, SystemTime::now() + WRITER_SILENCE, &args)
}

#[test]
fn a_killed_owners_answer_is_kept() {
    let mut cluster = Cluster::start(ClusterPlan::new(2, 2));
    let caller = Caller::new();
    let [owner, other] = [cluster.entries[0].address, cluster.entries[1].address];
    let ticket = caller.tickets(owner, 1).remove(0);
    let first = caller.submit(owner, &ticket, &score(20));
    assert!(first.is_complete(), "{first:?}");
    wait_for_verdicts(&cluster, &["Completed"]);
    cluster.entries[0].kill();

    let RequestOutcome::Answer(kept) = caller.submit(other, &ticket, &score(20)) else {
        panic!("the kept answer");
    };
    assert_eq!((kept.status.as_str(), kept.tasks.len()), ("complete", 1));
    assert_eq!(kept.tasks[0].output, "0");
    let queried = caller.query(other, &ticket, Duration::ZERO);
    assert!(queried.is_complete(), "{queried:?}");
    let other_body = caller.submit(other, &ticket, &score(30));
    assert!(
        matches!(&other_body, RequestOutcome::Problem(p) if p.reason == "other-body"),
        "{other_body:?}"
    );
    assert_eq!(cluster.starts_per_task().len(), 1);
}

#[test]
fn what_a_killed_owner_left_is_listed() {
    let mut cluster = Cluster::start(ClusterPlan::new(2, 2));
    let caller = Caller::new();
    let owner = cluster.entries[0].address;
    let tickets = caller.tickets(owner, 2);
    assert!(caller.submit(owner, &tickets[0], &score(20)).is_complete());
    let running = thread::spawn({
        let (caller, ticket) = (caller.clone(), tickets[1].clone());
        move || caller.submit(owner, &ticket, &score(2_000))
    });
    wait_for_verdicts(&cluster, &["Completed", ""]);
    cluster.entries[0].kill();
    assert!(matches!(
        running.join().unwrap(),
        RequestOutcome::NoReply(_)
    ));

    let unresolved = list(&cluster, true);
    let names: Vec<&str> = unresolved
        .jobs
        .iter()
        .map(|job| job.ticket.as_str())
        .collect();
    assert_eq!(names, [tickets[1].as_str()]);
    assert_eq!(unresolved.jobs[0].standing, JournalState::Unresolved);
    assert!(unresolved.gaps.iter().any(|gap| gap.vm == "szeged-e0"));
    let told = caller.submit(cluster.entries[1].address, &tickets[1], &score(2_000));
    assert_eq!(told.verdict(), "MayHaveRun", "{told:?}");
}

#[test]
fn idempotent_kinds_leave_no_rows() {
    let cluster = Cluster::start(ClusterPlan::new(1, 2));
    let caller = Caller::new();
    let entry = cluster.entries[0].address;
    let tickets = caller.tickets(entry, 2);
    let check = job_of("kiallitas-pont", "eligibility", &[20]);
    let told = caller.submit(entry, &tickets[0], &check);
    assert!(told.is_complete(), "{told:?}");
    assert!(caller.submit(entry, &tickets[1], &score(20)).is_complete());
    wait_for_verdicts(&cluster, &["Completed"]);
    assert_eq!(journal(&cluster)[0].ticket, tickets[1]);
}

#[test]
fn an_outage_is_caught_up_with() {
    let cluster = Cluster::start(ClusterPlan::new(1, 2));
    let caller = Caller::new();
    let entry = cluster.entries[0].address;
    let tickets = caller.tickets(entry, 5);
    cluster.platform.set_faults(PlatformFaults {
        is_unavailable: true,
        ..PlatformFaults::default()
    });
    for ticket in &tickets {
        let told = caller.submit(entry, ticket, &score(5));
        assert!(told.is_complete(), "{told:?}");
    }
    wait_until("entries wait", || {
        gauge(&caller, entry, "geraniumrelay_journal_waiting_entries") > 0
    });
    cluster.platform.set_faults(PlatformFaults {
        lost_replies: 2,
        ..PlatformFaults::default()
    });
    wait_for_verdicts(&cluster, &["Completed"; 5]);
    assert!(list(&cluster, true).jobs.is_empty());
}

#[test]
fn a_stopped_entry_leaves_a_closed_journal() {
    let mut cluster = Cluster::start(ClusterPlan::new(1, 2));
    let caller = Caller::new();
    let entry = cluster.entries[0].address;
    let ticket = caller.tickets(entry, 1).remove(0);
    assert!(caller.submit(entry, &ticket, &score(20)).is_complete());
    cluster.entries[0].terminate();
    let status = cluster.entries[0].wait(PATIENCE).expect("the process ends");
    assert!(status.success(), "{status}");
    assert_eq!(journal(&cluster)[0].verdict, "Completed");
    let list = list(&cluster, true);
    assert_eq!((list.jobs.len(), list.gaps.len()), (0, 0), "{list:?}");
}

#[test]
fn a_delayed_commit_undoes_nothing() {
    let platform = PlatformStandIn::start();
    let client = client(&platform);
    let store = JournalStore::new(&client);
    let commit = |number: u64, writer_version, verdict: &str| JournalCommit {
        writer: JournalWriter {
            incarnation: 1,
            commit: number,
            ..JournalWriter::default()
        },
        writer_version,
        rows: vec![JournalRow {
            ticket: "t".to_owned(),
            verdict: verdict.to_owned(),
            ..JournalRow::default()
        }],
        expires: SystemTime::now() + PATIENCE,
    };
    let (intent, answer) = (commit(1, 0, ""), commit(2, 1, "Completed"));
    let committed = |writer_version| Ok(CommitOutcome::Committed { writer_version });
    assert_eq!(store.commit(&intent), committed(1));
    assert_eq!(store.commit(&intent), committed(1), "a repeat is read back");
    assert_eq!(store.commit(&answer), committed(2));
    let late = store.commit(&intent);
    assert_eq!(late, Ok(CommitOutcome::Conflict { writer_version: 2 }));
    assert_eq!(store.row("t").unwrap().unwrap().verdict, "Completed");
}
