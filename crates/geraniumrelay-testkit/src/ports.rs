//! Loopback addresses for stand-ins and entry processes.

use std::io;
use std::net::{Ipv4Addr, SocketAddr, TcpListener, UdpSocket};
use std::process::{Child, Command};
use std::sync::atomic::{AtomicU16, Ordering};
use std::sync::{Mutex, MutexGuard, PoisonError};

/// First port to try.
const FIRST_PORT: u16 = 20_000;

/// Held while a port is tried, and while a process is started: between its fork and the execution of its
/// program a process holds all sockets of its parent, also those that the parent closes meanwhile.
static SOCKETS_IN_USE: Mutex<()> = Mutex::new(());

fn lock_sockets() -> MutexGuard<'static, ()> {
    SOCKETS_IN_USE
        .lock()
        .unwrap_or_else(PoisonError::into_inner)
}

/// Returns a loopback address whose TCP and UDP ports are both free.
///
/// The IP address in 127.0.0.0/8 is derived from the process id, so that neither another test
/// program nor the source port of an outgoing connection, which uses 127.0.0.1, takes the port
/// before its listener binds. Processes must be started by [`spawn`].
pub fn free_address() -> SocketAddr {
    static NEXT: AtomicU16 = AtomicU16::new(FIRST_PORT);
    let _guard = lock_sockets();
    loop {
        let port = NEXT.fetch_add(1, Ordering::Relaxed).max(FIRST_PORT);
        let address = SocketAddr::from((process_ip(), port));
        if TcpListener::bind(address).is_ok() && UdpSocket::bind(address).is_ok() {
            return address;
        }
    }
}

/// Maps the process id, which has at most 22 bits, to the low 22 bits of a loopback IP. The second
/// octet is at least 64, so the IP never equals 127.0.0.1.
fn process_ip() -> Ipv4Addr {
    let [_, high, middle, low] = std::process::id().to_be_bytes();
    Ipv4Addr::new(127, 64 | (high & 0x3f), middle, low)
}

/// Starts a process, and returns once it executes its program, so that it holds no socket of this one.
///
/// # Errors
/// If the process can't be started.
pub fn spawn(command: &mut Command) -> io::Result<Child> {
    let _guard = lock_sockets();
    command.spawn()
}
