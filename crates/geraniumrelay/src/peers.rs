//! Peer transport: QUIC between entry processes, on one current-thread runtime.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use anyhow::Context as _;
use flume::{Receiver, Sender};
use geraniumrelay_core::collections::Map;
use geraniumrelay_core::modules::loans::{BorrowRequest, LoanId, SlotReturn};
use geraniumrelay_core::modules::membership::PeerNews;
use geraniumrelay_core::{Command, Origin, PeerCall, Reason, Rejection, Reply};
use geraniumrelay_wire::{
    FetchSheet, Heartbeat, PeerReply, PeerRequest, SheetUpdate, peer_reply, peer_request,
};
use log::{debug, warn};
use prost::Message;
use quinn::{Connection, Endpoint, Incoming, RecvStream, SendStream};
use tokio::task::{LocalSet, spawn_local};

use crate::peer_tls::{PEER_NAME, PeerTls};
use crate::requests::{Call, DecisionTx};
use crate::sheet_cache::SheetCache;
use crate::{convert, convert_loans};

/// Jobs for the transport that may wait.
const RING_ENTRIES: usize = 8_192;

/// Largest message between entry processes, in bytes.
const MAX_MESSAGE: usize = 8 << 20;

/// Longest wait for a connection to a peer.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Longest wait for the reply to a heartbeat or a sheet.
const CONTROL_TIMEOUT: Duration = Duration::from_secs(1);

/// Wait before asking again for a ticket whose owner did not reply.
const RETRY_AFTER: Duration = Duration::from_secs(2);

/// One thing for the peer transport to do.
#[derive(Debug)]
pub enum PeerJob {
    /// Pass a request on; the reply goes to `tx`.
    Forward {
        /// Peer address of the owner.
        address: SocketAddr,
        /// The request.
        call: PeerCall,
        /// Where the reply goes.
        tx: Sender<Reply>,
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
    Beat {
        /// Peer address.
        address: SocketAddr,
        /// State of this VM.
        news: PeerNews,
    },
    /// Ask for a newer sheet.
    FetchSheet {
        /// Peer address.
        address: SocketAddr,
    },
}

/// Ring to the peer transport.
#[derive(Debug, Clone)]
pub struct PeerTx(Sender<PeerJob>);

impl PeerTx {
    /// Makes the ring.
    pub fn ring() -> (Self, Receiver<PeerJob>) {
        let (tx, rx) = flume::bounded(RING_ENTRIES);
        (Self(tx), rx)
    }

    /// Hands a job over. Where there is no room, a forward is answered as unreachable and control
    /// messages are dropped, as the next heartbeat makes up for them.
    pub fn send(&self, job: PeerJob) {
        let Err(e) = self.0.try_send(job) else {
            return;
        };
        if let PeerJob::Forward { tx, .. } = e.into_inner() {
            // The caller may have gone.
            let _ = tx.try_send(unreachable());
        }
    }
}

fn unreachable() -> Reply {
    let rejection = Rejection::may_have_run(Reason::OwnerUnreachable);
    Reply::Rejected(rejection.with_retry_after(RETRY_AFTER))
}

/// Runs the transport until the process ends.
///
/// # Errors
/// An address that can't be listened on.
pub fn run(
    listen: SocketAddr,
    tls: PeerTls,
    rx: &Receiver<PeerJob>,
    decision: &DecisionTx,
    sheets: &Arc<SheetCache>,
) -> anyhow::Result<()> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    LocalSet::new().block_on(&runtime, async {
        let mut endpoint = Endpoint::server(tls.server, listen)
            .with_context(|| format!("listening for peers on {listen}"))?;
        endpoint.set_default_client_config(tls.client);
        spawn_local(accept(
            endpoint.clone(),
            decision.clone(),
            Arc::clone(sheets),
        ));
        let transport = Transport::new(endpoint, decision.clone(), Arc::clone(sheets));
        let transport = Rc::new(transport);
        while let Ok(job) = rx.recv_async().await {
            spawn_local(carry_out(Rc::clone(&transport), job));
        }
        Ok(())
    })
}

/// Connections to peers, made on first use and kept.
#[derive(Debug)]
struct Transport {
    endpoint: Endpoint,
    decision: DecisionTx,
    sheets: Arc<SheetCache>,
    connections: RefCell<Map<SocketAddr, Connection>>,
}

