//! Sheets while the store is unavailable, slow or loses replies, while operators apply at the same
//! time, and while entry processes are killed, paused or without the platform.

use std::net::SocketAddr;
use std::sync::Barrier;
use std::thread;
use std::time::{Duration, Instant};

use geraniumctl::Exit;
use geraniumctl::client::RequestError;
use geraniumrelay_core::modules::sheet::parse_sheet;
use geraniumrelay_platform::{
    AcceptOutcome, AuditEntry, PlatformClient, PlatformConfig, PlatformError, SheetRecord,
    SheetStore, audit_key,
};
use geraniumrelay_testkit::caller::{Caller, job_of};
use geraniumrelay_testkit::cluster::gauge;
use geraniumrelay_testkit::entry_process::{EntryPlan, EntryProcess, run_if_entry};
use geraniumrelay_testkit::operators::{OPERATORS, client, run_ctl};
use geraniumrelay_testkit::peer_relay::LinkFaults;
use geraniumrelay_testkit::ports::free_address;
use geraniumrelay_testkit::{Cluster, ClusterPlan, PlatformFaults};
use geraniumrelay_wire::{ApplyOutcome, ApplySheet, Transaction};

/// Maximum wait for an expected event.
const MAX_WAIT: Duration = Duration::from_secs(20);

/// Delay of a late write; longer than any client's time-out.
const LATE_WRITE_DELAY: Duration = Duration::from_millis(3_500);

const SHEET_PATH: &str = "/v1/operator/sheet";

const REVISION: &str = "geraniumrelay_sheet_revision";

const SAMPLE: &str = include_str!("../../../samples/kiallitas-pont.csv");

#[test]
#[ignore = "runs as an entry process, started by the other tests"]
fn entry_role() {
    run_if_entry();
}

/// The sample sheet with a different number of workers in Győr.
fn sheet(workers: usize) -> String {
    SAMPLE.replace("gyor,16", &format!("gyor,{workers}"))
}

fn request(base: u64, who: &str, workers: usize) -> ApplySheet {
    ApplySheet {
        base,
        apply_id: format!("{who}-{base}"),
        sheet: sheet(workers),
    }
}

type PostResult = Result<ApplyOutcome, RequestError>;

fn post(entry: SocketAddr, who: &str, req: &ApplySheet) -> PostResult {
    client(&[entry], who).post(entry, SHEET_PATH, req)
}

/// Resends a request until its outcome is known, each time to the next entry process.
fn post_until_known(entries: &[SocketAddr], who: &str, req: &ApplySheet) -> ApplyOutcome {
    let until = Instant::now() + MAX_WAIT;
    for entry in entries.iter().cycle() {
        match post(*entry, who, req) {
            Ok(outcome) => return outcome,
            Err(e) => assert!(e.is_retryable() && Instant::now() < until, "{e}"),
        }
    }
    unreachable!("there is an entry process")
}

/// Audit entries in the platform's table, in order of revision.
fn audit(cluster: &Cluster) -> Vec<AuditEntry> {
    let rows = cluster.platform.rows();
    let rows = rows.iter().filter(|row| row.key.starts_with("audit/"));
    rows.map(|row| serde_json::from_str(&row.value).unwrap())
        .collect()
}

fn wait_for_revision(entries: &[SocketAddr], revision: usize) {
    let caller = Caller::new();
    let until = Instant::now() + MAX_WAIT;
    for entry in entries {
        while gauge(&caller, *entry, REVISION) < revision {
            assert!(
                Instant::now() < until,
                "revision {revision} is not in force in time"
            );
            thread::sleep(Duration::from_millis(5));
        }
    }
}

fn store_directly(cluster: &Cluster, revision: u64, sheet: &str) {
    let client = PlatformClient::new(PlatformConfig::new(cluster.platform.url()));
    let record = SheetRecord {
        revision,
        apply_id: format!("direct-{revision}"),
        sheet: sheet.to_owned(),
    };
    let audit = AuditEntry {
        revision,
        apply_id: record.apply_id.clone(),
        ..AuditEntry::default()
    };
    let outcome = SheetStore::new(&client).accept(revision - 1, &record, &audit);
    assert_eq!(outcome, Ok(AcceptOutcome::Accepted { revision }));
}

