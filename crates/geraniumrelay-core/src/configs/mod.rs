//! Settings of the modules, one twin file each.

pub mod admission;
pub mod claims;
pub mod handover;
pub mod journal;
pub mod membership;
pub mod retry;
pub mod sheet;

use admission::AdmissionConfig;
use claims::ClaimsConfig;
use handover::HandOverConfig;
use journal::JournalConfig;
use membership::MembershipConfig;
use retry::RetryConfig;
use sheet::SheetConfig;

/// Settings of all modules.
#[derive(Debug, Clone, Default)]
pub struct Config {
    /// Settings of admission.
    pub admission: AdmissionConfig,
    /// Settings of the claim table.
    pub claims: ClaimsConfig,
    /// Settings of the hand-over at a graceful stop.
    pub handover: HandOverConfig,
    /// Settings of the journal.
    pub journal: JournalConfig,
    /// Settings of membership.
    pub membership: MembershipConfig,
    /// Settings of retries.
    pub retry: RetryConfig,
    /// Settings of how sheets spread.
    pub sheet: SheetConfig,
}