impl Transport {
    fn new(endpoint: Endpoint, decision: DecisionTx, sheets: Arc<SheetCache>) -> Self {
        Self {
            endpoint,
            decision,
            sheets,
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

    async fn exchange(&self, address: SocketAddr, req: &PeerRequest) -> anyhow::Result<PeerReply> {
        let connection = self.connection(address).await?;
        let (mut tx, mut rx) = connection.open_bi().await?;
        tx.write_all(&req.encode_to_vec()).await?;
        tx.finish()?;
        let buf = rx.read_to_end(MAX_MESSAGE).await?;
        Ok(PeerReply::decode(buf.as_slice())?)
    }
}

async fn carry_out(transport: Rc<Transport>, job: PeerJob) {
    match job {
        PeerJob::Forward { address, call, tx } => {
            let reply = forward(&transport, address, &call).await;
            // The caller may have gone.
            let _ = tx.try_send(reply);
        }
        PeerJob::Borrow { address, req } => borrow(&transport, address, req).await,
        PeerJob::Return(back) => {
            let body = peer_request::Body::ReturnSlots(convert_loans::return_slots(&back));
            tell(&transport, back.lender, body).await;
        }
        PeerJob::Beat { address, news } => {
            let body = peer_request::Body::Heartbeat(convert::heartbeat(&news));
            tell(&transport, address, body).await;
        }
        PeerJob::FetchSheet { address } => fetch_sheet(&transport, address).await,
    }
}

async fn forward(transport: &Transport, address: SocketAddr, call: &PeerCall) -> Reply {
    match transport
        .exchange(address, &convert::peer_request(call))
        .await
    {
        Ok(reply) => convert::reply_of_peer(reply).unwrap_or_else(unreachable),
        Err(e) => {
            let error = e.to_string();
            warn!(peer:% = address, ticket:% = call.ticket(), error = error.as_str(); "forward_failed");
            unreachable()
        }
    }
}

/// Sends a control message; every reply to one is the peer's own heartbeat.
async fn tell(transport: &Transport, address: SocketAddr, body: peer_request::Body) {
    let req = PeerRequest { body: Some(body) };
    let exchange = tokio::time::timeout(CONTROL_TIMEOUT, transport.exchange(address, &req));
    let Ok(Ok(reply)) = exchange.await else {
        debug!(peer:% = address; "peer_silent");
        return;
    };
    if let Some(peer_reply::Body::Heartbeat(beat)) = reply.body {
        hear(&transport.decision, &beat).await;
    }
}

/// Asks for slots and hands the reply over; also that there was none.
async fn borrow(transport: &Transport, address: SocketAddr, req: BorrowRequest) {
    let body = peer_request::Body::Borrow(convert_loans::borrow_slots(req));
    let msg = PeerRequest { body: Some(body) };
    let exchange = tokio::time::timeout(CONTROL_TIMEOUT, transport.exchange(address, &msg));
    let grant = match exchange.await {
        Ok(Ok(PeerReply {
            body: Some(peer_reply::Body::Grant(grant)),
        })) => Some(convert_loans::grant(&grant)),
        _ => None,
    };
    let cmd = Command::TakeLoan {
        service: req.service,
        lender: address,
        grant,
    };
    transport.decision.tell_async(cmd).await;
}

async fn hear(decision: &DecisionTx, beat: &Heartbeat) {
    if let Some(news) = convert::peer_news(beat) {
        decision.tell_async(Command::HearPeer(news)).await;
    }
}

async fn accept(endpoint: Endpoint, decision: DecisionTx, sheets: Arc<SheetCache>) {
    while let Some(incoming) = endpoint.accept().await {
        let sheets = Arc::clone(&sheets);
        spawn_local(serve_connection(incoming, decision.clone(), sheets));
    }
}

async fn serve_connection(incoming: Incoming, decision: DecisionTx, sheets: Arc<SheetCache>) {
    let Ok(connection) = incoming.await else {
        return;
    };
    while let Ok((tx, rx)) = connection.accept_bi().await {
        let sheets = Arc::clone(&sheets);
        spawn_local(serve_stream(tx, rx, decision.clone(), sheets));
    }
}

async fn serve_stream(
    mut tx: SendStream,
    mut rx: RecvStream,
    decision: DecisionTx,
    sheets: Arc<SheetCache>,
) {
    let Ok(buf) = rx.read_to_end(MAX_MESSAGE).await else {
        return;
    };
    let Ok(req) = PeerRequest::decode(buf.as_slice()) else {
        warn!("peer_message_unreadable");
        return;
    };
    let Some(reply) = answer(req, &decision, &sheets).await else {
        return;
    };
    if tx.write_all(&reply.encode_to_vec()).await.is_ok() {
        // The peer may have gone.
        let _ = tx.finish();
    }
}

async fn answer(req: PeerRequest, decision: &DecisionTx, sheets: &SheetCache) -> Option<PeerReply> {
    let call = match req.body? {
        peer_request::Body::Heartbeat(beat) => {
            hear(decision, &beat).await;
            return own_heartbeat(decision).await;
        }
        peer_request::Body::ReturnSlots(back) => {
            let cmd = Command::TakeBack {
                loan: LoanId(back.loan),
                slots: convert_loans::target_slots(&back.slots),
            };
            decision.tell_async(cmd).await;
            return own_heartbeat(decision).await;
        }
        peer_request::Body::Borrow(req) => {
            let rx = decision.lend(convert_loans::borrow_request(&req)?).ok()?;
            return Some(convert::peer_reply(rx.recv_async().await.ok()?));
        }
        peer_request::Body::FetchSheet(fetch) => {
            let update = sheets.update_since(fetch.have).unwrap_or_default();
            let body = Some(peer_reply::Body::Sheet(update));
            return Some(PeerReply { body });
        }
        peer_request::Body::Submit(submit) => {
            let job = submit.job?;
            let (ticket, digest) = (submit.ticket.parse().ok()?, convert::digest_of(&job));
            let job = convert::job_spec(job)?;
            Call::Submit {
                ticket,
                digest,
                job,
                origin: Origin::Peer,
            }
        }
        peer_request::Body::Query(query) => {
            let wait = Duration::from_millis(query.wait_ms);
            Call::Watch {
                ticket: query.ticket.parse().ok()?,
                wait,
                origin: Origin::Peer,
            }
        }
        peer_request::Body::Cancel(cancel) => Call::Cancel {
            ticket: cancel.ticket.parse().ok()?,
            origin: Origin::Peer,
        },
    };
    let reply = match decision.call(call) {
        Ok(rx) => rx.recv_async().await.ok()?,
        Err(_) => unreachable(),
    };
    Some(convert::peer_reply(reply))
}

/// Brings the sheet here to the peer's; the whole one where the differences don't fit.
async fn fetch_sheet(transport: &Transport, address: SocketAddr) {
    for have in [transport.sheets.revision(), 0] {
        let Some(update) = ask_for_sheet(transport, address, have).await else {
            return;
        };
        match transport.sheets.take(update) {
            Ok(None) => return,
            Ok(Some(sheet)) => {
                let cmd = Command::PutPeerSheet {
                    sheet,
                    from: address,
                };
                transport.decision.tell_async(cmd).await;
                return;
            }
            Err(e) => {
                let error = e.to_string();
                debug!(peer:% = address, have, error = error.as_str(); "sheet_update_unusable");
            }
        }
    }
}

async fn ask_for_sheet(
    transport: &Transport,
    address: SocketAddr,
    have: u64,
) -> Option<SheetUpdate> {
    let body = Some(peer_request::Body::FetchSheet(FetchSheet { have }));
    let req = PeerRequest { body };
    let exchange = tokio::time::timeout(CONTROL_TIMEOUT, transport.exchange(address, &req));
    match exchange.await.ok()?.ok()?.body? {
        peer_reply::Body::Sheet(update) => Some(update),
        _ => None,
    }
}

async fn own_heartbeat(decision: &DecisionTx) -> Option<PeerReply> {
    let rx = decision.ask_news().ok()?;
    let news = rx.recv_async().await.ok()?;
    let body = peer_reply::Body::Heartbeat(convert::heartbeat(&news));
    Some(PeerReply { body: Some(body) })
}
