//! Settings of borrowing slots between entry VMs.

use std::time::Duration;

/// How slots are lent.
#[derive(Debug, Clone)]
pub struct LoansConfig {
    /// Most slots in one loan.
    pub max_slots: u32,
    /// Least slots that a peer must have free to be asked for tasks that are not urgent.
    pub min_free: u32,
    /// Time after which a borrowed slot gets no new task and goes back.
    pub term: Duration,
    /// Time after which the lender takes back what was not returned.
    pub reclaim_after: Duration,
    /// Time after which a request without a reply is forgotten.
    pub reply_timeout: Duration,
    /// Slots that a lender keeps free, in percent of its own.
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
