//! Server side of the peer transport: answers requests of other entry processes.

use std::sync::Arc;
use std::time::Duration;

use flume::Receiver;
use geraniumrelay_core::modules::loans::LoanId;
use geraniumrelay_core::{Command, Origin, Query, Reply, Ticket};
use geraniumrelay_wire::{
    BorrowSlots, ForwardQuery, ForwardSubmit, HandOver, Heartbeat, PeerReply, PeerRequest, VmList,
    peer_reply, peer_request,
};
use log::warn;
use prost::Message;
use quinn::{Endpoint, Incoming, RecvStream, SendStream};
use tokio::task::spawn_local;
use tokio::time::timeout;

use crate::convert;
use crate::convert_loans;
use crate::handover_wire;
use crate::peer_metrics::PeerMetrics;
use crate::peers::{MAX_MESSAGE_BYTES, owner_unreachable, record_heartbeat};
use crate::requests::{Call, DecisionTx, OwnStatus, Requester};
use crate::sheet_cache::SheetCache;
use crate::vm_rows::target_row;

/// Maximum wait of a query from another entry VM; longer waits are cut to this value.
const MAX_QUERY_WAIT: Duration = Duration::from_secs(30);

/// Wait after the time-out of a query, for a reply that arrives through a third process.
const QUERY_MARGIN: Duration = Duration::from_millis(500);

/// Serves the requests of other entry processes.
#[derive(Debug, Clone)]
pub struct PeerServer {
    /// Channel to the decision thread.
    pub decision: DecisionTx,
    /// Source of sheet updates for peers with an older revision.
    pub sheets: Arc<SheetCache>,
    /// Counters of messages and bytes.
    pub metrics: Arc<PeerMetrics>,
}

impl PeerServer {
    /// Creates a server, which is cloned for each connection and stream.
    pub fn new(decision: DecisionTx, sheets: Arc<SheetCache>, metrics: Arc<PeerMetrics>) -> Self {
        Self {
            decision,
            sheets,
            metrics,
        }
    }

    /// Accepts connections until the endpoint is closed.
    pub async fn accept(self, endpoint: Endpoint) {
        while let Some(incoming) = endpoint.accept().await {
            spawn_local(self.clone().serve_connection(incoming));
        }
    }

    async fn serve_connection(self, incoming: Incoming) {
        let Ok(connection) = incoming.await else {
            return;
        };
        while let Ok((tx, rx)) = connection.accept_bi().await {
            spawn_local(self.clone().serve_stream(tx, rx));
        }
    }

    async fn serve_stream(self, mut tx: SendStream, mut rx: RecvStream) {
        let Ok(buf) = rx.read_to_end(MAX_MESSAGE_BYTES).await else {
            return;
        };
        self.metrics.count_received(buf.len());
        let Ok(req) = PeerRequest::decode(buf.as_slice()) else {
            warn!("peer_message_unreadable");
            return;
        };
        let Some(reply) = self.answer(req).await else {
            return;
        };
        let buf = reply.encode_to_vec();
        self.metrics.count_sent(buf.len());
        if tx.write_all(&buf).await.is_ok() {
            // The peer may have closed the stream.
            let _ = tx.finish();
        }
    }

    async fn answer(&self, req: PeerRequest) -> Option<PeerReply> {
        let call = match req.body? {
            peer_request::Body::Heartbeat(heartbeat) => {
                record_heartbeat(&self.decision, &heartbeat).await;
                return self.heartbeat_reply(&heartbeat).await;
            }
            peer_request::Body::FetchTargets(_) => return self.targets().await,
            peer_request::Body::FetchSheet(fetch) => {
                let update = self.sheets.update_since(fetch.have).unwrap_or_default();
                let body = Some(peer_reply::Body::Sheet(update));
                return Some(PeerReply { body });
            }
            peer_request::Body::Query(query) => return self.watch(&query).await,
            peer_request::Body::Submit(submit) => submit_call(submit)?,
            peer_request::Body::Cancel(cancel) => Call::Cancel {
                ticket: cancel.ticket.parse().ok()?,
                origin: Origin::Peer,
            },
            peer_request::Body::Borrow(req) => return self.lend(&req).await,
            peer_request::Body::ReturnSlots(slot_return) => {
                let cmd = Command::AcceptReturn {
                    loan: LoanId(slot_return.loan),
                    slots: convert_loans::target_slots(&slot_return.slots),
                };
                self.decision.send_async(cmd).await;
                return Some(PeerReply::default());
            }
            peer_request::Body::HandOver(message) => return self.receive_hand_over(message).await,
        };
        let reply = match self.decision.call(call) {
            Ok(rx) => rx.recv_async().await.ok()?,
            Err(_) => owner_unreachable(),
        };
        Some(convert::peer_reply(reply))
    }

