//! Reads whose responses arrive slowly, over loopback.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::thread;
use std::time::{Duration, Instant};

use assert_matches::assert_matches;
use geraniumrelay_platform::{PlatformClient, PlatformConfig, PlatformError};

const BODY: &str = r#"{"key":"sheet/text/000000000001","version":1,"value":"x"}"#;

/// Number of parts in which a response arrives.
const PARTS: usize = 8;

/// Starts a platform that sends the body of each response in parts, with a pause before each.
fn start_platform(pause: Duration) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            respond(stream, pause);
        }
    });
    address
}

fn respond(mut stream: TcpStream, pause: Duration) {
    let mut req = [0; 4_096];
    if stream.read(&mut req).is_err() {
        return;
    }
    let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", BODY.len());
    stream.write_all(head.as_bytes()).unwrap();
    for part in BODY.as_bytes().chunks(BODY.len().div_ceil(PARTS)) {
        thread::sleep(pause);
        // The client may have given the response up.
        if stream.write_all(part).is_err() {
            return;
        }
    }
}

fn config(address: SocketAddr) -> PlatformConfig {
    PlatformConfig::new(format!("http://{address}"))
}

// A sheet or VM list that took longer than the time-out was read again from its start, for ever.
#[test]
fn a_row_that_takes_longer_than_the_time_out_is_read() {
    let address = start_platform(Duration::from_millis(350));
    let row = PlatformClient::new(config(address)).row("sheet/text/000000000001");
    assert_eq!(row.unwrap().value, "x");
}

#[test]
fn a_read_with_a_time_out_of_its_own_ends_by_then() {
    let address = start_platform(Duration::from_millis(100));
    let cfg = config(address).with_timeout(Duration::from_millis(300));
    let began = Instant::now();
    let row = PlatformClient::new(cfg).row("sheet/text/000000000001");
    assert_matches!(row, Err(PlatformError::Unknown { .. }));
    assert!(began.elapsed() < Duration::from_millis(600));
}

#[test]
fn a_read_without_further_data_is_given_up() {
    let address = start_platform(Duration::from_mins(1));
    let began = Instant::now();
    let row = PlatformClient::new(config(address)).row("sheet/text/000000000001");
    assert_matches!(row, Err(PlatformError::Unknown { .. }));
    assert!(began.elapsed() < Duration::from_secs(3));
}
