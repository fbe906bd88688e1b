//! Free loopback addresses for stand-ins and entry processes.

use std::net::{SocketAddr, TcpListener};

use rand::Rng;

/// Ports below those that the system gives to outgoing connections, which could else take a port
/// between the look and its use.
const PORTS: std::ops::Range<u16> = 10_000..32_000;

/// A loopback address that nothing listened on a moment ago.
pub fn free_address() -> SocketAddr {
    loop {
        let port = rand::rng().random_range(PORTS);
        let address = SocketAddr::from(([127, 0, 0, 1], port));
        if TcpListener::bind(address).is_ok() {
            return address;
        }
    }
}
