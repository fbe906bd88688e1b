//! Sheets while the store is away, slow or loses replies, while contractors race, and while entry
//! processes die or are cut off.

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
use geraniumrelay_testkit::ports::free_address;
use geraniumrelay_testkit::{Cluster, ClusterPlan, PlatformFaults};
use geraniumrelay_wire::{ApplyOutcome, ApplySheet, Transaction};

/// Longest wait for something that is bound to happen.
const PATIENCE: Duration = Duration::from_secs(20);

/// Time after which a late write takes effect; longer than any client waits.
const LATE_WRITE: Duration = Duration::from_millis(3_500);

const SHEET_PATH: &str = "/v1/operator/sheet";

const REVISION: &str = "geraniumrelay_sheet_revision";

const SAMPLE: &str = include_str!("../../../samples/kiallitas-pont.csv");

#[test]
#[ignore = "runs as an entry process, started by the other tests"]
fn entry_role() {
    run_if_entry();
}

/// The sample with another number of workers in Győr.
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

type Outcome = Result<ApplyOutcome, RequestError>;

fn post(entry: SocketAddr, who: &str, req: &ApplySheet) -> Outcome {
    client(&[entry], who).post(entry, SHEET_PATH, req)
}

/// Repeats a request until its outcome is known, each time at the next entry process.
fn post_until_known(entries: &[SocketAddr], who: &str, req: &ApplySheet) -> ApplyOutcome {
    let until = Instant::now() + PATIENCE;
    for entry in entries.iter().cycle() {
        match post(*entry, who, req) {
            Ok(outcome) => return outcome,
            Err(e) => assert!(e.is_retryable() && Instant::now() < until, "{e}"),
        }
    }
    unreachable!("there is an entry process")
}

/// Audit entries of the platform's table, by revision.
fn audit(cluster: &Cluster) -> Vec<AuditEntry> {
    let rows = cluster.platform.rows();
    let rows = rows.iter().filter(|row| row.key.starts_with("audit/"));
    rows.map(|row| serde_json::from_str(&row.value).unwrap())
        .collect()
}

