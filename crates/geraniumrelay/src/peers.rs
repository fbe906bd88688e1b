//! Peer transport: QUIC between entry processes, on one current-thread runtime.
//!
//! Every exchange has a time-out, and a connection that has not replied in time is not used again,
//! so that a peer that has restarted at the same address is reached at once.

use std::cell::RefCell;
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

/// Jobs for the transport that may wait.
const CHANNEL_CAPACITY: usize = 8_192;

/// Largest message between entry processes, in bytes.
pub(crate) const MAX_MESSAGE_BYTES: usize = 8 << 20;

/// Longest wait for a connection to a peer.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Longest wait for the reply to a heartbeat or a sheet.
const CONTROL_TIMEOUT: Duration = Duration::from_secs(1);

/// Wait before asking again for a ticket whose owner did not reply.
const RETRY_AFTER: Duration = Duration::from_secs(2);

/// One thing for the peer transport to do.
#[derive(Debug)]
pub enum PeerCommand {
    /// Pass a request on; the reply goes to `tx`.
    Forward {
        /// Peer address of the owner.
        address: SocketAddr,
        /// The request.
        call: PeerCall,
        /// Longest wait for the reply.
        timeout: Duration,
        /// Where the reply goes.
        tx: Sender<Reply>,
    },
    /// Send a message of a hand-over; the heir's reply goes to the decision thread.
    HandOver {
        /// Peer address of the heir.
        address: SocketAddr,
        /// The message.
        message: Arc<HandOverMessage>,
    },
    /// Tell all peers that this process ends.
    Close {
        /// Told once they have been told.
        tx: Sender<()>,
    },
    /// Ask for slots; the reply goes to the decision thread.
    Borrow {
        /// Peer address.
        address: SocketAddr,
        /// The wish.
        req: BorrowRequest,
    },
    /// Return slots to their lender.
    Return(SlotReturn),
    /// Send a heartbeat and take the peer's in return.
    Heartbeat {
        /// Peer address.
        address: SocketAddr,
        /// State of this VM.
        status: PeerStatus,
        /// Hash of the digest that is known of the peer's data centre; 0 for none.
        known_digest: u64,
    },
    /// Ask for the list of targets.
    FetchTargets {
        /// Peer address.
        address: SocketAddr,
    },
    /// Ask for a newer sheet.
    FetchSheet {
        /// Peer address.
        address: SocketAddr,
    },
}

/// Ring to the peer transport.
#[derive(Debug, Clone)]
pub struct PeerTx(Sender<PeerCommand>);

impl PeerTx {
    /// Makes the ring.
    pub fn channel() -> (Self, Receiver<PeerCommand>) {
        let (tx, rx) = flume::bounded(CHANNEL_CAPACITY);
        (Self(tx), rx)
    }

    /// Hands a job over. Where there is no room, a forward is answered as unreachable and control
    /// messages are dropped, as the next heartbeat makes up for them.
    pub fn send(&self, job: PeerCommand) {
        let Err(e) = self.0.try_send(job) else {
            return;
        };
        if let PeerCommand::Forward { tx, .. } = e.into_inner() {
            // The caller may have gone.
            let _ = tx.try_send(owner_unreachable());
        }
    }
}

/// The owner of a ticket could not be asked.
pub(crate) fn owner_unreachable() -> Reply {
    let rejection = Rejection::may_have_run(Reason::OwnerUnreachable);
    Reply::Rejected(rejection.with_retry_after(RETRY_AFTER))
}

/// Starts the transport on a thread of its own.
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
    while let Ok(job) = rx.recv_async().await {
        spawn_local(execute(Rc::clone(&transport), job));
    }
}

/// Connections to peers, made on first use and kept.
#[derive(Debug)]
struct Transport {
    endpoint: Endpoint,
    decision: DecisionTx,
    metrics: Arc<PeerMetrics>,
    sheets: Arc<SheetCache>,
    connections: RefCell<Map<SocketAddr, Connection>>,
}

impl Transport {
    fn new(endpoint: Endpoint, server: PeerServer) -> Self {
        Self {
            endpoint,
            decision: server.decision,
            metrics: server.metrics,
            sheets: server.sheets,
            connections: RefCell::new(Map::default()),
        }
    }

    async fn connection(&self, address: SocketAddr) -> anyhow::Result<Connection> {
        let kept = self.connections.borrow().get(&address).cloned();
        if let Some(connection) = kept.filter(|connection| connection.close_reason().is_none()) {
            return Ok(connection);
        }
        let connecting = self.endpoint.connect(address, PEER_NAME)?;
        let connection = tokio::time::timeout(CONNECT_TIMEOUT, connecting).await??;
        self.connections
            .borrow_mut()
            .insert(address, connection.clone());
        Ok(connection)
    }

