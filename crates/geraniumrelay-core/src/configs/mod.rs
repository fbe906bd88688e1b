//! Settings of the modules, one twin file each.

pub mod admission;
pub mod claims;
pub mod journal;
pub mod membership;
pub mod retry;

use admission::AdmissionConfig;
use claims::ClaimsConfig;
use journal::JournalConfig;
use membership::MembershipConfig;
use retry::RetryConfig;

/// Settings of all modules.
#[derive(Debug, Clone, Default)]
pub struct Config {
    /// Settings of admission.
    pub admission: AdmissionConfig,
    /// Settings of the claim table.
    pub claims: ClaimsConfig,
    /// Settings of the journal.
    pub journal: JournalConfig,
    /// Settings of membership.
    pub membership: MembershipConfig,
    /// Settings of retries.
    pub retry: RetryConfig,
}
