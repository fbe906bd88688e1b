//! Settings of the modules, one twin file each.

pub mod admission;
pub mod claims;
pub mod handover;
pub mod headroom;
pub mod health;
pub mod journal;
pub mod leased;
pub mod loans;
pub mod membership;
pub mod retry;
pub mod shares;
pub mod sheet;

use admission::AdmissionConfig;
use claims::ClaimsConfig;
use handover::HandOverConfig;
use headroom::HeadroomConfig;
use health::HealthConfig;
use journal::JournalConfig;
use leased::LeasedConfig;
use loans::LoansConfig;
use membership::MembershipConfig;
use retry::RetryConfig;
use shares::SharesConfig;
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
    /// Settings of jobs whose tasks run under leases.
    pub leased: LeasedConfig,
    /// Settings of membership.
    pub membership: MembershipConfig,
    /// Settings of retries.
    pub retry: RetryConfig,
    /// Settings of the slots kept free for urgent kinds.
    pub headroom: HeadroomConfig,
    /// Settings of target health.
    pub health: HealthConfig,
    /// Settings of borrowing.
    pub loans: LoansConfig,
    /// Settings of fair shares.
    pub shares: SharesConfig,
    /// Settings of how sheets spread.
    pub sheet: SheetConfig,
}