fn unavailable() -> PlatformFaults {
    PlatformFaults {
        is_unavailable: true,
        ..PlatformFaults::default()
    }
}

#[test]
fn a_refused_connection_is_reported_as_unreachable() {
    let unused_address = free_address();
    let result = post(unused_address, "anna", &request(1, "anna", 20));
    assert!(
        matches!(result, Err(RequestError::Unreachable { .. })),
        "{result:?}"
    );
    let client = PlatformClient::new(PlatformConfig::new(format!("http://{unused_address}")));
    let result = client.commit(&Transaction::default());
    assert!(
        matches!(result, Err(PlatformError::Unreachable { .. })),
        "{result:?}"
    );
}

#[test]
fn a_base_beyond_the_last_revision_is_not_accepted() {
    let cluster = Cluster::start(ClusterPlan::new(1, 1));
    let entry = cluster.entries[0].operator_address;
    for (base, is_in_range) in [(u64::MAX, false), (7, true)] {
        let result = post(entry, "anna", &request(base, "anna", 20));
        let is_refused = matches!(result, Err(RequestError::Refused { .. }));
        let is_conflict = matches!(&result, Ok(outcome) if !outcome.accepted);
        assert_eq!(
            (is_refused, is_conflict),
            (!is_in_range, is_in_range),
            "{result:?}"
        );
    }
    assert_eq!(audit(&cluster).len(), 1);
}

#[test]
fn a_lost_reply_does_not_accept_twice() {
    let cluster = Cluster::start(ClusterPlan::new(2, 1));
    cluster.platform.set_faults(PlatformFaults {
        lost_replies: 1,
        ..PlatformFaults::default()
    });
    let path = cluster.dir().join("sheet.csv");
    std::fs::write(&path, sheet(20)).unwrap();
    let args = ["apply", path.to_str().unwrap(), "--yes"];
    let outcome = run_ctl(&cluster.operator_addresses(), "anna", &args);
    assert_eq!(outcome.exit, None, "{}", outcome.text);
    assert!(
        outcome.text.contains("accepted as revision 2"),
        "{}",
        outcome.text
    );
    let whos: Vec<_> = audit(&cluster).into_iter().map(|entry| entry.who).collect();
    assert_eq!(whos, ["", "anna"]);
}

#[test]
fn a_resent_apply_is_reported_as_accepted_after_a_later_revision() {
    let cluster = Cluster::start(ClusterPlan::new(1, 1));
    let entry = cluster.entries[0].operator_address;
    cluster.platform.set_faults(PlatformFaults {
        lost_replies: 1,
        ..PlatformFaults::default()
    });
    let first = request(1, "anna", 20);
    let lost = post(entry, "anna", &first);
    assert!(
        matches!(lost, Err(RequestError::Unknown { .. })),
        "{lost:?}"
    );
    let second = post(entry, "bela", &request(2, "bela", 24)).unwrap();
    assert!(second.accepted);
    let resent = post(entry, "anna", &first).unwrap();
    assert_eq!((resent.accepted, resent.revision), (true, 2));
    assert_eq!(audit(&cluster).len(), 3);
    wait_for_revision(&[cluster.entries[0].address], 3);
}

#[test]
fn the_store_reports_a_resent_apply_as_accepted_after_a_later_revision() {
    let cluster = Cluster::start(ClusterPlan::new(1, 1));
    store_directly(&cluster, 2, &sheet(20));
    store_directly(&cluster, 3, &sheet(24));
    let client = PlatformClient::new(PlatformConfig::new(cluster.platform.url()));
    let record = SheetRecord {
        revision: 2,
        apply_id: "direct-2".to_owned(),
        sheet: sheet(20),
    };
    let before = cluster.platform.rows();
    let again = SheetStore::new(&client).accept(1, &record, &AuditEntry::default());
    assert_eq!(again, Ok(AcceptOutcome::Accepted { revision: 2 }));
    assert_eq!(cluster.platform.rows(), before);
}

