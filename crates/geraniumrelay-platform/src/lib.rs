//! Client of the platform's services: table, object store and VM list.
//!
//! Every call has a time-out. A reply that is lost after a write has been sent comes back as
//! [`PlatformError::Unknown`]; callers read back by an id of their own before they repeat it.

mod client;
mod error;
mod expiry;
mod journal_store;
mod key_store;
mod rows;
mod sheet_store;

pub use client::{PlatformClient, PlatformConfig, VmListing};
pub use error::PlatformError;
pub use expiry::{EXPIRY_PREFIX, ExpiryStore};
pub use geraniumrelay_wire::AuditEntry;
pub use journal_store::{CommitOutcome, JournalCommit, JournalStore};
pub use key_store::{KeyOutcome, KeyStore, RequestedBinding, key_row};
pub use sheet_store::{
    AcceptOutcome, HEAD_KEY, RETAINED_DELTAS, SheetRecord, SheetStore, audit_key,
};
