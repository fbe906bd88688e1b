//! Certificates of `geraniumctl certs`: renewal of one process after the other, a second CA, expiry.

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

/// Maximum wait for an expected event.
const MAX_WAIT: Duration = Duration::from_secs(20);

/// Time that covers several heartbeat intervals.
const SEVERAL_HEARTBEATS: Duration = Duration::from_secs(2);

const LIVE_PEERS: &str = "geraniumrelay_peers_heard";

const CERTIFICATE_EXPIRY: &str = "geraniumrelay_certificate_expiry_seconds";

#[test]
#[ignore = "runs as an entry process, started by the other tests"]
fn entry_role() {
    run_if_entry();
}

/// Issues or renews certificates in a directory.
fn issue(dir: &Path, days: &str) -> TestCerts {
    let args = ["certs", "--out", dir.to_str().unwrap(), "--days", days];
    let outcome = run_ctl(&[], "anna", &args);
    assert_eq!(outcome.exit, None, "{}", outcome.text);
    TestCerts::from_dir(dir)
}

/// Copies certificates to another directory, so that a renewal does not overwrite them.
fn copy_certs(certs: &TestCerts, dir: &Path) -> TestCerts {
    fs::create_dir_all(dir).unwrap();
    for file in [certs.ca(), certs.cert(), certs.key()] {
        fs::copy(&file, dir.join(file.file_name().unwrap())).unwrap();
    }
    TestCerts::from_dir(dir)
}

fn add_entry(cluster: &mut Cluster, vm: &str, certs: &TestCerts) -> SocketAddr {
    let plan = EntryPlan::new(vm, "szeged", cluster.platform.url(), certs.clone());
    cluster.entries.push(EntryProcess::start(&plan));
    cluster.publish_vm_list();
    cluster.entries.last().unwrap().address
}

fn wait_for_peers(entry: SocketAddr, peers: usize) {
    let caller = Caller::new();
    let until = Instant::now() + MAX_WAIT;
    while gauge(&caller, entry, LIVE_PEERS) != peers {
        assert!(
            Instant::now() < until,
            "{entry} does not have {peers} live peers in time"
        );
        thread::sleep(Duration::from_millis(20));
    }
}

#[test]
fn old_and_renewed_certificates_work_together() {
    let mut cluster = Cluster::start(ClusterPlan::new(0, 1).with_data_centres(&[]));
    let dir = cluster.dir().join("ca");
    let old = copy_certs(&issue(&dir, "30"), &cluster.dir().join("old"));
    let first = add_entry(&mut cluster, "e-old", &old);
    let renewed = issue(&dir, "90");
    assert_ne!(
        fs::read(old.cert()).unwrap(),
        fs::read(renewed.cert()).unwrap()
    );
    let second = add_entry(&mut cluster, "e-new", &renewed);
    wait_for_peers(first, 1);
    wait_for_peers(second, 1);
    let caller = Caller::new();
    let days =
        gauge(&caller, second, CERTIFICATE_EXPIRY) - gauge(&caller, first, CERTIFICATE_EXPIRY);
    assert!(days / 86_400 >= 59, "{days} s apart");
}

#[test]
fn the_ca_can_be_replaced_while_both_are_trusted() {
    let mut cluster = Cluster::start(ClusterPlan::new(0, 1).with_data_centres(&[]));
    let old = issue(&cluster.dir().join("old"), "30");
    let new = issue(&cluster.dir().join("new"), "30");
    let both = [fs::read(old.ca()).unwrap(), fs::read(new.ca()).unwrap()].concat();
    let only_new = copy_certs(&new, &cluster.dir().join("only-new"));
    let only_old = copy_certs(&old, &cluster.dir().join("only-old"));
    let new_ca_entry = add_entry(&mut cluster, "e-stranger", &only_new);
    let old_ca_entry = add_entry(&mut cluster, "e-before", &only_old);
    thread::sleep(SEVERAL_HEARTBEATS);
    let caller = Caller::new();
    assert_eq!(gauge(&caller, new_ca_entry, LIVE_PEERS), 0);
    assert_eq!(gauge(&caller, old_ca_entry, LIVE_PEERS), 0);
    cluster.entries.clear();
    for certs in [&old, &new] {
        fs::write(certs.ca(), &both).unwrap();
    }
    let first = add_entry(&mut cluster, "e-first", &old);
    let second = add_entry(&mut cluster, "e-second", &new);
    wait_for_peers(first, 1);
    wait_for_peers(second, 1);
}

#[test]
fn a_process_with_an_expired_certificate_has_no_live_peers() {
    let mut cluster = Cluster::start(ClusterPlan::new(0, 1).with_data_centres(&[]));
    let dir = cluster.dir().join("ca");
    let expired = copy_certs(&issue(&dir, "0"), &cluster.dir().join("expired"));
    // A certificate of 0 days is valid until the end of the second in which it was issued.
    thread::sleep(SEVERAL_HEARTBEATS);
    let expired_entry = add_entry(&mut cluster, "e-late", &expired);
    let valid = issue(&dir, "30");
    let valid_entry = add_entry(&mut cluster, "e-good", &valid);
    thread::sleep(SEVERAL_HEARTBEATS);
    let caller = Caller::new();
    assert_eq!(gauge(&caller, valid_entry, LIVE_PEERS), 0);
    assert_eq!(gauge(&caller, expired_entry, LIVE_PEERS), 0);
    let until = Instant::now() + MAX_WAIT;
    while caller.get(valid_entry, "/readyz").0 != 200 {
        assert!(
            Instant::now() < until,
            "the process with a valid certificate is not ready in time"
        );
        thread::sleep(Duration::from_millis(20));
    }
}
