//! Accounts for the messages of an outgoing link until the kernel has taken them.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;

use bytes::{Buf, BufMut, Bytes, BytesMut};
use geraniumrelay_wire::leased::peer_message::Body;
use log::warn;

use super::metrics::LeasedMetrics;

/// Maximum number of bytes that one link holds. What a slow link holds beyond that is out of date
/// when it arrives.
pub(super) const MAX_LINK_BYTES: usize = 512 << 10;

/// Share of the limit of a link that is kept free of messages that the sender repeats, in percent.
/// Without it, they would displace heartbeats, answers and cancellations.
const RESERVED_PERCENT: usize = 25;

/// Maximum number of bytes that all links of the process hold, beyond which they accept no messages
/// that the sender repeats.
pub(super) const MAX_TOTAL_BYTES: usize = 16 << 20;

/// Bytes that all links of the process hold.
#[derive(Debug, Clone, Default)]
pub(super) struct TotalLoad(Rc<Cell<usize>>);

/// Name of the message's kind in metrics.
pub(super) fn kind(body: &Body) -> &'static str {
    match body {
        Body::Hello(_) => "hello",
        Body::Beat(_) => "beat",
        Body::Submit(_) => "submit",
        Body::Withdraw(_) => "withdraw",
        Body::Cancel(_) => "cancel",
        Body::CancelReply(_) => "cancel-reply",
        Body::Answer(_) => "answer",
        Body::Configuration(_) => "configuration",
        Body::FetchConfiguration(_) => "fetch-configuration",
        Body::ConfigurationPart(_) => "configuration-part",
        Body::Losses(_) => "losses",
        Body::Confirm(_) => "confirm",
    }
}

/// Whether the sender repeats a message of this kind that a full link has refused.
fn is_repeated(kind: &str) -> bool {
    matches!(kind, "submit" | "configuration-part")
}

/// Bytes that one link holds: queued messages and those in the buffer of its sending task.
#[derive(Debug)]
pub(super) struct LinkLoad {
    to: SocketAddr,
    queued_bytes: Cell<usize>,
    total: TotalLoad,
    is_full: Cell<bool>,
    metrics: Arc<LeasedMetrics>,
}

impl LinkLoad {
    pub(super) fn new(to: SocketAddr, total: TotalLoad, metrics: Arc<LeasedMetrics>) -> Self {
        Self {
            to,
            queued_bytes: Cell::new(0),
            total,
            is_full: Cell::new(false),
            metrics,
        }
    }

    /// Whether the link may hold so many bytes more of a kind of message. An empty link accepts a
    /// message that is larger than the share of its kind.
    pub(super) fn has_room(&self, kind: &str, bytes: usize) -> bool {
        let queued = self.queued_bytes.get() + bytes;
        if !is_repeated(kind) {
            return queued <= MAX_LINK_BYTES;
        }
        let share = MAX_LINK_BYTES * (100 - RESERVED_PERCENT) / 100;
        if bytes > share {
            return queued == bytes;
        }
        queued <= share && self.total.0.get() + bytes <= MAX_TOTAL_BYTES
    }

    /// Counts a message that the queue has accepted.
    pub(super) fn accepted(&self, kind: &str, bytes: usize) {
        self.metrics.count_link_bytes("out", kind, bytes);
        self.queued_bytes.set(self.queued_bytes.get() + bytes);
        self.total.0.set(self.total.0.get() + bytes);
        self.metrics.add_link_queued(bytes);
    }

    /// Counts a message that the full queue has refused; logged once until the queue is
    /// [drained](Self::drained).
    pub(super) fn refused(&self) {
        self.metrics.count_link_message_dropped();
        if !self.is_full.replace(true) {
            let (queued, total) = (self.queued_bytes.get(), self.total.0.get());
            warn!(to:% = self.to, queued, total; "link_queue_full");
        }
    }

    /// Reports that the sending task has emptied the queue.
    pub(super) fn drained(&self) {
        self.is_full.set(false);
    }

    /// Counts bytes that were sent or discarded.
    pub(super) fn released(&self, bytes: usize) {
        let bytes = bytes.min(self.queued_bytes.get());
        self.queued_bytes.set(self.queued_bytes.get() - bytes);
        self.total.0.set(self.total.0.get() - bytes);
        self.metrics.sub_link_queued(bytes);
    }
}

impl Drop for LinkLoad {
    fn drop(&mut self) {
        self.released(self.queued_bytes.get());
    }
}

/// Buffer of a sending task; bytes are released as they are written, or when the buffer is dropped.
#[derive(Debug)]
pub(super) struct SendBuf<'a> {
    buf: BytesMut,
    load: &'a LinkLoad,
}

impl<'a> SendBuf<'a> {
    pub(super) fn new(load: &'a LinkLoad) -> Self {
        let buf = BytesMut::new();
        Self { buf, load }
    }

    pub(super) fn len(&self) -> usize {
        self.buf.len()
    }

    /// Appends a message taken from the queue.
    pub(super) fn put(&mut self, message: Bytes) {
        self.buf.put(message);
    }
}

impl Buf for SendBuf<'_> {
    fn remaining(&self) -> usize {
        self.buf.remaining()
    }

    fn chunk(&self) -> &[u8] {
        self.buf.chunk()
    }

    fn advance(&mut self, count: usize) {
        self.buf.advance(count);
        self.load.released(count);
    }
}

impl Drop for SendBuf<'_> {
    fn drop(&mut self) {
        self.load.released(self.buf.len());
    }
}