#[test]
fn while_the_store_is_unavailable_nothing_changes_and_callers_are_served() {
    let cluster = Cluster::start(ClusterPlan::new(2, 1));
    let entries = cluster.operator_addresses();
    let before = cluster.platform.rows();
    cluster.platform.set_faults(unavailable());
    let req = request(1, "anna", 20);
    let refused = post(entries[0], "anna", &req);
    assert!(
        matches!(refused, Err(RequestError::Unreachable { .. })),
        "{refused:?}"
    );
    let path = cluster.dir().join("sheet.csv");
    std::fs::write(&path, sheet(20)).unwrap();
    let outcome = run_ctl(
        &entries,
        "anna",
        &["apply", path.to_str().unwrap(), "--yes"],
    );
    assert_eq!(outcome.exit, Some(Exit::Unreachable), "{}", outcome.text);
    assert_eq!(cluster.platform.rows(), before);
    let (caller, entry) = (Caller::new(), cluster.entries[0].address);
    let ticket = caller.tickets(entry, 1).remove(0);
    assert!(
        caller
            .submit(entry, &ticket, &job_of("kiallitas-pont", "score", &[10]))
            .is_complete()
    );
    cluster.platform.set_faults(PlatformFaults::default());
    assert!(post(entries[0], "anna", &req).unwrap().accepted);
}

#[test]
fn a_slow_store_accepts_once() {
    let cluster = Cluster::start(ClusterPlan::new(2, 1));
    // Each call ends within its time-out, but an accept takes several calls.
    cluster.platform.set_faults(PlatformFaults {
        delay: Duration::from_millis(600),
        ..PlatformFaults::default()
    });
    let outcome = post_until_known(
        &cluster.operator_addresses(),
        "anna",
        &request(1, "anna", 20),
    );
    assert_eq!((outcome.accepted, outcome.revision), (true, 2));
    // The write takes effect after its client's time-out and after the resend: it must not count a
    // second time.
    cluster.platform.set_faults(PlatformFaults {
        write_delay: LATE_WRITE_DELAY,
        ..PlatformFaults::default()
    });
    let req = request(2, "bela", 24);
    let result = post(cluster.entries[0].operator_address, "bela", &req);
    assert!(
        matches!(result, Err(RequestError::Unknown { .. })),
        "{result:?}"
    );
    cluster.platform.set_faults(PlatformFaults::default());
    let outcome = post_until_known(&cluster.operator_addresses(), "bela", &req);
    assert_eq!((outcome.accepted, outcome.revision), (true, 3));
    // The late write reached the platform before the resend, so it has ended after this time.
    thread::sleep(LATE_WRITE_DELAY);
    assert_eq!(audit(&cluster).len(), 3);
    wait_for_revision(&cluster.addresses(), 3);
}

#[test]
fn of_concurrent_applies_one_is_accepted_and_the_others_name_its_operator() {
    let cluster = Cluster::start(ClusterPlan::new(3, 1));
    let entries = cluster.operator_addresses();
    let mut base = 1;
    for operators in 2..=OPERATORS.len() {
        cluster.platform.set_faults(PlatformFaults {
            lost_replies: u32::try_from(operators % 3).unwrap(),
            ..PlatformFaults::default()
        });
        let outcomes = apply_concurrently(&entries, base, operators);
        let winners = outcomes.iter().filter(|outcome| outcome.accepted).count();
        assert_eq!(winners, 1, "{outcomes:?}");
        base += 1;
        let trail = audit(&cluster);
        let winner = trail.last().unwrap();
        assert_eq!(trail.len() as u64, base);
        assert_eq!(winner.apply_id, format!("{}-{}", winner.who, base - 1));
        for outcome in outcomes {
            let first = &outcome.entries[0];
            assert_eq!((first.revision, &first.who), (base, &winner.who));
            assert!(first.changes[0].contains("capacity"), "{first:?}");
        }
    }
    let addresses: Vec<_> = cluster.addresses();
    wait_for_revision(&addresses, usize::try_from(base).unwrap());
}

fn apply_concurrently(entries: &[SocketAddr], base: u64, operators: usize) -> Vec<ApplyOutcome> {
    let barrier = Barrier::new(operators);
    thread::scope(|scope| {
        let threads = OPERATORS[..operators].iter().zip(0..).map(|(who, n)| {
            let barrier = &barrier;
            // Capacities differ by base, so that every apply is a change.
            let workers = 100 + usize::try_from(base).unwrap() * 20 + n;
            scope.spawn(move || {
                let mut entries = entries.to_vec();
                let first = n % entries.len();
                entries.rotate_left(first);
                barrier.wait();
                post_until_known(&entries, who, &request(base, who, workers))
            })
        });
        let threads: Vec<_> = threads.collect();
        threads
            .into_iter()
            .map(|thread| thread.join().unwrap())
            .collect()
    })
}

