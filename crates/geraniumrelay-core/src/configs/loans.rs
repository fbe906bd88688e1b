//! Settings of slot loans between entry VMs.

use std::time::Duration;

/// Limits, terms and time-outs of loans.
#[derive(Debug, Clone)]
pub struct LoansConfig {
    /// Maximum number of slots in one loan.
    pub max_slots: u32,
    /// Minimum number of free slots that a peer must report to be asked on behalf of tasks that are
    /// not urgent; for urgent tasks one slot suffices.
    pub min_free: u32,
    /// Time after which a borrowed slot receives no new task and is returned.
    pub term: Duration,
    /// Time after which the lender reclaims slots that were not returned.
    pub reclaim_after: Duration,
    /// Time without a reply after which the next request may be sent.
    pub reply_timeout: Duration,
    /// Slots that a lender keeps for itself, in percent of the slots it may use.
    pub reserve_percent: u32,
}

impl Default for LoansConfig {
    fn default() -> Self {
        Self {
            max_slots: 64,
            min_free: 4,
            term: Duration::from_secs(5),
            reclaim_after: Duration::from_secs(20),
            reply_timeout: Duration::from_secs(2),
            reserve_percent: 6,
        }
    }
}