    /// Waits for an answer for the time given in the query, up to [`MAX_QUERY_WAIT`]; after that,
    /// returns the progress of the job.
    async fn watch(&self, query: &ForwardQuery) -> Option<PeerReply> {
        let ticket: Ticket = query.ticket.parse().ok()?;
        let wait = Duration::from_millis(query.wait_ms).min(MAX_QUERY_WAIT);
        let call = Call::Watch {
            ticket,
            wait,
            origin: Origin::Peer,
        };
        let reply = match self.decision.call(call) {
            Ok(rx) => match timeout(wait, rx.recv_async()).await {
                Ok(reply) => reply.ok()?,
                Err(_) => self.progress(ticket, &rx).await,
            },
            Err(_) => owner_unreachable(),
        };
        Some(convert::peer_reply(reply))
    }

    /// Progress of a job in flight on this VM; otherwise the reply to the query, if it arrives within
    /// [`QUERY_MARGIN`].
    async fn progress(&self, ticket: Ticket, rx: &Receiver<Reply>) -> Reply {
        let progress = match self.decision.query(Query::Job(ticket)) {
            Ok(rx) => rx.recv_async().await.ok().flatten(),
            Err(_) => None,
        };
        if let Some(progress) = progress {
            return progress;
        }
        let late = timeout(QUERY_MARGIN, rx.recv_async()).await;
        late.ok()
            .and_then(Result::ok)
            .unwrap_or_else(owner_unreachable)
    }

    /// Passes a borrow request on; on `None` the borrower gets no grant and drops the request.
    async fn lend(&self, req: &BorrowSlots) -> Option<PeerReply> {
        let rx = self
            .decision
            .lend(convert_loans::borrow_request(req)?)
            .ok()?;
        Some(convert::peer_reply(rx.recv_async().await.ok()?))
    }

    async fn targets(&self) -> Option<PeerReply> {
        let rx = self.decision.query_targets().ok()?;
        let vms = rx.recv_async().await.ok()?.iter().map(target_row).collect();
        let body = Some(peer_reply::Body::Targets(VmList { vms }));
        Some(PeerReply { body })
    }

    /// Passes a hand-over message on; on `None` the sender sends the message again.
    async fn receive_hand_over(&self, message: HandOver) -> Option<PeerReply> {
        let message = handover_wire::read_hand_over(message)?;
        let rx = self.decision.hand_over(message).ok()?;
        Some(convert::peer_reply(rx.recv_async().await.ok()?))
    }

    async fn heartbeat_reply(&self, heartbeat: &Heartbeat) -> Option<PeerReply> {
        let requester = Requester {
            data_centre: heartbeat.data_centre.parse().ok()?,
            known_digest: heartbeat.known_digest,
        };
        let rx = self.decision.query_status(requester).ok()?;
        let OwnStatus { status, digest } = rx.recv_async().await.ok()?;
        let reply = convert::heartbeat_reply(&status, digest.as_ref());
        let body = peer_reply::Body::Heartbeat(reply);
        Some(PeerReply { body: Some(body) })
    }
}

fn submit_call(submit: ForwardSubmit) -> Option<Call> {
    let job = submit.job?;
    Some(Call::Submit {
        ticket: submit.ticket.parse().ok()?,
        digest: convert::body_digest(&job),
        job: convert::job_spec(job)?,
        origin: Origin::Peer,
    })
}
