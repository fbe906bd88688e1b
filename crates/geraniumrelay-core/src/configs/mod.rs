//! Settings of the decision modules, one file per module.

pub mod admission;
pub mod claim_table;
pub mod config_transfer;
pub mod contention;
pub mod handover;
pub mod headroom;
pub mod health;
pub mod journal;
pub mod leased;
pub mod loans;
pub mod locality;
pub mod membership;
pub mod retry;
pub mod shares;
pub mod sheet;
pub mod speed;

use admission::AdmissionConfig;
use claim_table::ClaimTableConfig;
use config_transfer::ConfigTransferConfig;
use contention::ContentionConfig;
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
use speed::SpeedConfig;

/// Settings of all modules.
#[derive(Debug, Clone, Default)]
pub struct Config {
    /// Limits on accepted jobs.
    pub admission: AdmissionConfig,
    /// Retention limits of the claim table.
    pub claim_table: ClaimTableConfig,
    /// Transfer of configurations between entry VMs.
    pub config_transfer: ConfigTransferConfig,
    /// Shares of the queues of an overloaded service.
    pub contention: ContentionConfig,
    /// Limits and time-outs of the hand-over during a graceful stop.
    pub handover: HandOverConfig,
    /// Limits of the journal buffer.
    pub journal: JournalConfig,
    /// Scheduling of jobs whose tasks run under leases.
    pub leased: LeasedConfig,
    /// Heartbeat intervals and time-outs.
    pub membership: MembershipConfig,
    /// Retry budget.
    pub retry: RetryConfig,
    /// Slots reserved for urgent request kinds.
    pub headroom: HeadroomConfig,
    /// Ejection and pauses of targets.
    pub health: HealthConfig,
    /// Slot loans between entry VMs.
    pub loans: LoansConfig,
    /// Fair shares of teams.
    pub shares: SharesConfig,
    /// Distribution of sheets between entry VMs.
    pub sheet: SheetConfig,
    /// Learnt speed factors of workers.
    pub speed: SpeedConfig,
}
