//! Generated message types of every border: callers, targets, platform and peers.
//!
//! The types come from the files in `proto/` and are committed, so the build needs no
//! generator. `tests/generated.rs` generates them again and compares.

mod generated;
// As the generator formats it.
#[rustfmt::skip]
pub mod leased;

pub use generated::*;