#[test]
fn an_accept_is_atomic_when_its_process_is_killed_at_any_step() {
    let mut cluster = Cluster::start(ClusterPlan::new(2, 1));
    // An accept is three reads and a write, in sequence.
    cluster.platform.set_faults(PlatformFaults {
        delay: Duration::from_millis(200),
        ..PlatformFaults::default()
    });
    let other = cluster.entries[1].operator_address;
    for (base, kill_after) in (1..).zip([100, 300, 500, 700, 900]) {
        let vm = format!("szeged-k{base}");
        cluster.add_entry(&vm, "szeged");
        let mut victim = cluster.entries.pop().unwrap();
        let entry = victim.operator_address;
        wait_for_revision(&[victim.address], usize::try_from(base).unwrap());
        let req = request(base, "anna", 100 + usize::try_from(base).unwrap());
        let first = thread::spawn({
            let req = req.clone();
            move || post(entry, "anna", &req)
        });
        thread::sleep(Duration::from_millis(kill_after));
        victim.kill();
        let result = first.join().unwrap();
        assert!(
            !matches!(result, Err(RequestError::Refused { .. })),
            "{result:?}"
        );
        let outcome = post_until_known(&[other], "anna", &req);
        assert_eq!((outcome.accepted, outcome.revision), (true, base + 1));
        let applies = audit(&cluster).into_iter().map(|entry| entry.apply_id);
        assert_eq!(applies.filter(|id| *id == req.apply_id).count(), 1);
    }
}

#[test]
fn a_process_started_while_the_platform_is_unavailable_gets_the_newest_sheet_of_its_peers() {
    let mut cluster = Cluster::start(ClusterPlan::new(3, 1));
    for revision in 2..=4 {
        store_directly(
            &cluster,
            revision,
            &sheet(16 + usize::try_from(revision).unwrap()),
        );
    }
    let addresses = cluster.addresses();
    wait_for_revision(&addresses, 4);
    cluster.platform.set_faults(unavailable());
    let mut old = cluster.entries.remove(0);
    old.kill();
    let plan = EntryPlan::new(
        &old.vm,
        &old.data_centre,
        cluster.platform.url(),
        cluster.certs.clone(),
    );
    let new = EntryProcess::start_at(&plan, old.address, old.peer_address);
    let caller = Caller::new();
    let until = Instant::now() + MAX_WAIT;
    let mut seen = Vec::new();
    while seen.last() != Some(&4) {
        assert!(Instant::now() < until, "no sheet in time: {seen:?}");
        seen.push(gauge(&caller, new.address, REVISION));
        thread::sleep(Duration::from_millis(5));
    }
    assert!(
        seen.iter().all(|revision| [0, 4].contains(revision)),
        "{seen:?}"
    );
}

#[test]
fn a_process_without_the_platform_gets_sheets_from_its_peers() {
    let mut cluster = Cluster::start(ClusterPlan::new(2, 1));
    let unused_url = "http://127.0.0.1:9".to_owned();
    let plan = EntryPlan::new("szeged-cut", "szeged", unused_url, cluster.certs.clone());
    cluster.entries.push(EntryProcess::start(&plan));
    cluster.publish_vm_list();
    let cut_off = cluster.entries[2].address;
    wait_for_revision(&[cut_off], 1);
    let entry = cluster.entries[0].operator_address;
    assert!(
        post(entry, "anna", &request(1, "anna", 20))
            .unwrap()
            .accepted
    );
    wait_for_revision(&[cut_off], 2);
}

