//! Client of the platform's services: table, object store and VM list.
//!
//! Every call has a time-out. A write whose reply is lost fails with [`PlatformError::Unknown`];
//! before retrying it, callers read the stored state back by an id that they chose themselves.

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
