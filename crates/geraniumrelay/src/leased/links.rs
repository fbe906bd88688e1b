//! Links between entry VMs: one connection for each direction.
//!
//! TCP rather than QUIC: the kernel of a killed process resets its connections, so that its peers
//! detect the failure of a scheduler within a round trip. With QUIC they would have to wait for a
//! time-out.

use std::cell::Cell;
use std::io;
use std::net::{IpAddr, SocketAddr};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::{Buf, BufMut, Bytes, BytesMut};
use flume::{Receiver, Sender};
use geraniumrelay_core::leased::EntryVm;
use geraniumrelay_wire::leased::peer_message::Body;
use geraniumrelay_wire::leased::{Hello, PeerMessage};
use log::{info, warn};
use prost::Message as _;
use socket2::SockRef;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::select;
use tokio::sync::Notify;
use tokio::task::spawn_local;
use tokio::time::timeout;

use super::convert::{vm_from_address, vm_to_address};
use super::input::{IncomingConnection, Input, InputTx};
use super::link_load::{LinkLoad, SendBuf, TotalLoad, kind};
use super::metrics::LeasedMetrics;
use super::server;

/// Capacity of the queue of one link, in messages; its size in bytes is limited as well.
const QUEUE_CAPACITY: usize = 2_048;

/// Size from which a batch of messages is written before more are added to it.
const MAX_BATCH_BYTES: usize = 64 << 10;

/// Longest wait for a connection: a few round trips.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);

/// `TCP_USER_TIMEOUT`: time after which unacknowledged data breaks a connection; shorter than the
/// heartbeat time-out after which a peer counts as failed.
const USER_TIMEOUT: Duration = Duration::from_millis(700);

/// Idle time that closes an incoming connection; a peer sends several heartbeats a second.
const READ_TIMEOUT: Duration = Duration::from_millis(2_500);

/// Pause before a reconnect.
const RECONNECT_PAUSE: Duration = Duration::from_millis(150);

/// Largest message; the largest kind is a configuration.
const MAX_MESSAGE_BYTES: usize = 8 << 20;

/// Binds the listener for links of other entry VMs.
pub(super) fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    server::bind(address)
}

/// Accepts links of other entry VMs, and passes their messages to the event loop.
pub(super) async fn accept_all(listener: TcpListener, tx: InputTx) {
    let mut number = 0;
    while let Some(stream) = server::accept(&listener).await {
        number += 1;
        spawn_local(receive(stream, number, tx.clone()));
    }
}

async fn receive(mut stream: TcpStream, number: u64, tx: InputTx) {
    let mut buf = BytesMut::new();
    let metrics = Arc::clone(tx.metrics());
    let Some(Body::Hello(hello)) = read_message(&mut stream, &mut buf, &metrics).await else {
        return;
    };
    let from = vm_from_address(hello.address);
    let peer = stream.peer_addr().map(|a| a.ip());
    if peer.is_ok_and(|ip| ip != IpAddr::V4(from.0)) {
        warn!(vm:% = from; "link_refused");
        return;
    }
    let incarnation = hello.incarnation;
    let connection = IncomingConnection {
        number,
        incarnation,
    };
    info!(vm:% = from, incarnation, number; "link_in_up");
    let mut next = Some(Body::Hello(hello));
    while let Some(body) = next {
        tx.send(Input::Peer {
            from,
            connection,
            body,
        })
        .await;
        next = read_message(&mut stream, &mut buf, &metrics).await;
    }
    metrics.count_link_bytes("in", "incomplete", buf.len());
    info!(vm:% = from, incarnation, number; "link_in_down");
    tx.send(Input::LinkLost { from, connection }).await;
}

/// Reads the next message; `None` if the link has ended, is idle too long or sends invalid data.
async fn read_message(
    stream: &mut TcpStream,
    buf: &mut BytesMut,
    metrics: &LeasedMetrics,
) -> Option<Body> {
    loop {
        if let Some(body) = take_message(buf, metrics)? {
            return Some(body);
        }
        match timeout(READ_TIMEOUT, stream.read_buf(buf)).await {
            Ok(Ok(read)) if read > 0 => {}
            _ => return None,
        }
    }
}

/// Removes one complete message from the buffer; `Some(None)` if more bytes are needed, `None` if
/// the link sends invalid data.
#[expect(clippy::option_option, reason = "incomplete message, or invalid data")]
fn take_message(buf: &mut BytesMut, metrics: &LeasedMetrics) -> Option<Option<Body>> {
    loop {
        let Some(head) = buf.first_chunk::<4>() else {
            return Some(None);
        };
        let size = usize::try_from(u32::from_be_bytes(*head)).ok()?;
        if size > MAX_MESSAGE_BYTES {
            return None;
        }
        if buf.len() < 4 + size {
            return Some(None);
        }
        buf.advance(4);
        let message = PeerMessage::decode(buf.split_to(size)).ok()?;
        let kind = message.body.as_ref().map_or("unknown", kind);
        metrics.count_link_bytes("in", kind, 4 + size);
        // Skips a message of a kind that only a newer version knows.
        if message.body.is_some() {
            return Some(message.body);
        }
    }
}

/// An encoded message with its length prefix.
#[derive(Debug, Clone)]
pub(super) struct Frame {
    kind: &'static str,
    bytes: Bytes,
}

