//! Settings of the claim table.

use std::time::Duration;

/// How long claims and answers are kept.
#[derive(Debug, Clone)]
pub struct ClaimsConfig {
    /// Time from minting within which a ticket may be submitted first.
    pub ticket_ttl: Duration,
    /// Time beyond `ticket_ttl` before the floor passes a ticket.
    pub low_watermark_margin: Duration,
    /// Most tickets known; beyond it the floor passes the oldest quarter before its time.
    pub max_claims: usize,
    /// Most bytes of kept outputs; the oldest answers are dropped beyond it.
    pub max_answer_bytes: usize,
}

impl Default for ClaimsConfig {
    fn default() -> Self {
        Self {
            ticket_ttl: Duration::from_mins(10),
            low_watermark_margin: Duration::from_mins(2),
            max_claims: 1_500_000,
            max_answer_bytes: 16 << 20,
        }
    }
}
