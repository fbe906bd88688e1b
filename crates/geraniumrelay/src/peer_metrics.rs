//! Metrics of the traffic between entry processes and of hand-overs.

use geraniumrelay_core::effect::HandOverStage;
use prometheus::{IntCounter, IntCounterVec};

use crate::registrar::Registrar;

/// Counters of the peer transport.
#[derive(Debug)]
pub struct PeerMetrics {
    sent: [IntCounter; 2],
    received: [IntCounter; 2],
    hand_overs: IntCounterVec,
}

impl PeerMetrics {
    /// Registers the counters.
    ///
    /// # Errors
    /// A name that is registered twice.
    pub fn new(make: Registrar<'_>) -> Result<Self, prometheus::Error> {
        let messages = make.counters(
            "geraniumrelay_peer_messages_total",
            "Messages between entry VMs",
            "direction",
        )?;
        let bytes = make.counters(
            "geraniumrelay_peer_bytes_total",
            "Bytes of messages between entry VMs, without the transport's own",
            "direction",
        )?;
        let hand_overs = make.counters(
            "geraniumrelay_hand_overs_total",
            "Hand-overs by the stage that they came to",
            "stage",
        )?;
        let pair =
            |direction| [&messages, &bytes].map(|counter| counter.with_label_values(&[direction]));
        let (sent, received) = (pair("sent"), pair("received"));
        Ok(Self {
            sent,
            received,
            hand_overs,
        })
    }

    /// Counts a message sent to a peer.
    pub fn count_sent(&self, bytes: usize) {
        count(&self.sent, bytes);
    }

    /// Counts a message received from a peer.
    pub fn count_received(&self, bytes: usize) {
        count(&self.received, bytes);
    }

    /// Counts a stage of a hand-over.
    pub fn count_hand_over(&self, stage: HandOverStage) {
        let stage = stage.to_string();
        self.hand_overs.with_label_values(&[stage.as_str()]).inc();
    }
}

fn count([messages, total]: &[IntCounter; 2], bytes: usize) {
    messages.inc();
    total.inc_by(u64::try_from(bytes).unwrap_or(u64::MAX));
}
