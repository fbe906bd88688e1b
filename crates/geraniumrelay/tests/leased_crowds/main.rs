//! A real entry process beside crowds of clients that hold what they can: it lives, its memory and descriptors stay
//! bounded, and ordinary callers are answered.

mod crowd;
#[path = "../leased_soak/fleet.rs"]
#[allow(dead_code, reason = "shared with the tests under external faults")]
mod fleet;
#[path = "../leased_soak/life.rs"]
#[allow(dead_code, reason = "shared with the tests under external faults")]
mod life;
#[path = "../../../../platform/tests/stand_in/platform.rs"]
#[allow(dead_code, reason = "shared with the tests under external faults")]
mod platform;
#[path = "../leased_soak/proxy.rs"]
#[allow(dead_code, reason = "shared with the tests under external faults")]
mod proxy;
#[path = "../../../geraniumrelay-core/tests/leased/worker.rs"]
#[allow(dead_code, reason = "shared with the tests in virtual time")]
mod worker;

use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Mutex;
use std::time::Duration;

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use serde_json::json;
use tokio::task::LocalSet;
use tokio::time::{Instant, sleep};

use crowd::{Crowd, MAX_ANSWER_TIME, MAX_SEND_TIME, Part, STAY, exchange};
use fleet::{Fleet, FleetOptions};
use platform::{HOST, PREFIX, Platform, configuration};

/// Memory for clients of the process under test, in MB.
const CLIENT_MEMORY_MB: u64 = 16;

/// Connections of clients of the process under test.
const MAX_CONNECTIONS: usize = 200;

/// Target for the memory of the control on a node, in kB.
const MAX_MEMORY_KB: u64 = 64 << 10;

/// Largest number of descriptors beside those of clients: listeners, store, workers, and connections that are about to
/// close.
const OTHER_DESCRIPTORS: usize = 100;

/// Largest body that the configuration allows.
const MAX_BODY: usize = 262_144;

/// Clients with bodies, in chunks of one byte, and with heads or without a request.
const BODY_CLIENTS: usize = 320;
const CHUNK_CLIENTS: usize = 64;
const HEAD_CLIENTS: usize = 2_000;
const IDLE_CLIENTS: usize = 400;

/// Maximum time until the process is ready.
const MAX_START: Duration = Duration::from_secs(12);

/// Pause before a refused request is repeated.
const RETRY_PAUSE: Duration = Duration::from_millis(200);

/// Keeps the tests from running beside each other.
static ALONE: Mutex<()> = Mutex::new(());

/// An entry process with its platform.
struct Setup {
    _platform: Rc<Platform>,
    fleet: Fleet,
    address: SocketAddr,
    next_id: u64,
}

impl Setup {
    async fn start(test: u8) -> Self {
        let platform = Platform::start(1).await;
        let mut config = configuration(2, Vec::new());
        config["limits"]["max_body_bytes"] = json!(MAX_BODY);
        let config = STANDARD.encode(config.to_string());
        platform.set_text("op", "config", Some(config));
        let options = FleetOptions {
            name: "crowds",
            first: test + 1,
            vms: 1,
            data_centres: &["z"],
            max_row_bytes: 64 << 10,
            has_peer_proxies: false,
        };
        let settings = json!({
            "client_memory_mb": CLIENT_MEMORY_MB,
            "max_connections": MAX_CONNECTIONS,
        });
        let fleet = Fleet::start_with(options, &platform, u64::from(test), &settings).await;
        fleet.wait_until_ready(MAX_START).await;
        let address = fleet.targets()[0].address;
        let mut setup = Self {
            _platform: platform,
            fleet,
            address,
            next_id: 1,
        };
        setup.expect_answer("before the crowd").await;
        println!("at rest: peak {} kB", setup.peak_memory_kb());
        setup
    }

    /// First line and host of a request for a job.
    fn line(method: &str, id: u64) -> String {
        format!("{method} {PREFIX}{id:016x} HTTP/1.1\r\nHost: {HOST}\r\n")
    }

    /// A whole submission, with a body of at least `size` bytes.
    fn submission(&mut self, size: usize) -> Vec<u8> {
        self.next_id += 1;
        let steps = json!([{"count": 1, "cpu": 500, "mem_mb": 1, "estimated_ms": 20}]);
        let body = json!({"spec": "20 500", "best_effort": true, "steps": steps}).to_string();
        let padding = " ".repeat(size.saturating_sub(body.len()));
        let body = body + &padding;
        let line = Self::line("POST", self.next_id);
        format!("{line}Content-Length: {}\r\n\r\n{body}", body.len()).into_bytes()
    }

