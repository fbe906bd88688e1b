//! The border towards callers: requests that can't be used, large ones, slow ones.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::thread;
use std::time::{Duration, Instant};

use geraniumrelay_testkit::caller::{Caller, RequestOutcome, job_of};
use geraniumrelay_testkit::entry_process::run_if_entry;
use geraniumrelay_testkit::{Cluster, ClusterPlan};
use geraniumrelay_wire::Problem;

/// Longest wait for something that is bound to happen.
const PATIENCE: Duration = Duration::from_secs(20);

#[test]
#[ignore = "runs as an entry process, started by the other tests"]
fn entry_role() {
    run_if_entry();
}

fn cluster(entries: usize) -> Cluster {
    Cluster::start(ClusterPlan::new(entries, 1))
}

fn connect(entry: SocketAddr) -> TcpStream {
    let stream = TcpStream::connect(entry).expect("the entry process listens");
    stream.set_read_timeout(Some(PATIENCE)).unwrap();
    stream
}

/// Sends bytes as they are and reads until the entry process closes.
fn raw(entry: SocketAddr, request: &[u8]) -> String {
    let mut stream = connect(entry);
    stream.write_all(request).unwrap();
    read_all(stream)
}

fn read_all(mut stream: TcpStream) -> String {
    let mut text = Vec::new();
    // A reset after the reply is as good as an end; a time-out is not.
    if let Err(e) = stream.read_to_end(&mut text) {
        assert_eq!(e.kind(), std::io::ErrorKind::ConnectionReset, "{e}");
    }
    String::from_utf8(text).unwrap()
}

fn request(line: &str, body: &str) -> Vec<u8> {
    let length = body.len();
    format!(
        "{line} HTTP/1.1\r\nhost: e\r\nconnection: close\r\ncontent-length: {length}\r\n\r\n{body}"
    )
    .into_bytes()
}

fn problem_of(reply: &str) -> Problem {
    assert!(
        reply.contains("content-type: application/problem+json"),
        "{reply}"
    );
    let (_, body) = reply.split_once("\r\n\r\n").expect("a body");
    serde_json::from_str(body).expect("a problem")
}

fn assert_alive(entry: SocketAddr) {
    assert_eq!(Caller::new().get(entry, "/readyz").0, 200);
}

#[test]
fn every_unusable_request_is_a_problem_with_a_verdict() {
    let cluster = cluster(1);
    let entry = cluster.entries[0].address;
    let ticket = Caller::new().tickets(entry, 1).remove(0);
    let job = format!("/v1/jobs/{ticket}");
    let unknown_field = r#"{"service":"kiallitas-pont","kind":"score","tasks":[],"speed":1}"#;
    let bad_name = r#"{"service":"Kiállítás","kind":"score","tasks":[]}"#;
    let cases = [
        (
            "PATCH",
            job.as_str(),
            "",
            405,
            "method-not-allowed",
            "MayHaveRun",
        ),
        (
            "OPTIONS",
            "/v1/tickets",
            "",
            405,
            "method-not-allowed",
            "NotRun",
        ),
        ("PUT", "/v1/jobs", "", 405, "method-not-allowed", "NotRun"),
        ("GET", "/v2/jobs", "", 404, "no-such-resource", "NotRun"),
        (
            "PUT",
            "/v1/jobs/order-17",
            "{}",
            404,
            "bad-ticket",
            "MayHaveRun",
        ),
        (
            "PUT",
            &job,
            "{\"service\":",
            400,
            "body-unusable",
            "MayHaveRun",
        ),
        (
            "PUT",
            &job,
            unknown_field,
            400,
            "body-unusable",
            "MayHaveRun",
        ),
        ("PUT", &job, "", 400, "body-unusable", "MayHaveRun"),
        ("PUT", &job, bad_name, 422, "bad-name", "MayHaveRun"),
        (
            "GET",
            &format!("{job}?wait_ms=soon"),
            "",
            400,
            "bad-wait",
            "MayHaveRun",
        ),
        (
            "POST",
            "/v1/tickets?count=0",
            "",
            400,
            "bad-count",
            "NotRun",
        ),
        (
            "POST",
            "/v1/tickets?count=1001",
            "",
            400,
            "bad-count",
            "NotRun",
        ),
        ("POST", "/v1/jobs", "{}", 400, "bad-key", "NotRun"),
    ];
    for (method, path, body, status, reason, verdict) in cases {
        let problem = problem_of(&raw(entry, &request(&format!("{method} {path}"), body)));
        let found = (
            problem.status,
            problem.reason.as_str(),
            problem.verdict.as_str(),
        );
        assert_eq!(found, (status, reason, verdict), "{method} {path} {body}");
    }
    // None of them changed anything: the ticket is as good as new.
    let told = Caller::new().submit(entry, &ticket, &job_of("kiallitas-pont", "score", &[10]));
    assert!(told.is_complete(), "{told:?}");
}

