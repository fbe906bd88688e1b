//! Error statuses of the platform in response to writes, over loopback.

use std::io::{Read, Write};
use std::net::TcpListener;
use std::thread;

use assert_matches::assert_matches;
use geraniumrelay_platform::{PlatformClient, PlatformConfig, PlatformError};
use geraniumrelay_wire::Transaction;

/// Commits a transaction at a platform that answers with `status`.
fn commit_error(status: u16) -> PlatformError {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let platform = thread::spawn(move || {
        let (mut stream, _) = listener.accept().unwrap();
        let mut req = Vec::new();
        let mut buf = [0; 4_096];
        while !req.ends_with(b"}") {
            let read = stream.read(&mut buf).unwrap();
            assert!(read > 0);
            req.extend_from_slice(&buf[..read]);
        }
        let res = format!("HTTP/1.1 {status} x\r\nContent-Length: 0\r\n\r\n");
        stream.write_all(res.as_bytes()).unwrap();
    });
    let client = PlatformClient::new(PlatformConfig::new(format!("http://{address}")));
    let error = client.commit(&Transaction::default()).unwrap_err();
    platform.join().unwrap();
    error
}

/// A gateway that fails may have passed the transaction on.
#[test]
fn a_commit_that_fails_without_a_refusal_may_have_taken_effect() {
    for status in [500, 502, 504] {
        assert_matches!(commit_error(status), PlatformError::Unknown { .. });
    }
    for status in [403, 429, 503, 507] {
        assert_matches!(commit_error(status), PlatformError::Refused { status: s } if s == status);
    }
}