    /// Fails unless one ordinary request is served; a refused one is repeated.
    async fn expect_answer(&mut self, when: &str) {
        let until = Instant::now() + MAX_ANSWER_TIME;
        let mut answers = Vec::new();
        while Instant::now() < until {
            let req = self.submission(0);
            let answer = exchange(self.address, &req).await;
            answers.push(answer);
            if answer == Some(200) {
                println!("{when}: {answers:?}");
                return;
            }
            sleep(RETRY_PAUSE).await;
        }
        panic!("{when}: no ordinary request is served: {answers:?}");
    }

    fn peak_memory_kb(&mut self) -> u64 {
        let ended = self.fleet.check_processes();
        assert!(ended.is_empty(), "the process has ended");
        crowd::peak_memory_kb(self.fleet.process_id(0))
    }

    /// Lets a crowd come, stay and leave, and checks the process meanwhile.
    async fn bear(&mut self, clients: (usize, usize), part: Part) {
        let method = if matches!(part, Part::Requests) {
            "GET"
        } else {
            "POST"
        };
        let crowd = Crowd::start(self.address, &Self::line(method, 1), clients, part);
        let until = Instant::now() + MAX_SEND_TIME;
        while !crowd.has_sent() {
            assert!(Instant::now() < until, "the crowd can't send");
            sleep(Duration::from_millis(20)).await;
        }
        let pid = self.fleet.process_id(0);
        let mut descriptors = crowd::open_descriptors(pid);
        self.expect_answer("beside the crowd").await;
        descriptors = descriptors.max(crowd::open_descriptors(pid));
        sleep(STAY).await;
        descriptors = descriptors.max(crowd::open_descriptors(pid));
        drop(crowd);
        self.expect_answer("after the crowd").await;
        let peak = self.peak_memory_kb();
        println!("{part:?}: peak {peak} kB, {descriptors} descriptors");
        assert!(peak < MAX_MEMORY_KB, "peak memory of {peak} kB");
        let max = MAX_CONNECTIONS + OTHER_DESCRIPTORS;
        assert!(descriptors <= max, "{descriptors} open descriptors");
    }
}

fn run(test: u8, clients: (usize, usize), part: Part) {
    with_process(test, async move |setup| setup.bear(clients, part).await);
}

fn with_process(test: u8, check: impl AsyncFnOnce(&mut Setup)) {
    let alone = ALONE.lock();
    // A test that has failed holds no process any more.
    let _alone = alone.unwrap_or_else(std::sync::PoisonError::into_inner);
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .unwrap();
    LocalSet::new().block_on(&runtime, async {
        let mut setup = Setup::start(test).await;
        check(&mut setup).await;
        setup.fleet.stop().await.remove_files();
    });
}

/// Bodies that stopped short of their end were kept whole, and without a bound on their sum.
#[test]
fn whole_bodies_without_their_end_do_not_exhaust_memory() {
    run(0, (BODY_CLIENTS, MAX_BODY), Part::WholeBody);
}

/// As above, where the bodies grow side by side.
#[test]
fn bodies_in_pieces_do_not_exhaust_memory() {
    run(1, (BODY_CLIENTS, MAX_BODY), Part::Pieces(1_400));
}

/// Bodies without a declared length were collected without a bound on their sum.
#[test]
fn bodies_in_large_chunks_do_not_exhaust_memory() {
    run(2, (BODY_CLIENTS, MAX_BODY), Part::Chunks(65_000));
}

/// A body kept an object for each chunk, and so held several times its bytes.
#[test]
fn bodies_in_chunks_of_one_byte_do_not_exhaust_memory() {
    run(3, (CHUNK_CLIENTS, MAX_BODY), Part::Chunks(1));
}

/// Heads counted nowhere.
#[test]
fn heads_without_their_end_do_not_exhaust_memory() {
    run(4, (HEAD_CLIENTS, MAX_BODY), Part::Head);
}

/// Connections without a request took the descriptors for peers, workers and the store.
#[test]
fn connections_without_a_request_leave_descriptors() {
    run(5, (IDLE_CLIENTS, MAX_BODY), Part::Nothing);
}

#[test]
fn answers_that_are_not_read_do_not_exhaust_memory() {
    run(6, (BODY_CLIENTS, MAX_BODY), Part::Requests);
}

/// A limit must not refuse what the configuration allows.
#[test]
fn a_slow_caller_with_the_largest_body_is_served_in_calm() {
    with_process(7, async |setup| {
        let req = setup.submission(MAX_BODY);
        let mut stream = tokio::net::TcpStream::connect(setup.address).await.unwrap();
        for piece in req.chunks(req.len() / 20) {
            tokio::io::AsyncWriteExt::write_all(&mut stream, piece)
                .await
                .unwrap();
            sleep(Duration::from_millis(100)).await;
        }
        let mut buf = [0; 12];
        tokio::io::AsyncReadExt::read_exact(&mut stream, &mut buf)
            .await
            .unwrap();
        assert_eq!(&buf[9..], b"200");
    });
}
