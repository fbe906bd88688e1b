//! Peer transport: QUIC between entry processes, on one current-thread runtime.
//!
//! Every exchange has a time-out, and a connection on which an exchange timed out is not reused,
//! so that a peer that has restarted at the same address is reached at once.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use anyhow::{Context as _, bail};
use flume::{Receiver, Sender};
use geraniumrelay_core::collections::Map;
use geraniumrelay_core::modules::handover::HandOverMessage;
use geraniumrelay_core::modules::loans::{BorrowRequest, SlotReturn};
use geraniumrelay_core::modules::membership::PeerStatus;
use geraniumrelay_core::{Command, PeerCall, Reason, Rejection, Reply};
use geraniumrelay_wire::{
    FetchSheet, FetchTargets, Heartbeat, PeerReply, PeerRequest, SheetUpdate, peer_reply,
    peer_request,
};
use log::{debug, warn};
use prost::Message;
use quinn::{Connection, Endpoint, VarInt};
use tokio::task::{LocalSet, spawn_local};
use tokio::time::error::Elapsed;
use tokio::time::timeout;

use crate::convert;
use crate::convert_loans;
use crate::handover_wire;
use crate::peer_metrics::PeerMetrics;
use crate::peer_server::PeerServer;
use crate::peer_tls::{PEER_NAME, PeerTls};
use crate::process::spawn;
use crate::requests::DecisionTx;
use crate::sheet_cache::SheetCache;
use crate::vm_rows::target_info;

/// Maximum number of commands queued for the transport.
const CHANNEL_CAPACITY: usize = 8_192;

/// Largest message between entry processes, in bytes.
pub(crate) const MAX_MESSAGE_BYTES: usize = 8 << 20;

/// Maximum wait for a connection to a peer.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Maximum wait for the reply to a control message, such as a heartbeat or a sheet request, to begin,
/// and longest pause within the reply.
const CONTROL_TIMEOUT: Duration = Duration::from_secs(1);

/// Maximum wait for the whole reply to a control message, while parts of it arrive. A sheet takes
/// seconds on a slow link.
const CONTROL_TOTAL_TIMEOUT: Duration = Duration::from_secs(10);

/// Retry time given to callers when the owner of their ticket did not reply.
const RETRY_AFTER: Duration = Duration::from_secs(2);

/// Command to the peer transport.
#[derive(Debug)]
pub enum PeerCommand {
    /// Forward a request to the owner of its ticket.
    Forward {
        /// Peer address of the owner.
        address: SocketAddr,
        /// Request to forward.
        call: PeerCall,
        /// Maximum wait for the reply.
        timeout: Duration,
        /// Receiver of the reply; a failed exchange gives a rejection.
        tx: Sender<Reply>,
    },
    /// Send a hand-over message; the reply of the successor goes to the decision thread.
    HandOver {
        /// Peer address of the successor.
        address: SocketAddr,
        /// Message to send.
        message: Arc<HandOverMessage>,
    },
    /// Close all connections, as this process ends.
    Close {
        /// Receives one message when all connections are closed.
        tx: Sender<()>,
    },
    /// Request slots from a peer; the reply goes to the decision thread.
    Borrow {
        /// Peer address.
        address: SocketAddr,
        /// Service, number of slots and urgency.
        req: BorrowRequest,
    },
    /// Return borrowed slots to their lender.
    Return(SlotReturn),
    /// Send a heartbeat; the reply carries the status of the peer.
    Heartbeat {
        /// Peer address.
        address: SocketAddr,
        /// Status of this VM.
        status: PeerStatus,
        /// Hash of the last peer digest received from the data centre of the peer; 0 if none.
        known_digest: u64,
    },
    /// Request the list of targets.
    FetchTargets {
        /// Peer address.
        address: SocketAddr,
    },
    /// Request a newer sheet.
    FetchSheet {
        /// Peer address.
        address: SocketAddr,
    },
}

/// Sending end of the channel to the peer transport.
#[derive(Debug, Clone)]
pub struct PeerTx(Sender<PeerCommand>);

impl PeerTx {
    /// Creates the bounded channel.
    pub fn channel() -> (Self, Receiver<PeerCommand>) {
        let (tx, rx) = flume::bounded(CHANNEL_CAPACITY);
        (Self(tx), rx)
    }

