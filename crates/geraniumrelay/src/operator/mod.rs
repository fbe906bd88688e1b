//! HTTP interface for operators: authentication, acceptance of sheets, and queries.
//!
//! A separate listener allows operators' and callers' networks to be separated, and keeps waits for
//! the platform off the request path.

mod apply;
mod problem;
mod reports;
mod server;

pub use server::{OperatorApi, start};
