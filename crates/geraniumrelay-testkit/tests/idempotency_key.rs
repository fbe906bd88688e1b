//! Submissions under callers' own keys, with faults of the platform and killed owners.

use std::thread;
use std::time::{Duration, Instant, SystemTime};

use geraniumrelay_platform::{
    EXPIRY_PREFIX, ExpiryStore, KeyOutcome, KeyStore, PlatformClient, PlatformConfig,
    RequestedBinding, key_row,
};
use geraniumrelay_testkit::caller::{Caller, RequestOutcome, job_of};
use geraniumrelay_testkit::entry_process::run_if_entry;
use geraniumrelay_testkit::{Cluster, ClusterPlan, PlatformFaults, PlatformStandIn};
use geraniumrelay_wire::{JobRequest, KeyBinding};

/// Longest wait for something that is bound to happen.
const PATIENCE: Duration = Duration::from_secs(20);

/// Time for which the bindings of these tests last.
const TTL: Duration = Duration::from_hours(1);

#[test]
#[ignore = "runs as an entry process, started by the other tests"]
fn entry_role() {
    run_if_entry();
}

fn cluster(entries: usize) -> Cluster {
    Cluster::start(ClusterPlan::new(entries, 2))
}

fn score(run_ms: u64) -> JobRequest {
    job_of("kiallitas-pont", "score", &[run_ms])
}

fn wait_for_start(cluster: &Cluster) {
    let until = Instant::now() + PATIENCE;
    while cluster.starts_per_task().is_empty() {
        assert!(Instant::now() < until, "nothing has started in time");
        thread::sleep(Duration::from_millis(5));
    }
}

fn assert_starts(cluster: &Cluster, tasks: usize) {
    let starts = cluster.starts_per_task();
    assert_eq!(starts.len(), tasks, "{starts:?}");
    assert!(starts.values().all(|n| *n == 1), "{starts:?}");
}

fn assert_refused(told: &RequestOutcome, verdict: &str, reason: &str) {
    assert!(
        matches!(told, RequestOutcome::Problem(p) if p.verdict == verdict && p.reason == reason),
        "{told:?}"
    );
}

fn wish(key: &str, ticket: &str) -> RequestedBinding {
    RequestedBinding {
        row: key_row("kiallitas-pont", None, key),
        binding: KeyBinding {
            ticket: ticket.to_owned(),
            digest: "1".to_owned(),
        },
    }
}

fn client(platform: &PlatformStandIn) -> PlatformClient {
    PlatformClient::new(PlatformConfig::new(platform.url()))
}

#[test]
fn a_key_runs_its_job_once_through_any_entry() {
    let cluster = cluster(2);
    let caller = Caller::new();
    let [one, other] = [cluster.entries[0].address, cluster.entries[1].address];
    for entry in [one, other, one] {
        let told = caller.submit_by_key(entry, "order-1", &score(20));
        assert!(told.is_complete(), "{told:?}");
    }
    assert_refused(
        &caller.submit_by_key(other, "order-1", &score(30)),
        "MayHaveRun",
        "other-body",
    );
    assert_starts(&cluster, 1);
}

#[test]
fn entries_that_bind_a_key_at_once_start_it_once() {
    let cluster = cluster(3);
    let keys = ["a", "b", "c", "d"];
    thread::scope(|scope| {
        for entry in cluster.addresses() {
            for key in keys {
                scope.spawn(move || {
                    let told = Caller::new().submit_by_key(entry, key, &score(50));
                    assert!(told.is_complete(), "{told:?}");
                });
            }
        }
    });
    assert_starts(&cluster, keys.len());
}

#[test]
fn nothing_starts_while_the_store_is_away() {
    let cluster = cluster(1);
    let caller = Caller::new();
    let entry = cluster.entries[0].address;
    cluster.platform.set_faults(PlatformFaults {
        is_unavailable: true,
        ..PlatformFaults::default()
    });
    let told = caller.submit_by_key(entry, "order-1", &score(20));
    assert_refused(&told, "MayHaveRun", "store-away");
    assert!(
        matches!(&told, RequestOutcome::Problem(p) if p.retry_after_s > 0 && p.detail.contains("tickets")),
        "{told:?}"
    );
    assert_starts(&cluster, 0);
    let ticket = caller.tickets(entry, 1).remove(0);
    assert!(caller.submit(entry, &ticket, &score(20)).is_complete());

    cluster.platform.set_faults(PlatformFaults::default());
    let told = caller.submit_by_key(entry, "order-1", &score(20));
    assert!(told.is_complete(), "{told:?}");
    assert_starts(&cluster, 2);
}

