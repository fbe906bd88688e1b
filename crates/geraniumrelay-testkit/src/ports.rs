//! Free loopback addresses for stand-ins and entry processes.

use std::net::{SocketAddr, TcpListener};

/// A loopback address that nothing listened on a moment ago.
pub fn free_address() -> SocketAddr {
    let listener = TcpListener::bind(("127.0.0.1", 0)).expect("loopback has a free port");
    listener
        .local_addr()
        .expect("a bound listener has an address")
}
