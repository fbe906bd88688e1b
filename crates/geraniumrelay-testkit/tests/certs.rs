//! Certificates of `geraniumctl certs`: renewal one process after the other, a second CA, expiry.

use std::fs;
use std::net::SocketAddr;
use std::path::Path;
use std::thread;
use std::time::{Duration, Instant};

use geraniumrelay_testkit::caller::Caller;
use geraniumrelay_testkit::cluster::gauge;
use geraniumrelay_testkit::entry_process::{EntryPlan, EntryProcess, run_if_entry};
use geraniumrelay_testkit::operators::run_ctl;
use geraniumrelay_testkit::{Cluster, ClusterPlan, TestCerts};

/// Longest wait for something that is bound to happen.
const PATIENCE: Duration = Duration::from_secs(20);

/// Time in which several heartbeats would have come.
const SEVERAL_HEARTBEATS: Duration = Duration::from_secs(2);

const PEERS_HEARD: &str = "geraniumrelay_peers_heard";

const EXPIRY: &str = "geraniumrelay_certificate_expiry_seconds";

#[test]
#[ignore = "runs as an entry process, started by the other tests"]
fn entry_role() {
    run_if_entry();
}

/// Makes or renews certificates below a directory.
fn issue(dir: &Path, days: &str) -> TestCerts {
    let args = ["certs", "--out", dir.to_str().unwrap(), "--days", days];
    let told = run_ctl(&[], "anna", &args);
    assert_eq!(told.exit, None, "{}", told.text);
    TestCerts::from_dir(dir)
}

/// A copy, so that a renewal does not replace it.
fn keep(certs: &TestCerts, dir: &Path) -> TestCerts {
    fs::create_dir_all(dir).unwrap();
    for file in [certs.ca(), certs.cert(), certs.key()] {
        fs::copy(&file, dir.join(file.file_name().unwrap())).unwrap();
    }
    TestCerts::from_dir(dir)
}

fn add(cluster: &mut Cluster, vm: &str, certs: &TestCerts) -> SocketAddr {
    let plan = EntryPlan::new(vm, "szeged", cluster.platform.url(), certs.clone());
    cluster.entries.push(EntryProcess::start(&plan));
    cluster.publish_vm_list();
    cluster.entries.last().unwrap().address
}

fn wait_for_peers(entry: SocketAddr, peers: usize) {
    let caller = Caller::new();
    let until = Instant::now() + PATIENCE;
    while gauge(&caller, entry, PEERS_HEARD) != peers {
        assert!(
            Instant::now() < until,
            "{entry} does not hear {peers} peers in time"
        );
        thread::sleep(Duration::from_millis(20));
    }
}

#[test]
fn old_and_renewed_certificates_work_together() {
    let mut cluster = Cluster::start(ClusterPlan::new(0, 1).with_data_centres(&[]));
    let dir = cluster.dir().join("ca");
    let old = keep(&issue(&dir, "30"), &cluster.dir().join("old"));
    let first = add(&mut cluster, "e-old", &old);
    let renewed = issue(&dir, "90");
    assert_ne!(
        fs::read(old.cert()).unwrap(),
        fs::read(renewed.cert()).unwrap()
    );
    let second = add(&mut cluster, "e-new", &renewed);
    wait_for_peers(first, 1);
    wait_for_peers(second, 1);
    let caller = Caller::new();
    let days = gauge(&caller, second, EXPIRY) - gauge(&caller, first, EXPIRY);
    assert!(days / 86_400 >= 59, "{days} s apart");
}

#[test]
fn a_new_ca_takes_over_while_both_are_trusted() {
    let mut cluster = Cluster::start(ClusterPlan::new(0, 1).with_data_centres(&[]));
    let old = issue(&cluster.dir().join("old"), "30");
    let new = issue(&cluster.dir().join("new"), "30");
    let both = [fs::read(old.ca()).unwrap(), fs::read(new.ca()).unwrap()].concat();
    let only_new = keep(&new, &cluster.dir().join("only-new"));
    let only_old = keep(&old, &cluster.dir().join("only-old"));
    let stranger = add(&mut cluster, "e-stranger", &only_new);
    let before = add(&mut cluster, "e-before", &only_old);
    thread::sleep(SEVERAL_HEARTBEATS);
    let caller = Caller::new();
    assert_eq!(gauge(&caller, stranger, PEERS_HEARD), 0);
    assert_eq!(gauge(&caller, before, PEERS_HEARD), 0);
    cluster.entries.clear();
    for certs in [&old, &new] {
        fs::write(certs.ca(), &both).unwrap();
    }
    let first = add(&mut cluster, "e-first", &old);
    let second = add(&mut cluster, "e-second", &new);
    wait_for_peers(first, 1);
    wait_for_peers(second, 1);
}

#[test]
fn a_process_whose_certificate_has_run_out_is_not_heard() {
    let mut cluster = Cluster::start(ClusterPlan::new(0, 1).with_data_centres(&[]));
    let dir = cluster.dir().join("ca");
    let expired = keep(&issue(&dir, "0"), &cluster.dir().join("expired"));
    // It is valid to the end of the second in which it was made.
    thread::sleep(SEVERAL_HEARTBEATS);
    let late = add(&mut cluster, "e-late", &expired);
    let valid = issue(&dir, "30");
    let good = add(&mut cluster, "e-good", &valid);
    thread::sleep(SEVERAL_HEARTBEATS);
    let caller = Caller::new();
    assert_eq!(gauge(&caller, good, PEERS_HEARD), 0);
    assert_eq!(gauge(&caller, late, PEERS_HEARD), 0);
    let until = Instant::now() + PATIENCE;
    while caller.get(good, "/readyz").0 != 200 {
        assert!(
            Instant::now() < until,
            "the other process does not serve on"
        );
        thread::sleep(Duration::from_millis(20));
    }
}
