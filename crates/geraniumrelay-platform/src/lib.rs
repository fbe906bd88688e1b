//! Client of the platform's services: table, object store and VM list.
//!
//! Every call has a time-out. A reply that is lost after a write has been sent comes back as
//! [`PlatformError::Unknown`]; callers read back by an id of their own before they repeat it.

mod client;
mod error;
mod sheet_store;

pub use client::{PlatformClient, PlatformConfig};
pub use error::PlatformError;
pub use geraniumrelay_wire::AuditEntry;
pub use sheet_store::{Acceptance, HEAD_KEY, KEPT_DELTAS, SheetRecord, SheetStore, audit_key};
