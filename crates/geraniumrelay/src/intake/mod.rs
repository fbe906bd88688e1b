//! Admission of clients' connections: what they may hold together of the process's memory and descriptors.
//!
//! Load pattern: many clients leave requests unfinished, or answers unread, and keep their connections open. Each is
//! within the limits of a single request. Once all memory for clients is used, the connections that hold most for
//! longest are closed, so that small requests go on being served.

mod body;
mod connection;
mod ledger;
mod limits;
mod metrics;
mod serve;
mod stream;

pub(crate) use body::{BodyError, read_body};
pub(crate) use connection::{Connection, Intake};
pub(crate) use ledger::Work;
pub(crate) use limits::IntakeLimits;
pub(crate) use metrics::IntakeMetrics;
pub(crate) use serve::serve_connection;

#[cfg(test)]
mod tests;
