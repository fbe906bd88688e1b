//! Generated message types of the interfaces to callers, targets, the platform and peers.
//!
//! The types are generated from the files in `proto/` and committed, so that the build needs no
//! generator. `tests/generated.rs` checks that they are up to date.

mod generated;
// Keeps the generator's formatting, which `tests/generated.rs` compares.
#[rustfmt::skip]
pub mod leased;

pub use generated::*;
