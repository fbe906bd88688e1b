//! Claim table settings.

use std::time::Duration;

/// Retention limits of claims and answers.
#[derive(Debug, Clone)]
pub struct ClaimTableConfig {
    /// Time after minting within which the first submission of a ticket is accepted.
    pub ticket_ttl: Duration,
    /// Time beyond `ticket_ttl` after which the low watermark passes a ticket.
    pub low_watermark_margin: Duration,
    /// Maximum number of claims; beyond it the low watermark passes the oldest quarter early.
    pub max_claims: usize,
    /// Maximum bytes of retained outputs; beyond it the oldest answers are evicted.
    pub max_answer_bytes: usize,
}

impl Default for ClaimTableConfig {
    fn default() -> Self {
        Self {
            ticket_ttl: Duration::from_mins(10),
            low_watermark_margin: Duration::from_mins(2),
            max_claims: 1_500_000,
            max_answer_bytes: 16 << 20,
        }
    }
}
