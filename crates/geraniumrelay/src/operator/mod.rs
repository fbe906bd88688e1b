//! Operators' interface: sign-in, acceptance of sheets, and queries.
//!
//! It has a listener of its own, so that operators' networks can be kept apart from callers' and
//! waits for the platform never touch the request path.

mod apply;
mod problem;
mod reports;
mod server;

pub use server::{OperatorApi, start};