#[test]
fn a_lost_reply_of_the_store_is_read_back() {
    let cluster = cluster(2);
    let caller = Caller::new();
    cluster.platform.set_faults(PlatformFaults {
        lost_replies: 1,
        ..PlatformFaults::default()
    });
    for entry in cluster.addresses() {
        let told = caller.submit_by_key(entry, "order-1", &score(20));
        assert!(told.is_complete(), "{told:?}");
    }
    assert_starts(&cluster, 1);
}

#[test]
fn an_owner_killed_after_the_binding_leaves_may_have_run() {
    let mut cluster = cluster(2);
    let [owner, other] = [cluster.entries[0].address, cluster.entries[1].address];
    let first = thread::spawn(move || Caller::new().submit_by_key(owner, "k", &score(2_000)));
    wait_for_start(&cluster);
    cluster.entries[0].kill();
    assert!(matches!(first.join().unwrap(), RequestOutcome::NoReply(_)));
    for _ in 0..2 {
        let told = Caller::new().submit_by_key(other, "k", &score(2_000));
        assert_eq!(told.verdict(), "MayHaveRun", "{told:?}");
    }
    assert_starts(&cluster, 1);
}

#[test]
fn an_owner_killed_while_it_binds_never_doubles_a_start() {
    let mut cluster = cluster(2);
    let [owner, other] = [cluster.entries[0].address, cluster.entries[1].address];
    cluster.platform.set_faults(PlatformFaults {
        delay: Duration::from_millis(400),
        ..PlatformFaults::default()
    });
    let first = thread::spawn(move || Caller::new().submit_by_key(owner, "k", &score(20)));
    thread::sleep(Duration::from_millis(100));
    cluster.entries[0].kill();
    assert!(matches!(first.join().unwrap(), RequestOutcome::NoReply(_)));
    let told = Caller::new().submit_by_key(other, "k", &score(20));
    let is_true = told.is_complete() || told.verdict() == "MayHaveRun";
    assert!(is_true, "{told:?}");
    let expected = usize::from(told.is_complete());
    assert_starts(&cluster, expected);
}

#[test]
fn bad_keys_are_refused() {
    let cluster = cluster(1);
    let entry = cluster.entries[0].address;
    for key in ["", "two words", &"k".repeat(129)] {
        let told = Caller::new().submit_by_key(entry, key, &score(20));
        assert_refused(&told, "NotRun", "bad-key");
    }
    assert_starts(&cluster, 0);
}

#[test]
fn a_conflict_fails_no_other_key_of_its_commit() {
    let platform = PlatformStandIn::start();
    let client = client(&platform);
    let store = KeyStore::new(&client);
    let expires = SystemTime::now() + TTL;
    let earlier = wish("b", "t0");
    assert_eq!(
        store.bind(std::slice::from_ref(&earlier), expires, 1),
        [KeyOutcome::Bound]
    );
    let wishes = [
        wish("a", "t1"),
        wish("b", "t2"),
        wish("c", "t3"),
        wish("a", "t4"),
    ];
    let expected = [
        KeyOutcome::Bound,
        KeyOutcome::AlreadyBound(earlier.binding),
        KeyOutcome::Bound,
        KeyOutcome::AlreadyBound(wishes[0].binding.clone()),
    ];
    assert_eq!(store.bind(&wishes, expires, 2), expected);
}

#[test]
fn keys_are_deleted_once_they_have_expired() {
    let platform = PlatformStandIn::start();
    let client = client(&platform);
    let now = SystemTime::now();
    KeyStore::new(&client).bind(&[wish("a", "t1"), wish("b", "t2")], now + TTL, 1);
    let sweeper = ExpiryStore::new(&client);
    assert_eq!(sweeper.sweep(now, 10), Ok(0));
    assert_eq!(platform.rows().len(), 3);
    assert_eq!(sweeper.sweep(now + TTL + Duration::from_secs(1), 10), Ok(2));
    assert!(platform.rows().is_empty(), "{EXPIRY_PREFIX} is left over");
}
