//! Stand-in for the network between entry VMs: relays datagrams, with fault switches per link.
//!
//! The relay has a socket for each entry process, which advertises the socket's address. A datagram
//! that arrives at the receiver's socket is forwarded from the sender's socket, so that replies to
//! its source address also go through the relay.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};
use std::net::{SocketAddr, UdpSocket};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

/// Size of the receive buffer, in bytes; at least the largest datagram.
const MAX_DATAGRAM_BYTES: usize = 65_536;

/// Receive time-out of a relay thread, after which it sends delayed datagrams that are due.
const RECV_TIMEOUT: Duration = Duration::from_millis(2);

/// Faults of the link from one entry process to another; the default has no faults.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct LinkFaults {
    /// Drops every datagram.
    pub is_down: bool,
    /// Added latency of each datagram.
    pub delay: Duration,
    /// Number of duplicates of each datagram.
    pub copies: u32,
}

/// Datagrams and bytes that a process has sent to the relay, dropped ones included.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Traffic {
    /// Number of datagrams.
    pub datagrams: u64,
    /// Payload bytes, without UDP and IP headers.
    pub bytes: u64,
}

#[derive(Debug)]
struct Endpoint {
    listen: SocketAddr,
    advertised: SocketAddr,
    socket: Arc<UdpSocket>,
    sent: Traffic,
}

#[derive(Debug, Default)]
struct State {
    endpoints: Vec<Endpoint>,
    link_faults: HashMap<(SocketAddr, SocketAddr), LinkFaults>,
}

/// Datagram relay between entry processes on loopback; clones share the relay.
#[derive(Debug, Clone, Default)]
pub struct PeerRelay {
    state: Arc<Mutex<State>>,
}

/// A datagram to send.
struct Datagram {
    from: Arc<UdpSocket>,
    to: SocketAddr,
    bytes: Vec<u8>,
}

/// Datagrams with a send time, earliest first.
#[derive(Default)]
struct DelayQueue {
    schedule: BinaryHeap<Reverse<(Instant, u64)>>,
    datagrams: HashMap<u64, Datagram>,
    next_id: u64,
}

impl PeerRelay {
    /// Adds the entry process that listens on `listen` and returns the address that the process
    /// must advertise.
    ///
    /// # Panics
    /// If the relay's socket can't be set up.
    pub fn add(&self, listen: SocketAddr) -> SocketAddr {
        let socket = UdpSocket::bind("127.0.0.1:0").expect("relay socket");
        socket
            .set_read_timeout(Some(RECV_TIMEOUT))
            .expect("relay receive time-out");
        let advertised = socket.local_addr().expect("relay address");
        let socket = Arc::new(socket);
        self.lock().endpoints.push(Endpoint {
            listen,
            advertised,
            socket: Arc::clone(&socket),
            sent: Traffic::default(),
        });
        let relay = self.clone();
        thread::spawn(move || relay.run(&socket, listen, advertised));
        advertised
    }

    /// Sets the faults of all links between two groups of advertised addresses, in both directions.
    pub fn set_faults_between(
        &self,
        group: &[SocketAddr],
        others: &[SocketAddr],
        faults: LinkFaults,
    ) {
        let mut state = self.lock();
        for a in group {
            for b in others {
                state.link_faults.insert((*a, *b), faults);
                state.link_faults.insert((*b, *a), faults);
            }
        }
    }

    /// Traffic that the process with this advertised address has sent so far.
    pub fn sent_by(&self, advertised: SocketAddr) -> Traffic {
        let state = self.lock();
        let endpoint = state.endpoints.iter().find(|s| s.advertised == advertised);
        endpoint.map(|endpoint| endpoint.sent).unwrap_or_default()
    }

    fn run(&self, socket: &UdpSocket, listen: SocketAddr, advertised: SocketAddr) {
        let mut buf = vec![0; MAX_DATAGRAM_BYTES];
        let mut queue = DelayQueue::default();
        loop {
            queue.send_due();
            // The receive time-out is an error as well.
            let Ok((len, from)) = socket.recv_from(&mut buf) else {
                continue;
            };
            let Some((sender, faults)) = self.route(from, advertised, len) else {
                continue;
            };
            for _ in 0..=faults.copies {
                let datagram = Datagram {
                    from: Arc::clone(&sender),
                    to: listen,
                    bytes: buf[..len].to_vec(),
                };
                queue.push(Instant::now() + faults.delay, datagram);
            }
        }
    }

    /// Returns the sender's relay socket and the faults of the link, and counts the datagram;
    /// `None` if the link is down or the sender is unknown.
    fn route(
        &self,
        from: SocketAddr,
        to: SocketAddr,
        len: usize,
    ) -> Option<(Arc<UdpSocket>, LinkFaults)> {
        let mut state = self.lock();
        let sender = state.endpoints.iter_mut().find(|s| s.listen == from)?;
        sender.sent.datagrams += 1;
        sender.sent.bytes += u64::try_from(len).unwrap_or(u64::MAX);
        let (socket, from) = (Arc::clone(&sender.socket), sender.advertised);
        let faults = state
            .link_faults
            .get(&(from, to))
            .copied()
            .unwrap_or_default();
        (!faults.is_down).then_some((socket, faults))
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl DelayQueue {
    fn push(&mut self, send_at: Instant, datagram: Datagram) {
        self.schedule.push(Reverse((send_at, self.next_id)));
        self.datagrams.insert(self.next_id, datagram);
        self.next_id += 1;
        self.send_due();
    }

    fn send_due(&mut self) {
        while let Some(&Reverse((send_at, id))) = self.schedule.peek() {
            if send_at > Instant::now() {
                return;
            }
            self.schedule.pop();
            if let Some(datagram) = self.datagrams.remove(&id) {
                // The send fails if the receiving process has ended.
                let _ = datagram.from.send_to(&datagram.bytes, datagram.to);
            }
        }
    }
}
