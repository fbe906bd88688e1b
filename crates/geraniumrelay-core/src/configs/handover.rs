//! Settings of the hand-over at a graceful stop.

use std::time::Duration;

/// Bounds and times of a hand-over.
#[derive(Debug, Clone)]
pub struct HandOverConfig {
    /// Most claims in one message.
    pub max_claims: usize,
    /// Bytes of answers after which a message is full.
    pub max_answer_bytes: usize,
    /// Largest answer in bytes; of a larger one only the verdict is handed over.
    pub max_single_answer_bytes: usize,
    /// Bytes of answers kept in all tables taken over; the oldest answers are dropped beyond it.
    pub max_held_answer_bytes: usize,
    /// Most requests that wait for the heir's acknowledgement.
    pub max_deferred_requests: usize,
    /// Most tables held for other incarnations.
    pub max_held: usize,
    /// Time after which a message without acknowledgement is sent again.
    pub resend_after: Duration,
    /// Longest time that a request waits for the heir's acknowledgement.
    pub max_deferral: Duration,
    /// Time without any acknowledgement after which the stop no longer waits for the heir.
    pub ack_timeout: Duration,
}

impl Default for HandOverConfig {
    fn default() -> Self {
        Self {
            max_claims: 4_096,
            max_answer_bytes: 256 << 10,
            max_single_answer_bytes: 4 << 20,
            max_held_answer_bytes: 4 << 20,
            max_deferred_requests: 4_096,
            max_held: 64,
            resend_after: Duration::from_millis(500),
            max_deferral: Duration::from_secs(2),
            ack_timeout: Duration::from_secs(10),
        }
    }
}
