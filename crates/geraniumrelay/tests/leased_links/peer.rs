//! A peer of an entry process, played by the test: it reads its incoming link at a limited rate.

use std::cell::{Cell, RefCell};
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::rc::Rc;
use std::time::Duration;

use bytes::{Buf, BufMut, BytesMut};
use flume::{Receiver, Sender};
use geraniumrelay_wire::leased::peer_message::Body;
use geraniumrelay_wire::leased::{Beat, ConfigurationPart, FetchConfiguration, Hello, PeerMessage};
use prost::Message as _;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpSocket, TcpStream};
use tokio::task::spawn_local;
use tokio::time::{Instant, MissedTickBehavior, interval, sleep};

use crate::fleet::{FIRST_PEER_PORT, third_octet};

const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(100);

/// Pause before the peer connects again.
const RECONNECT_PAUSE: Duration = Duration::from_millis(150);

/// Interval between two reads of a link.
const READ_INTERVAL: Duration = Duration::from_millis(10);

/// Receive buffer of the kernel. A larger one hides how slowly the peer reads, and delays the updates
/// of the window until the sender's `TCP_USER_TIMEOUT`.
const RECEIVE_BUFFER_BYTES: u32 = 16 << 10;

/// Segment size as on Ethernet; a segment of loopback is larger than the receive buffer.
const SEGMENT_BYTES: u32 = 1_448;

/// First bytes of a `PeerMessage` by its field.
const HELLO_TAG: u8 = 0x0a;
const BEAT_TAG: u8 = 0x12;
const CONFIGURATION_TAG: u8 = 0x3a;

/// Size of the parts that a peer sends.
pub(crate) const PART_BYTES: usize = 64 << 10;

/// Versions that a peer reports before and after it has received the configuration.
pub(crate) const OLD_VERSION: u64 = 1;
pub(crate) const NEW_VERSION: u64 = 2;

/// What a peer has received from the process.
#[derive(Debug)]
pub(crate) struct Received {
    /// Bytes of all messages but hellos and heartbeats, also of incomplete messages.
    pub(crate) other_bytes: usize,
    pub(crate) beats: u32,
    /// Configuration version of the process in the last heartbeat.
    pub(crate) version: u64,
    /// Number of requests for a part of the configuration.
    pub(crate) part_requests: usize,
    /// Longest time without a heartbeat.
    pub(crate) longest_gap: Duration,
    last_beat: Instant,
}

/// A peer that listens for the process's link and keeps its own link to the process.
#[derive(Debug)]
pub(crate) struct Peer {
    pub(crate) address: SocketAddr,
    ip: Ipv4Addr,
    /// Configuration version that its heartbeats report.
    version: Cell<u64>,
    read_bytes_per_s: usize,
    received: RefCell<Received>,
    /// Configuration that the peer sends in parts.
    row: RefCell<Vec<u8>>,
    /// Parts of the configuration that the peer has requested and received.
    downloaded: RefCell<Vec<u8>>,
    /// Messages to the process, beside the heartbeats.
    messages: (Sender<Body>, Receiver<Body>),
}