fn wait_for_revision(entries: &[SocketAddr], revision: usize) {
    let caller = Caller::new();
    let until = Instant::now() + PATIENCE;
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

fn away() -> PlatformFaults {
    PlatformFaults {
        is_unavailable: true,
        ..PlatformFaults::default()
    }
}

#[test]
fn a_refused_connection_changed_nothing() {
    let nobody = free_address();
    let told = post(nobody, "anna", &request(1, "anna", 20));
    assert!(
        matches!(told, Err(RequestError::Unreachable { .. })),
        "{told:?}"
    );
    let client = PlatformClient::new(PlatformConfig::new(format!("http://{nobody}")));
    let told = client.commit(&Transaction::default());
    assert!(
        matches!(told, Err(PlatformError::Unreachable { .. })),
        "{told:?}"
    );
}

#[test]
fn a_base_beyond_all_revisions_is_refused() {
    let cluster = Cluster::start(ClusterPlan::new(1, 1));
    let entry = cluster.entries[0].operator_address;
    for (base, is_possible) in [(u64::MAX, false), (7, true)] {
        let told = post(entry, "anna", &request(base, "anna", 20));
        let is_refused = matches!(told, Err(RequestError::Refused { .. }));
        let is_overtaken = matches!(&told, Ok(outcome) if !outcome.accepted);
        assert_eq!(
            (is_refused, is_overtaken),
            (!is_possible, is_possible),
            "{told:?}"
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
    let told = run_ctl(&cluster.operator_addresses(), "anna", &args);
    assert_eq!(told.exit, None, "{}", told.text);
    assert!(
        told.text.contains("accepted as revision 2"),
        "{}",
        told.text
    );
    let whos: Vec<_> = audit(&cluster).into_iter().map(|entry| entry.who).collect();
    assert_eq!(whos, ["", "anna"]);
}

#[test]
fn an_accepted_apply_that_was_overtaken_is_still_told_as_accepted() {
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
    let repeated = post(entry, "anna", &first).unwrap();
    assert_eq!((repeated.accepted, repeated.revision), (true, 2));
    assert_eq!(audit(&cluster).len(), 3);
    wait_for_revision(&[cluster.entries[0].address], 3);
}

#[test]
fn the_store_itself_tells_an_overtaken_apply_as_accepted() {
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
fn while_the_store_is_away_nothing_changes_and_callers_are_served() {
    let cluster = Cluster::start(ClusterPlan::new(2, 1));
    let entries = cluster.operator_addresses();
    let before = cluster.platform.rows();
    cluster.platform.set_faults(away());
    let req = request(1, "anna", 20);
    let refused = post(entries[0], "anna", &req);
    assert!(
        matches!(refused, Err(RequestError::Unreachable { .. })),
        "{refused:?}"
    );
    let path = cluster.dir().join("sheet.csv");
    std::fs::write(&path, sheet(20)).unwrap();
    let told = run_ctl(
        &entries,
        "anna",
        &["apply", path.to_str().unwrap(), "--yes"],
    );
    assert_eq!(told.exit, Some(Exit::Unreachable), "{}", told.text);
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
    // Calls end in time, but an accept takes several.
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
    // A write ends after its client has given up, and after the repeat: it must not count too.
    cluster.platform.set_faults(PlatformFaults {
        write_delay: LATE_WRITE,
        ..PlatformFaults::default()
    });
    let req = request(2, "bela", 24);
    let told = post(cluster.entries[0].operator_address, "bela", &req);
    assert!(
        matches!(told, Err(RequestError::Unknown { .. })),
        "{told:?}"
    );
    cluster.platform.set_faults(PlatformFaults::default());
    let outcome = post_until_known(&cluster.operator_addresses(), "bela", &req);
    assert_eq!((outcome.accepted, outcome.revision), (true, 3));
    // The late write came to the platform before the repeat, so it has ended by then.
    thread::sleep(LATE_WRITE);
    assert_eq!(audit(&cluster).len(), 3);
    wait_for_revision(&cluster.addresses(), 3);
}

#[test]
fn of_racing_contractors_one_wins_and_the_others_learn_whose_change_it_was() {
    let cluster = Cluster::start(ClusterPlan::new(3, 1));
    let entries = cluster.operator_addresses();
    let mut base = 1;
    for contractors in 2..=OPERATORS.len() {
        cluster.platform.set_faults(PlatformFaults {
            lost_replies: u32::try_from(contractors % 3).unwrap(),
            ..PlatformFaults::default()
        });
        let outcomes = race(&entries, base, contractors);
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

fn race(entries: &[SocketAddr], base: u64, contractors: usize) -> Vec<ApplyOutcome> {
    let barrier = Barrier::new(contractors);
    thread::scope(|scope| {
        let racers = OPERATORS[..contractors].iter().zip(0..).map(|(who, n)| {
            let barrier = &barrier;
            // Each base gets capacities of its own, so that every change is one.
            let workers = 100 + usize::try_from(base).unwrap() * 20 + n;
            scope.spawn(move || {
                let mut entries = entries.to_vec();
                let first = n % entries.len();
                entries.rotate_left(first);
                barrier.wait();
                post_until_known(&entries, who, &request(base, who, workers))
            })
        });
        let racers: Vec<_> = racers.collect();
        racers
            .into_iter()
            .map(|racer| racer.join().unwrap())
            .collect()
    })
}

#[test]
fn a_process_killed_at_any_step_of_an_accept_leaves_all_or_nothing() {
    let mut cluster = Cluster::start(ClusterPlan::new(2, 1));
    // An accept is three reads and a write, one after the other.
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
        let told = first.join().unwrap();
        assert!(
            !matches!(told, Err(RequestError::Refused { .. })),
            "{told:?}"
        );
        let outcome = post_until_known(&[other], "anna", &req);
        assert_eq!((outcome.accepted, outcome.revision), (true, base + 1));
        let applies = audit(&cluster).into_iter().map(|entry| entry.apply_id);
        assert_eq!(applies.filter(|id| *id == req.apply_id).count(), 1);
    }
}

#[test]
fn a_process_that_starts_while_the_platform_is_away_takes_its_peers_newest_sheet() {
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
    cluster.platform.set_faults(away());
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
    let until = Instant::now() + PATIENCE;
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
fn a_process_cut_off_from_the_platform_gets_sheets_from_its_peers() {
    let mut cluster = Cluster::start(ClusterPlan::new(2, 1));
    let nowhere = "http://127.0.0.1:9".to_owned();
    let plan = EntryPlan::new("szeged-cut", "szeged", nowhere, cluster.certs.clone());
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

#[test]
fn a_paused_process_is_named_and_catches_up() {
    let cluster =
        Cluster::start(ClusterPlan::new(0, 1).with_data_centres(&[("szeged", 1), ("gyor", 1)]));
    let gyor = &cluster.entries[1];
    gyor.pause();
    let path = cluster.dir().join("sheet.csv");
    std::fs::write(&path, sheet(20)).unwrap();
    let args = ["apply", path.to_str().unwrap(), "--yes", "--timeout", "5s"];
    let told = run_ctl(&[cluster.entries[0].operator_address], "anna", &args);
    gyor.resume();
    assert_eq!(told.exit, Some(Exit::NotInForce), "{}", told.text);
    assert!(
        told.text.contains("gyor (can't be reached)"),
        "{}",
        told.text
    );
    wait_for_revision(&[gyor.address], 2);
}

#[test]
fn an_unreadable_sheet_leaves_the_one_before_in_force() {
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
fn a_revision_never_goes_back() {
    const CHANGES: u64 = 30;
    let cluster = Cluster::start(ClusterPlan::new(3, 1));
    let entries = cluster.operator_addresses();
    let addresses = cluster.addresses();
    thread::scope(|scope| {
        let watch = |address: SocketAddr| {
            let caller = Caller::new();
            let until = Instant::now() + PATIENCE;
            let mut last = 0;
            while last <= usize::try_from(CHANGES).unwrap() {
                assert!(
                    Instant::now() < until,
                    "{address} is at {last} for too long"
                );
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
fn what_is_in_force_is_what_was_accepted() {
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