    /// Sends a command without blocking. If the channel is full, a forwarded request is rejected
    /// with [`Reason::OwnerUnreachable`], and a control message is dropped, as the next heartbeat
    /// compensates for the loss.
    pub fn send(&self, cmd: PeerCommand) {
        let Err(e) = self.0.try_send(cmd) else {
            return;
        };
        if let PeerCommand::Forward { tx, .. } = e.into_inner() {
            // The waiter may have disconnected.
            let _ = tx.try_send(owner_unreachable());
        }
    }
}

/// Rejection for a request whose owner did not reply; the job may have run.
pub(crate) fn owner_unreachable() -> Reply {
    let rejection = Rejection::may_have_run(Reason::OwnerUnreachable);
    Reply::Rejected(rejection.with_retry_after(RETRY_AFTER))
}

/// Starts the transport on its own thread.
///
/// # Errors
/// An address that can't be listened on.
pub fn start(
    listen: SocketAddr,
    tls: PeerTls,
    rx: Receiver<PeerCommand>,
    server: PeerServer,
) -> anyhow::Result<()> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    let mut endpoint = {
        let _context = runtime.enter();
        Endpoint::server(tls.server, listen)
            .with_context(|| format!("listening for peers on {listen}"))?
    };
    endpoint.set_default_client_config(tls.client);
    spawn("peers", move || {
        LocalSet::new().block_on(&runtime, run(endpoint, &rx, server));
    })?;
    Ok(())
}

async fn run(endpoint: Endpoint, rx: &Receiver<PeerCommand>, server: PeerServer) {
    spawn_local(server.clone().accept(endpoint.clone()));
    let transport = Rc::new(Transport::new(endpoint, server));
    while let Ok(cmd) = rx.recv_async().await {
        spawn_local(execute(Rc::clone(&transport), cmd));
    }
}

/// Time limits of an exchange, once connected.
#[derive(Debug, Clone, Copy)]
struct Limits {
    /// Longest time until the reply begins.
    begin: Duration,
    /// Longest time in which no part of the reply arrives.
    pause: Duration,
    /// Longest time of the whole exchange.
    total: Duration,
}

impl Limits {
    const CONTROL: Self = Self {
        begin: CONTROL_TIMEOUT,
        pause: CONTROL_TIMEOUT,
        total: CONTROL_TOTAL_TIMEOUT,
    };

    /// One limit for the whole exchange.
    fn whole(limit: Duration) -> Self {
        Self {
            begin: limit,
            pause: limit,
            total: limit,
        }
    }
}

/// Client side of the transport; connections are opened on first use and reused.
#[derive(Debug)]
struct Transport {
    endpoint: Endpoint,
    decision: DecisionTx,
    metrics: Arc<PeerMetrics>,
    sheets: Arc<SheetCache>,
    connections: RefCell<Map<SocketAddr, Connection>>,
    /// Whether a sheet is being fetched; a second copy would only slow the first one down.
    is_fetching_sheet: Cell<bool>,
}

impl Transport {
    fn new(endpoint: Endpoint, server: PeerServer) -> Self {
        Self {
            endpoint,
            decision: server.decision,
            metrics: server.metrics,
            sheets: server.sheets,
            connections: RefCell::new(Map::default()),
            is_fetching_sheet: Cell::new(false),
        }
    }

    /// Returns the open connection to a peer, or opens one.
    async fn connection(&self, address: SocketAddr) -> anyhow::Result<Connection> {
        let open = self.connections.borrow().get(&address).cloned();
        if let Some(connection) = open.filter(|connection| connection.close_reason().is_none()) {
            return Ok(connection);
        }
        let connecting = self.endpoint.connect(address, PEER_NAME)?;
        let connection = timeout(CONNECT_TIMEOUT, connecting).await??;
        self.connections
            .borrow_mut()
            .insert(address, connection.clone());
        Ok(connection)
    }

    /// Sends a request and waits for the reply.
    async fn exchange(
        &self,
        address: SocketAddr,
        req: &PeerRequest,
        limits: Limits,
    ) -> anyhow::Result<PeerReply> {
        let connection = self.connection(address).await?;
        let buf = req.encode_to_vec();
        self.metrics.count_sent(buf.len());
        let reply = call(&connection, &buf, limits).await.inspect_err(|e| {
            if e.is::<Elapsed>() {
                self.drop_connection(address, &connection);
            }
        })?;
        self.metrics.count_received(reply.len());
        Ok(PeerReply::decode(reply.as_slice())?)
    }

