//! The decisions, one module each; their settings stand in [`crate::configs`].

pub mod beats;
pub mod books;
pub mod claims;
pub mod decayed;
pub mod digest;
pub mod handover;
pub mod headroom;
pub mod health;
pub mod homes;
pub mod jobs;
pub mod journal;
pub mod learnt;
pub mod loans;
pub mod membership;
pub mod order;
pub mod policy;
pub mod queue;
pub mod retry;
pub mod running;
pub mod seq_map;
pub mod service_load;
pub mod shares;
pub mod sheet;
pub mod sheet_fetch;
pub mod slots;
pub mod targets;
