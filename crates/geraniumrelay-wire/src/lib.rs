//! Generated message types of every border: callers, targets, platform and peers.
//!
//! The types come from the files in `proto/` and are committed, so the build needs no
//! generator. `tests/generated.rs` generates them again and compares.

mod generated;
pub mod leased;

pub use generated::*;
