//! Settings of the hand-over during a graceful stop.

use std::time::Duration;

/// Limits and time-outs of a hand-over.
#[derive(Debug, Clone)]
pub struct HandOverConfig {
    /// Maximum number of claims in one message.
    pub max_claims: usize,
    /// Bytes of answers after which a message accepts no further claim.
    pub max_answer_bytes: usize,
    /// Maximum size of one answer in bytes; of a larger answer only the verdict is handed over.
    pub max_single_answer_bytes: usize,
    /// Maximum bytes of answers in all tables held for other incarnations; beyond it the oldest
    /// answers are evicted.
    pub max_held_answer_bytes: usize,
    /// Maximum number of requests deferred until the successor acknowledges.
    pub max_deferred_requests: usize,
    /// Maximum number of tables held for other incarnations.
    pub max_held: usize,
    /// Time after which an unacknowledged message is sent again.
    pub resend_after: Duration,
    /// Maximum time for which a request is deferred until the successor acknowledges.
    pub max_deferral: Duration,
    /// Time without any acknowledgement after which the stop no longer waits for the successor.
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