#[test]
fn a_job_without_tasks_never_ran() {
    let cluster = cluster(1);
    let entry = cluster.entries[0].address;
    let ticket = Caller::new().tickets(entry, 1).remove(0);
    let told = Caller::new().submit(entry, &ticket, &job_of("kiallitas-pont", "score", &[]));
    assert!(
        matches!(&told, RequestOutcome::Problem(p) if p.reason == "no-tasks" && p.verdict == "NotRun"),
        "{told:?}"
    );
}

#[test]
fn a_large_body_is_refused_unread() {
    let cluster = cluster(1);
    let entry = cluster.entries[0].address;
    let ticket = Caller::new().tickets(entry, 1).remove(0);
    for length in ["2000000", "10000000000000", "18446744073709551000"] {
        let head = format!(
            "PUT /v1/jobs/{ticket} HTTP/1.1\r\nhost: e\r\ncontent-length: {length}\r\n\r\n"
        );
        let problem = problem_of(&raw(entry, head.as_bytes()));
        assert_eq!(
            (problem.status, problem.verdict.as_str()),
            (413, "MayHaveRun")
        );
    }
    assert_alive(entry);
}

#[test]
fn a_large_body_of_unknown_length_is_refused() {
    let cluster = cluster(1);
    let entry = cluster.entries[0].address;
    let ticket = Caller::new().tickets(entry, 1).remove(0);
    let mut stream = connect(entry);
    let head =
        format!("PUT /v1/jobs/{ticket} HTTP/1.1\r\nhost: e\r\ntransfer-encoding: chunked\r\n\r\n");
    stream.write_all(head.as_bytes()).unwrap();
    let chunk = format!("10000\r\n{}\r\n", "x".repeat(0x1_0000));
    // Just beyond the bound, so that nothing unread makes the reply get lost.
    for _ in 0..16 {
        stream.write_all(chunk.as_bytes()).unwrap();
    }
    stream.write_all(b"1\r\nx\r\n").unwrap();
    assert_eq!(problem_of(&read_all(stream)).status, 413);
    assert_alive(entry);
}

#[test]
fn a_huge_head_is_refused() {
    let cluster = cluster(1);
    let entry = cluster.entries[0].address;
    let head = format!(
        "GET /readyz HTTP/1.1\r\nhost: e\r\nx: {}",
        "x".repeat(40_000)
    );
    let mut stream = connect(entry);
    // The entry process may close before it has all.
    let _ = stream.write_all(head.as_bytes());
    let reply = read_all(stream);
    assert!(
        reply.is_empty() || reply.starts_with("HTTP/1.1 431"),
        "{reply}"
    );
    assert_alive(entry);
}

#[test]
fn slow_senders_and_idle_connections_are_closed() {
    let plan = ClusterPlan::new(1, 1)
        .with_setting("GERANIUMRELAY_HEAD_TIMEOUT", "300ms")
        .with_setting("GERANIUMRELAY_BODY_TIMEOUT", "300ms");
    let cluster = Cluster::start(plan);
    let entry = cluster.entries[0].address;
    let ticket = Caller::new().tickets(entry, 1).remove(0);

    assert_eq!(read_all(connect(entry)), "", "an idle connection");
    let slow_head = raw(entry, b"GET /readyz HTTP/1.1\r\nhost:");
    assert!(!slow_head.contains("200 OK"), "{slow_head}");
    let kept = raw(entry, b"GET /readyz HTTP/1.1\r\nhost: e\r\n\r\n");
    assert!(kept.contains("200 OK"), "{kept}");

    let head =
        format!("PUT /v1/jobs/{ticket} HTTP/1.1\r\nhost: e\r\ncontent-length: 100\r\n\r\n{{");
    let problem = problem_of(&raw(entry, head.as_bytes()));
    assert_eq!(
        (problem.status, problem.verdict.as_str()),
        (408, "MayHaveRun")
    );
}

#[test]
fn an_answer_is_found_through_any_entry() {
    let cluster = cluster(2);
    let caller = Caller::new();
    let [owner, other] = [cluster.entries[0].address, cluster.entries[1].address];
    let ticket = caller.tickets(owner, 1).remove(0);
    let job = job_of("kiallitas-pont", "score", &[500]);
    let running = thread::spawn({
        let (caller, ticket) = (caller.clone(), ticket.clone());
        move || caller.submit(owner, &ticket, &job)
    });
    let until = Instant::now() + PATIENCE;
    while cluster.starts_per_task().is_empty() {
        assert!(Instant::now() < until, "nothing has started in time");
        thread::sleep(Duration::from_millis(5));
    }
    let told = caller.query(other, &ticket, Duration::ZERO);
    assert!(
        told == RequestOutcome::InFlight || told.is_complete() || told.verdict() == "MayHaveRun",
        "{told:?}"
    );
    let told = caller.query(other, &ticket, PATIENCE);
    assert!(told.is_complete(), "{told:?}");
    assert!(running.join().unwrap().is_complete());
}
