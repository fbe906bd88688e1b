//! The decisions, one module each; their settings stand in [`crate::configs`].

pub mod books;
pub mod claims;
pub mod handover;
pub mod jobs;
pub mod journal;
pub mod membership;
pub mod queue;
pub mod retry;
pub mod seq_map;
pub mod sheet;
pub mod sheet_fetch;
pub mod targets;
