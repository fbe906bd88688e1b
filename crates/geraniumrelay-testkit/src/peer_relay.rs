//! Stand-in for the network between entry VMs: relays their datagrams, with fault switches.
//!
//! Each entry process has a socket here, whose address it advertises. A datagram that arrives at
//! the socket of one process leaves through the socket of its sender, so replies take the same way
//! back.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};
use std::net::{SocketAddr, UdpSocket};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

/// Largest datagram in bytes.
const MAX_DATAGRAM: usize = 65_536;

/// Longest wait of a relaying thread before it looks for delayed datagrams.
const STEP: Duration = Duration::from_millis(2);

/// Faults of the way from one entry process to another.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct LinkFaults {
    /// Nothing arrives.
    pub is_down: bool,
    /// Time by which each datagram is late.
    pub delay: Duration,
    /// Further copies of each datagram.
    pub copies: u32,
}

/// Datagrams and bytes that were relayed.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Traffic {
    /// Datagrams.
    pub datagrams: u64,
    /// Their bytes, without UDP and IP headers.
    pub bytes: u64,
}

#[derive(Debug)]
struct Station {
    listen: SocketAddr,
    advertised: SocketAddr,
    socket: Arc<UdpSocket>,
    sent: Traffic,
}

#[derive(Debug, Default)]
struct State {
    stations: Vec<Station>,
    faults: HashMap<(SocketAddr, SocketAddr), LinkFaults>,
}

/// A network between entry processes on loopback.
#[derive(Debug, Clone, Default)]
pub struct PeerRelay {
    state: Arc<Mutex<State>>,
}

/// One datagram on its way.
struct Datagram {
    via: Arc<UdpSocket>,
    to: SocketAddr,
    bytes: Vec<u8>,
}

/// Datagrams that wait for their time, the next one first.
#[derive(Default)]
struct Delayed {
    order: BinaryHeap<Reverse<(Instant, u64)>>,
    datagrams: HashMap<u64, Datagram>,
    next: u64,
}

impl PeerRelay {
    /// Adds the process that listens at `listen`; returns the address that it is to advertise.
    pub fn add(&self, listen: SocketAddr) -> SocketAddr {
        let socket = UdpSocket::bind("127.0.0.1:0").expect("relay socket");
        socket.set_read_timeout(Some(STEP)).expect("relay time-out");
        let advertised = socket.local_addr().expect("relay address");
        let socket = Arc::new(socket);
        self.lock().stations.push(Station {
            listen,
            advertised,
            socket: Arc::clone(&socket),
            sent: Traffic::default(),
        });
        let relay = self.clone();
        thread::spawn(move || relay.run(&socket, listen, advertised));
        advertised
    }

    /// Sets the faults of all ways between two groups of advertised addresses, both ways.
    pub fn set_between(&self, some: &[SocketAddr], others: &[SocketAddr], faults: LinkFaults) {
        let mut state = self.lock();
        for a in some {
            for b in others {
                state.faults.insert((*a, *b), faults);
                state.faults.insert((*b, *a), faults);
            }
        }
    }

    /// What the process that advertises an address has sent so far.
    pub fn sent_by(&self, advertised: SocketAddr) -> Traffic {
        let state = self.lock();
        let station = state.stations.iter().find(|s| s.advertised == advertised);
        station.map(|station| station.sent).unwrap_or_default()
    }

    fn run(&self, socket: &UdpSocket, listen: SocketAddr, advertised: SocketAddr) {
        let mut buf = vec![0; MAX_DATAGRAM];
        let mut delayed = Delayed::default();
        loop {
            delayed.send_due();
            // A wait without a datagram ends in an error too.
            let Ok((len, from)) = socket.recv_from(&mut buf) else {
                continue;
            };
            let Some((via, faults)) = self.route(from, advertised, len) else {
                continue;
            };
            for _ in 0..=faults.copies {
                let datagram = Datagram {
                    via: Arc::clone(&via),
                    to: listen,
                    bytes: buf[..len].to_vec(),
                };
                delayed.push(Instant::now() + faults.delay, datagram);
            }
        }
    }

    /// Socket through which a datagram goes on; `None` where the way is cut.
    fn route(
        &self,
        from: SocketAddr,
        to: SocketAddr,
        len: usize,
    ) -> Option<(Arc<UdpSocket>, LinkFaults)> {
        let mut state = self.lock();
        let sender = state.stations.iter_mut().find(|s| s.listen == from)?;
        sender.sent.datagrams += 1;
        sender.sent.bytes += u64::try_from(len).unwrap_or(u64::MAX);
        let (via, from) = (Arc::clone(&sender.socket), sender.advertised);
        let faults = state.faults.get(&(from, to)).copied().unwrap_or_default();
        (!faults.is_down).then_some((via, faults))
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Delayed {
    fn push(&mut self, at: Instant, datagram: Datagram) {
        self.order.push(Reverse((at, self.next)));
        self.datagrams.insert(self.next, datagram);
        self.next += 1;
        self.send_due();
    }

    fn send_due(&mut self) {
        while let Some(&Reverse((at, n))) = self.order.peek() {
            if at > Instant::now() {
                return;
            }
            self.order.pop();
            if let Some(datagram) = self.datagrams.remove(&n) {
                // A process that has ended refuses its datagrams.
                let _ = datagram.via.send_to(&datagram.bytes, datagram.to);
            }
        }
    }
}
