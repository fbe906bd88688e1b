//! Loopback addresses for stand-ins and entry processes.

use std::net::{Ipv4Addr, SocketAddr, TcpListener, UdpSocket};
use std::sync::atomic::{AtomicU16, Ordering};

/// First port that is given out.
const FIRST_PORT: u16 = 20_000;

/// A loopback address that nothing else uses.
///
/// Each program has an IP of 127.0.0.0/8 of its own, so that neither another test nor the source
/// port of a connection, which is one of 127.0.0.1, takes the port before its listener does.
pub fn free_address() -> SocketAddr {
    static NEXT: AtomicU16 = AtomicU16::new(FIRST_PORT);
    loop {
        let port = NEXT.fetch_add(1, Ordering::Relaxed).max(FIRST_PORT);
        let address = SocketAddr::from((own_ip(), port));
        if TcpListener::bind(address).is_ok() && UdpSocket::bind(address).is_ok() {
            return address;
        }
    }
}

/// Process ids have at most 22 bits; the second byte is never that of 127.0.0.1.
fn own_ip() -> Ipv4Addr {
    let [_, high, middle, low] = std::process::id().to_be_bytes();
    Ipv4Addr::new(127, 64 | (high & 0x3f), middle, low)
}