impl Peer {
    /// Starts a peer at `ip` of the process at `process`.
    pub(crate) fn start(ip: Ipv4Addr, process: SocketAddr, read_bytes_per_s: usize) -> Rc<Self> {
        let address = SocketAddr::from((ip, FIRST_PEER_PORT));
        let peer = Rc::new(Self {
            address,
            ip,
            version: Cell::new(OLD_VERSION),
            read_bytes_per_s,
            received: RefCell::new(Received::new()),
            row: RefCell::default(),
            downloaded: RefCell::default(),
            messages: flume::unbounded(),
        });
        let socket = TcpSocket::new_v4().unwrap();
        socket.set_reuseaddr(true).unwrap();
        socket.set_recv_buffer_size(RECEIVE_BUFFER_BYTES).unwrap();
        socket2::SockRef::from(&socket)
            .set_tcp_mss(SEGMENT_BYTES)
            .unwrap();
        socket.bind(address).unwrap();
        let listener = socket.listen(16).unwrap();
        let shared = Rc::clone(&peer);
        spawn_local(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let peer = Rc::clone(&shared);
                spawn_local(async move { peer.read(stream).await });
            }
        });
        let shared = Rc::clone(&peer);
        spawn_local(async move {
            loop {
                // The process may refuse or close the link; the peer connects again.
                let _ = shared.send_heartbeats(process).await;
                sleep(RECONNECT_PAUSE).await;
            }
        });
        peer
    }

    /// What the peer has received since the last call.
    pub(crate) fn received(&self) -> Received {
        let mut received = self.received.replace(Received::new());
        received.longest_gap = received.longest_gap.max(received.last_beat.elapsed());
        received
    }

    /// Reports the new version, and sends `row` to the process on request.
    pub(crate) fn serve(&self, row: &[u8]) {
        *self.row.borrow_mut() = row.to_vec();
        self.version.set(NEW_VERSION);
    }

    /// Requests the configuration of the process from its beginning, and then each next part.
    pub(crate) fn download(&self) {
        self.request_part(0, 0);
    }

    /// Parts of the configuration that the peer has downloaded.
    pub(crate) fn downloaded(&self) -> Vec<u8> {
        self.downloaded.borrow().clone()
    }

    fn request_part(&self, version: u64, offset: u64) {
        let fetch = FetchConfiguration {
            version,
            offset,
            known: 0,
        };
        self.send(Body::FetchConfiguration(fetch));
    }

    fn send(&self, body: Body) {
        self.messages.0.send(body).unwrap();
    }

    async fn send_heartbeats(&self, process: SocketAddr) -> std::io::Result<()> {
        let socket = TcpSocket::new_v4()?;
        socket.bind(SocketAddr::from((self.ip, 0)))?;
        let mut stream = socket.connect(process).await?;
        stream.set_nodelay(true)?;
        let hello = Hello {
            address: self.ip.to_bits(),
            incarnation: u64::from(self.ip.to_bits()),
        };
        stream.write_all(&frame(Body::Hello(hello))).await?;
        let mut ticks = interval(HEARTBEAT_INTERVAL);
        loop {
            tokio::select! {
                message = self.messages.1.recv_async() => {
                    stream.write_all(&frame(message.unwrap())).await?;
                    continue;
                }
                _ = ticks.tick() => {}
            }
            let beat = Beat {
                has_store: true,
                is_barred: true,
                knows_departed: true,
                data_centre: "z".to_owned(),
                cpu_tenths: 2,
                config_version: self.version.get(),
                ..Beat::default()
            };
            stream.write_all(&frame(Body::Beat(beat))).await?;
        }
    }

    /// Reads one link until it closes, at the peer's rate.
    async fn read(&self, mut stream: TcpStream) {
        let per_second = Duration::from_secs(1).as_millis() / READ_INTERVAL.as_millis();
        let share = self.read_bytes_per_s / usize::try_from(per_second).unwrap();
        let mut chunk = vec![0; share];
        let mut link = IncomingLink::default();
        let mut ticks = interval(READ_INTERVAL);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            ticks.tick().await;
            let Ok(read @ 1..) = stream.read(&mut chunk).await else {
                return;
            };
            self.count(&mut link, &chunk[..read]);
        }
    }

    /// Sends the requested part, or requests the next one.
    fn answer(&self, body: Body, received: &mut Received) {
        match body {
            Body::Beat(beat) => received.version = beat.config_version,
            Body::FetchConfiguration(fetch) => {
                received.part_requests += 1;
                let row = self.row.borrow();
                let offset = usize::try_from(fetch.offset).unwrap();
                let end = row.len().min(offset + PART_BYTES);
                self.send(Body::ConfigurationPart(ConfigurationPart {
                    version: NEW_VERSION,
                    total: row.len() as u64,
                    offset: fetch.offset,
                    data: row[offset..end].to_vec(),
                }));
            }
            Body::ConfigurationPart(part) => {
                let mut downloaded = self.downloaded.borrow_mut();
                assert_eq!(part.offset, downloaded.len() as u64);
                downloaded.extend(part.data);
                let size = downloaded.len() as u64;
                if size < part.total {
                    self.request_part(part.version, size);
                }
            }
            _ => {}
        }
    }

    /// Counts the bytes of a link, also those of its incomplete message.
    fn count(&self, link: &mut IncomingLink, bytes: &[u8]) {
        let mut received = self.received.borrow_mut();
        link.buf.extend_from_slice(bytes);
        let mut complete = 0;
        while let Some((tag, size)) = link.message() {
            if link.buf.len() < size {
                break;
            }
            match tag {
                HELLO_TAG => {}
                BEAT_TAG => received.on_beat(),
                _ => complete += size,
            }
            let message = PeerMessage::decode(&link.buf[4..size]).unwrap();
            self.answer(message.body.unwrap(), &mut received);
            if tag == CONFIGURATION_TAG {
                self.version.set(NEW_VERSION);
            }
            link.buf.advance(size);
        }
        let is_other = |(tag, _): &(u8, usize)| *tag != HELLO_TAG && *tag != BEAT_TAG;
        let incomplete = link
            .message()
            .filter(is_other)
            .map_or(0, |_| link.buf.len());
        received.other_bytes += complete + incomplete - link.incomplete;
        link.incomplete = incomplete;
    }
}

/// Link whose bytes a peer counts.
#[derive(Debug, Default)]
struct IncomingLink {
    buf: BytesMut,
    /// Bytes of the incomplete message that are counted already.
    incomplete: usize,
}

impl IncomingLink {
    /// Tag of the next message, and its size with the length prefix.
    fn message(&self) -> Option<(u8, usize)> {
        let (head, body) = self.buf.split_first_chunk::<4>()?;
        let size = usize::try_from(u32::from_be_bytes(*head)).unwrap();
        Some((*body.first()?, 4 + size))
    }
}

impl Received {
    fn new() -> Self {
        Self {
            other_bytes: 0,
            beats: 0,
            version: 0,
            part_requests: 0,
            longest_gap: Duration::ZERO,
            last_beat: Instant::now(),
        }
    }

    fn on_beat(&mut self) {
        self.beats += 1;
        self.longest_gap = self.longest_gap.max(self.last_beat.elapsed());
        self.last_beat = Instant::now();
    }
}

/// Encodes a message with its length prefix.
fn frame(body: Body) -> BytesMut {
    let message = PeerMessage { body: Some(body) }.encode_to_vec();
    let mut buf = BytesMut::new();
    buf.put_u32(u32::try_from(message.len()).unwrap());
    buf.extend_from_slice(&message);
    buf
}

/// Address of a peer of the test number `test`; differs between processes of the tests.
pub(crate) fn peer_ip(test: u8, number: u8) -> Ipv4Addr {
    Ipv4Addr::new(127, 64 + test, third_octet(), number + 1)
}

/// Address on which a process at `ip` listens for peers.
pub(crate) fn peer_listen(ip: IpAddr) -> SocketAddr {
    SocketAddr::new(ip, FIRST_PEER_PORT)
}
