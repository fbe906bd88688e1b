//! Metrics of peer traffic and hand-overs.

use geraniumrelay_core::effect::HandOverStage;
use prometheus::{IntCounter, IntCounterVec};

use crate::registrar::Registrar;

/// Counters of the peer transport and of hand-over stages.
#[derive(Debug)]
pub struct PeerMetrics {
    sent: [IntCounter; 2],
    received: [IntCounter; 2],
    hand_overs: IntCounterVec,
}

impl PeerMetrics {
    /// Creates the counters and registers them.
    ///
    /// # Errors
    /// A metric name that is already registered.
    pub fn new(registrar: Registrar<'_>) -> Result<Self, prometheus::Error> {
        let messages = registrar.counters(
            "geraniumrelay_peer_messages_total",
            "Messages between entry VMs",
            "direction",
        )?;
        let bytes = registrar.counters(
            "geraniumrelay_peer_bytes_total",
            "Bytes of messages between entry VMs, without the transport's own",
            "direction",
        )?;
        let hand_overs = registrar.counters(
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

    /// Counts a message sent to a peer, with its encoded size.
    pub fn count_sent(&self, bytes: usize) {
        count(&self.sent, bytes);
    }

    /// Counts a message received from a peer, with its encoded size.
    pub fn count_received(&self, bytes: usize) {
        count(&self.received, bytes);
    }

    /// Counts a hand-over that has reached `stage`.
    pub fn count_hand_over(&self, stage: HandOverStage) {
        let stage = stage.to_string();
        self.hand_overs.with_label_values(&[stage.as_str()]).inc();
    }
}

fn count([messages, total_bytes]: &[IntCounter; 2], bytes: usize) {
    messages.inc();
    total_bytes.inc_by(u64::try_from(bytes).unwrap_or(u64::MAX));
}
