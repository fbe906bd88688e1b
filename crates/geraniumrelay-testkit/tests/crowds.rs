//! A real entry process beside crowds of clients that hold what they can: it lives, its memory and descriptors stay
//! bounded, and ordinary callers are answered.

#[path = "../../geraniumrelay/tests/leased_crowds/crowd.rs"]
#[allow(
    dead_code,
    reason = "shared with the tests of the processes under leases"
)]
mod crowd;

use std::sync::Mutex;
use std::thread::sleep;
use std::time::{Duration, Instant};

use geraniumrelay_testkit::caller::{Caller, job_of};
use geraniumrelay_testkit::entry_process::run_if_entry;
use geraniumrelay_testkit::{Cluster, ClusterPlan};

use crowd::{Crowd, MAX_ANSWER_TIME, MAX_SEND_TIME, Part, STAY};

/// Memory for clients of the process under test, in MB.
const CLIENT_MEMORY_MB: &str = "16";

/// Connections of clients of the process under test.
const MAX_CONNECTIONS: usize = 200;

/// Target for the memory of the control on a node, in kB.
const MAX_MEMORY_KB: u64 = 64 << 10;

/// Largest number of descriptors beside those of clients: listeners, platform, targets and peers.
const OTHER_DESCRIPTORS: usize = 100;

/// Largest body by default.
const MAX_BODY: usize = 1 << 20;

/// Bytes of a body in chunks of one byte.
const CHUNKED_BODY: usize = 400_000;

/// Clients with bodies, in chunks of one byte, and with heads or without a request.
const BODY_CLIENTS: usize = 96;
const CHUNK_CLIENTS: usize = 40;
const HEAD_CLIENTS: usize = 2_000;
const IDLE_CLIENTS: usize = 400;

/// Pause before a refused request is repeated.
const RETRY_PAUSE: Duration = Duration::from_millis(200);

/// Keeps the tests from running beside each other.
static ALONE: Mutex<()> = Mutex::new(());

#[test]
#[ignore = "runs as an entry process, started by the other tests"]
fn entry_role() {
    run_if_entry();
}

/// Fails unless one ordinary request is served; a refused one is repeated.
fn expect_answer(cluster: &Cluster, when: &str) {
    let entry = cluster.entries[0].address;
    let until = Instant::now() + MAX_ANSWER_TIME;
    let mut answers = Vec::new();
    for number in 0.. {
        let key = format!("{when}-{number}");
        let answer =
            Caller::new().submit_by_key(entry, &key, &job_of("kiallitas-pont", "score", &[20]));
        if answer.is_complete() {
            println!("{when}: served after {answers:?}");
            return;
        }
        answers.push(answer);
        assert!(Instant::now() < until, "{when}: not served: {answers:?}");
        sleep(RETRY_PAUSE);
    }
}

/// Lets a crowd come, stay and leave, and checks the process meanwhile.
fn bear((clients, body_bytes): (usize, usize), part: Part) {
    // A test that has failed holds no process any more.
    let _alone = ALONE
        .lock()
        .unwrap_or_else(std::sync::PoisonError::into_inner);
    let plan = ClusterPlan::new(1, 1)
        .with_setting("GERANIUMRELAY_CLIENT_MEMORY_MB", CLIENT_MEMORY_MB)
        .with_setting(
            "GERANIUMRELAY_MAX_CONNECTIONS",
            &MAX_CONNECTIONS.to_string(),
        );
    let mut cluster = Cluster::start(plan);
    let (pid, entry) = (cluster.entries[0].pid(), cluster.entries[0].address);
    expect_answer(&cluster, "before");
    println!("at rest: peak {} kB", crowd::peak_memory_kb(pid));
    let method = if matches!(part, Part::Requests) {
        "GET /healthz"
    } else {
        "POST /v1/jobs"
    };
    let line = format!("{method} HTTP/1.1\r\nHost: e\r\nIdempotency-Key: \"k\"\r\n");
    let crowd = Crowd::start(entry, &line, (clients, body_bytes), part);
    let until = Instant::now() + MAX_SEND_TIME;
    while !crowd.has_sent() {
        assert!(Instant::now() < until, "the crowd can't send");
        sleep(Duration::from_millis(20));
    }
    let mut descriptors = crowd::open_descriptors(pid);
    expect_answer(&cluster, "beside");
    descriptors = descriptors.max(crowd::open_descriptors(pid));
    sleep(STAY);
    descriptors = descriptors.max(crowd::open_descriptors(pid));
    drop(crowd);
    expect_answer(&cluster, "after");
    let has_ended = cluster.entries[0].wait(Duration::ZERO);
    assert!(has_ended.is_none(), "the process has ended: {has_ended:?}");
    let peak = crowd::peak_memory_kb(pid);
    println!("{part:?}: peak {peak} kB, {descriptors} descriptors");
    assert!(peak < MAX_MEMORY_KB, "peak memory of {peak} kB");
    let max = MAX_CONNECTIONS + OTHER_DESCRIPTORS;
    assert!(descriptors <= max, "{descriptors} open descriptors");
}

/// The bound on the sum of bodies was larger than the memory of a small machine.
#[test]
fn whole_bodies_without_their_end_do_not_exhaust_memory() {
    bear((BODY_CLIENTS, MAX_BODY), Part::WholeBody);
}

/// As above, where the bodies grow side by side.
#[test]
fn bodies_in_pieces_do_not_exhaust_memory() {
    bear((BODY_CLIENTS, MAX_BODY), Part::Pieces(1_400));
}

#[test]
fn bodies_in_large_chunks_do_not_exhaust_memory() {
    bear((BODY_CLIENTS, MAX_BODY), Part::Chunks(65_000));
}

/// A body kept an object for each chunk, and so held several times its bytes.
#[test]
fn bodies_in_chunks_of_one_byte_do_not_exhaust_memory() {
    bear((CHUNK_CLIENTS, CHUNKED_BODY), Part::Chunks(1));
}

/// Heads counted nowhere.
#[test]
fn heads_without_their_end_do_not_exhaust_memory() {
    bear((HEAD_CLIENTS, MAX_BODY), Part::Head);
}

/// Connections without a request took the descriptors for peers, targets and the platform.
#[test]
fn connections_without_a_request_leave_descriptors() {
    bear((IDLE_CLIENTS, MAX_BODY), Part::Nothing);
}

#[test]
fn answers_that_are_not_read_do_not_exhaust_memory() {
    bear((BODY_CLIENTS, MAX_BODY), Part::Requests);
}