    /// Sends a control message and returns the body of the reply; `None` for an empty reply.
    async fn request(
        &self,
        address: SocketAddr,
        body: peer_request::Body,
    ) -> anyhow::Result<Option<peer_reply::Body>> {
        let req = PeerRequest { body: Some(body) };
        let reply = self.exchange(address, &req, Limits::CONTROL).await?;
        Ok(reply.body)
    }

    /// Removes a connection that timed out, so that new requests open another one; open streams can
    /// still receive their replies.
    fn drop_connection(&self, address: SocketAddr, timed_out: &Connection) {
        let mut connections = self.connections.borrow_mut();
        let current = connections.get(&address);
        if current.is_some_and(|current| current.stable_id() == timed_out.stable_id()) {
            connections.remove(&address);
        }
    }
}

/// Sends one request on a stream of its own and reads the reply to its end; the error is [`Elapsed`]
/// if a time limit has passed.
async fn call(connection: &Connection, req: &[u8], limits: Limits) -> anyhow::Result<Vec<u8>> {
    let exchange = async {
        let begin = async {
            let (mut tx, mut rx) = connection.open_bi().await?;
            tx.write_all(req).await?;
            tx.finish()?;
            let first = rx.read_chunk(MAX_MESSAGE_BYTES, true).await?;
            anyhow::Ok((rx, first))
        };
        let (mut rx, mut next) = timeout(limits.begin, begin).await??;
        let mut reply = Vec::new();
        while let Some(chunk) = next {
            if reply.len() + chunk.bytes.len() > MAX_MESSAGE_BYTES {
                bail!("the reply is too long");
            }
            reply.extend_from_slice(&chunk.bytes);
            next = timeout(limits.pause, rx.read_chunk(MAX_MESSAGE_BYTES, true)).await??;
        }
        Ok(reply)
    };
    timeout(limits.total, exchange).await?
}

async fn execute(transport: Rc<Transport>, cmd: PeerCommand) {
    match cmd {
        PeerCommand::Forward {
            address,
            call,
            timeout,
            tx,
        } => {
            let reply = forward(&transport, address, &call, timeout).await;
            // The waiter may have disconnected.
            let _ = tx.try_send(reply);
        }
        PeerCommand::Borrow { address, req } => borrow(&transport, address, req).await,
        PeerCommand::Return(slot_return) => return_slots(&transport, &slot_return).await,
        PeerCommand::Heartbeat {
            address,
            status,
            known_digest,
        } => {
            let heartbeat = Heartbeat {
                known_digest,
                ..convert::heartbeat(&status)
            };
            send_heartbeat(&transport, address, heartbeat).await;
        }
        PeerCommand::FetchTargets { address } => fetch_targets(&transport, address).await,
        PeerCommand::FetchSheet { address } => {
            if !transport.is_fetching_sheet.replace(true) {
                fetch_sheet(&transport, address).await;
                transport.is_fetching_sheet.set(false);
            }
        }
        PeerCommand::HandOver { address, message } => {
            hand_over(&transport, address, &message).await;
        }
        PeerCommand::Close { tx } => {
            transport.endpoint.close(VarInt::from_u32(0), b"stopping");
            transport.endpoint.wait_idle().await;
            // The process may already be ending.
            let _ = tx.try_send(());
        }
    }
}

async fn forward(
    transport: &Transport,
    address: SocketAddr,
    call: &PeerCall,
    timeout: Duration,
) -> Reply {
    let req = convert::peer_request(call);
    match transport
        .exchange(address, &req, Limits::whole(timeout))
        .await
    {
        Ok(reply) => convert::read_peer_reply(reply).unwrap_or_else(owner_unreachable),
        Err(e) => {
            let error = e.to_string();
            warn!(peer:% = address, ticket:% = call.ticket(), error = error.as_str(); "forward_failed");
            owner_unreachable()
        }
    }
}

/// Sends one hand-over message; the dispatcher sends it again if no reply arrives.
async fn hand_over(transport: &Transport, address: SocketAddr, message: &HandOverMessage) {
    let body = peer_request::Body::HandOver(handover_wire::hand_over(message));
    let reply = match transport.request(address, body).await {
        Ok(reply) => reply,
        Err(e) => {
            let error = e.to_string();
            warn!(heir:% = message.successor, peer:% = address, error = error.as_str(); "hand_over_unanswered");
            return;
        }
    };
    let Some(peer_reply::Body::HandOver(reply)) = reply else {
        return;
    };
    let Some(reply) = handover_wire::read_hand_over_reply(&reply) else {
        return;
    };
    let cmd = Command::ReceiveHandOverReply {
        owner: message.owner,
        number: message.number,
        reply,
    };
    transport.decision.send_async(cmd).await;
}

