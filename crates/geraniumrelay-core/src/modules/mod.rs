//! The decisions, one module each; their settings stand in [`crate::configs`].

pub mod claims;
pub mod jobs;
pub mod journal;
pub mod membership;
pub mod queue;
pub mod retry;
pub mod sheet;
pub mod targets;