// A sheet that took longer than 1 s was requested again from its start every 0.5 s, without end.
#[test]
fn a_large_sheet_arrives_over_a_slow_link() {
    let mut plan = ClusterPlan::new(1, 1).with_relay();
    plan.sheet += &"\n".repeat(3_000_000);
    let mut cluster = Cluster::start(plan);
    cluster.platform.set_faults(PlatformFaults {
        unreachable_vms: vec!["gyor-cut".to_owned()],
        ..PlatformFaults::default()
    });
    cluster.add_entry("gyor-cut", "gyor");
    let slow = LinkFaults {
        delay: Duration::from_millis(100),
        ..LinkFaults::default()
    };
    cluster.set_link_faults("szeged", "gyor", slow);
    cluster.publish_vm_list();
    wait_for_revision(&[cluster.entries[1].address], 1);
}

#[test]
fn a_paused_process_is_reported_and_catches_up() {
    let cluster =
        Cluster::start(ClusterPlan::new(0, 1).with_data_centres(&[("szeged", 1), ("gyor", 1)]));
    let gyor = &cluster.entries[1];
    gyor.pause();
    let path = cluster.dir().join("sheet.csv");
    std::fs::write(&path, sheet(20)).unwrap();
    let args = ["apply", path.to_str().unwrap(), "--yes", "--timeout", "5s"];
    let outcome = run_ctl(&[cluster.entries[0].operator_address], "anna", &args);
    gyor.resume();
    assert_eq!(outcome.exit, Some(Exit::NotInForce), "{}", outcome.text);
    assert!(
        outcome.text.contains("gyor (can't be reached)"),
        "{}",
        outcome.text
    );
    wait_for_revision(&[gyor.address], 2);
}

#[test]
fn an_unreadable_sheet_leaves_the_previous_one_in_force() {
    let cluster = Cluster::start(ClusterPlan::new(2, 1));
    let addresses = cluster.addresses();
    store_directly(&cluster, 2, "not,a,sheet\n");
    thread::sleep(Duration::from_millis(1_500));
    let (caller, entry) = (Caller::new(), addresses[0]);
    assert_eq!(gauge(&caller, entry, REVISION), 1);
    let ticket = caller.tickets(entry, 1).remove(0);
    assert!(
        caller
            .submit(entry, &ticket, &job_of("kiallitas-pont", "score", &[10]))
            .is_complete()
    );
    store_directly(&cluster, 3, &sheet(20));
    wait_for_revision(&addresses, 3);
}

#[test]
fn revisions_never_decrease() {
    const CHANGES: u64 = 30;
    let cluster = Cluster::start(ClusterPlan::new(3, 1));
    let entries = cluster.operator_addresses();
    let addresses = cluster.addresses();
    thread::scope(|scope| {
        let watch = |address: SocketAddr| {
            let caller = Caller::new();
            let until = Instant::now() + MAX_WAIT;
            let mut last = 0;
            while last <= usize::try_from(CHANGES).unwrap() {
                assert!(Instant::now() < until, "{address} stays at revision {last}");
                let now = gauge(&caller, address, REVISION);
                assert!(now >= last, "{address} went from {last} to {now}");
                last = now;
            }
        };
        for address in &addresses {
            scope.spawn(move || watch(*address));
        }
        for base in 1..=CHANGES {
            let entry = entries[usize::try_from(base).unwrap() % entries.len()];
            let req = request(base, "anna", 100 + usize::try_from(base).unwrap());
            assert!(post_until_known(&[entry], "anna", &req).accepted);
        }
    });
}

#[test]
fn the_stored_sheet_has_the_accepted_rows() {
    let cluster = Cluster::start(ClusterPlan::new(1, 1));
    let entry = cluster.entries[0].operator_address;
    assert!(
        post(entry, "anna", &request(1, "anna", 20))
            .unwrap()
            .accepted
    );
    let rows = cluster.platform.rows();
    let text = rows
        .iter()
        .find(|row| row.key == "sheet/text/000000000002")
        .unwrap();
    let text: geraniumrelay_wire::SheetText = serde_json::from_str(&text.value).unwrap();
    let mut accepted = parse_sheet(2, &text.sheet).unwrap().rows;
    let mut applied = parse_sheet(2, &sheet(20)).unwrap().rows;
    let key = |row: &geraniumrelay_core::modules::sheet::SheetRow| (row.data_centre, row.kind);
    accepted.sort_by_key(key);
    applied.sort_by_key(key);
    assert_eq!(accepted, applied);
    assert!(rows.iter().any(|row| row.key == audit_key(2)));
}