/// Sends a heartbeat; the reply is the heartbeat of the peer, with a peer digest if the peer is in
/// another data centre.
async fn send_heartbeat(transport: &Transport, address: SocketAddr, heartbeat: Heartbeat) {
    let body = peer_request::Body::Heartbeat(heartbeat);
    let reply = match transport.request(address, body).await {
        Ok(reply) => reply,
        Err(e) => {
            let error = e.to_string();
            debug!(peer:% = address, error = error.as_str(); "peer_unanswered");
            return;
        }
    };
    let Some(peer_reply::Body::Heartbeat(reply)) = reply else {
        return;
    };
    record_heartbeat(&transport.decision, &reply).await;
    let data_centre = reply.data_centre.parse().ok();
    if let Some((data_centre, digest)) = data_centre.zip(convert::read_digest(&reply)) {
        let cmd = Command::RecordPeerDigest {
            data_centre,
            digest,
        };
        transport.decision.send_async(cmd).await;
    }
}

/// Returns slots; if the message is lost, the lender takes the slots back when the loan expires.
async fn return_slots(transport: &Transport, slot_return: &SlotReturn) {
    let body = peer_request::Body::ReturnSlots(convert_loans::return_slots(slot_return));
    if let Err(e) = transport.request(slot_return.lender, body).await {
        let error = e.to_string();
        debug!(peer:% = slot_return.lender, error = error.as_str(); "return_unanswered");
    }
}

/// Requests slots and passes the grant to the decision thread; `None` if there was no reply.
async fn borrow(transport: &Transport, address: SocketAddr, req: BorrowRequest) {
    let body = peer_request::Body::Borrow(convert_loans::borrow_slots(req));
    let grant = match transport.request(address, body).await {
        Ok(Some(peer_reply::Body::Grant(grant))) => Some(convert_loans::grant(&grant)),
        _ => None,
    };
    let cmd = Command::ReceiveGrant {
        service: req.service,
        lender: address,
        grant,
    };
    transport.decision.send_async(cmd).await;
}

/// Passes the status in a heartbeat to the decision thread; a malformed heartbeat is ignored.
pub(crate) async fn record_heartbeat(decision: &DecisionTx, heartbeat: &Heartbeat) {
    if let Some(status) = convert::peer_status(heartbeat) {
        decision.send_async(Command::RecordHeartbeat(status)).await;
    }
}

/// Updates the sheet to the revision of the peer; requests the full text (`have` = 0) if the deltas
/// don't apply to the current sheet.
async fn fetch_sheet(transport: &Transport, address: SocketAddr) {
    for have in [transport.sheets.revision(), 0] {
        let Some(update) = request_sheet(transport, address, have).await else {
            return;
        };
        match transport.sheets.apply(update) {
            Ok(None) => return,
            Ok(Some(sheet)) => {
                let cmd = Command::ApplyPeerSheet {
                    sheet,
                    from: address,
                };
                transport.decision.send_async(cmd).await;
                return;
            }
            Err(e) => {
                let error = e.to_string();
                debug!(peer:% = address, have, error = error.as_str(); "sheet_update_unusable");
            }
        }
    }
}

/// Requests the list of targets of a peer and passes it to the decision thread.
async fn fetch_targets(transport: &Transport, address: SocketAddr) {
    let body = peer_request::Body::FetchTargets(FetchTargets {});
    let Ok(Some(peer_reply::Body::Targets(list))) = transport.request(address, body).await else {
        return;
    };
    let infos = list.vms.iter().filter_map(target_info).collect();
    transport
        .decision
        .send_async(Command::UpdateTargetsFromPeer(infos))
        .await;
}

async fn request_sheet(
    transport: &Transport,
    address: SocketAddr,
    have: u64,
) -> Option<SheetUpdate> {
    let body = peer_request::Body::FetchSheet(FetchSheet { have });
    match transport.request(address, body).await.ok()?? {
        peer_reply::Body::Sheet(update) => Some(update),
        _ => None,
    }
}