/// Encodes a message with its length prefix: 4 bytes, big-endian.
pub(super) fn frame(body: Body) -> Frame {
    let kind = kind(&body);
    let message = PeerMessage { body: Some(body) };
    let size = message.encoded_len();
    let mut buf = BytesMut::with_capacity(4 + size);
    buf.put_u32(u32::try_from(size).unwrap_or(u32::MAX));
    message.encode_raw(&mut buf);
    let bytes = buf.freeze();
    Frame { kind, bytes }
}

/// Outgoing link to one entry VM.
#[derive(Debug)]
pub(super) struct Link {
    tx: Sender<Bytes>,
    to: SocketAddr,
    state: Rc<LinkState>,
}

/// State that a link shares with its sending task.
#[derive(Debug)]
struct LinkState {
    /// Makes the task reconnect at once.
    reconnect: Notify,
    is_connected: Cell<bool>,
    /// Incarnation of the peer's process, as of its last hello.
    incarnation: Cell<Option<u64>>,
    load: LinkLoad,
}

impl Link {
    /// Starts the task that connects to `vm` at `to`, and reconnects when the connection breaks.
    pub(super) fn start(
        own: EntryVm,
        incarnation: u64,
        (vm, to): (EntryVm, SocketAddr),
        total: TotalLoad,
        inputs: InputTx,
    ) -> Self {
        let (tx, rx) = flume::bounded(QUEUE_CAPACITY);
        let hello = frame(Body::Hello(Hello {
            address: vm_to_address(own),
            incarnation,
        }));
        let state = Rc::new(LinkState {
            reconnect: Notify::new(),
            is_connected: Cell::new(false),
            incarnation: Cell::new(None),
            load: LinkLoad::new(to, total, Arc::clone(inputs.metrics())),
        });
        let task_state = Rc::clone(&state);
        spawn_local(async move {
            while !rx.is_disconnected() {
                let is_reconnect_now = select! {
                    () = serve(own, (vm, to), &hello, &rx, &inputs, &task_state) => false,
                    () = task_state.reconnect.notified() => true,
                };
                task_state.is_connected.set(false);
                // Messages queued for the connection that has ended are out of date.
                rx.drain().for_each(|m| task_state.load.released(m.len()));
                task_state.load.drained();
                if !is_reconnect_now {
                    tokio::time::sleep(RECONNECT_PAUSE).await;
                }
            }
        });
        Self { tx, to, state }
    }

    /// Address that the link connects to.
    pub(super) fn address(&self) -> SocketAddr {
        self.to
    }

    /// Whether a connection is established.
    pub(super) fn is_connected(&self) -> bool {
        self.state.is_connected.get()
    }

    /// Queues a message; `false` if there is no connection, or the queue is full because the peer
    /// does not read or its link does not carry what is sent.
    pub(super) fn send(&self, Frame { kind, bytes }: Frame) -> bool {
        if !self.state.is_connected.get() {
            return false;
        }
        let (size, load) = (bytes.len(), &self.state.load);
        let is_queued = load.has_room(kind, size) && self.tx.try_send(bytes).is_ok();
        if is_queued {
            load.accepted(kind, size);
        } else {
            load.refused();
        }
        is_queued
    }

    /// Reports that the peer has just connected, and so can be reached. Reconnects at once in place
    /// of a pending connection attempt or a connection to an earlier process of the peer.
    pub(super) fn peer_connected(&self, incarnation: u64) {
        let before = self.state.incarnation.replace(Some(incarnation));
        let is_restarted = before.is_some_and(|b| b != incarnation);
        if is_restarted || !self.state.is_connected.get() {
            self.state.reconnect.notify_one();
        }
    }
}

/// Connects once, and sends the queued messages until the connection breaks.
async fn serve(
    own: EntryVm,
    (vm, to): (EntryVm, SocketAddr),
    hello: &Frame,
    rx: &Receiver<Bytes>,
    inputs: &InputTx,
    state: &LinkState,
) {
    let Ok(Ok(stream)) = timeout(CONNECT_TIMEOUT, connect(own, to)).await else {
        return;
    };
    state.is_connected.set(true);
    inputs.send(Input::LinkUp { to: vm }).await;
    if let Err(e) = send_all(stream, hello, rx, &state.load).await {
        info!(to:% = to, reason = e.to_string().as_str(); "link_out_down");
    }
}

/// Connects from the VM's own address, which the peer checks against the hello.
async fn connect(own: EntryVm, to: SocketAddr) -> io::Result<TcpStream> {
    let socket = TcpSocket::new_v4()?;
    socket.bind(SocketAddr::new(IpAddr::V4(own.0), 0))?;
    socket.connect(to).await
}

async fn send_all(
    mut stream: TcpStream,
    hello: &Frame,
    rx: &Receiver<Bytes>,
    load: &LinkLoad,
) -> io::Result<()> {
    stream.set_nodelay(true)?;
    SockRef::from(&stream).set_tcp_user_timeout(Some(USER_TIMEOUT))?;
    load.accepted(hello.kind, hello.bytes.len());
    let mut buf = SendBuf::new(load);
    buf.put(hello.bytes.clone());
    stream.write_all_buf(&mut buf).await?;
    while let Ok(message) = rx.recv_async().await {
        buf.put(message);
        while buf.len() < MAX_BATCH_BYTES
            && let Ok(message) = rx.try_recv()
        {
            buf.put(message);
        }
        if rx.is_empty() {
            load.drained();
        }
        stream.write_all_buf(&mut buf).await?;
    }
    Ok(())
}