    /// Sends a request and waits for the reply, at most for `timeout`.
    async fn exchange(
        &self,
        address: SocketAddr,
        req: &PeerRequest,
        timeout: Duration,
    ) -> anyhow::Result<PeerReply> {
        let connection = self.connection(address).await?;
        let buf = req.encode_to_vec();
        self.metrics.count_sent(buf.len());
        let reply = tokio::time::timeout(timeout, call(&connection, &buf)).await;
        let Ok(reply) = reply else {
            self.drop_connection(address, &connection);
            bail!("no reply within {timeout:?}");
        };
        let reply = reply?;
        self.metrics.count_received(reply.len());
        Ok(PeerReply::decode(reply.as_slice())?)
    }

    /// Sends a control message and waits for what the peer replies, if it replies anything.
    async fn request(
        &self,
        address: SocketAddr,
        body: peer_request::Body,
    ) -> anyhow::Result<Option<peer_reply::Body>> {
        let req = PeerRequest { body: Some(body) };
        let reply = self.exchange(address, &req, CONTROL_TIMEOUT).await?;
        Ok(reply.body)
    }

    /// Uses a connection for nothing new; what is open on it may still be answered.
    fn drop_connection(&self, address: SocketAddr, timed_out: &Connection) {
        let mut connections = self.connections.borrow_mut();
        let kept = connections.get(&address);
        if kept.is_some_and(|kept| kept.stable_id() == timed_out.stable_id()) {
            connections.remove(&address);
        }
    }
}

async fn call(connection: &Connection, req: &[u8]) -> anyhow::Result<Vec<u8>> {
    let (mut tx, mut rx) = connection.open_bi().await?;
    tx.write_all(req).await?;
    tx.finish()?;
    Ok(rx.read_to_end(MAX_MESSAGE_BYTES).await?)
}

async fn execute(transport: Rc<Transport>, job: PeerCommand) {
    match job {
        PeerCommand::Forward {
            address,
            call,
            timeout,
            tx,
        } => {
            let reply = forward(&transport, address, &call, timeout).await;
            // The caller may have gone.
            let _ = tx.try_send(reply);
        }
        PeerCommand::Borrow { address, req } => borrow(&transport, address, req).await,
        PeerCommand::Return(back) => return_slots(&transport, &back).await,
        PeerCommand::Heartbeat {
            address,
            status,
            known_digest,
        } => {
            let beat = Heartbeat {
                known_digest,
                ..convert::heartbeat(&status)
            };
            send_heartbeat(&transport, address, beat).await;
        }
        PeerCommand::FetchTargets { address } => fetch_targets(&transport, address).await,
        PeerCommand::FetchSheet { address } => fetch_sheet(&transport, address).await,
        PeerCommand::HandOver { address, message } => {
            hand_over(&transport, address, &message).await
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
    match transport.exchange(address, &req, timeout).await {
        Ok(reply) => convert::read_peer_reply(reply).unwrap_or_else(owner_unreachable),
        Err(e) => {
            let error = e.to_string();
            warn!(peer:% = address, ticket:% = call.ticket(), error = error.as_str(); "forward_failed");
            owner_unreachable()
        }
    }
}

/// Sends one message of a hand-over; without a reply the dispatcher has it sent again.
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

/// Sends a heartbeat; the reply is the peer's own.
async fn send_heartbeat(transport: &Transport, address: SocketAddr, beat: Heartbeat) {
    let body = peer_request::Body::Heartbeat(beat);
    let reply = match transport.request(address, body).await {
        Ok(reply) => reply,
        Err(e) => {
            let error = e.to_string();
            debug!(peer:% = address, error = error.as_str(); "peer_unanswered");
            return;
        }
    };
    let Some(peer_reply::Body::Heartbeat(beat)) = reply else {
        return;
    };
    record_heartbeat(&transport.decision, &beat).await;
    let data_centre = beat.data_centre.parse().ok();
    if let Some((data_centre, digest)) = data_centre.zip(convert::read_digest(&beat)) {
        let cmd = Command::RecordPeerDigest {
            data_centre,
            digest,
        };
        transport.decision.send_async(cmd).await;
    }
}

/// Returns slots; where that is lost, the loan's end at the lender brings them back.
async fn return_slots(transport: &Transport, back: &SlotReturn) {
    let body = peer_request::Body::ReturnSlots(convert_loans::return_slots(back));
    if let Err(e) = transport.request(back.lender, body).await {
        let error = e.to_string();
        debug!(peer:% = back.lender, error = error.as_str(); "return_unanswered");
    }
}

/// Asks for slots and hands the reply over; also that there was none.
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

/// Passes a heartbeat on to the decision thread.
pub(crate) async fn record_heartbeat(decision: &DecisionTx, beat: &Heartbeat) {
    if let Some(status) = convert::peer_status(beat) {
        decision.send_async(Command::RecordHeartbeat(status)).await;
    }
}

/// Brings the sheet here to the peer's; the whole one where the differences don't fit.
async fn fetch_sheet(transport: &Transport, address: SocketAddr) {
    for have in [transport.sheets.revision(), 0] {
        let Some(update) = request_sheet(transport, address, have).await else {
            return;
        };
        match transport.sheets.take(update) {
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

/// Takes over a peer's list of targets.
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
