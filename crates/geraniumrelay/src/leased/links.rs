//! Links between entry VMs: one connection for each direction.
//!
//! TCP in place of QUIC: when a process is killed its kernel resets the connection, so that the
//! scheduler's death is known within a round trip. A QUIC peer would only be silent.

use std::cell::Cell;
use std::io;
use std::net::{IpAddr, SocketAddr};
use std::rc::Rc;
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
use super::input::{Input, InputTx};
use super::server;

/// Messages that wait for one peer at most; more means that it does not read.
const RING: usize = 2_048;

/// Longest wait for a connection: some round trips.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);

/// Unacknowledged time after which a connection counts as broken; shorter than the silence after
/// which a peer is taken for gone.
const USER_TIMEOUT: Duration = Duration::from_millis(700);

/// Silence after which an incoming connection is closed; a peer beats several times a second.
const READ_TIMEOUT: Duration = Duration::from_millis(2_500);

/// Pause before a broken connection is made again.
const RECONNECT_PAUSE: Duration = Duration::from_millis(150);

/// Largest message, in bytes; a configuration is the largest.
const MAX_MESSAGE: usize = 8 << 20;

/// Binds the listener of links.
pub(super) fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    server::bind(address)
}

/// Accepts links of other entry VMs.
pub(super) async fn accept_all(listener: TcpListener, tx: InputTx) {
    while let Some(stream) = server::accept(&listener).await {
        spawn_local(receive(stream, tx.clone()));
    }
}

async fn receive(mut stream: TcpStream, tx: InputTx) {
    let mut buf = BytesMut::new();
    let Some(Body::Hello(hello)) = read_message(&mut stream, &mut buf).await else {
        return;
    };
    let from = vm_from_address(hello.address);
    let peer = stream.peer_addr().map(|a| a.ip());
    if peer.is_ok_and(|ip| ip != IpAddr::V4(from.0)) {
        warn!(vm:% = from; "link_refused");
        return;
    }
    info!(vm:% = from, incarnation = hello.incarnation; "link_in_up");
    let body = Body::Hello(hello);
    tx.send(Input::Peer { from, body }).await;
    while let Some(body) = read_message(&mut stream, &mut buf).await {
        tx.send(Input::Peer { from, body }).await;
    }
    info!(vm:% = from, incarnation = hello.incarnation; "link_in_down");
    tx.send(Input::LinkLost { from }).await;
}

/// The next message; `None` where the link has ended or is silent.
async fn read_message(stream: &mut TcpStream, buf: &mut BytesMut) -> Option<Body> {
    loop {
        if let Some(body) = take_message(buf)? {
            return Some(body);
        }
        match timeout(READ_TIMEOUT, stream.read_buf(buf)).await {
            Ok(Ok(read)) if read > 0 => {}
            _ => return None,
        }
    }
}

/// Takes a whole message off the buffer. The outer `None` is a link that can't be understood.
#[expect(clippy::option_option, reason = "no message yet, or never again")]
fn take_message(buf: &mut BytesMut) -> Option<Option<Body>> {
    loop {
        let Some(head) = buf.first_chunk::<4>() else {
            return Some(None);
        };
        let size = usize::try_from(u32::from_be_bytes(*head)).ok()?;
        if size > MAX_MESSAGE {
            return None;
        }
        if buf.len() < 4 + size {
            return Some(None);
        }
        buf.advance(4);
        let message = PeerMessage::decode(buf.split_to(size)).ok()?;
        // A message of a newer program says nothing here.
        if message.body.is_some() {
            return Some(message.body);
        }
    }
}

/// Encodes a message for a link.
pub(super) fn frame(body: Body) -> Bytes {
    let message = PeerMessage { body: Some(body) };
    let size = message.encoded_len();
    let mut buf = BytesMut::with_capacity(4 + size);
    buf.put_u32(u32::try_from(size).unwrap_or(u32::MAX));
    message.encode_raw(&mut buf);
    buf.freeze()
}

/// Link to one entry VM.
#[derive(Debug)]
pub(super) struct Link {
    tx: Sender<Bytes>,
    shared: Rc<Shared>,
}

/// What a link shares with the task that serves it.
#[derive(Debug, Default)]
struct Shared {
    /// Tells the task to connect anew.
    renew: Notify,
    is_connected: Cell<bool>,
    /// The peer's process, as it last named itself.
    incarnation: Cell<Option<u64>>,
}

impl Link {
    /// Connects, and connects again whenever the connection breaks.
    pub(super) fn start(
        own: EntryVm,
        incarnation: u64,
        (vm, to): (EntryVm, SocketAddr),
        inputs: InputTx,
    ) -> Self {
        let (tx, rx) = flume::bounded(RING);
        let hello = frame(Body::Hello(Hello {
            address: vm_to_address(own),
            incarnation,
        }));
        let shared = Rc::new(Shared::default());
        let link = Rc::clone(&shared);
        spawn_local(async move {
            while !rx.is_disconnected() {
                let is_renewed = select! {
                    () = serve(own, (vm, to), &hello, &rx, &inputs, &link) => false,
                    () = link.renew.notified() => true,
                };
                link.is_connected.set(false);
                if !is_renewed {
                    tokio::time::sleep(RECONNECT_PAUSE).await;
                }
            }
        });
        Self { tx, shared }
    }

    /// Sends a message; `false` where the peer does not read.
    pub(super) fn send(&self, message: Bytes) -> bool {
        self.tx.try_send(message).is_ok()
    }

    /// Takes note that the peer has just connected, so that it can be reached: an attempt that is
    /// under way, or a connection to an earlier process of its, is given up.
    pub(super) fn peer_connected(&self, incarnation: u64) {
        let before = self.shared.incarnation.replace(Some(incarnation));
        let is_other = before.is_some_and(|b| b != incarnation);
        if is_other || !self.shared.is_connected.get() {
            self.shared.renew.notify_one();
        }
    }
}

/// Makes one connection, and sends until it breaks.
async fn serve(
    own: EntryVm,
    (vm, to): (EntryVm, SocketAddr),
    hello: &Bytes,
    rx: &Receiver<Bytes>,
    inputs: &InputTx,
    link: &Shared,
) {
    let Ok(Ok(stream)) = timeout(CONNECT_TIMEOUT, connect(own, to)).await else {
        return;
    };
    link.is_connected.set(true);
    // What waited for the broken connection is out of date.
    rx.drain().for_each(drop);
    inputs.send(Input::LinkUp { to: vm }).await;
    if let Err(e) = send_all(stream, hello, rx).await {
        info!(to:% = to, reason = e.to_string().as_str(); "link_out_down");
    }
}

/// Connects from the VM's own address, by which its peer knows it.
async fn connect(own: EntryVm, to: SocketAddr) -> io::Result<TcpStream> {
    let socket = TcpSocket::new_v4()?;
    socket.bind(SocketAddr::new(IpAddr::V4(own.0), 0))?;
    socket.connect(to).await
}

async fn send_all(mut stream: TcpStream, hello: &Bytes, rx: &Receiver<Bytes>) -> io::Result<()> {
    stream.set_nodelay(true)?;
    SockRef::from(&stream).set_tcp_user_timeout(Some(USER_TIMEOUT))?;
    stream.write_all(hello).await?;
    let mut buf = BytesMut::new();
    while let Ok(message) = rx.recv_async().await {
        buf.put(message);
        for message in rx.drain() {
            buf.put(message);
        }
        stream.write_all_buf(&mut buf).await?;
    }
    Ok(())
}
